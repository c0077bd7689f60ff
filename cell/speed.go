package cell

import (
	"math"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Telling slow workers by how far their tasks come between looks.
const (
	// speedDecay is after which time what was seen of a worker counts a third.
	speedDecay = 1500 * time.Millisecond
	// speedMinWork is how much work, in mean run times of tasks, must have been due before a worker is judged.
	speedMinWork = 0.6
	// slowThreshold is the share of the usual speed below which a worker is slow. Run times that vary by half rarely make a sound one seem
	// slower than 0.4.
	slowThreshold = 0.33
	// speedFloor is taken for the speed of a worker on which everything stands still.
	speedFloor = 0.03
	// moveFactor is how many times longer a task must need where it is than elsewhere before it is stopped there: its work is lost.
	moveFactor = 2
	// maxMovesPerTask is how often a task is moved from slow workers.
	maxMovesPerTask = 2
)

// speed is what was seen of a worker's speed of late, in mean run times of tasks.
type speed struct {
	expected, actual float64
	at        time.Time
}

// add notes that a task came so far, a share of its whole, in a time in which the mean task does due of its own.
func (sp *speed) add(now time.Time, due, done float64) {
	sp.decay(now)
	sp.expected += due
	sp.actual += done
}

// decay lets what was seen count less with time.
func (sp *speed) decay(now time.Time) {
	if !sp.at.IsZero() && now.After(sp.at) {
		left := math.Exp(-now.Sub(sp.at).Seconds() / speedDecay.Seconds())
		sp.expected, sp.actual = sp.expected*left, sp.actual*left
	}
	sp.at = now
}

// ratio is the worker's speed as a share of the usual one; 1 as long as too little was seen.
func (sp *speed) ratio(now time.Time) float64 {
	sp.decay(now)
	if sp.expected < speedMinWork {
		return 1
	}
	return sp.actual / sp.expected
}

// slow reports whether tasks on a worker hardly come forward.
func (wk *worker) slow(now time.Time) bool {
	sp := &wk.speed
	if sp.expected < speedMinWork || sp.actual >= slowThreshold*sp.expected {
		return false
	}
	return sp.ratio(now) < slowThreshold
}

// recordProgress notes how far a short task has come since it was seen last.
func (cr *Core) recordProgress(pl *placement, at time.Time, progress int) {
	known := cr.runTimes.get(pl.step.job.spec.Queue)
	if !known.trusted(at) || pl.step.spec.LongRunning || pl.step.spec.BestEffort || pl.seenAt.IsZero() || known.mean <= 0 || !at.After(pl.seenAt) {
		pl.seenAt = at
		return
	}
	pl.worker.speed.add(at, at.Sub(pl.seenAt).Seconds()/known.mean.Seconds(), float64(max(0, progress-pl.progress))/100)
	pl.seenAt = at
}

// withoutSlow leaves out slow workers, unless they are so many that the measure is to be doubted.
func withoutSlow(now time.Time, list []*candidate) []*candidate {
	quick := make([]*candidate, 0, len(list))
	for _, cd := range list {
		if !cd.slow(now) {
			quick = append(quick, cd)
		}
	}
	if 2*len(quick) < len(list) {
		return list
	}
	return quick
}

// moveStragglers stops short tasks on slow workers that would be done sooner elsewhere.
func (cr *Core) moveStragglers(now time.Time) {
	var usable []*candidate
	for _, wk := range cr.list {
		if len(wk.placed) == 0 || wk.fails > 0 || !wk.slow(now) {
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
			pl.stopping, pl.why = true, "its worker is slow"
			cr.stop(now, wk, pl)
		}
	}
}

// worthMoving reports whether a task on a slow worker would be done sooner if it were started elsewhere. Members of a gang stay, since
// all would have to start again.
func (cr *Core) worthMoving(now time.Time, pl *placement) bool {
	sp := pl.step.spec
	if pl.phase != running || pl.stopping || sp.LongRunning || sp.BestEffort || sp.Gang || pl.spared() || pl.step.tasks[pl.task.Index].moves >= maxMovesPerTask {
		return false
	}
	mean := cr.runTimes.get(pl.step.job.spec.Queue).mean.Seconds()
	here := mean * float64(100-pl.progress) / 100 / max(speedFloor, pl.worker.speed.ratio(now))
	elsewhere := cr.opts.StopTimeout.Seconds() + mean
	if sp.Checkpointing && pl.step.tasks[pl.task.Index].checkpoint != "" {
		elsewhere -= mean * float64(pl.progress) / 100
	}
	return here > moveFactor*elsewhere
}

// roomFor returns a worker with room, other than the one named; nil if there is none.
func roomFor(room job.Size, usable []*candidate, except *worker) *candidate {
	for _, cd := range usable {
		if cd.worker != except && room.Fits(cd.free) {
			return cd
		}
	}
	return nil
}
