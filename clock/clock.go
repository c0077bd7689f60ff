// Package clock is the steady clock of leases, claims and watches: it also counts the time for which the machine was suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// skewMost is how far the time of day may move against the steady time before the kernel is asked whether the machine was suspended. Asking
// is a system call, and readings are taken several times for each event of a cell.
const maxSkew = 10 * time.Millisecond

// Clock is a steady clock. Readings are comparable with each other alone: they hold no monotonic part, and a step of the time of day does
// not move them.
type Clock struct {
	readClocks ReadFunc
	readBoot   func() (time.Duration, error)
	// origin is the time of day at the start, steady and booted are what the two other clocks told then.
	startWall                 time.Time
	startMonotonic, startBoot time.Duration
	// skew is the newest known difference between the time of day and the steady time, slept the time for which the machine was suspended.
	skew, suspended atomic.Int64
}

// ReadFunc gives the time of day, and the steady time since some moment, as of one instant.
type ReadFunc func() (wall time.Time, monotonic time.Duration)

var (
	// started is when the process began.
	processStart = time.Now()
	// system is the process's clock.
	processClock = New(readSystemClocks, SinceBoot)
)

func readSystemClocks() (time.Time, time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(processStart)
}

// Now reads the process's clock.
func Now() time.Time { return processClock.Now() }

// SinceBoot is the time since the machine was started, with that for which it was suspended.
func SinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// New returns a clock over a time of day with a steady time, and the time since boot.
func New(readClocks ReadFunc, readBoot func() (time.Duration, error)) *Clock {
	ck := &Clock{readClocks: readClocks, readBoot: readBoot}
	ck.startWall, ck.startMonotonic = readClocks()
	// Without a reading nothing is known of suspensions, and the clock is the steady one; reading fails on no system that has the clock.
	ck.startBoot, _ = readBoot()
	return ck
}

// Now reads the clock.
func (ck *Clock) Now() time.Time {
	wall, monotonic := ck.readClocks()
	elapsed := monotonic - ck.startMonotonic
	skew := wall.Sub(ck.startWall) - elapsed
	if change := skew - time.Duration(ck.skew.Load()); change.Abs() > maxSkew {
		ck.updateSuspended(elapsed, skew)
	}
	return ck.startWall.Add(elapsed + time.Duration(ck.suspended.Load()))
}

// measure asks for how long the machine was suspended. The time never goes back.
func (ck *Clock) updateSuspended(elapsed, skew time.Duration) {
	// Stored in any case, so that a system without the clock is asked once for each move.
	ck.skew.Store(int64(skew))
	sinceBoot, err := ck.readBoot()
	if err != nil {
		return
	}
	suspended := int64(sinceBoot - ck.startBoot - elapsed)
	for {
		previous := ck.suspended.Load()
		if suspended <= previous || ck.suspended.CompareAndSwap(previous, suspended) {
			return
		}
	}
}
