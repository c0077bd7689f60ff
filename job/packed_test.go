package job

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// largestProgress returns the largest progress that a job may have before it ends: each task but one of each open run has failed as often as it may
// and has lost, or may have lost, as many workers as it may. The workers are drawn from a pool.
func largestProgress(sp *Spec, maxAttempts, workers int, rnd *rand.Rand) *Progress {
	pg := &Progress{Attempts: map[string]Attempt{}, Losses: map[string]Losses{}}
	worker := func() string { return fmt.Sprintf("i-%08x~%s", rnd.Intn(workers), "loyw5ppu") }
	tasks := 0
	for _, st := range sp.Steps {
		tasks += st.Count
	}
	first := sp.RunCount() - min(sp.RunCount(), MaxOpenRuns(tasks))
	for run := range first {
		pg.CompletedRuns.Set(run)
	}
	for run := first; run < sp.RunCount(); run++ {
		for step, st := range sp.Steps {
			for index := range st.Count {
				addLargestTask(pg, Task{Run: run, Step: step, Index: index}, st.Gang, maxAttempts, worker)
			}
		}
	}
	return pg
}

// addLargestTask adds the largest state of a task.
func addLargestTask(pg *Progress, tk Task, gang bool, maxAttempts int, worker func() string) {
	key := TaskKey(tk)
	for attempt := range maxAttempts - 1 {
		put(&pg.FailedAttempts, key, append(pg.FailedAttempts[key], fmt.Sprintf("%d@%s", 1000+attempt, worker())))
	}
	pg.Attempts[key] = 100_000
	lo := Losses{WeakCount: 12, ObservedCount: 9, ExplainedCount: 8, LostAfter: 40 * time.Hour, LongestRun: 59 * time.Second, Late: true, Suspect: true}
	for range 4 {
		lo.Workers = append(lo.Workers, worker())
	}
	if gang {
		for attempt := range Attempt(maxLostAndOpen) {
			lo.GangAttempts = append(lo.GangAttempts, 1000+attempt)
		}
	}
	pg.Losses[key] = lo
	for range maxLostAndOpen - len(lo.Workers) {
		id := worker()
		addUnresolved(&pg.Unresolved, id, tk)
		if tk.Index%2 == 0 {
			addUnresolved(&pg.Started, id, tk)
		}
	}
}

// largestSpecs returns jobs at the limits of their fields.
func largestSpecs() map[string]*Spec {
	many := make([]Step, MaxSteps)
	for at := range many {
		many[at].Count = MaxTasks / MaxSteps
	}
	return map[string]*Spec{
		"one wide step":       {Steps: []Step{{Count: MaxTasks}}},
		"a wide gang":         {Steps: []Step{{Count: MaxTasks, Gang: true}}},
		"many steps":          {Steps: many},
		"many runs":           {Steps: []Step{{Count: 1}}, Repeats: MaxRepeats},
		"wide runs":           {Steps: []Step{{Count: MaxTasks}}, Repeats: MaxRepeats},
		"the reviewed job":    {Steps: []Step{{Count: 1300}}},
		"a small job":         {Steps: []Step{{Count: 2}, {Count: 20, DependsOn: []int{0}}}},
		"runs of a few tasks": {Steps: []Step{{Count: 3}, {Count: 4}}, Repeats: 500},
	}
}

// Guards against accepting jobs whose progress outgrows its rows: the largest progress that the limits of a job allow must stay below what the
// admission of jobs counts with, and must be read as it was written.
func TestLargestProgressStaysWithinItsBound(t *testing.T) {
	const maxRow = 49152
	for name, sp := range largestSpecs() {
		for _, maxAttempts := range []int{1, 4, 12} {
			for _, workers := range []int{9, maxNamedWorkers} {
				t.Run(fmt.Sprintf("%s, %d attempts, %d workers", name, maxAttempts, workers), func(t *testing.T) {
					pg := largestProgress(sp, maxAttempts, workers, rand.New(rand.NewSource(1)))
					packed, err := pack(pg)
					if err != nil {
						t.Fatal(err)
					}
					if bound := sp.MaxProgressBytes(maxAttempts); len(packed) > bound {
						t.Errorf("%d bytes, more than the bound of %d", len(packed), bound)
					}
					rows, err := EncodeProgressRows(pg, maxRow)
					if err != nil {
						t.Fatal(err)
					}
					for _, row := range rows {
						if len(row) > maxRow {
							t.Errorf("a row of %d bytes", len(row))
						}
					}
					checkSameProgress(t, rows, pg)
				})
			}
		}
	}
}

// checkSameProgress checks that rows hold a progress.
func checkSameProgress(t *testing.T, rows [][]byte, want *Progress) {
	t.Helper()
	got, err := DecodeProgressRows(rows)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %.300v, written as %.300v", got, want)
	}
}

// Guards against a change of the form of small rows, which former versions read.
func TestSmallProgressIsOneRowOfJSON(t *testing.T) {
	pg := largestProgress(&Spec{Steps: []Step{{Count: 5}}}, 4, 9, rand.New(rand.NewSource(1)))
	want, err := EncodeProgress(pg)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := EncodeProgressRows(pg, len(want))
	if err != nil || len(rows) != 1 || string(rows[0]) != string(want) {
		t.Errorf("%d rows, %v", len(rows), err)
	}
	checkSameProgress(t, rows, pg)
	// The end of a wide job is one small row, too.
	rows, err = EncodeProgressRows(&Progress{State: Failed, EndedAt: time.Unix(1_700_000_000, 0).UTC()}, 100)
	if err != nil || len(rows) != 1 {
		t.Errorf("%d rows for the end of a job, %v", len(rows), err)
	}
}

// Guards against taking garbled parts for progress, which would start tasks again that are done.
func TestGarbledPartsAreRejected(t *testing.T) {
	pg := largestProgress(&Spec{Steps: []Step{{Count: 40}}}, 4, 9, rand.New(rand.NewSource(1)))
	rows, err := EncodeProgressRows(pg, 500)
	if err != nil {
		t.Fatal(err)
	}
	for name, garbled := range map[string][][]byte{
		"a part is missing": rows[:len(rows)-1],
		"a part is twice":   append(rows[:len(rows):len(rows)], rows[1]),
		"a part is cut":     append(rows[:len(rows)-1:len(rows)-1], rows[len(rows)-1][:1]),
		"a byte differs":    append([][]byte{rows[0], append([]byte{rows[1][0], rows[1][1] ^ 1}, rows[1][2:]...)}, rows[2:]...),
		"another version":   append([][]byte{rows[0], append([]byte{9}, rows[1][1:]...)}, rows[2:]...),
	} {
		if _, err := DecodeProgressRows(garbled); err == nil {
			t.Errorf("%s: read without an error", name)
		}
	}
	other, err := EncodeProgressRows(largestProgress(&Spec{Steps: []Step{{Count: 40}}}, 4, 9, rand.New(rand.NewSource(3))), 500)
	if err != nil || string(other[0]) == string(rows[0]) {
		t.Errorf("two different saves have the same first row, %v", err)
	}
	rnd := rand.New(rand.NewSource(2))
	for range 2000 {
		raw, err := pack(pg)
		if err != nil {
			t.Fatal(err)
		}
		raw[rnd.Intn(len(raw))] = byte(rnd.Intn(256))
		// Whatever is read, reading ends.
		_, _ = unpack(raw)
	}
}
