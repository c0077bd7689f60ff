package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// slowWorkers answers each order after a fixed time; a lost order gets no answer within orderTime.
type slowWorkers struct {
	mu        sync.Mutex
	loseOrder func(number int) bool
	received  int
}

const (
	orderTime  = 400 * time.Millisecond
	answerTime = 2 * time.Millisecond
)

func (sw *slowWorkers) Poll(context.Context, cell.Poll) cell.PollResult { return cell.PollResult{} }

func (sw *slowWorkers) Send(_ context.Context, od cell.Order) cell.OrderResult {
	sw.mu.Lock()
	sw.received++
	lost := sw.loseOrder(sw.received)
	sw.mu.Unlock()
	if lost {
		time.Sleep(orderTime)
		return cell.OrderResult{Order: od, Outcome: cell.NoAnswer}
	}
	time.Sleep(answerTime)
	return cell.OrderResult{Order: od, Outcome: cell.Done}
}

// runQueue enqueues a number of starts at once and returns when each one had its outcome, and how often each outcome occurred.
func runQueue(starts int, loseOrder func(number int) bool) (ends []time.Duration, outcomes map[cell.Outcome]int) {
	start := time.Now()
	oq := newOrderQueue(&slowWorkers{loseOrder: loseOrder}, time.Now, noneEvacuated)
	outcomes = map[cell.Outcome]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range starts {
		wg.Add(1)
		oq.enqueue(context.Background(), cell.Start{}, func(od cell.OrderResult) {
			defer wg.Done()
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, time.Since(start))
			outcomes[od.Outcome]++
		})
	}
	wg.Wait()
	return ends, outcomes
}

// TestQueueContinuesWhileAnOrderHangs checks that a lost order delays the orders behind it only for slowOrderDelay, not until it
// times out.
func TestQueueContinuesWhileAnOrderHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, outcomes := runQueue(20, func(number int) bool { return number == 3 })
		if outcomes[cell.Done] != 19 || outcomes[cell.NoAnswer] != 1 {
			t.Fatalf("outcomes %v", outcomes)
		}
		if elapsed := ends[18]; elapsed > slowOrderDelay+20*answerTime {
			t.Errorf("19 of 20 orders took %v while one was lost", elapsed)
		}
	})
}

// TestQueueUsesOneConnectionWhileAnswered checks that a second connection is opened only if answers are slow.
func TestQueueUsesOneConnectionWhileAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, _ := runQueue(20, func(int) bool { return false })
		if elapsed := ends[19]; elapsed != 20*answerTime {
			t.Errorf("20 orders in sequence took %v, want %v", elapsed, 20*answerTime)
		}
	})
}

// TestQueueOfUnresponsiveWorkerStopsSending checks that starts to an unresponsive worker are returned as not sent, so that they
// can be started elsewhere at once.
func TestQueueOfUnresponsiveWorkerStopsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends, outcomes := runQueue(20, func(int) bool { return true })
		if outcomes[cell.NoAnswer] > maxOrdersInFlight+unansweredLimit || outcomes[cell.NoAnswer]+outcomes[cell.NotSent] != 20 {
			t.Errorf("outcomes %v", outcomes)
		}
		if elapsed := ends[19]; elapsed > 2*orderTime+slowOrderDelay*maxOrdersInFlight {
			t.Errorf("the last of 20 orders was settled after %v", elapsed)
		}
	})
}

// TestOrderThatWaitedTooLongIsNotSent checks the queue's time limit, after which the sender already counts the order as
// unanswered.
func TestOrderThatWaitedTooLongIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sw := &slowWorkers{loseOrder: func(int) bool { return true }}
		oq := newOrderQueue(sw, time.Now, noneEvacuated)
		oq.maxWait = orderTime / 2
		outcomes := make(chan cell.Outcome, 10)
		for range 5 {
			oq.enqueue(context.Background(), cell.Stop{}, func(od cell.OrderResult) { outcomes <- od.Outcome })
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
