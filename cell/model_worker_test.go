package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// The worker's side of the model: how polls and starts are carried out.

// executePoll executes a poll on a worker.
func (md *model) executePoll(wk *modelWorker, poll Poll, sent time.Time) PollResult {
	md.processEnds(wk)
	res := PollResult{Poll: poll, Sent: sent, Clock: md.clock(wk)}
	if poll.Token < wk.token {
		res.Outcome = Superseded
		return res
	}
	wk.token = poll.Token
	md.extendLease(wk, poll.LeaseUntil)
	md.acknowledge(wk, poll.AckedEnd)
	res.Outcome = Done
	for _, tk := range sortedTasks(wk.runs) {
		rn := wk.runs[tk]
		progress := 10
		if !md.now.Before(rn.workingAt) {
			progress = 100
		}
		if point := md.checkpoint(tk, rn); point != "" {
			progress = md.progressOf(rn)
		}
		res.Running = append(res.Running, Running{Task: tk, Attempt: rn.attempt, Progress: progress, Checkpoint: md.checkpoint(tk, rn)})
	}
	res.Ended = append(res.Ended, wk.ended[:min(len(wk.ended), md.opts.MaxListedEnds)]...)
	return res
}

// extendLease extends the lease of a worker to a time on the worker's clock, but to no more than modelMaxLease from now.
func (md *model) extendLease(wk *modelWorker, until int64) {
	wk.leaseUntil = max(wk.leaseUntil, min(until, md.clock(wk)+modelMaxLease.Milliseconds()))
}

// acknowledge removes ends that an owner has acknowledged. They are final from then on, unless the worker's lease had expired after them: the
// owner may then already have started the task elsewhere.
func (md *model) acknowledge(wk *modelWorker, number int64) {
	for len(wk.ended) > 0 && wk.ended[0].Number <= number {
		en := wk.ended[0]
		wk.ended = wk.ended[1:]
		st := md.stepOf(en.Task)
		switch en.Reason {
		case EndDone:
			if !st.LongRunning {
				if en.Number > wk.lastLapsedEnd {
					md.acknowledged[en.Task] = true
					if wk.startedAgain[en.Number] {
						md.violatef("%v was started again after it had ended done on %s, and that end is acknowledged", en.Task, wk.info.ID)
					}
				}
				md.checkSaved(en.Task)
			}
		case EndFailed:
			if en.Number > wk.lastLapsedEnd {
				md.failed[en.Task]++
			}
		}
	}
}

// checkSaved checks that an end which its worker has removed is in the store.
func (md *model) checkSaved(tk job.Task) {
	row := md.progress[tk.Job]
	if row.Progress == nil || !row.Progress.State.Ended() && !row.Progress.CompletedRuns.Has(tk.Run) && !row.Progress.DoneTasks[job.StepKey(tk.Run, tk.Step)].Has(tk.Index) {
		md.violatef("the end of %v was acknowledged but is not saved: %+v", tk, row.Progress)
	}
}

func (md *model) stepOf(tk job.Task) *job.Step { return &md.jobs[tk.Job].spec.Steps[tk.Step] }

// execute executes a start, stop or throttle order on a worker.
func (md *model) execute(wk *modelWorker, od Order) Outcome {
	md.processEnds(wk)
	switch order := od.(type) {
	case Start:
		return md.executeStart(wk, order)
	case Stop:
		if order.Token < wk.token {
			return Superseded
		}
		wk.token = order.Token
		wk.finishedAttempts[order.Task] = max(wk.finishedAttempts[order.Task], order.Attempt)
		if rn := wk.runs[order.Task]; rn != nil && rn.attempt == order.Attempt && !rn.stopped {
			md.checkBudget(wk, order.Task)
			rn.stopped, rn.reason, rn.crashesWorker = true, EndStopped, false
			rn.endsAt = earliest(rn.endsAt, md.now.Add(md.millis(0, int(md.opts.MaxStopTime.Milliseconds()))))
		}
		return Done
	}
	return Done
}

// executeStart executes a start on a worker.
func (md *model) executeStart(wk *modelWorker, order Start) Outcome {
	switch {
	case order.Token < wk.token:
		return Superseded
	case wk.runs[order.Task] != nil && wk.runs[order.Task].attempt == order.Attempt:
		return Done
	}
	wk.token = order.Token
	md.extendLease(wk, order.LeaseUntil)
	if order.Attempt <= wk.finishedAttempts[order.Task] {
		return AttemptEnded
	}
	if order.LeaseUntil <= md.clock(wk) {
		return LeaseExpired
	}
	md.checkStart(wk, order)
	reason, duration := EndDone, md.millis(50, 2500)
	if draw := md.rnd.Intn(20); draw == 0 && !md.faultsOff {
		reason = EndFailed
	}
	rn := &modelRun{attempt: order.Attempt, endsAt: md.now.Add(duration), reason: reason, workingAt: md.now.Add(200 * time.Millisecond)}
	if md.stepOf(order.Task).LongRunning && reason == EndDone {
		rn.endsAt = md.now.Add(time.Hour)
	}
	md.beginWork(order, rn)
	rn.startedAt, rn.plannedEnd = md.now, rn.endsAt
	md.scheduleCrash(wk, order.Task, rn)
	wk.runs[order.Task] = rn
	md.tracef("%s: %v attempt %d starts under token %d", wk.info.ID, order.Task, order.Attempt, order.Token)
	return Done
}
