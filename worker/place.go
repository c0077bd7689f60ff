package worker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// WorkerView is the state of a worker during placement.
type WorkerView struct {
	ID       table.InstanceID
	Capacity Size
	Slots    int
	// Schedulable means that the worker may receive tasks: it is serving, it is listed and no plan is draining it.
	Schedulable bool
	// Allocated and UsedSlots are the resources and slots granted to running jobs.
	Allocated Size
	UsedSlots int
	// Exclusive means that the worker runs a job that has already lost workers. It gets no other job, so that a further loss affects none.
	Exclusive bool
}

// Placement assigns a job to a worker.
type Placement struct {
	Job      *Job
	Instance table.InstanceID
	Granted  Size
}

// PlacementInput is the input of a placement round.
type PlacementInput struct {
	Queue   []*Job
	Workers []*WorkerView
	// Quotas is the number of slots of each team. A team without an entry has none.
	Quotas map[TeamID]int
	// UsedSlots is the number of slots that each team uses now.
	UsedSlots map[TeamID]int
	// UrgentReserve is the number of slots of the fleet that are reserved for urgent jobs.
	UrgentReserve int
	Estimator     *SizeEstimator
	Failures      *FailureTracker
	Now           time.Time
}

// PlacementResult is the result of a placement round.
type PlacementResult struct {
	Placements []Placement
	// Unschedulable holds the jobs that are too large for every worker.
	Unschedulable []*Job
}

// Place decides on every queued job once. A job that cannot be placed now does not block the others.
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

// allocate adds a job of the given size to the worker.
func (vw *WorkerView) allocate(jb *Job, size Size) {
	vw.Allocated, vw.UsedSlots = vw.Allocated.add(size), vw.UsedSlots+1
	vw.Exclusive = vw.Exclusive || len(jb.LostOn) > 0
}

// excludes reports whether the worker must not get the job: a job that has lost workers runs only on a worker without other jobs.
func (vw *WorkerView) excludes(jb *Job) bool {
	return vw.Exclusive || len(jb.LostOn) > 0 && vw.UsedSlots > 0
}

// sortQueue returns the queue sorted by urgency, then by the share of the quota that the job's team uses (lowest first), then by age.
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

// freeSlots counts the free slots of schedulable workers. Slots of quarantined workers do not count as a reserve for urgent jobs.
func freeSlots(pi PlacementInput) int {
	free := 0
	for _, wk := range pi.Workers {
		if wk.Schedulable && !pi.Failures.Quarantined(wk.ID, pi.Now) {
			free += max(0, wk.Slots-wk.UsedSlots)
		}
	}
	return free
}

// fitsAnyWorker reports whether any worker of the fleet could run the job when empty, whether the worker is up or down.
func fitsAnyWorker(workers []*WorkerView, need Size) bool {
	return slices.ContainsFunc(workers, func(wk *WorkerView) bool { return need.fitsIn(wk.Capacity) })
}

// bestFit returns the worker that has the least capacity left after the placement, which keeps room for large jobs; nil if none fits.
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

// freeShare scores the remaining capacity as a share of the worker. An unused accelerator has the largest weight.
func freeShare(remaining, capacity Size) float64 {
	return float64(remaining.CPUMillis)/float64(max(1, capacity.CPUMillis)) + float64(remaining.MemoryMB)/float64(max(1, capacity.MemoryMB)) + float64(remaining.Accelerators)
}

// matchesAny reports whether any of the cancellations applies to the job.
func matchesAny(jb *Job, cancellations []Cancellation) bool {
	return slices.ContainsFunc(cancellations, func(cn Cancellation) bool {
		return cn.Team == jb.Team && (cn.Kind == "" || cn.Kind == jb.Kind) && (len(cn.Jobs) == 0 || slices.Contains(cn.Jobs, jb.ID)) && !jb.SubmittedAt.After(cn.At)
	})
}
