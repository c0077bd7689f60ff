package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Audit actions that describe a roll-out.
const (
	actionLeaving = "leaving"
	actionServing = "serving"
	actionIdle    = "idle"
)

// rollout is the progress of a plan over time.
type rollout struct {
	plan   table.PlanID
	reason string
	start  time.Time
	points []point
	// maxOut is the maximum number of instances out of service at once.
	maxOut int
	// instanceHours is the total time that instances were out of service.
	instanceHours float64
}

// point is the state of a roll-out after one audit entry.
type point struct {
	at       time.Duration
	out      int
	finished int
}

// lastPlan returns the plan of the last audit entry that took an instance out of service.
func lastPlan(lines []table.Audit) table.PlanID {
	last := table.PlanID("")
	for _, au := range lines {
		if au.Action == actionLeaving {
			last = table.PlanID(au.Plan)
		}
	}
	return last
}

// newRollout computes the progress of a plan from the audit trail.
func newRollout(lines []table.Audit, plan table.PlanID) rollout {
	ro := rollout{plan: plan}
	outSince := map[string]time.Time{}
	finished := 0
	for _, au := range lines {
		if table.PlanID(au.Plan) != plan {
			continue
		}
		switch au.Action {
		case actionLeaving:
			outSince[au.Subject] = au.At
		case actionServing, actionIdle:
			if since, ok := outSince[au.Subject]; ok {
				ro.instanceHours += au.At.Sub(since).Hours()
				delete(outSince, au.Subject)
			}
			finished++
		default:
			continue
		}
		if ro.start.IsZero() {
			ro.start, ro.reason = au.At, au.Why
		}
		ro.points = append(ro.points, point{at: au.At.Sub(ro.start), out: len(outSince), finished: finished})
		ro.maxOut = max(ro.maxOut, len(outSince))
	}
	return ro
}

// renderPage renders the report as Markdown.
func renderPage(ro rollout, metrics map[string]int64) string {
	last := ro.points[len(ro.points)-1]
	var sb strings.Builder
	fmt.Fprintf(&sb, "# Plan %s\n\n%s\n\n", ro.plan, ro.reason)
	fmt.Fprintf(&sb, "| figure | value |\n| --- | --- |\n| roll-out | %v |\n| instances finished | %d |\n| buffer, instances out at most | %d |\n| buffer, instance hours | %.3f |\n", last.at.Round(time.Millisecond), last.finished, ro.maxOut, ro.instanceHours)
	for _, name := range outcomeNames {
		fmt.Fprintf(&sb, "| requests %s here | %d |\n", name, metrics[outcomePrefix+name])
	}
	fmt.Fprintf(&sb, "\n![roll-out](%s)\n\n![outcomes](%s)\n", rolloutName, outcomeName)
	return sb.String()
}
