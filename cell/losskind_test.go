package cell

import (
	"testing"
	"time"
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
