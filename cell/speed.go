package cell

import (
	"math"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Telling slow workers by how far their tasks come between looks.
const (
	// speedMemory is after which time what was seen of a worker counts a third.
	speedMemory = 1500 * time.Millisecond
	// speedLeast is how much work, in mean run times of tasks, must have been due before a worker is judged.
	speedLeast = 0.6
	// speedSlow is the share of the usual speed below which a worker is slow. Run times that vary by half rarely make a sound one seem
	// slower than 0.4.
	speedSlow = 0.33
	// speedFloor is taken for the speed of a worker on which everything stands still.
	speedFloor = 0.03
	// rescueTimes is how many times longer a task must need where it is than elsewhere before it is stopped there: its work is lost.
	rescueTimes = 2
	// rescueMost is how often a task is moved from slow workers.
	rescueMost = 2
)

// speed is what was seen of a worker's speed of late, in mean run times of tasks.
type speed struct {
	due, done float64
	at        time.Time
}

// add notes that a task came so far, a share of its whole, in a time in which the mean task does due of its own.
func (sp *speed) add(now time.Time, due, done float64) {
	sp.fade(now)
	sp.due += due
	sp.done += done
}

// fade lets what was seen count less with time.
func (sp *speed) fade(now time.Time) {
	if !sp.at.IsZero() && now.After(sp.at) {
		left := math.Exp(-now.Sub(sp.at).Seconds() / speedMemory.Seconds())
		sp.due, sp.done = sp.due*left, sp.done*left
	}
	sp.at = now
}

// ratio is the worker's speed as a share of the usual one; 1 as long as too little was seen.
func (sp *speed) ratio(now time.Time) float64 {
	sp.fade(now)
	if sp.due < speedLeast {
		return 1
	}
	return sp.done / sp.due
}

// slow reports whether tasks on a worker hardly come forward.
func (wk *worker) slow(now time.Time) bool {
	sp := &wk.speed
	if sp.due < speedLeast || sp.done >= speedSlow*sp.due {
		return false
	}
	return sp.ratio(now) < speedSlow
}

// paceOf notes how far a short task has come since it was seen last.
func (cr *Core) paceOf(pl *placement, at time.Time, progress int) {
	known := cr.run.of(pl.step.job.spec.Queue)
	if !known.trusted(at) || pl.step.spec.LongRunning || pl.step.spec.BestEffort || pl.seenAt.IsZero() || known.task <= 0 || !at.After(pl.seenAt) {
		pl.seenAt = at
		return
	}
	pl.worker.speed.add(at, at.Sub(pl.seenAt).Seconds()/known.task.Seconds(), float64(max(0, progress-pl.progress))/100)
	pl.seenAt = at
}

// dropSlow leaves out slow workers, unless they are so many that the measure is to be doubted.
func dropSlow(now time.Time, list []*candidate) []*candidate {
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

// rescue stops short tasks on slow workers that would be done sooner elsewhere.
func (cr *Core) rescue(now time.Time) {
	var usable []*candidate
	for _, wk := range cr.list {
		if len(wk.placed) == 0 || wk.fails > 0 || !wk.slow(now) {
			continue
		}
		if usable == nil {
			usable = cr.usable(now)
		}
		for _, pl := range wk.placed {
			if !cr.rescuable(now, pl) {
				continue
			}
			cd := roomFor(pl.room, usable, wk)
			if cd == nil {
				continue
			}
			cd.free = cd.free.Sub(pl.room)
			ts := &pl.step.tasks[pl.task.Index]
			ts.rescues++
			ts.avoid = wk.info.ID
			pl.stopping, pl.why = true, "its worker is slow"
			cr.stop(now, wk, pl)
		}
	}
}

// rescuable reports whether a task on a slow worker would be done sooner if it were started elsewhere. Members of a gang stay, since
// all would have to start again.
func (cr *Core) rescuable(now time.Time, pl *placement) bool {
	sp := pl.step.spec
	if pl.phase != running || pl.stopping || sp.LongRunning || sp.BestEffort || sp.Gang || pl.spared() || pl.step.tasks[pl.task.Index].rescues >= rescueMost {
		return false
	}
	mean := cr.run.of(pl.step.job.spec.Queue).task.Seconds()
	here := mean * float64(100-pl.progress) / 100 / max(speedFloor, pl.worker.speed.ratio(now))
	elsewhere := cr.opts.StopTimeout.Seconds() + mean
	if sp.Checkpointing && pl.step.tasks[pl.task.Index].checkpoint != "" {
		elsewhere -= mean * float64(pl.progress) / 100
	}
	return here > rescueTimes*elsewhere
}

// roomFor returns a worker with room, other than the one named; nil if there is none.
func roomFor(room job.Size, usable []*candidate, but *worker) *candidate {
	for _, cd := range usable {
		if cd.worker != but && room.Fits(cd.free) {
			return cd
		}
	}
	return nil
}
