package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestHallLossDelaysNoClaim loses the data hall of a cell's owner in a large fleet, in which the instances of the hall still count as
// live. For any cell the first in the claim order must be in another hall.
func TestHallLossDelaysNoClaim(t *testing.T) {
	fl := New(Options{Name: "own", Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}})
	live := map[string]node{}
	for i := range 60 {
		name := fmt.Sprintf("edge-hall-%d-%d", i%5, i/5+1)
		live[name] = node{Name: name, Hall: job.HallID(fmt.Sprintf("h%d", i%5)), Power: 1.6}
	}
	fl.members.nodes = live
	const holder = "edge-hall-3-9"
	first := map[job.HallID]int{}
	for i := range 100 {
		for name, nd := range live {
			fl.opts.Name = name
			if fl.claimRank(fmt.Sprintf("cell%d", i), holder, live) == 0 {
				first[nd.Hall]++
			}
		}
	}
	if first["h3"] > 0 {
		t.Errorf("an instance of the lost hall is the first for %d of 100 cells", first["h3"])
	}
	for hall, count := range first {
		if count > 50 {
			t.Errorf("%s has the first instance for %d of 100 cells", hall, count)
		}
	}
}

// TestClaimOrderSpreadsHalls checks that the instances of one data hall do not follow each other in the claim order of a cell that never
// had a holder, although their names differ in the last letters only.
func TestClaimOrderSpreadsHalls(t *testing.T) {
	fl := New(Options{Name: "own", Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}, Now: time.Now})
	live := map[string]node{}
	for i := range 60 {
		name := fmt.Sprintf("edge-hall-%d-%d", i%5, i/5+1)
		live[name] = node{Name: name, Hall: job.HallID(fmt.Sprintf("h%d", i%5)), Power: 1.6}
	}
	longest := 0
	for i := range 20 {
		order := make([]job.HallID, len(live))
		for name, nd := range live {
			fl.opts.Name = name
			order[fl.claimRank(fmt.Sprintf("cell%d", i), "", live)] = nd.Hall
		}
		run := 0
		for at := range order {
			if at > 0 && order[at] == order[at-1] {
				run++
			} else {
				run = 1
			}
			longest = max(longest, run)
		}
	}
	if longest > 6 {
		t.Errorf("%d instances of one hall follow each other", longest)
	}
}
