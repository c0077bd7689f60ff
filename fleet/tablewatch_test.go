package fleet

import (
	"context"
	"testing"
	"time"
)

// TestTimesOfTheStoreAreOnTheSteadyClock: a jump of the time of day must not make a row look as if it stood still.
func TestWatchUsesTheMonotonicClock(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	// A clock that has nothing to do with the time of day: were that read anywhere, it would show as an age of decades.
	started := time.Now()
	steady := func() time.Time { return time.Unix(0, 0).Add(time.Since(started)) }
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mm}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: steady})
	if err := fl.operator.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	since, until := fl.operator.healthyPeriod()
	for _, at := range []time.Time{since, until} {
		if age := steady().Sub(at); age < 0 || age > testTimeout {
			t.Errorf("the store was heard of %v ago", age)
		}
	}
}

// TestWatchTellsWhatItReadBeforeItCountsAsRead: else a living owner's rows are older than the store's newest answer for a moment.
func TestWatchReportsRowsBeforeItCountsAsHealthy(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mm}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}})
	var wt *tableWatch
	told := 0
	wt = newTableWatch(fl, "registry", fixedInterval(time.Millisecond), time.Millisecond, func(rows []Row, asked time.Time) {
		told++
		if _, until := wt.healthyPeriod(); !until.Before(asked) {
			t.Error("the answer counts before its rows are known")
		}
	})
	if err := wt.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := wt.fetchChanges(context.Background()); err != nil {
		t.Fatal(err)
	}
	if told != 2 {
		t.Fatalf("told %d times", told)
	}
}
