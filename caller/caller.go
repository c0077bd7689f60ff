// Package caller speaks HTTP to callers: it takes requests in, claims unrepeatable ones, answers, and keeps answers for collection.
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

// CollectPath is the path under which kept answers are collected.
const CollectPath = "/.aspenseam/answers/"

// Names of callers and their requests.
type (
	// ID names a caller.
	ID string
	// RequestID names a request among those of its caller.
	RequestID string
	// Key is the place of a request's claim row: a hash of caller and request id.
	Key string
	// Digest is a hash of what a request asks for.
	Digest string
	// Nonce tells one claim of a request from another.
	Nonce string
)

// Anonymous is the caller of requests that name none.
const Anonymous ID = "anonymous"

// Mark says how often a request may run.
type DeliveryMode int

// The marks.
const (
	// MarkRepeatable may run any number of times.
	DeliveryRepeatable DeliveryMode = iota
	// MarkSingle is sent once for each time that the caller sends it.
	DeliveryOncePerTry
	// MarkUnrepeatable runs at most once, however often the caller sends it.
	DeliveryAtMostOnce
)

// Request is one request as it came in.
type Request struct {
	Caller   ID
	ID       RequestID
	Delivery DeliveryMode
	Service  table.ServiceID
	// Try is the number of this try as the caller counts, 1 being the first; 0 if it does not say.
	Try      int
	Session  *Session
	Deadline time.Time
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	// Named says that the caller gave the request id.
	IDFromCaller bool
	// ticket is set when the request id is a ticket.
	ticket *ticket
}

// prior returns what is known of earlier tries without asking anybody.
// An unrepeatable request's claim tells; a request without an id of the caller's is another one each time that it is sent.
func (rq *Request) prior() endpoint.Prior {
	if rq.Delivery == DeliveryAtMostOnce || !rq.IDFromCaller || rq.Try == 1 {
		return endpoint.PriorNone
	}
	return endpoint.PriorUnknown
}

// Key returns the place of the request's claim row.
func (rq *Request) Key() Key {
	return KeyOf(rq.Caller, rq.ID)
}

// KeyOf returns the place of a claim row.
func KeyOf(caller ID, id RequestID) Key {
	sum := sha256.Sum256([]byte(string(caller) + "\x00" + string(id)))
	return Key(hex.EncodeToString(sum[:16]))
}

// Digest returns a hash of what the request asks for.
func (rq *Request) Digest() Digest {
	hs := sha256.New()
	for _, part := range []string{string(rq.Service), rq.Method, rq.Target} {
		// A hash never fails to take bytes.
		_, _ = hs.Write([]byte(part + "\x00"))
	}
	_, _ = hs.Write(rq.Body)
	return Digest(hex.EncodeToString(hs.Sum(nil)[:16]))
}

// Router sends requests to endpoints.
type Router interface {
	Do(ctx context.Context, call *endpoint.Call) endpoint.Result
}

// Snapshots returns the newest snapshot.
type Snapshots interface {
	Snapshot() *table.Snapshot
	Reached() bool
}

// Peers asks other entry instances.
type Peers interface {
	// Flight asks the owner of a claim what became of it.
	ClaimStatus(ctx context.Context, owner table.InstanceID, key Key, nonce Nonce) (Result, error)
	// Collect asks all for a kept answer.
	Collect(ctx context.Context, key Key) (Result, error)
	// Forward lets the issuer of a request's ticket run it.
	Forward(ctx context.Context, issuer table.InstanceID, req *Request) (Result, error)
}
