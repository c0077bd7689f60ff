package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Register records the current registration of a worker.
func (cr *Core) Register(now time.Time, registration Worker) {
	wk := cr.ensureWorker(registration.ID)
	if registration.Draining && !wk.info.Draining {
		cr.opts.Log(Decision{What: "worker drains", Worker: registration.ID})
	}
	cr.renewalsVisible = cr.renewalsVisible || wk.registrationRead && registration.WrittenAt.After(wk.info.WrittenAt)
	if !wk.registrationRead && !registration.WrittenAt.IsZero() && now.Sub(registration.WrittenAt) > cr.opts.RegistrationMaxAge {
		wk.roomUncertainUntil = now.Add(RegistrationRenewal)
	}
	wk.observeCold(now, registration.ColdFor)
	wk.info, wk.registered, wk.registrationRead, wk.unregisteredAt = registration, true, true, time.Time{}
	wk.planned = wk.planned.registered()
}

// uncertainRoomDivisor reduces the room counted on for a worker with an old registration. During a store outage the registration cannot report
// that the room has shrunk, and if a worker exceeds its room, all its tasks end.
const uncertainRoomDivisor = 3

// RegistrationRenewal is how long the renewal of a registration may take that was already old when it was first read.
const RegistrationRenewal = 2500 * time.Millisecond

// usableRoom returns the room of a worker that is counted on. Some platforms do not report the renewal of a registration with the same content.
// There its age means nothing, unless the registration was already old when first read.
func (cr *Core) usableRoom(now time.Time, wk *worker) job.Size {
	old := now.Sub(wk.info.WrittenAt) > cr.opts.RegistrationMaxAge
	if old && (cr.renewalsVisible || now.Before(wk.roomUncertainUntil)) {
		return wk.info.Room.Div(uncertainRoomDivisor)
	}
	return wk.info.Room
}

// Unregister records that a worker's registration is gone. This alone does not prove that the worker is.
func (cr *Core) Unregister(now time.Time, id WorkerID) {
	if wk, ok := cr.workers[id]; ok && wk.registered {
		wk.registered, wk.unregisteredAt = false, now
		wk.planned = wk.planned.unregistered(now.Add(-deliveryMargin))
	}
}

// WorkerEnded records that an incarnation of a worker has certainly ended: its machine runs another one or none.
func (cr *Core) WorkerEnded(now time.Time, id WorkerID) {
	if wk, ok := cr.workers[id]; ok {
		cr.handleWorkerEnd(now, wk, "reported by its machine", 0)
	}
}

// MachineOf returns the machine of a worker. It is empty if unknown.
func (cr *Core) MachineOf(id WorkerID) MachineID {
	if wk, ok := cr.workers[id]; ok {
		return wk.info.Machine
	}
	return ""
}

// WorkerMoved records that a worker has ended because its machine was moved to another pool, which only happens once nothing is left on it. Attempts
// that this owner had there were lost before, those of earlier owners were over.
func (cr *Core) WorkerMoved(now time.Time, id WorkerID) {
	if _, unresolved := cr.unresolved[id]; unresolved {
		cr.movedWorkers[id] = true
		cr.WorkerEndedByOrder(now, id)
		return
	}
	cr.WorkerEnded(now, id)
}

const (
	// unresponsiveAfter is how long a worker must not have answered before its machine is asked about it.
	unresponsiveAfter = 500 * time.Millisecond
	// connBrokenAfter is the same for a worker with broken connections. Its port is closed, so it has most likely ended, and its tasks wait for
	// confirmation.
	connBrokenAfter = 50 * time.Millisecond
	// urgentFor is how long after that the question is urgent.
	urgentFor = 2 * time.Second
)

// Unresponsive returns the workers that do not answer although something runs, or may run, on them. urgent means that the connections of one of
// them broke recently.
func (cr *Core) Unresponsive(now time.Time) (ids []WorkerID, urgent bool) {
	for _, wk := range cr.sortedWorkers {
		_, unresolved := cr.unresolved[wk.info.ID]
		if wk.failedPolls == 0 || !unresolved && len(wk.placements) == 0 && len(wk.leaseExpired) == 0 {
			continue
		}
		connBroken := wk.connBroken && now.Sub(wk.firstFailedAt) > connBrokenAfter
		if !connBroken && now.Sub(wk.polledAt) <= unresponsiveAfter {
			continue
		}
		ids = append(ids, wk.info.ID)
		urgent = urgent || connBroken && now.Sub(wk.firstFailedAt) < urgentFor
	}
	return ids, urgent
}

// Cordon sets the workers that get no new tasks because their machines are needed elsewhere. It applies to all their incarnations.
func (cr *Core) Cordon(names map[WorkerName]bool) { cr.cordons = names }

// Drained reports whether nothing runs or may run on any incarnation of a worker, and all its ended attempts are saved.
func (cr *Core) Drained(name WorkerName) bool {
	for _, wk := range cr.incarnations(name) {
		if len(wk.placements)+len(wk.foreign) > 0 || wk.hasEnds() || !wk.fenced && wk.recorded {
			return false
		}
	}
	return !cr.mayRunUnseen(name)
}
