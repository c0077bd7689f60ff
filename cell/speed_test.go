package cell

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// speedBed returns a test bed whose queue has known run times.
func speedBed(t *testing.T, workers int) *testBed {
	bd := newTestBed(t, workers)
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread, samples: trustedSamples, firstSample: bd.now.Add(-time.Minute)}
	return bd
}

// reportProgress has a worker report the progress of its tasks after a delay.
func (bd *testBed) reportProgress(id WorkerID, after time.Duration, progress map[job.Task]int) {
	bd.t.Helper()
	lk := bd.waitForPoll(id)
	bd.advance(after)
	var running []Running
	for _, pl := range bd.core.workers[id].placed {
		running = append(running, Running{Task: pl.task, Attempt: pl.attempt, Progress: progress[pl.task]})
	}
	bd.answerPoll(lk, running, nil)
}

// TestTasksOfASlowWorkerAreStartedElsewhere checks that the tasks are stopped on the slow worker first and that it receives no new ones.
func TestTasksOfASlowWorkerAreStartedElsewhere(t *testing.T) {
	bd := speedBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(2))
	list := bd.wantStarts(bd.plan(), 2)
	for _, st := range list {
		bd.answerOrder(st, Done)
	}
	if list[0].Worker != list[1].Worker {
		t.Fatal("tasks placed on different workers, want one")
	}
	id := list[0].Worker
	bd.reportProgress(id, 500*time.Millisecond, map[job.Task]int{list[0].Task: 6, list[1].Task: 4})
	stopped := map[job.Task]bool{}
	for _, od := range bd.plan() {
		if sp, ok := od.(Stop); ok {
			stopped[sp.Task] = true
		}
	}
	if len(stopped) != 2 {
		t.Fatalf("%d tasks stopped on a worker at a tenth of the usual speed, want 2", len(stopped))
	}
	bd.addJob("k", testEpoch, taskStep(1))
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Worker == id {
		t.Error("slow worker received a new task")
	}
	bd.answerPoll(bd.waitForPoll(id), nil, []End{bd.newEnd(list[0], EndStopped), bd.newEnd(list[1], EndStopped)})
	for _, st := range bd.wantStarts(bd.plan(), 2) {
		if st.Worker == id || st.Attempt != 2 {
			t.Errorf("attempt %d started on %s, want attempt 2 on the other worker", st.Attempt, st.Worker)
		}
	}
}

// TestSoundWorkerKeepsItsTasks guards against taking a worker for slow because run times vary by half.
func TestSoundWorkerKeepsItsTasks(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	const rounds = 2000
	slow := 0
	for range rounds {
		var sp speed
		now := time.Unix(100, 0)
		left := 0.0
		takes := 1.0
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			if left <= 0 {
				takes = min(2.5, math.Exp(0.5*rnd.NormFloat64()-0.125))
				left = takes
			}
			came := min(left, 0.1)
			left -= came
			sp.add(now, 0.1, came/takes)
		}
		if sp.ratio(now) < slowThreshold {
			slow++
		}
	}
	if slow > rounds/100 {
		t.Errorf("%d of %d sound workers with one task each counted as slow", slow, rounds)
	}
}

// TestStandstillIsSeenWithinARunTime checks that a worker without any progress counts as slow after less than a mean run time.
func TestStandstillIsSeenWithinARunTime(t *testing.T) {
	var sp speed
	now := time.Unix(100, 0)
	for at := range 10 {
		now = now.Add(100 * time.Millisecond)
		sp.add(now, 0.1, 0)
		if sp.ratio(now) < slowThreshold {
			if at > 7 {
				t.Errorf("detected after %d tenths of a run time", at+1)
			}
			return
		}
	}
	t.Error("worker without progress not detected as slow")
}

// TestAllWorkersAreUsedIfMostSeemSlow guards against wrong run time estimates: if most workers seem slow, all of them are used.
func TestAllWorkersAreUsedIfMostSeemSlow(t *testing.T) {
	now := time.Unix(100, 0)
	for slow := range 9 {
		var list []*candidate
		for at := range 8 {
			wk := &worker{info: Worker{ID: WorkerID(fmt.Sprint(at))}}
			if at < slow {
				wk.speed.add(now, 2, 0.1)
			}
			list = append(list, &candidate{worker: wk})
		}
		want := 8 - slow
		if slow > 4 {
			want = 8
		}
		if got := len(withoutSlow(now, list)); got != want {
			t.Errorf("%d of 8 workers slow: %d used, want %d", slow, got, want)
		}
	}
}

// TestWorkerIsTriedAgainAfterItWasSlow checks that observations decay.
func TestWorkerIsTriedAgainAfterItWasSlow(t *testing.T) {
	wk := &worker{}
	now := time.Unix(100, 0)
	wk.speed.add(now, 1.5, 0)
	if !wk.slow(now) {
		t.Fatal("worker without progress is not slow")
	}
	if wk.slow(now.Add(3 * speedDecay)) {
		t.Error("worker still slow after the observations decayed")
	}
}

// TestFirstEndsAreNotTrusted guards against judging workers by the first ends: of tasks started together the shortest end first, so that the
// others seem slow.
func TestFirstEndsAreNotTrusted(t *testing.T) {
	rt := runTimes{}
	now := time.Unix(100, 0)
	st := &step{job: &jobState{spec: &job.Spec{Queue: "q"}}, spec: &job.Step{Count: 2}, tasks: make([]taskState, 2)}
	for at := range 2 * trustedSamples {
		took := time.Duration(200+10*at) * time.Millisecond
		rt.observeTask(st, &placement{ackedAt: now}, now.Add(took))
		if known := rt.get("q"); known.trusted(now.Add(took)) && now.Add(took).Sub(known.firstSample) <= trustedRunTimes*known.mean {
			t.Fatalf("trusted after %d ends within %v", at+1, took)
		}
	}
	if !rt.get("q").trusted(now.Add(time.Minute)) {
		t.Error("not trusted after a minute")
	}
}
