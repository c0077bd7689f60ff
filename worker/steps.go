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
	// lostMost is how many workers may be lost under a job, one after the other, before it is given up. Each takes two leases to notice.
	lostMost = 3
	// vainMost is how often a worker that does not answer is asked for an attempt. What came of it shows at the lease's end.
	vainMost = 2
	// repeatsMost is how often in all a job is started again on a worker that does not know of its attempt: it may be what ended the worker.
	repeatsMost = 2
)

// settle takes the ends of tasks over into their jobs.
func (pl *Placer) settle(ctx context.Context, reports []Report) error {
	var changed []*Job
	for _, rp := range reports {
		jb := pl.jobs[rp.Job]
		if jb == nil || jb.State != JobRunning || jb.Attempt != rp.Attempt {
			continue
		}
		if next := pl.ended(jb, rp); next != nil {
			changed = append(changed, next)
		}
	}
	for _, jb := range pl.jobs {
		if jb.State == JobRunning && pl.opts.Now().After(jb.LeaseUntil.Add(pl.opts.TaskLease)) {
			// Its worker stopped it by itself when the lease ran out, and the margin covers clocks that differ.
			changed = append(changed, lostWith(jb))
		}
	}
	return pl.write(ctx, changed)
}

// lostWith returns a job after the loss of its worker: a worker that it crashed lists no end, so that losses are what bounds its placements.
func lostWith(jb *Job) *Job {
	next := *jb
	next.LostOn = append(slices.Clone(jb.LostOn), jb.Instance)
	next.State, next.Instance = JobQueued, ""
	if len(next.LostOn) >= lostMost {
		next.State, next.Why = JobFailed, "its workers were lost under it, one after the other"
	}
	return &next
}

// ended returns the job after its task's end; nil while it runs.
func (pl *Placer) ended(jb *Job, rp Report) *Job {
	next := *jb
	switch rp.State {
	case TaskDone:
		pl.learner.Observe(jb.Kind, jb.Declared, rp.Used)
		pl.judge.Succeed(rp.Instance)
		next.State = JobDone
	case TaskFailed:
		if pl.judge.Fail(rp.Instance, jb.ID, pl.opts.Now()) {
			pl.opts.Log.Emit(event.WorkerQuarantined, zap.String("worker", string(rp.Instance)))
		}
		next.FailedOn = append(slices.Clone(jb.FailedOn), rp.Instance)
		next.State, next.Instance = JobQueued, ""
		if pl.judge.BadJob(next.FailedOn) {
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
func (pl *Placer) cancel(ctx context.Context, _ []Report) error {
	var cancellations []Cancellation
	for _, cn := range pl.cancels {
		cancellations = append(cancellations, cn)
	}
	var changed []*Job
	for _, jb := range pl.jobs {
		if jb.State.ended() || !cancelled(jb, cancellations) {
			continue
		}
		if jb.State == JobRunning {
			pl.before()
			// A stop that is lost ends with the task's lease.
			_ = pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, false)
		}
		next := *jb
		next.State, next.Why = JobCancelled, "its team cancelled it"
		changed = append(changed, &next)
	}
	return pl.write(ctx, changed)
}

// renew extends the leases of running tasks, and moves those off workers that a plan is about to stop, after a checkpoint.
func (pl *Placer) renew(ctx context.Context, _ []Report) error {
	var changed []*Job
	sn := pl.fleet.Snapshot()
	for _, jb := range pl.jobs {
		if jb.State != JobRunning {
			continue
		}
		next := *jb
		switch in := sn.Instances[jb.Instance]; {
		case in != nil && (in.Hold != nil || in.State != table.InstanceServing):
			pl.before()
			if err := pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, true); err != nil {
				continue
			}
			next.State, next.Instance = JobQueued, ""
		case pl.told[jb.ID] != jb.Attempt:
			// Nobody answered for it. Renewed leases kept the jobs of a lost worker on it for ever.
			continue
		case jb.LeaseUntil.Sub(pl.opts.Now()) < pl.opts.TaskLease/2:
			next.LeaseUntil = pl.opts.Now().Add(pl.opts.TaskLease)
		default:
			continue
		}
		changed = append(changed, &next)
	}
	if err := pl.write(ctx, changed); err != nil {
		return err
	}
	for _, jb := range pl.jobs {
		// A placer before this one may have ended between the table and the worker.
		if jb.State == JobRunning && pl.told[jb.ID] != jb.Attempt && pl.vain[jb.ID] < vainMost && !slices.Contains(changed, jb) {
			changed = append(changed, jb)
		}
	}
	unknown, err := pl.tell(ctx, changed, true)
	if err != nil {
		return err
	}
	return pl.repeat(ctx, unknown)
}

// repeat starts attempts again that their workers do not know. That is kept first, so that placers by turns do not repeat it without a bound.
func (pl *Placer) repeat(ctx context.Context, unknown []*Job) error {
	var changed []*Job
	for _, jb := range unknown {
		if jb.Repeats < repeatsMost {
			next := *jb
			next.Repeats++
			changed = append(changed, &next)
		}
	}
	if err := pl.write(ctx, changed); err != nil {
		return err
	}
	_, err := pl.tell(ctx, changed, false)
	return err
}

// place puts queued jobs on workers: first in the table, under the lease, and then at the workers.
func (pl *Placer) place(ctx context.Context, _ []Report) error {
	oc := Place(pl.placing())
	var changed []*Job
	for _, pm := range oc.Placements {
		next := *pm.Job
		next.State, next.Instance, next.Granted = JobRunning, pm.Instance, pm.Granted
		next.Attempt++
		delete(pl.vain, next.ID)
		next.LeaseUntil = pl.opts.Now().Add(pl.opts.TaskLease)
		changed = append(changed, &next)
	}
	for _, jb := range oc.Hopeless {
		next := *jb
		next.State, next.Why = JobFitsNowhere, "no worker is large enough"
		changed = append(changed, &next)
	}
	if err := pl.write(ctx, changed); err != nil {
		return err
	}
	_, err := pl.tell(ctx, changed, false)
	return err
}

// placing gathers what a round of placement is made from.
func (pl *Placer) placing() Placing {
	pc := Placing{Quotas: pl.quotas, Used: map[TeamID]int{}, Reserve: pl.opts.Reserve, Learner: pl.learner, Judge: pl.judge, Now: pl.opts.Now()}
	sn := pl.fleet.Snapshot()
	views := map[table.InstanceID]*View{}
	for _, in := range sn.SortedInstances() {
		wk := &View{ID: in.ID, Total: pl.opts.Total, Slots: pl.opts.Slots, Usable: sn.Serving(in.ID) && !sn.Gone(in.ID) && in.Hold == nil}
		views[in.ID] = wk
		pc.Workers = append(pc.Workers, wk)
	}
	for _, jb := range pl.jobs {
		switch jb.State {
		case JobQueued:
			pc.Queue = append(pc.Queue, jb)
		case JobRunning:
			pc.Used[jb.Team]++
			if wk := views[jb.Instance]; wk != nil {
				wk.take(jb, jb.Granted)
			}
		}
	}
	return pc
}

// write changes the rows of jobs in groups; each group holds only while the lease row is the placer's.
func (pl *Placer) write(ctx context.Context, changed []*Job) error {
	for group := range slices.Chunk(changed, groupRows) {
		if err := pl.writeGroup(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func (pl *Placer) writeGroup(ctx context.Context, group []*Job) error {
	ctx, cancel := context.WithTimeout(ctx, placeAgain)
	defer cancel()
	writes := []table.Write{{Table: table.TableLease, Key: leaseKey, IfVersion: pl.lease, Check: true}}
	for _, jb := range group {
		raw, err := table.Encode(jb)
		if err != nil {
			return err
		}
		writes = append(writes, table.Write{Table: TableJob, Key: string(jb.ID), IfVersion: jb.version, Value: raw})
	}
	pl.before()
	version, err := table.CommitOnce(ctx, pl.table, table.Audit{Actor: string(pl.opts.Entry), Action: "jobs", Subject: string(group[0].ID), Why: "placement", At: pl.opts.Now().UTC()}, writes...)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return eris.Wrap(ErrLapsed, conflict.Error())
	}
	if err != nil {
		return eris.Wrap(err, "write jobs")
	}
	for _, jb := range group {
		jb.version = version
		pl.jobs[jb.ID] = jb
	}
	return nil
}

// tell tells workers of tasks that are theirs by the table, to start them or only to renew their leases; one that cannot be told is asked in the
// next round. It returns the jobs that were to be renewed and that their workers do not know.
func (pl *Placer) tell(ctx context.Context, changed []*Job, renew bool) (unknown []*Job, err error) {
	for _, jb := range changed {
		if jb.State != JobRunning {
			continue
		}
		pl.before()
		if !pl.opts.Now().Before(jb.LeaseUntil) {
			return nil, ErrLapsed
		}
		err := pl.workers.Start(ctx, Task{Job: jb.ID, Attempt: jb.Attempt, Instance: jb.Instance, Granted: jb.Granted, LeaseUntil: jb.LeaseUntil, Renew: renew})
		if errors.Is(err, table.ErrNoTask) {
			delete(pl.told, jb.ID)
			unknown = append(unknown, jb)
			continue
		}
		if err != nil {
			pl.opts.Log.Emit(event.PlacementFailed, zap.String("job", string(jb.ID)), zap.Error(err))
			delete(pl.told, jb.ID)
			pl.vain[jb.ID]++
			continue
		}
		pl.told[jb.ID] = jb.Attempt
		delete(pl.vain, jb.ID)
	}
	return unknown, nil
}
