package cell

import (
	"iter"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// A round of placement: the workers that may receive tasks now, with their free room, and what the round has found out so far.

// candidate is a worker that accepts tasks, with its free room in this round.
type candidate struct {
	*worker
	free job.Size
	// roomUncertain means that the registration is too old to rely on the worker's full room.
	roomUncertain bool
	// cold means that the worker is still slow after its start.
	cold bool
	// plannedRoom is the room of the tasks that are to start here once there is room.
	plannedRoom job.Size
	// recentStarts are the tasks started here recently. It is filled only while some queue is in a crash loop.
	recentStarts recentStarts
	// quarantinedFor is the job whose suspects have exclusive use of the worker, or nil.
	quarantinedFor *jobState
	// dedicated means that the worker is for long-running tasks; freeing means that its machine is wanted elsewhere. Tasks of queues in a
	// crash loop stay off both.
	dedicated, freeing bool
}

// round is the state of one round of placement.
type round struct {
	now    time.Time
	usable []*candidate
	// noRoomFor holds task sizes for which no worker has enough free room, regardless of other constraints.
	noRoomFor []job.Size
	// allPlannedFor holds task sizes for which no worker has room beside the tasks that are planned for it.
	allPlannedFor []job.Size
	// limitNoRoomFor holds the same for tasks that their organisation's limit would not allow anyway. They do not wait for room.
	limitNoRoomFor []job.Size
	// lowestPriority is the lowest priority among the running tasks, valid if lowestKnown is set. preemptingSteps counts the steps for which
	// preemption was tried.
	lowestPriority  int
	lowestKnown     bool
	preemptingSteps int
	// reserved counts the workers reserved for long-running tasks.
	reserved int
	// quarantined counts the workers in exclusive use of suspects. suspectsWaiting means that the limit kept some suspects waiting; useIdle
	// selects the higher limit.
	quarantined              int
	suspectsWaiting, useIdle bool
	// quarantinedBefore is the value of quarantined at the start of the round.
	quarantinedBefore int
	// used and room are totals over the usable workers, poolRoom over all registered ones that are not leaving.
	used, room, poolRoom job.Size
	// kept are the workers that late jobs may use under a machine limit. It is built on first use.
	kept []*candidate
	// byID indexes the usable workers by ID. It is built on first use.
	byID map[WorkerID]*candidate
}

// newRound collects the workers that may receive tasks now.
func (cr *Core) newRound(now time.Time) *round {
	quarantined := cr.quarantined()
	rd := &round{now: now, usable: cr.usable(now), quarantined: quarantined, quarantinedBefore: quarantined}
	var free job.Size
	for _, cd := range rd.usable {
		// A worker whose room shrank below its usage counts as full instead of reducing the totals.
		free = free.Add(cd.free.NonNegative())
		rd.used = rd.used.Add(cd.used.Min(cd.info.Room))
		rd.room = rd.room.Add(cd.info.Room)
	}
	for wk := range cr.staying(now) {
		rd.poolRoom = rd.poolRoom.Add(wk.info.Room)
	}
	cr.findRecentStarts(rd)
	cr.reserveIntents(rd)
	cr.roundUsable, cr.roundRoom, cr.roundShare = len(rd.usable), free, rd.utilization()
	return rd
}

// cannotFit reports whether no worker has room for a size, as far as the sizes in noRoomFor show.
func (rd *round) cannotFit(room job.Size) bool {
	for _, sz := range rd.noRoomFor {
		if sz.Fits(room) {
			return true
		}
	}
	return false
}

// recordNoRoom adds a size to noRoomFor if no worker has room for it. A task may also be unplaced for another reason.
func (rd *round) recordNoRoom(room job.Size) {
	for _, cd := range rd.usable {
		if room.Fits(cd.free) {
			return
		}
	}
	rd.noRoomFor = append(rd.noRoomFor, room)
}

// usable returns the workers that may receive tasks now.
func (cr *Core) usable(now time.Time) []*candidate {
	var list []*candidate
	for _, wk := range cr.sortedWorkers {
		if !cr.acceptsTasks(now, wk) {
			continue
		}
		if len(wk.foreign) > 0 {
			// The room taken by attempts of other owners is unknown.
			continue
		}
		room := cr.usableRoom(now, wk)
		list = append(list, &candidate{worker: wk, free: wk.coldRoom(now, room).Sub(wk.used), roomUncertain: room != wk.info.Room, cold: wk.cold(now)})
	}
	return withoutSlow(now, list)
}

// staying iterates over the registered workers that are not leaving, whether or not they accept tasks at present.
func (cr *Core) staying(now time.Time) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, wk := range cr.sortedWorkers {
			if wk.registered && !cr.leaving(now, wk) && !yield(wk) {
				return
			}
		}
	}
}

// acceptsTasks reports whether a worker may receive new tasks.
func (cr *Core) acceptsTasks(now time.Time, wk *worker) bool {
	switch {
	case cr.leaving(now, wk) || cr.cordoned(now, wk) || wk.info.Unschedulable || cr.evacuated(wk):
		return false
	case !wk.fenced || !wk.recorded || wk.silence != nil || wk.clockAt.IsZero() || wk.failedPolls > 0 || wk.startUnsettled:
		return false
	case now.Before(wk.unhealthyUntil) || wk.failures.ejected(now) || wk.quarantined():
		return false
	case !wk.registered:
		return now.Sub(wk.unregisteredAt) < unregisteredGrace && now.Sub(wk.polledAt) < freshPollAge
	}
	return true
}
