package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// homeCache caches the home rows of jobs that were accepted or queried through this instance. The oldest entries are evicted
// first.
type homeCache struct {
	mu    sync.Mutex // guards the fields below
	homes map[job.ID]homeRow
	order []job.ID
}

func (hc *homeCache) add(id job.ID, hr homeRow) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if hc.homes == nil {
		hc.homes = map[job.ID]homeRow{}
	}
	if _, known := hc.homes[id]; known {
		return
	}
	hc.homes[id] = hr
	hc.order = append(hc.order, id)
	if len(hc.order) > homeCacheSize {
		delete(hc.homes, hc.order[0])
		hc.order = hc.order[1:]
	}
}

func (hc *homeCache) get(id job.ID) (homeRow, bool) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hr, ok := hc.homes[id]
	return hr, ok
}

// homeToCancel returns the home row of a job to be cancelled, from the cache or the store. If the store has no such job, the error is ErrJobNotFound
// once the cancellation is stored in its place.
func (fl *Fleet) homeToCancel(ctx context.Context, caller job.OrganisationID, id job.ID) (homeRow, error) {
	if hr, ok := fl.homes.get(id); ok {
		return hr, nil
	}
	he, err := fl.storedHome(ctx, id)
	if err != nil {
		return homeRow{}, err
	}
	hr, err := fl.withdraw(ctx, caller, id, he)
	if err != nil {
		return homeRow{}, err
	}
	return *hr, nil
}

// storedHome reads what the store has in the place of a job's home row.
func (fl *Fleet) storedHome(ctx context.Context, id job.ID) (homeEntry, error) {
	rw, ok, err := fl.readRow(ctx, homePlace(id))
	if err != nil || !ok {
		return homeEntry{}, err
	}
	he, err := decodeHome(rw)
	if err != nil {
		fl.opts.Log.Emit(event.JobRowRejected, zap.String("job", string(id)), zap.Error(err))
		return homeEntry{}, ErrUnavailable
	}
	if he.row != nil {
		fl.homes.add(id, *he.row)
	}
	return he, nil
}

// readRow reads one row and retries until the store answers or the context ends.
func (fl *Fleet) readRow(ctx context.Context, place Place) (Row, bool, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, intakeReadTimeout)
		pg, err := fl.store.Read(callCtx, Query{Table: place.Table, Part: place.Part, From: place.Key, To: place.Key + "!", Limit: 1})
		cancel()
		if err == nil {
			if len(pg.Rows) == 0 || pg.Rows[0].Key != place.Key {
				return Row{}, false, nil
			}
			return pg.Rows[0], true, nil
		}
		if errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return Row{}, false, ErrUnavailable
		}
		sleep(ctx, intakeRetryDelay)
	}
}

// State returns a job's state from the owner of its cell, or else from the store. It returns job.ErrOtherOrganisation if the caller's
// organisation may not see the job.
func (fl *Fleet) State(ctx context.Context, caller job.OrganisationID, queue *job.Queue, id job.ID) (job.State, error) {
	name := cellName(queue.Pool)
	if hr, known := fl.homes.get(id); known {
		name = hr.Cell
	}
	if js, ok := fl.queryOwner(ctx, name, id); ok {
		return js.stateFor(caller)
	}
	// The owner forgets a job after its retention period, so only the store can tell whether the job exists.
	he, err := fl.storedHome(ctx, id)
	switch {
	case err != nil:
		return "", err
	case he.withdrawn != nil:
		return he.withdrawn.state(caller)
	case he.row == nil:
		return "", ErrJobNotFound
	}
	found := he.row
	if !job.MayAccess(caller, found.Organisation) {
		return "", job.ErrOtherOrganisation
	}
	if found.Cell != name {
		if js, ok := fl.queryOwner(ctx, found.Cell, id); ok {
			return js.stateFor(caller)
		}
	}
	return fl.storedState(ctx, found.Cell, id)
}

// jobStatus is what the owner of a cell knows of a job.
type jobStatus struct {
	state        job.State
	organisation job.OrganisationID
}

// stateFor returns the state if the caller's organisation may see the job, and job.ErrOtherOrganisation otherwise.
func (js jobStatus) stateFor(caller job.OrganisationID) (job.State, error) {
	if !job.MayAccess(caller, js.organisation) {
		return "", job.ErrOtherOrganisation
	}
	return js.state, nil
}

// queryOwner asks the owner of a cell, here or on a peer, for a job. It reports false if the owner does not have the job in
// memory or cannot be reached.
func (fl *Fleet) queryOwner(ctx context.Context, name string, id job.ID) (jobStatus, bool) {
	if ow := fl.ownerOf(name); ow != nil {
		return ow.jobStatus(id)
	}
	return fl.peers.jobState(ctx, name, id)
}

// jobStatus returns a job's state if this owner has the job in memory.
func (ow *owner) jobStatus(id job.ID) (jobStatus, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.lost.Load() {
		return jobStatus{}, false
	}
	st, known := ow.core.State(id)
	return jobStatus{st, ow.core.Organisation(id)}, known
}

// storedState derives the state of an existing job from its stored rows.
func (fl *Fleet) storedState(ctx context.Context, name string, id job.ID) (job.State, error) {
	rw, started, err := fl.readRow(ctx, Place{tableProgress, name, string(id)})
	if err != nil {
		return "", err
	}
	if started {
		pg, err := job.DecodeProgress(rw.Value)
		if err != nil {
			fl.opts.Log.Emit(event.JobRowRejected, zap.String("job", string(id)), zap.Error(err))
			return "", ErrUnavailable
		}
		if pg.State.Ended() {
			return pg.State, nil
		}
	}
	_, cancelled, err := fl.readRow(ctx, Place{jobTable(name), partName(homePart(id)), string(id) + cancelSuffix})
	switch {
	case err != nil:
		return "", err
	case cancelled:
		return job.Cancelled, nil
	case started:
		return job.Running, nil
	}
	return job.Queued, nil
}

// Cancel stores the cancellation of a job and has the owner of its cell stop its tasks. It returns job.ErrOtherOrganisation if the
// caller's organisation may not cancel the job, and ErrJobNotFound if there is no such job and none will be accepted under this id.
func (fl *Fleet) Cancel(ctx context.Context, caller job.OrganisationID, id job.ID) error {
	hr, err := fl.homeToCancel(ctx, caller, id)
	if errors.Is(err, errAlreadyCancelled) {
		return nil
	}
	if err != nil {
		return err
	}
	if !job.MayAccess(caller, hr.Organisation) {
		return job.ErrOtherOrganisation
	}
	name := hr.Cell
	tx := Tx{Write: []Row{{Table: jobTable(name), Part: partName(homePart(id)), Key: string(id) + cancelSuffix, Value: []byte("{}")}}}
	for {
		callCtx, cancel := context.WithTimeout(ctx, fl.store.commitTimeout())
		_, err = fl.store.Commit(callCtx, tx)
		cancel()
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return ErrUnavailable
		}
		sleep(ctx, intakeRetryDelay)
	}
	fl.logJob(event.JobCancelled, id, zap.String("cell", name))
	if ow := fl.ownerOf(name); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Cancel(now, id) })
		return nil
	}
	go fl.peers.cancelJob(name, id)
	return nil
}
