package proof

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
)

var measureCapacity = flag.Bool("capacity", false, "measure the slopes of docs/CAPACITY.md, some three minutes")

const (
	capacityIdle    = 12 * time.Second
	capacityChanges = 30
	// clockTick is the unit of processor time in the kernel's process table.
	clockTick = 10 * time.Millisecond
)

// point is what control costs one entry instance at one size.
type point struct {
	instances     int
	residentMB    float64
	idleShare     float64 // of a core
	idleBytes     float64 // a second
	changeCPU     float64 // milliseconds
	changeBytes   float64
	executorShare float64
	executorBytes float64
}

// TestCapacitySlopes measures control at three sizes, with nine entry instances as real processes, and fits lines.
func TestCapacitySlopes(t *testing.T) {
	if !*measureCapacity {
		t.Skip("only with -capacity")
	}
	var points []point
	for _, size := range []int{50, 150, 450} {
		t.Run(strconv.Itoa(size), func(t *testing.T) { points = append(points, measurePoint(t, size)) })
	}
	for _, pt := range points {
		t.Logf("%d instances: resident %.1f MB; idle %.3f %% of a core, %.0f B/s; a change %.2f ms, %.0f B; a plan under way %.3f %% of a core, %.0f B/s", pt.instances, pt.residentMB, pt.idleShare*100, pt.idleBytes, pt.changeCPU, pt.changeBytes, pt.executorShare*100, pt.executorBytes)
	}
	fit(t, points, "resident MB", func(pt point) float64 { return pt.residentMB })
	fit(t, points, "idle % of a core", func(pt point) float64 { return pt.idleShare * 100 })
	fit(t, points, "idle B/s", func(pt point) float64 { return pt.idleBytes })
	fit(t, points, "ms a change", func(pt point) float64 { return pt.changeCPU })
	fit(t, points, "B a change", func(pt point) float64 { return pt.changeBytes })
	fit(t, points, "% of a core with a plan", func(pt point) float64 { return pt.executorShare * 100 })
	fit(t, points, "B/s with a plan", func(pt point) float64 { return pt.executorBytes })
}

func measurePoint(t *testing.T, size int) point {
	const entries = 9
	sp := shape{halls: 1, entries: entries, endpoints: 4, workMs: 5, ghosts: size - 4, ghostPools: max(1, size*199/450), settings: map[string]map[string]any{"platform": {"pollInterval": "1s"}, "peer": {"syncInterval": "1s"}}}
	fl := newFleet(t, sp)
	time.Sleep(3 * time.Second)
	pt := point{instances: size}
	idle := fl.during(func() { time.Sleep(capacityIdle) })
	pt.idleShare, pt.idleBytes = idle.share(entries), idle.rate(entries)
	changes := fl.during(func() {
		var version table.Version
		for turn := range capacityChanges {
			vw, err := fl.entries[0].desk().AcceptConfiguration(context.Background(), fmt.Sprintf(`{"weightMoves": %d}`, turn), version)
			if err != nil {
				t.Fatal(err)
			}
			version = vw.Version
			time.Sleep(100 * time.Millisecond)
		}
		fl.awaitInForce(version)
	})
	pt.changeCPU = (changes.cpu - idle.share(entries)*changes.took.Seconds()*entries) * 1000 / capacityChanges / entries
	pt.changeBytes = (float64(changes.bytes) - idle.rate(entries)*changes.took.Seconds()*entries) / capacityChanges / entries
	// A plan that waits is under way for as long as it is measured.
	fl.entries[entries-1].inbound.set("", true)
	fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1"}})
	time.Sleep(3 * time.Second)
	plan := fl.during(func() { time.Sleep(capacityIdle) })
	pt.executorShare, pt.executorBytes = plan.most.Seconds()/plan.took.Seconds(), plan.rate(entries)
	for _, en := range fl.entries {
		pt.residentMB = max(pt.residentMB, en.residentMB(t))
	}
	return pt
}

// cost is what all entry instances spent in a time.
type cost struct {
	took  time.Duration
	cpu   float64 // seconds
	most  time.Duration
	bytes int64
}

func (cs cost) share(entries int) float64 { return cs.cpu / cs.took.Seconds() / float64(entries) }
func (cs cost) rate(entries int) float64 {
	return float64(cs.bytes) / cs.took.Seconds() / float64(entries)
}

func (fl *fleet) during(work func()) cost {
	before := make([]time.Duration, len(fl.entries))
	bytes := fl.controlBytes()
	for ix, en := range fl.entries {
		before[ix] = en.processorTime(fl.t)
	}
	began := time.Now()
	work()
	cs := cost{took: time.Since(began), bytes: fl.controlBytes() - bytes}
	for ix, en := range fl.entries {
		used := en.processorTime(fl.t) - before[ix]
		cs.cpu += used.Seconds()
		cs.most = max(cs.most, used)
	}
	return cs
}

// controlBytes sums what went between entry instances and the platform, and among entry instances.
func (fl *fleet) controlBytes() int64 {
	var sum int64
	for _, en := range fl.entries {
		sum += en.store.bytes.Load() + en.inbound.bytes.Load()
	}
	return sum
}

// processorTime reads the process's user and system time.
func (ps *process) processorTime(t *testing.T) time.Duration {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", ps.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// residentMB reads the largest resident memory that the process had.
func (ps *process) residentMB(t *testing.T) float64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ps.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// fit logs the line through the points, its largest distance from them, and its value at the letter's size.
func fit(t *testing.T, points []point, what string, of func(point) float64) {
	var sx, sy, sxx, sxy float64
	count := float64(len(points))
	for _, pt := range points {
		px, py := float64(pt.instances), of(pt)
		sx, sy, sxx, sxy = sx+px, sy+py, sxx+px*px, sxy+px*py
	}
	slope := (count*sxy - sx*sy) / (count*sxx - sx*sx)
	base := (sy - slope*sx) / count
	worst := 0.0
	for _, pt := range points {
		worst = max(worst, math.Abs(of(pt)-base-slope*float64(pt.instances)))
	}
	t.Logf("%s: %.4g + %.4g for each instance, largest error %.3g, at 450: %.4g", what, base, slope, worst, base+450*slope)
}
