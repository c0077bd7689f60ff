package operator

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Kind says what an operator wants done to instances.
type Kind string

// The kinds of intents.
const (
	// KindReboot takes instances out of service one wave after the other, reboots them and puts them back.
	KindReboot Kind = "reboot"
	// KindDrain takes instances out of service and leaves them idle and stopped.
	KindDrain Kind = "drain"
	// KindMove takes instances to another pool.
	KindMove Kind = "move"
	// KindReturn puts idle instances back into service.
	KindReturn Kind = "return"
)

// Intent is what an operator wants.
type Intent struct {
	Kind Kind `json:"kind"`
	// Instances, Racks, Pools and Halls name the targets; an instance named by any is one.
	Instances []table.InstanceID `json:"instances,omitempty"`
	Racks     []table.RackID     `json:"racks,omitempty"`
	Pools     []table.PoolID     `json:"pools,omitempty"`
	Halls     []table.HallID     `json:"halls,omitempty"`
	// ToPool is where KindMove takes them.
	ToPool table.PoolID `json:"toPool,omitempty"`
	// Why stands in the audit trail.
	Why string `json:"why"`
}

// PlanStatus is how far a plan has come.
type PlanStatus string

// The states of a plan.
const (
	PlanProposed PlanStatus = "proposed"
	PlanRunning  PlanStatus = "running"
	PlanPaused   PlanStatus = "paused"
	// PlanAborting brings the instances that it holds back to a safe state.
	PlanAborting PlanStatus = "aborting"
	PlanAborted  PlanStatus = "aborted"
	PlanDone     PlanStatus = "done"
)

// ended reports whether nothing will be done for the plan any more.
func (ps PlanStatus) ended() bool {
	return ps == PlanAborted || ps == PlanDone
}

// active reports whether the plan may hold instances.
func (ps PlanStatus) active() bool {
	return ps == PlanRunning || ps == PlanPaused || ps == PlanAborting
}

// Plan is the row of a plan; what is done with each instance stands in the instance's own row.
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
	// Preconditions is what the plan was made from.
	Preconditions []Precondition `json:"base"`
	// version is that of the row which the plan was decoded from; whatever is decided from the plan holds only while the row is at it.
	version table.Version
}

// Wave is the instances that are out of service together.
type Wave struct {
	Instances []table.InstanceID `json:"instances"`
	// AwaitSessionEnd says that sessions cannot be moved without moving them again, so that the wave waits until they have ended.
	AwaitSessionEnd bool `json:"naturalOnly,omitempty"`
}

// Strategy is how a plan trades moves, buffer and time.
type Strategy struct {
	// Parallel is the most instances out of service at once.
	Parallel int `json:"parallel"`
	// CloseMs is how long an instance takes no new sessions before its open ones are moved, in milliseconds.
	CloseMs int64 `json:"closeMs"`
}

// closeDuration returns the time for natural ends.
func (sg Strategy) closeDuration() time.Duration {
	return time.Duration(sg.CloseMs) * time.Millisecond
}

// Estimate is what a plan is expected to cost.
type Estimate struct {
	// Moves is the number of sessions that will move.
	Moves int `json:"moves"`
	// BufferPeak is the most instances out of use at once; BufferHours sums the unused hours of instances.
	BufferPeak  int     `json:"bufferPeak"`
	BufferHours float64 `json:"bufferHours"`
	// DurationMs is the expected length in milliseconds.
	DurationMs int64 `json:"lengthMs"`
}

// BudgetImpact is how close a plan comes to a service's budget.
type BudgetImpact struct {
	Service table.ServiceID `json:"service"`
	Asked   int             `json:"asked"`
	Budget  int             `json:"budget"`
	// MaxOut is the most instances of the service that are out at once, those already out among them.
	MaxOut int `json:"mostOut"`
}

// Precondition is something that a plan relies on.
type Precondition struct {
	Subject string `json:"subject"`
	Value   string `json:"value"`
}

// PlanLease saves work among executors and says what the plan waits for; no promise rests on it.
type PlanLease struct {
	Plan        table.PlanID      `json:"plan"`
	Holder      table.InstanceID  `json:"holder"`
	Incarnation table.Incarnation `json:"incarnation"`
	Until       time.Time         `json:"until"`
	Waiting     []string          `json:"waiting,omitempty"`
	// version is that of the row which the lease was decoded from; 0 if there was none.
	version table.Version
}

// has reports whether the plan works on an instance.
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
