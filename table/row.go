package table

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// InstanceState is where an instance stands between pools.
type InstanceState string

// The states of an instance, in the order of a move.
const (
	InstanceServing InstanceState = "serving"
	InstanceLeaving InstanceState = "leaving"
	InstanceIdle    InstanceState = "idle"
	InstanceJoining InstanceState = "joining"
)

// Instance is the one row of a worker; its pool is a field, so it is in one pool at any moment.
type Instance struct {
	ID       InstanceID    `json:"id"`
	Hall     HallID        `json:"hall"`
	Rack     RackID        `json:"rack"`
	Pool     PoolID        `json:"pool"`
	Address  string        `json:"address"`
	State    InstanceState `json:"state"`
	Epoch    Epoch         `json:"epoch"`
	Services []ServiceID   `json:"services"`
	// Hold is set while a plan works on the instance.
	Hold *Hold `json:"hold,omitempty"`
	// Done is the last plan that finished with the instance.
	Done PlanID `json:"done,omitempty"`
}

// PlanID names a plan.
type PlanID string

// Phase is how far a plan has come with an instance.
type Phase string

// The phases, in their order.
const (
	// PhaseClosing takes no new sessions and lets open ones end by themselves.
	PhaseClosing Phase = "closing"
	// PhaseLeaving takes no new work; its sessions have successors.
	PhaseLeaving Phase = "leaving"
	// PhaseDrained is leaving, and the worker itself refuses new work.
	PhaseDrained Phase = "drained"
	// PhaseStopped was stopped by the platform on the plan's behalf.
	PhaseStopped Phase = "stopped"
)

// Hold is a plan's claim on an instance.
type Hold struct {
	Plan  PlanID    `json:"plan"`
	Phase Phase     `json:"phase"`
	Since time.Time `json:"since"`
	// Entries are the entry instances that were listed when the instance began to leave.
	Entries []InstanceID `json:"entries,omitempty"`
}

// Closing reports whether the instance takes no new sessions.
func (in *Instance) Closing() bool {
	return in.Hold != nil && in.Hold.Phase == PhaseClosing
}

// Service is the row of a service: how its endpoints may be used, and its availability budget.
type Service struct {
	ID ServiceID `json:"id"`
	// Slots is how many requests one endpoint works on at a time.
	Slots int `json:"slots"`
	// Connections is how many connections one endpoint accepts.
	Connections int `json:"connections"`
	// Echo says that its endpoints return the attempt id; only then are connections used again.
	Echo bool `json:"echo"`
	// Asked is the number of instances the service is meant to have.
	Asked int `json:"asked"`
	// Budget is the number of instances that may be out of service at once.
	Budget int `json:"budget"`
	// Disrupted lists the instances that plans have taken out of service.
	Disrupted []InstanceID `json:"disrupted,omitempty"`
	// Down lists the instances that were seen down while a plan was under way; a decision made before that conflicts.
	Down []InstanceID `json:"down,omitempty"`
}

// Pin names an instance at one epoch; what is bound to it ends or moves when the epoch does.
type Pin struct {
	Instance InstanceID `json:"instance"`
	Epoch    Epoch      `json:"epoch"`
}

// Pool is the row of a pool: what the instances in it run.
type Pool struct {
	ID       PoolID      `json:"id"`
	Services []ServiceID `json:"services"`
}

// Move names the successors of an instance that left serving at an epoch; sessions pinned to it follow.
type Move struct {
	Pin
	// Successors lists for each service where its sessions go.
	Successors map[ServiceID][]Pin `json:"successors"`
}

// MoveKey returns the key of the move row of a pin.
func MoveKey(pn Pin) string {
	return fmt.Sprintf("%s.%d", pn.Instance, pn.Epoch)
}

// Encode returns a row value as JSON.
func Encode(value any) (json.RawMessage, error) {
	raw, err := json.Marshal(value)
	return raw, eris.Wrap(err, "encode row")
}

// Decode reads a row value from JSON.
func Decode[T any](rw Row) (T, error) {
	var value T
	err := json.Unmarshal(rw.Value, &value)
	return value, eris.Wrapf(err, "decode row %s/%s", rw.Table, rw.Key)
}
