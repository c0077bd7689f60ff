package clock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/clock"
)

// host is a machine with three clocks.
type host struct {
	day          time.Time
	steady, boot time.Duration
	asked        int
	err          error
}

func (ho *host) read() (time.Time, time.Duration) { return ho.day, ho.steady }

func (ho *host) sinceBoot() (time.Duration, error) {
	ho.asked++
	return ho.boot, ho.err
}

// pass lets the machine run.
func (ho *host) pass(span time.Duration) {
	ho.day, ho.steady, ho.boot = ho.day.Add(span), ho.steady+span, ho.boot+span
}

// suspend lets its steady clock stand still.
func (ho *host) suspend(span time.Duration) { ho.day, ho.boot = ho.day.Add(span), ho.boot+span }

func newHost() *host { return &host{day: time.Unix(1_700_000_000, 0), boot: time.Hour} }

// A machine that was suspended for 9 s counts them; its steady clock did not, so that a lease of 3 s seemed to run on.
func TestSuspensionCounts(t *testing.T) {
	ho := newHost()
	ck := clock.New(ho.read, ho.sinceBoot)
	first := ck.Now()
	ho.pass(time.Second)
	ho.suspend(9 * time.Second)
	ho.pass(time.Second)
	if got := ck.Now().Sub(first); got != 11*time.Second {
		t.Errorf("%v passed, want 11s", got)
	}
	ho.suspend(time.Second)
	if got := ck.Now().Sub(first); got != 12*time.Second {
		t.Errorf("%v passed, want 12s", got)
	}
}

// Steps of the time of day move nothing, and while there are none the kernel is not asked.
func TestStepsOfTheTimeOfDayDoNotCount(t *testing.T) {
	ho := newHost()
	ck := clock.New(ho.read, ho.sinceBoot)
	first := ck.Now()
	for range 1000 {
		ho.pass(time.Millisecond)
		ck.Now()
	}
	if ho.asked != 1 {
		t.Errorf("the kernel was asked %d times, want once at the start", ho.asked)
	}
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, -time.Minute} {
		ho.day = ho.day.Add(step)
		ho.pass(time.Second)
		ck.Now()
	}
	if got := ck.Now().Sub(first); got != 4*time.Second {
		t.Errorf("%v passed, want 4s", got)
	}
}

func TestClockWithoutBootTimeIsSteady(t *testing.T) {
	ho := newHost()
	ho.err = errors.New("no such clock")
	ck := clock.New(ho.read, ho.sinceBoot)
	first := ck.Now()
	ho.suspend(time.Second)
	ho.pass(time.Second)
	if got := ck.Now().Sub(first); got != time.Second {
		t.Errorf("%v passed, want 1s", got)
	}
	ck.Now()
	if ho.asked != 2 {
		t.Errorf("the kernel was asked %d times, want at the start and once for the move", ho.asked)
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
