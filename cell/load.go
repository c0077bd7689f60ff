package cell

import (
	"maps"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// WorkerLoad is what one worker has to do.
type WorkerLoad struct {
	ID      WorkerID  `json:"id"`
	Machine MachineID `json:"machine"`
	// Idle is for how long nothing has run there; 0 while something does.
	Idle time.Duration `json:"idle,omitempty"`
	// Usable means that it takes tasks, or will as soon as it has been looked at.
	Usable bool `json:"usable,omitempty"`
}

// Load is what a cell has to do, in machines' worth of its scarcest resource.
type Load struct {
	Pool job.PoolID `json:"pool"`
	// Epoch is that of the owner who tells it.
	Epoch job.Epoch `json:"epoch,omitempty"`
	// LongRunning is taken by tasks that last, Placed by all tasks.
	LongRunning float64 `json:"lasting"`
	Placed      float64 `json:"placed"`
	// Demand is what would end all open jobs by their objectives.
	Demand float64 `json:"needed"`
	// UrgentDemand is the part of it for jobs that can still be in time, and for tasks that last.
	UrgentDemand float64 `json:"pressing,omitempty"`
	// MinWorkers is how many workers the spread limits of open steps want.
	MinWorkers int `json:"least,omitempty"`
	// Slack is the time that the jobs of the queue with the shortest objective can wait.
	Slack   time.Duration `json:"slack"`
	Workers []WorkerLoad  `json:"workers,omitempty"`
	// FullQueues are the queues whose jobs cannot be served at this time, with when callers are to come back.
	FullQueues map[job.QueueID]time.Duration `json:"full,omitempty"`
	OpenJobs   int                           `json:"open"`
	// Drained are the wanted workers on which nothing runs any more, and nothing will be started; whoever knows what is wanted adds them.
	Drained []WorkerName `json:"clear,omitempty"`
}

// Windows within which the work of jobs is to be done, for the size of the pool.
const (
	// demandWindowMin bounds the window of a job that is nearly due.
	demandWindowMin = 800 * time.Millisecond
	// demandWindowShare is the part of a job's spare time that is used up before more machines are wanted. All of it would keep every
	// job waiting until the last moment.
	demandWindowShare = 0.25
	// demandWindowExpired is the time within which a job of no worth any more is to end.
	demandWindowExpired = 8 * time.Second
)

// Load returns what the cell has to do.
func (cr *Core) Load(now time.Time) Load {
	ld := Load{Pool: cr.pool, Epoch: cr.epoch, OpenJobs: len(cr.open), Slack: cr.minSlack()}
	unit := cr.unit()
	for _, wk := range cr.list {
		for _, pl := range wk.placed {
			part := unit.shareOf(pl.room)
			ld.Placed += part
			if pl.step.spec.LongRunning {
				ld.LongRunning += part
			}
		}
		if !wk.listed || cr.cordoned(now, wk) {
			continue
		}
		load := WorkerLoad{ID: wk.info.ID, Machine: wk.info.Machine, Usable: !wk.info.Draining && !wk.info.Unschedulable && wk.fails == 0}
		if len(wk.places) == 0 && len(wk.foreign) == 0 && wk.fenced {
			load.Idle = now.Sub(wk.busyAt) + 1
		}
		ld.Workers = append(ld.Workers, load)
	}
	ld.FullQueues = cr.fullQueues(now, unit)
	for _, js := range cr.open {
		if !js.ended() && !cr.paused[js.spec.Queue] {
			needed := cr.jobDemand(now, js, unit)
			ld.Demand += needed
			if js.spec.Steps[0].LongRunning || cr.laxity(now, js) >= 0 {
				ld.UrgentDemand += needed
			}
			ld.MinWorkers = max(ld.MinWorkers, js.minWorkers())
		}
	}
	return ld
}

// machineSize is a machine's, as the unit of loads.
type machineSize job.Size

// unit is the mean size of the cell's workers.
func (cr *Core) unit() machineSize {
	var sum job.Size
	count := 0
	for _, wk := range cr.list {
		if wk.info.Room.CPUMillis > 0 {
			sum, count = sum.Add(wk.info.Room), count+1
		}
	}
	if count == 0 {
		return machineSize{}
	}
	return machineSize{sum.CPUMillis / count, sum.MemoryMB / count, sum.Accelerators / count}
}

// shareOf is the share of a machine that a room takes of its scarcest resource.
func (sz machineSize) shareOf(room job.Size) float64 {
	return max(fraction(room.CPUMillis, sz.CPUMillis), fraction(room.MemoryMB, sz.MemoryMB), fraction(room.Accelerators, sz.Accelerators))
}

// jobDemand is how many machines would end a job by its objective.
func (cr *Core) jobDemand(now time.Time, js *jobState, unit machineSize) float64 {
	known := cr.runTimes.get(js.spec.Queue)
	mean := known.mean.Seconds()
	sum, work := 0.0, 0.0
	for at := range js.spec.Steps {
		sp := &js.spec.Steps[at]
		part := unit.shareOf(sp.ResourceRequest())
		if sp.LongRunning {
			sum += part * float64(sp.Count)
			continue
		}
		left := sp.Count
		if rn := js.runs[max(0, js.nextRun-1)]; rn != nil {
			left -= rn.steps[at].done
		}
		work += part * float64(left) * mean
	}
	if work > 0 && cr.plagued(now, js.spec.Queue) {
		sum += turnTime.Seconds() / turnWithin.Seconds()
	}
	chain := time.Duration(max(1, js.criticalStepsLeft)) * known.mean
	return sum + work/max(demandWindowMin, chain+cr.demandWindow(now, js)).Seconds()
}

// demandWindow is how much of its waiting time a job may use up. A late job may use what is left until it is of no worth; one of no worth presses
// least, since machines that end it soon are taken from jobs that can still be in time.
func (cr *Core) demandWindow(now time.Time, js *jobState) time.Duration {
	if left := cr.laxity(now, js); left >= 0 {
		return time.Duration(demandWindowShare * float64(left))
	}
	if left := cr.expiryLaxity(now, js); left >= 0 {
		return time.Duration(demandWindowShare * float64(left))
	}
	return demandWindowExpired
}

// minWorkers is how many workers the spread limits of a job's steps that are not done want.
func (js *jobState) minWorkers() int {
	most := 0
	rn := js.runs[max(0, js.nextRun-1)]
	for at := range js.spec.Steps {
		sp := &js.spec.Steps[at]
		if sp.SpreadLimit > 0 && (rn == nil || rn.steps[at].done < sp.Count) {
			most = max(most, (sp.Count+sp.SpreadLimit-1)/sp.SpreadLimit)
		}
	}
	return most
}

// typicalTasks is the number of tasks of a step by which the slack of a queue's jobs is judged.
const typicalTasks = 8

// minSlack is how long the jobs of the hastiest queue with open or past jobs can wait.
func (cr *Core) minSlack() time.Duration {
	least := time.Duration(0)
	for id, known := range cr.runTimes {
		qu, ok := cr.queues[id]
		if !ok {
			continue
		}
		slack := time.Duration((qu.Stretch-1)*float64(known.longestOf(typicalTasks))) + qu.Slack
		if least == 0 || slack < least {
			least = slack
		}
	}
	return least
}

// grabFor is how long a grabbed worker gets no tasks, unless it is gone by then.
const grabFor = 3 * time.Second

// Grab keeps idle workers free since their machines are to be moved, and returns those that are. A worker whose ends are not kept yet stays:
// it alone can tell them to a next owner.
func (cr *Core) Grab(now time.Time, names []WorkerName) []WorkerName {
	maps.DeleteFunc(cr.grabbed, func(_ WorkerName, until time.Time) bool { return !now.Before(until) })
	var granted []WorkerName
	for _, name := range names {
		if lives := cr.lives(name); len(lives) == 1 && cr.grab(now, lives[0]) {
			granted = append(granted, name)
		}
	}
	return granted
}

// grab keeps an idle worker free.
func (cr *Core) grab(now time.Time, wk *worker) bool {
	if !wk.fenced || len(wk.places) > 0 || len(wk.foreign) > 0 || len(wk.held) > 0 || wk.info.Draining || cr.cordoned(now, wk) {
		return false
	}
	cr.grabbed[wk.name] = now.Add(grabFor)
	cr.opts.Log(Decision{What: "worker given up", Worker: wk.info.ID, Why: "its machine is to move", PollAge: now.Sub(wk.lookedAt)})
	return true
}

// cordoned reports whether a worker gets no new tasks since its machine is wanted.
func (cr *Core) cordoned(now time.Time, wk *worker) bool {
	return cr.cordons[wk.name] || now.Before(cr.grabbed[wk.name])
}
