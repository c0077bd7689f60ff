package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Intents are starts that are kept before they are ordered, so that a next owner knows where a task was tried whatever became of the owner and
// of the worker. They cost a write before the start, so that only tasks have them that may have ended a worker already.

const (
	// intentHoldTime is for how long an intent holds its room against other tasks.
	intentHoldTime = 3 * time.Second
	// plannedIntentWait is how long a task waits for room on the worker that is kept for it before another is chosen.
	plannedIntentWait = 5 * time.Second
	// plannedRoomDivisor divides the room of a worker into what is planned ahead.
	plannedRoomDivisor = 2
)

// intent is where a task is to be started once that is kept.
type intent struct {
	step   *step
	index  int
	worker WorkerID
	// jobGen is the state of the job from which on it is kept.
	jobGen    int
	createdAt time.Time
	// roomReserved means that room is kept free for it in this round, took how much.
	roomReserved bool
	reservedRoom job.Size
	// planned means that it was made for when the worker has room, and holds none.
	planned bool
}

// needsIntent reports whether a task is started only once that is kept: it has lost a worker, or an earlier owner may have lost one with it unseen.
func (cr *Core) needsIntent(js *jobState, ts *taskState) bool {
	return ts.lost.total()+len(ts.lost.unresolved) > 0 || js.spec.Epoch < cr.unseenLossEpoch
}

// ensureIntent reports whether a task may be started on a worker now; if that is to be ensureIntent first, it sees to it.
func (cr *Core) ensureIntent(rd *round, st *step, at int, cd *candidate) bool {
	ts := &st.tasks[at]
	if !cr.needsIntent(st.job, ts) {
		return true
	}
	if in := ts.intent; in == nil || in.worker != cd.info.ID {
		cr.addIntent(rd.now, st, at, cd)
	}
	// From now on its room is held.
	ts.intent.planned = false
	return st.job.savedGen >= ts.intent.jobGen && cr.answeredSinceIntent(rd.now, ts, cd)
}

// answeredSinceIntent reports whether the worker has answered since a suspect that is to have it to itself was meant for it. On one that had ended before
// without a word, the next loss would prove nothing and count all the same.
func (cr *Core) answeredSinceIntent(now time.Time, ts *taskState, cd *candidate) bool {
	if ts.lost.weighted() < isolationLosses || !cd.aliveAt.Before(ts.intent.createdAt) {
		return true
	}
	cd.probeSince = ts.intent.createdAt
	cd.nextPoll = earliest(cd.nextPoll, now)
	return false
}

// addIntent has it kept that a task is to be started on a worker.
func (cr *Core) addIntent(now time.Time, st *step, at int, cd *candidate) {
	cr.markDirty(st.job)
	// What is not known to have lost a worker shares a save with the ends of others: there are many of them after a takeover.
	ts := &st.tasks[at]
	cr.urgentSave = cr.urgentSave || ts.lost.total()+len(ts.lost.unresolved) > 0
	in := &intent{step: st, index: at, worker: cd.info.ID, jobGen: st.job.gen, createdAt: now}
	cr.removeIntent(ts)
	ts.intent = in
	cr.intents = append(cr.intents, in)
}

// planAhead has it kept of tasks for which there is no room where they are to be started once there is some, so that room which becomes free
// is not left idle for as long as a write takes. It is for tasks that are not known to have lost a worker, and plans no more for a worker than
// half of its room.
func (cr *Core) planAhead(rd *round, st *step, members []int) {
	if cr.queues[st.job.spec.Queue].Advice != nil {
		// Which workers it may have is known only once the advice service has named them.
		return
	}
	var cd *candidate
	for _, at := range members {
		ts := &st.tasks[at]
		if ts.placement != nil || ts.intent != nil || ts.lost.total()+len(ts.lost.unresolved) > 0 || !cr.needsIntent(st.job, ts) {
			continue
		}
		// The tasks of a step stay together, so that its job's row names few workers.
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

// fitsPlanned reports whether one more task of a step may be planned ahead for a worker.
func (cd *candidate) fitsPlanned(st *job.Step) bool {
	return cd.plannedRoom.Add(st.ResourceRequest()).Mul(plannedRoomDivisor).Fits(cd.info.Room)
}

// leastPlanned is the worker for which the least is planned ahead of those that may run one more task of a step; nil if there is none.
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

// removeIntent gives up the intent of a task.
func (cr *Core) removeIntent(ts *taskState) {
	if ts.intent == nil {
		return
	}
	cr.intents = slices.DeleteFunc(cr.intents, func(in *intent) bool { return in == ts.intent })
	ts.intent = nil
}

// cancelIntent gives up an intent that did not become a start, which a next owner is to know.
func (cr *Core) cancelIntent(st *step, at int) {
	if st.tasks[at].intent != nil {
		cr.removeIntent(&st.tasks[at])
		cr.markDirty(st.job)
	}
}

// reserveIntents keeps room free for the starts that wait to be kept.
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

// reserveIntent keeps the room of an intent from other tasks, and a suspect's worker from all but those of its job.
func (rd *round) reserveIntent(in *intent) {
	cd := rd.candidate(in.worker)
	if cd == nil || in.roomReserved {
		return
	}
	in.roomReserved, in.reservedRoom = true, in.step.spec.ResourceRequest()
	if in.step.tasks[in.index].lost.suspected() {
		rd.quarantineFor(cd, in.step.job)
	}
	cd.free = cd.free.Sub(in.reservedRoom)
}

// releaseIntent gives the room of an intent back, for the task itself.
func (rd *round) releaseIntent(in *intent) {
	if in == nil || !in.roomReserved {
		return
	}
	in.roomReserved = false
	if cd := rd.candidate(in.worker); cd != nil {
		cd.free = cd.free.Add(in.reservedRoom)
	}
}

// candidate finds a usable worker by its name; nil if there is none.
func (rd *round) candidate(id WorkerID) *candidate {
	if rd.byID == nil {
		rd.byID = make(map[WorkerID]*candidate, len(rd.usable))
		for _, cd := range rd.usable {
			rd.byID[cd.info.ID] = cd
		}
	}
	return rd.byID[id]
}

// pick chooses the worker for a task: the one that is kept for it if it still fits, otherwise the best. It returns nil if none has room, or if
// the task waits for room on the worker that is kept for it.
func (cr *Core) pick(rd *round, st *step, at int) *candidate {
	ts := &st.tasks[at]
	if in := ts.intent; in != nil {
		rd.releaseIntent(in)
		cd := rd.candidate(in.worker)
		if cd != nil && cr.feasible(rd.now, st, cd) && ts.isolationAllows(rd.now, st, cd) {
			return cd
		}
		if cd != nil && in.planned && rd.now.Sub(in.createdAt) < plannedIntentWait {
			cr.wakeAt(in.createdAt.Add(plannedIntentWait))
			return nil
		}
		cr.cancelIntent(st, at)
	}
	return cr.bestCandidate(rd.now, st, at, rd.usable)
}

// ensureGangIntents reports whether all members of a gang may be started on the workers chosen; if that is to be kept first, it sees to it.
func (cr *Core) ensureGangIntents(rd *round, st *step, members []int, chosen []*candidate) bool {
	cautious := false
	for _, at := range members {
		cautious = cautious || cr.needsIntent(st.job, &st.tasks[at])
	}
	if !cautious {
		return true
	}
	all := true
	for order, at := range members {
		in := st.tasks[at].intent
		if in == nil || in.worker != chosen[order].info.ID {
			cr.addIntent(rd.now, st, at, chosen[order])
		}
		all = all && st.job.savedGen >= st.tasks[at].intent.jobGen && cr.answeredSinceIntent(rd.now, &st.tasks[at], chosen[order])
		rd.reserveIntent(st.tasks[at].intent)
	}
	return all
}

// NoteUnseenLosses tells up to which owner, none included, tasks may have been lost with workers that no owner saw again.
func (cr *Core) NoteUnseenLosses(epoch job.Epoch) {
	cr.unseenLossEpoch = max(cr.unseenLossEpoch, epoch)
}

// UnseenLossEpoch is what is to be told a next owner of that; 0 once none of the jobs of that time is open.
func (cr *Core) UnseenLossEpoch() job.Epoch {
	old := func(js *jobState) bool { return js.spec.Epoch < cr.unseenLossEpoch }
	// Before the first plan the jobs may not be known.
	if !cr.plannedAt.IsZero() && !slices.ContainsFunc(cr.openJobs, old) {
		return 0
	}
	return cr.unseenLossEpoch
}
