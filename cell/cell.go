// Package cell decides for one cell, the workers of a pool and the jobs placed on them, without I/O, clock or goroutines: events go in, orders come out.
package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Names of workers and what orders them.
type (
	// WorkerID names one life of a worker; after a crash it has another. LifeOf makes it.
	WorkerID string
	// WorkerName names a worker as the list of machines does: its next life may have the same.
	WorkerName string
	// MachineID names a machine, which outlasts the lives of its workers.
	MachineID string
	// Token fences orders: a worker does nothing for one lower than the highest it has seen.
	// The epoch of the cell's owner stands in the high part, a counter of the owner's in the low part.
	Token int64
)

// tokenBits is the width of the counter in a token; epoch and counter together stay below 2^53, so that JSON numbers hold them.
const tokenBits = 14

// Worker describes a worker as its registration says.
type Worker struct {
	ID      WorkerID
	Machine MachineID
	Pool    job.PoolID
	Address string
	Hall    string
	Rack    string
	Labels  []string
	Room    job.Size
	// Draining means that it takes no new tasks and will leave.
	Draining bool
	// WrittenAt is when its registration was last written, as far as that is known; zero if it is not.
	WrittenAt time.Time
	// Unschedulable means that its registration names no worker to use any more, though nothing says that it leaves: it gets nothing new, and what
	// runs there goes on.
	Unschedulable bool
}

// StoredJob is a job as the store has it.
type StoredJob struct {
	Spec      *job.Spec
	Progress  *job.Progress
	Cancelled bool
	// Version is that of the progress row; 0 if there is none.
	Version int64
}

// WorkerRef is a worker on which an owner may have started tasks.
type WorkerRef struct {
	ID      WorkerID `json:"id"`
	Address string   `json:"address"`
	// Machine is its machine, as far as it is known.
	Machine MachineID `json:"machine,omitempty"`
	// Remaining is for how long, from when it was written, leases of earlier owners may still be running there, or its next life may still carry out
	// what they ordered; only a release has it.
	Remaining time.Duration `json:"left,omitempty"`
	// Ended means that this life is known to be over.
	Ended bool `json:"ended,omitempty"`
}

// Core is the state of a cell under one owner.
type Core struct {
	opts  Options
	pool  job.PoolID
	epoch job.Epoch
	// confirmedAt is when the ownership was last known to hold.
	confirmedAt time.Time
	// storeBackAt is when the store was last heard of again after a while without.
	storeBackAt time.Time
	// Lost is set once another owner has been met; nothing more is ordered.
	superseded bool
	queues     map[job.QueueID]job.Queue
	// pausedQueues are the queues of which nothing is started.
	pausedQueues map[job.QueueID]bool
	jobs         map[job.ID]*jobState
	openJobs     []*jobState
	workers      map[WorkerID]*worker
	// tokenCounters are those of the tokens by worker, for all its lives.
	tokenCounters map[WorkerName]*Token
	// sortedWorkers holds the workers by name, so that the same events give the same orders. It is replaced, never changed.
	sortedWorkers []*worker
	// unresolved holds the workers on which an earlier owner's tasks may run unseen, with the time at which the last lease there has run out.
	unresolved    map[WorkerID]time.Time
	pendingSaves  []savedState
	saveOrderedAt time.Time
	dirtyJobs     map[job.ID]*jobState
	orders        []Order
	nextWake      time.Time
	// plannedAt is when the newest plan was made.
	plannedAt time.Time
	// clockOffset is by how much the time of day, in which due times are, is clockOffset of the owner's clock.
	clockOffset time.Duration
	// stallSeenAt is when the owner last found that it had stood still, registrationsAt as of when it knows the registrations.
	stallSeenAt, registrationsAt time.Time
	cordons                      map[WorkerName]bool
	// reservedUntil says until when workers get nothing new since their machines are to move.
	reservedUntil map[WorkerName]time.Time
	urgentSave    bool
	startWindow   startWindow
	// renewalsVisible means that registrations are told when they are written anew, though they say the same.
	renewalsVisible bool
	link            linkMonitor
	// rowOutdated means that the cell's row names workers that are gone; prunedAt is when such were last taken from it.
	rowOutdated bool
	prunedAt    time.Time
	// lateStarts are the starts without an answer that the next lives of their workers may carry out.
	lateStarts []*lateStart
	// departed are those of them whose lives have ended. What was ordered there may still be carried out by the next life.
	departed map[WorkerID]WorkerRef
	// movedWorkers are workers of earlier owners on which nothing was left when they ended.
	movedWorkers map[WorkerID]bool
	// pendingLosses are workers whose end is still to be kept.
	pendingLosses []pendingLoss
	// intents are the starts that wait to be kept.
	intents []*intent
	// unseenLossEpoch is the owner before which tasks may have been lost with workers that no owner saw again.
	unseenLossEpoch job.Epoch
	// crashLoops are the queues whose jobs have crashed workers, with until when they are taken for such. shelterRoom is the most that one of
	// the workers has for tasks that last which are kept from them meanwhile.
	crashLoops    map[job.QueueID]time.Time
	dedicatedRoom job.Size
	// connBreaks are the newest breaks of workers' connections.
	connBreaks []connBreak
	// machineLimit is how many machines the pool is to have while others lack some, until machineLimitUntil.
	machineLimit      int
	machineLimitFirm  bool
	machineLimitUntil time.Time
	runTimes          runTimes
	// ledger holds what the cell may have running of organisations.
	ledger *Ledger
	// weights are the organisations' shares.
	weights map[job.OrganisationID]float64
	// shareBuckets say how many more of their jobs are within them.
	shareBuckets map[job.OrganisationID]*tokenBucket
	// demand is what the open jobs wanted at demandAt.
	demand   float64
	demandAt time.Time
}

// savedState remembers which state of a job a save holds.
type savedState struct {
	js    *jobState
	gen   int
	state job.State
}

// New returns a core for an owner of the given epoch.
func New(pool job.PoolID, epoch job.Epoch, options Options) *Core {
	return &Core{
		opts: options.WithDefaults(), pool: pool, epoch: epoch,
		queues: map[job.QueueID]job.Queue{}, jobs: map[job.ID]*jobState{}, workers: map[WorkerID]*worker{}, tokenCounters: map[WorkerName]*Token{},
		unresolved: map[WorkerID]time.Time{}, departed: map[WorkerID]WorkerRef{}, movedWorkers: map[WorkerID]bool{}, dirtyJobs: map[job.ID]*jobState{}, cordons: map[WorkerName]bool{}, reservedUntil: map[WorkerName]time.Time{}, crashLoops: map[job.QueueID]time.Time{}, runTimes: runTimes{}, ledger: NewLedger(string(pool), epoch), shareBuckets: map[job.OrganisationID]*tokenBucket{},
	}
}

// TakeOver takes what an earlier owner left: the workers that it used. The ownership is confirmed as of when the store was asked for it.
// After a release nothing but the last leases can be outstanding; an owner that was overtaken may have renewed them for a while.
func (cr *Core) TakeOver(now, asked time.Time, used []WorkerRef, released bool) {
	cr.confirmedAt, cr.storeBackAt = asked, now
	lease := cr.byWorkerClock(cr.opts.LeaseDuration) + deliveryMargin
	for _, rf := range used {
		wk := cr.ensureWorker(rf.ID)
		if wk.info.Address == "" {
			wk.info = Worker{ID: rf.ID, Machine: rf.Machine, Pool: cr.pool, Address: rf.Address}
			// It is forgotten once it is resolved, unless a registration names it.
			wk.unregisteredAt = now
		}
		wk.recorded = true
		wait := max(lease, rf.Remaining)
		switch over := rf.Ended && rf.ID.reusesName(); {
		case over && released:
			wait = rf.Remaining
		case over:
			wait = lateStartWindow
		case !released:
			wait = max(lease+cr.opts.RenewalWindow, rf.Remaining)
		}
		cr.unresolved[rf.ID] = now.Add(wait)
		if rf.Ended {
			cr.departed[rf.ID] = rf
		}
	}
}

// byWorkerClock is how long the owner must wait for a worker's clock to pass a time.
func (cr *Core) byWorkerClock(span time.Duration) time.Duration {
	return time.Duration(float64(span) / (1 - cr.opts.MaxClockDrift))
}

// OwnershipConfirmed tells that the ownership held at a time.
func (cr *Core) OwnershipConfirmed(at time.Time) {
	if at.Sub(cr.confirmedAt) > storeAwayAfter {
		cr.storeBackAt = at
	}
	if at.After(cr.confirmedAt) {
		cr.confirmedAt = at
	}
}

const (
	// storeAwayAfter is from which gap between two confirmations on the store counts as having been away: a feed call waits up to a second.
	storeAwayAfter = 2500 * time.Millisecond
	// reregisterGrace is how long after that registrations which lapsed meanwhile may still come back; the platform's pages say two seconds.
	reregisterGrace = 2500 * time.Millisecond
)

// leaving reports whether a worker is about to end: it says so, or its registration is gone though the store was there.
func (cr *Core) leaving(now time.Time, wk *worker) bool {
	return wk.info.Draining || !wk.registered && !wk.unregisteredAt.IsZero() && now.Sub(cr.storeBackAt) > reregisterGrace
}

// mayRenew reports whether the ownership was confirmed recently enough to give leases.
func (cr *Core) mayRenew(now time.Time) bool {
	return !cr.superseded && now.Sub(cr.confirmedAt) < cr.opts.RenewalWindow
}

// Superseded reports whether another owner has been met.
func (cr *Core) Superseded() bool { return cr.superseded }

// Epoch is the epoch under which this core works.
func (cr *Core) Epoch() job.Epoch { return cr.epoch }

// markSuperseded ends this owner's work.
func (cr *Core) markSuperseded(wk WorkerID, why string) {
	if !cr.superseded {
		cr.superseded = true
		cr.opts.Log(Decision{What: "cell lost", Worker: wk, Why: why})
	}
}

// SetTimeOfDay tells how the time of day stands to the owner's clock.
func (cr *Core) SetTimeOfDay(now, day time.Time) { cr.clockOffset = day.Sub(now) }

// RegistrationsRead tells as of when the registrations are known.
func (cr *Core) RegistrationsRead(at time.Time) { cr.registrationsAt = latest(cr.registrationsAt, at) }

// stalledAfter is from which pause between two plans on an owner has stood still: it plans four times a second at least. Rooms and states
// that it knows may be older then than the users allow for.
const stalledAfter = 2 * time.Second

// detectStall notes whether the owner has stood still.
func (cr *Core) detectStall(now time.Time) {
	if gap := now.Sub(cr.plannedAt); !cr.plannedAt.IsZero() && gap > stalledAfter {
		cr.stallSeenAt = now
		cr.opts.Log(Decision{What: "owner stood still", Why: gap.String()})
	}
}

// maxRegistrationLag is by how much the registrations may be older than the newest confirmation of the ownership: both come through the store, each by a
// call that waits up to a second.
const maxRegistrationLag = 2 * time.Second

// upToDate reports whether what the owner decides by is newer than the last time it stood still: its ownership and the registrations. After an outage of
// the store it may be confirmed before it hears of rooms that shrank meanwhile.
func (cr *Core) upToDate() bool {
	return !cr.confirmedAt.Before(cr.stallSeenAt) && !cr.registrationsAt.Before(cr.stallSeenAt) && cr.confirmedAt.Sub(cr.registrationsAt) <= maxRegistrationLag
}

// Configure puts queues in force; those that are gone keep their last policy for the jobs they have accepted.
func (cr *Core) Configure(queues []job.Queue) {
	for _, qu := range queues {
		cr.queues[qu.ID] = qu
	}
}

// SetPausedQueues tells of which queues nothing is to be started; what runs goes on. The map is not changed any more.
func (cr *Core) SetPausedQueues(queues map[job.QueueID]bool) { cr.pausedQueues = queues }

// UsedWorkers lists the workers on which this owner, or an unresolved earlier one, may have started tasks.
func (cr *Core) UsedWorkers() []WorkerRef {
	var refs []WorkerRef
	for _, wk := range cr.sortedWorkers {
		refs = append(refs, WorkerRef{ID: wk.info.ID, Address: wk.info.Address, Machine: wk.info.Machine})
	}
	cr.pendingLosses = slices.DeleteFunc(cr.pendingLosses, func(gv pendingLoss) bool { return !gv.unsaved() })
	for _, gv := range cr.pendingLosses {
		refs = append(refs, gv.worker)
	}
	for _, id := range slices.Sorted(maps.Keys(cr.departed)) {
		refs = append(refs, cr.departed[id])
	}
	for _, sy := range cr.lateStarts {
		refs = append(refs, sy.former)
	}
	return uniqueRefs(refs)
}

// uniqueRefs keeps the first of several that name the same life.
func uniqueRefs(refs []WorkerRef) []WorkerRef {
	seen := make(map[WorkerID]bool, len(refs))
	return slices.DeleteFunc(refs, func(rf WorkerRef) bool {
		again := seen[rf.ID]
		seen[rf.ID] = true
		return again
	})
}

// Release lists the workers as Used does, with how long the leases of earlier owners may still run on those that are unresolved.
func (cr *Core) Release(now time.Time) []WorkerRef {
	refs := cr.UsedWorkers()
	for at := range refs {
		until := cr.unresolved[refs[at].ID]
		if refs[at].Ended {
			until = latest(until, cr.lateStartUntil(refs[at].ID))
		}
		refs[at].Remaining = max(0, until.Sub(now))
	}
	return refs
}

// TakeoverComplete reports whether no task of an earlier owner can run unseen.
func (cr *Core) TakeoverComplete() bool { return len(cr.unresolved) == 0 }

// WorkersRecorded tells that the store names these workers as used, so that a later owner will look at them.
func (cr *Core) WorkersRecorded(refs []WorkerRef) {
	for _, rf := range refs {
		if wk, ok := cr.workers[rf.ID]; ok {
			wk.recorded = true
		}
	}
}

// State returns what is kept of a job.
func (cr *Core) State(id job.ID) (job.State, bool) {
	js, ok := cr.jobs[id]
	if !ok {
		return "", false
	}
	return js.visibleState(), true
}

// Organisation returns whose job it is; empty if it is not known, or nobody's.
func (cr *Core) Organisation(id job.ID) job.OrganisationID {
	js, ok := cr.jobs[id]
	if !ok {
		return ""
	}
	return js.spec.Organisation
}

// Pending counts the jobs of a queue none of whose tasks has begun.
func (cr *Core) Pending(queue job.QueueID) int {
	count := 0
	for _, js := range cr.openJobs {
		if js.spec.Queue == queue && !js.started && !js.cancelled && !js.state.Ended() {
			count++
		}
	}
	return count
}

// Archivable lists ended jobs whose end is kept and which the table of open jobs still has.
func (cr *Core) Archivable(most int) []job.ID {
	var ids []job.ID
	for id, js := range cr.jobs {
		if js.savedState.Ended() && !js.archived && !js.hasPlacements() && len(ids) < most {
			ids = append(ids, id)
		}
	}
	return ids
}

// Expired lists jobs whose retention is over, so that their rows can be removed.
func (cr *Core) Expired(now time.Time, most int) []job.ID {
	var ids []job.ID
	for id, js := range cr.jobs {
		if js.archived && now.Sub(js.endedAt) > cr.opts.Retention && len(ids) < most {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget tells that the rows of jobs have been removed.
func (cr *Core) Forget(ids []job.ID) {
	for _, id := range ids {
		delete(cr.jobs, id)
	}
}

// Archived tells that jobs were taken out of the table of open jobs.
func (cr *Core) Archived(ids []job.ID) {
	for _, id := range ids {
		if js, ok := cr.jobs[id]; ok {
			js.archived = true
		}
	}
}

// Cordoned reports whether this core gives a worker no new tasks.
func (cr *Core) Cordoned(name WorkerName) bool { return cr.cordons[name] }

// OnlyShortTasks reports whether no task that lasts is, or may be, on a worker in any of its lives.
func (cr *Core) OnlyShortTasks(name WorkerName) bool {
	for _, wk := range cr.incarnations(name) {
		if len(wk.foreign) > 0 || wk.longRunning > 0 {
			return false
		}
	}
	return !cr.mayRunUnseen(name)
}
