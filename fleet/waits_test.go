package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestWaitOfAJobIsLoggedAndMeasured checks the log line and the gauge of a job that waits for its organisation's allowance in a cell that this
// instance owns.
func TestWaitOfAJobIsLoggedAndMeasured(t *testing.T) {
	lines, seen := observer.New(zapcore.InfoLevel)
	rg, now := metrics.NewRegistry(), time.Unix(1_700_000_000, 0)
	fl := New(Options{Name: "own", Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}, Registry: rg, Log: event.New(zap.New(lines)), Now: func() time.Time { return now }})
	_, cancel := context.WithCancel(t.Context())
	ow := newOwner(fl, "pool", ownerRow{}, cancel)
	fl.owners["pool"] = ow
	ow.core.SetOrganisations(&job.Configuration{Organisations: job.NewDirectory([]job.Organisation{{ID: "mill", Maximum: job.Size{CPUMillis: 1000}}})})
	ow.core.Register(now, cell.Worker{ID: "w", Pool: "pool", Address: "w", Room: job.Size{CPUMillis: 1000}})
	ow.core.Add(now, cell.StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: "pool", Organisation: "mill", Steps: []job.Step{{Count: 1, Size: job.Size{CPUMillis: 1000}}}}})
	now = now.Add(3 * time.Second)
	ow.core.OwnershipConfirmed(now)
	ow.core.Plan(now)
	logged := seen.FilterField(zap.Int("event", int(event.JobsWait.ID))).All()
	if len(logged) != 1 || logged[0].ContextMap()["job"] != "j" || logged[0].ContextMap()["longest"] != 3*time.Second {
		t.Fatalf("want one line about the job, got %+v", logged)
	}
	reason, _ := logged[0].ContextMap()["why"].(string)
	if got := rg.Get("jobs.longestWaitMillis." + reason).(metrics.Gauge).Value(); got != 3000 {
		t.Errorf("the gauge of %s is %d ms", reason, got)
	}
}
