// Package caller serves HTTP requests of callers: it parses them, claims unrepeatable ones, answers, and keeps answers for collection.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

// Headers between callers and entry instances; docs/CALLERS.md describes them.
const (
	HeaderService   = "Aspenseam-Service"
	HeaderCaller    = "Aspenseam-Caller"
	HeaderRequestID = endpoint.HeaderRequestID
	HeaderRepeat    = "Aspenseam-Repeat"
	HeaderTry       = "Aspenseam-Try"
	HeaderSession   = endpoint.HeaderSession
	HeaderDeadline  = endpoint.HeaderDeadline
	HeaderOutcome   = "Aspenseam-Outcome"
	HeaderEntry     = "Aspenseam-Entry"
	headerPrefix    = "Aspenseam-"
)

// Values of HeaderRepeat and HeaderSession.
const (
	RepeatYes  = "repeatable"
	RepeatNo   = "unrepeatable"
	SessionNew = "new"
)

// CollectPath is the path prefix under which callers collect kept answers.
const CollectPath = "/.aspenseam/answers/"

// Identifiers of callers, requests and claims.
type (
	// ID identifies a caller.
	ID string
	// RequestID identifies a request. It is unique per caller.
	RequestID string
	// Key is the key of a request's claim row: a hash of caller and request id.
	Key string
	// Digest is a hash of a request's service, method, target and body.
	Digest string
	// Nonce distinguishes the claims of one request.
	Nonce string
)

// Anonymous is the caller of requests without a caller header.
const Anonymous ID = "anonymous"

// DeliveryMode says how often a request may run.
type DeliveryMode int

// The delivery modes.
const (
	// DeliveryRepeatable allows a request to run any number of times.
	DeliveryRepeatable DeliveryMode = iota
	// DeliveryOncePerTry sends a request at most once for each try of the caller.
	DeliveryOncePerTry
	// DeliveryAtMostOnce runs a request at most once, however often the caller sends it.
	DeliveryAtMostOnce
)

// Request is a parsed request of a caller.
type Request struct {
	Caller   ID
	ID       RequestID
	Delivery DeliveryMode
	Service  table.ServiceID
	// Try is the caller's number of this try, starting at 1; 0 if the caller did not set it.
	Try      int
	Session  *Session
	Deadline time.Time
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	// IDFromCaller reports that the caller set the request id.
	IDFromCaller bool
	// ticket is set when the request id is a ticket.
	ticket *ticket
}

// prior returns what is known locally about earlier tries.
// For an unrepeatable request the claim decides. Without an id set by the caller, each try is a separate request.
func (rq *Request) prior() endpoint.Prior {
	if rq.Delivery == DeliveryAtMostOnce || !rq.IDFromCaller || rq.Try == 1 {
		return endpoint.PriorNone
	}
	return endpoint.PriorUnknown
}

// Key returns the key of the request's claim row.
func (rq *Request) Key() Key {
	return KeyOf(rq.Caller, rq.ID)
}

// KeyOf returns the key of the claim row of a caller's request.
func KeyOf(caller ID, id RequestID) Key {
	sum := sha256.Sum256([]byte(string(caller) + "\x00" + string(id)))
	return Key(hex.EncodeToString(sum[:16]))
}

// Digest returns a hash of the request's service, method, target and body.
func (rq *Request) Digest() Digest {
	hs := sha256.New()
	for _, part := range []string{string(rq.Service), rq.Method, rq.Target} {
		// Writes to a hash never fail.
		_, _ = hs.Write([]byte(part + "\x00"))
	}
	_, _ = hs.Write(rq.Body)
	return Digest(hex.EncodeToString(hs.Sum(nil)[:16]))
}

// Router sends requests to endpoints.
type Router interface {
	Do(ctx context.Context, call *endpoint.Call) endpoint.Result
}

// Snapshots provides the latest snapshot of the tables and reports whether the platform is reachable.
type Snapshots interface {
	Snapshot() *table.Snapshot
	Reached() bool
}

// Peers queries other entry instances.
type Peers interface {
	// ClaimStatus asks the owner of a claim for the result of its request.
	ClaimStatus(ctx context.Context, owner table.InstanceID, key Key, nonce Nonce) (Result, error)
	// Collect asks all other entry instances for a kept answer.
	Collect(ctx context.Context, key Key) (Result, error)
	// Forward passes a request to the entry instance that issued its ticket, which runs it.
	Forward(ctx context.Context, issuer table.InstanceID, req *Request) (Result, error)
}
