package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// documentedBound is the number of lines a second and of jobs in a line that operators are told.
const documentedBound = 8

// waitTestBed returns a test bed that records the reports of waiting jobs.
func waitTestBed(t *testing.T, workers int) (bd *testBed, reports *[]Wait) {
	bd, reports = newTestBed(t, workers), &[]Wait{}
	bd.core.opts.Log = func(dc Decision) {
		if dc.Wait != nil {
			*reports = append(*reports, *dc.Wait)
		}
	}
	return bd, reports
}

// fillWorker starts a task that takes the whole room of one worker.
func (bd *testBed) fillWorker(id job.ID) {
	bd.t.Helper()
	bd.addJob(id, testEpoch, job.Step{Count: 1, Size: job.Size{CPUMillis: 4000, MemoryMB: 100}})
	for _, st := range bd.wantStarts(bd.plan(), 1) {
		bd.answerOrder(st, Done)
	}
}

// limitMill gives the organisation of a job a maximum.
func (bd *testBed) limitMill(maximum job.Size) {
	bd.core.SetOrganisations(&job.Configuration{Queues: []job.Queue{{ID: "q", Pool: testPool}}, Organisations: job.NewDirectory([]job.Organisation{{ID: "mill", Maximum: maximum}})})
}

// writeAccounts writes the accounts that are due.
func (bd *testBed) writeAccounts() { bd.core.AccountsWritten(bd.core.AccountWrites(bd.now), 1) }

// TestWaitingJobIsReportedWithItsReason checks the reason that is reported for a job which has nothing running, in each way in which that comes.
func TestWaitingJobIsReportedWithItsReason(t *testing.T) {
	small := taskStep(1)
	ofMill := func(bd *testBed, id job.ID) {
		bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: id, Queue: "q", Pool: testPool, Organisation: "mill", Steps: []job.Step{small}, Epoch: testEpoch, AcceptedAt: bd.now}})
	}
	cases := map[WaitReason]func(bd *testBed){
		WaitNoRoom: func(bd *testBed) { bd.fillWorker("full"); bd.addJob("j", testEpoch, small) },
		WaitAtLimit: func(bd *testBed) {
			bd.limitMill(job.Size{CPUMillis: 1000})
			ofMill(bd, "first")
			bd.plan()
			bd.writeAccounts()
			for _, st := range bd.wantStarts(bd.plan(), 1) {
				bd.answerOrder(st, Done)
			}
			ofMill(bd, "j")
		},
		WaitNoAllowance: func(bd *testBed) { bd.limitMill(job.Size{CPUMillis: 1000}); ofMill(bd, "j") },
		WaitUnresolved: func(bd *testBed) {
			bd.core.unresolved["gone"] = bd.now.Add(time.Minute)
			bd.addJob("j", testEpoch-1, small)
		},
		WaitNoWorker:    func(bd *testBed) { bd.core.workers["w0"].info.Draining = true; bd.addJob("j", testEpoch, small) },
		WaitUnconfirmed: func(bd *testBed) { bd.core.StopStarting(); bd.addJob("j", testEpoch, small) },
		WaitPaused: func(bd *testBed) {
			bd.core.SetPausedQueues(map[job.QueueID]bool{"q": true})
			bd.addJob("j", testEpoch, small)
		},
		WaitTickets: func(bd *testBed) {
			bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, Advice: &job.Advice{}}})
			bd.addJob("j", testEpoch, small)
		},
		WaitGang: func(bd *testBed) {
			bd.addJob("j", testEpoch, job.Step{Count: 5, Gang: true, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}})
		},
		WaitNotTried: func(bd *testBed) { bd.addJob("j", testEpoch, small); bd.core.jobs["j"].fullyPlaced = true },
	}
	for reason, arrange := range cases {
		t.Run(string(reason), func(t *testing.T) {
			bd, reports := waitTestBed(t, 1)
			arrange(bd)
			for range 8 {
				bd.plan()
				bd.advance(250 * time.Millisecond)
				bd.answerPendingPolls()
			}
			var got *Wait
			for at := range *reports {
				if slices.Contains((*reports)[at].Jobs, "j") {
					got = &(*reports)[at]
				}
			}
			if got == nil || got.Reason != reason || got.Longest < time.Second || got.Count != 1 {
				t.Fatalf("want %s, got %+v", reason, *reports)
			}
			if reason == WaitAtLimit && (got.Organisation != "mill" || got.Limit.Used.CPUMillis != 1000 || got.Limit.Maximum.CPUMillis != 1000) {
				t.Errorf("the limit is not told: %+v", *got)
			}
		})
	}
}

// TestReportsOfWaitingJobsAreBounded checks that a large backlog takes one line a second, with a bounded number of names, and that nothing is reported
// for jobs that run.
func TestReportsOfWaitingJobsAreBounded(t *testing.T) {
	bd, reports := waitTestBed(t, 1)
	bd.fillWorker("full")
	for i := range 500 {
		bd.addJob(job.ID(fmt.Sprint("j", i)), testEpoch, taskStep(1))
	}
	for range 40 {
		bd.plan()
		bd.advance(100 * time.Millisecond)
		bd.answerPendingPolls()
	}
	if len(*reports) == 0 || len(*reports) > 4 {
		t.Fatalf("%d reports in 4 s", len(*reports))
	}
	for _, wt := range *reports {
		if wt.Pool.Workers != 1 || wt.Pool.Usable != 1 || wt.Pool.Used.CPUMillis != 4000 || wt.Pool.Room.CPUMillis != 4000 || wt.Pool.Free.CPUMillis != 0 {
			t.Errorf("the pool is described as %+v", wt.Pool)
		}
		if wt.Count != 500 || len(wt.Jobs) != documentedBound || slices.Contains(wt.Jobs, "full") {
			t.Errorf("%d jobs, %v", wt.Count, wt.Jobs)
		}
	}
}

// TestNumberOfReportedWaitsIsBounded checks that many organisations at their limits take a bounded number of lines.
func TestNumberOfReportedWaitsIsBounded(t *testing.T) {
	bd, reports := waitTestBed(t, 1)
	var list []job.Organisation
	for i := range 50 {
		list = append(list, job.Organisation{ID: job.OrganisationID(fmt.Sprint("org", i)), Maximum: job.Size{CPUMillis: 1000}})
	}
	bd.core.SetOrganisations(&job.Configuration{Queues: []job.Queue{{ID: "q", Pool: testPool}}, Organisations: job.NewDirectory(list)})
	for _, og := range list {
		bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: job.ID("of-" + og.ID), Queue: "q", Pool: testPool, Organisation: og.ID, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch, AcceptedAt: bd.now}})
	}
	bd.plan()
	bd.advance(1100 * time.Millisecond)
	bd.plan()
	if len(*reports) != documentedBound {
		t.Errorf("%d reports, want %d", len(*reports), documentedBound)
	}
}

// TestWaitForATurnIsToldFromWantOfRoom checks the reason of a job whose queue crashes workers, while a worker with room leaves its new starts to another
// job, and while the worker is full.
func TestWaitForATurnIsToldFromWantOfRoom(t *testing.T) {
	bd, _ := waitTestBed(t, 1)
	bd.core.crashLoops["q"] = bd.now.Add(time.Hour)
	bd.addJob("first", testEpoch, taskStep(1))
	bd.wantStarts(bd.plan(), 1)
	bd.addJob("j", testEpoch, taskStep(1))
	bd.wantStarts(bd.plan(), 0)
	if got := bd.core.jobs["j"].waitReason; got != WaitTurn {
		t.Errorf("the job waits for %s", got)
	}
	bd.core.workers["w0"].used = bd.core.workers["w0"].info.Room
	bd.plan()
	if got := bd.core.jobs["j"].waitReason; got != WaitNoRoom {
		t.Errorf("with a full worker the job waits for %s", got)
	}
}
