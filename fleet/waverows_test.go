package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/machine"
)

// TestProgressOfAWaveFitsItsRows stores the progress of a wave over 20,000 machines. Each row must fit the store, a machine that is
// done must change one row, and the next leader must know all machines that are done.
func TestProgressOfAWaveFitsItsRows(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(1)
		ct := startLeaseHolder(ctx, t, store)
		ct.savedDone = map[string][]cell.MachineID{}
		var done []cell.MachineID
		for i := range 20000 {
			done = append(done, cell.MachineID(fmt.Sprintf("m-%010x", i)))
		}
		ct.saveDone(7, done[:len(done)-1])
		time.Sleep(10 * time.Second)
		before := len(store.mm.changes())
		ct.saveDone(7, done)
		time.Sleep(10 * time.Second)
		changed := 0
		for _, rw := range store.mm.changes()[before:] {
			if rw.Key != ownerKey {
				changed++
			}
		}
		if changed != 1 {
			t.Errorf("one more machine changes %d rows", changed)
		}
		next := newMachineController(ct.fl)
		next.waveRunner = machine.NewWaveRunner(time.Now(), 0)
		for _, rw := range store.mm.read(Query{Table: tableControl, Part: machinesCell}).Rows {
			if rw.Key != ownerKey {
				next.applyWaveRecord(rw)
			}
		}
		got := next.waveProgress(7)
		slices.Sort(got.Done)
		if !slices.Equal(got.Done, done) || got.Finished {
			t.Errorf("the next leader knows %d of %d machines", len(got.Done), len(done))
		}
		raw, err := json.Marshal(waveRecord{Finished: true})
		if err != nil {
			t.Fatal(err)
		}
		next.applyWaveRecord(Row{Key: waveKey(7), Value: raw})
		if !next.waveProgress(7).Finished {
			t.Error("the next leader does not know that the wave is complete")
		}
	})
}
