// Package machine plans maintenance waves and the sizes of pools. It performs no I/O and reads no clock.
package machine

import (
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// State is the state of a machine.
type State string

// The states of a machine.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "maintenance"
	Down        State = "down"
)

// Machine is a machine as listed by the platform.
type Machine struct {
	ID     cell.MachineID
	Pool   job.PoolID
	State  State
	Hall   job.HallID
	Labels []string
	Rack   string
	Room   job.Size
	// Worker is the name of the worker on the machine in any of its incarnations; empty if there is none.
	Worker cell.WorkerName
	// CoolingDown means that an earlier duty holder may have given an order for the machine so recently that this holder gives none.
	CoolingDown bool
}

// Wave is an operator's request for the maintenance of a set of machines within a duration.
type Wave struct {
	Number   int
	Machines []cell.MachineID
	Duration time.Duration
	// MaxDown is the maximum number of machines of the wave that are down at once.
	MaxDown int
	// Version is the version of the operator's row.
	Version int64
	// KnownSince is the earliest time at which the operator can have requested the wave. If it is zero, the duration counts from when a leader learns
	// of the wave.
	KnownSince time.Time
}

// Outcome is the result of an order to a machine.
type Outcome int

// The outcomes of an order.
const (
	// NoAnswer means that the order may have been executed.
	NoAnswer Outcome = iota
	Done
	// Superseded means that a higher token has been used for the machine.
	Superseded
	// Busy means that the machine is not up, or its worker is leaving.
	Busy
	// Foreign means that the machine does not belong to the wave.
	Foreign
	// Refused means that nothing was done because of a lack of capacity.
	Refused
	// Invalid means that there is no such machine.
	Invalid
)
