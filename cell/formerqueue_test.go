package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// addFormerJob adds a job of one task whose queue is gone.
func (bd *testBed) addFormerJob(id job.ID, policy *job.Policy) {
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: id, Queue: "gone", Pool: bd.pool, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch, AcceptedAt: bd.now, Policy: policy}})
}

// Guards against an owner failing a job before its allowed attempts since it never knew the job's queue.
func TestJobOfAQueueThatIsGoneKeepsItsAttempts(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.autoSave = true
	bd.addFormerJob("j", &job.Policy{MaxAttempts: 3})
	for attempt := range 3 {
		if state, _ := bd.core.State("j"); state.Ended() {
			t.Fatalf("the job is %s after %d failed attempts of 3", state, attempt)
		}
		bd.advance(time.Second)
		st := bd.wantStarts(bd.plan(), 1)[0]
		bd.answerOrder(st, Done)
		bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndFailed)})
	}
	bd.advance(time.Second)
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("j"); state != job.Failed {
		t.Errorf("the job is %s after 3 failed attempts of 3", state)
	}
}

// Guards against an owner starting a job without the approval that its queue, which is gone, asked for.
func TestJobOfAQueueThatIsGoneKeepsItsAdvice(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addFormerJob("j", &job.Policy{MaxAttempts: 1, Advice: &job.Advice{ValidFor: 3 * time.Second}})
	requests := 0
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	for _, od := range orders {
		if _, ok := od.(Advise); ok {
			requests++
		}
	}
	if requests != 1 {
		t.Errorf("%d requests for advice, want 1", requests)
	}
}

// Guards against an owner ranking jobs of a queue that is gone before all others.
func TestJobOfAQueueThatIsGoneKeepsItsPriority(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, Priority: 1, MaxAttempts: 2, Stretch: 3, Slack: time.Minute}})
	large := taskStep(1)
	large.Size = job.Size{CPUMillis: 4000, MemoryMB: 4000}
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "former", Queue: "gone", Pool: bd.pool, Steps: []job.Step{large}, Epoch: testEpoch, AcceptedAt: bd.now, Policy: &job.Policy{Priority: 2, MaxAttempts: 2, Stretch: 3, Slack: time.Minute}}})
	bd.addJob("first", testEpoch, large)
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Task.Job != "first" {
		t.Errorf("%s starts before the job of the higher priority", st.Task.Job)
	}
}

// Guards against pending jobs that nobody counts since their queue has another name or pool.
func TestPendingJobsOfAQueueThatIsGoneCountForItsSuccessor(t *testing.T) {
	policy := &job.Policy{Host: "h", PathPrefix: "/q/", MaxAttempts: 1}
	for name, tc := range map[string]struct {
		queue   job.Queue
		pending int
		moved   bool
	}{
		"renamed":           {job.Queue{ID: "new", Host: "h", PathPrefix: "/q/", Pool: testPool}, 1, false},
		"renamed and moved": {job.Queue{ID: "new", Host: "h", PathPrefix: "/q/", Pool: "elsewhere"}, 1, true},
		"moved":             {job.Queue{ID: "gone", Host: "h", PathPrefix: "/other/", Pool: "elsewhere"}, 1, true},
		"another path":      {job.Queue{ID: "new", Host: "h", PathPrefix: "/other/", Pool: "elsewhere"}, 0, false},
		"another host":      {job.Queue{ID: "new", Host: "other", PathPrefix: "/q/", Pool: testPool}, 0, false},
	} {
		bd := newTestBed(t, 1)
		bd.addFormerJob("j", policy)
		bd.core.Configure([]job.Queue{tc.queue})
		if got := bd.core.Pending(tc.queue.ID); got != tc.pending {
			t.Errorf("%s: %d pending jobs, want %d", name, got, tc.pending)
		}
		if got := len(bd.core.MovedQueues()) > 0; got != tc.moved {
			t.Errorf("%s: reported as moved: %t", name, got)
		}
	}
}
