package fleet

import (
	"context"
	"testing"
	"time"
)

// TestWatchUsesTheMonotonicClock checks that a jump of the wall clock does not make a row appear unchanged for a long time.
func TestWatchUsesTheMonotonicClock(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	// A clock unrelated to the wall clock: if the wall clock were read anywhere, the difference would be decades.
	started := time.Now()
	monotonic := func() time.Time { return time.Unix(0, 0).Add(time.Since(started)) }
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mem}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: monotonic})
	if err := fl.operator.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	since, until := fl.operator.healthyPeriod()
	for _, at := range []time.Time{since, until} {
		if age := monotonic().Sub(at); age < 0 || age > testTimeout {
			t.Errorf("the store answered %v ago", age)
		}
	}
}

// TestWatchReportsRowsBeforeItCountsAsHealthy checks that rows are reported before the answer counts. Otherwise the rows of a
// live owner appear older than the store's last answer for a moment.
func TestWatchReportsRowsBeforeItCountsAsHealthy(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mem}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}})
	var wt *tableWatch
	reports := 0
	wt = newTableWatch(fl, "registry", fixedInterval(time.Millisecond), time.Millisecond, func(rows []Row, sentAt time.Time) {
		reports++
		if _, until := wt.healthyPeriod(); !until.Before(sentAt) {
			t.Error("the answer counts before its rows were reported")
		}
	})
	if err := wt.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := wt.fetchChanges(context.Background()); err != nil {
		t.Fatal(err)
	}
	if reports != 2 {
		t.Fatalf("changes were reported %d times", reports)
	}
}
