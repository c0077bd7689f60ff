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

// Timeouts and limits of accepting jobs.
const (
	// intakeBatchSize is how many jobs one transaction accepts. At three rows and a condition each they stay below the limit of
	// 100 entries per transaction.
	intakeBatchSize = 24
	// intakeReadTimeout bounds one attempt at reading a row.
	intakeReadTimeout = 900 * time.Millisecond
	// intakeRetryDelay is the delay before an attempt that the store refused or did not answer is repeated.
	intakeRetryDelay = 60 * time.Millisecond
	// intakeRefuseTimeout is how long a job that the store refuses is retried before the caller gets Refused.
	intakeRefuseTimeout = 250 * time.Millisecond
	// defaultRetryAfter is the time after which the caller of a refused job should retry.
	defaultRetryAfter = time.Second
	// pendingCacheTTL is how long a cached count of waiting jobs is returned without asking the owner.
	pendingCacheTTL = 700 * time.Millisecond
	// pendingMaxStale is how long a cached count is returned while the owner does not answer.
	pendingMaxStale = 1900 * time.Millisecond
	// homeCacheSize is the number of jobs whose home rows are cached.
	homeCacheSize = 8192
)

// SubmitResult is the result of submitting a job.
type SubmitResult int

// Results of Submit.
const (
	// Unknown means that the outcome is not known: the job may have been accepted.
	Unknown SubmitResult = iota
	// Accepted means that the job is stored.
	Accepted
	// Refused means that this attempt did not store the job and will not run it.
	Refused
	// OtherOrganisation means that a job of another organisation has the same id.
	OtherOrganisation
	// TooLarge means that the job will never be accepted, since the store could not hold its progress.
	TooLarge
)

// Errors of job calls.
var (
	// ErrJobNotFound means that there is no such job.
	ErrJobNotFound = errors.New("no such job")
	// ErrUnavailable means that neither the owner nor the store could answer.
	ErrUnavailable = errors.New("the job's cell and the store are temporarily unavailable")
)

// homeRow is the row that records which cell and organisation a job belongs to.
type homeRow struct {
	Cell         string             `json:"cell"`
	Queue        job.QueueID        `json:"queue"`
	Organisation job.OrganisationID `json:"organisation,omitempty"`
}

// submission is a job that waits to be accepted.
type submission struct {
	ctx    context.Context
	spec   *job.Spec
	raw    []byte
	result chan SubmitResult
	// inDoubt is set once an attempt was not answered. From then on only the store can tell whether the job was accepted.
	inDoubt bool
	started time.Time
	// home is what the store was last seen to have in the place of the home row.
	home homeEntry
	// attempts counts the transactions that included the job.
	attempts atomic.Int32
	// txState tells whether a transaction may store the job.
	txState atomic.Int32
}

// States of a submission with regard to transactions.
const (
	// txNone means that no transaction has stored the job, and none will unless a new attempt begins.
	txNone = iota
	// txInDoubt means that a transaction is in flight or was not answered.
	txInDoubt
	// txWithdrawn means that the caller was told that the job is refused, so no transaction may include it any more.
	txWithdrawn
)

// homeRow returns the job's home row.
func (sb *submission) homeRow() homeRow {
	return homeRow{Cell: cellName(sb.spec.Pool), Queue: sb.spec.Queue, Organisation: sb.spec.Organisation}
}

// resubmitResult returns the result for a caller that submits a stored job again.
func (hr homeRow) resubmitResult(caller job.OrganisationID) SubmitResult {
	if !job.MayAccess(caller, hr.Organisation) {
		return OtherOrganisation
	}
	return Accepted
}

// logFields returns the log fields that describe how the job was accepted or refused.
func (sb *submission) logFields(now time.Time) []zap.Field {
	return []zap.Field{zap.Duration("waited", now.Sub(sb.started)), zap.Int32("tries", sb.attempts.Load())}
}

// beginAttempt counts a transaction and reports whether the job may be part of it.
func (sb *submission) beginAttempt() bool {
	if !sb.inDoubt && !sb.txState.CompareAndSwap(txNone, txInDoubt) {
		return false
	}
	sb.attempts.Add(1)
	return true
}

// endAttempt records that the transaction with the job had no effect.
func (sb *submission) endAttempt() {
	if !sb.inDoubt {
		sb.txState.Store(txNone)
	}
}

// abandon returns the result for a caller whose context has ended. It is Refused only if no transaction has stored the job and
// none will.
func (sb *submission) abandon() SubmitResult {
	if sb.txState.CompareAndSwap(txNone, txWithdrawn) {
		return Refused
	}
	return Unknown
}

// intake accepts the jobs of one part. The first job is written at once. Jobs that arrive while a transaction is in flight
// share the next one.
type intake struct {
	fl    *Fleet
	part  string
	queue chan *submission
}

func newIntake(fl *Fleet, part int) *intake {
	return &intake{fl: fl, part: partName(part), queue: make(chan *submission, 1024)}
}

// Submit stores a job, so that it runs exactly once whatever fails. A repeated submission of the same id refers to the same
// job. If the result is Refused, the caller should retry after the returned delay.
func (fl *Fleet) Submit(ctx context.Context, sp *job.Spec) (SubmitResult, time.Duration) {
	if hr, known := fl.homes.get(sp.ID); known {
		return hr.resubmitResult(sp.Organisation), 0
	}
	sp.Policy = fl.policy(sp.Queue)
	if size := sp.MaxProgressBytes(sp.FormerQueue().MaxAttempts); size > fl.maxProgressBytes() {
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "the store could not hold its progress"), zap.Int("bytes", size), zap.Int("limit", fl.maxProgressBytes()))
		return TooLarge, 0
	}
	if fl.CutOff() || !fl.store.Reachable() && !fl.control.isFresh(fl.opts.Now()) {
		// No transaction was sent, so the job has not run and will not run.
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "the store does not answer"))
		return Refused, fl.outageRetryAfter(sp.ID)
	}
	if delay := fl.admissionDelay(ctx, sp); delay > 0 {
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "its pool does not have the capacity to run it in time"), zap.Duration("comeBack", delay))
		return Refused, delay
	}
	if fl.allHallsEvacuated() {
		fl.metrics.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "all data halls are evacuated"), zap.Duration("comeBack", evacuatedRetryAfter))
		return Refused, evacuatedRetryAfter
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
		// An attempt may stay in flight for longer than the caller waits.
		result = sb.abandon()
	}
	now := fl.opts.Now()
	fl.metrics.recordSubmit(result, now.Sub(sb.started))
	if result == Unknown {
		fl.logJob(event.JobUnsure, sp.ID, sb.logFields(now)...)
	}
	return result, fl.outageRetryAfter(sp.ID)
}

// policy returns what a queue lays down for its jobs, nil if the queue is not known.
func (fl *Fleet) policy(id job.QueueID) *job.Policy {
	if cf := fl.config.Load(); cf != nil {
		if qu := cf.Queue(id); qu != nil {
			return qu.Policy()
		}
	}
	return nil
}

// specForRow returns the spec that the job's row holds. It lacks the payload, which has its own row, once all live instances
// can read that layout.
func (fl *Fleet) specForRow(sp *job.Spec) *job.Spec {
	if sp.Payload == "" || !fl.separatePayloads.Load() {
		return sp
	}
	sp.Acceptor = fl.opts.Address
	stripped := *sp
	stripped.Payload = ""
	return &stripped
}

// isFresh reports whether the last call for the table was answered within the feed's wait and margin.
func (wt *tableWatch) isFresh(now time.Time) bool {
	_, until := wt.healthyPeriod()
	return now.Sub(until) < wt.wait+feedTimeoutMargin
}

// run accepts jobs until the context ends. Jobs whose attempt was not answered are retried together with newer ones.
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

// processBatch tries to accept the first waiting jobs and returns those that have to be tried again.
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
	case errors.Is(err, ErrInvalid):
		endAttempts(group)
		group = in.refuseInvalid(ctx, group, err)
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

// answerExpired answers the callers whose context has ended, or all callers once this instance is cut off, and returns the
// remaining jobs.
func (in *intake) answerExpired(waiting []*submission) []*submission {
	var remaining []*submission
	for _, sb := range waiting {
		switch {
		case in.fl.CutOff() && sb.inDoubt:
			// The caller can find out the outcome through another data hall.
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

// refuse answers Refused for jobs that the store has refused for intakeRefuseTimeout and cannot have accepted, and returns the
// remaining jobs.
func (in *intake) refuse(waiting []*submission) []*submission {
	var remaining []*submission
	for _, sb := range waiting {
		if sb.inDoubt || in.fl.opts.Now().Sub(sb.started) < intakeRefuseTimeout {
			remaining = append(remaining, sb)
			continue
		}
		in.fl.metrics.refused.Inc(1)
		in.fl.logJob(event.JobRefused, sb.spec.ID, append(sb.logFields(in.fl.opts.Now()), zap.String("why", "the store refuses the transaction"))...)
		sb.result <- Refused
	}
	return remaining
}

// refuseInvalid answers Refused for a job whose rows the store does not take. In a group it tries each job by itself, and returns
// those that have to be tried again.
func (in *intake) refuseInvalid(ctx context.Context, group []*submission, err error) []*submission {
	if len(group) > 1 {
		var remaining []*submission
		for _, sb := range group {
			remaining = append(remaining, in.processBatch(ctx, []*submission{sb})...)
		}
		return remaining
	}
	for _, sb := range group {
		if sb.inDoubt {
			// An earlier attempt of the same rows was not answered; they are not taken, so it stored nothing either.
			sb.inDoubt = false
			sb.endAttempt()
		}
		in.fl.metrics.refused.Inc(1)
		in.fl.logJob(event.JobRefused, sb.spec.ID, zap.String("why", "the store does not take its rows"), zap.Int("bytes", len(sb.raw)), zap.Error(err))
		sb.result <- Refused
	}
	return nil
}

// dedupe removes repeated submissions of a job that is already waiting. Their callers get Unknown and ask again.
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

// withdrawn reports whether the job was cancelled before the store had it.
func (sb *submission) withdrawn() bool { return sb.home.withdrawn.covers(sb.spec.Organisation) }

// addTo adds the rows of the job to a transaction, on the condition that no job with the same id exists and none has been cancelled since. Of a job that
// was cancelled before, only its cancellation is kept.
func (sb *submission) addTo(tx *Tx) error {
	id, part := string(sb.spec.ID), partName(homePart(sb.spec.ID))
	tx.Expect = append(tx.Expect, Expect{homePlace(sb.spec.ID), sb.home.version})
	if sb.withdrawn() {
		wd := withdrawal{By: sb.home.withdrawn.By, Submitted: true, Owner: sb.spec.Organisation}
		return wd.writeTo(tx, sb.spec.ID)
	}
	raw, err := json.Marshal(sb.homeRow())
	if err != nil {
		return err
	}
	tx.Write = append(tx.Write, Row{Table: tableHome, Part: part, Key: id, Value: raw}, Row{Table: jobTable(cellName(sb.spec.Pool)), Part: part, Key: id, Value: sb.raw})
	if sb.spec.Acceptor != "" {
		tx.Write = append(tx.Write, Row{Table: tablePayload, Part: part, Key: id, Value: []byte(sb.spec.Payload)})
	}
	return nil
}

// commitGroup writes the rows of some jobs.
func (in *intake) commitGroup(ctx context.Context, group []*submission) error {
	var tx Tx
	for _, sb := range group {
		if sb.addTo(&tx) != nil {
			return ErrRefused
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, in.fl.store.commitTimeout())
	defer cancel()
	_, err := in.fl.store.Commit(callCtx, tx)
	return err
}

// answerAccepted answers the callers, and notifies the owners of the jobs' cells.
func (in *intake) answerAccepted(group []*submission) {
	byCell := map[string][][]byte{}
	for _, sb := range group {
		if sb.withdrawn() {
			in.fl.logJob(event.JobWithdrawn, sb.spec.ID, append(sb.logFields(in.fl.opts.Now()), zap.String("outcome", "submitted since"))...)
			sb.result <- Accepted
			continue
		}
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

// answerKnown answers the callers of jobs that an earlier attempt accepted, here or through another entry instance, and returns
// the remaining jobs, some of which may have been cancelled. The job stays as that attempt wrote it, and the owner is not
// notified: the new spec may name another cell, and its epoch would make an owner that has just taken over assume that no earlier
// owner can have started the job.
func (in *intake) answerKnown(group []*submission, cf *Conflict) []*submission {
	homes := in.decodeHomes(cf)
	var remaining []*submission
	for _, sb := range group {
		if he, known := homes[string(sb.spec.ID)]; known {
			sb.home = he
		}
		switch hr := sb.home.row; {
		case hr != nil:
			in.fl.homes.add(sb.spec.ID, *hr)
			in.fl.logJob(event.JobKnown, sb.spec.ID)
			sb.result <- hr.resubmitResult(sb.spec.Organisation)
		case sb.withdrawn() && sb.home.withdrawn.Submitted && job.MayAccess(sb.spec.Organisation, sb.home.withdrawn.Owner):
			in.fl.logJob(event.JobKnown, sb.spec.ID)
			sb.result <- Accepted
		default:
			remaining = append(remaining, sb)
		}
	}
	return remaining
}

// decodeHomes decodes the rows of a conflict by job.
func (in *intake) decodeHomes(cf *Conflict) map[string]homeEntry {
	homes := map[string]homeEntry{}
	for _, rw := range cf.Rows {
		if rw.Table != tableHome {
			continue
		}
		he, err := decodeHome(rw)
		if err != nil {
			in.fl.opts.Log.Emit(event.JobRowRejected, zap.String("job", rw.Key), zap.Error(err))
			continue
		}
		homes[rw.Key] = he
	}
	return homes
}

// offerJobs notifies the owner of a cell of new jobs. The owner's feed also delivers them, only later.
func (fl *Fleet) offerJobs(name string, specs [][]byte) {
	if ow := fl.ownerOf(name); ow != nil {
		for _, raw := range specs {
			ow.addJob(raw)
		}
		return
	}
	fl.peers.offer(name, specs)
}
