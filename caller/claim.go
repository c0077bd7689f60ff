package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
)

const (
	// maxInlineBytes is the size of the largest answer stored in the claim's row; larger ones go to the object store.
	maxInlineBytes = 16 << 10
	objectPrefix   = "answer."
)

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim. Only the owner moves a claim out of claimed; answered and lost are final.
const (
	// ClaimClaimed means that the owner may send the request or has sent it.
	ClaimClaimed ClaimState = "claimed"
	// ClaimReleased means that the owner did not and will not send the request; another entry instance may claim it.
	ClaimReleased ClaimState = "released"
	// ClaimAnswered means that the answer is stored with the claim.
	ClaimAnswered ClaimState = "answered"
	// ClaimLost means that the request was sent and no answer was received.
	ClaimLost ClaimState = "lost"
)

// Claim is the row that gives one entry instance the exclusive right to send an unrepeatable request.
type Claim struct {
	Caller  ID              `json:"caller"`
	ID      RequestID       `json:"id"`
	Digest  Digest          `json:"digest"`
	Service table.ServiceID `json:"service"`
	State   ClaimState      `json:"state"`
	// Owner and Incarnation identify the entry instance that holds the claim and its process.
	Owner       table.InstanceID  `json:"owner"`
	Incarnation table.Incarnation `json:"incarnation"`
	Nonce       Nonce             `json:"nonce"`
	At          time.Time         `json:"at"`
	Result      *ClaimResult      `json:"result,omitempty"`
}

// ClaimResult is the answer stored with a claim.
type ClaimResult struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Object is the key of the body in the object store; empty when Body holds it.
	Object string `json:"object,omitempty"`
	// NotKept reports that the answer was streamed to the caller and its body was not stored.
	NotKept bool `json:"notKept,omitempty"`
}

// claimConflictError reports that another claim holds the row.
type claimConflictError struct {
	row   table.Row
	claim Claim
}

// Error describes the existing claim.
func (ce *claimConflictError) Error() string {
	return "claim " + ce.row.Key + " is " + string(ce.claim.State) + " by " + string(ce.claim.Owner)
}

// Store stores claims and large answers on the platform.
type Store interface {
	Committer
	Get(ctx context.Context, table table.TableName, key string) (table.Row, error)
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// claims reads and writes the claims of one entry instance.
type claims struct {
	opts    *Options
	store   Store
	batcher *batcher
}

func newClaims(store Store, opts *Options) *claims {
	return &claims{opts: opts, store: store, batcher: newBatcher(store, opts)}
}

// build returns a claim by this entry instance for a request.
func (cs *claims) build(req *Request, nonce Nonce, state ClaimState) Claim {
	return Claim{Caller: req.Caller, ID: req.ID, Digest: req.Digest(), Service: req.Service, State: state, Owner: cs.opts.Entry, Incarnation: cs.opts.Incarnation, Nonce: nonce, At: cs.opts.Now().UTC()}
}

// write writes a claim that replaces a version of the row. It returns a *claimConflictError if another claim holds the row.
func (cs *claims) write(ctx context.Context, key Key, cl Claim, replaces table.Version) (table.Version, error) {
	raw, err := table.Encode(cl)
	if err != nil {
		return 0, err
	}
	alreadyApplied := func(rw table.Row) bool {
		other, err := table.Decode[Claim](rw)
		return err == nil && other.Nonce == cl.Nonce && other.State == cl.State
	}
	version, err := cs.batcher.write(ctx, table.Write{Table: table.TableClaim, Key: string(key), IfVersion: replaces, Value: raw}, alreadyApplied)
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return version, err
	}
	rw := conflict.Rows[0]
	other, err := table.Decode[Claim](rw)
	if err != nil {
		return 0, err
	}
	return 0, &claimConflictError{row: rw, claim: other}
}

// get reads a claim.
func (cs *claims) get(ctx context.Context, key Key) (table.Row, Claim, error) {
	rw, err := cs.store.Get(ctx, table.TableClaim, string(key))
	if err != nil {
		return table.Row{}, Claim{}, err
	}
	cl, err := table.Decode[Claim](rw)
	return rw, cl, err
}

// storeAnswer returns the result to store with the claim. It first writes a large body to the object store.
func (cs *claims) storeAnswer(ctx context.Context, key Key, nonce Nonce, answer *endpoint.Answer) (*ClaimResult, error) {
	result := &ClaimResult{Status: answer.Status, Header: answer.Header}
	switch {
	case answer.Stream != nil:
		result.NotKept = true
	case len(answer.Body) <= maxInlineBytes:
		result.Body = answer.Body
	default:
		result.Object = objectPrefix + string(key) + "." + string(nonce)
		if err := cs.store.PutObject(ctx, result.Object, answer.Body); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// loadAnswer returns the answer stored with a claim.
func (cs *claims) loadAnswer(ctx context.Context, cl Claim) (*endpoint.Answer, error) {
	result := cl.Result
	if result == nil || result.NotKept {
		return nil, errAnswerNotKept
	}
	answer := &endpoint.Answer{Status: result.Status, Header: result.Header, Body: result.Body}
	if answer.Header == nil {
		answer.Header = http.Header{}
	}
	if result.Object == "" {
		return answer, nil
	}
	body, err := cs.store.GetObject(ctx, result.Object)
	if err != nil {
		return nil, eris.Wrapf(errPlatformDown, "answer: %v", err)
	}
	answer.Body = body
	return answer, nil
}
