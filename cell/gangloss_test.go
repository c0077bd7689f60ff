package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// gangStep returns a gang of tasks of a size.
func gangStep(count, cpuMillis int) job.Step {
	return job.Step{Count: count, Gang: true, Size: job.Size{CPUMillis: cpuMillis, MemoryMB: 1}}
}

// hosts returns the workers that run tasks of a job.
func (cc *crashCell) hosts(id job.ID) []*simulatedWorker {
	var list []*simulatedWorker
	for _, sw := range cc.workers {
		for tk := range sw.runs {
			if tk.Job == id && !slices.Contains(list, sw) {
				list = append(list, sw)
			}
		}
	}
	return list
}

// awaitHosts runs the cell until tasks of a job run, and returns their workers.
func (cc *crashCell) awaitHosts(id job.ID) []*simulatedWorker {
	cc.t.Helper()
	for range 1000 {
		if list := cc.hosts(id); len(list) > 0 {
			// All members are there within some ticks.
			cc.run(100 * time.Millisecond)
			return cc.hosts(id)
		}
		cc.run(crashTick)
	}
	cc.t.Fatalf("%s does not run", id)
	return nil
}

// Guards against failing the job of a gang at the first loss, which was counted once for each member: on one worker or on several that are lost
// together, in silence or with broken connections.
func TestGangSurvivesOneLossOfItsWorkers(t *testing.T) {
	for _, gang := range []job.Step{gangStep(6, 900), gangStep(16, 1000), gangStep(40, 1000), gangStep(100, 1000), gangStep(job.MaxTasks, 1), gangStep(job.MaxTasks, 25)} {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d of %d silent %t", gang.Count, gang.Size.CPUMillis, silent), func(t *testing.T) {
				cc := newCrashCell(t, 8, crashingJobs(0))
				cc.noReset = silent
				cc.add("gang", testEpoch, gang)
				lost := cc.awaitHosts("gang")
				for _, sw := range lost {
					cc.crash(sw)
				}
				cc.run(20 * time.Second)
				if got := cc.state("gang"); got != job.Completed {
					t.Errorf("the job is %s after the loss of %d workers at once", got, len(lost))
				}
			})
		}
	}
}

// Guards against the opposite fault: a gang that ends its workers in silence must still be given up, after few starts.
func TestGangThatEndsItsWorkersInSilenceIsGivenUp(t *testing.T) {
	for _, count := range []int{2, 6, 40} {
		cc := newCrashCell(t, 8, crashingJobs(300*time.Millisecond, "gang"))
		cc.noReset = true
		cc.add("gang", testEpoch, gangStep(count, 1000))
		cc.run(3 * time.Minute)
		if got := cc.state("gang"); got != job.Failed {
			t.Errorf("the gang of %d is %s after %d losses", count, got, cc.lost)
		}
		if starts := cc.starts[job.Task{Job: "gang"}]; starts > maxUncertainLosses {
			t.Errorf("the gang of %d is started %d times", count, starts)
		}
	}
}

// gangProgress returns the progress of a gang whose newest attempt was left on some workers, a member on each.
func gangProgress(attempt job.Attempt, workers ...string) *job.Progress {
	pg := &job.Progress{Attempts: map[string]job.Attempt{}, Unresolved: map[string]map[string]job.Bitset{}}
	for at, id := range workers {
		pg.Attempts[job.TaskKey(job.Task{Index: at})] = attempt
		bits := job.Bitset{}
		bits.Set(at)
		pg.Unresolved[id] = map[string]job.Bitset{"0.0": bits}
	}
	pg.Started = pg.Unresolved
	return pg
}

// newGangSuccessor returns a test bed whose owner has taken over a gang from its row. It knows four workers that do not answer.
func newGangSuccessor(t *testing.T, pg *job.Progress) *testBed {
	t.Helper()
	bd := newTestBed(t, 0)
	var used []WorkerRef
	for at := range 4 {
		id := testWorkerID(at)
		used = append(used, WorkerRef{ID: id, Address: string(id)})
	}
	bd.core.TakeOver(bd.now, bd.now, used, false)
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{gangStep(4, 1000)}, Epoch: 1, AcceptedAt: bd.now}, Progress: pg, Version: 1})
	return bd
}

// gangLosses returns the number of losses of each member of the job.
func (bd *testBed) gangLosses() []int {
	var list []int
	for at := range 4 {
		list = append(list, bd.core.jobs["j"].openRun(0).steps[0].tasks[at].losses.total())
	}
	return list
}

// Guards against counting the loss of one attempt of a gang several times after owners were replaced: the next owner finds the gang left on four
// workers, learns of the end of two of them, and its successor of the end of the others.
func TestLossOfAGangCountsOnceThroughOwners(t *testing.T) {
	first := newGangSuccessor(t, gangProgress(2, "w0", "w1", "w2", "w3"))
	first.core.WorkerEnded(first.now, "w0")
	first.core.WorkerEnded(first.now, "w1")
	if got := first.gangLosses(); slices.Max(got) != 1 || slices.Min(got) != 1 {
		t.Fatalf("the members have %v losses, want one each", got)
	}
	second := newGangSuccessor(t, first.core.jobs["j"].progress())
	second.core.WorkerEnded(second.now, "w2")
	second.core.WorkerEnded(second.now, "w3")
	if got := second.gangLosses(); slices.Max(got) != 1 || slices.Min(got) != 1 {
		t.Errorf("the members have %v losses under the next owner, want one each", got)
	}
}

// Guards against counting the losses of two attempts of a gang as one: the row tells an attempt that is about to be started from the one before.
func TestLossesOfTwoAttemptsOfAGangCountTwice(t *testing.T) {
	bd := newGangSuccessor(t, gangProgress(1, "w0", "w1", "w2", "w3"))
	for at := range 4 {
		bd.core.WorkerEnded(bd.now, testWorkerID(at))
	}
	st := bd.core.jobs["j"].openRun(0).steps[0]
	for at := range st.tasks {
		bd.core.addIntent(bd.now, st, at, &candidate{worker: &worker{info: Worker{ID: testWorkerID(at)}}})
	}
	next := newGangSuccessor(t, bd.core.jobs["j"].progress())
	next.core.WorkerEnded(next.now, "w0")
	next.core.WorkerEnded(next.now, "w1")
	if got := next.gangLosses(); slices.Max(got) != 2 || slices.Min(got) != 2 {
		t.Errorf("the members have %v losses after two attempts, want two each", got)
	}
}

// Guards against keeping the weaker of two observations of one loss: the first member's start was not acknowledged, and the second one's ran when
// the connections broke.
func TestStrongestEvidenceOfAGangCounts(t *testing.T) {
	lo := losses{}
	for _, rec := range []LossRecord{{"w0", LossUnacknowledged}, {"w0", LossInSilence}, {"w1", LossAfterStart}, {"w2", LossUnconfirmed}, {"w2", LossWhileRunning}} {
		if lo.beginGangLoss(1, rec) {
			lo.add(rec.Worker, evidence{kind: rec.Kind, strong: rec.Kind.strong()})
			lo.record(rec.Worker, rec.Kind)
		}
	}
	if lo.total() != 1 || lo.weak != 0 || lo.observed != 0 || len(lo.workers) != 1 || lo.workers[0] != "w1" || len(lo.history) != 1 {
		t.Errorf("the losses are %+v, want the strong one of w1 alone", lo)
	}
}
