package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Order is something that the shell is to do; its result comes back as an event.
type Order interface{ order() }

// The orders.
type (
	// Poll renews leases at a worker, acknowledges ends, and reads what runs and what has ended.
	Poll struct {
		Worker  WorkerID
		Address string
		Token   Token
		// LeaseUntil is the lease's end on the worker's clock; 0 leaves it.
		LeaseUntil int64
		// AckedEnd is the number of the newest end that is kept.
		AckedEnd int64
		// Wait is how long the worker may hold the answer back for an end.
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
		// PayloadAt is the entry instance that has the payload as well; empty if none is known to.
		PayloadAt  string
		LeaseUntil int64
		Checkpoint job.Checkpoint
		Ticket     string
	}
	// Stop stops an attempt.
	Stop struct {
		Worker  WorkerID
		Address string
		Token   Token
		Task    job.Task
		Attempt job.Attempt
	}
	// Throttle throttles an attempt to a share of its work, in percent.
	Throttle struct {
		Worker  WorkerID
		Address string
		Token   Token
		Task    job.Task
		Attempt job.Attempt
		Percent int
	}
	// Save writes progress rows, all or none, if this owner still owns the cell and the rows have their versions.
	Save struct{ Rows []SaveRow }
	// SaveRow is one progress row.
	SaveRow struct {
		ID       job.ID
		Version  int64
		Progress *job.Progress
	}
	// RecordWorkers writes the workers that are used into the cell's row, with what Exposed says.
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

// Outcome is what became of an order at a worker.
type Outcome int

// The outcomes.
const (
	// NoAnswer means that there was no answer: the order may have been carried out, or may be later.
	NoAnswer Outcome = iota
	// Done means that the worker answered that it did it.
	Done
	// NotSent means that the worker cannot have got it.
	NotSent
	// Superseded means that the worker has seen a higher token.
	Superseded
	// AttemptEnded means that the worker knows this attempt, or a later one, as ended.
	AttemptEnded
	// LeaseExpired means that the lease had run out on the worker's clock.
	LeaseExpired
	// NoRoom means that the worker has no room.
	NoRoom
	// TicketInvalid means that the admission ticket does not hold.
	TicketInvalid
	// Unhealthy means that the worker did nothing, being unhealthy or busy.
	Unhealthy
	// Invalid means that the worker cannot understand the order.
	Invalid
	// WrongIncarnation means that another life answers at the address.
	WrongIncarnation
	// PayloadMissing means that the order was not sent, since its payload could not be had where it was to be carried out.
	PayloadMissing
)

// String names the outcome for the log.
func (oc Outcome) String() string {
	return [...]string{"silent", "done", "unsent", "overtaken", "stale", "late", "noRoom", "noTicket", "unwell", "invalid", "dead", "unprepared"}[oc]
}

// Running is one attempt that a worker lists as running.
type Running struct {
	Task       job.Task
	Attempt    job.Attempt
	Checkpoint job.Checkpoint
	// Progress is in percent.
	Progress int
	// Metric is the tail latency in milliseconds for a serving task, thousandths of a core in use for others.
	Metric int
}

// EndReason tells how an attempt ended.
type EndReason string

// The ways in which attempts end.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete means that the other members of the gang did not come.
	EndGangIncomplete EndReason = "alone"
)

// End is one ended attempt that a worker lists.
type End struct {
	Number     int64
	Task       job.Task
	Attempt    job.Attempt
	Reason     EndReason
	Checkpoint job.Checkpoint
}

// PollResult is the result of a look.
type PollResult struct {
	Poll
	Outcome        Outcome
	Sent, Received time.Time
	// Clock is the worker's, in milliseconds.
	Clock   int64
	Running []Running
	Ended   []End
}

// OrderResult is the result of a start, stop or pace.
type OrderResult struct {
	Order          Order
	Outcome        Outcome
	Sent, Received time.Time
	// Clock is the worker's, in milliseconds; 0 if the answer had none.
	Clock int64
}

// Ticket is the advice service's permission for a worker.
type Ticket struct {
	Worker WorkerID
	Text   string
}
