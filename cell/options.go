package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Options holds the times and limits of a cell. Each comes from the settings or has a default.
type Options struct {
	// LeaseDuration is how long tasks keep running on a worker without a renewal of its lease. A short lease loses the tasks of workers that cannot be
	// reached for a moment. A long one delays takeovers.
	LeaseDuration time.Duration
	// RenewalWindow is how long leases are renewed after the ownership was last confirmed. The window and a lease together must be longer than an outage
	// of the store. A new owner waits for both before it restarts tasks that may be running on a worker that it cannot reach.
	RenewalWindow time.Duration
	// PollWait is the longest time that a worker delays its answer to a poll to wait for an attempt to end.
	PollWait time.Duration
	// PollInterval is the minimum time between two polls of a worker, so that one answer reports several ends.
	PollInterval time.Duration
	// SaveInterval is the minimum time between two saves, except for saves that end a job.
	SaveInterval time.Duration
	// MaxClockDrift is the fraction by which a worker's clock may run slower than the owner's.
	MaxClockDrift float64
	// EarlyStart is how long before its due time a run may start.
	EarlyStart time.Duration
	// MaxListedEnds is the maximum number of ended attempts that a worker lists at once. A list of this length may be incomplete.
	MaxListedEnds int
	// MaxStopTime is the longest time that a worker takes to stop an attempt.
	MaxStopTime time.Duration
	// DrainTime is the shortest time that a worker which leaves serves on after its registration says so or is gone.
	DrainTime time.Duration
	// RegistrationMaxAge is how long the room in a worker's registration is valid after the registration was last written.
	RegistrationMaxAge time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// RemoteFactor is the factor by which tasks take longer outside their data's rack.
	RemoteFactor float64
	// Log receives each decision. If it is nil, decisions are not logged.
	Log func(Decision)
}

// Decision is a log entry for a decision about a task or worker, with its reason.
type Decision struct {
	What    string
	Task    job.Task
	Attempt job.Attempt
	Worker  WorkerID
	Token   Token
	Why     string
	// PollAge is the time since the last poll of the worker.
	PollAge time.Duration
	// Loss is set if a worker ended while it had tasks.
	Loss *Loss
	// Verdict is set if a job fails because workers end while they run its task.
	Verdict *Verdict
	// LossCount is the number of workers that had ended while running the task when it was started.
	LossCount int
	// Wait is set in reports of waiting jobs.
	Wait *Wait
	// Stand is set in reports of one job that has stood for long.
	Stand *Stand
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
	DefaultMaxListedEnds      = 500
	DefaultDrainTime          = 2 * time.Second
	// deliveryMargin covers the time that an order takes on the network and in a slow process.
	deliveryMargin = 500 * time.Millisecond
)

// WithDefaults returns the options with defaults for the fields that are not set.
func (op Options) WithDefaults() Options {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&op.LeaseDuration, DefaultLeaseDuration)
	setDefault(&op.RenewalWindow, DefaultRenewalWindow)
	setDefault(&op.PollWait, DefaultPollWait)
	setDefault(&op.PollInterval, DefaultPollInterval)
	setDefault(&op.SaveInterval, DefaultSaveInterval)
	setDefault(&op.Retention, DefaultRetention)
	setDefault(&op.DrainTime, DefaultDrainTime)
	setDefault(&op.RegistrationMaxAge, DefaultRegistrationMaxAge)
	if op.MaxClockDrift == 0 {
		op.MaxClockDrift = DefaultMaxClockDrift
	}
	if op.MaxListedEnds == 0 {
		op.MaxListedEnds = DefaultMaxListedEnds
	}
	if op.RemoteFactor == 0 {
		op.RemoteFactor = 2
	}
	if op.Log == nil {
		op.Log = func(Decision) {}
	}
	return op
}
