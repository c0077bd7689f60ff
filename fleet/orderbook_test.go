package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/machine"
)

// given is a span in which an order to a machine was under way.
type given struct {
	node     string
	token    cell.Token
	from, to time.Time
}

// orderBook notes every order that nodes give.
type orderBook struct {
	mu   sync.Mutex
	list []given
}

func (ob *orderBook) add(gv given) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.list = append(ob.list, gv)
}

func (ob *orderBook) of(node string) []given {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	var list []given
	for _, gv := range ob.list {
		if gv.node == node {
			list = append(list, gv)
		}
	}
	return list
}

// press has a node give orders without end, most of which get no answer, and several of which are under way at any time.
func (ob *orderBook) press(t *testing.T, nd *testNode) {
	const atOnce, gap = 16, 37 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			if nd.duty.leased(time.Now()) {
				nd.duty.announce(ctx, []cell.MachineID{pressed})
			}
			sleep(ctx, time.Second)
		}
	})
	for turn := range atOnce {
		wg.Go(func() {
			sleep(ctx, time.Duration(turn)*gap)
			for count := 0; ctx.Err() == nil; count++ {
				ob.give(ctx, nd, count%4 != 0)
				sleep(ctx, time.Millisecond)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// pressed is the machine for which orders are given without end.
const pressed = "m0"

// give gives one order, which hangs until it is given up or is answered at once.
func (ob *orderBook) give(ctx context.Context, nd *testNode, hangs bool) {
	nd.duty.order(ctx, pressed, func(ctx context.Context) machine.Outcome {
		gv := given{node: nd.opts.Name, token: nd.duty.tokenNow(), from: time.Now()}
		if hangs {
			<-ctx.Done()
		}
		gv.to = time.Now()
		ob.add(gv)
		return machine.Silent
	})
}

// tokenNow is the token of the present tenure.
func (du *duty) tokenNow() cell.Token {
	du.mu.Lock()
	defer du.mu.Unlock()
	return du.token
}

// holder waits until one of the nodes may give orders.
func (st *site) holder(nodes ...*testNode) *testNode {
	st.t.Helper()
	var found *testNode
	st.eventually("a holder of the machines' duty", func() bool {
		for _, nd := range nodes {
			if nd.duty.leased(time.Now()) {
				found = nd
			}
		}
		return found != nil
	})
	return found
}
