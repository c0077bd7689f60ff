package cell

import (
	"cmp"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Parameters of the account of work by which jobs are admitted.
const (
	// usableRoomShare is the share of the room that work gets done in. The rest is lost to sizes that do not fit together.
	usableRoomShare = 0.95
	// machineArrivalTime is the time after which a machine on its way runs tasks.
	machineArrivalTime = 2500 * time.Millisecond
	// windowShare is the share of the time until its result has no value within which a job has to end by the account. The rest is left for what
	// the account cannot know.
	windowShare = 0.9
	// lastChanceShare is how long an accepted late job can still wait before its result loses its value, as a share of its objective, when it is
	// placed among the jobs in progress.
	lastChanceShare = 0.25
	// reservationTTL is how long the room of an admitted job is kept until the job arrives.
	reservationTTL = time.Second
	// accountMaxAge is how long the sums of the account are used before they are computed from the open jobs again.
	accountMaxAge = 50 * time.Millisecond
	// calmShare is the share of the time that a small job may take up to which its queue counts as calm.
	calmShare = 0.25
	// accountInUse is how long after a decision the accepted jobs are placed so that all of them end in time.
	accountInUse = 5 * time.Second
	// refusalTTL is how long a refused job is remembered after the time at which it may return, maxRefusals how many are remembered.
	refusalTTL  = 3 * time.Second
	maxRefusals = 4096
	// minRetryAfter and maxRetryAfter bound the time after which a refused job may return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// returnSlotTime is the length of the slots by which the returns of refused jobs are spread.
	returnSlotTime = 100 * time.Millisecond
	// minMachines avoids divisions by zero in a cell without room.
	minMachines = 0.1
)

// Admission is the decision on a job that has not been stored yet.
type Admission struct {
	Admitted bool
	// RetryAfter is the time after which a refused job may return.
	RetryAfter time.Duration
	// Calm means that the next jobs of the queue will be admitted as well, for a short time.
	Calm bool
	// Wait is the expected time until the job's tasks start, Window the time within which it has to end.
	Wait, Window time.Duration
	// Machines is the room that the decision counts on.
	Machines float64
	// EvacuatedHall is an evacuated data hall whose workers the job needs, if that is why it is refused.
	EvacuatedHall job.HallID
}

// workClass groups jobs that are placed before or after others whatever their size.
type workClass struct{ priority, shareClass int }

// before reports whether the jobs of a class are placed before those of another class.
func (wc workClass) before(other workClass) bool {
	return cmp.Or(cmp.Compare(wc.priority, other.priority), cmp.Compare(wc.shareClass, other.shareClass)) < 0
}

// jobWork is work that has not started, in machine-seconds. Ready work can start as soon as there is room, later work after other steps.
type jobWork struct{ ready, later float64 }

func (jw jobWork) total() float64 { return jw.ready + jw.later }

func (jw *jobWork) add(other jobWork) {
	jw.ready += other.ready
	jw.later += other.later
}

// reservation is the room of an admitted job that has not arrived.
type reservation struct {
	class        workClass
	organisation job.OrganisationID
	work         jobWork
	until        time.Time
}

// refusal is what is remembered of a refused job.
type refusal struct {
	// firstAt is when the job was first refused, returnAt when it may return.
	firstAt, returnAt time.Time
}

// admissionAccount holds the work that competes for the room of a cell.
type admissionAccount struct {
	// work is the work that competes for room: that of accepted jobs which can still end while they are useful, as of computedAt, and that of
	// reservations.
	work       map[workClass]*jobWork
	computedAt time.Time
	// machines is the room in machines now, free the part of it that is free, arriving the room once the machines on their way have arrived, and
	// planned the room once those have arrived that the pool is to have while machines are short.
	machines, free, arriving, planned float64
	reservations                      map[job.ID]reservation
	refusals                          map[job.ID]refusal
	// inUseUntil is until when jobs count as decided on by this account.
	inUseUntil time.Time
	// returnWork is the work of the refused jobs that may return in each slot, by the number of the slot.
	returnWork map[int64]float64
	// poolSize is the number of machines in the pool and on their way, as told until poolSizeUntil.
	poolSize      int
	poolSizeUntil time.Time
}

func newAdmissionAccount() admissionAccount {
	return admissionAccount{work: map[workClass]*jobWork{}, reservations: map[job.ID]reservation{}, refusals: map[job.ID]refusal{}, returnWork: map[int64]float64{}}
}

// SetPoolSize sets the number of machines that are in the pool or on their way.
func (cr *Core) SetPoolSize(now time.Time, machines int) {
	cr.admission.poolSize, cr.admission.poolSizeUntil = machines, now.Add(machineLimitTTL)
}

// Admit decides whether a job is accepted, and reserves room for it. A job is accepted if it is expected to end while its result is useful. All
// jobs are accepted while there are machines for all pools, since this pool grows then. Long-running and scheduled jobs are always accepted.
func (cr *Core) Admit(now time.Time, sp *job.Spec) Admission {
	if _, known := cr.jobs[sp.ID]; known {
		return Admission{Admitted: true, Calm: !cr.machinesShort(now) && !cr.startingStopped}
	}
	if cr.startingStopped {
		return Admission{RetryAfter: stoppedRetryAfter}
	}
	if !cr.machinesShort(now) || !canRefuse(sp) {
		return Admission{Admitted: true, Calm: !cr.machinesShort(now)}
	}
	cr.updateAccount(now)
	ac := &cr.admission
	ac.inUseUntil = now.Add(accountInUse)
	if rs, reserved := ac.reservations[sp.ID]; reserved {
		// The caller repeats a call whose answer was lost.
		ac.reservations[sp.ID] = rs.renewed(now)
		return Admission{Admitted: true}
	}
	return cr.admitByAccount(now, sp)
}

// KnowsRoom reports whether jobs can be decided on. An owner that may use no worker, as at first after a takeover, does not know its room.
func (cr *Core) KnowsRoom(now time.Time) bool {
	return !cr.machinesShort(now) || len(cr.usable(now)) > 0
}

// canRefuse reports whether a job may be refused because it would end too late.
func canRefuse(sp *job.Spec) bool {
	return len(sp.Steps) > 0 && !sp.HasSchedule() && !sp.Steps[0].LongRunning
}

// machinesShort reports whether there are too few machines for all pools.
func (cr *Core) machinesShort(now time.Time) bool {
	return now.Before(cr.machineLimitUntil) && cr.machineLimit > 0
}

func (cr *Core) admitByAccount(now time.Time, sp *job.Spec) Admission {
	ac := &cr.admission
	firstAt := ac.firstRefusedAt(sp.ID, now)
	js := &jobState{core: cr, spec: sp, loadedAt: firstAt}
	if cr.objective(js) <= 0 {
		// There is no time at which its result loses its value, or this owner does not know its queue yet.
		return Admission{Admitted: true}
	}
	path, _ := cr.criticalPath(js)
	cd := admissionCandidate{class: cr.expectedClass(now, sp), work: cr.openWork(js, cr.unit()), path: path, runTime: cr.runTimes.get(sp.Queue).mean}
	ad := Admission{Window: cr.admissionWindow(js) - now.Sub(firstAt), Machines: ac.machines}
	ad.Admitted = ac.fits(&ad, cd)
	if !ad.Admitted {
		ad.RetryAfter = ac.refuse(now, sp.ID, cd.work.total(), ad.Wait+path-ad.Window)
		return ad
	}
	ad.Calm = ad.Wait < time.Duration(calmShare*float64(cr.minObjective(sp.Queue)))
	ac.reservations[sp.ID] = reservation{cd.class, sp.Organisation, cd.work, now.Add(reservationTTL)}
	ac.classWork(cd.class).add(cd.work)
	return ad
}

// admissionWindow returns the time within which a job has to end by the account.
func (cr *Core) admissionWindow(js *jobState) time.Duration {
	return time.Duration(windowShare*expiryFactor*float64(cr.objective(js))) - publishTime
}

// admissionCandidate is a job that the account decides on.
type admissionCandidate struct {
	class         workClass
	work          jobWork
	path, runTime time.Duration
}

// fits reports whether a job ends within its window by the account.
func (ac *admissionAccount) fits(ad *Admission, cd admissionCandidate) bool {
	ahead := ac.ahead(cd.class)
	runTime := cd.runTime.Seconds()
	// Free room lets tasks start at once. Work that is not ready yet goes first if it becomes ready meanwhile.
	ready := ahead.ready - ac.free*runTime
	becomingReady := ahead.later * min(1, max(0, ac.timeFor(ready).Seconds()/runTime))
	ad.Wait = ac.timeFor(ready + becomingReady)
	return ad.Wait+max(cd.path, ac.timeFor(cd.work.total())) <= ad.Window
}

// minObjective returns the objective of the smallest job of a queue.
func (cr *Core) minObjective(queue job.QueueID) time.Duration {
	qu := cr.queues[queue]
	return time.Duration(qu.Stretch*float64(cr.runTimes.get(queue).mean)) + qu.Slack
}

// expectedClass returns the class that a job will have when it arrives.
func (cr *Core) expectedClass(now time.Time, sp *job.Spec) workClass {
	wc := workClass{priority: cr.queueOf(sp).Priority}
	if _, known := cr.weights[sp.Organisation]; !known {
		return wc
	}
	reserved := 0
	for _, rs := range cr.admission.reservations {
		if rs.organisation == sp.Organisation && rs.class.shareClass == 0 {
			reserved++
		}
	}
	if cr.shareBucket(sp.Organisation).available(now, cr.weight(sp.Organisation)) < float64(1+reserved) {
		wc.shareClass = 1
	}
	return wc
}

// updateAccount removes what has lapsed, and computes the sums again if they are too old.
func (cr *Core) updateAccount(now time.Time) {
	ac := &cr.admission
	if now.Sub(ac.computedAt) < accountMaxAge {
		return
	}
	ac.computedAt = now
	ac.removeLapsed(now)
	clear(ac.work)
	unit := cr.unit()
	for _, js := range cr.openJobs {
		if !js.ended() && canRefuse(js.spec) && !cr.pausedQueues[js.spec.Queue] && cr.expiryLaxity(now, js) >= 0 {
			ac.classWork(js.workClass()).add(cr.openWork(js, unit))
		}
	}
	for _, rs := range ac.reservations {
		ac.classWork(rs.class).add(rs.work)
	}
	cr.updateRoom(now, unit)
}

// updateRoom computes the room that the account counts on.
func (cr *Core) updateRoom(now time.Time, unit machineSize) {
	ac := &cr.admission
	ac.machines, ac.free = 0, 0
	for _, cd := range cr.usable(now) {
		longRunning, taken := 0.0, 0.0
		for _, pl := range cd.placed {
			part := unit.shareOf(pl.room)
			taken += part
			if pl.step.spec.LongRunning {
				longRunning += part
			}
		}
		ac.machines += max(0, 1-longRunning) * usableRoomShare
		ac.free += max(0, usableRoomShare-taken)
	}
	ac.arriving = ac.machines
	if now.Before(ac.poolSizeUntil) {
		ac.arriving += max(0, float64(ac.poolSize-len(cr.sortedWorkers))) * usableRoomShare
	}
	ac.planned = ac.arriving + max(0, float64(cr.machineLimit-max(ac.poolSize, len(cr.sortedWorkers))))*usableRoomShare
}

// openWork returns the work of a job's tasks that are on no worker.
func (cr *Core) openWork(js *jobState, unit machineSize) jobWork {
	mean := cr.runTimes.get(js.spec.Queue).mean.Seconds()
	rn := js.runs[max(0, js.nextRun-1)]
	work := jobWork{}
	for at := range js.spec.Steps {
		sp := &js.spec.Steps[at]
		open, ready := sp.Count, len(sp.DependsOn) == 0
		if rn != nil {
			open, ready = rn.steps[at].open(), rn.ready(rn.steps[at])
		}
		amount := unit.shareOf(sp.ResourceRequest()) * float64(open) * mean
		if ready {
			work.ready += amount
		} else {
			work.later += amount
		}
	}
	return work
}

// open returns the number of tasks that are neither done nor on a worker.
func (st *step) open() int {
	count := 0
	for at := range st.tasks {
		if !st.tasks[at].done && st.tasks[at].placement == nil {
			count++
		}
	}
	return count
}

// workClass returns the class of an accepted job.
func (js *jobState) workClass() workClass {
	wc := workClass{priority: js.core.queueOf(js.spec).Priority}
	if js.overShare {
		wc.shareClass = 1
	}
	return wc
}

// classWork returns the work of a class.
func (ac *admissionAccount) classWork(class workClass) *jobWork {
	work := ac.work[class]
	if work == nil {
		work = &jobWork{}
		ac.work[class] = work
	}
	return work
}

// ahead returns the work of a class and of those before it. It counts all jobs of the class, whatever their size: if only smaller ones counted,
// large jobs would be refused where small ones are admitted.
func (ac *admissionAccount) ahead(class workClass) jobWork {
	sum := jobWork{}
	for wc, work := range ac.work {
		if !class.before(wc) {
			sum.add(*work)
		}
	}
	return sum
}

// timeFor returns how long the room needs for an amount of work.
func (ac *admissionAccount) timeFor(work float64) time.Duration {
	if work <= 0 {
		return 0
	}
	span := machineArrivalTime.Seconds()
	now, soon := ac.machines*span, ac.arriving*span
	switch {
	case work <= now:
		return seconds(work / max(ac.machines, minMachines))
	case work <= now+soon:
		return machineArrivalTime + seconds((work-now)/max(ac.arriving, minMachines))
	}
	return 2*machineArrivalTime + seconds((work-now-soon)/max(ac.planned, minMachines))
}

// refuse remembers a refused job and returns the time after which it may return, which is at least missing: how much later than its window the job
// would end. Each refused job takes its work off the room of the slot in which it returns. A job that returns too early keeps its place.
func (ac *admissionAccount) refuse(now time.Time, id job.ID, work float64, missing time.Duration) time.Duration {
	if rf, known := ac.refusals[id]; known && rf.returnAt.After(now) {
		return max(minRetryAfter, rf.returnAt.Sub(now))
	}
	slot := ac.returnSlot(now.Add(min(max(missing, minRetryAfter), maxRetryAfter)), now.Add(maxRetryAfter))
	// Jobs of the same slot return one after the other.
	taken := min(1, ac.returnWork[slot]/ac.slotRoom())
	ac.returnWork[slot] += work
	at := time.Unix(0, slot*int64(returnSlotTime)).Add(time.Duration(taken * float64(returnSlotTime)))
	if _, known := ac.refusals[id]; known || len(ac.refusals) < maxRefusals {
		ac.refusals[id] = refusal{ac.firstRefusedAt(id, now), at}
	}
	return max(minRetryAfter, at.Sub(now))
}

// returnSlot returns the first slot with room between two times, or the emptiest one.
func (ac *admissionAccount) returnSlot(from, until time.Time) int64 {
	first, last := from.UnixNano()/int64(returnSlotTime)+1, until.UnixNano()/int64(returnSlotTime)+1
	emptiest := first
	for slot := first; slot <= last; slot++ {
		if ac.returnWork[slot] < ac.slotRoom() {
			return slot
		}
		if ac.returnWork[slot] < ac.returnWork[emptiest] {
			emptiest = slot
		}
	}
	return emptiest
}

// slotRoom returns the work that the room can do within a slot.
func (ac *admissionAccount) slotRoom() float64 {
	return max(ac.arriving, minMachines) * returnSlotTime.Seconds()
}

// firstRefusedAt returns when a job was first refused, or now if that is not remembered. A caller waits for the job from then on.
func (ac *admissionAccount) firstRefusedAt(id job.ID, now time.Time) time.Time {
	if rf, known := ac.refusals[id]; known && !rf.forgotten(now) {
		return rf.firstAt
	}
	return now
}

// forgotten reports whether a refused job counts as a new one if it returns now.
func (rf refusal) forgotten(now time.Time) bool { return now.Sub(rf.returnAt) > refusalTTL }

// arrived releases the reservation of a job that has arrived. The sums contain its work already, since they count reservations as well.
func (ac *admissionAccount) arrived(id job.ID) { delete(ac.reservations, id) }

// removeLapsed removes the reservations and refusals that are over.
func (ac *admissionAccount) removeLapsed(now time.Time) {
	for id, rs := range ac.reservations {
		if !now.Before(rs.until) {
			delete(ac.reservations, id)
		}
	}
	for id, rf := range ac.refusals {
		if rf.forgotten(now) {
			delete(ac.refusals, id)
		}
	}
	for slot := range ac.returnWork {
		if slot*int64(returnSlotTime) < now.UnixNano() {
			delete(ac.returnWork, slot)
		}
	}
}

// renewed returns the reservation with a new term.
func (rs reservation) renewed(now time.Time) reservation {
	rs.until = now.Add(reservationTTL)
	return rs
}

// seconds converts a number of seconds to a duration, at most an hour.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, time.Hour.Seconds()) * float64(time.Second))
}

// lastChance reports whether an accepted late job has to be placed now to end while its result is useful. Without admission there are more such
// jobs than room, and placing them first would make all jobs late.
func (cr *Core) lastChance(now time.Time, objective, untilExpiry time.Duration) bool {
	return now.Before(cr.admission.inUseUntil) && untilExpiry < time.Duration(lastChanceShare*float64(objective))
}
