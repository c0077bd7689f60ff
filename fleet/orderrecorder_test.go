package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/machine"
)

// sentOrder is the time span in which an order for a machine was in flight.
type sentOrder struct {
	node     string
	token    cell.Token
	from, to time.Time
}

// orderRecorder records all orders that nodes send.
type orderRecorder struct {
	mu   sync.Mutex
	list []sentOrder
}

func (or *orderRecorder) add(so sentOrder) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.list = append(or.list, so)
}

func (or *orderRecorder) byNode(node string) []sentOrder {
	or.mu.Lock()
	defer or.mu.Unlock()
	var list []sentOrder
	for _, so := range or.list {
		if so.node == node {
			list = append(list, so)
		}
	}
	return list
}

// sendConstantly makes a node send orders continually, with several in flight at any time. Most of them are not answered.
func (or *orderRecorder) sendConstantly(t *testing.T, nd *testNode) {
	const parallel, gap = 16, 37 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			if nd.controller.leaseValid(time.Now()) {
				nd.controller.announce(ctx, []cell.MachineID{busyMachine})
			}
			sleep(ctx, time.Second)
		}
	})
	for sender := range parallel {
		wg.Go(func() {
			sleep(ctx, time.Duration(sender)*gap)
			for count := 0; ctx.Err() == nil; count++ {
				or.sendOne(ctx, nd, count%4 != 0)
				sleep(ctx, time.Millisecond)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// busyMachine is the machine that sendConstantly sends orders for.
const busyMachine = "m0"

// sendOne sends one order, which hangs until it is cancelled or is answered at once.
func (or *orderRecorder) sendOne(ctx context.Context, nd *testNode, hangs bool) {
	nd.controller.sendOrder(ctx, busyMachine, func(ctx context.Context) machine.Outcome {
		so := sentOrder{node: nd.opts.Name, token: nd.controller.tokenNow(), from: time.Now()}
		if hangs {
			<-ctx.Done()
		}
		so.to = time.Now()
		or.add(so)
		return machine.NoAnswer
	})
}

// tokenNow returns the current fencing token.
func (ct *machineController) tokenNow() cell.Token {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.token
}

// leader waits until one of the nodes may send orders.
func (cl *cluster) leader(nodes ...*testNode) *testNode {
	cl.t.Helper()
	var found *testNode
	cl.eventually("a leader of the machine controller", func() bool {
		for _, nd := range nodes {
			if nd.controller.leaseValid(time.Now()) {
				found = nd
			}
		}
		return found != nil
	})
	return found
}
