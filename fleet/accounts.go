package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Intervals and the part of the accounts of organisations.
const (
	// accountFeedInterval is the delay between two feed calls. It is short because one cell waits for what another gives back.
	accountFeedInterval = 30 * time.Millisecond
	// accountInterval is how often an owner checks whether it needs a larger or smaller part of a maximum.
	accountInterval = 50 * time.Millisecond
	// accountIdleInterval is how often an owner checks whether any organisation has a maximum.
	accountIdleInterval = 500 * time.Millisecond
	// accountPart holds all accounts, so that one transaction can change several.
	accountPart = "accounts"
)

// accountsUnused reports whether this instance needs no accounts because it owns no cell or no organisation has a maximum.
func (fl *Fleet) accountsUnused() bool { return fl.ownsNoCells() || !fl.anyMaximum() }

// anyMaximum reports whether any organisation has a maximum.
func (fl *Fleet) anyMaximum() bool {
	cf := fl.config.Load()
	if cf == nil {
		return false
	}
	for _, og := range cf.Organisations.List() {
		if og.HasMaximum() {
			return true
		}
	}
	return false
}

// applyAccountRows passes changed accounts to the cells that this instance owns.
func (fl *Fleet) applyAccountRows(rows []Row, _ time.Time) {
	for _, rw := range rows {
		if ar, ok := fl.parseAccount(rw); ok {
			for _, ow := range fl.allOwners() {
				ow.post(func(cr *cell.Core, _ time.Time) { cr.UpdateAccount(ar) })
			}
		}
	}
}

// knownAccounts returns the accounts known to this instance, for a new owner. A conflict returns the newer ones when the owner
// writes its own part.
func (fl *Fleet) knownAccounts() []cell.AccountRow {
	fl.accounts.mu.Lock()
	defer fl.accounts.mu.Unlock()
	var list []cell.AccountRow
	for _, rw := range fl.accounts.rows {
		if ar, ok := fl.parseAccount(rw); ok {
			list = append(list, ar)
		}
	}
	return list
}

// parseAccount decodes an account. A row that cannot be decoded is ignored, so that the known parts stay in effect.
func (fl *Fleet) parseAccount(rw Row) (cell.AccountRow, bool) {
	ar := cell.AccountRow{Organisation: job.OrganisationID(rw.Key), Version: rw.Version}
	if rw.Deleted || rw.Version == 0 {
		return ar, false
	}
	if err := json.Unmarshal(rw.Value, &ar.Account); err != nil {
		fl.opts.Log.Emit(event.AccountRejected, zap.String("organisation", rw.Key), zap.Error(err))
		return ar, false
	}
	return ar, true
}

// runAccounts writes the parts of organisations' maxima that this owner needs or gives back, until the context ends.
func (ow *owner) runAccounts(ctx context.Context) {
	for ctx.Err() == nil && !ow.lost.Load() {
		if !ow.fl.anyMaximum() {
			sleep(ctx, accountIdleInterval)
			continue
		}
		sleep(ctx, accountInterval)
		if !ow.writeDueAccounts(ctx) {
			sleep(ctx, writeRetryDelay)
		}
	}
}

// writeDueAccounts writes the accounts that are due. After a conflict that brought newer rows it tries again at once, since these would be out of
// date after a pause. Each such conflict means that another owner has written, so the owners make progress together. It reports false if the
// outcome of a write is not known.
func (ow *owner) writeDueAccounts(ctx context.Context) bool {
	var tried []cell.AccountRow
	for ctx.Err() == nil && !ow.lost.Load() {
		rows := ow.dueAccounts()
		if len(rows) == 0 || sameVersions(rows, tried) {
			return true
		}
		contended, known := ow.writeAccounts(ctx, rows)
		if !known {
			return false
		}
		if !contended {
			return true
		}
		tried = rows
	}
	return true
}

// sameVersions reports whether two lists have the same accounts in the same versions.
func sameVersions(one, other []cell.AccountRow) bool {
	return slices.EqualFunc(one, other, func(ar, br cell.AccountRow) bool {
		return ar.Organisation == br.Organisation && ar.Version == br.Version
	})
}

// dueAccounts returns the accounts that have to be written now.
func (ow *owner) dueAccounts() []cell.AccountRow {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.planned || ow.quiescing {
		return nil
	}
	return ow.core.AccountWrites(ow.fl.opts.Now())
}

// writeAccounts writes accounts on the condition of their versions. It reports whether the outcome is known, and whether the accounts were not
// written since another owner had changed one of them. The core knows the current rows then.
func (ow *owner) writeAccounts(ctx context.Context, rows []cell.AccountRow) (contended, known bool) {
	tx, err := accountTx(rows)
	if err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return false, false
	}
	callCtx, cancel := context.WithTimeout(ctx, ow.fl.store.commitTimeout())
	version, err := ow.fl.store.Commit(callCtx, tx)
	cancel()
	var cf *Conflict
	switch {
	case err == nil:
		ow.fl.metrics.accountsWritten.Inc(int64(len(rows)))
		ow.mu.Lock()
		ow.core.AccountsWritten(rows, version)
		ow.mu.Unlock()
		// Tasks that waited for the larger part can start.
		ow.wake()
		return false, true
	case errors.As(err, &cf):
		ow.fl.metrics.accountsContended.Inc(1)
		ow.updateAccounts(cf.Rows)
		ow.fl.applyAccountRows(cf.Rows, ow.fl.opts.Now())
		return true, true
	}
	return false, false
}

// updateAccounts passes accounts to the core at once, before its next plan.
func (ow *owner) updateAccounts(rows []Row) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, rw := range rows {
		if ar, ok := ow.fl.parseAccount(rw); ok {
			ow.core.UpdateAccount(ar)
		}
	}
}

// accountTx returns a transaction that writes accounts, each on the condition of its version.
func accountTx(rows []cell.AccountRow) (Tx, error) {
	var tx Tx
	for _, ar := range rows {
		raw, err := json.Marshal(ar.Account)
		if err != nil {
			return tx, err
		}
		place := Place{tableAccount, accountPart, string(ar.Organisation)}
		tx.Expect = append(tx.Expect, Expect{place, ar.Version})
		tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	}
	return tx, nil
}
