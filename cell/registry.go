package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Register tells of a worker as it is registered now.
func (cr *Core) Register(now time.Time, in Worker) {
	wk := cr.ensureWorker(in.ID)
	if in.Draining && !wk.info.Draining {
		cr.opts.Log(Decision{What: "worker drains", Worker: in.ID})
	}
	cr.renewalsVisible = cr.renewalsVisible || wk.registrationRead && in.WrittenAt.After(wk.info.WrittenAt)
	if !wk.registrationRead && !in.WrittenAt.IsZero() && now.Sub(in.WrittenAt) > cr.opts.RegistrationMaxAge {
		wk.roomUncertainUntil = now.Add(RegistrationRenewal)
	}
	wk.info, wk.registered, wk.registrationRead, wk.unregisteredAt = in, true, true, time.Time{}
}

// uncertainRoomDivisor divides the room of a worker whose registration is old into what is counted on: an outage of the store keeps it from telling that its
// room has shrunk, and what is overfull ends for all tasks there.
const uncertainRoomDivisor = 3

// RegistrationRenewal is how long a registration that was old when it was first read may take to be written anew.
const RegistrationRenewal = 2500 * time.Millisecond

// usableRoom is the room of a worker that is counted on. Some platforms do not tell that a registration was written anew and says the same; then its age
// means nothing, but where it is old from the first.
func (cr *Core) usableRoom(now time.Time, wk *worker) job.Size {
	old := now.Sub(wk.info.WrittenAt) > cr.opts.RegistrationMaxAge
	if old && (cr.renewalsVisible || now.Before(wk.roomUncertainUntil)) {
		return wk.info.Room.Div(uncertainRoomDivisor)
	}
	return wk.info.Room
}

// Unregister tells that a worker's registration is gone, which alone does not prove that it is.
func (cr *Core) Unregister(now time.Time, id WorkerID) {
	if wk, ok := cr.workers[id]; ok && wk.registered {
		wk.registered, wk.unregisteredAt = false, now
	}
}

// WorkerEnded tells that a life of a worker has ended for certain: its machine runs another or none.
func (cr *Core) WorkerEnded(now time.Time, id WorkerID) {
	if wk, ok := cr.workers[id]; ok {
		cr.handleWorkerEnd(now, wk, "its machine says so", 0)
	}
}

// MachineOf is the machine of a worker; empty if it is not known.
func (cr *Core) MachineOf(id WorkerID) MachineID {
	if wk, ok := cr.workers[id]; ok {
		return wk.info.Machine
	}
	return ""
}

// WorkerMoved tells that a worker has ended since its machine was moved to another pool, which is done only once nothing is left there.
func (cr *Core) WorkerMoved(now time.Time, id WorkerID) {
	if _, open := cr.unresolved[id]; open {
		cr.movedWorkers[id] = true
	}
	cr.WorkerEnded(now, id)
}

const (
	// unresponsiveAfter is how long a worker must have been silent before it is asked for elsewhere.
	unresponsiveAfter = 500 * time.Millisecond
	// connBrokenAfter is how long one must be whose connections broke: its port is dead, so that most likely its life has ended. What ran there
	// waits for that word.
	connBrokenAfter = 50 * time.Millisecond
	// urgentFor is for how long after that the question is pressing.
	urgentFor = 2 * time.Second
)

// Unresponsive lists the workers that do not answer while something runs, or may run, on them; pressing tells that the connections of one of them
// broke just now.
func (cr *Core) Unresponsive(now time.Time) (ids []WorkerID, pressing bool) {
	for _, wk := range cr.sortedWorkers {
		_, open := cr.unresolved[wk.info.ID]
		if wk.failedPolls == 0 || !open && len(wk.placements) == 0 && len(wk.leaseExpired) == 0 {
			continue
		}
		broke := wk.connBroken && now.Sub(wk.firstFailedAt) > connBrokenAfter
		if !broke && now.Sub(wk.polledAt) <= unresponsiveAfter {
			continue
		}
		ids = append(ids, wk.info.ID)
		pressing = pressing || broke && now.Sub(wk.firstFailedAt) < urgentFor
	}
	return ids, pressing
}

// Cordon tells which workers get no new tasks since their machines are wanted, whatever their lives.
func (cr *Core) Cordon(names map[WorkerName]bool) { cr.cordons = names }

// Drained reports whether nothing runs or may run on a worker in any of its lives, and all that has ended there is kept.
func (cr *Core) Drained(name WorkerName) bool {
	for _, wk := range cr.incarnations(name) {
		if len(wk.placements)+len(wk.foreign)+len(wk.unackedEnds) > 0 || !wk.fenced && wk.recorded {
			return false
		}
	}
	return !cr.mayRunUnseen(name)
}
