package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Weights of the score of a worker; the lowest score wins. They are used only for comparison and have no unit.
const (
	// weightFree prefers fuller workers, so that large tasks find room elsewhere.
	weightFree = 1.0
	// weightRemote prefers workers in the rack that holds the task's data.
	weightRemote = 10.0
	// weightAvoid penalizes the worker on which the task last failed or was refused.
	weightAvoid = 100.0
	// weightLongRunning packs long-running tasks together, so that other machines can be lent to other pools.
	weightLongRunning = 20.0
	// weightRackSpread penalizes placing more than half of a long-running step in one rack.
	weightRackSpread = 40.0
	// weightColocation separates best-effort tasks from serving tasks.
	weightColocation = 50.0
)

// placeTasks starts waiting tasks, in the order of sortJobs.
func (cr *Core) placeTasks(now time.Time) {
	cr.roundSkipped = ""
	if !cr.startWindow.canStart() {
		// The next answer triggers another round, so sorting the jobs now would be wasted work.
		cr.roundSkipped = WaitStartWindow
		return
	}
	waiting := cr.pendingJobs(now)
	if len(waiting) == 0 {
		return
	}
	rd := cr.newRound(now)
	if len(rd.usable) == 0 {
		cr.roundSkipped = WaitNoWorker
		return
	}
	sorted := cr.sortJobs(now, waiting, len(rd.usable))
	cr.placeJobs(rd, sorted)
	if rd.suspectsWaiting && len(rd.noRoomFor) == 0 {
		// No other task is waiting for room.
		rd.useIdle = true
		cr.placeJobs(rd, sorted)
	}
}

func (cr *Core) placeJobs(rd *round, jobs []*jobState) {
	for _, js := range jobs {
		if cr.mayRunUnresolved(js) {
			js.waitReason = WaitUnresolved
			continue
		}
		if !cr.startWindow.canStart() {
			js.waitReason = WaitStartWindow
			continue
		}
		cr.placeJob(rd, js)
	}
}

// pendingJobs returns the open jobs that may have tasks to start.
func (cr *Core) pendingJobs(now time.Time) []*jobState {
	var list []*jobState
	for _, js := range cr.openJobs {
		if !js.ended() && !cr.pausedQueues[js.spec.Queue] && (!js.fullyPlaced || js.spec.HasSchedule() && js.nextRun < js.spec.RunCount()) {
			list = append(list, js)
		}
	}
	return list
}

// HasPending reports whether any job has tasks waiting to start.
func (cr *Core) HasPending(now time.Time) bool { return len(cr.pendingJobs(now)) > 0 }

// placeJob starts waiting tasks of a job as far as there is room. If no task is left waiting, it marks the job as fully placed until one of
// its tasks ends.
func (cr *Core) placeJob(rd *round, js *jobState) {
	fullyPlaced := true
	for _, rn := range cr.dueRuns(rd.now, js) {
		for _, st := range rn.steps {
			if st.done < len(st.tasks) && rn.ready(st) && !cr.placeStep(rd, st) {
				fullyPlaced = false
			}
		}
	}
	js.fullyPlaced = fullyPlaced
}

// dueRuns returns the unfinished runs of a job that are due, in order.
func (cr *Core) dueRuns(now time.Time, js *jobState) []*run {
	if !js.spec.HasSchedule() && js.singleRun != nil && !js.runsDone.Has(0) {
		return js.singleRun
	}
	for js.nextRun < js.spec.RunCount() {
		if at := js.dueAt(js.nextRun); !at.IsZero() && at.After(now) {
			cr.wakeAt(at)
			break
		}
		if !js.runsDone.Has(js.nextRun) {
			if js.runsFull() {
				// The next run starts once another one has completed.
				break
			}
			js.openRun(js.nextRun)
		}
		js.nextRun++
	}
	var runs []*run
	for at, rn := range js.runs {
		if js.runsDone.Has(at) {
			if !js.hasPlacements() {
				delete(js.runs, at)
			}
			continue
		}
		if at < js.nextRun {
			runs = append(runs, rn)
		}
	}
	slices.SortFunc(runs, func(one, other *run) int { return cmp.Compare(one.steps[0].run, other.steps[0].run) })
	if !js.spec.HasSchedule() {
		js.singleRun = runs
	}
	return runs
}

// runsFull reports whether as many runs of the job are open as its progress has room for.
func (js *jobState) runsFull() bool {
	tasks, open := 0, 0
	for _, st := range js.spec.Steps {
		tasks += st.Count
	}
	for at := range js.runs {
		if !js.runsDone.Has(at) {
			open++
		}
	}
	return open >= job.MaxOpenRuns(tasks)
}

// holdReason returns why a task may not be started on any worker yet, or an empty reason.
func (cr *Core) holdReason(now time.Time, ts *taskState) WaitReason {
	switch {
	case !ts.lostAt.IsZero() && !cr.confirmedAt.After(ts.lostAt):
		return WaitLossUnconfirmed
	case ts.losses.reachesLimit(len(ts.losses.unresolved)):
		// One more loss would reach the limit. The task waits until its unresolved attempts are known not to be losses.
		return WaitLossLimit
	case ts.notBefore.After(now):
		cr.wakeAt(ts.notBefore)
		return WaitBackoff
	case ts.lateStart != nil:
		cr.wakeAt(ts.lateStart.expiresAt)
		return WaitLateStart
	}
	return ""
}

// placeStep starts waiting tasks of a step. It reports whether no task is left waiting.
func (cr *Core) placeStep(rd *round, st *step) bool {
	now, room, js := rd.now, st.spec.ResourceRequest(), st.job
	var waiting, suspects []int
	waits, intended := false, false
	for at := range st.tasks {
		ts := &st.tasks[at]
		if ts.done || ts.placement != nil {
			continue
		}
		intended = intended || ts.intent != nil
		if reason := cr.holdReason(now, ts); reason != "" {
			js.waitReason, waits = reason, true
			continue
		}
		if ts.losses.suspected() && !st.spec.Gang {
			suspects = append(suspects, at)
			continue
		}
		waiting = append(waiting, at)
	}
	if len(waiting)+len(suspects) == 0 {
		return !waits
	}
	if !cr.mayStart(st, 1) {
		return js.waitFor(cr.limitWaitReason(rd, st, slices.Concat(waiting, suspects)[0]))
	}
	if st.waitingSince.IsZero() {
		st.waitingSince = now
	}
	if !intended && rd.cannotFit(room) {
		cr.planAhead(rd, st, waiting)
		cr.preempt(rd, st, len(waiting))
		cr.reserve(rd, st, len(waiting))
		cr.reserveForSuspects(rd, st, len(suspects))
		return js.waitFor(cr.noRoomReason(rd, st))
	}
	if cr.queueOf(js.spec).Advice != nil && !cr.ensureTickets(now, st, rd.usable) {
		return js.waitFor(WaitTickets)
	}
	if st.spec.Gang {
		js.waitReason = WaitGang
		cr.placeGang(rd, st, waiting)
		return false
	}
	if !cr.placeSuspects(rd, st, suspects) {
		js.waitReason, waits = WaitOwnWorker, true
	}
	return cr.placeWaiting(rd, st, waiting) && !waits
}

// placeWaiting starts waiting tasks of a step that are not suspects. It reports whether none is left waiting.
func (cr *Core) placeWaiting(rd *round, st *step, waiting []int) bool {
	now, room, js := rd.now, st.spec.ResourceRequest(), st.job
	waits, unplaced := false, 0
	for _, at := range waiting {
		switch {
		case !cr.startWindow.canStart():
			return js.waitFor(WaitStartWindow)
		case cr.deferred(rd, st, at):
			return js.waitFor(WaitMachineLimit)
		case !cr.mayStart(st, 1):
			return js.waitFor(cr.limitWaitReason(rd, st, at))
		}
		if unplaced > 0 && st.tasks[at].intent == nil {
			// All tasks of a step have the same size.
			unplaced++
			continue
		}
		cd := cr.pick(rd, st, at)
		if cd == nil && cr.packed(rd, st, at) {
			return js.waitFor(WaitMachineLimit)
		}
		if cd == nil {
			unplaced++
			continue
		}
		if !cr.ensureIntent(rd, st, at, cd) {
			rd.reserveIntent(st.tasks[at].intent)
			js.waitReason, waits = WaitIntent, true
			continue
		}
		cr.startTask(now, st, at, cd, st.tasks[at].attempt+1)
		rd.used = rd.used.Add(room)
	}
	if unplaced > 0 {
		cr.noteEvacuationWait(now, st)
		rd.recordNoRoom(room)
		cr.planAhead(rd, st, waiting)
		cr.preempt(rd, st, unplaced)
		cr.reserve(rd, st, unplaced)
		return js.waitFor(cr.unplacedReason(rd, st))
	}
	st.waitingSince = time.Time{}
	return !waits
}

// waitFor records why a task of the job is left waiting. It returns false, which callers return as "no task is left waiting".
func (js *jobState) waitFor(reason WaitReason) bool {
	js.waitReason = reason
	return false
}

// bestCandidate returns the worker with the lowest score for a task, or nil if there is none.
func (cr *Core) bestCandidate(now time.Time, st *step, at int, usable []*candidate) *candidate {
	var best *candidate
	var bestCost float64
	for _, cd := range usable {
		if !cr.feasible(now, st, cd) || !st.tasks[at].isolationAllows(now, st, cd) {
			continue
		}
		if cost := cr.cost(st, at, cd); best == nil || cost < bestCost {
			best, bestCost = cd, cost
		}
	}
	return best
}

// feasible reports whether a task of the step may be started on a worker now.
func (cr *Core) feasible(now time.Time, st *step, cd *candidate) bool {
	return cr.feasibleInTurn(now, st, cd) && !cr.turnTaken(now, st, cd)
}

// feasibleInTurn reports whether a task of the step may be started on a worker once it has its turn there.
func (cr *Core) feasibleInTurn(now time.Time, st *step, cd *candidate) bool {
	return cr.suits(now, st, cd) && (cr.queueOf(st.job.spec).Advice == nil || st.tickets[cd.info.ID] != "")
}

// suits reports whether a worker has room for a task of the step and may run it, if the advice service permits it.
func (cr *Core) suits(now time.Time, st *step, cd *candidate) bool {
	sp := st.spec
	if !sp.ResourceRequest().Fits(cd.free) || cd.quarantinedFor != nil && cd.quarantinedFor != st.job || !cr.crashLoopAllows(now, st, cd) {
		return false
	}
	if sp.Label != "" && !hasLabel(cd.info.Labels, sp.Label) {
		return false
	}
	return sp.SpreadLimit == 0 || st.tasksOn(cd.worker) < sp.SpreadLimit
}

// tasksOn counts the tasks of the step on a worker.
func (st *step) tasksOn(wk *worker) int {
	count := 0
	for _, pl := range wk.placed {
		if pl.step == st {
			count++
		}
	}
	for tk := range wk.foreign {
		if tk.Job == st.job.spec.ID && tk.Run == st.run && tk.Step == st.index {
			count++
		}
	}
	return count
}

// cost returns the score of a worker for a task; lower is better.
func (cr *Core) cost(st *step, at int, cd *candidate) float64 {
	sp := st.spec
	cost := weightFree * fraction(cd.free.CPUMillis, cd.info.Room.CPUMillis)
	if sp.DataRack != "" && cd.info.Rack != sp.DataRack {
		cost += weightRemote
	}
	if cd.cold {
		cost += weightCold
	}
	if st.tasks[at].avoid == cd.info.ID {
		cost += weightAvoid
	}
	if st.tasks[at].losses.suspected() {
		// Tasks of its own job are under suspicion as well, so their company costs nothing.
		cost += weightSharedWorker * float64(len(cd.placed)-2*st.job.tasksOn(cd.worker))
	}
	if sp.LongRunning {
		if cd.longRunning > 0 {
			cost -= weightLongRunning
		}
		if 2*cr.tasksOnRack(st, cd.info.Rack) >= len(st.tasks) {
			cost += weightRackSpread
		}
	}
	if sp.BestEffort {
		cost += weightColocation * float64(cd.serving)
	}
	if sp.LatencyObjective > 0 {
		cost += weightColocation * float64(cd.bestEffort)
	}
	return cost
}

// tasksOnRack counts the tasks of the step in a rack.
func (cr *Core) tasksOnRack(st *step, rack string) int {
	count := 0
	for at := range st.tasks {
		if pl := st.tasks[at].placement; pl != nil && pl.worker.info.Rack == rack {
			count++
		}
	}
	return count
}

func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// startTask orders the start of an attempt.
func (cr *Core) startTask(now time.Time, st *step, at int, cd *candidate, attempt job.Attempt) {
	ts := &st.tasks[at]
	wk := cd.worker
	ts.attempt, ts.ordered = attempt, true
	tk := job.Task{Job: st.job.spec.ID, Run: st.run, Step: st.index, Index: at}
	pl := &placement{task: tk, step: st, worker: wk, attempt: attempt, phase: starting, token: cr.token(wk), room: st.spec.ResourceRequest(), orderedAt: now, throttle: 100, suspect: ts.losses.suspected(), intentSaved: ts.intent != nil}
	cr.removeIntent(ts)
	ts.placement = pl
	wk.addPlacement(pl)
	cr.startWindow.inFlight++
	cr.pace.started++
	if len(cr.crashLoops) > 0 {
		cd.recentStarts.add(cr, now, now, st.job)
	}
	cd.free = cd.free.Sub(pl.room)
	cr.endStand(now, st.job)
	st.job.started = true
	wk.busyAt = now
	until := cr.leaseUntil(wk, now)
	cr.recordLease(wk, until)
	why := "room and turn"
	if pl.suspect {
		why = "by itself, since workers ended under it"
	}
	cr.opts.Log(Decision{What: "start", Task: tk, Attempt: attempt, Worker: wk.info.ID, Token: pl.token, Why: why, PollAge: now.Sub(wk.polledAt), LossCount: ts.losses.total()})
	cr.order(Start{
		Worker: wk.info.ID, Address: wk.info.Address, Token: pl.token, Task: tk, Attempt: attempt,
		Payload: st.job.spec.Payload, PayloadAt: st.job.spec.Acceptor, LeaseUntil: until, Checkpoint: ts.checkpoint, Ticket: st.tickets[wk.info.ID], Hall: wk.info.Hall,
	})
}
