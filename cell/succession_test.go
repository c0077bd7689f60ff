package cell

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// successionTick is the time between two plans of an owner.
	successionTick = 50 * time.Millisecond
	// successionPatience is how long an owner gets to order a start, save something or give a job up.
	successionPatience = 30 * time.Second
	// crashedAfter is how long an attempt runs before its worker ends.
	crashedAfter = 400 * time.Millisecond
	// crashedLate is the same for a task that crashes its workers late.
	crashedLate = minSurvival + time.Second
)

// successionWorker is the true state of a worker.
type successionWorker struct {
	info  Worker
	alive bool
	// silent means that calls to the ended worker time out. Otherwise its connections break.
	silent bool
	// refuses means that the worker lives and its connections break.
	refuses bool
	// running is the attempt on the worker, or nil.
	running *Running
	ends    []End
}

// succession is a store, workers and owners of a cell that succeed one another. A test forces the order of events on one job with one task. There
// is one living worker at a time.
type succession struct {
	t    *testing.T
	now  time.Time
	core *Core
	spec *job.Spec
	// epoch and version are the last ones that the store gave.
	epoch   job.Epoch
	version int64
	// The fields with the prefix row are the content of the store. No owner releases the cell.
	rowProgress *SaveRow
	rowWorkers  []WorkerRef
	rowUnseen   job.Epoch
	workers     []*successionWorker
	// storeCut means that the owner cannot reach the store. Its saves wait, and are refused once it is replaced.
	storeCut bool
	// ordered holds the starts that were ordered and are left to the test.
	ordered []Start
	// starts counts the starts carried out. endedUnder and crashes count the workers that ended while running the task, and those that it crashed.
	starts, endedUnder, crashes int
	// startsAfterLimit counts the starts carried out after crashLimit crashes.
	startsAfterLimit int
	// broken lists the promises that were broken.
	broken []string
}

// newSuccession returns a succession with a first owner that knows the job.
func newSuccession(t *testing.T) *succession {
	t.Helper()
	su := &succession{t: t, now: time.Unix(1_700_000_000, 0), epoch: testEpoch}
	su.spec = &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch + 1, AcceptedAt: su.now}
	su.addWorker()
	su.replaceOwner()
	return su
}

// addWorker starts a worker and registers it.
func (su *succession) addWorker() {
	id := WorkerID("w" + strconv.Itoa(len(su.workers)+1))
	wk := &successionWorker{info: Worker{ID: id, Pool: testPool, Address: string(id), Rack: "r", Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}}, alive: true}
	su.workers = append(su.workers, wk)
	if su.core != nil {
		su.core.Register(su.now, wk.info)
	}
}

// worker returns a worker by its ID.
func (su *succession) worker(id WorkerID) *successionWorker {
	at := slices.IndexFunc(su.workers, func(wk *successionWorker) bool { return wk.info.ID == id })
	return su.workers[at]
}

// replaceOwner makes a new owner claim the cell, which reads the job at once. The former one gives no more orders.
func (su *succession) replaceOwner() { su.claim(true) }

// readJob makes the owner read the job from the store.
func (su *succession) readJob() {
	sd := StoredJob{Spec: su.spec}
	if su.rowProgress != nil {
		sd.Progress, sd.Version = su.rowProgress.Progress, su.rowProgress.Version
	}
	su.core.Add(su.now, sd)
}

// claim makes a new owner claim the cell. It reads the job at once or leaves that to the test.
func (su *succession) claim(readsJob bool) {
	su.now = su.now.Add(successionTick)
	su.epoch++
	su.storeCut, su.ordered = false, nil
	su.core = New(testPool, su.epoch, Options{})
	su.core.TakeOver(su.now, su.now, su.rowWorkers, false)
	su.core.NoteUnseenLosses(su.rowUnseen)
	su.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 3, Stretch: 1.5, Slack: time.Second}})
	if readsJob {
		su.readJob()
	}
	for _, wk := range su.workers {
		if wk.alive {
			su.rowWorkers = appendRef(su.rowWorkers, WorkerRef{ID: wk.info.ID, Address: wk.info.Address})
			su.core.Register(su.now, wk.info)
		}
	}
	su.core.WorkersRecorded(su.rowWorkers)
}

// comeBack makes a former owner reach the store again, which refuses its save.
func (su *succession) comeBack(former *Core) {
	former.Supersede("the row names another owner")
	if orders := former.Plan(su.now); len(orders) > 0 {
		su.t.Fatalf("the former owner orders %+v", orders)
	}
}

// tick makes the owner plan once and carries out everything but starts.
func (su *succession) tick() {
	su.now = su.now.Add(successionTick)
	if !su.storeCut {
		su.core.OwnershipConfirmed(su.now)
		su.core.RegistrationsRead(su.now)
		su.core.EvacuationsRead(su.now)
	}
	for _, od := range su.core.Plan(su.now) {
		switch order := od.(type) {
		case Poll:
			su.answerPoll(order)
		case Start:
			su.ordered = append(su.ordered, order)
		case Save:
			su.save(order)
		case RecordWorkers:
			su.recordWorkers(order)
		}
	}
	su.reportEnded()
}

// answerPoll answers a poll with what is true of the worker.
func (su *succession) answerPoll(poll Poll) {
	wk := su.worker(poll.Worker)
	res := PollResult{Poll: poll, Outcome: Done, Sent: su.now, Received: su.now, Clock: su.clock(), Ended: slices.Clone(wk.ends)}
	if wk.running != nil {
		res.Running = []Running{*wk.running}
	}
	if !wk.alive || wk.refuses {
		res = PollResult{Poll: poll, Outcome: NoAnswer, Sent: su.now, Received: su.now}
		if wk.silent {
			res.Sent = su.now.Add(-poll.Wait - minAnswerTimeout)
		}
	}
	su.core.HandlePoll(su.now, res)
}

// clock returns the time of the workers' clocks in milliseconds.
func (su *succession) clock() int64 { return su.now.UnixMilli() - 1_699_999_000_000 }

// reportEnded reports to the owner which of its unresponsive workers have ended.
func (su *succession) reportEnded() {
	ids, _ := su.core.Unresponsive(su.now)
	for _, id := range ids {
		if !su.worker(id).alive {
			su.core.WorkerEnded(su.now, id)
		}
	}
}

// save stores progress, unless the owner cannot reach the store.
func (su *succession) save(sv Save) {
	if su.storeCut {
		return
	}
	su.version++
	for _, row := range sv.Rows {
		su.checkGivenUp(row)
		row.Version = su.version
		su.rowProgress = &row
	}
	su.core.Saved(su.now, su.version)
}

// recordWorkers stores the workers in use.
func (su *succession) recordWorkers(order RecordWorkers) {
	if !su.storeCut {
		su.rowWorkers, su.rowUnseen = order.Workers, order.UnseenLossEpoch
		su.core.WorkersRecorded(order.Workers)
	}
	su.core.RecordWorkersEnded()
}

// until lets the owner act until a condition holds. It reports whether the condition came to hold.
func (su *succession) until(holds func() bool) bool {
	for end := su.now.Add(successionPatience); su.now.Before(end); {
		su.tick()
		if holds() {
			return true
		}
	}
	return false
}

// failed reports whether the job is failed in the store.
func (su *succession) failed() bool {
	return su.rowProgress != nil && su.rowProgress.Progress.State == job.Failed
}

// nextStart returns the next start that the owner orders. The test decides what becomes of it.
func (su *succession) nextStart() Start {
	su.t.Helper()
	if !su.until(func() bool { return len(su.ordered) > 0 || su.failed() }) || len(su.ordered) == 0 {
		su.t.Fatalf("the owner orders no start after %d, the row is %+v", su.starts, su.rowProgress)
	}
	st := su.ordered[0]
	su.ordered = nil
	return st
}

// carryOut makes the worker of a start carry it out, without an answer.
func (su *succession) carryOut(st Start) {
	su.starts++
	su.checkStart()
	su.worker(st.Worker).running = &Running{Task: st.Task, Attempt: st.Attempt, Progress: 100}
}

// answerStart gives the owner the answer to a start.
func (su *succession) answerStart(st Start, oc Outcome) {
	clock := int64(0)
	if oc == Done {
		clock = su.clock()
	}
	su.core.HandleOrder(su.now, OrderResult{Order: st, Outcome: oc, Sent: su.now, Received: su.now, Clock: clock})
}

// endAttempt ends the attempt on a worker well. The owner has not read that yet.
func (su *succession) endAttempt(id WorkerID) { su.endAttemptBy(id, EndDone) }

// endAttemptBy ends the attempt on a worker for a reason. The owner has not read that yet.
func (su *succession) endAttemptBy(id WorkerID, reason EndReason) {
	wk := su.worker(id)
	wk.ends = append(wk.ends, End{Number: int64(len(wk.ends) + 1), Task: wk.running.Task, Attempt: wk.running.Attempt, Reason: reason})
	wk.running = nil
}

// endWorker ends a worker and starts another one. An attempt that runs on it is the cause.
func (su *succession) endWorker(id WorkerID, silent bool) {
	wk := su.worker(id)
	if wk.running != nil {
		su.endedUnder++
		su.crashes++
	}
	wk.alive, wk.silent, wk.running, wk.ends = false, silent, nil, nil
	su.addWorker()
}

// losses returns what the owner knows of the losses of the task.
func (su *succession) losses() losses {
	return su.core.jobs["j"].openRun(0).steps[0].tasks[0].losses
}

// awaitCharge lets the owner act until it has resolved all workers that have ended.
func (su *succession) awaitCharge() {
	ended := func(wk *successionWorker) bool { return !wk.alive && su.core.workers[wk.info.ID] != nil }
	su.until(func() bool {
		return !slices.ContainsFunc(su.workers, ended) && su.core.TakeoverComplete() && !su.core.Saving()
	})
}

// checkGivenUp checks promise B: a job is only failed if at least two workers ended while running one of its tasks.
func (su *succession) checkGivenUp(row SaveRow) {
	if row.Progress.State == job.Failed && su.endedUnder < 2 {
		su.broken = append(su.broken, fmt.Sprintf("the job is failed although %d workers ended while running its task; the owner counts %v", su.endedUnder, su.losses().history))
	}
}

// checkStart checks promise A: a task that has crashed crashLimit workers is started at most twice more.
func (su *succession) checkStart() {
	if su.crashes < crashLimit {
		return
	}
	su.startsAfterLimit++
	if su.startsAfterLimit >= crashLimit {
		su.broken = append(su.broken, fmt.Sprintf("the task is started for the %dth time after the crash limit, after %d crashes; the owner counts %v", su.startsAfterLimit, su.crashes, su.losses().history))
	}
}
