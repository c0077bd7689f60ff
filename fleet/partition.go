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
	partitionCheckInterval = 100 * time.Millisecond
	// reachSilent is how long nothing must have come from the store before other halls are asked. With some instances in the fleet an
	// answer of the control table's feed comes several times a second.
	partitionSilence = 300 * time.Millisecond
	// reachTimeout bounds one question, whose answer takes some 5 ms.
	partitionProbeTimeout = 250 * time.Millisecond
	// reachAsked is how many instances of other halls are asked at once. Those that own nothing count as living for some seconds after they
	// are gone: where half of them are, all that are asked are gone at one of 32 times.
	partitionProbes = 5
)

// reach tells whether this instance is cut off: neither the store nor any instance of another hall answers. While it is, callers are
// served better elsewhere. A store that is down for all is something else: then the other halls answer, and nobody is better off there.
type partitionDetector struct {
	fl *Fleet
	// off is set while this instance is cut off.
	cutOff   atomic.Bool
	rotation int
}

// run looks at it until the context ends.
func (pd *partitionDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, partitionCheckInterval)
		silent := pd.fl.opts.Now().Sub(pd.fl.store.lastAnswer())
		if silent < partitionSilence {
			pd.setCutOff(false, silent)
			continue
		}
		targets := pd.probeTargets()
		if len(targets) > 0 {
			pd.setCutOff(!pd.anyAnswers(ctx, targets), silent)
		}
	}
}

// set notes whether this instance is cut off.
func (pd *partitionDetector) setCutOff(cutOff bool, silent time.Duration) {
	if pd.cutOff.Swap(cutOff) == cutOff {
		return
	}
	kind := event.HallReached
	if cutOff {
		kind = event.HallCutOff
	}
	pd.fl.opts.Log.Emit(kind, zap.Duration("storeSilent", silent))
}

// elsewhere are some instances of other halls that lived when the store was heard of last, others each time. Rows of instances that are
// gone for good stay, and their silence tells nothing.
func (pd *partitionDetector) probeTargets() []node {
	live := pd.fl.liveNodes()
	var list []node
	for _, nd := range pd.fl.members.others(pd.fl.opts.Name) {
		if _, isLive := live[nd.Name]; isLive && !nd.Leaving && nd.Hall != pd.fl.opts.Hall {
			list = append(list, nd)
		}
	}
	if len(list) <= partitionProbes {
		return list
	}
	pd.rotation++
	picked := make([]node, 0, partitionProbes)
	for at := range partitionProbes {
		picked = append(picked, list[(pd.rotation+at*len(list)/partitionProbes)%len(list)])
	}
	return picked
}

// anyAnswers reports whether one of some instances answers.
func (pd *partitionDetector) anyAnswers(ctx context.Context, nodes []node) bool {
	ctx, cancel := context.WithTimeout(ctx, partitionProbeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var answered atomic.Bool
	for _, nd := range nodes {
		wg.Go(func() {
			// The smallest question that there is: nobody owns a cell without a name.
			if _, err := pd.fl.peers.clientFor(nd.Address).JobState(ctx, &peer.JobStateRequest{}); err == nil {
				answered.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// CutOff reports whether this instance can reach neither the store nor another hall.
func (fl *Fleet) CutOff() bool { return fl.partition.cutOff.Load() }
