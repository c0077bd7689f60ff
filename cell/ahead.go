package cell

import "time"

// Work that leaves a worker ahead of the maintenance of its machine.
const (
	// ShortTaskGrace is how long short tasks may delay the maintenance of a machine. Then they are lost with their worker.
	ShortTaskGrace = 5 * time.Second
	// continueTime is the time from the end of a stopped task until it works again on another worker: the poll that reads the end, the start, and
	// the loading of the checkpoint.
	continueTime = 500 * time.Millisecond
)

// SetLeaveAhead sets whether tasks with checkpoints leave cordoned workers to continue elsewhere. Otherwise all short tasks run to their end there.
func (cr *Core) SetLeaveAhead(on bool) { cr.leaveAhead = on }

// noteCordons records since when workers are cordoned.
func (cr *Core) noteCordons(now time.Time) {
	for name := range cr.cordonedSince {
		if !cr.cordons[name] {
			delete(cr.cordonedSince, name)
		}
	}
	for name, cordoned := range cr.cordons {
		if _, known := cr.cordonedSince[name]; cordoned && !known {
			cr.cordonedSince[name] = now
		}
	}
}

// moveAhead stops tasks with checkpoints on cordoned workers, so that they continue elsewhere and the workers become empty sooner.
func (cr *Core) moveAhead(now time.Time) {
	cr.noteCordons(now)
	if !cr.leaveAhead || len(cr.cordons) == 0 || !cr.startWindow.canStart() {
		// Without starts, room that waiting tasks will take looks free.
		return
	}
	var usable []*candidate
	for _, wk := range cr.sortedWorkers {
		if !cr.cordons[wk.name] || len(wk.placed) == 0 || wk.failedPolls > 0 {
			continue
		}
		for _, pl := range wk.placed {
			if !cr.shouldLeave(now, pl) {
				continue
			}
			if usable == nil {
				usable = cr.roomBesidesStopped(now)
			}
			cd := cr.roomElsewhere(now, pl, usable)
			if cd == nil {
				continue
			}
			cd.free = cd.free.Sub(pl.room)
			pl.step.tasks[pl.task.Index].moves++
			pl.stopping, pl.stopReason = true, "it continues elsewhere, its worker is being drained"
			cr.stop(now, wk, pl)
		}
	}
}

// shouldLeave reports whether a task on a cordoned worker should continue elsewhere: its worker becomes empty sooner, and its job still meets its
// objective. A task that would be lost with its worker leaves in any case.
func (cr *Core) shouldLeave(now time.Time, pl *placement) bool {
	if !cr.mayContinueElsewhere(pl) {
		return false
	}
	left, delay := cr.expectedLeft(now, pl), cr.opts.MaxStopTime+continueTime
	if left <= delay {
		return false
	}
	return cr.laxity(now, pl.step.job) >= delay || now.Add(left).After(cr.cordonedSince[pl.worker.name].Add(ShortTaskGrace))
}

// mayContinueElsewhere reports whether a task may be stopped to continue elsewhere, and would be started again at once.
func (cr *Core) mayContinueElsewhere(pl *placement) bool {
	sp, js := pl.step.spec, pl.step.job
	if !sp.Checkpointing || sp.LongRunning || sp.Gang || js.ended() || cr.pausedQueues[js.spec.Queue] {
		return false
	}
	return pl.phase == running && !pl.stopping && !pl.exemptFromStop() && !pl.onProbation() && pl.step.tasks[pl.task.Index].moves < maxMovesPerTask
}

// expectedLeft estimates how long a task still runs on its worker.
func (cr *Core) expectedLeft(now time.Time, pl *placement) time.Duration {
	mean := cr.runTimes.get(pl.step.job.spec.Queue).mean.Seconds()
	left := mean * float64(100-pl.progress) / 100 / max(speedFloor, pl.worker.speed.ratio(now))
	return time.Duration(left * float64(time.Second))
}

// roomBesidesStopped returns the workers that may receive tasks, less the room reserved for intents and that for tasks that are being stopped and will
// start again.
func (cr *Core) roomBesidesStopped(now time.Time) []*candidate {
	usable := cr.newRound(now).usable
	for _, wk := range cr.sortedWorkers {
		for _, pl := range wk.placed {
			if !pl.stopping || cr.stopReason(pl) != "" {
				continue
			}
			if cd := cr.roomElsewhere(now, pl, usable); cd != nil {
				cd.free = cd.free.Sub(pl.room)
			}
		}
	}
	return usable
}

// roomElsewhere returns another worker that can run a task, or nil.
func (cr *Core) roomElsewhere(now time.Time, pl *placement, usable []*candidate) *candidate {
	for _, cd := range usable {
		if cd.worker != pl.worker && cr.feasible(now, pl.step, cd) {
			return cd
		}
	}
	return nil
}
