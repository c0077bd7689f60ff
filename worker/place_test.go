package worker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
)

// newPlacementInput returns the input of a round: half-full workers of eight slots, jobs of 300 teams, and accelerators on some workers.
func newPlacementInput(workers, jobs int) worker.PlacementInput {
	pi := worker.PlacementInput{Quotas: map[worker.TeamID]int{}, UsedSlots: map[worker.TeamID]int{}, Estimator: worker.NewSizeEstimator(), Failures: worker.NewFailureTracker(), Now: time.Now()}
	for ix := range workers {
		pi.Workers = append(pi.Workers, &worker.WorkerView{ID: table.InstanceID(fmt.Sprintf("w%d", ix)), Capacity: worker.Size{CPUMillis: 16000, MemoryMB: 32 << 10, Accelerators: ix % 5}, Slots: 8, Schedulable: true, UsedSlots: 4, Allocated: worker.Size{CPUMillis: 8000, MemoryMB: 16 << 10}})
	}
	for ix := range jobs {
		team := worker.TeamID(fmt.Sprintf("t%d", ix%300))
		pi.Quotas[team] = 20
		pi.Queue = append(pi.Queue, &worker.Job{ID: worker.JobID(fmt.Sprintf("j%d", ix)), Team: team, Kind: "k", Declared: worker.Size{CPUMillis: 1000, MemoryMB: 2000, Accelerators: ix % 3}})
	}
	return pi
}

// BenchmarkPlace measures one round with 300 queued jobs for three fleet sizes.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, 150, 450} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				worker.Place(newPlacementInput(workers, 300))
			}
		})
	}
}

// TestLearnedSizesAgainstFirstFit compares Place with first fit on declared sizes, for jobs whose declared sizes are far from their actual use.
func TestLearnedSizesAgainstFirstFit(t *testing.T) {
	rnd := rand.New(rand.NewPCG(9, 10))
	total := worker.Size{CPUMillis: 16000, MemoryMB: 32 << 10}
	factors := map[worker.Kind]float64{"dispatch": 0.3, "billing": 0.5, "valves": 1.6, "losses": 0.8}
	kinds := []worker.Kind{"dispatch", "billing", "valves", "losses"}
	type testJob struct {
		jb    *worker.Job
		truth worker.Size
	}
	newTestJob := func(number int) testJob {
		kind := kinds[rnd.IntN(len(kinds))]
		declared := worker.Size{CPUMillis: 1000 + rnd.IntN(4000), MemoryMB: 2000 + rnd.IntN(8000)}
		share := factors[kind] * (0.85 + 0.15*rnd.Float64())
		truth := worker.Size{CPUMillis: int(float64(declared.CPUMillis) * share), MemoryMB: int(float64(declared.MemoryMB) * share)}
		return testJob{&worker.Job{ID: worker.JobID(fmt.Sprintf("j%d", number)), Team: "heat", Kind: kind, Declared: declared, State: worker.JobQueued}, truth}
	}
	estimator := worker.NewSizeEstimator()
	for number := range 400 {
		tj := newTestJob(number)
		estimator.Observe(tj.jb.Kind, tj.jb.Declared, tj.truth)
	}
	var jobs []testJob
	for number := range 600 {
		jobs = append(jobs, newTestJob(1000+number))
	}
	fill := func(se *worker.SizeEstimator) (placed, overcommitted int) {
		var views []*worker.WorkerView
		for ix := range 50 {
			views = append(views, &worker.WorkerView{ID: table.InstanceID(fmt.Sprintf("w%02d", ix)), Capacity: total, Slots: 8, Schedulable: true})
		}
		var queue []*worker.Job
		truth := map[worker.JobID]worker.Size{}
		for _, tj := range jobs {
			queue = append(queue, tj.jb)
			truth[tj.jb.ID] = tj.truth
		}
		pr := worker.Place(worker.PlacementInput{Queue: queue, Workers: views, Quotas: map[worker.TeamID]int{"heat": 1000}, UsedSlots: map[worker.TeamID]int{}, Estimator: se, Failures: worker.NewFailureTracker(), Now: time.Now()})
		taken := map[table.InstanceID]int{}
		for _, pm := range pr.Placements {
			taken[pm.Instance] += truth[pm.Job.ID].MemoryMB
		}
		for _, memory := range taken {
			if memory > total.MemoryMB {
				overcommitted++
			}
		}
		return len(pr.Placements), overcommitted
	}
	placed, overcommitted := fill(estimator)
	declaredPlaced, declaredOvercommitted := firstFit(jobs, total, func(tj testJob) (*worker.Job, worker.Size) { return tj.jb, tj.truth })
	t.Logf("50 workers: %d jobs placed with %d workers over their memory; first fit on declared sizes: %d placed, %d over", placed, overcommitted, declaredPlaced, declaredOvercommitted)
	if placed <= declaredPlaced || overcommitted > 0 {
		t.Errorf("placed %d (%d over) against %d (%d over)", placed, overcommitted, declaredPlaced, declaredOvercommitted)
	}
}

// firstFit is the baseline: it picks the first worker with enough room for the declared size.
func firstFit[T any](jobs []T, total worker.Size, get func(T) (*worker.Job, worker.Size)) (placed, overcommitted int) {
	const workers, slots = 50, 8
	var declared, truth [workers]worker.Size
	var busy [workers]int
	for _, tj := range jobs {
		jb, real := get(tj)
		for ix := range workers {
			cpu, memory := declared[ix].CPUMillis+jb.Declared.CPUMillis, declared[ix].MemoryMB+jb.Declared.MemoryMB
			if busy[ix] >= slots || cpu > total.CPUMillis || memory > total.MemoryMB {
				continue
			}
			declared[ix] = worker.Size{CPUMillis: cpu, MemoryMB: memory}
			truth[ix].MemoryMB += real.MemoryMB
			busy[ix]++
			placed++
			break
		}
	}
	for ix := range workers {
		if truth[ix].MemoryMB > total.MemoryMB {
			overcommitted++
		}
	}
	return placed, overcommitted
}
