package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// standTestBed returns a test bed with one worker that records the reports of single jobs.
func standTestBed(t *testing.T) (bd *testBed, reports *[]Decision) {
	bd, reports = newTestBed(t, 1), &[]Decision{}
	bd.core.opts.Log = func(dc Decision) {
		if dc.Stand != nil {
			*reports = append(*reports, dc)
		}
	}
	return bd, reports
}

// runFor plans and answers all starts for some time.
func (bd *testBed) runFor(duration time.Duration) {
	for end := bd.now.Add(duration); bd.now.Before(end); bd.advance(250 * time.Millisecond) {
		for _, st := range startsIn(bd.plan()) {
			bd.answerOrder(st, Done)
		}
	}
}

// TestStandOfOneJobIsReportedByReason checks that a job which stands is reported at 3 and 6 s and when it goes on, with the time that it waited for each
// reason.
func TestStandOfOneJobIsReportedByReason(t *testing.T) {
	bd, reports := standTestBed(t)
	bd.fillWorker("full")
	bd.addJob("j", testEpoch, taskStep(1))
	bd.runFor(5 * time.Second)
	bd.core.workers["w0"].info.Draining = true
	bd.runFor(2 * time.Second)
	bd.core.workers["w0"].info.Draining, bd.core.workers["w0"].used = false, taskStep(1).Size
	bd.runFor(time.Second)
	var got []string
	for _, dc := range *reports {
		got = append(got, fmt.Sprintf("%s %s %s %.0f", dc.Task.Job, dc.What, dc.Why, dc.Stand.Stood.Seconds()))
	}
	if want := "[j job stands noRoom 3 j job stands noWorker 6 j job goes on noWorker 7]"; fmt.Sprint(got) != want {
		t.Fatalf("reports %v, want %s", got, want)
	}
	spans := (*reports)[2].Stand.Spans
	if math.Abs(spans[WaitNoRoom]-5) > 1 || math.Abs(spans[WaitNoWorker]-2) > 1 || math.Abs(spans[WaitNoRoom]+spans[WaitNoWorker]-(*reports)[2].Stand.Stood.Seconds()) > 0.01 {
		t.Errorf("spans %v", spans)
	}
}

// TestReportsOfSingleJobsAreBounded checks that a backlog takes at most eight lines a second, and that the others are counted.
func TestReportsOfSingleJobsAreBounded(t *testing.T) {
	bd, reports := standTestBed(t)
	bd.fillWorker("full")
	for i := range 500 {
		bd.addJob(job.ID(fmt.Sprint("j", i)), testEpoch, taskStep(1))
	}
	bd.runFor(7 * time.Second)
	omitted := 0
	for _, dc := range *reports {
		omitted += dc.Stand.Omitted
	}
	if len(*reports) != 2*documentedBound || omitted != 500-documentedBound {
		t.Errorf("%d reports that leave out %d, want %d and %d", len(*reports), omitted, 2*documentedBound, 500-documentedBound)
	}
}

// TestJobThatWaitsForItsPlannedWorkerIsToldFromWantOfRoom checks the reason of a job whose start is planned for a full worker while another one has
// room, and what is said of unresolved workers.
func TestJobThatWaitsForItsPlannedWorkerIsToldFromWantOfRoom(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.NoteUnseenLosses(testEpoch)
	bd.fillWorker("one")
	bd.fillWorker("other")
	bd.addJob("j", testEpoch-1, taskStep(1))
	bd.plan()
	if got := bd.core.jobs["j"].waitReason; got != WaitNoRoom {
		t.Errorf("without room the job waits for %s", got)
	}
	planned := bd.core.jobs["j"].plannedWorker()
	for _, wk := range bd.core.workers {
		if wk.info.ID != planned {
			wk.used = taskStep(1).Size
		}
	}
	if st := bd.core.jobs["j"].singleRun[0].steps[0]; !bd.core.waitsForPlannedWorker(bd.core.newRound(bd.now), st) {
		t.Errorf("the job is not said to wait for %s", planned)
	}
	bd.core.unresolved["gone"], bd.core.unresolved["later"] = bd.now.Add(time.Second), bd.now.Add(time.Minute)
	if last, span := bd.core.lastUnresolved(bd.now); last != "later" || span != time.Minute {
		t.Errorf("the last unresolved worker is %s for %v", last, span)
	}
}
