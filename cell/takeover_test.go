package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestSilentStartIsSettledByALookUnderAHigherToken: the room counts as taken and the task as running until the look.
func TestSilentStartIsSettledByALookUnderAHigherToken(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("j", bedEpoch, tasks(1))
	first := bd.wantStarts(bd.plan(), 1)[0]
	bd.pass(time.Second)
	bd.ordered(first, NoAnswer)
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	lk := looksOf(orders)["w0"]
	if lk.Token <= first.Token {
		t.Fatalf("looked at with token %d, the start had %d", lk.Token, first.Token)
	}
	// An answer to an older look proves nothing.
	older := lk
	older.Token = first.Token
	bd.looked(older, nil, nil)
	bd.wantStarts(bd.plan(), 0)
	bd.looked(lk, nil, nil)
	if again := bd.wantStarts(bd.plan(), 1)[0]; again.Token <= first.Token {
		t.Fatalf("started again with token %d", again.Token)
	}
}

// TestRunSeenBeforeItsJobIsAdopted: the owner before may hear of a job sooner.
func TestRunSeenBeforeItsJobIsAdopted(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("other", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	stranger := job.Task{Job: "late"}
	bd.looked(bd.nextLook(st.Worker), []Running{{Task: st.Task, Attempt: 1}, {Task: stranger, Attempt: 1}}, nil)
	bd.add("late", 1, tasks(1))
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("late"); state != job.Running {
		t.Fatalf("the job is %s", state)
	}
}

// TestLeaseOfASilentWorkerEndsWithTheSlowestClock: at 2% slow, and only for an owner confirmed later than that.
func TestLeaseOfASilentWorkerEndsWithTheSlowestClock(t *testing.T) {
	const lease = time.Minute
	bd := newBed(t, 2)
	bd.core.opts.LeaseDuration = lease
	bd.saved = true
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	given := bd.now
	bd.silence(st.Worker)
	for bd.now.Sub(given) < lease*100/98 {
		bd.pass(100 * time.Millisecond)
		bd.wantStarts(bd.plan(), 0)
		bd.silence(st.Worker)
		bd.answerAll()
	}
	for range 20 {
		bd.pass(100 * time.Millisecond)
		// The owner was confirmed last before that time.
		bd.core.confirmed = given.Add(lease)
		bd.wantStarts(bd.planAsIs(), 0)
		bd.silence(st.Worker)
		bd.answerAll()
	}
	bd.wantStarts(bd.plan(), 0)
	bd.wantStarts(bd.plan(), 1)
}

// TestTaskLostWithItsWorkerWaitsForConfirmation: a successor that this owner has not heard of may have noted its end.
func TestTaskLostWithItsWorkerWaitsForConfirmation(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	bd.pass(time.Second)
	bd.core.WorkerEnded(bd.now, st.Worker)
	orders := bd.core.Plan(bd.now)
	bd.wantStarts(orders, 0)
	bd.keep(orders)
	bd.pass(time.Millisecond)
	bd.wantKept(1)
}

// TestCarriedJobsWaitForUnresolvedWorkers: jobs that name this owner do not.
func TestCarriedJobsWaitForUnresolvedWorkers(t *testing.T) {
	bd := newBed(t, 1)
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "gone", Address: "gone"}}, false)
	bd.add("old", 1, tasks(1))
	bd.add("new", bedEpoch, tasks(1))
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Task.Job != "new" {
		t.Fatalf("%s was started", st.Task.Job)
	}
	bd.core.WorkerEnded(bd.now, "gone")
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.pass(time.Millisecond)
	if st := bd.wantKept(1)[0]; st.Task.Job != "old" {
		t.Fatalf("%s was started", st.Task.Job)
	}
}

// TestEarlierLeasesAreOverOnlyForAConfirmedOwner: a later owner that this one has not heard of may have renewed them.
func TestEarlierLeasesAreOverOnlyForAConfirmedOwner(t *testing.T) {
	bd := newBed(t, 1)
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "far", Address: "far"}}, true)
	bd.add("old", 1, tasks(1))
	bd.pass(bd.core.slow(bd.core.opts.LeaseDuration) + deliveryMargin + time.Millisecond)
	bd.silence("far")
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.pass(time.Millisecond)
	bd.wantKept(1)
}

// TestWorkerInDoubtGetsNothingNew: until a look has settled what became of the start without an answer.
func TestWorkerInDoubtGetsNothingNew(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, NoAnswer)
	bd.add("k", bedEpoch, tasks(1))
	bd.wantStarts(bd.plan(), 0)
	bd.looked(bd.nextLook("w0"), nil, nil)
	bd.wantStarts(bd.plan(), 2)
}

// TestEndSeenBeforeItsJobCounts: also where it was listed behind one that is not kept yet.
func TestEndSeenBeforeItsJobCounts(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("known", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	before := End{Number: 2, Task: job.Task{Job: "late"}, Attempt: 1, Reason: EndDone}
	bd.looked(bd.nextLook("w0"), nil, []End{bd.end(st, EndDone), before})
	bd.add("late", 1, tasks(2))
	for _, st := range starts(bd.plan()) {
		if st.Task.Index == 0 {
			t.Error("a task is started whose end was seen before its job")
		}
	}
}

// TestWorkerWhoseRegistrationIsGoneLeaves: some workers never say that they drain. Registrations that lapsed while the store was away
// come back within two seconds of its return.
func TestWorkerWhoseRegistrationIsGoneLeaves(t *testing.T) {
	for name, away := range map[string]bool{"the store was there": false, "the store was away": true} {
		t.Run(name, func(t *testing.T) {
			bd := newBed(t, 1)
			lasting := tasks(1)
			lasting.LongRunning = true
			bd.add("l", bedEpoch, lasting)
			st := bd.wantStarts(bd.plan(), 1)[0]
			bd.ordered(st, Done)
			for range 20 {
				bd.pass(200 * time.Millisecond)
				bd.looked(bd.nextLook("w0"), []Running{{Task: st.Task, Attempt: 1, Progress: 100}}, nil)
			}
			if away {
				bd.core.confirmed = bd.now.Add(-awayAfter - time.Second)
			}
			bd.core.Unregister(bd.now, "w0")
			bd.add("j", bedEpoch, tasks(1))
			stops, began := 0, 0
			for _, od := range bd.plan() {
				switch od.(type) {
				case Stop:
					stops++
				case Start:
					began++
				}
			}
			if away && (began != 1 || stops != 0) {
				t.Errorf("%d starts and %d stops while its registration may come back", began, stops)
			}
			if !away && (began != 0 || stops != 1) {
				t.Errorf("%d starts and %d stops on a worker that leaves", began, stops)
			}
		})
	}
}

// TestStopUnderWayCountsAsAway: a stop of the owner before is listed as running until it takes effect.
func TestStopUnderWayCountsAsAway(t *testing.T) {
	bd := newBed(t, 2)
	lasting := tasks(2)
	lasting.LongRunning, lasting.DisruptionBudget, lasting.HasDisruptionBudget = true, 1, true
	bd.core = New(bedPool, bedEpoch+1, Options{StopTimeout: 400 * time.Millisecond})
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "w0", Address: "w0"}, {ID: "w1", Address: "w1"}}, false)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: bedPool, MaxAttempts: 2}})
	bd.add("j", 1, lasting)
	bd.register("w0")
	bd.register("w1")
	bd.core.Cordon(map[WorkerName]bool{"w0": true, "w1": true})
	stops := 0
	until := bd.now.Add(600 * time.Millisecond)
	for bd.now.Before(until) {
		stops += bd.stopsNow()
	}
	if stops != 0 {
		t.Fatalf("%d stops while one of the owner before may be under way", stops)
	}
	bd.pass(2 * time.Second)
	for range 40 {
		stops += bd.stopsNow()
	}
	if stops != 1 {
		t.Fatalf("%d tasks of a step with a budget of 1 were stopped", stops)
	}
}

// stopsNow answers the looks that are due at two workers, each with its task of the job at work, counts the stops, and lets a moment pass.
func (bd *bed) stopsNow() (stops int) {
	for _, od := range bd.plan() {
		switch order := od.(type) {
		case Poll:
			at := 0
			if order.Worker == "w1" {
				at = 1
			}
			bd.looked(order, []Running{{Task: job.Task{Job: "j", Index: at}, Attempt: 1, Progress: 100}}, nil)
		case Stop:
			stops++
		}
	}
	bd.pass(20 * time.Millisecond)
	return stops
}
