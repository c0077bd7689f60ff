// Package job holds the model of jobs: steps, tasks, attempts, the queues that they come through, and what of their progress is kept.
package job

import (
	"errors"
	"fmt"
	"time"
)

// Names and numbers of jobs and their parts.
type (
	// ID names a job; its caller chooses it.
	ID string
	// QueueID names a queue, to which callers hand jobs.
	QueueID string
	// PoolID names a pool of workers.
	PoolID string
	// Attempt counts the starts of a task, from 1.
	Attempt int
	// Checkpoint is what a worker saved of a task's work; empty means nothing.
	Checkpoint string
	// Epoch orders the owners of a cell; a later owner has a higher one.
	Epoch int64
)

// State is what became of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether nothing will be done for the job any more.
func (st State) Ended() bool {
	return st == Completed || st == Failed || st == Cancelled
}

// Bounds of what a job may ask for.
const (
	// MaxSteps, MaxTasks and MaxRepeats keep a job's state within one row.
	MaxSteps   = 64
	MaxTasks   = 4096
	MaxRepeats = 10000
	// MaxPayloadBytes is the longest text, in bytes, that the tasks of a job are given.
	MaxPayloadBytes = 4000
)

// Size is what a task takes or a worker has.
type Size struct {
	// CPUMillis is thousandths of a core.
	CPUMillis int `json:"cpuMillis,omitempty"`
	// MemoryMB is mebibytes.
	MemoryMB     int `json:"memoryMb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits reports whether one size is within another.
func (sz Size) Fits(in Size) bool {
	return sz.CPUMillis <= in.CPUMillis && sz.MemoryMB <= in.MemoryMB && sz.Accelerators <= in.Accelerators
}

// Add adds two sizes.
func (sz Size) Add(other Size) Size {
	return Size{sz.CPUMillis + other.CPUMillis, sz.MemoryMB + other.MemoryMB, sz.Accelerators + other.Accelerators}
}

// Sub subtracts a size.
func (sz Size) Sub(other Size) Size {
	return Size{sz.CPUMillis - other.CPUMillis, sz.MemoryMB - other.MemoryMB, sz.Accelerators - other.Accelerators}
}

// NonNegative is the size with nothing in place of what is negative.
func (sz Size) NonNegative() Size {
	return Size{max(0, sz.CPUMillis), max(0, sz.MemoryMB), max(0, sz.Accelerators)}
}

// Max is the larger of two sizes in each figure.
func (sz Size) Max(other Size) Size {
	return Size{max(sz.CPUMillis, other.CPUMillis), max(sz.MemoryMB, other.MemoryMB), max(sz.Accelerators, other.Accelerators)}
}

// Min is the smaller of two sizes in each figure.
func (sz Size) Min(other Size) Size {
	return Size{min(sz.CPUMillis, other.CPUMillis), min(sz.MemoryMB, other.MemoryMB), min(sz.Accelerators, other.Accelerators)}
}

// Mul is a multiple of the size.
func (sz Size) Mul(count int) Size {
	return Size{sz.CPUMillis * count, sz.MemoryMB * count, sz.Accelerators * count}
}

// Div is a part of the size, rounded down.
func (sz Size) Div(parts int) Size {
	return Size{sz.CPUMillis / parts, sz.MemoryMB / parts, sz.Accelerators / parts}
}

// Step is a stage of a job: a number of equal tasks.
type Step struct {
	Count    int           `json:"count"`
	Size     Size          `json:"size"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the earlier steps whose tasks must all be done first.
	DependsOn     []int `json:"dependsOn,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	// Gang means that the tasks work only together.
	Gang bool `json:"gang,omitempty"`
	// RackLocal means that a gang is slower when it is spread over racks.
	RackLocal bool `json:"rackLocal,omitempty"`
	// Label is one that the worker must have; empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack outside of which the tasks are slower; empty for none.
	DataRack string `json:"dataRack,omitempty"`
	// SpreadLimit is the most tasks of the step that one worker may hold; 0 for any number.
	SpreadLimit int `json:"spreadLimit,omitempty"`
	// Speculative means that copies of a task may run side by side.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyObjective is what the tail of a serving task's answers is to stay below; 0 for a step that serves nobody.
	LatencyObjective time.Duration `json:"latencyObjective,omitempty"`
	// BestEffort means that the step's processors are not counted: it gets what others leave.
	BestEffort bool `json:"bestEffort,omitempty"`
	// DisruptionBudget is how many tasks may be away at once by the system's doing.
	DisruptionBudget int `json:"disruptionBudget,omitempty"`
	// HasDisruptionBudget tells a budget of 0 from none.
	HasDisruptionBudget bool `json:"budgeted,omitempty"`
}

// ResourceRequest is what one task of the step counts for on a worker.
func (st *Step) ResourceRequest() Size {
	room := st.Size
	if st.BestEffort {
		room.CPUMillis = 0
	}
	return room
}

// Spec is a job as its caller handed it in.
type Spec struct {
	ID    ID      `json:"id"`
	Queue QueueID `json:"queue"`
	Pool  PoolID  `json:"pool"`
	// Organisation is whose caller handed it in; empty for a call without a key.
	Organisation OrganisationID `json:"organisation,omitempty"`
	// Payload is given to every task.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repeats is how often the steps run at due times; 0 means once, at once.
	Repeats int `json:"repeats,omitempty"`
	// FirstDue is the due time of the first repeat.
	FirstDue time.Time     `json:"firstDue,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// AcceptedAt is the clock of the entry instance that accepted it.
	AcceptedAt time.Time `json:"acceptedAt"`
	// Epoch is that of the cell's owner as the accepting entry instance knew it; an owner with a lower one must not start the job.
	Epoch Epoch `json:"epoch,omitempty"`
	// Acceptor is where the entry instance that accepted it is reached by others; it has the payload for a while.
	Acceptor string `json:"acceptor,omitempty"`
}

// RunCount is how many times the steps run.
func (sp *Spec) RunCount() int {
	return max(1, sp.Repeats)
}

// HasSchedule reports whether the job runs at due times.
func (sp *Spec) HasSchedule() bool {
	return sp.Repeats > 0
}

// DueTime returns the due time of a run; zero for a job without due times.
func (sp *Spec) DueTime(run int) time.Time {
	if !sp.HasSchedule() {
		return time.Time{}
	}
	return sp.FirstDue.Add(time.Duration(run) * sp.Interval)
}

// ErrInvalidSpec says that a job cannot be what its caller meant.
var ErrInvalidSpec = errors.New("the job is not well formed")

// Validate reports the first fault of a job.
func (sp *Spec) Validate() error {
	switch {
	case len(sp.Steps) == 0 || len(sp.Steps) > MaxSteps:
		return fmt.Errorf("%w: %d steps, 1 to %d are allowed", ErrInvalidSpec, len(sp.Steps), MaxSteps)
	case len(sp.Payload) > MaxPayloadBytes:
		return fmt.Errorf("%w: the payload has %d bytes, %d are allowed", ErrInvalidSpec, len(sp.Payload), MaxPayloadBytes)
	case sp.Repeats < 0 || sp.Repeats > MaxRepeats:
		return fmt.Errorf("%w: %d repeats, 0 to %d are allowed", ErrInvalidSpec, sp.Repeats, MaxRepeats)
	case sp.Interval < 0:
		return fmt.Errorf("%w: the interval is negative", ErrInvalidSpec)
	}
	tasks := 0
	for at, st := range sp.Steps {
		if err := st.validate(at); err != nil {
			return err
		}
		tasks += st.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, %d are allowed", ErrInvalidSpec, tasks, MaxTasks)
	}
	return nil
}

func (st *Step) validate(at int) error {
	if st.Count < 1 || st.Count > MaxTasks {
		return fmt.Errorf("%w: step %d has %d tasks, 1 to %d are allowed", ErrInvalidSpec, at, st.Count, MaxTasks)
	}
	if st.Size.CPUMillis < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0 || st.SpreadLimit < 0 || st.DisruptionBudget < 0 {
		return fmt.Errorf("%w: step %d has a negative number", ErrInvalidSpec, at)
	}
	for _, on := range st.DependsOn {
		if on < 0 || on >= at {
			return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier one", ErrInvalidSpec, at, on)
		}
	}
	return nil
}

// Task names one task of a job.
type Task struct {
	Job ID
	// Run counts the due times from 0; Step and Index count from 0, too.
	Run   int
	Step  int
	Index int
}

// Advice says how a queue's placements are approved by the advice service.
type Advice struct {
	// DecisionTime and Each are how long an answer takes, at all and for each worker named.
	DecisionTime  time.Duration
	PerWorkerTime time.Duration
	// ValidFor is how long a ticket holds.
	ValidFor time.Duration
}

// Queue is where callers hand in jobs of one kind.
type Queue struct {
	ID   QueueID
	Host string
	// PathPrefix is the path under which jobs are handed in; the job's id follows it.
	PathPrefix string
	Pool       PoolID
	Priority   int
	// MaxAttempts is how many failed attempts of a task fail its job.
	MaxAttempts int
	// Stretch and Slack give the objective: Stretch times the longest chain of work, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advice is nil where placements need no approval.
	Advice *Advice
	// Public means that calls need no key.
	Public bool
}

// Pool is a service's set of machines.
type Pool struct {
	ID PoolID
	// Reserve means that its machines are switched off and cost nothing.
	Reserve bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is what the operator has put in force.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Organisations is nil where the operator names none; then no call needs a key.
	Organisations *Directory
}

// CallerOrganisation returns whose call it is that came to a queue with a key. Where the operator names no organisations, no call needs one.
func (cf *Configuration) CallerOrganisation(qu *Queue, text string) (OrganisationID, error) {
	if cf.Organisations == nil {
		return "", nil
	}
	return cf.Organisations.CallerOrganisation(qu, text)
}

// Queue returns a queue by its name, nil if there is none.
func (cf *Configuration) Queue(id QueueID) *Queue {
	for at := range cf.Queues {
		if cf.Queues[at].ID == id {
			return &cf.Queues[at]
		}
	}
	return nil
}

// Route returns the queue with the longest prefix that the path starts with, nil if there is none.
func (cf *Configuration) Route(host, path string) *Queue {
	var best *Queue
	for at := range cf.Queues {
		qu := &cf.Queues[at]
		if qu.Host != host || len(path) < len(qu.PathPrefix) || path[:len(qu.PathPrefix)] != qu.PathPrefix {
			continue
		}
		if best == nil || len(qu.PathPrefix) > len(best.PathPrefix) {
			best = qu
		}
	}
	return best
}
