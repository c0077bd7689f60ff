package clock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/clock"
)

// fakeHost is a machine with three clocks.
type fakeHost struct {
	wall            time.Time
	monotonic, boot time.Duration
	bootReads       int
	err             error
}

func (fh *fakeHost) read() (time.Time, time.Duration) { return fh.wall, fh.monotonic }

func (fh *fakeHost) sinceBoot() (time.Duration, error) {
	fh.bootReads++
	return fh.boot, fh.err
}

// advance advances all clocks of the running machine.
func (fh *fakeHost) advance(d time.Duration) {
	fh.wall, fh.monotonic, fh.boot = fh.wall.Add(d), fh.monotonic+d, fh.boot+d
}

// suspend suspends the machine, so that its monotonic clock does not advance.
func (fh *fakeHost) suspend(d time.Duration) { fh.wall, fh.boot = fh.wall.Add(d), fh.boot+d }

func newFakeHost() *fakeHost { return &fakeHost{wall: time.Unix(1_700_000_000, 0), boot: time.Hour} }

// TestSuspensionCounts checks that a suspension of 9 s counts. The operating system's monotonic clock did not include it, so a lease of 3 s
// appeared to be still valid.
func TestSuspensionCounts(t *testing.T) {
	fh := newFakeHost()
	ck := clock.New(fh.read, fh.sinceBoot)
	first := ck.Now()
	fh.advance(time.Second)
	fh.suspend(9 * time.Second)
	fh.advance(time.Second)
	if got := ck.Now().Sub(first); got != 11*time.Second {
		t.Errorf("%v passed, want 11s", got)
	}
	fh.suspend(time.Second)
	if got := ck.Now().Sub(first); got != 12*time.Second {
		t.Errorf("%v passed, want 12s", got)
	}
}

// TestWallClockStepsDoNotCount checks that steps of the wall clock do not affect the clock, and that the kernel is not asked without them.
func TestWallClockStepsDoNotCount(t *testing.T) {
	fh := newFakeHost()
	ck := clock.New(fh.read, fh.sinceBoot)
	first := ck.Now()
	for range 1000 {
		fh.advance(time.Millisecond)
		ck.Now()
	}
	if fh.bootReads != 1 {
		t.Errorf("the kernel was asked %d times, want once at the start", fh.bootReads)
	}
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, -time.Minute} {
		fh.wall = fh.wall.Add(step)
		fh.advance(time.Second)
		ck.Now()
	}
	if got := ck.Now().Sub(first); got != 4*time.Second {
		t.Errorf("%v passed, want 4s", got)
	}
}

func TestClockWithoutBootTimeIsMonotonic(t *testing.T) {
	fh := newFakeHost()
	fh.err = errors.New("no such clock")
	ck := clock.New(fh.read, fh.sinceBoot)
	first := ck.Now()
	fh.suspend(time.Second)
	fh.advance(time.Second)
	if got := ck.Now().Sub(first); got != time.Second {
		t.Errorf("%v passed, want 1s", got)
	}
	ck.Now()
	if fh.bootReads != 2 {
		t.Errorf("the kernel was asked %d times, want twice: at the start and for the change of the wall clock", fh.bootReads)
	}
}

func TestBootTimeIsRead(t *testing.T) {
	since, err := clock.SinceBoot()
	if err != nil || since <= 0 {
		t.Errorf("%v, %v", since, err)
	}
}

func ExampleNow() {
	first := clock.Now()
	fmt.Println(clock.Now().Before(first))
	// Output: false
}
