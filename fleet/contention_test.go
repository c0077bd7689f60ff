package fleet

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// contendedStore is a store in which another cell changes the account right before each of the first commits that write it.
type contendedStore struct {
	*faultyStore
	conflicts int
	tries     int
}

func (cs *contendedStore) Commit(ctx context.Context, tx Tx) (int64, error) {
	if len(tx.Write) == 0 || tx.Write[0].Table != tableAccount {
		return cs.faultyStore.Commit(ctx, tx)
	}
	cs.tries++
	if cs.conflicts > 0 {
		cs.conflicts--
		raw, err := json.Marshal(cell.Account{"other": {Epoch: 1, Held: job.Size{CPUMillis: cs.conflicts}}})
		if err != nil {
			return 0, err
		}
		if _, err := cs.mem.commit(Tx{Write: []Row{{Table: tableAccount, Part: accountPart, Key: tx.Write[0].Key, Value: raw}}}); err != nil {
			return 0, err
		}
	}
	return cs.faultyStore.Commit(ctx, tx)
}

// contendedOwner returns an owner of a cell on a contended store, with an organisation whose allowance it has to write.
func contendedOwner(t *testing.T, st *contendedStore) (*owner, context.Context) {
	t.Helper()
	fl := New(Options{Name: "own", Store: st, Format: testFormat{}, Now: time.Now})
	cf := &job.Configuration{Queues: []job.Queue{testQueue}, Organisations: job.NewDirectory([]job.Organisation{{ID: "mill", Maximum: job.Size{CPUMillis: 3000}}})}
	fl.config.Store(cf)
	ctx, cancel := context.WithCancel(t.Context())
	ow := newOwner(fl, "pool", ownerRow{Epoch: 7}, cancel)
	ow.core.SetOrganisations(cf)
	ow.planned = true
	return ow, ctx
}

// runAccountsFor runs an owner's writes of accounts for some time.
func (ow *owner) runAccountsFor(ctx context.Context, span time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ow.runAccounts(ctx)
	}()
	time.Sleep(span)
	synctest.Wait()
	ow.cancel()
	<-done
}

// TestConflictOfAccountsIsRetriedAtOnce checks that an owner whose write of its allowances conflicts tries again with the rows that came with the
// conflict. After a pause these would be out of date again, and a new owner would have no allowances for as long as other owners write.
func TestConflictOfAccountsIsRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conflicts = 10
		st := &contendedStore{faultyStore: &faultyStore{mem: newMemStore()}, conflicts: conflicts}
		ow, ctx := contendedOwner(t, st)
		ow.runAccountsFor(ctx, 2*accountInterval)
		if due := ow.core.AccountWrites(time.Now()); st.tries != conflicts+1 || len(due) > 0 {
			t.Errorf("after two intervals: %d tries of %d, still to be written %+v", st.tries, conflicts+1, due)
		}
	})
}

// TestConflictWithAnUnreadableAccountIsNotRetriedAtOnce checks that an owner pauses if a conflict brings nothing that it can use.
func TestConflictWithAnUnreadableAccountIsNotRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &contendedStore{faultyStore: &faultyStore{mem: newMemStore()}}
		if _, err := st.mem.commit(Tx{Write: []Row{{Table: tableAccount, Part: accountPart, Key: "mill", Value: []byte("?")}}}); err != nil {
			t.Fatal(err)
		}
		ow, ctx := contendedOwner(t, st)
		ow.runAccountsFor(ctx, 10*accountInterval)
		if st.tries == 0 || st.tries > 10 {
			t.Errorf("%d tries in ten intervals", st.tries)
		}
	})
}
