package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Bounds of the check that no job stands with room free, according to the users' rule.
const (
	// modelMaxWait is how long a job may have nothing running although a task is ready and has room.
	modelMaxWait = 3 * time.Second
	// modelCalm is how long nothing has to have failed before. Leases that an earlier owner may have renewed have to run out too.
	modelCalm = 4 * time.Second
)

// modelWaits tells since when jobs stand.
type modelWaits struct {
	// calmSince is when something last failed.
	calmSince time.Time
	since     map[job.ID]time.Time
}

// checkWaits checks that no job stands for longer than the users' rule allows, while nothing fails.
func (md *model) checkWaits(mw *modelWaits) {
	calm := modelCalm + time.Duration(float64(md.opts.LeaseDuration+md.opts.RenewalWindow)/(1-md.opts.MaxClockDrift)) + deliveryMargin
	for _, id := range md.jobOrder {
		if !md.stands(id) {
			delete(mw.since, id)
			continue
		}
		since, known := mw.since[id]
		if !known {
			since = md.now
			mw.since[id] = md.now
		}
		if start := latest(since, mw.calmSince.Add(calm)); md.now.Sub(start) > modelMaxWait {
			md.violatef("job %s has had nothing running for %v with room free; its owner says %+v", id, md.now.Sub(since), md.currentOwner().core.findWaits(md.now))
			md.traceJob(id)
			return
		}
	}
}

// stands reports whether nothing of a job runs although a task of it is ready, has room twice, and less than half of all room is in use.
func (md *model) stands(id job.ID) bool {
	ow, jb := md.currentOwner(), md.jobs[id]
	if ow == nil || !jb.cancelled.IsZero() {
		return false
	}
	if state, known := ow.core.State(id); !known || state.Ended() {
		return false
	}
	var used, room job.Size
	for _, wk := range md.allWorkers() {
		if !wk.alive {
			continue
		}
		room = room.Add(wk.info.Room)
		for tk := range wk.runs {
			if tk.Job == id {
				return false
			}
			used = used.Add(md.stepOf(tk).ResourceRequest())
		}
	}
	return used.Mul(2).Fits(room) && md.hasReadyTask(id)
}

// hasReadyTask reports whether a job has a ready task with room for two of its kind. Steps that are tied to some of the workers are left out.
func (md *model) hasReadyTask(id job.ID) bool {
	sp := md.jobs[id].spec
	if sp.HasSchedule() {
		return false
	}
	for at := range sp.Steps {
		if st := &sp.Steps[at]; !st.Gang && st.Label == "" && st.SpreadLimit == 0 && md.stepReady(id, at) && md.roomFor(st.ResourceRequest()) >= 2 {
			return true
		}
	}
	return false
}

// stepReady reports whether a step has a task that is not done, and all tasks that it depends on are.
func (md *model) stepReady(id job.ID, at int) bool {
	sp := md.jobs[id].spec
	for _, before := range sp.Steps[at].DependsOn {
		for i := range sp.Steps[before].Count {
			if !md.done[job.Task{Job: id, Step: before, Index: i}] {
				return false
			}
		}
	}
	for i := range sp.Steps[at].Count {
		if !md.done[job.Task{Job: id, Step: at, Index: i}] {
			return true
		}
	}
	return false
}

// roomFor returns how many tasks of a size have room on the workers.
func (md *model) roomFor(size job.Size) int {
	count := 0
	for _, wk := range md.allWorkers() {
		if !wk.alive {
			continue
		}
		free := wk.info.Room
		for tk := range wk.runs {
			free = free.Sub(md.stepOf(tk).ResourceRequest())
		}
		for ; count < 2 && size.Fits(free); count++ {
			free = free.Sub(size)
		}
	}
	return count
}
