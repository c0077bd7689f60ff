package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/peer"
	"go.uber.org/zap"
)

// Times of telling whether this instance's hall is cut off.
const (
	// reachEvery is how often it is looked at.
	reachEvery = 100 * time.Millisecond
	// reachSilent is how long nothing must have come from the store before other halls are asked. With some instances in the fleet an
	// answer of the control table's feed comes several times a second.
	reachSilent = 300 * time.Millisecond
	// reachTimeout bounds one question, whose answer takes some 5 ms.
	reachTimeout = 250 * time.Millisecond
	// reachAsked is how many instances of other halls are asked at once. Those that own nothing count as living for some seconds after they
	// are gone: where half of them are, all that are asked are gone at one of 32 times.
	reachAsked = 5
)

// reach tells whether this instance is cut off: neither the store nor any instance of another hall answers. While it is, callers are
// served better elsewhere. A store that is down for all is something else: then the other halls answer, and nobody is better off there.
type reach struct {
	fl *Fleet
	// off is set while this instance is cut off.
	off  atomic.Bool
	turn int
}

// run looks at it until the context ends.
func (rc *reach) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reachEvery)
		silent := rc.fl.opts.Now().Sub(rc.fl.link.heard())
		if silent < reachSilent {
			rc.set(false, silent)
			continue
		}
		asked := rc.elsewhere()
		if len(asked) > 0 {
			rc.set(!rc.anyAnswers(ctx, asked), silent)
		}
	}
}

// set notes whether this instance is cut off.
func (rc *reach) set(off bool, silent time.Duration) {
	if rc.off.Swap(off) == off {
		return
	}
	kind := event.HallReached
	if off {
		kind = event.HallCutOff
	}
	rc.fl.opts.Log.Emit(kind, zap.Duration("storeSilent", silent))
}

// elsewhere are some instances of other halls that lived when the store was heard of last, others each time. Rows of instances that are
// gone for good stay, and their silence tells nothing.
func (rc *reach) elsewhere() []node {
	live := rc.fl.alive()
	var list []node
	for _, nd := range rc.fl.members.others(rc.fl.opts.Name) {
		if _, lives := live[nd.Name]; lives && !nd.Leaving && nd.Hall != rc.fl.opts.Hall {
			list = append(list, nd)
		}
	}
	if len(list) <= reachAsked {
		return list
	}
	rc.turn++
	picked := make([]node, 0, reachAsked)
	for at := range reachAsked {
		picked = append(picked, list[(rc.turn+at*len(list)/reachAsked)%len(list)])
	}
	return picked
}

// anyAnswers reports whether one of some instances answers.
func (rc *reach) anyAnswers(ctx context.Context, nodes []node) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var answered atomic.Bool
	for _, nd := range nodes {
		wg.Go(func() {
			// The smallest question that there is: nobody owns a cell without a name.
			if _, err := rc.fl.peers.at(nd.Address).JobState(ctx, &peer.JobStateRequest{}); err == nil {
				answered.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// CutOff reports whether this instance can reach neither the store nor another hall.
func (fl *Fleet) CutOff() bool { return fl.reach.off.Load() }
