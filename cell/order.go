package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Order is something that the caller of Plan has to carry out. Its result comes back as an event.
type Order interface{ order() }

// The orders.
type (
	// Poll renews the leases on a worker, acknowledges ended attempts, and reads the running and the ended ones.
	Poll struct {
		Worker  WorkerID
		Address string
		Token   Token
		// LeaseUntil is the end of the leases on the worker's clock. 0 leaves them unchanged.
		LeaseUntil int64
		// AckedEnd is the number of the newest ended attempt whose effect is saved.
		AckedEnd int64
		// Wait is how long the worker may hold its answer until an attempt ends.
		Wait time.Duration
	}
	// Start starts an attempt of a task.
	Start struct {
		Worker  WorkerID
		Address string
		Token   Token
		Task    job.Task
		Attempt job.Attempt
		Payload string
		// PayloadAt is the entry instance that also has the payload. It is empty if none is known.
		PayloadAt  string
		LeaseUntil int64
		Checkpoint job.Checkpoint
		Ticket     string
		// Hall is the data hall of the worker.
		Hall job.HallID
	}
	// Stop stops an attempt.
	Stop struct {
		Worker  WorkerID
		Address string
		Token   Token
		Task    job.Task
		Attempt job.Attempt
	}
	// Throttle limits an attempt to a percentage of its work.
	Throttle struct {
		Worker  WorkerID
		Address string
		Token   Token
		Task    job.Task
		Attempt job.Attempt
		Percent int
	}
	// Save writes progress rows in one transaction, provided that this owner still owns the cell and the rows have the given versions.
	Save struct{ Rows []SaveRow }
	// SaveRow is one progress row.
	SaveRow struct {
		ID       job.ID
		Version  int64
		Progress *job.Progress
	}
	// RecordWorkers stores the list of workers in use and the result of UnseenLossEpoch.
	RecordWorkers struct {
		Workers         []WorkerRef
		UnseenLossEpoch job.Epoch
	}
	// Advise asks the advice service which workers may run a step.
	Advise struct {
		Job     job.ID
		Run     int
		Step    int
		Workers []WorkerID
	}
)

func (Poll) order()          {}
func (Start) order()         {}
func (Stop) order()          {}
func (Throttle) order()      {}
func (Save) order()          {}
func (RecordWorkers) order() {}
func (Advise) order()        {}

// Outcome is the result of an order to a worker.
type Outcome int

// The outcomes.
const (
	// NoAnswer means that there was no answer. The order may have been carried out, or may still be.
	NoAnswer Outcome = iota
	// Done means that the worker has carried out the order.
	Done
	// NotSent means that the order cannot have reached the worker.
	NotSent
	// Superseded means that the worker has seen a higher token.
	Superseded
	// AttemptEnded means that the worker knows that this attempt, or a later one, has ended.
	AttemptEnded
	// LeaseExpired means that the lease had expired on the worker's clock.
	LeaseExpired
	// NoRoom means that the worker has no room for the task.
	NoRoom
	// TicketInvalid means that the admission ticket is not valid.
	TicketInvalid
	// Unhealthy means that the worker did nothing because it is unhealthy or busy.
	Unhealthy
	// Invalid means that the worker cannot interpret the order.
	Invalid
	// WrongIncarnation means that another incarnation of the worker answers at the address.
	WrongIncarnation
	// PayloadMissing means that the order was not sent because its payload was not available at the instance that had to send it.
	PayloadMissing
)

// String returns the name of the outcome in the log.
func (oc Outcome) String() string {
	return [...]string{"silent", "done", "unsent", "overtaken", "stale", "late", "noRoom", "noTicket", "unwell", "invalid", "dead", "unprepared"}[oc]
}

// Running is an attempt that a worker lists as running.
type Running struct {
	Task       job.Task
	Attempt    job.Attempt
	Checkpoint job.Checkpoint
	// Progress is a percentage.
	Progress int
	// Metric is the tail latency in milliseconds for a serving task, and the CPU in use in thousandths of a core for other tasks.
	Metric int
}

// EndReason is the way in which an attempt ended.
type EndReason string

// The reasons for the end of an attempt.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete means that the other members of the gang were not started.
	EndGangIncomplete EndReason = "alone"
)

// End is an ended attempt that a worker lists.
type End struct {
	Number     int64
	Task       job.Task
	Attempt    job.Attempt
	Reason     EndReason
	Checkpoint job.Checkpoint
}

// PollResult is the result of a poll.
type PollResult struct {
	Poll
	Outcome        Outcome
	Sent, Received time.Time
	// Clock is the worker's clock in milliseconds.
	Clock   int64
	Running []Running
	Ended   []End
}

// OrderResult is the result of a start, stop or throttle order.
type OrderResult struct {
	Order          Order
	Outcome        Outcome
	Sent, Received time.Time
	// Clock is the worker's clock in milliseconds. It is 0 if the answer contained none.
	Clock int64
}

// Ticket is the advice service's permission to use a worker.
type Ticket struct {
	Worker WorkerID
	Text   string
}
