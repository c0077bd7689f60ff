package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/rotisserie/eris"
)

const (
	macBytes       = 16
	maxTokenLength = 1024
)

// errToken says that a session token was not made by this fleet.
var errToken = errors.New("session token is not of this fleet")

// Session is an open session; its token holds all of it, so that any entry instance knows it at once.
type Session struct {
	ID      string             `json:"id"`
	Service platform.ServiceID `json:"service"`
	// Pin is where the session was when the token was made.
	Pin platform.Pin `json:"pin"`
}

// Signer makes and checks session tokens.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer that signs with the first key and accepts all.
func NewSigner(keys ...string) *Signer {
	sg := &Signer{}
	for _, key := range keys {
		sg.keys = append(sg.keys, []byte(key))
	}
	return sg
}

// Token returns the session's token.
func (sg *Signer) Token(ss Session) string {
	raw, err := json.Marshal(ss)
	if err != nil {
		// Strings and numbers always encode.
		return ""
	}
	payload := base64.RawURLEncoding.EncodeToString(raw)
	return payload + "." + base64.RawURLEncoding.EncodeToString(mac(sg.keys[0], payload))
}

// Open returns the session of a token.
func (sg *Signer) Open(token string) (*Session, error) {
	payload, tag, found := strings.Cut(token, ".")
	if !found || len(token) > maxTokenLength {
		return nil, errToken
	}
	sum, err := base64.RawURLEncoding.DecodeString(tag)
	if err != nil || !sg.signed(payload, sum) {
		return nil, errToken
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

func (sg *Signer) signed(payload string, sum []byte) bool {
	for _, key := range sg.keys {
		if hmac.Equal(sum, mac(key, payload)) {
			return true
		}
	}
	return false
}

func mac(key []byte, payload string) []byte {
	hs := hmac.New(sha256.New, key)
	// A hash never fails to take bytes.
	_, _ = hs.Write([]byte("session\x00" + payload))
	return hs.Sum(nil)[:macBytes]
}

// pin returns the function that finds the session's endpoint in a snapshot; nil for a session that is not bound yet.
func (ss *Session) pin() func(*platform.Snapshot) (platform.InstanceID, error) {
	if ss == nil || ss.Pin.Instance == "" {
		return nil
	}
	return func(sn *platform.Snapshot) (platform.InstanceID, error) {
		pn, settled := sn.Follow(ss.Service, ss.ID, ss.Pin)
		if !settled {
			return "", endpoint.ErrSessionMoving
		}
		return pn.Instance, nil
	}
}
