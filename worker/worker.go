// Package worker places jobs on workers, and starts, stops and reports their tasks through the platform. Tasks run under leases.
package worker

import (
	"context"
	"errors"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Identifiers of jobs and of their owners.
type (
	// JobID identifies a job.
	JobID string
	// TeamID identifies a team. Each team has a quota of slots.
	TeamID string
	// Kind groups jobs whose actual use differs from their declared sizes in the same way.
	Kind string
	// Attempt counts the placements of a job.
	Attempt int
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobDone    JobState = "done"
	// JobFailed means that the job is at fault: it failed on several healthy workers, or several workers were lost while they ran it.
	JobFailed JobState = "failed"
	// JobCancelled means that the job's team cancelled it.
	JobCancelled JobState = "cancelled"
	// JobUnschedulable means that the job exceeds the capacity of every worker of the fleet, even of an empty one.
	JobUnschedulable JobState = "fitsNowhere"
)

// terminal reports whether the state is final.
func (js JobState) terminal() bool {
	return js != JobQueued && js != JobRunning
}

// Size is an amount of resources: what a job needs or what a worker has.
type Size struct {
	// CPUMillis is in thousandths of a core.
	CPUMillis int `json:"cpuMillis"`
	// MemoryMB is in mebibytes.
	MemoryMB     int `json:"memoryMb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// fitsIn reports whether every resource of sz is at most that of in.
func (sz Size) fitsIn(in Size) bool {
	return sz.CPUMillis <= in.CPUMillis && sz.MemoryMB <= in.MemoryMB && sz.Accelerators <= in.Accelerators
}

func (sz Size) add(other Size) Size {
	return Size{sz.CPUMillis + other.CPUMillis, sz.MemoryMB + other.MemoryMB, sz.Accelerators + other.Accelerators}
}

func (sz Size) sub(other Size) Size {
	return Size{sz.CPUMillis - other.CPUMillis, sz.MemoryMB - other.MemoryMB, sz.Accelerators - other.Accelerators}
}

// Job is the table row of a job.
type Job struct {
	ID     JobID  `json:"id"`
	Team   TeamID `json:"team"`
	Kind   Kind   `json:"kind"`
	Urgent bool   `json:"urgent,omitempty"`
	// Declared is the size that the team declared.
	Declared    Size      `json:"declared"`
	SubmittedAt time.Time `json:"submittedAt"`
	State       JobState  `json:"state"`
	// Instance, Attempt and Granted describe the last placement.
	Instance table.InstanceID `json:"instance,omitempty"`
	Attempt  Attempt          `json:"attempt,omitempty"`
	Granted  Size             `json:"granted"`
	// LeaseUntil is when the worker stops the task on its own unless the lease is renewed.
	LeaseUntil time.Time `json:"leaseUntil"`
	// FailedOn lists the workers on which the job failed.
	FailedOn []table.InstanceID `json:"failedOn,omitempty"`
	// LostOn lists the workers that were lost while they ran the job: nothing was heard from them before its lease expired.
	LostOn []table.InstanceID `json:"lostOn,omitempty"`
	// Restarts counts how often the job was started again on a worker that did not know its current attempt.
	Restarts int `json:"repeats,omitempty"`
	// Why explains a final state other than done.
	Why string `json:"why,omitempty"`
	// version is the version of the row that the job was decoded from.
	version table.Version
}

// Cancellation is a row that cancels any number of jobs at once.
type Cancellation struct {
	// Team selects the jobs to cancel. Kind and Jobs restrict the selection if they are not empty.
	Team TeamID    `json:"team"`
	Kind Kind      `json:"kind,omitempty"`
	Jobs []JobID   `json:"jobs,omitempty"`
	At   time.Time `json:"at"`
	// version is the version of the row; only jobs written before it are cancelled.
	version table.Version
}

// Task is one placement of a job, as it is sent to the worker.
type Task struct {
	Job      JobID            `json:"job"`
	Attempt  Attempt          `json:"attempt"`
	Instance table.InstanceID `json:"instance"`
	Granted  Size             `json:"granted"`
	// LeaseUntil is when the worker stops the task on its own.
	LeaseUntil time.Time `json:"leaseUntil"`
	// Renew asks the worker to renew the lease of an attempt that it already knows, and not to start a new one.
	Renew bool `json:"renew,omitempty"`
}

// TaskState is the state of a task as its worker reports it.
type TaskState string

// The states of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means that the task was stopped, by a call or because its lease expired.
	TaskStopped TaskState = "stopped"
)

// Report is the last state that a worker reported for a task. It may be out of date.
type Report struct {
	Job      JobID            `json:"job"`
	Attempt  Attempt          `json:"attempt"`
	Instance table.InstanceID `json:"instance"`
	State    TaskState        `json:"state"`
	// Used is the peak resource use of the task.
	Used Size `json:"used"`
}

// Workers starts and stops tasks on workers and reads their reports.
type Workers interface {
	// Start starts a task, or renews the lease of the same attempt. A worker refuses an attempt older than one that it knows.
	// With Renew, Start returns table.ErrNoTask for an attempt that the worker does not know.
	Start(ctx context.Context, tk Task) error
	// Stop stops an attempt. If checkpoint is set, the task writes a checkpoint first.
	Stop(ctx context.Context, id table.InstanceID, job JobID, at Attempt, checkpoint bool) error
	// Reports returns the last reports of the workers.
	Reports(ctx context.Context) ([]Report, error)
}

// Errors of placement.
var (
	// ErrLeaseLost means that this placer may no longer hold the placer lease, so that its decisions are void.
	ErrLeaseLost = errors.New("placer lease lost: another placer may hold it")
)
