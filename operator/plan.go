package operator

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Kind is the kind of an intent.
type Kind string

// The kinds of intents.
const (
	// KindReboot takes instances out of service wave by wave, reboots them and puts them back.
	KindReboot Kind = "reboot"
	// KindDrain takes instances out of service, stops them and leaves them idle.
	KindDrain Kind = "drain"
	// KindMove moves instances to another pool.
	KindMove Kind = "move"
	// KindReturn puts idle instances back into service.
	KindReturn Kind = "return"
)

// Intent is an operator's request for a change to a set of instances.
type Intent struct {
	Kind Kind `json:"kind"`
	// Instances, Racks, Pools and Halls select the targets. An instance is a target if any of them selects it.
	Instances []table.InstanceID `json:"instances,omitempty"`
	Racks     []table.RackID     `json:"racks,omitempty"`
	Pools     []table.PoolID     `json:"pools,omitempty"`
	Halls     []table.HallID     `json:"halls,omitempty"`
	// ToPool is the destination of KindMove.
	ToPool table.PoolID `json:"toPool,omitempty"`
	// Why is recorded in the audit trail.
	Why string `json:"why"`
}

// PlanStatus is the status of a plan.
type PlanStatus string

// The statuses of a plan.
const (
	PlanProposed PlanStatus = "proposed"
	PlanRunning  PlanStatus = "running"
	PlanPaused   PlanStatus = "paused"
	// PlanAborting plans return the instances that they hold to a safe state.
	PlanAborting PlanStatus = "aborting"
	PlanAborted  PlanStatus = "aborted"
	PlanDone     PlanStatus = "done"
)

// ended reports whether no further steps will be taken for the plan.
func (ps PlanStatus) ended() bool {
	return ps == PlanAborted || ps == PlanDone
}

// active reports whether the plan may hold instances.
func (ps PlanStatus) active() bool {
	return ps == PlanRunning || ps == PlanPaused || ps == PlanAborting
}

// Plan is the row of a plan. The progress of each instance is stored in the instance's own row.
type Plan struct {
	ID            table.PlanID   `json:"id"`
	Intent        Intent         `json:"intent"`
	Author        Name           `json:"author"`
	CreatedAt     time.Time      `json:"createdAt"`
	Status        PlanStatus     `json:"status"`
	Strategy      Strategy       `json:"strategy"`
	Waves         []Wave         `json:"waves"`
	Estimate      Estimate       `json:"estimate"`
	BudgetImpacts []BudgetImpact `json:"touches"`
	// Preconditions is the state of the fleet on which the plan was based.
	Preconditions []Precondition `json:"base"`
	// version is the version of the row from which the plan was decoded. A decision about the plan is valid only while the row has this version.
	version table.Version
}

// Wave is a set of instances that are out of service at the same time.
type Wave struct {
	Instances []table.InstanceID `json:"instances"`
	// AwaitSessionEnd says that the wave waits until its sessions have ended, since sessions that move now would have to move again.
	AwaitSessionEnd bool `json:"naturalOnly,omitempty"`
}

// Strategy determines how a plan balances moved sessions, spare instances and time.
type Strategy struct {
	// Parallel is the maximum number of instances out of service at the same time.
	Parallel int `json:"parallel"`
	// CloseMs is the time during which an instance takes no new sessions before its open sessions are moved, in milliseconds.
	CloseMs int64 `json:"closeMs"`
}

// closeDuration returns the time during which sessions may end before they are moved.
func (sg Strategy) closeDuration() time.Duration {
	return time.Duration(sg.CloseMs) * time.Millisecond
}

// Estimate is the expected cost of a plan.
type Estimate struct {
	// Moves is the number of sessions that will move.
	Moves int `json:"moves"`
	// BufferPeak is the maximum number of instances out of use at the same time. BufferHours is the sum of unused instance hours.
	BufferPeak  int     `json:"bufferPeak"`
	BufferHours float64 `json:"bufferHours"`
	// DurationMs is the expected duration in milliseconds.
	DurationMs int64 `json:"lengthMs"`
}

// BudgetImpact is how much of a service's disruption budget a plan uses.
type BudgetImpact struct {
	Service table.ServiceID `json:"service"`
	Asked   int             `json:"asked"`
	Budget  int             `json:"budget"`
	// MaxOut is the maximum number of the service's instances out at the same time, including those that are out already.
	MaxOut int `json:"mostOut"`
}

// Precondition is a state of the fleet on which a plan depends.
type Precondition struct {
	Subject string `json:"subject"`
	Value   string `json:"value"`
}

// PlanLease avoids duplicate work among executors and records why the plan waits. Correctness does not depend on it.
type PlanLease struct {
	Plan        table.PlanID      `json:"plan"`
	Holder      table.InstanceID  `json:"holder"`
	Incarnation table.Incarnation `json:"incarnation"`
	Until       time.Time         `json:"until"`
	Waiting     []string          `json:"waiting,omitempty"`
	// version is the version of the row from which the lease was decoded, or 0 if there was none.
	version table.Version
}

// has reports whether the plan includes an instance.
func (pn *Plan) has(id table.InstanceID) bool {
	for _, wv := range pn.Waves {
		if slices.Contains(wv.Instances, id) {
			return true
		}
	}
	return false
}

// instances returns all instances of the plan in the order of its waves.
func (pn *Plan) instances() []table.InstanceID {
	var all []table.InstanceID
	for _, wv := range pn.Waves {
		all = append(all, wv.Instances...)
	}
	return all
}
