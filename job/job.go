// Package job defines jobs with their steps, tasks and attempts, the queues they are submitted to, and the stored form of their progress.
package job

import (
	"errors"
	"fmt"
	"time"
)

// Identifiers of jobs and their parts.
type (
	// ID identifies a job. It is chosen by the caller.
	ID string
	// QueueID identifies a queue that callers submit jobs to.
	QueueID string
	// PoolID identifies a pool of workers.
	PoolID string
	// HallID identifies a data hall.
	HallID string
	// Attempt numbers the starts of a task, from 1.
	Attempt int
	// Checkpoint refers to the saved work of a task; empty if nothing was saved.
	Checkpoint string
	// Epoch orders the owners of a cell. A later owner has a higher epoch.
	Epoch int64
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (st State) Ended() bool {
	return st == Completed || st == Failed || st == Cancelled
}

// Limits of a job.
const (
	// MaxSteps, MaxTasks and MaxRepeats limit the state of a job, together with MaxProgressBytes.
	MaxSteps   = 64
	MaxTasks   = 4096
	MaxRepeats = 10000
	// MaxPayloadBytes is the maximum length of the payload that the tasks of a job receive.
	MaxPayloadBytes = 4000
)

// Size is an amount of resources that a task takes or a worker has.
type Size struct {
	// CPUMillis is in thousandths of a core.
	CPUMillis int `json:"cpuMillis,omitempty"`
	// MemoryMB is in mebibytes.
	MemoryMB     int `json:"memoryMb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits reports whether the size is within a limit.
func (sz Size) Fits(limit Size) bool {
	return sz.CPUMillis <= limit.CPUMillis && sz.MemoryMB <= limit.MemoryMB && sz.Accelerators <= limit.Accelerators
}

// Add returns the sum of two sizes.
func (sz Size) Add(other Size) Size {
	return Size{sz.CPUMillis + other.CPUMillis, sz.MemoryMB + other.MemoryMB, sz.Accelerators + other.Accelerators}
}

// Sub returns the size less another.
func (sz Size) Sub(other Size) Size {
	return Size{sz.CPUMillis - other.CPUMillis, sz.MemoryMB - other.MemoryMB, sz.Accelerators - other.Accelerators}
}

// NonNegative returns the size with negative resources set to 0.
func (sz Size) NonNegative() Size {
	return Size{max(0, sz.CPUMillis), max(0, sz.MemoryMB), max(0, sz.Accelerators)}
}

// Max returns the larger of two sizes for each resource.
func (sz Size) Max(other Size) Size {
	return Size{max(sz.CPUMillis, other.CPUMillis), max(sz.MemoryMB, other.MemoryMB), max(sz.Accelerators, other.Accelerators)}
}

// Min returns the smaller of two sizes for each resource.
func (sz Size) Min(other Size) Size {
	return Size{min(sz.CPUMillis, other.CPUMillis), min(sz.MemoryMB, other.MemoryMB), min(sz.Accelerators, other.Accelerators)}
}

// Mul returns the size multiplied by a count.
func (sz Size) Mul(count int) Size {
	return Size{sz.CPUMillis * count, sz.MemoryMB * count, sz.Accelerators * count}
}

// Div returns the size divided into parts, rounded down.
func (sz Size) Div(parts int) Size {
	return Size{sz.CPUMillis / parts, sz.MemoryMB / parts, sz.Accelerators / parts}
}

// Step is a stage of a job. It consists of identical tasks.
type Step struct {
	Count    int           `json:"count"`
	Size     Size          `json:"size"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the earlier steps that must be done before this one starts.
	DependsOn     []int `json:"dependsOn,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	// Gang means that the tasks only work if all of them run at the same time.
	Gang bool `json:"gang,omitempty"`
	// RackLocal means that a gang is slower when it is spread over several racks.
	RackLocal bool `json:"rackLocal,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data of the tasks, which are slower elsewhere; empty for none.
	DataRack string `json:"dataRack,omitempty"`
	// SpreadLimit is the maximum number of the step's tasks on one worker; 0 for no limit.
	SpreadLimit int `json:"spreadLimit,omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyObjective is the limit for the tail latency of a serving task; 0 for a step that serves no requests.
	LatencyObjective time.Duration `json:"latencyObjective,omitempty"`
	// BestEffort means that the step reserves no CPU and runs on what other tasks leave unused.
	BestEffort bool `json:"bestEffort,omitempty"`
	// DisruptionBudget is the maximum number of tasks that the system may take down at the same time.
	DisruptionBudget int `json:"disruptionBudget,omitempty"`
	// HasDisruptionBudget distinguishes a budget of 0 from no budget.
	HasDisruptionBudget bool `json:"budgeted,omitempty"`
}

// ResourceRequest returns the resources that one task of the step reserves on a worker.
func (st *Step) ResourceRequest() Size {
	room := st.Size
	if st.BestEffort {
		room.CPUMillis = 0
	}
	return room
}

// Spec is a job as submitted by its caller.
type Spec struct {
	ID    ID      `json:"id"`
	Queue QueueID `json:"queue"`
	Pool  PoolID  `json:"pool"`
	// Organisation is the organisation of the caller; empty if the job was submitted without a key.
	Organisation OrganisationID `json:"organisation,omitempty"`
	// Payload is passed to every task.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repeats is the number of scheduled runs; 0 for one run that starts immediately.
	Repeats int `json:"repeats,omitempty"`
	// FirstDue is the due time of the first run.
	FirstDue time.Time `json:"firstDue,omitzero"`
	// Interval is the time between the due times of two runs.
	Interval time.Duration `json:"interval,omitempty"`
	// AcceptedAt is when the job was accepted, by the clock of the accepting entry instance.
	AcceptedAt time.Time `json:"acceptedAt"`
	// Epoch is the epoch of the cell's owner known to the accepting entry instance. An owner with a lower epoch must not start the job.
	Epoch Epoch `json:"epoch,omitempty"`
	// Acceptor is the address at which other instances reach the accepting entry instance, which caches the payload for a while.
	Acceptor string `json:"acceptor,omitempty"`
	// Policy is the policy of the queue when the job was accepted. It applies once the queue is no longer configured. Rows of former versions
	// have none.
	Policy *Policy `json:"policy,omitempty"`
}

// Policy is what a queue lays down for its jobs. The fields are those of Queue.
type Policy struct {
	Host        string        `json:"host,omitempty"`
	PathPrefix  string        `json:"path,omitempty"`
	Priority    int           `json:"priority,omitempty"`
	MaxAttempts int           `json:"maxAttempts,omitempty"`
	Stretch     float64       `json:"stretch,omitempty"`
	Slack       time.Duration `json:"slack,omitempty"`
	Advice      *Advice       `json:"advice,omitempty"`
}

// RunCount returns how many times the steps run.
func (sp *Spec) RunCount() int {
	return max(1, sp.Repeats)
}

// HasSchedule reports whether the runs of the job have due times.
func (sp *Spec) HasSchedule() bool {
	return sp.Repeats > 0
}

// DueTime returns the due time of a run, or zero if the job has no schedule.
func (sp *Spec) DueTime(run int) time.Time {
	if !sp.HasSchedule() {
		return time.Time{}
	}
	return sp.FirstDue.Add(time.Duration(run) * sp.Interval)
}

// ErrInvalidSpec is returned for a job with invalid fields.
var ErrInvalidSpec = errors.New("the job is not well formed")

// Validate returns an error for the first invalid field of a job.
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
	for i, st := range sp.Steps {
		if err := st.validate(i); err != nil {
			return err
		}
		tasks += st.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, %d are allowed", ErrInvalidSpec, tasks, MaxTasks)
	}
	return nil
}

func (st *Step) validate(index int) error {
	if st.Count < 1 || st.Count > MaxTasks {
		return fmt.Errorf("%w: step %d has %d tasks, 1 to %d are allowed", ErrInvalidSpec, index, st.Count, MaxTasks)
	}
	if st.Size.CPUMillis < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0 || st.SpreadLimit < 0 || st.DisruptionBudget < 0 {
		return fmt.Errorf("%w: step %d has a negative number", ErrInvalidSpec, index)
	}
	for _, dependency := range st.DependsOn {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier one", ErrInvalidSpec, index, dependency)
		}
	}
	return nil
}

// Task identifies one task of a job.
type Task struct {
	Job ID
	// Run, Step and Index count from 0.
	Run   int
	Step  int
	Index int
}

// Advice configures the approval of a queue's placements by the advice service.
type Advice struct {
	// DecisionTime is the base time that an answer takes. PerWorkerTime is added for each worker in the request.
	DecisionTime  time.Duration `json:"decisionTime,omitempty"`
	PerWorkerTime time.Duration `json:"perWorkerTime,omitempty"`
	// ValidFor is how long a ticket is valid.
	ValidFor time.Duration `json:"validFor,omitempty"`
}

// Queue accepts jobs of one kind from callers.
type Queue struct {
	ID   QueueID
	Host string
	// PathPrefix is the path under which jobs are submitted. The id of the job follows it.
	PathPrefix string
	Pool       PoolID
	Priority   int
	// MaxAttempts is the number of failed attempts of a task after which its job fails.
	MaxAttempts int
	// Stretch and Slack define the objective for the time to completion: Stretch times the critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advice is nil if placements need no approval.
	Advice *Advice
	// Public means that calls without a key are accepted.
	Public bool
}

// Policy returns what the queue lays down for its jobs.
func (qu *Queue) Policy() *Policy {
	return &Policy{Host: qu.Host, PathPrefix: qu.PathPrefix, Priority: qu.Priority, MaxAttempts: qu.MaxAttempts, Stretch: qu.Stretch, Slack: qu.Slack, Advice: qu.Advice}
}

// FormerQueue returns the queue of a job as it was when the job was accepted. It is empty but for its ID if the job's row does not hold it.
func (sp *Spec) FormerQueue() Queue {
	qu := Queue{ID: sp.Queue, Pool: sp.Pool}
	if po := sp.Policy; po != nil {
		qu.Host, qu.PathPrefix, qu.Priority, qu.MaxAttempts, qu.Stretch, qu.Slack, qu.Advice = po.Host, po.PathPrefix, po.Priority, po.MaxAttempts, po.Stretch, po.Slack, po.Advice
	}
	return qu
}

// Pool is the set of machines of a service.
type Pool struct {
	ID PoolID
	// Reserve means that the machines of the pool are switched off and cost nothing.
	Reserve bool
}

// Limits limits the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is the operator's configuration that is in force.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Organisations is nil if none are configured. Calls then need no key.
	Organisations *Directory
}

// CallerOrganisation returns the organisation whose key came with a call to a queue. If no organisations are configured, calls need no key and the
// result is empty.
func (cf *Configuration) CallerOrganisation(qu *Queue, keyText string) (OrganisationID, error) {
	if cf.Organisations == nil {
		return "", nil
	}
	return cf.Organisations.CallerOrganisation(qu, keyText)
}

// Queue returns the queue with an id, or nil if there is none.
func (cf *Configuration) Queue(id QueueID) *Queue {
	for i := range cf.Queues {
		if cf.Queues[i].ID == id {
			return &cf.Queues[i]
		}
	}
	return nil
}

// Route returns the queue of a host with the longest prefix of a path, or nil if there is none.
func (cf *Configuration) Route(host, path string) *Queue {
	var best *Queue
	for i := range cf.Queues {
		qu := &cf.Queues[i]
		if qu.Host != host || len(path) < len(qu.PathPrefix) || path[:len(qu.PathPrefix)] != qu.PathPrefix {
			continue
		}
		if best == nil || len(qu.PathPrefix) > len(best.PathPrefix) {
			best = qu
		}
	}
	return best
}
