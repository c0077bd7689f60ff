package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Options are the times and limits of a cell; each comes from the settings or has the default named here.
type Options struct {
	// Lease is how long what runs goes on without being heard of. It trades a lost worker's tasks (short) against a takeover's time (long).
	Lease time.Duration
	// RenewFor is how long leases are renewed after the ownership was last confirmed. With a lease added it must outlast an
	// outage of the store; a new owner waits for both before it starts again what may run on a worker that it cannot reach.
	RenewFor time.Duration
	// LookWait is the longest time that a worker holds a look's answer back for an end.
	LookWait time.Duration
	// LookGap is the least time between two looks at a worker, so that one answer carries several ends.
	LookGap time.Duration
	// SaveGap is the least time between two saves, but for those that end a job.
	SaveGap time.Duration
	// ClockSlow is how much slower than the owner's a worker's clock may run.
	ClockSlow float64
	// Early is how long before its due time a run may start.
	Early time.Duration
	// StopTime is the longest that a stop takes at a worker.
	StopTime time.Duration
	// RoomFor is how long after its registration was last written a worker is taken to have the room that it names.
	RoomFor time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// RemoteFactor is how much longer tasks take away from their data's rack.
	RemoteFactor float64
	// Log is told of each decision; nil drops them.
	Log func(Decision)
}

// Decision is one line of the log: what was decided of a task or worker, and why.
type Decision struct {
	What    string
	Task    job.Task
	Attempt job.Attempt
	Worker  WorkerID
	Token   Token
	Why     string
	// Age is how old the newest look at the worker was.
	Age time.Duration
	// Loss is set where a worker ended with tasks on it, Lost where a job is given up since workers end under it.
	Loss *Loss
	Lost []WorkerID
	// Losses is how many workers had ended under the task when it was started.
	Losses int
}

// Defaults of the options.
const (
	DefaultLease     = 5 * time.Second
	DefaultRenewFor  = 7 * time.Second
	DefaultLookWait  = time.Second
	DefaultLookGap   = 60 * time.Millisecond
	DefaultSaveGap   = 200 * time.Millisecond
	DefaultClockSlow = 0.02
	DefaultRetention = 150 * time.Second
	DefaultRoomFor   = 3500 * time.Millisecond
	// horizonMargin covers the time that an order spends on its way and in a process that is slow.
	horizonMargin = 500 * time.Millisecond
)

// WithDefaults fills what is not set.
func (op Options) WithDefaults() Options {
	set := func(at *time.Duration, to time.Duration) {
		if *at == 0 {
			*at = to
		}
	}
	set(&op.Lease, DefaultLease)
	set(&op.RenewFor, DefaultRenewFor)
	set(&op.LookWait, DefaultLookWait)
	set(&op.LookGap, DefaultLookGap)
	set(&op.SaveGap, DefaultSaveGap)
	set(&op.Retention, DefaultRetention)
	set(&op.RoomFor, DefaultRoomFor)
	if op.ClockSlow == 0 {
		op.ClockSlow = DefaultClockSlow
	}
	if op.RemoteFactor == 0 {
		op.RemoteFactor = 2
	}
	if op.Log == nil {
		op.Log = func(Decision) {}
	}
	return op
}
