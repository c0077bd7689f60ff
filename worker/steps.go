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
	// maxWorkerLosses is how many workers may be lost under a job, one after another, before the job fails. A loss takes two leases to detect.
	maxWorkerLosses = 3
	// maxFailedStarts is how often an attempt is sent to a worker that does not answer. After that, the outcome is known when the lease expires.
	maxFailedStarts = 2
	// maxRestarts limits how often in total a job is started again on workers that do not know its attempt: the job may have crashed the worker.
	maxRestarts = 2
)

// applyReports updates jobs from the reported ends of their tasks and requeues jobs whose workers were lost.
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
			// The worker stopped the task on its own when the lease expired. The extra lease duration covers clock differences.
			changed = append(changed, afterWorkerLoss(jb))
		}
	}
	return pl.writeJobs(ctx, changed)
}

// afterWorkerLoss returns a job after the loss of its worker. A crashed worker never reports how the task ended,
// so the number of losses limits how often a job that crashes workers is placed.
func afterWorkerLoss(jb *Job) *Job {
	next := *jb
	next.LostOn = append(slices.Clone(jb.LostOn), jb.Instance)
	next.State, next.Instance = JobQueued, ""
	if len(next.LostOn) >= maxWorkerLosses {
		next.State, next.Why = JobFailed, "its workers were lost under it, one after the other"
	}
	return &next
}

// afterReport returns the job as it is after the end of its task, or nil while the task is running.
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

// applyCancellations cancels the jobs that match a cancellation and stops their running tasks.
func (pl *Placer) applyCancellations(ctx context.Context, _ []Report) error {
	var cancellations []Cancellation
	for _, cn := range pl.cancellations {
		cancellations = append(cancellations, cn)
	}
	var changed []*Job
	for _, jb := range pl.jobs {
		if jb.State.terminal() || !matchesAny(jb, cancellations) {
			continue
		}
		if jb.State == JobRunning {
			pl.hook()
			// If the stop call fails, the task ends when its lease expires.
			_ = pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, false)
		}
		next := *jb
		next.State, next.Why = JobCancelled, "its team cancelled it"
		changed = append(changed, &next)
	}
	return pl.writeJobs(ctx, changed)
}

// renewLeases renews the leases of running tasks. Tasks on workers that a plan is about to stop are stopped after a checkpoint and requeued.
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
			pl.hook()
			if err := pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, true); err != nil {
				continue
			}
			next.State, next.Instance = JobQueued, ""
		case pl.acknowledged[jb.ID] != jb.Attempt:
			// No worker has acknowledged this attempt. Renewing its lease would keep the jobs of a lost worker assigned to it for ever.
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
		// A previous placer may have stopped after it wrote the table and before it called the worker.
		if jb.State == JobRunning && pl.acknowledged[jb.ID] != jb.Attempt && pl.failedStarts[jb.ID] < maxFailedStarts && !slices.Contains(changed, jb) {
			changed = append(changed, jb)
		}
	}
	unknown, err := pl.sendTasks(ctx, changed, true)
	if err != nil {
		return err
	}
	return pl.restartUnknown(ctx, unknown)
}

// restartUnknown restarts attempts that their workers do not know. The count is saved first, so that it also limits the restarts
// across changes of the placer.
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
	_, err := pl.sendTasks(ctx, changed, false)
	return err
}

// placeQueued places queued jobs: it writes the table under the lease first, and then starts the tasks on the workers.
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
	_, err := pl.sendTasks(ctx, changed, false)
	return err
}

// placementInput collects the input of a placement round.
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

// writeJobs writes changed jobs in batches. Each batch commits only if this placer still holds the lease row.
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
	pl.hook()
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

// sendTasks sends running jobs to their workers, to start them or only to renew their leases. A call that fails is retried in the next round,
// up to maxFailedStarts. It returns the jobs whose leases were to be renewed but whose workers do not know the attempt.
func (pl *Placer) sendTasks(ctx context.Context, changed []*Job, renew bool) (unknown []*Job, err error) {
	for _, jb := range changed {
		if jb.State != JobRunning {
			continue
		}
		pl.hook()
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
