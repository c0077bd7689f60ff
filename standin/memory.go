package standin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Memory is the platform's table without HTTP, for tests whose clock is a synthetic one.
type Memory struct {
	pl *Platform
	// Delay is how long each commit takes.
	Delay time.Duration
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{pl: NewPlatform()}
}

// Counts returns how often the table was asked.
func (mm *Memory) Counts() PlatformCounts {
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	counts := mm.pl.counts
	counts.Version = mm.pl.version
	counts.Actions = nil
	return counts
}

// Load writes the seed's rows and membership.
func (mm *Memory) Load(sd Seed) error {
	return mm.pl.Load(sd)
}

// Get returns one row.
func (mm *Memory) Get(_ context.Context, name table.TableName, key string) (table.Row, error) {
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	mm.pl.counts.Reads++
	rw, ok := mm.pl.rows[table.RowKey{Table: name, Key: key}]
	if !ok || rw.Deleted {
		return table.Row{}, table.ErrAbsent
	}
	return rw, nil
}

// Commit applies a transaction.
func (mm *Memory) Commit(_ context.Context, tx table.Tx) (table.Version, error) {
	time.Sleep(mm.Delay)
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	mm.pl.counts.Writes++
	mm.pl.counts.Rows += int64(len(tx.Writes))
	status, result := mm.pl.apply(tx)
	if status != http.StatusOK {
		return 0, &table.ConflictError{Rows: result.Rows}
	}
	return result.Version, nil
}

// Changes returns the rows of the tables that were written after a version.
func (mm *Memory) Changes(_ context.Context, since table.Version, tables []table.TableName) (table.Changes, error) {
	return mm.pl.feed(since, tables, 0), nil
}

// ChangesPage returns the first rows, at most limit, that were written after a version and are not deleted.
func (mm *Memory) ChangesPage(_ context.Context, since table.Version, tables []table.TableName, limit int) (table.Changes, error) {
	return mm.pl.feed(since, tables, limit), nil
}

// DeleteObject removes a value.
func (mm *Memory) DeleteObject(_ context.Context, key string) error {
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	delete(mm.pl.objects, key)
	return nil
}

// Members returns the membership.
func (mm *Memory) Members(context.Context) ([]table.Member, error) {
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	return slices.Clone(mm.pl.members), nil
}

// PutObject stores a value.
func (mm *Memory) PutObject(_ context.Context, key string, value []byte) error {
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	mm.pl.objects[key] = value
	return nil
}

// GetObject returns a value.
func (mm *Memory) GetObject(_ context.Context, key string) ([]byte, error) {
	mm.pl.mu.Lock()
	defer mm.pl.mu.Unlock()
	value, ok := mm.pl.objects[key]
	if !ok {
		return nil, table.ErrAbsent
	}
	return value, nil
}
