package worker

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// View is a worker as placement sees it.
type View struct {
	ID    table.InstanceID
	Total Size
	Slots int
	// Usable says that it may get tasks: it serves, is listed and no plan closes it.
	Usable bool
	// Taken and Busy are what running jobs were granted.
	Taken Size
	Busy  int
	// Alone says that a job under which workers were lost has it to itself, so that a further loss takes no other with it.
	Alone bool
}

// Placement puts a job on a worker.
type Placement struct {
	Job      *Job
	Instance table.InstanceID
	Granted  Size
}

// Placing is all that a round of placement is made from.
type Placing struct {
	Queue   []*Job
	Workers []*View
	// Quotas is the slots of each team; a team without one has none.
	Quotas map[TeamID]int
	// Used is the slots that each team has now.
	Used map[TeamID]int
	// Reserve is the slots of the fleet that only urgent jobs may take.
	Reserve int
	Learner *Learner
	Judge   *Judge
	Now     time.Time
}

// Outcome is what a round decided.
type Outcome struct {
	Placements []Placement
	// Hopeless holds the jobs that no worker could ever run.
	Hopeless []*Job
}

// Place decides on every queued job once; one that cannot go now holds up no other.
func Place(pc Placing) Outcome {
	var oc Outcome
	free := freeSlots(pc)
	for _, jb := range order(pc) {
		need := pc.Learner.Correct(jb.Kind, jb.Declared)
		if !fitsAny(pc.Workers, need) {
			oc.Hopeless = append(oc.Hopeless, jb)
			continue
		}
		if !jb.Urgent && (pc.Used[jb.Team] >= pc.Quotas[jb.Team] || free <= pc.Reserve) {
			continue
		}
		wk := best(pc, jb, need)
		if wk == nil {
			continue
		}
		wk.take(jb, need)
		pc.Used[jb.Team]++
		free--
		oc.Placements = append(oc.Placements, Placement{Job: jb, Instance: wk.ID, Granted: need})
	}
	return oc
}

// take puts a job on the worker.
func (vw *View) take(jb *Job, size Size) {
	vw.Taken, vw.Busy = vw.Taken.plus(size), vw.Busy+1
	vw.Alone = vw.Alone || len(jb.LostOn) > 0
}

// alone reports whether a job that has to be by itself, or one that must not disturb such a one, cannot go to the worker.
func (vw *View) alone(jb *Job) bool { return vw.Alone || len(jb.LostOn) > 0 && vw.Busy > 0 }

// order returns the queue: urgent first, then the teams that use the least of their quotas, then by age.
func order(pc Placing) []*Job {
	queue := slices.Clone(pc.Queue)
	share := func(tm TeamID) float64 {
		return float64(pc.Used[tm]) / float64(max(1, pc.Quotas[tm]))
	}
	slices.SortStableFunc(queue, func(aj, bj *Job) int {
		if aj.Urgent != bj.Urgent {
			if aj.Urgent {
				return -1
			}
			return 1
		}
		if by := cmp.Compare(share(aj.Team), share(bj.Team)); by != 0 {
			return by
		}
		if by := aj.SubmittedAt.Compare(bj.SubmittedAt); by != 0 {
			return by
		}
		return strings.Compare(string(aj.ID), string(bj.ID))
	})
	return queue
}

// freeSlots counts the slots that usable workers have left; those of a quarantined one are no reserve for urgent jobs.
func freeSlots(pc Placing) int {
	free := 0
	for _, wk := range pc.Workers {
		if wk.Usable && !pc.Judge.Quarantined(wk.ID, pc.Now) {
			free += max(0, wk.Slots-wk.Busy)
		}
	}
	return free
}

// fitsAny reports whether any worker of the fleet could run a job when empty, be it up or down.
func fitsAny(workers []*View, need Size) bool {
	return slices.ContainsFunc(workers, func(wk *View) bool { return need.fits(wk.Total) })
}

// best returns the worker on which the least is left over, so that large jobs still find room; nil if none fits.
func best(pc Placing, jb *Job, need Size) *View {
	var chosen *View
	least := 0.0
	for _, wk := range pc.Workers {
		if !wk.Usable || wk.Busy >= wk.Slots || pc.Judge.Quarantined(wk.ID, pc.Now) || slices.Contains(jb.FailedOn, wk.ID) || wk.alone(jb) {
			continue
		}
		free := wk.Total.minus(wk.Taken)
		if !need.fits(free) {
			continue
		}
		if left := leftOver(free.minus(need), wk.Total); chosen == nil || left < least {
			chosen, least = wk, left
		}
	}
	return chosen
}

// leftOver weighs what would stay free, as a share of the worker; an accelerator that is not needed weighs most.
func leftOver(left, total Size) float64 {
	return float64(left.CPUMillis)/float64(max(1, total.CPUMillis)) + float64(left.MemoryMB)/float64(max(1, total.MemoryMB)) + float64(left.Accelerators)
}

// cancelled reports whether a job is given up by any of the cancellations.
func cancelled(jb *Job, cancellations []Cancellation) bool {
	return slices.ContainsFunc(cancellations, func(cn Cancellation) bool {
		return cn.Team == jb.Team && (cn.Kind == "" || cn.Kind == jb.Kind) && (len(cn.Jobs) == 0 || slices.Contains(cn.Jobs, jb.ID)) && !jb.SubmittedAt.After(cn.At)
	})
}
