package worker

import (
	"context"
	"errors"
	"slices"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// maxWorkerLosses is how many workers may be lost under a job, one after the other, before it is given up. Each takes two leases to notice.
	maxWorkerLosses = 3
	// maxFailedStarts is how often a worker that does not answer is asked for an attempt. What came of it shows at the lease's end.
	maxFailedStarts = 2
	// maxRestarts is how often in all a job is started again on a worker that does not know of its attempt: it may be what ended the worker.
	maxRestarts = 2
)

// settle takes the ends of tasks over into their jobs.
func (pl *Placer) applyReports(ctx context.Context, reports []Report) error {
	var changed []*Job
	for _, rp := range reports {
		jb := pl.jobs[rp.Job]
		if jb == nil || jb.State != JobRunning || jb.Attempt != rp.Attempt {
			continue
		}
		if next := pl.afterReport(jb, rp); next != nil {
			changed = append(changed, next)
		}
	}
	for _, jb := range pl.jobs {
		if jb.State == JobRunning && pl.opts.Now().After(jb.LeaseUntil.Add(pl.opts.TaskLease)) {
			// Its worker stopped it by itself when the lease ran out, and the margin covers clocks that differ.
			changed = append(changed, afterWorkerLoss(jb))
		}
	}
	return pl.writeJobs(ctx, changed)
}

// afterWorkerLoss returns a job after the loss of its worker: a worker that it crashed lists no end, so that losses are what bounds its placements.
func afterWorkerLoss(jb *Job) *Job {
	next := *jb
	next.LostOn = append(slices.Clone(jb.LostOn), jb.Instance)
	next.State, next.Instance = JobQueued, ""
	if len(next.LostOn) >= maxWorkerLosses {
		next.State, next.Why = JobFailed, "its workers were lost under it, one after the other"
	}
	return &next
}

// ended returns the job after its task's end; nil while it runs.
func (pl *Placer) afterReport(jb *Job, rp Report) *Job {
	next := *jb
	switch rp.State {
	case TaskDone:
		pl.estimator.Observe(jb.Kind, jb.Declared, rp.Used)
		pl.failures.RecordSuccess(rp.Instance)
		next.State = JobDone
	case TaskFailed:
		if pl.failures.RecordFailure(rp.Instance, jb.ID, pl.opts.Now()) {
			pl.opts.Log.Emit(event.WorkerQuarantined, zap.String("worker", string(rp.Instance)))
		}
		next.FailedOn = append(slices.Clone(jb.FailedOn), rp.Instance)
		next.State, next.Instance = JobQueued, ""
		if pl.failures.JobAtFault(next.FailedOn) {
			next.State, next.Why = JobFailed, "it failed on several workers that run others well"
		}
	case TaskStopped:
		next.State, next.Instance = JobQueued, ""
	default:
		return nil
	}
	return &next
}

// cancel ends the jobs that cancellations name and stops those that run.
func (pl *Placer) applyCancellations(ctx context.Context, _ []Report) error {
	var cancellations []Cancellation
	for _, cn := range pl.cancels {
		cancellations = append(cancellations, cn)
	}
	var changed []*Job
	for _, jb := range pl.jobs {
		if jb.State.terminal() || !matchesAny(jb, cancellations) {
			continue
		}
		if jb.State == JobRunning {
			pl.testHook()
			// A stop that is lost ends with the task's lease.
			_ = pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, false)
		}
		next := *jb
		next.State, next.Why = JobCancelled, "its team cancelled it"
		changed = append(changed, &next)
	}
	return pl.writeJobs(ctx, changed)
}

// renew extends the leases of running tasks, and moves those off workers that a plan is about to stop, after a checkpoint.
func (pl *Placer) renewLeases(ctx context.Context, _ []Report) error {
	var changed []*Job
	sn := pl.snapshots.Snapshot()
	for _, jb := range pl.jobs {
		if jb.State != JobRunning {
			continue
		}
		next := *jb
		switch in := sn.Instances[jb.Instance]; {
		case in != nil && (in.Hold != nil || in.State != table.InstanceServing):
			pl.testHook()
			if err := pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, true); err != nil {
				continue
			}
			next.State, next.Instance = JobQueued, ""
		case pl.acknowledged[jb.ID] != jb.Attempt:
			// Nobody answered for it. Renewed leases kept the jobs of a lost worker on it for ever.
			continue
		case jb.LeaseUntil.Sub(pl.opts.Now()) < pl.opts.TaskLease/2:
			next.LeaseUntil = pl.opts.Now().Add(pl.opts.TaskLease)
		default:
			continue
		}
		changed = append(changed, &next)
	}
	if err := pl.writeJobs(ctx, changed); err != nil {
		return err
	}
	for _, jb := range pl.jobs {
		// A placer before this one may have ended between the table and the worker.
		if jb.State == JobRunning && pl.acknowledged[jb.ID] != jb.Attempt && pl.failedStarts[jb.ID] < maxFailedStarts && !slices.Contains(changed, jb) {
			changed = append(changed, jb)
		}
	}
	unknown, err := pl.startTasks(ctx, changed, true)
	if err != nil {
		return err
	}
	return pl.restartUnknown(ctx, unknown)
}

// repeat starts attempts again that their workers do not know. That is kept first, so that placers by turns do not repeat it without a bound.
func (pl *Placer) restartUnknown(ctx context.Context, unknown []*Job) error {
	var changed []*Job
	for _, jb := range unknown {
		if jb.Restarts < maxRestarts {
			next := *jb
			next.Restarts++
			changed = append(changed, &next)
		}
	}
	if err := pl.writeJobs(ctx, changed); err != nil {
		return err
	}
	_, err := pl.startTasks(ctx, changed, false)
	return err
}

// place puts queued jobs on workers: first in the table, under the lease, and then at the workers.
func (pl *Placer) placeQueued(ctx context.Context, _ []Report) error {
	pr := Place(pl.placementInput())
	var changed []*Job
	for _, pm := range pr.Placements {
		next := *pm.Job
		next.State, next.Instance, next.Granted = JobRunning, pm.Instance, pm.Granted
		next.Attempt++
		delete(pl.failedStarts, next.ID)
		next.LeaseUntil = pl.opts.Now().Add(pl.opts.TaskLease)
		changed = append(changed, &next)
	}
	for _, jb := range pr.Unschedulable {
		next := *jb
		next.State, next.Why = JobUnschedulable, "no worker is large enough"
		changed = append(changed, &next)
	}
	if err := pl.writeJobs(ctx, changed); err != nil {
		return err
	}
	_, err := pl.startTasks(ctx, changed, false)
	return err
}

// placing gathers what a round of placement is made from.
func (pl *Placer) placementInput() PlacementInput {
	pi := PlacementInput{Quotas: pl.quotas, UsedSlots: map[TeamID]int{}, UrgentReserve: pl.opts.UrgentReserve, Estimator: pl.estimator, Failures: pl.failures, Now: pl.opts.Now()}
	sn := pl.snapshots.Snapshot()
	views := map[table.InstanceID]*WorkerView{}
	for _, in := range sn.SortedInstances() {
		wk := &WorkerView{ID: in.ID, Capacity: pl.opts.WorkerSize, Slots: pl.opts.WorkerSlots, Schedulable: sn.Serving(in.ID) && !sn.Gone(in.ID) && in.Hold == nil}
		views[in.ID] = wk
		pi.Workers = append(pi.Workers, wk)
	}
	for _, jb := range pl.jobs {
		switch jb.State {
		case JobQueued:
			pi.Queue = append(pi.Queue, jb)
		case JobRunning:
			pi.UsedSlots[jb.Team]++
			if wk := views[jb.Instance]; wk != nil {
				wk.allocate(jb, jb.Granted)
			}
		}
	}
	return pi
}

// write changes the rows of jobs in groups; each batch holds only while the lease row is the placer's.
func (pl *Placer) writeJobs(ctx context.Context, changed []*Job) error {
	for batch := range slices.Chunk(changed, batchSize) {
		if err := pl.writeBatch(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (pl *Placer) writeBatch(ctx context.Context, batch []*Job) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	writes := []table.Write{{Table: table.TableLease, Key: leaseKey, IfVersion: pl.leaseVersion, Check: true}}
	for _, jb := range batch {
		raw, err := table.Encode(jb)
		if err != nil {
			return err
		}
		writes = append(writes, table.Write{Table: TableJob, Key: string(jb.ID), IfVersion: jb.version, Value: raw})
	}
	pl.testHook()
	version, err := table.CommitOnce(ctx, pl.table, table.Audit{Actor: string(pl.opts.Entry), Action: "jobs", Subject: string(batch[0].ID), Why: "placement", At: pl.opts.Now().UTC()}, writes...)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return eris.Wrap(ErrLeaseLost, conflict.Error())
	}
	if err != nil {
		return eris.Wrap(err, "write jobs")
	}
	for _, jb := range batch {
		jb.version = version
		pl.jobs[jb.ID] = jb
	}
	return nil
}

// tell tells workers of tasks that are theirs by the table, to start them or only to renew their leases; one that cannot be told is asked in the
// next round. It returns the jobs that were to be renewed and that their workers do not know.
func (pl *Placer) startTasks(ctx context.Context, changed []*Job, renew bool) (unknown []*Job, err error) {
	for _, jb := range changed {
		if jb.State != JobRunning {
			continue
		}
		pl.testHook()
		if !pl.opts.Now().Before(jb.LeaseUntil) {
			return nil, ErrLeaseLost
		}
		err := pl.workers.Start(ctx, Task{Job: jb.ID, Attempt: jb.Attempt, Instance: jb.Instance, Granted: jb.Granted, LeaseUntil: jb.LeaseUntil, Renew: renew})
		if errors.Is(err, table.ErrNoTask) {
			delete(pl.acknowledged, jb.ID)
			unknown = append(unknown, jb)
			continue
		}
		if err != nil {
			pl.opts.Log.Emit(event.PlacementFailed, zap.String("job", string(jb.ID)), zap.Error(err))
			delete(pl.acknowledged, jb.ID)
			pl.failedStarts[jb.ID]++
			continue
		}
		pl.acknowledged[jb.ID] = jb.Attempt
		delete(pl.failedStarts, jb.ID)
	}
	return unknown, nil
}
