package worker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/platform"
	"github.com/aspenseam/aspenseam/worker"
)

// placing returns a round of placement: workers of eight slots half taken, jobs of 300 teams, and accelerators on some workers.
func placing(workers, jobs int) worker.Placing {
	pc := worker.Placing{Quotas: map[worker.TeamID]int{}, Used: map[worker.TeamID]int{}, Learner: worker.NewLearner(), Judge: worker.NewJudge(), Now: time.Now()}
	for ix := range workers {
		pc.Workers = append(pc.Workers, &worker.View{ID: platform.InstanceID(fmt.Sprintf("w%d", ix)), Total: worker.Size{CPUMillis: 16000, MemoryMB: 32 << 10, Accelerators: ix % 5}, Slots: 8, Usable: true, Busy: 4, Taken: worker.Size{CPUMillis: 8000, MemoryMB: 16 << 10}})
	}
	for ix := range jobs {
		team := worker.TeamID(fmt.Sprintf("t%d", ix%300))
		pc.Quotas[team] = 20
		pc.Queue = append(pc.Queue, &worker.Job{ID: worker.JobID(fmt.Sprintf("j%d", ix)), Team: team, Kind: "k", Declared: worker.Size{CPUMillis: 1000, MemoryMB: 2000, Accelerators: ix % 3}})
	}
	return pc
}

// BenchmarkPlace measures one round with 300 queued jobs at three sizes of the fleet.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, 150, 450} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				worker.Place(placing(workers, 300))
			}
		})
	}
}
