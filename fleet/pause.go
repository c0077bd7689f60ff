package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// pausePrefix is the key prefix of paused queues in the control table, pausePart the part that holds them.
const (
	pausePrefix = "pause/"
	pausePart   = "pause"
)

// pausedRetryAfter is the time after which callers of a paused queue should retry. Operators take minutes to resume a queue.
const pausedRetryAfter = 30 * time.Second

// ErrNotPaused means that a queue that should be resumed is not paused.
var ErrNotPaused = errors.New("the queue is not paused")

// Pause is an operator's request to start no task of a queue and to accept none of its jobs. Running tasks continue.
type Pause struct {
	Queue job.QueueID `json:"queue"`
	By    string      `json:"by"`
	Why   string      `json:"why"`
	At    time.Time   `json:"at"`
}

func pausePlace(queue job.QueueID) Place {
	return Place{tableControl, pausePart, pausePrefix + string(queue)}
}

// PauseQueue pauses a queue. If it is already paused, the new reason replaces the old one.
func PauseQueue(ctx context.Context, st Store, ps Pause) error {
	raw, err := json.Marshal(ps)
	if err != nil {
		return err
	}
	place := pausePlace(ps.Queue)
	_, err = st.Commit(ctx, Tx{Write: []Row{{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}}})
	return err
}

// ResumeQueue resumes a paused queue.
func ResumeQueue(ctx context.Context, st Store, queue job.QueueID) error {
	list, err := PausedQueues(ctx, st)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(list, func(ps Pause) bool { return ps.Queue == queue }) {
		return ErrNotPaused
	}
	_, err = st.Commit(ctx, Tx{Remove: []Place{pausePlace(queue)}})
	return err
}

// PausedQueues lists the paused queues by name.
func PausedQueues(ctx context.Context, st Store) ([]Pause, error) {
	pg, err := st.Read(ctx, Query{Table: tableControl, Part: pausePart})
	if err != nil {
		return nil, err
	}
	list := []Pause{}
	for _, rw := range pg.Rows {
		var ps Pause
		if err := json.Unmarshal(rw.Value, &ps); err != nil {
			return nil, err
		}
		list = append(list, ps)
	}
	return list, nil
}

// applyPause applies the row of a paused queue. A row that cannot be decoded pauses the queue that its key names.
func (fl *Fleet) applyPause(rw Row) {
	queue := job.QueueID(strings.TrimPrefix(rw.Key, pausePrefix))
	ps := Pause{Queue: queue}
	if err := json.Unmarshal(rw.Value, &ps); err != nil && !rw.Deleted {
		fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", rw.Key), zap.Error(err))
	}
	paused := maps.Clone(fl.pausedQueues())
	if rw.Deleted {
		delete(paused, queue)
		fl.opts.Log.Emit(event.QueueResumed, zap.String("queue", string(queue)))
	} else {
		paused[queue] = true
		fl.opts.Log.Emit(event.QueuePaused, zap.String("queue", string(queue)), zap.String("by", ps.By), zap.String("why", ps.Why))
	}
	fl.paused.Store(&paused)
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.SetPausedQueues(paused) })
	}
}

// pausedQueues returns the queues that an operator has paused. The map must not be changed.
func (fl *Fleet) pausedQueues() map[job.QueueID]bool {
	if paused := fl.paused.Load(); paused != nil {
		return *paused
	}
	return map[job.QueueID]bool{}
}
