package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

// inForceAt returns the configuration version that one entry instance runs, by its own word. One that could not be asked within the peers' time
// has said nothing, which is no version, and is asked again.
func (fl *fleet) inForceAt(en *entryProcess) (version table.Version) {
	fl.t.Helper()
	eventually(fl.t, en.id+" says which version it runs", func() bool {
		vw, err := en.desk().Configuration(context.Background())
		if err != nil {
			fl.t.Fatal(err)
		}
		for _, fc := range vw.ActiveVersions {
			if string(fc.Entry) == en.id && fc.Reachable {
				version = fc.Version
				return true
			}
		}
		return false
	})
	return version
}

func TestConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 1})
	dk := fl.entries[0].desk()
	ctx := context.Background()
	var version table.Version
	var old table.Version
	for turn := range 5 {
		vw, err := dk.AcceptConfiguration(ctx, fmt.Sprintf(`{"weightMoves": %d}`, turn), version)
		if err != nil {
			t.Fatal(err)
		}
		old, version = version, vw.Version
		fl.awaitInForce(version)
	}
	// A platform that reads stale must not bring an old one back, nor give it to one that starts.
	fl.fail(standin.PlatformFaults{StaleFeed: old})
	starting := fl.entries[3]
	starting.kill()
	fl.startEntry(starting)
	fl.awaitReady(starting)
	for range 20 {
		for _, en := range fl.entries {
			if got := fl.inForceAt(en); got < version {
				t.Fatalf("%s runs version %d after %d", en.id, got, version)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	// One that starts in an outage takes the newest that any peer has.
	fl.fail(standin.PlatformFaults{Down: true})
	starting.kill()
	fl.startEntry(starting)
	fl.awaitReady(starting)
	if got := fl.inForceAt(starting); got != version {
		t.Fatalf("started in an outage with version %d, want %d", got, version)
	}
}

func TestConfigurationReachesAnEntryThatIsCutOffFromThePlatform(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 1})
	fl.entries[3].store.set("", true)
	vw, err := fl.entries[0].desk().AcceptConfiguration(context.Background(), `{"ejectAfter": 7}`, 0)
	if err != nil {
		t.Fatal(err)
	}
	fl.awaitInForce(vw.Version)
}

func TestFaultyConfigurationIsRefusedWholeWithAllFindings(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	_, err := fl.entries[0].desk().AcceptConfiguration(context.Background(), "{\n \"weightMoves\": -1,\n \"colour\": \"red\"\n}", 0)
	if err == nil || !strings.Contains(err.Error(), "2:17: fleet.weightMoves") || !strings.Contains(err.Error(), "3:2: fleet.colour: unknown setting") {
		t.Fatalf("findings: %v", err)
	}
	fl.wantRows(table.TableSetting, 0)
	fl.wantRows(table.TableAudit, 0)
}

func TestOperatorsRaceForTheConfiguration(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 1, endpoints: 1})
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for ix, dk := range []*operator.Client{fl.entries[0].desk(), fl.entries[1].brunosDesk()} {
		wg.Go(func() {
			_, errs[ix] = dk.AcceptConfiguration(context.Background(), fmt.Sprintf(`{"weightMoves": %d}`, ix+1), 0)
		})
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Fatalf("one must win: %v, %v", errs[0], errs[1])
	}
	for ix, err := range errs {
		other := []string{"bruno", "alice"}[ix]
		if err != nil && !strings.Contains(err.Error(), "by "+other) {
			t.Errorf("the loser was told %v", err)
		}
	}
	// The answer of an accepted one is lost: it is accepted once.
	vw, err := fl.entries[0].desk().Configuration(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	fl.fail(standin.PlatformFaults{Table: table.TableSetting, LoseAnswers: 1})
	if _, err := fl.entries[0].desk().AcceptConfiguration(context.Background(), `{"weightMoves": 9}`, vw.Version); err != nil {
		t.Fatal(err)
	}
	fl.wantRows(table.TableAudit, 2)
}

func TestLeavingEndpointGetsNoNewWorkThroughAnyEntry(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 4, endpoints: 4, workMs: 5})
	fl.acceptSettings(quickPlans)
	tr := newTraffic(fl, 8, 8)
	defer tr.end(t, 4)
	// The membership lags and goes on listing it as live, and one entry instance is cut off from the platform.
	fl.fail(standin.PlatformFaults{StaleMembers: true})
	fl.entries[3].store.set("", true)
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindDrain, Instances: []table.InstanceID{"w1"}})
	fl.awaitPlan(id, operator.PlanDone)
	// The plan stopped it, so nothing may have been open; the journal says when it last ran something.
	if got := fl.actions.count(table.ActionStop, "w1"); got != 1 {
		t.Fatalf("stopped %d times", got)
	}
	if len(fl.actions.cut) > 0 {
		t.Errorf("cut: %v", fl.actions.cut)
	}
}

func TestLeavingIsLearnedFromTheEndpointsOwnRefusal(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 3, workMs: 5})
	fl.fail(standin.PlatformFaults{Down: true})
	fl.endpoints[0].fail(standin.EndpointFaults{Refuse: "leaving"})
	for _, en := range fl.entries {
		tl := load(t, en, 100, 4, get)
		if tl.good.Load() != 100 {
			t.Errorf("%s: good %d of 100", en.id, tl.good.Load())
		}
	}
	if refused := fl.endpoints[0].counts().Refused; refused > 10 {
		t.Errorf("a leaving endpoint was asked %d times", refused)
	}
}

// TestTimeUntilInForce measures the time from acceptance until all entry instances run a configuration, with the peers' pushes and by polling alone.
func TestTimeUntilInForce(t *testing.T) {
	sp := shape{halls: 1, entries: 9, endpoints: 1, settings: map[string]map[string]any{"platform": {"pollInterval": "1s"}, "peer": {"syncInterval": "1s"}}}
	fl := newFleet(t, sp)
	var version table.Version
	for _, pushed := range []bool{true, false} {
		var slowest time.Duration
		for turn := range 5 {
			for _, en := range fl.entries {
				en.inbound.set("", !pushed)
			}
			began := time.Now()
			vw, err := fl.entries[0].desk().AcceptConfiguration(context.Background(), fmt.Sprintf(`{"weightMoves": %d}`, turn), version)
			if err != nil {
				t.Fatal(err)
			}
			version = vw.Version
			eventually(t, "in force everywhere", func() bool {
				for _, en := range fl.entries {
					if !strings.Contains(en.readLog(), fmt.Sprintf(`"version":%d,"event":605`, version)) {
						return false
					}
				}
				return true
			})
			slowest = max(slowest, time.Since(began))
		}
		t.Logf("pushed by peers %t: the slowest of 5 changes was in force at 9 entry instances after %v", pushed, slowest.Round(time.Millisecond))
	}
}
