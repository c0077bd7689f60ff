package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
)

// Row is one row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Place is the address of a row.
type Place struct{ Table, Part, Key string }

// Place returns the address of the row.
func (rw Row) Place() Place { return Place{rw.Table, rw.Part, rw.Key} }

// Expect is a condition of a transaction: the row must have the given version, or must not exist if the version is 0.
type Expect struct {
	Place   Place `json:"place"`
	Version int64 `json:"version"`
}

// Tx changes rows atomically. A transaction over several parts takes twice as long and is serialized with the other
// transactions of each part.
type Tx struct {
	Expect []Expect `json:"expect,omitempty"`
	Write  []Row    `json:"write,omitempty"`
	Remove []Place  `json:"remove,omitempty"`
}

// Query selects the rows of a part with keys from From, inclusive, to To, exclusive, if they are set.
type Query struct {
	Table string `json:"table"`
	Part  string `json:"part,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// Page is the result of a query or of a feed call.
type Page struct {
	Rows []Row `json:"rows,omitempty"`
	// More is set if the query has further rows.
	More bool `json:"more,omitempty"`
	// Version is the newest version of the store.
	Version int64 `json:"version"`
}

// Errors of a Store.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("the store refused the call")
	// ErrInvalid means that the call had no effect and never will: the store does not take its content, whoever sends it.
	ErrInvalid = errors.New("the store does not take the call")
	// ErrNoAnswer means that the outcome is not known: the call may have been carried out or may still be.
	ErrNoAnswer = errors.New("the store did not answer")
	// ErrHistoryTruncated means that the feed cannot continue from the given version.
	ErrHistoryTruncated = errors.New("the store no longer has the changes since this version")
)

// Conflict is the error of a transaction with a condition that does not hold.
type Conflict struct {
	// Rows are the current rows of all conditions.
	Rows []Row `json:"rows,omitempty"`
}

// Error implements error.
func (cf *Conflict) Error() string { return "a condition of the transaction does not hold" }

// Store is the platform's transactional store. It holds all state that must survive a restart or be agreed between instances.
type Store interface {
	// Commit carries out a transaction and returns its version. Its errors are *Conflict, ErrRefused, ErrInvalid and ErrNoAnswer.
	Commit(ctx context.Context, tx Tx) (int64, error)
	// Read returns a consistent snapshot of rows.
	Read(ctx context.Context, qu Query) (Page, error)
	// Feed returns the changes of a table after a version as soon as there are any, or none after the wait.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
}

// Workers sends a cell's orders to workers.
type Workers interface {
	Poll(ctx context.Context, lk cell.Poll) cell.PollResult
	Send(ctx context.Context, od cell.Order) cell.OrderResult
}

// Adviser requests tickets from the advice service.
type Adviser interface {
	Advise(ctx context.Context, ad cell.Advise) ([]cell.Ticket, time.Duration, error)
}

// Format converts between the rows of the platform and its operator and the types of this module.
type Format interface {
	// OperatorTable holds the configuration and the maintenance waves, RegistryTable the registrations of workers.
	OperatorTable() string
	RegistryTable() string
	// Configuration decodes a row of the operator table. It returns nil if the row is not a configuration.
	Configuration(rw Row) (*job.Configuration, error)
	// Evacuation decodes a row of the operator table, also a deleted one. It returns the data hall whose evacuation the row
	// requests, or an empty name if the row is not such a request.
	Evacuation(rw Row) (job.HallID, error)
	// Wave decodes a row of the operator table. It returns nil if the row is not a maintenance wave.
	Wave(rw Row) (*machine.Wave, error)
	// Worker decodes a registration.
	Worker(rw Row) (cell.Worker, error)
	// WaveStatus returns the row that reports the state of a wave to the operator.
	WaveStatus(number int, completed bool) (Row, error)
}
