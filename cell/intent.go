package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Intents are starts that are saved before they are ordered. The next owner then knows where a task was tried, whatever became of this owner and
// of the worker. An intent delays the start by a write, so only tasks that may already have crashed a worker have one.

const (
	// intentHoldTime is how long an intent reserves its room.
	intentHoldTime = 3 * time.Second
	// plannedIntentWait is how long a task waits for room on the worker of its planned intent while no other worker has room that is not planned for.
	plannedIntentWait = 5 * time.Second
	// plannedRoomDivisor limits the room of planned intents on a worker to this fraction of its room.
	plannedRoomDivisor = 2
)

// intent is the planned start of a task on a worker, which is ordered once the intent is saved.
type intent struct {
	step   *step
	index  int
	worker WorkerID
	// jobGen is the generation of the job's progress that contains the intent.
	jobGen    int
	createdAt time.Time
	// roomReserved means that reservedRoom is kept free for the intent in this round.
	roomReserved bool
	reservedRoom job.Size
	// planned means that the intent was made before the worker had room. It reserves none.
	planned bool
}

// needsIntent reports whether a task has to be saved as an intent before it is started: it has lost a worker, or an earlier owner may have lost
// one unseen with the task on it.
func (cr *Core) needsIntent(js *jobState, ts *taskState) bool {
	return ts.losses.total()+len(ts.losses.unresolved) > 0 || js.spec.Epoch < cr.unseenLossEpoch
}

// ensureIntent reports whether a task may be started on a worker now. If that needs an intent, ensureIntent creates it and returns false until
// the intent is saved and, for a suspect that needs a worker of its own, the worker has answered since.
func (cr *Core) ensureIntent(rd *round, st *step, at int, cd *candidate) bool {
	ts := &st.tasks[at]
	if !cr.needsIntent(st.job, ts) {
		return true
	}
	if in := ts.intent; in == nil || in.worker != cd.info.ID {
		cr.addIntent(rd.now, st, at, cd)
	}
	// The room is reserved from now on.
	ts.intent.planned = false
	return st.job.savedGen >= ts.intent.jobGen && cr.answeredSinceIntent(rd.now, ts, cd)
}

// answeredSinceIntent reports whether the worker has answered since the intent was made, if the suspect needs a worker of its own. If the worker
// had already ended unnoticed, the next loss would count against the task without proving anything.
func (cr *Core) answeredSinceIntent(now time.Time, ts *taskState, cd *candidate) bool {
	if ts.losses.weighted() < isolationLosses || !cd.aliveAt.Before(ts.intent.createdAt) {
		return true
	}
	cd.probeSince = ts.intent.createdAt
	cd.nextPoll = earliest(cd.nextPoll, now)
	return false
}

// addIntent creates the intent to start a task on a worker, to be saved with the job.
func (cr *Core) addIntent(now time.Time, st *step, at int, cd *candidate) {
	cr.markDirty(st.job)
	// Intents of tasks without a known loss are saved together with ended attempts, since there are many of them after a takeover.
	ts := &st.tasks[at]
	cr.urgentSave = cr.urgentSave || ts.losses.total()+len(ts.losses.unresolved) > 0
	in := &intent{step: st, index: at, worker: cd.info.ID, jobGen: st.job.gen, createdAt: now}
	cr.removeIntent(ts)
	ts.intent = in
	cr.intents = append(cr.intents, in)
}

// planAhead creates intents for tasks that have no room yet, so that freed room is not idle for the duration of a write. It only applies to tasks
// without a known loss, and plans at most half of a worker's room.
func (cr *Core) planAhead(rd *round, st *step, members []int) {
	if cr.queueOf(st.job.spec).Advice != nil {
		// The permitted workers are known only once the advice service has named them.
		return
	}
	var cd *candidate
	for _, at := range members {
		ts := &st.tasks[at]
		if ts.placement != nil || ts.intent != nil || ts.losses.total()+len(ts.losses.unresolved) > 0 || !cr.needsIntent(st.job, ts) {
			continue
		}
		// Tasks of a step are planned for the same worker, so that the job's row names few workers.
		if cd == nil || !cd.fitsPlanned(st.spec) {
			cd = rd.leastPlanned(st)
		}
		if cd == nil {
			return
		}
		cr.addIntent(rd.now, st, at, cd)
		ts.intent.planned = true
		cd.plannedRoom = cd.plannedRoom.Add(st.spec.ResourceRequest())
	}
}

// fitsPlanned reports whether another task of a step may be planned for a worker.
func (cd *candidate) fitsPlanned(st *job.Step) bool {
	return cd.plannedRoom.Add(st.ResourceRequest()).Mul(plannedRoomDivisor).Fits(cd.info.Room)
}

// leastPlanned returns the worker with the least planned room among those that may run another task of a step, or nil.
func (rd *round) leastPlanned(st *step) *candidate {
	var best *candidate
	for _, cd := range rd.usable {
		sp := st.spec
		if sp.Label != "" && !hasLabel(cd.info.Labels, sp.Label) || sp.DataRack != "" && cd.info.Rack != sp.DataRack || sp.SpreadLimit > 0 {
			continue
		}
		if cd.fitsPlanned(sp) && (best == nil || cd.plannedRoom.CPUMillis < best.plannedRoom.CPUMillis) {
			best = cd
		}
	}
	return best
}

// removeIntent removes the intent of a task.
func (cr *Core) removeIntent(ts *taskState) {
	if ts.intent == nil {
		return
	}
	cr.intents = slices.DeleteFunc(cr.intents, func(in *intent) bool { return in == ts.intent })
	ts.intent = nil
}

// cancelIntent removes an intent that was not followed by a start, and saves that for the next owner.
func (cr *Core) cancelIntent(st *step, at int) {
	if st.tasks[at].intent != nil {
		cr.removeIntent(&st.tasks[at])
		cr.markDirty(st.job)
	}
}

// reserveIntents reserves room for the starts whose intents are not saved yet.
func (cr *Core) reserveIntents(rd *round) {
	cr.intents = slices.DeleteFunc(cr.intents, func(in *intent) bool {
		ts := &in.step.tasks[in.index]
		return ts.intent != in || ts.done || in.step.job.ended()
	})
	for _, in := range cr.intents {
		in.roomReserved, in.reservedRoom = false, job.Size{}
		if in.planned {
			if cd := rd.candidate(in.worker); cd != nil {
				cd.plannedRoom = cd.plannedRoom.Add(in.step.spec.ResourceRequest())
			}
			continue
		}
		if rd.now.Sub(in.createdAt) < intentHoldTime {
			rd.reserveIntent(in)
		}
	}
}

// reserveIntent reserves the room of an intent. For a suspect it also keeps tasks of other jobs off the worker.
func (rd *round) reserveIntent(in *intent) {
	cd := rd.candidate(in.worker)
	if cd == nil || in.roomReserved {
		return
	}
	in.roomReserved, in.reservedRoom = true, in.step.spec.ResourceRequest()
	if in.step.tasks[in.index].losses.suspected() {
		rd.quarantineFor(cd, in.step.job)
	}
	cd.free = cd.free.Sub(in.reservedRoom)
}

// releaseIntent returns the room of an intent, for use by the task itself.
func (rd *round) releaseIntent(in *intent) {
	if in == nil || !in.roomReserved {
		return
	}
	in.roomReserved = false
	if cd := rd.candidate(in.worker); cd != nil {
		cd.free = cd.free.Add(in.reservedRoom)
	}
}

// candidate returns the usable worker with an ID, or nil.
func (rd *round) candidate(id WorkerID) *candidate {
	if rd.byID == nil {
		rd.byID = make(map[WorkerID]*candidate, len(rd.usable))
		for _, cd := range rd.usable {
			rd.byID[cd.info.ID] = cd
		}
	}
	return rd.byID[id]
}

// pick returns the worker for a task: the worker of its intent if the task still fits there, otherwise the best one. It returns nil if no worker
// has room, or if the task waits for room on the worker of its intent.
func (cr *Core) pick(rd *round, st *step, at int) *candidate {
	ts := &st.tasks[at]
	if in := ts.intent; in != nil {
		rd.releaseIntent(in)
		cd := rd.candidate(in.worker)
		if cd != nil && cr.feasible(rd.now, st, cd) && ts.isolationAllows(rd.now, st, cd) {
			return cd
		}
		if cd != nil && in.planned && rd.now.Sub(in.createdAt) < plannedIntentWait {
			other := cr.unplannedCandidate(rd, st, at)
			if other == nil {
				cr.wakeAt(in.createdAt.Add(plannedIntentWait))
				return nil
			}
			cr.cancelIntent(st, at)
			return other
		}
		if cd != nil && rd.now.Sub(in.createdAt) < intentHoldTime && cr.feasibleInTurn(rd.now, st, cd) && cr.turnTaken(rd.now, st, cd) {
			// Another intent would cost a write, and its worker's turn might be taken by then as well.
			rd.reserveIntent(in)
			return nil
		}
		cr.cancelIntent(st, at)
	}
	return cr.bestCandidate(rd.now, st, at, cr.usableFor(rd, st, at))
}

// unplannedCandidate returns the best worker for a task that has room beside the tasks planned there, or nil. Tasks without a plan go to the fullest
// workers first, so the one that a task is planned for may stay full while others become idle.
func (cr *Core) unplannedCandidate(rd *round, st *step, at int) *candidate {
	room := st.spec.ResourceRequest()
	if slices.ContainsFunc(rd.allPlannedFor, func(sz job.Size) bool { return sz.Fits(room) }) {
		return nil
	}
	var unplanned []*candidate
	for _, cd := range cr.usableFor(rd, st, at) {
		if room.Fits(cd.free.Sub(cd.plannedRoom)) {
			unplanned = append(unplanned, cd)
		}
	}
	if len(unplanned) == 0 && !cr.packed(rd, st, at) {
		rd.allPlannedFor = append(rd.allPlannedFor, room)
	}
	return cr.bestCandidate(rd.now, st, at, unplanned)
}

// ensureGangIntents reports whether all members of a gang may be started on the chosen workers. If that needs intents, ensureGangIntents creates
// them and returns false until they are saved.
func (cr *Core) ensureGangIntents(rd *round, st *step, members []int, chosen []*candidate) bool {
	needed := false
	for _, at := range members {
		needed = needed || cr.needsIntent(st.job, &st.tasks[at])
	}
	if !needed {
		return true
	}
	ready := true
	for order, at := range members {
		in := st.tasks[at].intent
		if in == nil || in.worker != chosen[order].info.ID {
			cr.addIntent(rd.now, st, at, chosen[order])
		}
		ready = ready && st.job.savedGen >= st.tasks[at].intent.jobGen && cr.answeredSinceIntent(rd.now, &st.tasks[at], chosen[order])
		rd.reserveIntent(st.tasks[at].intent)
	}
	return ready
}

// NoteUnseenLosses records that jobs accepted before an epoch may have lost tasks with workers that no owner saw again.
func (cr *Core) NoteUnseenLosses(epoch job.Epoch) {
	cr.unseenLossEpoch = max(cr.unseenLossEpoch, epoch)
}

// UnseenLossEpoch returns the epoch before which jobs may have lost tasks unseen, to be passed to the next owner. It returns 0 once no job
// accepted before it is open.
func (cr *Core) UnseenLossEpoch() job.Epoch {
	old := func(js *jobState) bool { return js.spec.Epoch < cr.unseenLossEpoch }
	// The jobs may not be loaded before the first plan.
	if !cr.plannedAt.IsZero() && !slices.ContainsFunc(cr.openJobs, old) {
		return 0
	}
	return cr.unseenLossEpoch
}
