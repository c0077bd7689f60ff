// Package cell makes the decisions for one cell, which is the workers of a pool and the jobs placed on them. It has no I/O, clock or goroutines:
// it receives events and returns orders.
package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Names of workers, and the tokens that order their commands.
type (
	// WorkerID identifies one incarnation of a worker. After a crash the worker has another one. NewWorkerID returns it.
	WorkerID string
	// WorkerName is the name of a worker in the list of machines. Its next incarnation may have the same name.
	WorkerName string
	// MachineID identifies a machine, which outlives the incarnations of its workers.
	MachineID string
	// Token fences orders: a worker rejects orders with a lower token than the highest that it has seen. The high part is the epoch of the cell's
	// owner, the low part is a counter of the owner.
	Token int64
)

// tokenBits is the width of the counter in a token. Epoch and counter together stay below 2^53, so that JSON numbers can represent them.
const tokenBits = 14

// Worker describes a worker according to its registration.
type Worker struct {
	ID      WorkerID
	Machine MachineID
	Pool    job.PoolID
	Address string
	Hall    job.HallID
	Rack    string
	Labels  []string
	Room    job.Size
	// Draining means that the worker takes no new tasks and will leave.
	Draining bool
	// ColdFor is how much longer the worker is slow after its start, counted from when the registration was read.
	ColdFor time.Duration
	// WrittenAt is when the registration was last written, or zero if that is unknown.
	WrittenAt time.Time
	// Unschedulable means that the registration does not describe a usable worker any more, although nothing says that the worker leaves. It gets no
	// new tasks, and its running tasks continue.
	Unschedulable bool
}

// StoredJob is a job as read from the store.
type StoredJob struct {
	Spec      *job.Spec
	Progress  *job.Progress
	Cancelled bool
	// Version is the version of the progress row, or 0 if there is none.
	Version int64
}

// Core is the state of a cell under one owner.
type Core struct {
	opts  Options
	pool  job.PoolID
	epoch job.Epoch
	// confirmedAt is when the ownership was last known to hold.
	confirmedAt time.Time
	// storeBackAt is when the store last became reachable again after an outage.
	storeBackAt time.Time
	// startingStopped is set once the owner can't save any more. Nothing more is started then.
	startingStopped bool
	// superseded is set once another owner has been seen. No more orders are given then.
	superseded bool
	queues     map[job.QueueID]job.Queue
	// configured are the queues of the configuration in force.
	configured map[job.QueueID]job.Queue
	// pausedQueues are the queues whose jobs are not started.
	pausedQueues map[job.QueueID]bool
	jobs         map[job.ID]*jobState
	openJobs     []*jobState
	workers      map[WorkerID]*worker
	// tokenCounters are the token counters by worker, for all its incarnations.
	tokenCounters map[WorkerName]*Token
	// sortedWorkers holds the workers sorted by ID, so that the same events give the same orders. It is replaced, never modified.
	sortedWorkers []*worker
	// unresolved holds the workers on which tasks of an earlier owner may run unseen, with the time when the last lease there expires.
	unresolved map[WorkerID]time.Time
	// held names the only jobs that may run unseen on an unresolved worker, if they are known. heldCounts counts these workers by job.
	held       map[WorkerID][]job.ID
	heldCounts map[job.ID]int
	// claims are the claims of the cell that this instance has seen. claimSentAt is when its own was sent.
	claims        []Claim
	claimSentAt   time.Time
	pendingSaves  []savedState
	saveOrderedAt time.Time
	dirtyJobs     map[job.ID]*jobState
	orders        []Order
	nextWake      time.Time
	// plannedAt is the time of the newest plan.
	plannedAt time.Time
	// clockOffset is the difference between the time of day, in which due times are given, and the owner's clock.
	clockOffset time.Duration
	// stallSeenAt is when the owner last detected that it had stalled. registrationsAt and evacuationsAt are the times as of which the registrations
	// and the evacuated data halls are known.
	stallSeenAt, registrationsAt, evacuationsAt time.Time
	cordons                                     map[WorkerName]bool
	// cordonedSince is since when workers are cordoned. leaveAhead means that tasks with checkpoints leave them.
	cordonedSince map[WorkerName]time.Time
	leaveAhead    bool
	// evacuatedHalls are the data halls whose workers get no new tasks.
	evacuatedHalls map[job.HallID]bool
	// reservedUntil says until when workers get no new tasks because their machines are about to move.
	reservedUntil map[WorkerName]time.Time
	urgentSave    bool
	startWindow   startWindow
	pace          paceCounts
	// renewalsVisible means that the platform reports the renewal of a registration even if its content is unchanged.
	renewalsVisible bool
	link            linkMonitor
	// listWriting means that a write of the list of workers in use is in flight.
	listWriting bool
	// listOutdated means that the stored list of workers in use names workers that are gone. prunedAt is when such workers were last removed from it.
	listOutdated bool
	prunedAt     time.Time
	// lateStarts are unanswered starts that the next incarnations of their workers may carry out.
	lateStarts []*lateStart
	// departed are unresolved workers whose incarnation has ended. Their next incarnation may still carry out orders sent to them.
	departed map[WorkerID]WorkerRef
	// departuresStored are those of them that the stored list names as ended.
	departuresStored map[WorkerID]bool
	// movedWorkers are workers of earlier owners on which nothing was left when they ended.
	movedWorkers map[WorkerID]bool
	// pendingLosses are lost workers whose loss is not saved yet.
	pendingLosses []pendingLoss
	// intents are the starts that wait to be saved.
	intents []*intent
	// unseenLossEpoch is the epoch before which jobs may have lost tasks with workers that no owner saw again.
	unseenLossEpoch job.Epoch
	// crashLoops are the queues whose jobs have recently crashed workers, with the time until which they count as crash looping. dedicatedRoom is
	// the most room that one of the workers dedicated to long-running tasks has for them.
	crashLoops    map[job.QueueID]time.Time
	dedicatedRoom job.Size
	// connBreaks are the most recent breaks of connections to workers.
	connBreaks []connBreak
	// machineLimit is the number of machines that the pool may keep while other pools lack some. It applies until machineLimitUntil.
	machineLimit      int
	machineLimitFirm  bool
	machineLimitUntil time.Time
	// packLate makes late jobs use only as many workers as the limit allows.
	packLate bool
	runTimes runTimes
	// ledger holds how much the cell may run for each organisation.
	ledger *Ledger
	// weights are the shares of the organisations.
	weights map[job.OrganisationID]float64
	// shareBuckets hold how many more jobs of each organisation are within its share.
	shareBuckets map[job.OrganisationID]*tokenBucket
	// demand is the number of machines that the open jobs needed at demandAt.
	demand   float64
	demandAt time.Time
	// admission is the account that new jobs are admitted by.
	admission admissionAccount
	// roundUsable is the number of workers that accepted tasks in the newest round of placement, roundRoom their free room at its start and
	// roundShare the used share of their room.
	roundUsable int
	roundRoom   job.Size
	roundShare  float64
	// roundSkipped is why the newest plan had no round of placement, or empty. waits are the waiting jobs found at waitsReportedAt.
	roundSkipped    WaitReason
	waits           []Wait
	waitsReportedAt time.Time
	// standReports is the number of jobs reported by themselves since the last sample, standsOmitted the number of those left out.
	standReports, standsOmitted int
}

// savedState is the generation and state of a job that a save contains.
type savedState struct {
	js    *jobState
	gen   int
	state job.State
}

// New returns a core for the owner with the given epoch.
func New(pool job.PoolID, epoch job.Epoch, options Options) *Core {
	return &Core{
		opts: options.WithDefaults(), pool: pool, epoch: epoch,
		queues: map[job.QueueID]job.Queue{}, jobs: map[job.ID]*jobState{}, workers: map[WorkerID]*worker{}, tokenCounters: map[WorkerName]*Token{},
		unresolved: map[WorkerID]time.Time{}, held: map[WorkerID][]job.ID{}, heldCounts: map[job.ID]int{}, departed: map[WorkerID]WorkerRef{}, departuresStored: map[WorkerID]bool{}, movedWorkers: map[WorkerID]bool{}, dirtyJobs: map[job.ID]*jobState{}, cordons: map[WorkerName]bool{}, cordonedSince: map[WorkerName]time.Time{}, reservedUntil: map[WorkerName]time.Time{}, crashLoops: map[job.QueueID]time.Time{}, runTimes: runTimes{}, ledger: NewLedger(string(pool), epoch), shareBuckets: map[job.OrganisationID]*tokenBucket{}, admission: newAdmissionAccount(),
	}
}

// byWorkerClock returns how long the owner must wait until span has certainly passed on a worker's clock.
func (cr *Core) byWorkerClock(span time.Duration) time.Duration {
	return time.Duration(float64(span) / (1 - cr.opts.MaxClockDrift))
}

// OwnershipConfirmed records that the ownership held at a time.
func (cr *Core) OwnershipConfirmed(at time.Time) {
	if at.Sub(cr.confirmedAt) > storeAwayAfter {
		cr.storeBackAt = at
	}
	if at.After(cr.confirmedAt) {
		cr.confirmedAt = at
	}
}

const (
	// storeAwayAfter is the gap between two confirmations from which on the store counts as having been unreachable. A feed call waits up to a
	// second.
	storeAwayAfter = 2500 * time.Millisecond
	// reregisterGrace is how long after an outage expired registrations may still come back. The platform's documentation says two seconds.
	reregisterGrace = 2500 * time.Millisecond
)

// leaving reports whether a worker is about to end: it says so, or its registration is gone although the store was reachable.
func (cr *Core) leaving(now time.Time, wk *worker) bool {
	return wk.info.Draining || !wk.registered && !wk.unregisteredAt.IsZero() && now.Sub(cr.storeBackAt) > reregisterGrace
}

// mayRenew reports whether the ownership was confirmed recently enough to grant leases.
func (cr *Core) mayRenew(now time.Time) bool {
	return !cr.superseded && now.Sub(cr.confirmedAt) < cr.opts.RenewalWindow
}

// Superseded reports whether another owner has been seen.
func (cr *Core) Superseded() bool { return cr.superseded }

// Epoch returns the epoch of this owner.
func (cr *Core) Epoch() job.Epoch { return cr.epoch }

// StopStarting ends all starts, since the owner can't save any more. Running tasks keep their leases.
func (cr *Core) StopStarting() { cr.startingStopped = true }

// markSuperseded ends the work of this owner.
func (cr *Core) markSuperseded(wk WorkerID, why string) {
	if !cr.superseded {
		cr.superseded = true
		cr.opts.Log(Decision{What: "cell lost", Worker: wk, Why: why})
	}
}

// SetTimeOfDay sets the time of day relative to the owner's clock.
func (cr *Core) SetTimeOfDay(now, timeOfDay time.Time) { cr.clockOffset = timeOfDay.Sub(now) }

// RegistrationsRead records the time as of which the registrations are known.
func (cr *Core) RegistrationsRead(at time.Time) { cr.registrationsAt = latest(cr.registrationsAt, at) }

// EvacuationsRead records the time as of which the evacuated data halls are known.
func (cr *Core) EvacuationsRead(at time.Time) { cr.evacuationsAt = latest(cr.evacuationsAt, at) }

// stalledAfter is the gap between two plans from which on the owner counts as stalled. It normally plans at least four times a second. After a
// stall the known rooms and states may be older than the users allow.
const stalledAfter = 2 * time.Second

// detectStall records whether the owner has stalled.
func (cr *Core) detectStall(now time.Time) {
	if gap := now.Sub(cr.plannedAt); !cr.plannedAt.IsZero() && gap > stalledAfter {
		cr.stallSeenAt = now
		cr.opts.Log(Decision{What: "owner stood still", Why: gap.String()})
	}
}

// maxRegistrationLag is how much older than the newest confirmation of the ownership the registrations may be. Both come from the store, each by
// a call that waits up to a second.
const maxRegistrationLag = 2 * time.Second

// upToDate reports whether the confirmation of the ownership, the registrations and the evacuated data halls are newer than the last stall. After
// an outage of the store the ownership may be confirmed before the core learns of rooms that shrank meanwhile.
func (cr *Core) upToDate() bool {
	for _, at := range []time.Time{cr.confirmedAt, cr.registrationsAt, cr.evacuationsAt} {
		if at.Before(cr.stallSeenAt) {
			return false
		}
	}
	return cr.confirmedAt.Sub(cr.registrationsAt) <= maxRegistrationLag
}

// State returns the state of a job as callers see it.
func (cr *Core) State(id job.ID) (job.State, bool) {
	js, ok := cr.jobs[id]
	if !ok {
		return "", false
	}
	return js.visibleState(), true
}

// Organisation returns the organisation of a job. It is empty if the job is unknown or has none.
func (cr *Core) Organisation(id job.ID) job.OrganisationID {
	js, ok := cr.jobs[id]
	if !ok {
		return ""
	}
	return js.spec.Organisation
}

// Archivable returns ended jobs whose end is saved and that are still in the table of open jobs.
func (cr *Core) Archivable(most int) []job.ID {
	var ids []job.ID
	for id, js := range cr.jobs {
		if js.storedState.Ended() && !js.archived && !js.hasPlacements() && len(ids) < most {
			ids = append(ids, id)
		}
	}
	return ids
}

// Expired returns jobs whose retention is over, so that their rows can be removed.
func (cr *Core) Expired(now time.Time, most int) []job.ID {
	var ids []job.ID
	for id, js := range cr.jobs {
		if js.archived && now.Sub(js.endedAt) > cr.opts.Retention && len(ids) < most {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget removes jobs whose rows have been removed.
func (cr *Core) Forget(ids []job.ID) {
	for _, id := range ids {
		delete(cr.jobs, id)
	}
}

// Archived records that jobs were removed from the table of open jobs.
func (cr *Core) Archived(ids []job.ID) {
	for _, id := range ids {
		if js, ok := cr.jobs[id]; ok {
			js.archived = true
		}
	}
}

// Cordoned reports whether a worker is cordoned in this core.
func (cr *Core) Cordoned(name WorkerName) bool { return cr.cordons[name] }

// OnlyShortTasks reports whether no long-running task is, or may be, on any incarnation of a worker.
func (cr *Core) OnlyShortTasks(name WorkerName) bool {
	for _, wk := range cr.incarnations(name) {
		if len(wk.foreign) > 0 || wk.longRunning > 0 {
			return false
		}
	}
	return !cr.mayRunUnseen(name)
}
