package peer

import (
	"context"
	"net/http"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

// maxPeerBytes bounds what a peer may send.
const maxPeerBytes = 4 << 20

// Server answers other entry instances.
type Server struct {
	opts      Options
	snapshots Snapshots
	flights   Flights
	endpoints Endpoints
	settings  Configurations
}

// NewServer returns a server of what this entry instance knows.
func NewServer(snapshots Snapshots, flights Flights, endpoints Endpoints, settings Configurations, options ...Option) *Server {
	return &Server{opts: build(options), snapshots: snapshots, flights: flights, endpoints: endpoints, settings: settings}
}

// Handler returns the guarded twirp handler.
func (sv *Server) Handler(options ...Option) http.Handler {
	twirp := NewPeerServer(sv)
	bounded := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		rq.Body = http.MaxBytesReader(wr, rq.Body, maxPeerBytes)
		twirp.ServeHTTP(wr, rq)
	})
	return Guard(bounded, options...)
}

// Sync returns the rows that the asker lacks.
func (sv *Server) Sync(_ context.Context, rq *SyncRequest) (*SyncResponse, error) {
	sn := sv.snapshots.Snapshot()
	rp := &SyncResponse{Version: uint64(sn.Version), Digest: sn.Digest()}
	if rq.All {
		rp.Rows, rp.Members = rowsOut(sn.Since(0)), membersOut(sn.Members)
		return rp, nil
	}
	if rp.Digest != rq.Digest {
		rp.Rows = rowsOut(sn.Since(table.Version(rq.Version)))
	}
	return rp, nil
}

// Push takes rows that the platform has committed.
func (sv *Server) Push(_ context.Context, rq *PushRequest) (*PushResponse, error) {
	sv.snapshots.Merge(rowsIn(rq.Rows), 0)
	return &PushResponse{}, nil
}

// Flight tells what became of a claimed request here.
func (sv *Server) Flight(_ context.Context, rq *FlightRequest) (*FlightResponse, error) {
	word, ok := sv.flights.ClaimStatus(caller.Key(rq.Key), caller.Nonce(rq.Nonce))
	switch {
	case !ok:
		return &FlightResponse{State: FlightState_FLIGHT_UNKNOWN}, nil
	case word.Answer != nil:
		return &FlightResponse{State: FlightState_FLIGHT_ANSWERED, Answer: answerOut(word.Answer)}, nil
	case word.Outcome == endpoint.OutcomeNotRun:
		return &FlightResponse{State: FlightState_FLIGHT_RELEASED}, nil
	}
	return &FlightResponse{State: FlightState_FLIGHT_PENDING}, nil
}

// InForce tells which configuration version runs here.
func (sv *Server) InForce(context.Context, *InForceRequest) (*InForceResponse, error) {
	version, _ := sv.settings.InForce()
	return &InForceResponse{Version: uint64(version)}, nil
}

// Leaving tells whether new work may still go to an instance and what is open.
func (sv *Server) Leaving(_ context.Context, rq *LeavingRequest) (*LeavingResponse, error) {
	id := table.InstanceID(rq.Instance)
	in := sv.snapshots.Snapshot().Instances[id]
	open, queued := sv.endpoints.InFlight(id)
	seen := in != nil && uint64(in.Epoch) >= rq.Epoch && in.State != table.InstanceServing && !sv.endpoints.Routable(id)
	return &LeavingResponse{Seen: seen, InFlight: int64(open), Queued: int64(queued), Incarnation: string(sv.opts.Incarnation)}, nil
}
