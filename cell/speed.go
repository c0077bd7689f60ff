package cell

import (
	"math"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Detection of slow workers by the progress of their tasks between polls.
const (
	// speedDecay is the time constant of the exponential decay of the observations: after this time an observation has about a third of its
	// weight.
	speedDecay = 1500 * time.Millisecond
	// speedMinWork is the minimum expected progress, in mean run times of tasks, before the speed of a worker is evaluated.
	speedMinWork = 0.6
	// slowThreshold is the share of the usual speed below which a worker is slow. With run times that vary by half, a sound worker rarely
	// appears slower than 0.4.
	slowThreshold = 0.33
	// speedFloor is the lowest speed assumed for a worker, also if none of its tasks progresses.
	speedFloor = 0.03
	// moveFactor is how many times longer a task must take on its worker than elsewhere before it is moved, since moving loses its work.
	moveFactor = 2
	// maxMovesPerTask is how often a task is moved away from slow workers.
	maxMovesPerTask = 2
)

// speed holds the recent progress of a worker's tasks, in mean run times.
type speed struct {
	expected, actual float64
	at               time.Time
}

// add records the progress of a task as a share of its whole, and the expected progress of the mean task in the same time.
func (sp *speed) add(now time.Time, expected, actual float64) {
	sp.decay(now)
	sp.expected += expected
	sp.actual += actual
}

// decay reduces the weight of earlier observations.
func (sp *speed) decay(now time.Time) {
	if !sp.at.IsZero() && now.After(sp.at) {
		weight := math.Exp(-now.Sub(sp.at).Seconds() / speedDecay.Seconds())
		sp.expected, sp.actual = sp.expected*weight, sp.actual*weight
	}
	sp.at = now
}

// ratio returns the speed of the worker relative to the usual speed, or 1 if there are too few observations.
func (sp *speed) ratio(now time.Time) float64 {
	sp.decay(now)
	if sp.expected < speedMinWork {
		return 1
	}
	return sp.actual / sp.expected
}

// slow reports whether tasks on a worker make much less progress than usual.
func (wk *worker) slow(now time.Time) bool {
	sp := &wk.speed
	if sp.expected < speedMinWork || sp.actual >= slowThreshold*sp.expected {
		return false
	}
	return sp.ratio(now) < slowThreshold
}

// recordProgress records the progress of a short task since it was last reported.
func (cr *Core) recordProgress(pl *placement, at time.Time, progress int) {
	stats := cr.runTimes.get(pl.step.job.spec.Queue)
	if !stats.trusted(at) || pl.step.spec.LongRunning || pl.step.spec.BestEffort || pl.seenAt.IsZero() || stats.mean <= 0 || !at.After(pl.seenAt) {
		pl.seenAt = at
		return
	}
	pl.worker.speed.add(at, at.Sub(pl.seenAt).Seconds()/stats.mean.Seconds(), float64(max(0, progress-pl.progress))/100)
	pl.seenAt = at
}

// withoutSlow removes slow workers from a list. If more than half would be removed, the measure is not reliable and the list is returned
// unchanged.
func withoutSlow(now time.Time, list []*candidate) []*candidate {
	fast := make([]*candidate, 0, len(list))
	for _, cd := range list {
		if !cd.slow(now) {
			fast = append(fast, cd)
		}
	}
	if 2*len(fast) < len(list) {
		return list
	}
	return fast
}

// moveStragglers stops short tasks on slow workers that would end sooner elsewhere.
func (cr *Core) moveStragglers(now time.Time) {
	var usable []*candidate
	for _, wk := range cr.sortedWorkers {
		if len(wk.placed) == 0 || wk.failedPolls > 0 || !wk.slow(now) {
			continue
		}
		if usable == nil {
			usable = cr.usable(now)
		}
		for _, pl := range wk.placed {
			if !cr.worthMoving(now, pl) {
				continue
			}
			cd := roomFor(pl.room, usable, wk)
			if cd == nil {
				continue
			}
			cd.free = cd.free.Sub(pl.room)
			ts := &pl.step.tasks[pl.task.Index]
			ts.moves++
			ts.avoid = wk.info.ID
			pl.stopping, pl.stopReason = true, "its worker is much slower than usual"
			cr.stop(now, wk, pl)
		}
	}
}

// worthMoving reports whether a task on a slow worker would end sooner if restarted elsewhere. Gang members are not moved, since the whole
// gang would have to restart.
func (cr *Core) worthMoving(now time.Time, pl *placement) bool {
	sp := pl.step.spec
	if pl.phase != running || pl.stopping || sp.LongRunning || sp.BestEffort || sp.Gang || pl.exemptFromStop() || pl.step.tasks[pl.task.Index].moves >= maxMovesPerTask {
		return false
	}
	mean := cr.runTimes.get(pl.step.job.spec.Queue).mean.Seconds()
	here := mean * float64(100-pl.progress) / 100 / max(speedFloor, pl.worker.speed.ratio(now))
	elsewhere := cr.opts.MaxStopTime.Seconds() + mean
	if sp.Checkpointing && pl.step.tasks[pl.task.Index].checkpoint != "" {
		elsewhere -= mean * float64(pl.progress) / 100
	}
	return here > moveFactor*elsewhere
}

// roomFor returns a worker with enough free room other than except, or nil.
func roomFor(room job.Size, usable []*candidate, except *worker) *candidate {
	for _, cd := range usable {
		if cd.worker != except && room.Fits(cd.free) {
			return cd
		}
	}
	return nil
}
