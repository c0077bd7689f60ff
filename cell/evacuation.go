package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// SetEvacuatedHalls sets the data halls whose workers get no new tasks. Running tasks continue to their end, and long-running tasks stay: moving
// them would interrupt callers whom the hall still serves. The caller must not modify the map afterwards.
func (cr *Core) SetEvacuatedHalls(halls map[job.HallID]bool) { cr.evacuatedHalls = halls }

// evacuated reports whether a worker is in an evacuated data hall. The hall of a worker that only the stored list names is not known, so such a
// worker counts as evacuated while any hall is.
func (cr *Core) evacuated(wk *worker) bool {
	return len(cr.evacuatedHalls) > 0 && (wk.info.Hall == "" || cr.evacuatedHalls[wk.info.Hall])
}

// Use of cold workers.
const (
	// coldRoomMin is the share of its room that is used on a worker that has just become cold, since it works, though slowly.
	coldRoomMin = 0.25
	// weightCold prefers workers that are not cold.
	weightCold = 2.0
)

// observeCold records how long a worker will still be slow after its start. A longer time than the remaining one begins a new cold period.
func (wk *worker) observeCold(now time.Time, left time.Duration) {
	until := now.Add(left)
	if left > 0 && !now.Before(wk.coldUntil) {
		wk.coldSince = now
	}
	wk.coldUntil = until
}

// cold reports whether a worker is still slow after its start.
func (wk *worker) cold(now time.Time) bool { return now.Before(wk.coldUntil) }

// coldRoom returns the room of a worker that is used while it is cold. It grows to the whole room as the worker warms up, so that load returns to
// an evacuated data hall at the pace at which its workers can take it.
func (wk *worker) coldRoom(now time.Time, room job.Size) job.Size {
	period := wk.coldUntil.Sub(wk.coldSince)
	if !wk.cold(now) || period <= 0 {
		return room
	}
	share := max(coldRoomMin, float64(now.Sub(wk.coldSince))/float64(period))
	return job.Size{CPUMillis: int(share * float64(room.CPUMillis)), MemoryMB: int(share * float64(room.MemoryMB)), Accelerators: room.Accelerators}
}

// noteEvacuationWait logs once for each step that it waits for workers that only evacuated data halls have.
func (cr *Core) noteEvacuationWait(now time.Time, st *step) {
	if len(cr.evacuatedHalls) == 0 || st.evacuationNoted {
		return
	}
	hall := cr.onlyEvacuatedFit(now, st)
	if hall == "" {
		return
	}
	st.evacuationNoted = true
	cr.opts.Log(Decision{What: "task waits", Task: job.Task{Job: st.job.spec.ID, Run: st.run, Step: st.index}, Why: "its data hall is evacuated: " + string(hall)})
}

// OnlyEvacuatedHall returns an evacuated data hall if a step of a job that has not arrived needs a label that only workers of evacuated halls have,
// and an empty name otherwise. Jobs that the owner knows, and labels that no worker has, are none of its matter.
func (cr *Core) OnlyEvacuatedHall(now time.Time, sp *job.Spec) job.HallID {
	if _, known := cr.jobs[sp.ID]; known || len(cr.evacuatedHalls) == 0 {
		return ""
	}
	for at := range sp.Steps {
		if hall := cr.labelOnlyEvacuated(now, sp.Steps[at].Label); hall != "" {
			return hall
		}
	}
	return ""
}

// labelOnlyEvacuated returns an evacuated data hall with a worker that has a label if no other hall has one.
func (cr *Core) labelOnlyEvacuated(now time.Time, label string) job.HallID {
	found := job.HallID("")
	if label == "" {
		return found
	}
	for _, wk := range cr.sortedWorkers {
		if !wk.registered || cr.leaving(now, wk) || !hasLabel(wk.info.Labels, label) {
			continue
		}
		if !cr.evacuated(wk) {
			return ""
		}
		found = wk.info.Hall
	}
	return found
}

// onlyEvacuatedFit returns an evacuated data hall with a worker that could run a task of the step if no other hall has one, and an empty name
// otherwise.
func (cr *Core) onlyEvacuatedFit(now time.Time, st *step) job.HallID {
	found := job.HallID("")
	for _, wk := range cr.sortedWorkers {
		empty := candidate{worker: wk, free: wk.info.Room}
		if !wk.registered || cr.leaving(now, wk) || !cr.feasible(now, st, &empty) {
			continue
		}
		if !cr.evacuated(wk) {
			return ""
		}
		found = wk.info.Hall
	}
	return found
}

// HallLoad is what a cell has in one data hall.
type HallLoad struct {
	Hall job.HallID
	// Workers is the number of registered workers, Cold the number of those that are still slow after their start.
	Workers, Cold int
	// Tasks is the number of tasks that run or may run.
	Tasks int
}

// HallLoads returns what the cell has in each data hall, sorted by name.
func (cr *Core) HallLoads(now time.Time) []HallLoad {
	found := map[job.HallID]*HallLoad{}
	for _, wk := range cr.sortedWorkers {
		if wk.info.Hall == "" {
			continue
		}
		hl := found[wk.info.Hall]
		if hl == nil {
			hl = &HallLoad{Hall: wk.info.Hall}
			found[wk.info.Hall] = hl
		}
		hl.Tasks += len(wk.placements) + len(wk.foreign)
		if !wk.registered {
			continue
		}
		hl.Workers++
		if wk.cold(now) {
			hl.Cold++
		}
	}
	list := make([]HallLoad, 0, len(found))
	for _, hl := range found {
		list = append(list, *hl)
	}
	slices.SortFunc(list, func(one, other HallLoad) int { return cmp.Compare(one.Hall, other.Hall) })
	return list
}
