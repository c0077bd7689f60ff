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

// Place names a row.
type Place struct{ Table, Part, Key string }

// Place returns where the row lies.
func (rw Row) Place() Place { return Place{rw.Table, rw.Part, rw.Key} }

// Expect is a condition of a transaction: the row must have the version, 0 if it must not exist.
type Expect struct {
	Place   Place `json:"place"`
	Version int64 `json:"version"`
}

// Tx changes rows, all or none. Rows of several parts take twice as long, and a turn in each of the parts.
type Tx struct {
	Expect []Expect `json:"expect,omitempty"`
	Write  []Row    `json:"write,omitempty"`
	Remove []Place  `json:"remove,omitempty"`
}

// Query asks for the rows of a part whose keys are From or above and below To, if those are given.
type Query struct {
	Table string `json:"table"`
	Part  string `json:"part,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// Page is an answer to a query, or a part of the feed.
type Page struct {
	Rows []Row `json:"rows,omitempty"`
	// More tells that the query has further rows.
	More bool `json:"more,omitempty"`
	// Version is the store's newest.
	Version int64 `json:"version"`
}

// Errors of the store.
var (
	// ErrRefused says that nothing was done.
	ErrRefused = errors.New("the store refused the call")
	// ErrSilent says that it is not known whether the call was, or will be, carried out.
	ErrNoAnswer = errors.New("the store did not answer")
	// ErrHistory says that the feed cannot go on from the version given.
	ErrHistoryTruncated = errors.New("the store has forgotten its history")
)

// Conflict is the error of a transaction whose conditions do not hold.
type Conflict struct {
	// Rows are the rows of the conditions as they are.
	Rows []Row `json:"rows,omitempty"`
}

// Error implements error.
func (cf *Conflict) Error() string { return "a condition of the transaction does not hold" }

// Store keeps what must last or be agreed.
type Store interface {
	// Commit carries out a transaction and returns its version; errors are a *Conflict, ErrRefused or ErrSilent.
	Commit(ctx context.Context, tx Tx) (int64, error)
	// Read returns rows as of one moment.
	Read(ctx context.Context, qu Query) (Page, error)
	// Feed returns the changes of a table after a version as soon as there is one, or none after the wait.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
}

// Workers carries out a cell's orders.
type Workers interface {
	Look(ctx context.Context, lk cell.Poll) cell.PollResult
	Order(ctx context.Context, od cell.Order) cell.OrderResult
}

// Adviser asks the advice service.
type Adviser interface {
	Advise(ctx context.Context, ad cell.Advise) ([]cell.Ticket, time.Duration, error)
}

// Format reads what the platform and its operator keep in the store.
type Format interface {
	// OperatorTable holds the configuration and the requests for maintenance, RegistryTable the registrations of workers.
	OperatorTable() string
	RegistryTable() string
	// Configuration reads a row of the operator's; nil if it is another row.
	Configuration(rw Row) (*job.Configuration, error)
	// Wave reads a row of the operator's; nil if it is another row.
	Wave(rw Row) (*machine.Wave, error)
	// Worker reads a registration.
	Worker(rw Row) (cell.Worker, error)
	// WaveStatus is the row that tells the operator how far a wave is.
	WaveStatus(number int, completed bool) (Row, error)
}
