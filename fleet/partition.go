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

// Intervals and thresholds of detecting that this instance's data hall is cut off.
const (
	// partitionCheckInterval is how often the detector checks.
	partitionCheckInterval = 100 * time.Millisecond
	// partitionSilence is how long the store must have been silent before other data halls are probed. In a fleet with several
	// instances, the feed of the control table answers several times a second.
	partitionSilence = 300 * time.Millisecond
	// partitionProbeTimeout bounds a probe; an answer takes about 5 ms.
	partitionProbeTimeout = 250 * time.Millisecond
	// partitionProbes is the number of instances in other data halls that are probed at once. Instances that own nothing count as
	// live for some seconds after they have died: if half of them are dead, all the probed ones are dead one of 32 times.
	partitionProbes = 5
)

// partitionDetector detects whether this instance is cut off: neither the store nor any instance in another data hall answers.
// While it is cut off, callers are better served elsewhere. An outage of the store is different: the other halls still answer,
// and callers are no better off there.
type partitionDetector struct {
	fl *Fleet
	// cutOff is set while this instance is cut off.
	cutOff   atomic.Bool
	rotation int
}

// run checks until the context ends.
func (pd *partitionDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, partitionCheckInterval)
		silence := pd.fl.opts.Now().Sub(pd.fl.store.lastAnswer())
		if silence < partitionSilence {
			pd.setCutOff(false, silence)
			continue
		}
		targets := pd.probeTargets()
		if len(targets) > 0 {
			pd.setCutOff(!pd.anyAnswers(ctx, targets), silence)
		}
	}
}

// setCutOff records whether this instance is cut off, and logs a change.
func (pd *partitionDetector) setCutOff(cutOff bool, silence time.Duration) {
	if pd.cutOff.Swap(cutOff) == cutOff {
		return
	}
	kind := event.HallReached
	if cutOff {
		kind = event.HallCutOff
	}
	pd.fl.opts.Log.Emit(kind, zap.Duration("storeSilent", silence))
}

// probeTargets returns some instances of other data halls that were live when the store last answered, in rotation. The rows of
// dead instances remain in the table, so their silence proves nothing.
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
	for i := range partitionProbes {
		picked = append(picked, list[(pd.rotation+i*len(list)/partitionProbes)%len(list)])
	}
	return picked
}

// anyAnswers reports whether at least one of the instances answers.
func (pd *partitionDetector) anyAnswers(ctx context.Context, nodes []node) bool {
	ctx, cancel := context.WithTimeout(ctx, partitionProbeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var answered atomic.Bool
	for _, nd := range nodes {
		wg.Go(func() {
			// The cheapest request there is: nobody owns a cell without a name.
			if _, err := pd.fl.peers.clientFor(nd.Address).JobState(ctx, &peer.JobStateRequest{}); err == nil {
				answered.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// CutOff reports whether this instance can reach neither the store nor another data hall.
func (fl *Fleet) CutOff() bool { return fl.partition.cutOff.Load() }
