package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
	"go.uber.org/zap"
)

// Timeouts and limits of admission.
const (
	// admitTimeout is how long a job waits for its owner's decision. What is refused has to be refused at once.
	admitTimeout = 30 * time.Millisecond
	// admitBatchSize is the number of jobs in one call.
	admitBatchSize = 128
	// admitQueueSize bounds the number of jobs that wait for the decision of one owner.
	admitQueueSize = 4096
	// calmTTL is how long the jobs of a calm queue are accepted without a call.
	calmTTL = 250 * time.Millisecond
	// silentBackoff is how long an owner that did not answer is not asked.
	silentBackoff = 250 * time.Millisecond
	// maxOutageRetryAfter bounds the time after which callers return that are refused while the store is down, before it is spread.
	maxOutageRetryAfter = 4 * time.Second
)

// admission asks the owners of cells whether jobs can be done. Jobs that arrive while a call to an owner is in flight share the
// next one.
type admission struct {
	fl *Fleet
	// timeout is how long a job waits for a decision.
	timeout time.Duration
	mu      sync.Mutex // guards the fields below
	// cells holds the jobs that wait for each cell's owner.
	cells map[string]*admitQueue
	// calmUntil says until when the jobs of a queue are accepted without a call.
	calmUntil map[job.QueueID]time.Time
}

// admitQueue holds the jobs that wait for the decisions of one owner.
type admitQueue struct {
	waiting     []*admitCall
	inFlight    bool
	silentUntil time.Time
}

// admitCall is one job that waits for a decision.
type admitCall struct {
	spec *job.Spec
	// decided receives the decision, or is closed if there is none.
	decided chan cell.Admission
	// left is set once the caller no longer waits. admission.mu guards it.
	left bool
}

func newAdmission(fl *Fleet) *admission {
	return &admission{fl: fl, timeout: admitTimeout, cells: map[string]*admitQueue{}, calmUntil: map[job.QueueID]time.Time{}}
}

// admissionDelay returns the time after which the caller of a job that is refused may return, 0 if the job is accepted. If the owner
// of the job's cell does not decide in time, the reports of full queues do.
func (fl *Fleet) admissionDelay(ctx context.Context, sp *job.Spec) time.Duration {
	byAccount := fl.opts.Functions.Admission.Holds(fl.config.Load())
	mayLackHall := needsLabel(sp) && len(fl.evacuatedHalls()) > 0
	if !byAccount && !mayLackHall {
		return fl.fullQueues.retryAfter(fl.opts.Now(), sp.Queue)
	}
	if len(sp.Steps) == 0 || sp.Steps[0].LongRunning || sp.HasSchedule() {
		return 0
	}
	if !mayLackHall && fl.admission.calm(sp.Queue) {
		fl.metrics.admissionCalm.Inc(1)
		return 0
	}
	ad, decided := fl.admission.ask(ctx, sp)
	switch {
	case !decided:
		fl.metrics.admissionUnknown.Inc(1)
		return fl.fullQueues.retryAfter(fl.opts.Now(), sp.Queue)
	case ad.Admitted && !byAccount:
		return fl.fullQueues.retryAfter(fl.opts.Now(), sp.Queue)
	case ad.Admitted:
		fl.metrics.admitted.Inc(1)
		return 0
	}
	fl.metrics.admissionRefused.Inc(1)
	return ad.RetryAfter
}

// outageRetryAfter returns the time after which a caller may return that is refused because the store is down. The longer the
// outage, the more callers wait for its end, so the longer is the time over which they are spread.
func (fl *Fleet) outageRetryAfter(id job.ID) time.Duration {
	if !fl.opts.Functions.Admission.Holds(fl.config.Load()) {
		return defaultRetryAfter
	}
	_, healthy := fl.control.healthyPeriod()
	return spreadRetryAfter(id, fl.opts.Now().Sub(healthy))
}

// spreadRetryAfter returns the time after which the caller of a job may return in an outage that has lasted for some time. It is the
// same for each attempt with the same id and duration.
func spreadRetryAfter(id job.ID, lasted time.Duration) time.Duration {
	base := min(maxOutageRetryAfter, max(defaultRetryAfter, lasted))
	return base + time.Duration(hash(string(id))%1000)*base/1000
}

// calm reports whether the owner has recently said that jobs of a queue are admitted.
func (am *admission) calm(queue job.QueueID) bool {
	am.mu.Lock()
	defer am.mu.Unlock()
	return am.fl.opts.Now().Before(am.calmUntil[queue])
}

// ask returns the owner's decision on a job, or false if the owner does not decide in time.
func (am *admission) ask(ctx context.Context, sp *job.Spec) (cell.Admission, bool) {
	ac := &admitCall{spec: sp, decided: make(chan cell.Admission, 1)}
	name := cellName(sp.Pool)
	if !am.enqueue(name, ac) {
		return cell.Admission{}, false
	}
	waitCtx, cancel := context.WithTimeout(ctx, am.timeout)
	defer cancel()
	select {
	case ad, decided := <-ac.decided:
		return ad, decided
	case <-waitCtx.Done():
		am.leave(ac)
		if ctx.Err() == nil {
			am.markSilent(name)
		}
		return cell.Admission{}, false
	}
}

// leave records that the caller of a job no longer waits for the decision. The job is not decided on then, unless it is part of a call already.
func (am *admission) leave(ac *admitCall) {
	am.mu.Lock()
	defer am.mu.Unlock()
	ac.left = true
}

// markSilent stops asking a cell's owner for a while.
func (am *admission) markSilent(name string) {
	am.mu.Lock()
	defer am.mu.Unlock()
	am.cells[name].silentUntil = am.fl.opts.Now().Add(silentBackoff)
}

// enqueue adds a job to those that wait for a cell's owner. It reports false if the owner is silent or too many jobs wait.
func (am *admission) enqueue(name string, ac *admitCall) bool {
	am.mu.Lock()
	defer am.mu.Unlock()
	aq := am.cells[name]
	if aq == nil {
		aq = &admitQueue{}
		am.cells[name] = aq
	}
	if am.fl.opts.Now().Before(aq.silentUntil) || len(aq.waiting) >= admitQueueSize {
		return false
	}
	aq.waiting = append(aq.waiting, ac)
	if !aq.inFlight {
		aq.inFlight = true
		go am.run(name, aq)
	}
	return true
}

// run asks a cell's owner until no job waits.
func (am *admission) run(name string, aq *admitQueue) {
	for {
		am.mu.Lock()
		aq.waiting = slices.DeleteFunc(aq.waiting, func(ac *admitCall) bool { return ac.left })
		batch := aq.waiting[:min(len(aq.waiting), admitBatchSize)]
		aq.waiting = aq.waiting[len(batch):]
		aq.inFlight = len(batch) > 0
		am.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		specs := make([]*job.Spec, len(batch))
		for at, ac := range batch {
			specs[at] = ac.spec
		}
		decisions, why := am.fl.requestAdmission(name, specs)
		am.answer(name, batch, decisions, why)
	}
}

// answer passes decisions on to the waiting jobs. Without decisions the owner counts as silent for a while.
func (am *admission) answer(name string, batch []*admitCall, decisions []cell.Admission, why string) {
	if decisions == nil {
		am.fl.opts.Log.Emit(event.AdmissionUnknown, zap.String("cell", name), zap.Int("jobs", len(batch)), zap.String("why", why))
		am.markSilent(name)
		for _, ac := range batch {
			close(ac.decided)
		}
		return
	}
	for at, ac := range batch {
		am.noteCalm(ac.spec.Queue, decisions[at])
		ac.decided <- decisions[at]
	}
}

// noteCalm records what a decision says of the next jobs of its queue.
func (am *admission) noteCalm(queue job.QueueID, ad cell.Admission) {
	am.mu.Lock()
	defer am.mu.Unlock()
	if ad.Admitted && ad.Calm {
		am.calmUntil[queue] = am.fl.opts.Now().Add(calmTTL)
		return
	}
	delete(am.calmUntil, queue)
}

// requestAdmission asks the owner of a cell, here or at a peer, for its decisions on jobs. It returns nil and the reason if there are
// none.
func (fl *Fleet) requestAdmission(name string, specs []*job.Spec) ([]cell.Admission, string) {
	if ow := fl.ownerOf(name); ow != nil {
		return ow.admit(specs), "the cell is not loaded, or no worker is usable"
	}
	cl, known := fl.peers.ownerClient(name)
	if !known {
		return nil, "the owner is not known"
	}
	fl.metrics.admissionCalls.Inc(1)
	ctx, cancel := context.WithTimeout(fl.background, fl.admission.timeout)
	defer cancel()
	rp, err := cl.Admit(ctx, &peer.AdmitRequest{Cell: name, Jobs: admitJobs(specs)})
	switch {
	case err != nil:
		return nil, err.Error()
	case !rp.Owner || len(rp.Decisions) != len(specs):
		return nil, "the peer does not own the cell, has not loaded it, or no worker is usable"
	}
	decisions := make([]cell.Admission, len(specs))
	for at, dc := range rp.Decisions {
		delay := time.Duration(dc.ComeBackMillis) * time.Millisecond
		decisions[at] = cell.Admission{Admitted: delay <= 0, RetryAfter: delay, Calm: dc.Calm}
	}
	return decisions, ""
}

// admit decides on jobs that are not stored yet, or returns nil if the owner cannot decide.
func (ow *owner) admit(specs []*job.Spec) []cell.Admission {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.planned || ow.quiescing || ow.lost.Load() {
		return nil
	}
	now := ow.fl.opts.Now()
	if !ow.core.KnowsRoom(now) {
		return nil
	}
	decisions := make([]cell.Admission, len(specs))
	for at, sp := range specs {
		decisions[at] = ow.decide(now, sp)
		ow.logAdmission(sp, decisions[at])
	}
	return decisions
}

// decide decides on one job. A job that only workers in evacuated data halls could run is refused whether or not jobs are admitted by
// the account. The caller holds the lock.
func (ow *owner) decide(now time.Time, sp *job.Spec) cell.Admission {
	if hall := ow.core.OnlyEvacuatedHall(now, sp); hall != "" {
		return cell.Admission{RetryAfter: evacuatedRetryAfter, EvacuatedHall: hall}
	}
	if !ow.fl.opts.Functions.Admission.Holds(ow.fl.config.Load()) {
		return cell.Admission{Admitted: true}
	}
	return ow.core.Admit(now, sp)
}

// needsLabel reports whether a step of a job needs a worker with a label.
func needsLabel(sp *job.Spec) bool {
	return slices.ContainsFunc(sp.Steps, func(st job.Step) bool { return st.Label != "" })
}

// logAdmission logs a refusal with what it was decided by.
func (ow *owner) logAdmission(sp *job.Spec, ad cell.Admission) {
	if ad.Admitted {
		return
	}
	ow.fl.opts.Log.Emit(event.AdmissionRefused, zap.String("job", string(sp.ID)), zap.String("cell", ow.name), zap.String("queue", string(sp.Queue)), zap.String("organisation", string(sp.Organisation)),
		zap.String("evacuated", string(ad.EvacuatedHall)), zap.Duration("wait", ad.Wait), zap.Duration("window", ad.Window), zap.Float64("machines", ad.Machines), zap.Duration("comeBack", ad.RetryAfter))
}

// admitJobs returns what the decisions on jobs take into account.
func admitJobs(specs []*job.Spec) []*peer.AdmitJob {
	jobs := make([]*peer.AdmitJob, len(specs))
	for at, sp := range specs {
		aj := &peer.AdmitJob{Id: string(sp.ID), Queue: string(sp.Queue), Organisation: string(sp.Organisation)}
		for _, st := range sp.Steps {
			as := &peer.AdmitStep{Count: int32(st.Count), CpuMillis: int32(st.Size.CPUMillis), MemoryMb: int32(st.Size.MemoryMB), Accelerators: int32(st.Size.Accelerators), BestEffort: st.BestEffort, Label: st.Label}
			for _, dep := range st.DependsOn {
				as.DependsOn = append(as.DependsOn, int32(dep))
			}
			aj.Steps = append(aj.Steps, as)
		}
		jobs[at] = aj
	}
	return jobs
}

// admitSpec returns the job that a peer asks about. It reports false if a step depends on one that is not before it.
func admitSpec(pool job.PoolID, aj *peer.AdmitJob) (*job.Spec, bool) {
	sp := &job.Spec{ID: job.ID(aj.Id), Queue: job.QueueID(aj.Queue), Pool: pool, Organisation: job.OrganisationID(aj.Organisation)}
	for at, as := range aj.Steps {
		st := job.Step{Count: int(as.Count), Size: job.Size{CPUMillis: int(as.CpuMillis), MemoryMB: int(as.MemoryMb), Accelerators: int(as.Accelerators)}, BestEffort: as.BestEffort, Label: as.Label}
		for _, dep := range as.DependsOn {
			if dep < 0 || int(dep) >= at {
				return nil, false
			}
			st.DependsOn = append(st.DependsOn, int(dep))
		}
		sp.Steps = append(sp.Steps, st)
	}
	return sp, true
}

// Admit decides on jobs of a cell that is owned here.
func (sv cellsServer) Admit(_ context.Context, rq *peer.AdmitRequest) (*peer.AdmitResponse, error) {
	ow := sv.fl.ownerOf(rq.Cell)
	if ow == nil {
		return &peer.AdmitResponse{}, nil
	}
	specs := make([]*job.Spec, len(rq.Jobs))
	for at, aj := range rq.Jobs {
		sp, valid := admitSpec(ow.pool(), aj)
		if !valid {
			return &peer.AdmitResponse{}, nil
		}
		specs[at] = sp
	}
	decisions := ow.admit(specs)
	rp := &peer.AdmitResponse{Owner: decisions != nil}
	for _, ad := range decisions {
		dc := &peer.AdmitDecision{Calm: ad.Calm}
		if !ad.Admitted {
			dc.ComeBackMillis = max(1, ad.RetryAfter.Milliseconds())
		}
		rp.Decisions = append(rp.Decisions, dc)
	}
	return rp, nil
}
