// Package operator serves the HTTP API for operators: status, metrics, jobs, plans, fleet settings and the audit trail.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// bearer is the scheme prefix of the Authorization header.
const bearer = "Bearer "

// Name is the name of an operator, as recorded in the audit trail.
type Name string

// SnapshotSource provides the newest table snapshot and reports whether the platform answered the last read.
type SnapshotSource interface {
	Snapshot() *table.Snapshot
	Reached() bool
}

// Status is the state that an entry instance reports about itself and the workers that it routes to.
type Status struct {
	Entry       table.InstanceID  `json:"entry"`
	Incarnation table.Incarnation `json:"incarnation"`
	Hall        table.HallID      `json:"hall"`
	// Version is the table version up to which this entry instance has read all rows.
	Version table.Version `json:"version"`
	// Platform reports whether the platform answered the last read.
	Platform  bool             `json:"platform"`
	Instances []InstanceStatus `json:"instances"`
	Rejected  []table.RowKey   `json:"rejected,omitempty"`
}

// InstanceStatus is the state of one worker as this entry instance sees it.
type InstanceStatus struct {
	ID    table.InstanceID    `json:"id"`
	Hall  table.HallID        `json:"hall"`
	Rack  table.RackID        `json:"rack"`
	Pool  table.PoolID        `json:"pool"`
	State table.InstanceState `json:"state"`
	// Listed reports whether the membership contains the instance.
	Listed   bool `json:"listed"`
	InFlight int  `json:"open"`
	Queued   int  `json:"queued"`
}

// InFlightCounter counts the requests that this entry instance has sent to an instance or queued for it.
type InFlightCounter interface {
	InFlight(id table.InstanceID) (open, queued int)
}

// Options holds the options of a Server.
type Options struct {
	Entry       table.InstanceID
	Incarnation table.Incarnation
	Hall        table.HallID
	Operators   []settings.Operator
	Registry    metrics.Registry
	Log         *event.Logger
}

// Option sets one of the Options.
type Option func(*Options)

// WithEntry sets the id, the incarnation and the hall of the entry instance.
func WithEntry(id table.InstanceID, inc table.Incarnation, hall table.HallID) Option {
	return func(op *Options) { op.Entry, op.Incarnation, op.Hall = id, inc, hall }
}

// WithOperators sets the operators whose tokens are accepted.
func WithOperators(operators []settings.Operator) Option {
	return func(op *Options) { op.Operators = operators }
}

// WithRegistry sets the metrics registry to serve.
func WithRegistry(registry metrics.Registry) Option {
	return func(op *Options) { op.Registry = registry }
}

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option {
	return func(op *Options) { op.Log = lg }
}

// Server serves the HTTP API for operators.
type Server struct {
	opts      Options
	snapshots SnapshotSource
	endpoints InFlightCounter
	table     table.Table
	manager   *Manager
	versions  VersionCollector
	operators atomic.Pointer[[]settings.Operator]
}

// NewServer returns a Server.
func NewServer(snapshots SnapshotSource, endpoints InFlightCounter, table table.Table, desk *Manager, versions VersionCollector, options ...Option) *Server {
	opts := Options{Registry: metrics.NewRegistry(), Log: event.Nop()}
	for _, option := range options {
		option(&opts)
	}
	sv := &Server{opts: opts, snapshots: snapshots, endpoints: endpoints, table: table, manager: desk, versions: versions}
	sv.SetOperators(opts.Operators)
	return sv
}

// SetOperators replaces the operators whose tokens are accepted.
func (sv *Server) SetOperators(operators []settings.Operator) {
	sv.operators.Store(&operators)
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// operatorFromContext returns the name of the authenticated operator.
func operatorFromContext(ctx context.Context) Name {
	name, _ := ctx.Value(operatorKey{}).(Name)
	return name
}

// Handler returns the HTTP handler of the API. Every call requires the token of a known operator.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", sv.status)
	mux.HandleFunc("GET /v1/metrics", sv.metrics)
	mux.HandleFunc("GET /v1/audit", sv.auditTrail)
	mux.HandleFunc("GET /v1/settings", sv.configuration)
	mux.HandleFunc("PUT /v1/settings", sv.acceptConfiguration)
	mux.HandleFunc("GET /v1/jobs", sv.jobs)
	mux.HandleFunc("POST /v1/jobs", sv.submitJobs)
	mux.HandleFunc("POST /v1/jobs/cancel", sv.cancelJobs)
	mux.HandleFunc("PUT /v1/quotas", sv.setQuota)
	mux.HandleFunc("GET /v1/plans", sv.plans)
	mux.HandleFunc("POST /v1/plans", sv.propose)
	mux.HandleFunc("GET /v1/plans/{id}", sv.plan)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", sv.confirm)
	mux.HandleFunc("POST /v1/plans/{id}/{call}", sv.change)
	return sv.authenticate(mux)
}

// authenticate rejects calls without a known token and stores the operator's name in the request context.
func (sv *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		name, ok := sv.operatorByToken(rq.Header.Get("Authorization"))
		if !ok {
			sv.opts.Log.Emit(event.OperatorRejected, zap.String("from", rq.RemoteAddr))
			writeJSON(wr, http.StatusUnauthorized, Problem{Message: "unknown operator token"})
			return
		}
		next.ServeHTTP(wr, rq.WithContext(context.WithValue(rq.Context(), operatorKey{}, name)))
	})
}

// operatorByToken looks up the operator of an Authorization header. It compares the token with every known token in constant time.
func (sv *Server) operatorByToken(header string) (Name, bool) {
	token, found := strings.CutPrefix(header, bearer)
	var name Name
	matched := false
	for _, op := range *sv.operators.Load() {
		if subtle.ConstantTimeCompare([]byte(op.Token), []byte(token)) == 1 {
			name, matched = Name(op.Name), true
		}
	}
	return name, found && matched
}

// Problem is the error response of a call that was not carried out.
type Problem struct {
	Message string `json:"message"`
	// Findings lists every fault found in the request.
	Findings []string `json:"findings,omitempty"`
}

func (sv *Server) status(wr http.ResponseWriter, _ *http.Request) {
	sn := sv.snapshots.Snapshot()
	st := Status{Entry: sv.opts.Entry, Incarnation: sv.opts.Incarnation, Hall: sv.opts.Hall, Version: sn.Version, Platform: sv.snapshots.Reached(), Rejected: sn.Rejected, Instances: []InstanceStatus{}}
	for _, in := range sn.SortedInstances() {
		open, queued := sv.endpoints.InFlight(in.ID)
		st.Instances = append(st.Instances, InstanceStatus{ID: in.ID, Hall: in.Hall, Rack: in.Rack, Pool: in.Pool, State: in.State, Listed: !sn.Gone(in.ID), InFlight: open, Queued: queued})
	}
	writeJSON(wr, http.StatusOK, st)
}

func (sv *Server) metrics(wr http.ResponseWriter, _ *http.Request) {
	wr.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(sv.opts.Registry, wr)
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// The status has been sent, so an error cannot be reported to the client any more.
	_ = json.NewEncoder(wr).Encode(value)
}
