package table

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// Audit is one line of the audit trail; it is written in the transaction that it tells of.
type Audit struct {
	ID      string    `json:"id"`
	At      time.Time `json:"at"`
	Actor   string    `json:"actor"`
	Action  string    `json:"action"`
	Subject string    `json:"subject"`
	Why     string    `json:"why"`
	Plan    string    `json:"plan,omitempty"`
}

// AuditWrite returns the write that adds a line to the audit trail; an empty id or time is filled in.
func AuditWrite(au Audit) (Write, error) {
	if au.ID == "" {
		au.ID = NewID()
	}
	if au.At.IsZero() {
		au.At = time.Now().UTC()
	}
	raw, err := Encode(au)
	return Write{Table: TableAudit, Key: au.At.Format("20060102T150405.000000000Z") + "." + au.ID, Value: raw}, err
}

// NewID returns a random name of 24 characters.
func NewID() string {
	var raw [12]byte
	// The system's random source does not fail.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
