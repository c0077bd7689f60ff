package worker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// WorkerView is a worker as placement sees it.
type WorkerView struct {
	ID       table.InstanceID
	Capacity Size
	Slots    int
	// Schedulable says that it may get tasks: it serves, is listed and no plan closes it.
	Schedulable bool
	// Allocated and Busy are what running jobs were granted.
	Allocated Size
	UsedSlots int
	// Exclusive says that a job under which workers were lost has it to itself, so that a further loss takes no other with it.
	Exclusive bool
}

// Placement puts a job on a worker.
type Placement struct {
	Job      *Job
	Instance table.InstanceID
	Granted  Size
}

// PlacementInput is all that a round of placement is made from.
type PlacementInput struct {
	Queue   []*Job
	Workers []*WorkerView
	// Quotas is the slots of each team; a team without one has none.
	Quotas map[TeamID]int
	// UsedSlots is the slots that each team has now.
	UsedSlots map[TeamID]int
	// UrgentReserve is the slots of the fleet that only urgent jobs may take.
	UrgentReserve int
	Estimator     *SizeEstimator
	Failures      *FailureTracker
	Now           time.Time
}

// PlacementResult is what a round decided.
type PlacementResult struct {
	Placements []Placement
	// Unschedulable holds the jobs that no worker could ever run.
	Unschedulable []*Job
}

// Place decides on every queued job once; one that cannot go now holds up no other.
func Place(pi PlacementInput) PlacementResult {
	var pr PlacementResult
	free := freeSlots(pi)
	for _, jb := range sortQueue(pi) {
		need := pi.Estimator.Estimate(jb.Kind, jb.Declared)
		if !fitsAnyWorker(pi.Workers, need) {
			pr.Unschedulable = append(pr.Unschedulable, jb)
			continue
		}
		if !jb.Urgent && (pi.UsedSlots[jb.Team] >= pi.Quotas[jb.Team] || free <= pi.UrgentReserve) {
			continue
		}
		wk := bestFit(pi, jb, need)
		if wk == nil {
			continue
		}
		wk.allocate(jb, need)
		pi.UsedSlots[jb.Team]++
		free--
		pr.Placements = append(pr.Placements, Placement{Job: jb, Instance: wk.ID, Granted: need})
	}
	return pr
}

// allocate puts a job on the worker.
func (vw *WorkerView) allocate(jb *Job, size Size) {
	vw.Allocated, vw.UsedSlots = vw.Allocated.add(size), vw.UsedSlots+1
	vw.Exclusive = vw.Exclusive || len(jb.LostOn) > 0
}

// excludes reports whether a job that has to be by itself, or one that must not disturb such a one, cannot go to the worker.
func (vw *WorkerView) excludes(jb *Job) bool {
	return vw.Exclusive || len(jb.LostOn) > 0 && vw.UsedSlots > 0
}

// order returns the queue: urgent first, then the teams that use the least of their quotas, then by age.
func sortQueue(pi PlacementInput) []*Job {
	queue := slices.Clone(pi.Queue)
	share := func(tm TeamID) float64 {
		return float64(pi.UsedSlots[tm]) / float64(max(1, pi.Quotas[tm]))
	}
	slices.SortStableFunc(queue, func(aj, bj *Job) int {
		if aj.Urgent != bj.Urgent {
			if aj.Urgent {
				return -1
			}
			return 1
		}
		if diff := cmp.Compare(share(aj.Team), share(bj.Team)); diff != 0 {
			return diff
		}
		if diff := aj.SubmittedAt.Compare(bj.SubmittedAt); diff != 0 {
			return diff
		}
		return strings.Compare(string(aj.ID), string(bj.ID))
	})
	return queue
}

// freeSlots counts the slots that usable workers have left; those of a quarantined one are no reserve for urgent jobs.
func freeSlots(pi PlacementInput) int {
	free := 0
	for _, wk := range pi.Workers {
		if wk.Schedulable && !pi.Failures.Quarantined(wk.ID, pi.Now) {
			free += max(0, wk.Slots-wk.UsedSlots)
		}
	}
	return free
}

// fitsAny reports whether any worker of the fleet could run a job when empty, be it up or down.
func fitsAnyWorker(workers []*WorkerView, need Size) bool {
	return slices.ContainsFunc(workers, func(wk *WorkerView) bool { return need.fitsIn(wk.Capacity) })
}

// best returns the worker on which the least is left over, so that large jobs still find room; nil if none fits.
func bestFit(pi PlacementInput, jb *Job, need Size) *WorkerView {
	var chosen *WorkerView
	lowest := 0.0
	for _, wk := range pi.Workers {
		if !wk.Schedulable || wk.UsedSlots >= wk.Slots || pi.Failures.Quarantined(wk.ID, pi.Now) || slices.Contains(jb.FailedOn, wk.ID) || wk.excludes(jb) {
			continue
		}
		free := wk.Capacity.sub(wk.Allocated)
		if !need.fitsIn(free) {
			continue
		}
		if remaining := freeShare(free.sub(need), wk.Capacity); chosen == nil || remaining < lowest {
			chosen, lowest = wk, remaining
		}
	}
	return chosen
}

// leftOver weighs what would stay free, as a share of the worker; an accelerator that is not needed weighs most.
func freeShare(remaining, total Size) float64 {
	return float64(remaining.CPUMillis)/float64(max(1, total.CPUMillis)) + float64(remaining.MemoryMB)/float64(max(1, total.MemoryMB)) + float64(remaining.Accelerators)
}

// cancelled reports whether a job is given up by any of the cancellations.
func matchesAny(jb *Job, cancellations []Cancellation) bool {
	return slices.ContainsFunc(cancellations, func(cn Cancellation) bool {
		return cn.Team == jb.Team && (cn.Kind == "" || cn.Kind == jb.Kind) && (len(cn.Jobs) == 0 || slices.Contains(cn.Jobs, jb.ID)) && !jb.SubmittedAt.After(cn.At)
	})
}
