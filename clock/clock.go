// Package clock is the steady clock of leases, claims and watches: it also counts the time for which the machine was suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// skewMost is how far the time of day may move against the steady time before the kernel is asked whether the machine was suspended. Asking
// is a system call, and readings are taken several times for each event of a cell.
const skewMost = 10 * time.Millisecond

// Clock is a steady clock. Readings are comparable with each other alone: they hold no monotonic part, and a step of the time of day does
// not move them.
type Clock struct {
	read ReadFunc
	boot func() (time.Duration, error)
	// origin is the time of day at the start, steady and booted are what the two other clocks told then.
	origin         time.Time
	steady, booted time.Duration
	// skew is the newest known difference between the time of day and the steady time, slept the time for which the machine was suspended.
	skew, slept atomic.Int64
}

// ReadFunc gives the time of day, and the steady time since some moment, as of one instant.
type ReadFunc func() (day time.Time, steady time.Duration)

var (
	// started is when the process began.
	started = time.Now()
	// system is the process's clock.
	system = New(readSystem, SinceBoot)
)

func readSystem() (time.Time, time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(started)
}

// Now reads the process's clock.
func Now() time.Time { return system.Now() }

// SinceBoot is the time since the machine was started, with that for which it was suspended.
func SinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// New returns a clock over a time of day with a steady time, and the time since boot.
func New(read ReadFunc, boot func() (time.Duration, error)) *Clock {
	ck := &Clock{read: read, boot: boot}
	ck.origin, ck.steady = read()
	// Without a reading nothing is known of suspensions, and the clock is the steady one; reading fails on no system that has the clock.
	ck.booted, _ = boot()
	return ck
}

// Now reads the clock.
func (ck *Clock) Now() time.Time {
	day, steady := ck.read()
	ran := steady - ck.steady
	skew := day.Sub(ck.origin) - ran
	if moved := skew - time.Duration(ck.skew.Load()); moved.Abs() > skewMost {
		ck.measure(ran, skew)
	}
	return ck.origin.Add(ran + time.Duration(ck.slept.Load()))
}

// measure asks for how long the machine was suspended. The time never goes back.
func (ck *Clock) measure(ran, skew time.Duration) {
	// Stored in any case, so that a system without the clock is asked once for each move.
	ck.skew.Store(int64(skew))
	since, err := ck.boot()
	if err != nil {
		return
	}
	slept := int64(since - ck.booted - ran)
	for {
		known := ck.slept.Load()
		if slept <= known || ck.slept.CompareAndSwap(known, slept) {
			return
		}
	}
}
