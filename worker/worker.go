// Package worker speaks to workers, through the platform, about the tasks that they run under leases, and places jobs on them.
package worker

import (
	"context"
	"errors"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Names of jobs and who wants them.
type (
	// JobID names a job.
	JobID string
	// TeamID names a team, which has a quota of slots.
	TeamID string
	// Kind groups jobs whose declared sizes are wrong in the same way.
	Kind string
	// Attempt counts the placements of a job.
	Attempt int
)

// JobState is what became of a job.
type JobState string

// The states of a job.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobDone    JobState = "done"
	// JobFailed means that the job itself is bad: it failed on several workers that run others well.
	JobFailed JobState = "failed"
	// JobCancelled means that its team gave it up.
	JobCancelled JobState = "cancelled"
	// JobUnschedulable means that no worker of the fleet is large enough, even when empty.
	JobUnschedulable JobState = "fitsNowhere"
)

// terminal reports whether nothing will be done for the job any more.
func (js JobState) terminal() bool {
	return js != JobQueued && js != JobRunning
}

// Size is what a job takes or a worker has.
type Size struct {
	// CPUMillis is thousandths of a core.
	CPUMillis int `json:"cpuMillis"`
	// MemoryMB is mebibytes.
	MemoryMB     int `json:"memoryMb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// fitsIn reports whether one size is within another.
func (sz Size) fitsIn(in Size) bool {
	return sz.CPUMillis <= in.CPUMillis && sz.MemoryMB <= in.MemoryMB && sz.Accelerators <= in.Accelerators
}

func (sz Size) add(other Size) Size {
	return Size{sz.CPUMillis + other.CPUMillis, sz.MemoryMB + other.MemoryMB, sz.Accelerators + other.Accelerators}
}

func (sz Size) sub(other Size) Size {
	return Size{sz.CPUMillis - other.CPUMillis, sz.MemoryMB - other.MemoryMB, sz.Accelerators - other.Accelerators}
}

// Job is the row of a job.
type Job struct {
	ID     JobID  `json:"id"`
	Team   TeamID `json:"team"`
	Kind   Kind   `json:"kind"`
	Urgent bool   `json:"urgent,omitempty"`
	// Declared is what the team said that it takes.
	Declared    Size      `json:"declared"`
	SubmittedAt time.Time `json:"submittedAt"`
	State       JobState  `json:"state"`
	// Instance, Attempt and Granted are of the last placement.
	Instance table.InstanceID `json:"instance,omitempty"`
	Attempt  Attempt          `json:"attempt,omitempty"`
	Granted  Size             `json:"granted"`
	// LeaseUntil is when the worker stops the task by itself unless the lease is renewed.
	LeaseUntil time.Time `json:"leaseUntil"`
	// FailedOn lists the workers on which it failed.
	FailedOn []table.InstanceID `json:"failedOn,omitempty"`
	// LostOn lists those that were not heard of until its lease was over.
	LostOn []table.InstanceID `json:"lostOn,omitempty"`
	// Restarts is how often a worker was told again to start it that did not know of it.
	Restarts int `json:"repeats,omitempty"`
	// Why explains an end other than done.
	Why string `json:"why,omitempty"`
	// version is that of the row which the job was decoded from.
	version table.Version
}

// Cancellation is one row that cancels a whole wave of jobs, however many.
type Cancellation struct {
	// Team must match, and Kind and Jobs if they are not empty.
	Team TeamID    `json:"team"`
	Kind Kind      `json:"kind,omitempty"`
	Jobs []JobID   `json:"jobs,omitempty"`
	At   time.Time `json:"at"`
	// version is that of the row; only jobs written before it are cancelled.
	version table.Version
}

// Task is one placement as its worker knows it.
type Task struct {
	Job      JobID            `json:"job"`
	Attempt  Attempt          `json:"attempt"`
	Instance table.InstanceID `json:"instance"`
	Granted  Size             `json:"granted"`
	// LeaseUntil is when the worker stops the task by itself.
	LeaseUntil time.Time `json:"leaseUntil"`
	// Renew means that the worker renews the lease of an attempt that it knows, and begins none.
	Renew bool `json:"renew,omitempty"`
}

// TaskState is a worker's word on a task.
type TaskState string

// The states of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means that it was stopped, by a call or because its lease ran out.
	TaskStopped TaskState = "stopped"
)

// Report is what a worker last said of a task; it lags behind reality.
type Report struct {
	Job      JobID            `json:"job"`
	Attempt  Attempt          `json:"attempt"`
	Instance table.InstanceID `json:"instance"`
	State    TaskState        `json:"state"`
	// Used is the most that it took.
	Used Size `json:"used"`
}

// Workers runs tasks.
type Workers interface {
	// Start runs a task, or renews the lease of the same attempt; a worker refuses an attempt older than one that it knows. With Renew it
	// returns table.ErrNoTask for an attempt that the worker does not know.
	Start(ctx context.Context, tk Task) error
	// Stop stops an attempt, after a checkpoint if asked.
	Stop(ctx context.Context, id table.InstanceID, job JobID, at Attempt, checkpoint bool) error
	// Reports returns what workers last said.
	Reports(ctx context.Context) ([]Report, error)
}

// Errors of placement.
var (
	// ErrLeaseLost says that the placer's lease is another's by now.
	ErrLeaseLost = errors.New("the lease to place is another's")
)
