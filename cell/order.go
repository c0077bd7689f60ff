package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Order is something that the shell is to do; its result comes back as an event.
type Order interface{ order() }

// The orders.
type (
	// Look renews leases at a worker, acknowledges ends, and reads what runs and what has ended.
	Look struct {
		Worker  WorkerID
		Address string
		Token   Token
		// Until is the lease's end on the worker's clock; 0 leaves it.
		Until int64
		// Observed is the number of the newest end that is kept.
		Observed int64
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
		Until      int64
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
	// Pace throttles an attempt to a share of its work, in percent.
	Pace struct {
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
	// Enlist writes the workers that are used into the cell's row, with what Exposed says.
	Enlist struct {
		Workers []Ref
		Exposed job.Epoch
	}
	// Advise asks the advice service which workers may run a step.
	Advise struct {
		Job     job.ID
		Run     int
		Step    int
		Workers []WorkerID
	}
)

func (Look) order()   {}
func (Start) order()  {}
func (Stop) order()   {}
func (Pace) order()   {}
func (Save) order()   {}
func (Enlist) order() {}
func (Advise) order() {}

// Outcome is what became of an order at a worker.
type Outcome int

// The outcomes.
const (
	// Silent means that there was no answer: the order may have been carried out, or may be later.
	Silent Outcome = iota
	// Done means that the worker answered that it did it.
	Done
	// Unsent means that the worker cannot have got it.
	Unsent
	// Overtaken means that the worker has seen a higher token.
	Overtaken
	// Stale means that the worker knows this attempt, or a later one, as ended.
	Stale
	// Late means that the lease had run out on the worker's clock.
	Late
	// NoRoom means that the worker has no room.
	NoRoom
	// NoTicket means that the admission ticket does not hold.
	NoTicket
	// Unwell means that the worker did nothing, being unhealthy or busy.
	Unwell
	// Invalid means that the worker cannot understand the order.
	Invalid
	// Dead means that another life answers at the address.
	Dead
	// Unprepared means that the order was not sent, since its payload could not be had where it was to be carried out.
	Unprepared
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
	// Figure is the tail latency in milliseconds for a serving task, thousandths of a core in use for others.
	Figure int
}

// How tells how an attempt ended.
type How string

// The ways in which attempts end.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken How = "broken"
	// EndAlone means that the other members of the gang did not come.
	EndAlone How = "alone"
)

// End is one ended attempt that a worker lists.
type End struct {
	Number     int64
	Task       job.Task
	Attempt    job.Attempt
	How        How
	Checkpoint job.Checkpoint
}

// Looked is the result of a look.
type Looked struct {
	Look
	Outcome        Outcome
	Sent, Received time.Time
	// Clock is the worker's, in milliseconds.
	Clock   int64
	Running []Running
	Ended   []End
}

// Ordered is the result of a start, stop or pace.
type Ordered struct {
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
