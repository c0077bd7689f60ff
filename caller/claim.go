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
	// inlineBytes is the largest answer kept in the claim's row; a larger one goes to the object store.
	maxInlineBytes = 16 << 10
	objectPrefix   = "answer."
)

// ClaimState says what became of a claim.
type ClaimState string

// The states of a claim. Only its owner leaves claimed, and nobody leaves answered or lost.
const (
	// ClaimClaimed means that the owner may send the request or has sent it.
	ClaimClaimed ClaimState = "claimed"
	// ClaimReleased means that the owner sent nothing and never will; another may claim.
	ClaimReleased ClaimState = "released"
	// ClaimAnswered means that the answer is kept with the claim.
	ClaimAnswered ClaimState = "answered"
	// ClaimLost means that the request was sent and no answer came.
	ClaimLost ClaimState = "lost"
)

// Claim is the row that lets one entry instance send an unrepeatable request.
type Claim struct {
	Caller  ID              `json:"caller"`
	ID      RequestID       `json:"id"`
	Digest  Digest          `json:"digest"`
	Service table.ServiceID `json:"service"`
	State   ClaimState      `json:"state"`
	// Owner and Incarnation name the run of the entry instance that holds the claim.
	Owner       table.InstanceID  `json:"owner"`
	Incarnation table.Incarnation `json:"incarnation"`
	Nonce       Nonce             `json:"nonce"`
	At          time.Time         `json:"at"`
	Result      *ClaimResult      `json:"result,omitempty"`
}

// ClaimResult is the answer kept with a claim.
type ClaimResult struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Object names the body in the object store; empty when Body holds it.
	Object string `json:"object,omitempty"`
	// NotKept says that the answer was delivered as a stream and its body is gone.
	NotKept bool `json:"notKept,omitempty"`
}

// heldError says that the row of a claim is as another claim left it.
type claimConflictError struct {
	row   table.Row
	claim Claim
}

// Error names the claim in the way.
func (ce *claimConflictError) Error() string {
	return "claim " + ce.row.Key + " is " + string(ce.claim.State) + " by " + string(ce.claim.Owner)
}

// Store keeps claims and large answers at the platform.
type Store interface {
	Committer
	Get(ctx context.Context, table table.TableName, key string) (table.Row, error)
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// claims writes the claims of one entry instance.
type claims struct {
	opts    *Options
	store   Store
	batcher *batcher
}

func newClaims(store Store, opts *Options) *claims {
	return &claims{opts: opts, store: store, batcher: newBatcher(store, opts)}
}

// of returns the claim that this entry instance would write for a request.
func (cs *claims) build(req *Request, nonce Nonce, state ClaimState) Claim {
	return Claim{Caller: req.Caller, ID: req.ID, Digest: req.Digest(), Service: req.Service, State: state, Owner: cs.opts.Entry, Incarnation: cs.opts.Incarnation, Nonce: nonce, At: cs.opts.Now().UTC()}
}

// put writes a claim over a version; a *heldError says that another was there.
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

// resultOf turns an answer into what is kept with the claim; a large body is put into the object store first.
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

// answerOf returns the answer kept with a claim.
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
