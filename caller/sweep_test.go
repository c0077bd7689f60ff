package caller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		mm := standin.NewMemory()
		put := func(key string) {
			raw, err := table.Encode(caller.Claim{State: caller.ClaimAnswered, At: time.Now()})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := mm.Commit(ctx, table.Tx{Writes: []table.Write{{Table: table.TableClaim, Key: key, Value: raw}}}); err != nil {
				t.Fatal(err)
			}
		}
		const old, young = 450, 30
		for number := range old {
			put(fmt.Sprintf("old%d", number))
		}
		time.Sleep(2 * time.Hour)
		for number := range young {
			put(fmt.Sprintf("young%d", number))
		}
		before := mm.Counts().Writes
		sw := caller.NewSweeper(mm, fakeSnapshots{}, "e1", time.Hour, event.Nop(), time.Now)
		sw.Sweep(ctx)
		sw.Sweep(ctx)
		changes, err := mm.Changes(ctx, 0, []table.TableName{table.TableClaim})
		if err != nil {
			t.Fatal(err)
		}
		remaining := 0
		for _, rw := range changes.Rows {
			if !rw.Deleted {
				remaining++
			}
		}
		writes := mm.Counts().Writes - before
		t.Logf("%d of %d claims left, %d transactions", remaining, old+young, writes)
		if remaining != young || writes != 3 {
			t.Errorf("%d claims left, want %d; %d transactions", remaining, young, writes)
		}
	})
}
