package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Options are the times and limits of a cell; each comes from the settings or has the default named here.
type Options struct {
	// LeaseDuration is how long what runs goes on without being heard of. It trades a lost worker's tasks (short) against a takeover's time (long).
	LeaseDuration time.Duration
	// RenewalWindow is how long leases are renewed after the ownership was last confirmed. With a lease added it must outlast an
	// outage of the store; a new owner waits for both before it starts again what may run on a worker that it cannot reach.
	RenewalWindow time.Duration
	// PollWait is the longest time that a worker holds a look's answer back for an end.
	PollWait time.Duration
	// PollInterval is the least time between two looks at a worker, so that one answer carries several ends.
	PollInterval time.Duration
	// SaveInterval is the least time between two saves, but for those that end a job.
	SaveInterval time.Duration
	// MaxClockDrift is how much slower than the owner's a worker's clock may run.
	MaxClockDrift float64
	// EarlyStart is how long before its due time a run may start.
	EarlyStart time.Duration
	// StopTimeout is the longest that a stop takes at a worker.
	StopTimeout time.Duration
	// RegistrationMaxAge is how long after its registration was last written a worker is taken to have the room that it names.
	RegistrationMaxAge time.Duration
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
	// PollAge is how old the newest look at the worker was.
	PollAge time.Duration
	// Loss is set where a worker ended with tasks on it, Lost where a job is given up since workers end under it.
	Loss        *Loss
	LostWorkers []WorkerID
	// LossCount is how many workers had ended under the task when it was started.
	LossCount int
}

// Defaults of the options.
const (
	DefaultLeaseDuration      = 5 * time.Second
	DefaultRenewalWindow      = 7 * time.Second
	DefaultPollWait           = time.Second
	DefaultPollInterval       = 60 * time.Millisecond
	DefaultSaveInterval       = 200 * time.Millisecond
	DefaultMaxClockDrift      = 0.02
	DefaultRetention          = 150 * time.Second
	DefaultRegistrationMaxAge = 3500 * time.Millisecond
	// deliveryMargin covers the time that an order spends on its way and in a process that is slow.
	deliveryMargin = 500 * time.Millisecond
)

// WithDefaults fills what is not set.
func (op Options) WithDefaults() Options {
	set := func(at *time.Duration, to time.Duration) {
		if *at == 0 {
			*at = to
		}
	}
	set(&op.LeaseDuration, DefaultLeaseDuration)
	set(&op.RenewalWindow, DefaultRenewalWindow)
	set(&op.PollWait, DefaultPollWait)
	set(&op.PollInterval, DefaultPollInterval)
	set(&op.SaveInterval, DefaultSaveInterval)
	set(&op.Retention, DefaultRetention)
	set(&op.RegistrationMaxAge, DefaultRegistrationMaxAge)
	if op.MaxClockDrift == 0 {
		op.MaxClockDrift = DefaultMaxClockDrift
	}
	if op.RemoteFactor == 0 {
		op.RemoteFactor = 2
	}
	if op.Log == nil {
		op.Log = func(Decision) {}
	}
	return op
}
