package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
)

const (
	macBytes       = 16
	maxTokenLength = 1024
	// sessionPurpose prefixes the signed text, so that a session's signature is not valid for a ticket.
	sessionPurpose = "session\x00"
)

// errInvalidToken reports that a session token was not signed by this fleet.
var errInvalidToken = errors.New("session token is not of this fleet")

// Session is an open session. Its token contains all of its state, so that any entry instance can continue it without a lookup.
type Session struct {
	ID      string          `json:"id"`
	Service table.ServiceID `json:"service"`
	// Pin is the endpoint that the session was pinned to when the token was issued.
	Pin table.Pin `json:"pin"`
}

// Signer signs and verifies session tokens and tickets.
type Signer struct {
	keys atomic.Pointer[[][]byte]
}

// NewSigner returns a signer that signs with the first key and accepts signatures by any key.
func NewSigner(keys ...string) *Signer {
	sg := &Signer{}
	sg.SetKeys(keys...)
	return sg
}

// SetKeys replaces the keys.
func (sg *Signer) SetKeys(keys ...string) {
	list := make([][]byte, len(keys))
	for ix, key := range keys {
		list[ix] = []byte(key)
	}
	sg.keys.Store(&list)
}

// sign returns the signature of a text by the first key.
func (sg *Signer) sign(text string) string {
	return base64.RawURLEncoding.EncodeToString(computeMAC((*sg.keys.Load())[0], text))
}

// verify reports whether a tag is a valid signature of a text by any key.
func (sg *Signer) verify(text, tag string) bool {
	sum, err := base64.RawURLEncoding.DecodeString(tag)
	if err != nil {
		return false
	}
	for _, key := range *sg.keys.Load() {
		if hmac.Equal(sum, computeMAC(key, text)) {
			return true
		}
	}
	return false
}

// Token returns the session's token.
func (sg *Signer) Token(ss Session) string {
	raw, err := json.Marshal(ss)
	if err != nil {
		// Encoding cannot fail: a Session consists of strings and numbers.
		return ""
	}
	payload := base64.RawURLEncoding.EncodeToString(raw)
	return payload + "." + sg.sign(sessionPurpose+payload)
}

// ParseToken verifies a token and returns its session.
func (sg *Signer) ParseToken(token string) (*Session, error) {
	payload, tag, found := strings.Cut(token, ".")
	if !found || len(token) > maxTokenLength {
		return nil, errInvalidToken
	}
	if !sg.verify(sessionPurpose+payload, tag) {
		return nil, errInvalidToken
	}
	raw, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return nil, eris.Wrap(err, "decode session token")
	}
	var ss Session
	if err := json.Unmarshal(raw, &ss); err != nil {
		return nil, eris.Wrap(err, "decode session token")
	}
	return &ss, nil
}

func computeMAC(key []byte, text string) []byte {
	hs := hmac.New(sha256.New, key)
	// Writes to a hash never fail.
	_, _ = hs.Write([]byte(text))
	return hs.Sum(nil)[:macBytes]
}

// pin returns a function that finds the session's endpoint in a snapshot; nil for a session that is not pinned yet.
func (ss *Session) pin() func(*table.Snapshot) (table.InstanceID, error) {
	if ss == nil || ss.Pin.Instance == "" {
		return nil
	}
	return func(sn *table.Snapshot) (table.InstanceID, error) {
		pn, settled := sn.Follow(ss.Service, ss.ID, ss.Pin)
		if !settled {
			return "", endpoint.ErrSessionMoving
		}
		return pn.Instance, nil
	}
}
