package endpoint

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
	"go.uber.org/zap"
)

const (
	// leavingHintTTL is how long an endpoint's own report that it is leaving is trusted without confirmation by the platform.
	leavingHintTTL = 10 * time.Second
	// idleTimeout is shorter than the usual keep-alive time of servers, so that a reused connection is rarely found closed.
	idleTimeout = 4 * time.Second
	// maxHeaderBytes limits the size of an answer's header.
	maxHeaderBytes = 64 << 10
)

// Router sends calls to endpoints.
type Router struct {
	opts        Options
	routes      atomic.Pointer[routeTable]
	mu          sync.Mutex // held while routes are replaced
	unpooled    *http.Transport
	budget      *retryBudget
	ejectPolicy atomic.Pointer[EjectPolicy]
	// Attempts counts the attempts started.
	Attempts atomic.Int64
	// Calls counts calls to Do.
	Calls atomic.Int64
	// OnGone is called with an endpoint whose sessions need a successor. Set it before the first call.
	OnGone func(table.Instance)
}

// routeTable is an immutable view of all routes.
type routeTable struct {
	snapshot  *table.Snapshot
	services  map[table.ServiceID]*route
	endpoints map[table.InstanceID]*endpointState
}

// route holds the endpoints of one service and the queue of its waiting requests.
type route struct {
	service   table.Service
	share     Share
	endpoints []*endpointState
	queue     *queue
}

// endpointState is the state that a router keeps about an endpoint across route tables.
type endpointState struct {
	id      table.InstanceID
	address string
	pooled  *http.Transport
	health  health
	limit   concurrencyLimit
	// queued counts the waiting requests that only this endpoint can serve.
	queued atomic.Int32
	// leavingUntil is when the endpoint's own report that it is leaving expires, in nanoseconds since 1970.
	leavingUntil atomic.Int64
	// refusedSince is the time of the first refused connection since the last attempt that was sent, in nanoseconds since 1970; 0 if none.
	refusedSince atomic.Int64
	instance     atomic.Pointer[table.Instance]
	eligible     atomic.Bool
}

// NewRouter returns a router without endpoints.
func NewRouter(options ...Option) *Router {
	opts := defaultOptions()
	for _, option := range options {
		option(&opts)
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.DialTimeout}).DialContext
	}
	rt := &Router{opts: opts, budget: newRetryBudget(opts.Retry)}
	rt.ejectPolicy.Store(&opts.Eject)
	rt.unpooled = rt.newTransport()
	rt.unpooled.DisableKeepAlives = true
	rt.routes.Store(&routeTable{snapshot: table.EmptySnapshot(), services: map[table.ServiceID]*route{}, endpoints: map[table.InstanceID]*endpointState{}})
	return rt
}

func (rt *Router) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            rt.opts.Dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  rt.opts.MaxAttemptDuration,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// SetPolicy changes the retry share and the ejection policy while calls are running.
func (rt *Router) SetPolicy(retryShare float64, ejectAfter int, ejectShareMax float64) {
	rt.budget.depositPerRequest.Store(int64(retryShare * retryUnit))
	policy := rt.opts.Eject
	policy.ConsecutiveFailures, policy.MaxShare = ejectAfter, ejectShareMax
	rt.ejectPolicy.Store(&policy)
}

// Snapshot returns the snapshot from which the routes were built.
func (rt *Router) Snapshot() *table.Snapshot {
	return rt.routes.Load().snapshot
}

// Update replaces the routes with those of a snapshot. The state of endpoints that remain is kept.
func (rt *Router) Update(sn *table.Snapshot) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	previous := rt.routes.Load()
	next := &routeTable{snapshot: sn, services: make(map[table.ServiceID]*route, len(sn.Services)), endpoints: map[table.InstanceID]*endpointState{}}
	for id, in := range sn.Instances {
		next.endpoints[id] = rt.buildState(previous, in, sn)
	}
	entries := max(1, rt.localEntries(sn))
	for id, sv := range sn.Services {
		next.services[id] = rt.buildRoute(previous, next, sv, entries)
	}
	rt.routes.Store(next)
	rt.closeRemoved(previous, next)
	for _, ro := range next.services {
		ro.queue.wakeNext("")
	}
}

// localEntries counts the live entry instances in the own hall, which are likely to use the same endpoints.
func (rt *Router) localEntries(sn *table.Snapshot) int {
	count := 0
	for _, mb := range sn.Entries() {
		if string(mb.Hall) == rt.opts.Hall && mb.State == table.MemberLive {
			count++
		}
	}
	return count
}

func (rt *Router) buildState(previous *routeTable, in *table.Instance, sn *table.Snapshot) *endpointState {
	st := previous.endpoints[in.ID]
	if st == nil || st.address != in.Address {
		st = &endpointState{id: in.ID, address: in.Address, pooled: rt.newTransport()}
	}
	if last := st.instance.Load(); last != nil && last.Epoch != in.Epoch {
		st.leavingUntil.Store(0)
	}
	st.instance.Store(in)
	serving := sn.Serving(in.ID) && !sn.Gone(in.ID)
	if st.eligible.Swap(serving) && !serving {
		st.pooled.CloseIdleConnections()
	}
	return st
}

func (rt *Router) buildRoute(previous, next *routeTable, sv *table.ServiceView, entries int) *route {
	ro := &route{service: sv.Service, share: NewShare(sv.Slots, sv.Connections, entries, rt.opts.MaxEntries), queue: &queue{}}
	if last := previous.services[sv.ID]; last != nil {
		ro.queue = last.queue
	}
	for _, in := range sv.Instances {
		ro.endpoints = append(ro.endpoints, next.endpoints[in.ID])
	}
	return ro
}

func (rt *Router) closeRemoved(previous, next *routeTable) {
	for id, st := range previous.endpoints {
		if next.endpoints[id] != st {
			st.eligible.Store(false)
			st.pooled.CloseIdleConnections()
		}
	}
}

// routable reports whether the endpoint may get new requests at the given time.
func (st *endpointState) routable(now time.Time) bool {
	return st.eligible.Load() && now.UnixNano() >= st.leavingUntil.Load()
}

// endpointLoad returns the load of an endpoint for Pick.
func (rt *Router) endpointLoad(st *endpointState, sh Share, now time.Time, tried []table.InstanceID) Load {
	return Load{
		ID:       st.id,
		SameHall: string(st.instance.Load().Hall) == rt.opts.Hall,
		Health:   st.health.status(now),
		InFlight: int(st.limit.inFlight.Load()),
		Limit:    st.limit.value(sh),
		Latency:  time.Duration(st.health.latency.value()),
		Success:  st.health.success.value(),
		Tried:    slices.Contains(tried, st.id),
	}
}

// InFlight returns the number of attempts in flight to an endpoint and of waiting requests that only it can serve.
func (rt *Router) InFlight(id table.InstanceID) (inFlight, queued int) {
	st := rt.routes.Load().endpoints[id]
	if st == nil {
		return 0, 0
	}
	return int(st.limit.inFlight.Load()), int(st.queued.Load())
}

// Routable reports whether this router sends new requests to an endpoint.
func (rt *Router) Routable(id table.InstanceID) bool {
	st := rt.routes.Load().endpoints[id]
	return st != nil && st.routable(rt.opts.Now())
}

// MarkLeaving stops new requests to an endpoint that reported that it is leaving, until the report is confirmed or expires.
func (rt *Router) MarkLeaving(id table.InstanceID) {
	st := rt.routes.Load().endpoints[id]
	if st == nil {
		return
	}
	until := rt.opts.Now().Add(leavingHintTTL).UnixNano()
	if st.leavingUntil.Swap(until) < rt.opts.Now().UnixNano() {
		rt.opts.Log.Emit(event.EndpointLeaving, zap.String("endpoint", string(id)))
	}
	st.pooled.CloseIdleConnections()
}
