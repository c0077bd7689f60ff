// Package clock provides the monotonic clock for leases, claims and watches. Unlike Go's monotonic time, it includes the time for which the
// machine was suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxSkew is how far the wall clock may deviate from the monotonic time before the kernel is asked whether the machine was suspended. Asking
// takes a system call, and the clock is read several times for each event of a cell.
const maxSkew = 10 * time.Millisecond

// Clock is a monotonic clock. Its readings can be compared only with each other. They contain no monotonic reading of package time and are not
// affected by steps of the wall clock.
type Clock struct {
	readClocks ReadFunc
	readBoot   func() (time.Duration, error)
	// startWall, startMonotonic and startBoot are the readings of the three clocks when the Clock was created.
	startWall                 time.Time
	startMonotonic, startBoot time.Duration
	// skew is the last known difference between wall clock and monotonic time. suspended is the time for which the machine was suspended.
	skew, suspended atomic.Int64
}

// ReadFunc reads the wall clock, and the monotonic time since an arbitrary moment, at the same instant.
type ReadFunc func() (wall time.Time, monotonic time.Duration)

var (
	// processStart is the origin of the process clock's monotonic time.
	processStart = time.Now()
	// processClock is the clock that Now reads.
	processClock = New(readSystemClocks, SinceBoot)
)

func readSystemClocks() (time.Time, time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(processStart)
}

// Now returns the time of the process-wide clock.
func Now() time.Time { return processClock.Now() }

// SinceBoot returns the time since the machine was booted, including the time for which it was suspended.
func SinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// New returns a clock based on the given readings of the wall clock, the monotonic time and the time since boot.
func New(readClocks ReadFunc, readBoot func() (time.Duration, error)) *Clock {
	ck := &Clock{readClocks: readClocks, readBoot: readBoot}
	ck.startWall, ck.startMonotonic = readClocks()
	// If the boot time cannot be read, suspensions are not detected and the clock equals the monotonic time. Reading it does not fail on systems
	// that support CLOCK_BOOTTIME.
	ck.startBoot, _ = readBoot()
	return ck
}

// Now returns the current time of the clock.
func (ck *Clock) Now() time.Time {
	wall, monotonic := ck.readClocks()
	elapsed := monotonic - ck.startMonotonic
	skew := wall.Sub(ck.startWall) - elapsed
	if change := skew - time.Duration(ck.skew.Load()); change.Abs() > maxSkew {
		ck.updateSuspended(elapsed, skew)
	}
	return ck.startWall.Add(elapsed + time.Duration(ck.suspended.Load()))
}

// updateSuspended reads the time since boot and updates the suspended time, which never decreases.
func (ck *Clock) updateSuspended(elapsed, skew time.Duration) {
	// Store the skew even if reading the boot time fails, so that a system without this clock is asked only once per change of the skew.
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
