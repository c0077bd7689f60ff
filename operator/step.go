package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Step is the next thing to do with one instance of a plan.
type Step string

// The moves.
const (
	// StepNone means that the instance is finished or not touched.
	StepNone Step = "none"
	// StepWait means that something must come true first.
	StepWait Step = "wait"
	// StepClose stops new sessions.
	StepClose Step = "close"
	// StepLeave stops all new work, under the budgets.
	StepLeave Step = "leave"
	// StepDrain lets the platform make the worker refuse new work.
	StepDrain Step = "drain"
	// StepStop lets the platform stop or reboot the instance, once nothing is open.
	StepStop Step = "stop"
	// StepJoin puts the instance into service, in another pool if the plan says so.
	StepJoin Step = "join"
	// StepIdle leaves the instance idle.
	StepIdle Step = "rest"
)

// Decision is a move with what it waits for.
type Decision struct {
	Step   Step
	Reason string
}

// Ack is what one entry instance says of an instance that leaves.
type Ack struct {
	Entry table.InstanceID
	// Reachable is false if the entry instance could not be asked.
	Reachable bool
	Seen      bool
	InFlight  int
	Queued    int
}

// idle reports whether nothing goes to the instance through the entry instance any more.
func (ac Ack) idle() bool {
	return ac.Reachable && ac.Seen && ac.InFlight == 0 && ac.Queued == 0
}

// String says what the entry instance still has.
func (ac Ack) String() string {
	if !ac.Reachable {
		return fmt.Sprintf("entry instance %s cannot be asked", ac.Entry)
	}
	return fmt.Sprintf("entry instance %s: seen %t, %d in flight, %d queued", ac.Entry, ac.Seen, ac.InFlight, ac.Queued)
}

// Input is all that a decision on one instance is made from.
type Input struct {
	Plan     *Plan
	Wave     Wave
	Fleet    *Fleet
	Instance *table.Instance
	Now      time.Time
	// Acks holds what every listed entry instance says; nil if they were not asked.
	Acks []Ack
	// MaxRequestDuration is the longest request time; an entry instance that left the membership unasked has ended its requests so long after the drain.
	MaxRequestDuration time.Duration
	// Up reports that the instance answers again after its reboot.
	Up bool
	// HasSuccessors tells whether the instance's sessions have somewhere to go.
	HasSuccessors bool
}

// Decide returns the next move for one instance.
func Decide(ip Input) Decision {
	if ip.Instance.Hold == nil {
		return decideUnheld(ip)
	}
	if ip.Instance.Hold.Plan != ip.Plan.ID {
		return Decision{StepWait, fmt.Sprintf("instance %s is held by plan %s", ip.Instance.ID, ip.Instance.Hold.Plan)}
	}
	if ip.Plan.Status == PlanAborting {
		return decideAbort(ip)
	}
	switch ip.Instance.Hold.Phase {
	case table.PhaseClosing:
		return decideClosing(ip)
	case table.PhaseLeaving:
		return Decision{Step: StepDrain}
	case table.PhaseDrained:
		return decideDrained(ip)
	case table.PhaseStopped:
		return decideStopped(ip)
	}
	return Decision{StepWait, fmt.Sprintf("instance %s is in unknown phase %s", ip.Instance.ID, ip.Instance.Hold.Phase)}
}

// decideUnheld begins with an instance that no plan holds.
func decideUnheld(ip Input) Decision {
	switch {
	case ip.Instance.Done == ip.Plan.ID || ip.Plan.Status != PlanRunning:
		return Decision{Step: StepNone}
	case ip.Plan.Intent.Kind == KindReturn:
		return Decision{Step: StepJoin}
	}
	// Closing takes nothing out of service yet, but what will not be admitted should not be begun.
	if refusals := Admit(ip.Fleet, ip.Instance); len(refusals) > 0 {
		return Decision{StepWait, refusalText(ip.Instance.ID, refusals)}
	}
	if ip.Plan.Strategy.CloseMs > 0 || ip.Wave.AwaitSessionEnd || ip.Fleet.sessionCount(ip.Instance.ID) > 0 {
		return Decision{Step: StepClose}
	}
	return Decision{Step: StepLeave}
}

func refusalText(id table.InstanceID, refusals []Refusal) string {
	texts := make([]string, len(refusals))
	for ix, rf := range refusals {
		texts[ix] = rf.String()
	}
	return fmt.Sprintf("instance %s stays: %s", id, strings.Join(texts, "; "))
}

// decideClosing waits for natural ends, for the plan's time or, where sessions cannot move, for all of them.
func decideClosing(ip Input) Decision {
	open := ip.Fleet.sessionCount(ip.Instance.ID)
	waited := ip.Now.Sub(ip.Instance.Hold.Since)
	switch {
	case open > 0 && ip.Wave.AwaitSessionEnd && !ip.HasSuccessors:
		return Decision{StepWait, fmt.Sprintf("instance %s: %d sessions must end by themselves, since moving them would move them twice", ip.Instance.ID, open)}
	case open > 0 && waited < ip.Plan.Strategy.closeDuration():
		return Decision{StepWait, fmt.Sprintf("instance %s: %d sessions may end by themselves for %v more", ip.Instance.ID, open, (ip.Plan.Strategy.closeDuration() - waited).Round(time.Second))}
	case open > 0 && !ip.HasSuccessors:
		return Decision{StepWait, fmt.Sprintf("instance %s: no successor for %d sessions", ip.Instance.ID, open)}
	}
	if refusals := Admit(ip.Fleet, ip.Instance); len(refusals) > 0 {
		return Decision{StepWait, refusalText(ip.Instance.ID, refusals)}
	}
	return Decision{Step: StepLeave}
}

// departedEntry returns the first entry instance that was listed when the instance began to leave and cannot be asked any more.
func departedEntry(ip Input) table.InstanceID {
	for _, id := range ip.Instance.Hold.Entries {
		listed := slices.ContainsFunc(ip.Acks, func(ac Ack) bool { return ac.Entry == id })
		if !listed {
			return id
		}
	}
	return ""
}

// decideDrained waits until no entry instance has anything for the instance.
func decideDrained(ip Input) Decision {
	var pending []string
	for _, ac := range ip.Acks {
		if !ac.idle() {
			pending = append(pending, ac.String())
		}
	}
	switch {
	case len(pending) > 0:
		return Decision{StepWait, fmt.Sprintf("instance %s: %s", ip.Instance.ID, strings.Join(pending, "; "))}
	case departedEntry(ip) != "" && ip.Now.Sub(ip.Instance.Hold.Since) < ip.MaxRequestDuration:
		return Decision{StepWait, fmt.Sprintf("instance %s: entry instance %s left the membership unasked and may have requests open for %v more", ip.Instance.ID, departedEntry(ip), (ip.MaxRequestDuration - ip.Now.Sub(ip.Instance.Hold.Since)).Round(time.Second))}
	case ip.Plan.Intent.Kind == KindMove:
		return Decision{Step: StepJoin}
	}
	return Decision{Step: StepStop}
}

func decideStopped(ip Input) Decision {
	switch {
	case ip.Plan.Intent.Kind == KindDrain:
		return Decision{Step: StepIdle}
	case !ip.Up:
		return Decision{StepWait, fmt.Sprintf("instance %s does not answer yet", ip.Instance.ID)}
	}
	return Decision{Step: StepJoin}
}

// decideAbort brings an instance back to service, by the shortest way from where it is.
func decideAbort(ip Input) Decision {
	if ip.Instance.Hold.Phase == table.PhaseStopped && !ip.Up && ip.Plan.Intent.Kind != KindDrain {
		return Decision{StepWait, fmt.Sprintf("instance %s does not answer yet", ip.Instance.ID)}
	}
	if ip.Instance.Hold.Phase == table.PhaseStopped && ip.Plan.Intent.Kind == KindDrain {
		return Decision{Step: StepIdle}
	}
	return Decision{Step: StepJoin}
}

// currentWave returns the first wave that is not finished, negative if all are.
// Waves do not overlap, so that the sessions of one can go to the instances of those before.
func currentWave(pn *Plan, ft *Fleet) int {
	for number, wv := range pn.Waves {
		for _, id := range wv.Instances {
			if in := ft.Instance(id); in != nil && (in.Done != pn.ID || in.Hold != nil) {
				return number
			}
		}
	}
	return -1
}

// canTakeSessions reports whether sessions of a plan's instances may be given to another instance: the plan is finished with it or does not touch it, and no other plan is about to.
func canTakeSessions(pn *Plan, others []*Plan, in *table.Instance) bool {
	if in.Hold != nil {
		return false
	}
	if in.Done != pn.ID && pn.has(in.ID) {
		return false
	}
	for _, other := range others {
		if other.ID != pn.ID && other.Status.active() && in.Done != other.ID && other.has(in.ID) {
			return false
		}
	}
	return true
}
