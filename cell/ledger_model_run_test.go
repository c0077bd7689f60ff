package cell

import (
	"fmt"
	"testing"
)

// playLedgers plays a world and returns the first violation that its checks find.
func playLedgers(seed int64, fault ledgerFault, boundedRoom bool) error {
	lw := newLedgerWorld(seed, fault, boundedRoom)
	for i := range ledgerEventCount {
		lw.playEvent()
		if i%500 == 499 {
			lw.playWithoutFaults()
		}
		if lw.err != nil {
			return fmt.Errorf("seed %d, event %d: %w", seed, i, lw.err)
		}
	}
	return nil
}

// TestModelOfLedgers plays worlds in which the owners of several cells start the tasks that their ledgers allow, under lost and late writes, stale
// rows, network partitions, takeovers with late orders of the previous owner, and changing maxima. The running tasks of an organisation must stay
// within its maximum. Without faults, no tasks may be left waiting.
func TestModelOfLedgers(t *testing.T) {
	for seed := *ledgerSeed; seed < *ledgerSeed+int64(max(1, *ledgerSteps/ledgerEventCount)); seed++ {
		if err := playLedgers(seed, noFault, false); err != nil {
			t.Fatal(err)
		}
	}
}

// TestModelOfLedgersWithBoundedRoom plays the same with cells whose room is bounded, changes, and may be none at all.
func TestModelOfLedgersWithBoundedRoom(t *testing.T) {
	for seed := *ledgerSeed; seed < *ledgerSeed+int64(max(1, *ledgerSteps/ledgerEventCount)); seed++ {
		if err := playLedgers(seed, noFault, true); err != nil {
			t.Fatal(err)
		}
	}
}

// TestModelOfLedgersWhatIsLeft replays worlds in which a maximum was lowered, one owner grew its allowance under the former maximum, and another one
// that had not read that row started tasks beside it.
func TestModelOfLedgersWhatIsLeft(t *testing.T) {
	for boundedRoom, seeds := range map[bool][]int64{false: {687, 1727, 1755}, true: {776, 980, 1151, 1390, 1803}} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%d bounded room %t", seed, boundedRoom), func(t *testing.T) {
				if err := playLedgers(seed, noFault, boundedRoom); err != nil {
					t.Fatal(err)
				}
			})
		}
	}
}

// TestModelOfLedgersFindsFaults checks that the model detects each deliberate fault within some worlds. The search starts near a seed that shows the
// fault. Unanswered writes have a separate test.
func TestModelOfLedgersFindsFaults(t *testing.T) {
	unbounded := map[ledgerFault]int64{writeConditionIgnored: 1, reconciledAtOnce: 309, epochIgnored: 210, othersIgnored: 1, nothingReturned: 1, endsNeverCounted: 1, runningNotAdopted: 25}
	bounded := map[ledgerFault]int64{writeConditionIgnored: 1, reconciledAtOnce: 599, epochIgnored: 27, othersIgnored: 1, nothingReturned: 1, endsNeverCounted: 1, runningNotAdopted: 24, roomIgnored: 1}
	for boundedRoom, faults := range map[bool]map[ledgerFault]int64{false: unbounded, true: bounded} {
		for fault, first := range faults {
			var err error
			for seed := first; seed < first+60 && err == nil; seed++ {
				err = playLedgers(seed, fault, boundedRoom)
			}
			if err == nil {
				t.Errorf("fault not detected with bounded room %t: %s", boundedRoom, fault)
				continue
			}
			t.Logf("bounded room %t, %s: %v", boundedRoom, fault, err)
		}
	}
}
