package cell

import (
	"fmt"
	goruntime "runtime"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// narrowLink answers starts one after the other, at a fixed interval.
type narrowLink struct {
	window *startWindow
	now    time.Time
	each   time.Duration
	// sent holds the times at which the unanswered starts were decided.
	sent []time.Time
	// answered is the number of answers, longest the longest time of an answer.
	answered int
	longest  time.Duration
}

// run sends as many starts as the window allows for a period.
func (nl *narrowLink) run(span time.Duration) {
	nl.answered, nl.longest = 0, 0
	for until := nl.now.Add(span); nl.now.Before(until); {
		for nl.window.inFlight = len(nl.sent); nl.window.canStart(); nl.window.inFlight++ {
			nl.sent = append(nl.sent, nl.now)
		}
		nl.now = nl.now.Add(nl.each)
		took := nl.now.Sub(nl.sent[0])
		nl.sent = nl.sent[1:]
		nl.longest = max(nl.longest, took)
		nl.answered++
		nl.window.observe(nl.now, took)
	}
}

// TestStartsDoNotQueueOnANarrowLink: a link that carries 90 starts a second is kept busy, with a queue short enough for polls. A faster link is
// used as soon as it is available.
func TestStartsDoNotQueueOnANarrowLink(t *testing.T) {
	const pollTimeout = 400 * time.Millisecond
	nl := &narrowLink{window: &startWindow{}, now: time.Unix(1_700_000_000, 0), each: 11 * time.Millisecond}
	nl.run(3 * time.Second)
	nl.run(10 * time.Second)
	if nl.longest > pollTimeout {
		t.Errorf("a start took %v", nl.longest)
	}
	nl.each = time.Millisecond
	nl.run(2 * time.Second)
	nl.run(time.Second)
	if full := int(time.Second / nl.each); nl.answered < full*9/10 || nl.longest > pollTimeout {
		t.Errorf("%d of %d starts a second, the slowest after %v", nl.answered, full, nl.longest)
	}
	nl.each = 50 * time.Millisecond
	nl.run(20 * time.Second)
	nl.run(5 * time.Second)
	if nl.longest > 2*pollTimeout {
		t.Errorf("a start took %v after the link became narrow", nl.longest)
	}
}

// TestStartsWithoutAnswersAreBounded: an owner without any answer sends no further starts, however many tasks wait.
func TestStartsWithoutAnswersAreBounded(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.addJob("a", testEpoch, job.Step{Count: 500, Size: job.Size{CPUMillis: 10, MemoryMB: 1}})
	sent := startsIn(bd.plan())
	if len(sent) != initialStartWindow {
		t.Fatalf("%d starts, want %d", len(sent), initialStartWindow)
	}
	bd.advance(time.Second)
	bd.wantStarts(bd.plan(), 0)
	for _, st := range sent {
		bd.answerOrder(st, Done)
	}
	if more := startsIn(bd.plan()); len(more) < minStartWindow {
		t.Errorf("%d starts after answers", len(more))
	}
}

// TestStartWithoutItsPayloadIsTriedAgain: the start was not sent, so the attempt number is still free, and the worker is not blamed.
func TestStartWithoutItsPayloadIsTriedAgain(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("a", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, PayloadMissing)
	bd.wantStarts(bd.plan(), 0)
	bd.advance(payloadRetryDelay)
	if again := bd.wantStarts(bd.plan(), 1)[0]; again.Attempt != st.Attempt || again.Worker != st.Worker {
		t.Errorf("%+v after %+v", again, st)
	}
}

// TestLargeCellsKeepManyStartsUnderWay: if answers are slow whatever the owner does, a large cell still has one start in flight for every two
// workers.
func TestLargeCellsKeepManyStartsUnderWay(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	sw := &startWindow{workers: 400}
	for at := range 1000 {
		sw.observe(now.Add(time.Duration(at)*startWindowShrinkPause), 5*startQueueTime+time.Duration(at%7)*startQueueTime)
		sw.observe(now.Add(time.Duration(at)*startWindowShrinkPause), time.Millisecond)
	}
	if got := int(sw.limit()); got < 200 {
		t.Errorf("%d starts may be in flight", got)
	}
}

// TestFullWindowCostsNoRounds: while no start is allowed, the cost of an event does not depend on the number of waiting jobs. Allocated bytes
// stand for the cost, since sorting the waiting jobs copies them. The minimum of several measurements counts, because the runtime sometimes
// allocates memory by itself, while the cost of sorting recurs each time.
func TestFullWindowCostsNoRounds(t *testing.T) {
	cost := func(jobs int) uint64 {
		bd := newTestBed(t, 4)
		for at := range jobs {
			bd.addJob(job.ID(fmt.Sprintf("%06d", at)), testEpoch, job.Step{Count: 1, Size: job.Size{CPUMillis: 10, MemoryMB: 1}})
		}
		bd.wantStarts(bd.plan(), initialStartWindow)
		var before, after goruntime.MemStats
		goruntime.ReadMemStats(&before)
		for range 50 {
			bd.plan()
		}
		goruntime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	few, many := cost(100), cost(4000)
	for range 2 {
		few, many = min(few, cost(100)), min(many, cost(4000))
	}
	if many > 2*few {
		t.Errorf("50 events take %d bytes with 100 jobs and %d with 4000", few, many)
	}
}
