package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Reports of jobs that have nothing running although a task of theirs is ready. They tell operators what keeps a job, and since when.

// Limits of the reports of waiting jobs.
const (
	// waitReportInterval is how often waiting jobs are reported.
	waitReportInterval = time.Second
	// waitReportAfter is how long a job has to wait until it is reported.
	waitReportAfter = time.Second
	// maxWaitReports is the maximum number of groups of waiting jobs in one report.
	maxWaitReports = 8
	// maxWaitJobs is the maximum number of jobs that a group names.
	maxWaitJobs = 8
)

// WaitReason is the reason why a job has nothing running.
type WaitReason string

// The reasons.
const (
	// WaitAtLimit: the organisation has reached what the cell may run for it.
	WaitAtLimit WaitReason = "atLimit"
	// WaitNoAllowance: this owner has not written its allowance for the organisation yet.
	WaitNoAllowance WaitReason = "noAllowance"
	// WaitUnresolved: an earlier owner may have started the job on a worker that is unresolved.
	WaitUnresolved WaitReason = "unresolved"
	// WaitUnconfirmed: the ownership or the registrations were not confirmed recently, or nothing can be saved.
	WaitUnconfirmed WaitReason = "unconfirmed"
	// WaitNoWorker: no worker accepts tasks.
	WaitNoWorker WaitReason = "noWorker"
	// WaitStartWindow: too many starts are unanswered.
	WaitStartWindow WaitReason = "startWindow"
	// WaitNoRoom: no worker on which the task may run has room.
	WaitNoRoom WaitReason = "noRoom"
	// WaitPlannedWorker: the start is planned for a worker that has no room, and another one has.
	WaitPlannedWorker WaitReason = "plannedWorker"
	// WaitTurn: workers have room, but their new starts are left to other jobs, since the queue of one of them crashes workers.
	WaitTurn WaitReason = "turn"
	// WaitMakingRoom: no worker has room, and the task may get it from tasks of lower priorities or waits for a worker that is kept free for it.
	WaitMakingRoom WaitReason = "makingRoom"
	// WaitMachineLimit: the job is late, and machines are left to other pools.
	WaitMachineLimit WaitReason = "machineLimit"
	// WaitLossUnconfirmed: the ownership was not confirmed since the task was lost.
	WaitLossUnconfirmed WaitReason = "lossUnconfirmed"
	// WaitLossLimit: one more loss would fail the job, and the outcome of attempts is unknown.
	WaitLossLimit WaitReason = "lossLimit"
	// WaitBackoff: the task failed or was refused a short time ago.
	WaitBackoff WaitReason = "backoff"
	// WaitLateStart: an unanswered start of the task may still be carried out.
	WaitLateStart WaitReason = "lateStart"
	// WaitIntent: the start has to be saved first.
	WaitIntent WaitReason = "intent"
	// WaitTickets: the advice service has not named the workers.
	WaitTickets WaitReason = "tickets"
	// WaitOwnWorker: the task may have ended workers and needs one of its own.
	WaitOwnWorker WaitReason = "ownWorker"
	// WaitGang: there is no room for all members of the gang.
	WaitGang WaitReason = "gang"
	// WaitPaused: the queue is paused.
	WaitPaused WaitReason = "paused"
	// WaitNotTried: no round of placement has tried the job.
	WaitNotTried WaitReason = "notTried"
)

// WaitReasons lists all reasons.
var WaitReasons = []WaitReason{
	WaitAtLimit, WaitNoAllowance, WaitUnresolved, WaitUnconfirmed, WaitNoWorker, WaitStartWindow, WaitNoRoom, WaitPlannedWorker, WaitTurn, WaitMakingRoom, WaitMachineLimit, WaitLossUnconfirmed,
	WaitLossLimit, WaitBackoff, WaitLateStart, WaitIntent, WaitTickets, WaitOwnWorker, WaitGang, WaitPaused, WaitNotTried,
}

// Wait describes the jobs that wait for the same reason.
type Wait struct {
	Reason WaitReason
	// Organisation is set if the reason is a limit of the organisation.
	Organisation job.OrganisationID
	// Longest is how long the first job has had nothing running since this owner has it. Count is the number of jobs, and Jobs names those that wait longest.
	Longest time.Duration
	Count   int
	Jobs    []job.ID
	// Limit holds what the cell knows of the limit, if the reason is one.
	Limit LimitState
	// Unresolved is the number of unresolved workers.
	Unresolved int
	// LastUnresolved is the worker for which jobs of earlier owners wait longest, and UnresolvedFor how long from now.
	LastUnresolved WorkerID
	UnresolvedFor  time.Duration
	Pool           PoolState
}

// PoolState is what one cell knows of its workers.
type PoolState struct {
	// Workers is the number of registered workers that are not leaving, and Room their room. Used is the room that attempts take on them.
	Workers    int
	Room, Used job.Size
	// Usable is the number of workers that accepted tasks in the newest round of placement, and Free their free room at its start.
	Usable int
	Free   job.Size
	// MachineLimit is the number of machines that the pool may keep while other pools lack some, or 0, and UsableShare the used share of the
	// room of the usable workers.
	MachineLimit int
	UsableShare  float64
}

// LimitState is what one cell knows of the limit of an organisation.
type LimitState struct {
	// Used counts against Limit, which is what the cell may run. Elsewhere is held by other cells, of which Competing need more.
	Used, Limit, Elsewhere, Maximum job.Size
	Competing                       int
}

// waitKey groups waiting jobs.
type waitKey struct {
	reason       WaitReason
	organisation job.OrganisationID
}

// waitingJob is a job with how long it has had nothing running.
type waitingJob struct {
	id   job.ID
	span time.Duration
}

// Waits returns the groups of waiting jobs found by the newest report, those that wait longest first.
func (cr *Core) Waits() []Wait { return cr.waits }

// reportWaits logs the jobs that have had nothing running for waitReportAfter although a task is ready.
func (cr *Core) reportWaits(now time.Time) {
	if now.Sub(cr.waitsReportedAt) < waitReportInterval {
		return
	}
	cr.waitsReportedAt = now
	cr.waits = cr.findWaits(now)
	cr.reportStands(now)
	for _, wt := range cr.waits {
		cr.opts.Log(Decision{What: "jobs wait", Task: job.Task{Job: wt.Jobs[0]}, Why: string(wt.Reason), Wait: &wt})
	}
}

// findWaits returns the groups of waiting jobs, at most maxWaitReports.
func (cr *Core) findWaits(now time.Time) []Wait {
	groups := cr.groupWaiting(now)
	if len(groups) == 0 {
		return nil
	}
	var list []Wait
	pool := cr.poolState(now)
	for key, members := range groups {
		list = append(list, cr.describeWait(now, key, members, pool))
	}
	slices.SortFunc(list, func(one, other Wait) int {
		return cmp.Or(cmp.Compare(other.Longest, one.Longest), cmp.Compare(one.Reason, other.Reason), cmp.Compare(one.Organisation, other.Organisation))
	})
	return list[:min(len(list), maxWaitReports)]
}

// groupWaiting groups the jobs that have waited for waitReportAfter or longer.
func (cr *Core) groupWaiting(now time.Time) map[waitKey][]waitingJob {
	groups := map[waitKey][]waitingJob{}
	for _, js := range cr.openJobs {
		since, idle := cr.idleSince(now, js)
		if !idle || now.Sub(since) < waitReportAfter {
			continue
		}
		key := waitKey{reason: cr.waitReason(js)}
		if key.reason == WaitAtLimit || key.reason == WaitNoAllowance {
			key.organisation = js.spec.Organisation
		}
		groups[key] = append(groups[key], waitingJob{js.spec.ID, now.Sub(since)})
	}
	return groups
}

// describeWait describes a group of waiting jobs.
func (cr *Core) describeWait(now time.Time, key waitKey, members []waitingJob, pool PoolState) Wait {
	slices.SortFunc(members, func(one, other waitingJob) int {
		return cmp.Or(cmp.Compare(other.span, one.span), cmp.Compare(one.id, other.id))
	})
	wt := Wait{Reason: key.reason, Organisation: key.organisation, Longest: members[0].span, Count: len(members), Unresolved: len(cr.unresolved), Pool: pool}
	wt.LastUnresolved, wt.UnresolvedFor = cr.lastUnresolved(now)
	if key.organisation != "" {
		wt.Limit = cr.ledger.limitState(key.organisation)
	}
	for _, wj := range members[:min(len(members), maxWaitJobs)] {
		wt.Jobs = append(wt.Jobs, wj.id)
	}
	return wt
}

// poolState returns what the cell knows of its workers.
func (cr *Core) poolState(now time.Time) PoolState {
	ps := PoolState{Usable: cr.roundUsable, Free: cr.roundRoom, UsableShare: cr.roundShare}
	if now.Before(cr.machineLimitUntil) {
		ps.MachineLimit = cr.machineLimit
	}
	for wk := range cr.staying(now) {
		ps.Workers++
		ps.Room, ps.Used = ps.Room.Add(wk.info.Room), ps.Used.Add(wk.used)
	}
	return ps
}

// idleSince returns since when a job has had a ready task and nothing running. It reports false if something runs or no task is ready.
func (cr *Core) idleSince(now time.Time, js *jobState) (time.Time, bool) {
	if js.ended() || js.hasPlacements() {
		return time.Time{}, false
	}
	since := latest(js.loadedAt, js.idleAt)
	if !js.spec.HasSchedule() {
		return since, true
	}
	for at, rn := range js.runs {
		if at < js.nextRun && !js.runsDone.Has(at) && rn.stepsLeft > 0 {
			return latest(since, js.dueAt(at)), true
		}
	}
	return time.Time{}, false
}

// waitReason returns why a job without running tasks waits.
func (cr *Core) waitReason(js *jobState) WaitReason {
	switch {
	case cr.pausedQueues[js.spec.Queue]:
		return WaitPaused
	case cr.roundSkipped != "":
		return cr.roundSkipped
	case js.fullyPlaced:
		return WaitNotTried
	}
	return cmp.Or(js.waitReason, WaitNotTried)
}

// blocks reports whether the task would wait even if the limit of its organisation were higher.
func (wr WaitReason) blocks() bool {
	switch wr {
	case "", WaitAtLimit, WaitNoAllowance, WaitStartWindow, WaitIntent, WaitMakingRoom, WaitNotTried:
		return false
	}
	return true
}

// limitWaitReason returns why a step waits whose organisation's limit allows no start. It is the limit only if the step could be started otherwise.
func (cr *Core) limitWaitReason(rd *round, st *step, at int) WaitReason {
	switch _, written := cr.ledger.limit(st.job.spec.Organisation, cr.ledger.maxima[st.job.spec.Organisation]); {
	case !rd.hasRoomBeyondLimit(cr, st):
		return cr.noRoomReason(rd, st)
	case cr.deferred(rd, st, at):
		return WaitMachineLimit
	case !written:
		return WaitNoAllowance
	}
	return WaitAtLimit
}

// noRoomReason returns why a step waits that no worker has room for.
func (cr *Core) noRoomReason(rd *round, st *step) WaitReason {
	if cr.mayMakeRoom(rd, st) {
		return WaitMakingRoom
	}
	return WaitNoRoom
}

// unplacedReason returns why a step waits that no worker could take a task of.
func (cr *Core) unplacedReason(rd *round, st *step) WaitReason {
	if cr.mayMakeRoom(rd, st) {
		return WaitMakingRoom
	}
	if cr.waitsForPlannedWorker(rd, st) {
		return WaitPlannedWorker
	}
	room := st.spec.ResourceRequest()
	for _, cd := range rd.usable {
		if room.Fits(cd.free) && (!cr.crashLoopAllows(rd.now, st, cd) || cr.turnTaken(rd.now, st, cd)) {
			return WaitTurn
		}
	}
	return WaitNoRoom
}

// waitsForPlannedWorker reports whether a start of the step is planned for a worker while another one could take it.
func (cr *Core) waitsForPlannedWorker(rd *round, st *step) bool {
	if rd.cannotFit(st.spec.ResourceRequest()) {
		return false
	}
	for at := range st.tasks {
		if in := st.tasks[at].intent; in != nil && in.planned {
			return cr.bestCandidate(rd.now, st, at, rd.usable) != nil
		}
	}
	return false
}

// mayMakeRoom reports whether a step may get room from running tasks. Only steps that their organisation's limit allows to start get it.
func (cr *Core) mayMakeRoom(rd *round, st *step) bool {
	return st.spec.LongRunning || cr.mayPreempt(rd, st)
}

// hasRoomBeyondLimit reports whether some worker could run a task of a step whose organisation's limit allows no start. Tickets are requested only
// once the limit allows a start, so they are not needed.
func (rd *round) hasRoomBeyondLimit(cr *Core, st *step) bool {
	room := st.spec.ResourceRequest()
	if rd.cannotFit(room) || slices.ContainsFunc(rd.limitNoRoomFor, func(sz job.Size) bool { return sz.Fits(room) }) {
		return false
	}
	fits := false
	for _, cd := range rd.usable {
		if cr.suits(rd.now, st, cd) {
			return true
		}
		fits = fits || room.Fits(cd.free)
	}
	if !fits {
		rd.limitNoRoomFor = append(rd.limitNoRoomFor, room)
	}
	return false
}

// limitState returns what the cell knows of the limit of an organisation.
func (lg *Ledger) limitState(id job.OrganisationID) LimitState {
	maximum, as := lg.maxima[id], lg.account(id)
	limit, _ := lg.limit(id, maximum)
	return LimitState{Used: lg.used(id), Limit: limit.NonNegative(), Elsewhere: as.heldByOthers(lg.cell), Maximum: maximum, Competing: as.competingCells(lg.cell)}
}
