package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Times and sizes of accepting jobs.
const (
	// intakeGroup is how many jobs one transaction accepts: three rows and a condition each stay below a transaction's 100 entries.
	intakeBatchSize = 24
	// intakeTimeout bounds one read.
	intakeReadTimeout = 900 * time.Millisecond
	// intakeRetry is the pause before a try whose end is not known is repeated.
	intakeRetryDelay = 60 * time.Millisecond
	// refuseAfter is how long a job that the store refuses is tried before its caller is told to come back.
	intakeRefuseTimeout = 250 * time.Millisecond
	// comeBack is when a caller whose job was refused is to come back.
	defaultRetryAfter = time.Second
	// pendingAge is how old a count of waiting jobs may be when it is told.
	pendingCacheTTL = 700 * time.Millisecond
	// pendingStale is how old it may be while the owner does not answer.
	pendingMaxStale = 1900 * time.Millisecond
	// homesKept is how many jobs' cells are remembered.
	homeCacheSize = 8192
)

// Verdict is what becomes of a job that is handed in.
type SubmitResult int

// The verdicts.
const (
	// Unknown means that the job may have been accepted.
	Unknown SubmitResult = iota
	// Accepted means that the job is kept.
	Accepted
	// Refused means that the job was not taken by this try and will not run because of it.
	Refused
	// Foreign means that the id is that of another organisation's job.
	Foreign
)

// Errors of job calls.
var (
	// ErrNoJob says that there is no such job.
	ErrJobNotFound = errors.New("no such job")
	// ErrNotNow says that the answer is not to be had at this time.
	ErrUnavailable = errors.New("the answer is not to be had now")
)

// home is the row that says which cell a job belongs to, and which organisation.
type homeRow struct {
	Cell         string             `json:"cell"`
	Queue        job.QueueID        `json:"queue"`
	Organisation job.OrganisationID `json:"organisation,omitempty"`
}

// handed is a job that waits to be accepted.
type submission struct {
	ctx    context.Context
	spec   *job.Spec
	raw    []byte
	result chan SubmitResult
	// unsure is set once a try had no answer: from then on only the store can say that it was not taken.
	inDoubt bool
	started time.Time
	// tries counts the transactions that it was in.
	attempts atomic.Int32
	// hold tells whether a transaction may take it.
	txState atomic.Int32
}

// What transactions have to do with a job that is handed in.
const (
	// holdNone means that none has taken it, nor will unless it is tried.
	txNone = iota
	// holdDoubt means that one is under way, or ended without an answer.
	txInDoubt
	// holdWithdrawn means that its caller was told that it was not taken, so none may hold it any more.
	txWithdrawn
)

// home is the row that says where the job belongs.
func (sb *submission) homeRow() homeRow {
	return homeRow{Cell: cellName(sb.spec.Pool), Queue: sb.spec.Queue, Organisation: sb.spec.Organisation}
}

// verdict is what a caller is told who hands the job in once more.
func (hr homeRow) resubmitResult(caller job.OrganisationID) SubmitResult {
	if !job.MayAccess(caller, hr.Organisation) {
		return Foreign
	}
	return Accepted
}

// story is what the log tells of the way of a job until its verdict.
func (sb *submission) logFields(now time.Time) []zap.Field {
	return []zap.Field{zap.Duration("waited", now.Sub(sb.started)), zap.Int32("tries", sb.attempts.Load())}
}

// tried counts one more transaction, and reports whether the job may be in it.
func (sb *submission) beginAttempt() bool {
	if !sb.inDoubt && !sb.txState.CompareAndSwap(txNone, txInDoubt) {
		return false
	}
	sb.attempts.Add(1)
	return true
}

// untaken notes that the transaction that held the job did nothing.
func (sb *submission) endAttempt() {
	if !sb.inDoubt {
		sb.txState.Store(txNone)
	}
}

// giveUp is the verdict of a caller whose time is over: refused only if no transaction has taken the job, and none will.
func (sb *submission) abandon() SubmitResult {
	if sb.txState.CompareAndSwap(txNone, txWithdrawn) {
		return Refused
	}
	return Unknown
}

// intake accepts the jobs of one part. The first goes at once; those that come while a transaction is on its way share the next.
type intake struct {
	fl    *Fleet
	part  string
	queue chan *submission
}

func newIntake(fl *Fleet, part int) *intake {
	return &intake{fl: fl, part: partName(part), queue: make(chan *submission, 1024)}
}

// Submit keeps a job, so that it runs once whatever fails. A second try of the same id is the same job.
func (fl *Fleet) Submit(ctx context.Context, sp *job.Spec) (SubmitResult, time.Duration) {
	if hr, known := fl.homes.get(sp.ID); known {
		return hr.resubmitResult(sp.Organisation), 0
	}
	if fl.CutOff() || !fl.store.Reachable() && !fl.control.isFresh(fl.opts.Now()) {
		// Nothing was sent, so it has not run and will not.
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "the store does not answer"))
		return Refused, defaultRetryAfter
	}
	if delay := fl.fullQueues.retryAfter(fl.opts.Now(), sp.Queue); delay > 0 {
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "its pool cannot serve it in time"), zap.Duration("comeBack", delay))
		return Refused, delay
	}
	if fl.pausedQueues()[sp.Queue] {
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "its queue is paused by an operator"), zap.Duration("comeBack", pausedRetryAfter))
		return Refused, pausedRetryAfter
	}
	sp.Epoch = fl.members.owner(cellName(sp.Pool)).epoch()
	raw, err := job.EncodeSpec(fl.specForRow(sp))
	if err != nil {
		return Refused, defaultRetryAfter
	}
	sb := &submission{ctx: ctx, spec: sp, raw: raw, result: make(chan SubmitResult, 1), started: fl.opts.Now()}
	in := fl.intakes[homePart(sp.ID)]
	select {
	case in.queue <- sb:
	default:
		fl.metrics.refused.Inc(1)
		return Refused, defaultRetryAfter
	}
	var result SubmitResult
	select {
	case result = <-sb.result:
	case <-ctx.Done():
		// A try may be under way for longer than the caller waits.
		result = sb.abandon()
	}
	now := fl.opts.Now()
	fl.metrics.recordSubmit(result, now.Sub(sb.started))
	if result == Unknown {
		fl.logJob(event.JobUnsure, sp.ID, sb.logFields(now)...)
	}
	return result, defaultRetryAfter
}

// kept is a job as its row has it: without its payload, which lies apart, once all instances know how to find it there.
func (fl *Fleet) specForRow(sp *job.Spec) *job.Spec {
	if sp.Payload == "" || !fl.separatePayloads.Load() {
		return sp
	}
	sp.Acceptor = fl.opts.Address
	light := *sp
	light.Payload = ""
	return &light
}

// fresh reports whether the table was heard of lately.
func (wt *tableWatch) isFresh(now time.Time) bool {
	_, until := wt.healthyPeriod()
	return now.Sub(until) < wt.wait+feedTimeoutMargin
}

// run accepts jobs until the context ends. Jobs whose try had no answer are tried again together with those that came meanwhile.
func (in *intake) run(ctx context.Context) {
	var waiting []*submission
	for ctx.Err() == nil {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case first := <-in.queue:
				waiting = append(waiting, first)
			}
		}
		for len(in.queue) > 0 {
			waiting = append(waiting, <-in.queue)
		}
		waiting = in.processBatch(ctx, dedupe(waiting))
	}
}

// round tries the first jobs that wait and returns those that are still to be tried.
func (in *intake) processBatch(ctx context.Context, waiting []*submission) []*submission {
	waiting = in.answerExpired(waiting)
	if len(waiting) == 0 {
		return nil
	}
	group := waiting[:min(len(waiting), intakeBatchSize)]
	rest := waiting[len(group):]
	group = slices.DeleteFunc(slices.Clone(group), func(sb *submission) bool { return !sb.beginAttempt() })
	if len(group) == 0 {
		return rest
	}
	err := in.commitGroup(ctx, group)
	var cf *Conflict
	switch {
	case err == nil:
		in.answerAccepted(group)
		return rest
	case errors.As(err, &cf):
		group = in.answerKnown(group, cf)
		endAttempts(group)
	case errors.Is(err, ErrRefused):
		endAttempts(group)
		group = in.refuse(group)
		rest = in.refuse(rest)
		sleep(ctx, intakeRetryDelay)
	default:
		for _, sb := range group {
			sb.inDoubt = true
		}
		rest = in.refuse(rest)
		sleep(ctx, intakeRetryDelay)
	}
	return append(group, rest...)
}

func endAttempts(group []*submission) {
	for _, sb := range group {
		sb.endAttempt()
	}
}

// expire answers the callers whose time is over, and all of them once this instance is cut off.
func (in *intake) answerExpired(waiting []*submission) []*submission {
	var remaining []*submission
	for _, sb := range waiting {
		switch {
		case in.fl.CutOff() && sb.inDoubt:
			// Another hall can find out what became of it.
			sb.result <- Unknown
		case in.fl.CutOff():
			sb.result <- Refused
		case sb.ctx.Err() == nil:
			remaining = append(remaining, sb)
		case sb.inDoubt:
			sb.result <- Unknown
		default:
			sb.result <- Refused
		}
	}
	return remaining
}

// refuse answers at once what the store has refused for a while and cannot have taken, and returns the others.
func (in *intake) refuse(waiting []*submission) []*submission {
	var remaining []*submission
	for _, sb := range waiting {
		if sb.inDoubt || in.fl.opts.Now().Sub(sb.started) < intakeRefuseTimeout {
			remaining = append(remaining, sb)
			continue
		}
		in.fl.metrics.refused.Inc(1)
		in.fl.logJob(event.JobRefused, sb.spec.ID, append(sb.logFields(in.fl.opts.Now()), zap.String("why", "the store does not take it"))...)
		sb.result <- Refused
	}
	return remaining
}

// unique leaves out later tries of a job that waits already; their callers are told to ask again.
func dedupe(waiting []*submission) []*submission {
	seen := map[job.ID]bool{}
	var list []*submission
	for _, sb := range waiting {
		if seen[sb.spec.ID] {
			sb.result <- Unknown
			continue
		}
		seen[sb.spec.ID] = true
		list = append(list, sb)
	}
	return list
}

// try writes the rows of some jobs on the condition that none is there.
func (in *intake) commitGroup(ctx context.Context, group []*submission) error {
	var tx Tx
	for _, sb := range group {
		id := string(sb.spec.ID)
		name := cellName(sb.spec.Pool)
		raw, err := json.Marshal(sb.homeRow())
		if err != nil {
			return ErrRefused
		}
		tx.Expect = append(tx.Expect, Expect{Place{tableHome, in.part, id}, 0})
		tx.Write = append(tx.Write, Row{Table: tableHome, Part: in.part, Key: id, Value: raw}, Row{Table: jobTable(name), Part: in.part, Key: id, Value: sb.raw})
		if sb.spec.Acceptor != "" {
			tx.Write = append(tx.Write, Row{Table: tablePayload, Part: in.part, Key: id, Value: []byte(sb.spec.Payload)})
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, in.fl.store.commitTimeout())
	defer cancel()
	_, err := in.fl.store.Commit(callCtx, tx)
	return err
}

// accepted tells callers, and then the owners of the cells.
func (in *intake) answerAccepted(group []*submission) {
	byCell := map[string][][]byte{}
	for _, sb := range group {
		name := cellName(sb.spec.Pool)
		in.fl.homes.add(sb.spec.ID, sb.homeRow())
		in.fl.payloads.put(sb.spec.ID, sb.spec.Payload)
		byCell[name] = append(byCell[name], sb.raw)
		in.fl.logJob(event.JobAccepted, sb.spec.ID, append(sb.logFields(in.fl.opts.Now()), zap.String("cell", name), zap.Int64("epoch", int64(sb.spec.Epoch)))...)
		sb.result <- Accepted
	}
	for name, specs := range byCell {
		go in.fl.offerJobs(name, specs)
	}
}

// known tells the callers of jobs that were accepted before, by an earlier try here or through another entry instance, and returns
// the others. The job is as that try wrote it: this one may name another cell, and its epoch would make an owner that has just
// taken over believe that no earlier one can have started it, so the owner is not told.
func (in *intake) answerKnown(group []*submission, cf *Conflict) []*submission {
	homes := map[string]homeRow{}
	for _, rw := range cf.Rows {
		var hr homeRow
		if rw.Table == tableHome && !rw.Deleted && rw.Version != 0 && json.Unmarshal(rw.Value, &hr) == nil {
			homes[rw.Key] = hr
		}
	}
	var remaining []*submission
	for _, sb := range group {
		hr, exists := homes[string(sb.spec.ID)]
		if !exists {
			remaining = append(remaining, sb)
			continue
		}
		in.fl.homes.add(sb.spec.ID, hr)
		in.fl.logJob(event.JobKnown, sb.spec.ID)
		sb.result <- hr.resubmitResult(sb.spec.Organisation)
	}
	return remaining
}

// offer tells a cell's owner of new jobs; the owner's feed finds them as well, only later.
func (fl *Fleet) offerJobs(name string, specs [][]byte) {
	if ow := fl.ownerOf(name); ow != nil {
		for _, raw := range specs {
			ow.addJob(raw)
		}
		return
	}
	fl.peers.offer(name, specs)
}
