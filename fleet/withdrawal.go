package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Cancellations of jobs that the store does not have. That a job's home row is not there does not prove that it will not be: a transaction that accepts
// the job may still be under way. So the cancellation takes the place of the home row, which such a transaction requires to be absent.
const (
	// withdrawalRate is how many such cancellations an instance stores a second, withdrawalBurst how many at once. Ids that no job has could otherwise
	// take the writes that all instances share.
	withdrawalRate  = 25
	withdrawalBurst = 50
	// withdrawalSweepInterval is how often the leader of the machine controller looks for cancellations that are past their retention period.
	withdrawalSweepInterval = 30 * time.Second
	// withdrawalsPerTx is how many of them one transaction deletes: a condition and two rows each.
	withdrawalsPerTx = maxTxEntries / 3
)

// errAlreadyCancelled means that a job is stored as cancelled.
var errAlreadyCancelled = errors.New("the job is already cancelled")

// withdrawal is the row in the place of the home row of a job that was cancelled before the store had it.
type withdrawal struct {
	// By lists the organisations whose callers cancelled the job. Only a job that one of them may cancel is.
	By []job.OrganisationID `json:"by"`
	// Submitted means that a caller has been told since that the job is accepted. It is a job of Owner and is shown as cancelled.
	Submitted bool               `json:"submitted,omitempty"`
	Owner     job.OrganisationID `json:"owner,omitempty"`
}

// homeEntry is what the store has in the place of a job's home row: the row, a withdrawal, or neither.
type homeEntry struct {
	row       *homeRow
	withdrawn *withdrawal
	// version is the version of the row, or 0 if there is none.
	version int64
}

// homePlace returns the place of a job's home row.
func homePlace(id job.ID) Place { return Place{tableHome, partName(homePart(id)), string(id)} }

// encodeWithdrawal encodes a withdrawal as a list, which instances that know only home rows can't decode: they take the job neither for one that
// exists nor for one that does not.
func encodeWithdrawal(wd *withdrawal) ([]byte, error) { return json.Marshal([]*withdrawal{wd}) }

// decodeHome decodes what is in the place of a home row.
func decodeHome(rw Row) (homeEntry, error) {
	he := homeEntry{version: rw.Version}
	if rw.Deleted || rw.Version == 0 {
		return homeEntry{}, nil
	}
	if !bytes.HasPrefix(rw.Value, []byte("[")) {
		he.row = &homeRow{}
		return he, json.Unmarshal(rw.Value, he.row)
	}
	var list []*withdrawal
	if err := json.Unmarshal(rw.Value, &list); err != nil {
		return he, err
	}
	if len(list) != 1 || list[0] == nil {
		return he, errors.New("not one withdrawal")
	}
	he.withdrawn = list[0]
	return he, nil
}

// covers reports whether a job of an organisation is cancelled by the withdrawal.
func (wd *withdrawal) covers(owner job.OrganisationID) bool {
	return wd != nil && slices.ContainsFunc(wd.By, func(by job.OrganisationID) bool { return job.MayAccess(by, owner) })
}

// writeTo adds the withdrawal of a job to a transaction, with the row by which it is found when it is past its retention period.
func (wd *withdrawal) writeTo(tx *Tx, id job.ID) error {
	raw, err := encodeWithdrawal(wd)
	if err != nil {
		return err
	}
	place := homePlace(id)
	tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}, Row{Table: tableWithdrawal, Part: place.Part, Key: place.Key, Value: []byte("{}")})
	return nil
}

// state returns the state of the withdrawn job for a caller, or ErrJobNotFound if nobody has been told that there is such a job.
func (wd *withdrawal) state(caller job.OrganisationID) (job.State, error) {
	switch {
	case !wd.Submitted:
		return "", ErrJobNotFound
	case !job.MayAccess(caller, wd.Owner):
		return "", job.ErrOtherOrganisation
	}
	return job.Cancelled, nil
}

// withdraw stores the cancellation of a job that the store does not have. It returns the home row if the store has the job by now. Otherwise the error is
// ErrJobNotFound once no transaction under way can accept the job any more, or errAlreadyCancelled if the job was handed in after that.
func (fl *Fleet) withdraw(ctx context.Context, caller job.OrganisationID, id job.ID, he homeEntry) (*homeRow, error) {
	for attempt := 0; ; attempt++ {
		switch {
		case he.row != nil:
			fl.homes.add(id, *he.row)
			return he.row, nil
		case he.withdrawn != nil && he.withdrawn.Submitted:
			if _, err := he.withdrawn.state(caller); err != nil {
				return nil, err
			}
			return nil, errAlreadyCancelled
		case he.withdrawn != nil && slices.Contains(he.withdrawn.By, caller):
			return nil, ErrJobNotFound
		case attempt == 0 && !fl.withdrawals.Allow():
			fl.logJob(event.JobWithdrawn, id, zap.String("outcome", "refused, too many"))
			return nil, ErrUnavailable
		}
		next, err := fl.commitWithdrawal(ctx, caller, id, he)
		cf := asConflict(err)
		switch {
		case err == nil:
			fl.logJob(event.JobWithdrawn, id, zap.String("outcome", "stored"), zap.Int("tries", attempt+1))
			return nil, ErrJobNotFound
		case cf != nil:
			he = next
		case ctx.Err() != nil:
			fl.logJob(event.JobWithdrawn, id, zap.String("outcome", "unknown"), zap.Int("tries", attempt+1), zap.Error(err))
			return nil, ErrUnavailable
		default:
			sleep(ctx, intakeRetryDelay)
		}
	}
}

// commitWithdrawal makes one attempt at storing a caller's cancellation over what the store has. After a conflict it returns what the store has now.
func (fl *Fleet) commitWithdrawal(ctx context.Context, caller job.OrganisationID, id job.ID, he homeEntry) (homeEntry, error) {
	wd := &withdrawal{}
	if he.withdrawn != nil {
		*wd = *he.withdrawn
	}
	wd.By = append(slices.Clone(wd.By), caller)
	tx := Tx{Expect: []Expect{{homePlace(id), he.version}}}
	if err := wd.writeTo(&tx, id); err != nil {
		return he, err
	}
	callCtx, cancel := context.WithTimeout(ctx, fl.store.commitTimeout())
	defer cancel()
	_, err := fl.store.Commit(callCtx, tx)
	cf := asConflict(err)
	if cf == nil {
		return he, err
	}
	for _, rw := range cf.Rows {
		if rw.Place() != homePlace(id) {
			continue
		}
		now, decodeErr := decodeHome(rw)
		if decodeErr != nil {
			fl.opts.Log.Emit(event.JobRowRejected, zap.String("job", string(id)), zap.Error(decodeErr))
			return he, ErrUnavailable
		}
		return now, err
	}
	return he, ErrUnavailable
}

// newWithdrawalLimiter limits how many withdrawals this instance stores.
func newWithdrawalLimiter() *rate.Limiter { return rate.NewLimiter(withdrawalRate, withdrawalBurst) }

// withdrawalSweeper deletes withdrawals that are past their retention period, counted from when it first saw them.
type withdrawalSweeper struct {
	fl   *Fleet
	seen map[Place]time.Time
}

// sweepWithdrawals deletes old withdrawals until the context ends.
func (fl *Fleet) sweepWithdrawals(ctx context.Context) {
	ws := &withdrawalSweeper{fl: fl, seen: map[Place]time.Time{}}
	for ctx.Err() == nil {
		sleep(ctx, withdrawalSweepInterval)
		if fl.store.commitLatency() <= slowCommitThreshold {
			ws.sweep(ctx)
		}
	}
}

// sweep makes one round. What could not be read or deleted is left to the next one.
func (ws *withdrawalSweeper) sweep(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, intakeReadTimeout)
	parts, err := ws.fl.store.Parts(callCtx, tableWithdrawal)
	cancel()
	if err != nil {
		ws.logFailure(err)
		return
	}
	found := map[Place]time.Time{}
	for _, part := range parts {
		callCtx, cancel := context.WithTimeout(ctx, intakeReadTimeout)
		pg, err := ws.fl.store.Read(callCtx, Query{Table: tableWithdrawal, Part: part})
		cancel()
		if err != nil {
			ws.logFailure(err)
			return
		}
		for batch := range slices.Chunk(ws.expired(pg.Rows, found), withdrawalsPerTx) {
			ws.remove(ctx, batch)
		}
	}
	ws.seen = found
}

// expired returns the rows that are past their retention period, and records since when all are known.
func (ws *withdrawalSweeper) expired(rows []Row, found map[Place]time.Time) []Row {
	now := ws.fl.opts.Now()
	var list []Row
	for _, rw := range rows {
		since, known := ws.seen[rw.Place()]
		if !known {
			since = now
		}
		found[rw.Place()] = since
		if now.Sub(since) > ws.fl.opts.Cell.Retention {
			list = append(list, rw)
		}
	}
	return list
}

// remove deletes withdrawals. A home row that has changed since is not one, or not the same, and stays; the row that leads to it is then written anew or
// names a job.
func (ws *withdrawalSweeper) remove(ctx context.Context, rows []Row) {
	var tx Tx
	for _, rw := range rows {
		home := homePlace(job.ID(rw.Key))
		tx.Expect = append(tx.Expect, Expect{home, rw.Version})
		tx.Remove = append(tx.Remove, home, rw.Place())
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := ws.fl.store.Commit(callCtx, tx)
	cf := asConflict(err)
	if cf == nil {
		ws.logFailure(err)
		return
	}
	var stale Tx
	for _, rw := range rows {
		if slices.ContainsFunc(cf.Rows, func(home Row) bool { return home.Key == rw.Key && home.Version != rw.Version }) {
			stale.Expect = append(stale.Expect, Expect{rw.Place(), rw.Version})
			stale.Remove = append(stale.Remove, rw.Place())
		}
	}
	staleCtx, cancelStale := context.WithTimeout(ctx, writeTimeout)
	defer cancelStale()
	_, err = ws.fl.store.Commit(staleCtx, stale)
	ws.logFailure(err)
}

// logFailure logs why a round left something to the next one. It does nothing without an error.
func (ws *withdrawalSweeper) logFailure(err error) {
	if err != nil {
		ws.fl.opts.Log.Emit(event.WithdrawalsLeft, zap.Error(err))
	}
}
