package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// slowWorkers answer each order after a time of its own; one that is lost gets no answer within orderTime.
type slowWorkers struct {
	mu       sync.Mutex
	lost     func(number int) bool
	received int
}

const (
	orderTime  = 400 * time.Millisecond
	answerTime = 2 * time.Millisecond
)

func (sw *slowWorkers) Poll(context.Context, cell.Poll) cell.PollResult { return cell.PollResult{} }

func (sw *slowWorkers) Send(_ context.Context, od cell.Order) cell.OrderResult {
	sw.mu.Lock()
	sw.received++
	lost := sw.lost(sw.received)
	sw.mu.Unlock()
	if lost {
		time.Sleep(orderTime)
		return cell.OrderResult{Order: od, Outcome: cell.NoAnswer}
	}
	time.Sleep(answerTime)
	return cell.OrderResult{Order: od, Outcome: cell.Done}
}

// laneRun gives a lane so many starts at once and returns when each had its outcome, and how many had which.
func runQueue(starts int, lost func(number int) bool) (ends []time.Duration, outcomes map[cell.Outcome]int) {
	began := time.Now()
	oq := newOrderQueue(&slowWorkers{lost: lost}, time.Now)
	outcomes = map[cell.Outcome]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range starts {
		wg.Add(1)
		oq.enqueue(context.Background(), cell.Start{}, func(od cell.OrderResult) {
			defer wg.Done()
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, time.Since(began))
			outcomes[od.Outcome]++
		})
	}
	wg.Wait()
	return ends, outcomes
}

// TestLaneGoesOnBesideAnOrderThatIsLost: the ones behind it wait for a moment, not until it is given up.
func TestQueueContinuesWhileAnOrderHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, outcomes := runQueue(20, func(number int) bool { return number == 3 })
		if outcomes[cell.Done] != 19 || outcomes[cell.NoAnswer] != 1 {
			t.Fatalf("outcomes %v", outcomes)
		}
		if before := ends[18]; before > slowOrderDelay+20*answerTime {
			t.Errorf("19 of 20 orders took %v beside one that was lost", before)
		}
	})
}

// TestLaneUsesOneConnectionWhileItIsAnswered: a second one is opened only where answers take long.
func TestQueueUsesOneConnectionWhileAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, _ := runQueue(20, func(int) bool { return false })
		if last := ends[19]; last != 20*answerTime {
			t.Errorf("20 orders took %v one after the other, want %v", last, 20*answerTime)
		}
	})
}

// TestLaneOfAWorkerThatIsGoneSendsNothingFurther: what was not sent can be started elsewhere at once.
func TestQueueOfUnresponsiveWorkerStopsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, outcomes := runQueue(20, func(int) bool { return true })
		if outcomes[cell.NoAnswer] > maxOrdersInFlight+unansweredLimit || outcomes[cell.NoAnswer]+outcomes[cell.NotSent] != 20 {
			t.Errorf("outcomes %v", outcomes)
		}
		if last := ends[19]; last > 2*orderTime+slowOrderDelay*maxOrdersInFlight {
			t.Errorf("the last of 20 orders was settled after %v", last)
		}
	})
}

// TestOrderThatWaitedTooLongIsNotSent: its giver counts it as silent by then.
func TestOrderThatWaitedTooLongIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sw := &slowWorkers{lost: func(int) bool { return true }}
		ln := newOrderQueue(sw, time.Now)
		ln.maxWait = orderTime / 2
		outcomes := make(chan cell.Outcome, 10)
		for range 5 {
			ln.enqueue(context.Background(), cell.Stop{}, func(od cell.OrderResult) { outcomes <- od.Outcome })
		}
		count := map[cell.Outcome]int{}
		for range 5 {
			count[<-outcomes]++
		}
		if count[cell.NoAnswer] != maxOrdersInFlight || count[cell.NotSent] != 5-maxOrdersInFlight {
			t.Errorf("outcomes %v", count)
		}
	})
}
