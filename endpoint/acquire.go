package endpoint

import (
	"context"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

const (
	// pickRetryInterval is how often a waiting request tries to pick again, since some changes of the routes wake no waiter.
	pickRetryInterval = 25 * time.Millisecond
	// maxStackLoads is the number of endpoints up to which a pick needs no heap allocation.
	maxStackLoads = 32
	// minRetryAfter is the shortest retry delay given to callers.
	minRetryAfter = 50 * time.Millisecond
	// sessionMoveTimeout bounds how long a request waits for the successor of its session's endpoint.
	sessionMoveTimeout = time.Second
	// tailDeviations times the mean deviation above the mean covers nearly all latencies.
	tailDeviations = 4
	// maxQueueTimeShare is the share of a request's spare time that it may spend in the queue.
	// Spare time is what its deadline leaves after the expected time of the attempt.
	maxQueueTimeShare = 0.5
)

// slot is a slot of an endpoint's concurrency limit, acquired for one attempt.
type slot struct {
	st    *endpointState
	ro    *route
	epoch table.Epoch
	probe bool
}

// release frees the slot and wakes a waiting request.
func (sl slot) release() {
	sl.st.limit.release()
	sl.ro.queue.wakeNext(sl.st.id)
}

// acquire waits for a slot until the deadline. It rejects the call at once when no slot is expected to become free in time.
func (rt *Router) acquire(ctx context.Context, call *Call, tried []table.InstanceID) (slot, error) {
	ro := rt.routes.Load().services[call.Service]
	if ro == nil {
		return slot{}, ErrUnknownService
	}
	if ro.queue.length.Load() == 0 || call.Pin != nil {
		if sl, err := rt.tryAcquire(call, tried); err != ErrOverload && err != ErrSessionMoving {
			return sl, err
		}
	}
	if rt.shouldReject(ro, call) {
		return slot{}, ErrOverload
	}
	return rt.waitForSlot(ctx, ro, call, tried)
}

// tryAcquire picks an endpoint and acquires a slot of it without waiting. ErrOverload means that waiting may help.
func (rt *Router) tryAcquire(call *Call, tried []table.InstanceID) (slot, error) {
	tb := rt.routes.Load()
	ro := tb.services[call.Service]
	if ro == nil {
		return slot{}, ErrUnknownService
	}
	if call.Pin != nil {
		return rt.acquirePinned(tb, ro, call)
	}
	now := rt.opts.Now()
	var loadArray [maxStackLoads]Load
	var stateArray [maxStackLoads]*endpointState
	loads, states := loadArray[:0], stateArray[:0]
	for _, st := range ro.endpoints {
		if st.routable(now) && !(call.NewSession && st.instance.Load().Closing()) {
			loads = append(loads, rt.endpointLoad(st, ro.share, now, tried))
			states = append(states, st)
		}
	}
	if len(loads) == 0 {
		return slot{}, ErrNoEndpoint
	}
	return rt.acquirePicked(ro, loads, states, call.Repeatable)
}

// acquirePicked picks an endpoint and acquires a slot of it. It picks again when concurrent requests took the slot or the probe first.
func (rt *Router) acquirePicked(ro *route, loads []Load, states []*endpointState, repeatable bool) (slot, error) {
	for range len(loads) {
		choice := Pick(loads, repeatable, rt.ejectPolicy.Load().MaxShare, rt.opts.Random)
		if choice.Index < 0 {
			return slot{}, ErrOverload
		}
		st := states[choice.Index]
		if choice.Probe && !st.health.startProbe() {
			loads[choice.Index].Health = StatusEjected
			continue
		}
		if st.limit.acquire(ro.share) && rt.confirmRoutable(st) {
			return slot{st: st, ro: ro, epoch: st.instance.Load().Epoch, probe: choice.Probe}, nil
		}
		if choice.Probe {
			st.health.cancelProbe()
		}
		loads[choice.Index].InFlight = loads[choice.Index].Limit
	}
	return slot{}, ErrOverload
}

// confirmRoutable checks again after a slot was acquired, and releases the slot if the endpoint began to leave in between.
// The acknowledgement that an endpoint is leaving first stops new requests and then counts the slots in use, so one of the two sides
// always sees the other.
func (rt *Router) confirmRoutable(st *endpointState) bool {
	if st.routable(rt.opts.Now()) {
		return true
	}
	st.limit.release()
	return false
}

// acquirePinned acquires a slot of the session's endpoint.
func (rt *Router) acquirePinned(tb *routeTable, ro *route, call *Call) (slot, error) {
	id, err := call.Pin(tb.snapshot)
	if err != nil {
		return slot{}, err
	}
	st := tb.endpoints[id]
	if st == nil {
		return slot{}, ErrSessionMoving
	}
	if rt.sessionsMustMove(tb.snapshot, st) {
		if rt.OnGone != nil {
			rt.OnGone(*st.instance.Load())
		}
		return slot{}, ErrSessionMoving
	}
	if !st.routable(rt.opts.Now()) {
		return slot{}, ErrSessionMoving
	}
	if !st.limit.acquire(ro.share) {
		return slot{}, ErrOverload
	}
	if !rt.confirmRoutable(st) {
		return slot{}, ErrSessionMoving
	}
	return slot{st: st, ro: ro, epoch: st.instance.Load().Epoch}, nil
}

// sessionsMustMove reports whether an endpoint's sessions need a successor: it has left the membership or is leaving it,
// or it has refused connections for at least GoneAfter.
func (rt *Router) sessionsMustMove(sn *table.Snapshot, st *endpointState) bool {
	if sn.Gone(st.id) || sn.Members[st.id].State == table.MemberLeaving {
		return true
	}
	since := st.refusedSince.Load()
	return since != 0 && rt.opts.Now().Sub(time.Unix(0, since)) >= rt.opts.GoneAfter
}

// shouldReject reports whether the queue is full, or too long for the time remaining until the call's deadline.
func (rt *Router) shouldReject(ro *route, call *Call) bool {
	waiting := int(ro.queue.length.Load())
	if waiting >= rt.opts.QueueLength {
		return true
	}
	ss := rt.serviceStats(ro)
	remaining := call.Deadline.Sub(rt.opts.Now())
	return ss.queueWait(waiting+1) > time.Duration(maxQueueTimeShare*float64(remaining-ss.tailLatency()))
}

// serviceStats holds the capacity and the latency of a service's endpoints.
type serviceStats struct {
	slots int
	// meanLatency and deviation describe the time from sending a request to its answer; 0 while unknown.
	meanLatency time.Duration
	deviation   time.Duration
}

// queueWait returns how long the last of the given number of waiting requests has to wait for a slot.
func (ss serviceStats) queueWait(waiting int) time.Duration {
	if ss.slots == 0 {
		return 0
	}
	return time.Duration(float64(ss.meanLatency) * float64(waiting) / float64(ss.slots))
}

// tailLatency returns the time within which nearly all requests are answered once they are sent.
func (ss serviceStats) tailLatency() time.Duration {
	return ss.meanLatency + tailDeviations*ss.deviation
}

// serviceStats returns the statistics of the routable endpoints of a service.
func (rt *Router) serviceStats(ro *route) serviceStats {
	var ss serviceStats
	var mean, deviation float64
	known := 0
	now := rt.opts.Now()
	for _, st := range ro.endpoints {
		if !st.routable(now) {
			continue
		}
		if st.health.status(now) == StatusHealthy {
			ss.slots += st.limit.value(ro.share)
		}
		if vl := st.health.latency.value(); vl > 0 {
			mean += vl
			deviation += st.health.deviation.value()
			known++
		}
	}
	if known > 0 {
		ss.meanLatency = time.Duration(mean / float64(known))
		ss.deviation = time.Duration(deviation / float64(known))
	}
	return ss
}

// retryAfter returns the delay after which a retry is likely to succeed. It is randomised so that callers do not retry all at once.
func (rt *Router) retryAfter(service table.ServiceID) time.Duration {
	ro := rt.routes.Load().services[service]
	if ro == nil {
		return 0
	}
	ss := rt.serviceStats(ro)
	wait := max(ss.queueWait(int(ro.queue.length.Load())+1)+ss.meanLatency, minRetryAfter)
	return wait + time.Duration(rt.opts.Random(int(wait)))
}

// waitForSlot queues the call until a slot is acquired, the deadline can no longer be met or the caller goes away.
func (rt *Router) waitForSlot(ctx context.Context, ro *route, call *Call, tried []table.InstanceID) (slot, error) {
	wt := &waiter{wake: make(chan struct{}, 1)}
	if call.Pin != nil {
		if id, err := call.Pin(rt.Snapshot()); err == nil {
			wt.pin = id
			rt.addQueued(id, 1)
			defer rt.addQueued(id, -1)
		}
	}
	if !ro.queue.add(wt, rt.opts.QueueLength) {
		return slot{}, ErrOverload
	}
	defer ro.queue.remove(wt)
	ticker := time.NewTicker(pickRetryInterval)
	defer ticker.Stop()
	started := rt.opts.Now()
	for {
		sl, err := rt.tryAcquire(call, tried)
		if err != ErrOverload && err != ErrSessionMoving {
			return sl, err
		}
		if rt.shouldStopWaiting(ro, call, err, started) {
			return slot{}, err
		}
		select {
		case <-wt.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return slot{}, ctx.Err()
		}
	}
}

// shouldStopWaiting reports whether a waiting request can no longer be served in time. It is then rejected at once, not at its deadline.
func (rt *Router) shouldStopWaiting(ro *route, call *Call, err error, started time.Time) bool {
	now := rt.opts.Now()
	if err == ErrSessionMoving && now.Sub(started) >= sessionMoveTimeout {
		return true
	}
	return call.Deadline.Sub(now) <= rt.serviceStats(ro).tailLatency()
}

func (rt *Router) addQueued(id table.InstanceID, delta int32) {
	if st := rt.routes.Load().endpoints[id]; st != nil {
		st.queued.Add(delta)
	}
}
