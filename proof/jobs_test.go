package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
)

func jobRequest(id string, urgent bool) operator.JobRequest {
	return operator.JobRequest{ID: worker.JobID(id), Team: "heat", Kind: "dispatch", Urgent: urgent, Declared: worker.Size{CPUMillis: 1000, MemoryMB: 1000}}
}

func (fl *fleet) taskCounts() standin.TaskCounts {
	fl.t.Helper()
	var counts standin.TaskCounts
	control(fl.t, http.MethodGet, fl.store, "/control/tasks", nil, &counts)
	return counts
}

// holder returns the entry instance that places jobs now, nil if nobody does.
func (fl *fleet) holder() *entryProcess {
	fl.t.Helper()
	var rows []table.Row
	control(fl.t, http.MethodGet, fl.store, "/control/table/lease", nil, &rows)
	for _, rw := range rows {
		if rw.Key != "placer" {
			continue
		}
		var lease struct{ Holder string }
		_ = json.Unmarshal(rw.Value, &lease)
		for _, en := range fl.entries {
			if en.id == lease.Holder {
				return en
			}
		}
	}
	return nil
}

// awaitJobs waits until so many jobs have a state.
func (fl *fleet) awaitJobs(en *entryProcess, state worker.JobState, want int) []worker.Job {
	fl.t.Helper()
	var jobs []worker.Job
	eventually(fl.t, fmt.Sprintf("%d jobs %s", want, state), func() bool {
		var err error
		jobs, err = en.desk().Jobs(context.Background())
		count := 0
		for _, jb := range jobs {
			if jb.State == state {
				count++
			}
		}
		return err == nil && count == want
	})
	return jobs
}

func TestJobsRunOnceThroughKilledAndFrozenPlacers(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 4, endpoints: 4})
	ctx := context.Background()
	dk := fl.entries[0].desk()
	if err := dk.SetQuota(ctx, worker.Quota{Team: "heat", Slots: 100}); err != nil {
		t.Fatal(err)
	}
	control(t, http.MethodPut, fl.store, "/control/tasks", standin.TaskFaults{RunMs: 700, Used: worker.Size{CPUMillis: 500, MemoryMB: 500}}, nil)
	const jobs = 120
	var all []operator.JobRequest
	for number := range jobs {
		all = append(all, jobRequest(fmt.Sprintf("j%03d", number), false))
	}
	// Submitted twice, through two entry instances, with a lost answer: each is there once.
	fl.fail(standin.PlatformFaults{Table: worker.TableJob, LoseAnswers: 1})
	for _, en := range fl.entries[:2] {
		if err := en.desk().SubmitJobs(ctx, all...); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "somebody places", func() bool { return len(fl.taskCounts().Starts) > 0 })
	frozen := fl.holder()
	frozen.freeze()
	eventually(t, "another places", func() bool { en := fl.holder(); return en != nil && en != frozen })
	killed := fl.holder()
	killed.kill()
	frozen.thaw()
	eventually(t, "a third places", func() bool { en := fl.holder(); return en != nil && en != killed })
	fl.startEntry(killed)
	fl.awaitReady(killed)
	fl.awaitJobs(fl.entries[0], worker.JobDone, jobs)
	counts := fl.taskCounts()
	again := 0
	for _, starts := range counts.Starts {
		again += starts - 1
	}
	t.Logf("%d jobs done, %d started again, %d overlapping, %d starts refused by workers", jobs, again, len(counts.Overlaps), counts.Refused)
	if len(counts.Overlaps) > 0 || again > 0 {
		t.Errorf("overlaps %v, started again %d", counts.Overlaps, again)
	}
}

// A job ends each worker that starts it, while the entry instance that places is killed again and again. It is given up, and the jobs beside it
// are done.
func TestJobThatCrashesWorkersIsGivenUpThroughKilledPlacers(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 3, endpoints: 6, settings: map[string]map[string]any{"jobs": {"taskLease": "3s"}}})
	ctx := context.Background()
	dk := fl.entries[0].desk()
	if err := dk.SetQuota(ctx, worker.Quota{Team: "heat", Slots: 100}); err != nil {
		t.Fatal(err)
	}
	control(t, http.MethodPut, fl.store, "/control/tasks", standin.TaskFaults{RunMs: 300, CrashBy: []worker.JobID{"bad"}, BackMs: 1000, Used: worker.Size{CPUMillis: 500, MemoryMB: 500}}, nil)
	const good = 12
	all := []operator.JobRequest{jobRequest("bad", false)}
	for number := range good {
		all = append(all, jobRequest(fmt.Sprintf("j%03d", number), false))
	}
	if err := dk.SubmitJobs(ctx, all...); err != nil {
		t.Fatal(err)
	}
	for crash := range 3 {
		eventually(t, fmt.Sprintf("crash %d", crash+1), func() bool { return fl.taskCounts().Crashes["bad"] > crash })
		if killed := fl.holder(); killed != nil {
			killed.kill()
			fl.startEntry(killed)
			fl.awaitReady(killed)
		}
	}
	fl.awaitJobs(fl.entries[0], worker.JobFailed, 1)
	fl.awaitJobs(fl.entries[0], worker.JobDone, good)
	counts := fl.taskCounts()
	t.Logf("%d workers ended by the job", counts.Crashes["bad"])
	if counts.Crashes["bad"] > 5 || len(counts.Overlaps) > 0 {
		t.Errorf("%d workers ended by the job, overlaps %v", counts.Crashes["bad"], counts.Overlaps)
	}
}

func TestUrgentJobAmongManyAndBadWorkerAndCancellation(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 4})
	ctx := context.Background()
	dk := fl.entries[0].desk()
	if err := dk.SetQuota(ctx, worker.Quota{Team: "heat", Slots: 100}); err != nil {
		t.Fatal(err)
	}
	control(t, http.MethodPut, fl.store, "/control/tasks", standin.TaskFaults{RunMs: 60000, Used: worker.Size{CPUMillis: 500, MemoryMB: 500}, FailOn: []table.InstanceID{"w2"}}, nil)
	var all []operator.JobRequest
	for number := range 100 {
		all = append(all, jobRequest(fmt.Sprintf("j%03d", number), false))
	}
	giant := jobRequest("giant", false)
	giant.Declared.MemoryMB = 1 << 20
	if err := dk.SubmitJobs(ctx, append(all, giant)...); err != nil {
		t.Fatal(err)
	}
	for _, jb := range fl.awaitJobs(fl.entries[1], worker.JobUnschedulable, 1) {
		if jb.State == worker.JobUnschedulable && jb.ID != "giant" {
			t.Errorf("%s fits nowhere", jb.ID)
		}
	}
	eventually(t, "bad worker quarantined", func() bool {
		return strings.Contains(fl.entries[0].readLog()+fl.entries[1].readLog(), "worker quarantined")
	})
	submitted := time.Now()
	if err := fl.entries[1].desk().SubmitJobs(ctx, jobRequest("urgent", true)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "urgent job started", func() bool { return fl.taskCounts().FirstMs["urgent"] > 0 })
	t.Logf("urgent job started %v after it was sent, behind a full fleet", time.UnixMilli(fl.taskCounts().FirstMs["urgent"]).Sub(submitted).Round(time.Millisecond))
	before := fl.requestWrites()
	if err := dk.CancelJobs(ctx, operator.CancelRequest{Team: "heat", Kind: "dispatch", Why: "boiler stopped"}); err != nil {
		t.Fatal(err)
	}
	fl.awaitJobs(fl.entries[1], worker.JobCancelled, 101)
	t.Logf("101 jobs cancelled in %d transactions; the stops of running tasks are not counted", fl.requestWrites()-before)
	if err := dk.SubmitJobs(ctx, operator.JobRequest{ID: "x"}, operator.JobRequest{ID: "x"}); err == nil || !strings.Contains(err.Error(), "jobs[1]: id x stands twice") {
		t.Errorf("findings: %v", err)
	}
}
