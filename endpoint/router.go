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
	// leavingHintTTL is how long an endpoint's own word that it leaves is believed without the platform's.
	leavingHintTTL = 10 * time.Second
	// idleTimeout is shorter than the usual keep-alive of servers, so that connections are rarely found closed.
	idleTimeout = 4 * time.Second
	// maxHeaderBytes bounds the header of an answer.
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
	// Attempts counts attempts that were begun.
	Attempts atomic.Int64
	// Calls counts calls to Do.
	Calls atomic.Int64
	// OnGone is told of an endpoint whose sessions need a successor; set before use.
	OnGone func(table.Instance)
}

// routeTable is an immutable view of all routes.
type routeTable struct {
	snapshot  *table.Snapshot
	services  map[table.ServiceID]*route
	endpoints map[table.InstanceID]*endpointState
}

// route holds the endpoints of one service and the queue before them.
type route struct {
	service   table.Service
	share     Share
	endpoints []*endpointState
	queue     *queue
}

// endpointState is what a router knows of one endpoint; it outlives the tables.
type endpointState struct {
	id      table.InstanceID
	address string
	pooled  *http.Transport
	health  health
	limit   concurrencyLimit
	// queued counts the requests that wait for this endpoint alone.
	queued atomic.Int32
	// leavingUntil is when the endpoint's own word that it leaves runs out, in nanoseconds since 1970.
	leavingUntil atomic.Int64
	// refusedSince is when connections began to be refused without a break; 0 if the last one was not.
	refusedSince atomic.Int64
	instance     atomic.Pointer[table.Instance]
	eligible     atomic.Bool
}

// NewRouter returns a router that knows no endpoint yet.
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

// SetPolicy changes how many retries are earned and when endpoints are ejected, while calls go on.
func (rt *Router) SetPolicy(retryShare float64, ejectAfter int, ejectShareMax float64) {
	rt.budget.depositPerRequest.Store(int64(retryShare * retryUnit))
	policy := rt.opts.Eject
	policy.ConsecutiveFailures, policy.MaxShare = ejectAfter, ejectShareMax
	rt.ejectPolicy.Store(&policy)
}

// Snapshot returns the snapshot that the routes were made from.
func (rt *Router) Snapshot() *table.Snapshot {
	return rt.routes.Load().snapshot
}

// Update replaces the routes by those of a snapshot; what is known of endpoints stays.
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

// localEntries counts the live entry instances that are likely to use the same endpoints.
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

// routable reports whether new work may go to the endpoint at a time.
func (st *endpointState) routable(now time.Time) bool {
	return st.eligible.Load() && now.UnixNano() >= st.leavingUntil.Load()
}

// loadOf returns what Pick needs to know.
func (rt *Router) loadOf(st *endpointState, sh Share, now time.Time, tried []table.InstanceID) Load {
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

// InFlight returns the open attempts to an endpoint and the requests that wait for it alone.
func (rt *Router) InFlight(id table.InstanceID) (inFlight, queued int) {
	st := rt.routes.Load().endpoints[id]
	if st == nil {
		return 0, 0
	}
	return int(st.limit.inFlight.Load()), int(st.queued.Load())
}

// Routable reports whether this router would give new work to an endpoint.
func (rt *Router) Routable(id table.InstanceID) bool {
	st := rt.routes.Load().endpoints[id]
	return st != nil && st.routable(rt.opts.Now())
}

// MarkLeaving stops new work to an endpoint on a hint, until the platform says more.
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
