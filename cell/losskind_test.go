package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Guards against a job that is given up without a trace of why: the log named only losses that are strong evidence, and nothing if there was none.
func TestVerdictNamesEveryLoss(t *testing.T) {
	cc := newCrashCell(t, 6, crashingJobs(300*time.Millisecond, "bad"))
	cc.noReset = true
	var verdicts []*Verdict
	charged := map[LossKind]int{}
	cc.core.opts.Log = func(dc Decision) {
		if dc.Verdict != nil {
			verdicts = append(verdicts, dc.Verdict)
		}
		if dc.Loss != nil {
			for _, ch := range dc.Loss.Charges {
				charged[ch.Kind]++
			}
		}
	}
	cc.add("bad", testEpoch, taskStep(1))
	cc.run(40 * time.Second)
	if len(verdicts) != 1 {
		t.Fatalf("%d verdicts, want 1", len(verdicts))
	}
	vd := verdicts[0]
	if len(vd.History) != vd.Strong+vd.Weak || vd.Weak == 0 {
		t.Errorf("the verdict names %d losses, want %d strong and %d weak ones", len(vd.History), vd.Strong, vd.Weak)
	}
	for _, rec := range vd.History {
		if rec.Kind != LossInSilence || rec.Worker == "" {
			t.Errorf("the verdict names a loss as %q on %q, want %q", rec.Kind, rec.Worker, LossInSilence)
		}
	}
	if charged[LossInSilence] != len(vd.History) {
		t.Errorf("%v were charged, want %d in silence", charged, len(vd.History))
	}
}

// Guards against failing a long-running job for the crashes of its neighbours: each start of a crashing task beside it ended its worker, and four
// such losses failed it although no one had seen it end a worker.
func TestLongRunningTaskIsNotGivenUpForItsNeighbours(t *testing.T) {
	cc := newCrashCell(t, 1, func(tk job.Task) (time.Duration, bool) { return 15 * time.Millisecond, tk.Job != "keep" })
	cc.add("keep", testEpoch, job.Step{Count: 1, Size: job.Size{CPUMillis: 500, MemoryMB: 100}, LongRunning: true})
	cc.run(8 * time.Second)
	for at := range 6 {
		cc.add(job.ID(fmt.Sprintf("bad%d", at)), testEpoch, taskStep(1))
		cc.run(20 * time.Second)
	}
	if cc.lost < 2*6 {
		t.Fatalf("%d workers were lost, want at least two for each crashing job", cc.lost)
	}
	if got := cc.state("keep"); got == job.Failed {
		t.Errorf("the long-running job is %s after the crashes of its neighbours", got)
	}
	for at := range 6 {
		if got := cc.state(job.ID(fmt.Sprintf("bad%d", at))); got != job.Failed {
			t.Errorf("bad%d is %s, want failed", at, got)
		}
	}
}

// Guards against judging a task by an attempt that was never started: the next owner must find in the row whether the worker had started it.
func TestNextOwnerKnowsWhetherAnAttemptWasStarted(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("started=%t", started), func(t *testing.T) {
			bd := newTestBed(t, 1)
			bd.addJob("j", testEpoch, taskStep(1))
			st := bd.wantStarts(bd.plan(), 1)[0]
			ts := &bd.core.jobs["j"].runs[0].steps[0].tasks[0]
			ts.losses.add("gone", evidence{kind: LossInSilence})
			ts.placement.intentSaved = true
			if started {
				bd.answerOrder(st, Done)
				if !bd.core.urgentSave {
					t.Error("the start of a task that has lost a worker is not saved at once")
				}
			}
			saved := bd.core.jobs["j"].progress()
			next := newTestBed(t, 0)
			next.register(st.Worker)
			next.core.Add(next.now, StoredJob{Spec: bd.core.jobs["j"].spec, Progress: saved, Version: 1})
			lo := next.core.jobs["j"].openRun(0).steps[0].tasks[0].losses
			if lo.weak != 1 || lo.observed != 1 || len(lo.unresolved) != 1 || (len(lo.started) == 1) != started {
				t.Errorf("the next owner knows %+v", lo)
			}
			next.core.chargeUnresolved(next.now, st.Worker)
			want := map[bool]LossKind{false: LossUnresolved, true: LossUnresolvedRun}[started]
			got := next.core.jobs["j"].runs[0].steps[0].tasks[0].losses.history
			if len(got) != 2 || got[1].Kind != want {
				t.Errorf("the losses are %v, want the second as %q", got, want)
			}
		})
	}
}

// Guards against holding losses of which the task is most likely not the cause against it for ever: the task has since run for longer, or ended.
func TestWeakLossesAreDroppedOnceTheTaskHasRunOn(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	ts := &bd.core.jobs["j"].runs[0].steps[0].tasks[0]
	pl, acked := ts.placement, bd.now
	ts.losses.add("a", evidence{strong: true, kind: LossWhileRunning, ran: 1500 * time.Millisecond})
	ts.losses.add("b", evidence{kind: LossInSilence, ran: time.Second})
	bd.core.recordSurvival(pl, acked.Add(2900*time.Millisecond))
	if ts.losses.weak != 1 {
		t.Errorf("%d weak losses after less than twice the longest run, want 1", ts.losses.weak)
	}
	bd.core.recordSurvival(pl, acked.Add(3*time.Second))
	if ts.losses.total() != 1 || ts.losses.observed != 0 {
		t.Errorf("the losses are %+v after twice the longest run, want the strong one alone", ts.losses)
	}
}

// Guards against a change of what is enough to fail a job whatever is known of its losses.
func TestLimitOfLosses(t *testing.T) {
	for _, tc := range []struct {
		strong, observed, unobserved, explained int
		want                                    bool
	}{
		{0, 3, 0, 0, false}, {0, 3, 1, 0, true}, {0, 2, 2, 0, false}, {0, 0, 5, 0, true},
		{1, 1, 2, 0, true}, {1, 0, 3, 0, false}, {2, 0, 2, 0, true}, {2, 0, 1, 0, false},
		{0, 3, 0, 8, false}, {0, 3, 0, 9, true}, {0, 0, 0, 11, false}, {0, 0, 0, 12, true},
	} {
		var lo losses
		for range tc.strong {
			lo.add("s", evidence{strong: true, kind: LossWhileRunning})
		}
		for range tc.observed {
			lo.add("o", evidence{kind: LossInSilence})
		}
		for range tc.unobserved {
			lo.add("u", evidence{kind: LossUnacknowledged})
		}
		for range tc.explained {
			lo.add("e", evidence{kind: LossExplained})
		}
		if got := lo.reachesLimit(0); got != tc.want {
			t.Errorf("%+v reaches the limit: %t, want %t", tc, got, tc.want)
		}
	}
}
