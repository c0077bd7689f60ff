// Package table speaks to the platform's table, object store and membership, and holds the snapshot that requests are served from.
package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Names of things that the platform keeps.
type (
	// InstanceID names an instance: a worker or an entry instance.
	InstanceID string
	// HallID names a data hall.
	HallID string
	// RackID names a rack.
	RackID string
	// PoolID names a pool of instances.
	PoolID string
	// ServiceID names a service.
	ServiceID string
	// Version orders all writes of the table; 0 means that a row is absent.
	Version uint64
	// Epoch counts how often an instance has left serving.
	Epoch uint64
	// TableName names a table.
	TableName string
	// Incarnation tells one run of an entry instance from the next.
	Incarnation string
)

// The tables.
const (
	TableInstance TableName = "instance"
	TableService  TableName = "service"
	TablePool     TableName = "pool"
	TableMove     TableName = "move"
	TableSetting  TableName = "setting"
	TablePlan     TableName = "plan"
	TableClaim    TableName = "claim"
	TableAudit    TableName = "audit"
	TableLease    TableName = "lease"
)

// Row is one row as the table returns it; a deleted row has a version and no value.
type Row struct {
	Table   TableName       `json:"table"`
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Write is one conditional change; it holds only while the row is at IfVersion, and 0 inserts.
type Write struct {
	Table     TableName       `json:"table"`
	Key       string          `json:"key"`
	IfVersion Version         `json:"ifVersion"`
	Value     json.RawMessage `json:"value,omitempty"`
	Delete    bool            `json:"delete,omitempty"`
	// Check leaves the row as it is and only tests its version.
	Check bool `json:"check,omitempty"`
}

// Tx is a group of writes that take effect together or not at all.
type Tx struct {
	Writes []Write `json:"writes"`
}

// Changes is what the table's change feed returns for some tables.
type Changes struct {
	Version Version `json:"version"`
	Rows    []Row   `json:"rows"`
}

// Member is one line of the platform's membership, which lags behind reality.
type Member struct {
	ID InstanceID `json:"id"`
	// Role is entry or worker.
	Role Role `json:"role"`
	// State is live or leaving.
	State MemberState `json:"state"`
	Hall  HallID      `json:"hall"`
	// Address is the peer listener of an entry instance; workers leave it empty.
	Address string `json:"address,omitempty"`
}

// Role tells entry instances from workers.
type Role string

// MemberState is the membership's word on an instance.
type MemberState string

// Roles and states of members.
const (
	RoleEntry     Role        = "entry"
	RoleWorker    Role        = "worker"
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Usage is what the platform last heard of a worker's use; it lags behind reality.
type Usage struct {
	Instance InstanceID `json:"instance"`
	// Sessions counts open sessions by service.
	Sessions map[ServiceID]int `json:"sessions"`
}

// Action is something that the platform does to an instance.
type Action string

// The actions.
const (
	// ActionDrain makes the worker refuse new work by its published word.
	ActionDrain Action = "drain"
	// ActionReboot stops the worker and starts it again.
	ActionReboot Action = "reboot"
	// ActionStop stops the worker.
	ActionStop Action = "stop"
	// ActionAccept ends a drain.
	ActionAccept Action = "accept"
)

// Table reads and changes rows.
type Table interface {
	Get(ctx context.Context, table TableName, key string) (Row, error)
	Commit(ctx context.Context, tx Tx) (Version, error)
	Changes(ctx context.Context, since Version, tables []TableName) (Changes, error)
}

// Errors of the table.
var (
	// ErrAbsent says that the row does not exist.
	ErrAbsent = errors.New("row absent")
	// ErrNotApplied says that a call had no effect and never will.
	ErrNotApplied = errors.New("not applied")
	// ErrLost says that a call may have taken effect, now or later.
	ErrLost = errors.New("answer lost")
	// ErrNoTask means that a worker was asked to renew the lease of an attempt that it does not know.
	ErrNoTask = errors.New("no such attempt")
)

// ConflictError names the rows whose version was another than the condition's; nothing was applied.
type ConflictError struct {
	Rows []Row
}

// Error returns the keys in conflict.
func (ce *ConflictError) Error() string {
	keys := make([]string, len(ce.Rows))
	for ix, rw := range ce.Rows {
		keys[ix] = fmt.Sprintf("%s/%s at version %d", rw.Table, rw.Key, rw.Version)
	}
	return fmt.Sprintf("conflict on %v", keys)
}

// Unwrap makes a conflict count as not applied.
func (ce *ConflictError) Unwrap() error {
	return ErrNotApplied
}
