package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Weights of the choice of a worker; the lowest sum wins. They only rank, so they have no unit.
const (
	// weightFree prefers workers that are fuller, so that large tasks find room elsewhere.
	weightFree = 1.0
	// weightRemote keeps tasks near their data.
	weightRemote = 10.0
	// weightAvoid keeps a task from where it failed.
	weightAvoid = 100.0
	// weightLasting keeps tasks that last together, so that the other machines can be lent to other pools.
	weightLasting = 20.0
	// weightRack keeps more than half of a lasting step out of one rack.
	weightRack = 40.0
	// weightMix keeps tasks that take what is left from those that serve.
	weightMix = 50.0
)

// place starts tasks, the most pressing jobs first.
func (cr *Core) place(now time.Time) {
	if !cr.window.open() {
		// The next answer brings the next round; until then nothing is sorted.
		return
	}
	waiting := cr.waiting(now)
	if len(waiting) == 0 {
		return
	}
	rd := cr.newRound(now)
	if len(rd.usable) == 0 {
		return
	}
	sorted := cr.sorted(now, waiting, len(rd.usable))
	cr.placeJobs(rd, sorted)
	if rd.untried && len(rd.full) == 0 {
		// Nothing else waits for room.
		rd.spare = true
		cr.placeJobs(rd, sorted)
	}
}

func (cr *Core) placeJobs(rd *round, jobs []*jobState) {
	for _, js := range jobs {
		if js.carried && len(cr.unresolved) > 0 {
			continue
		}
		if !cr.window.open() {
			return
		}
		cr.placeJob(rd, js)
	}
}

// waiting lists the open jobs some of whose tasks may have to be started.
func (cr *Core) waiting(now time.Time) []*jobState {
	var list []*jobState
	for _, js := range cr.open {
		if !js.ended() && !cr.paused[js.spec.Queue] && (!js.settled || js.spec.HasSchedule() && js.nextRun < js.spec.RunCount()) {
			list = append(list, js)
		}
	}
	return list
}

// Pressed reports whether tasks of a job wait to be started.
func (cr *Core) Pressed(now time.Time) bool { return len(cr.waiting(now)) > 0 }

// placeJob starts the tasks of a job that wait, as far as there is room. A job all of whose tasks that can start have been started is
// settled until something of it ends.
func (cr *Core) placeJob(rd *round, js *jobState) {
	settled := true
	for _, rn := range cr.due(rd.now, js) {
		for _, st := range rn.steps {
			if st.done < len(st.tasks) && rn.ready(st) && !cr.placeStep(rd, st) {
				settled = false
			}
		}
	}
	js.settled = settled
}

// candidate is a worker that takes tasks, with its room at this moment.
type candidate struct {
	*worker
	free job.Size
	// untold means that its registration is too old to count on all of its room.
	untold bool
	// ahead is the room of what is to be started there once there is some.
	ahead job.Size
	// newcomers are the tasks that were started there just now, where some queue crashes workers.
	newcomers newcomers
	// only is the job whose suspects have the worker to themselves; nil for none.
	only *jobState
	// shelter means that it is for tasks that last, given that its machine is wanted elsewhere: tasks of queues that crash workers stay away.
	shelter, given bool
}

// round is what one pass of placing knows.
type round struct {
	now    time.Time
	usable []*candidate
	// full holds rooms for which no worker has enough left, whatever else a task asks for.
	full []job.Size
	// lowest is the lowest priority of what runs, once it is known; preempted counts the steps for which tasks were to be stopped.
	lowest      int
	lowestKnown bool
	preempted   int
	// reserved counts the workers that are kept for tasks that last.
	reserved int
	// trials counts the workers that suspects have to themselves, untried tells that some were left waiting by their bound, spare that it is
	// the higher one.
	trials         int
	untried, spare bool
	// taken counts those that they had before the round.
	taken int
	// free and room are the sums of the usable workers.
	free, room size
	// byID finds the usable workers by name, once it is asked for.
	byID map[WorkerID]*candidate
}

// newRound looks at the workers that may get tasks now.
func (cr *Core) newRound(now time.Time) *round {
	taken := cr.trials()
	rd := &round{now: now, usable: cr.usable(now), trials: taken, taken: taken}
	for _, cd := range rd.usable {
		// A room that has shrunk below what runs in it takes nothing from the others.
		rd.free = size(job.Size(rd.free).Add(cd.free.NonNegative()))
		rd.room = size(job.Size(rd.room).Add(cd.info.Room))
	}
	cr.findNewcomers(rd)
	cr.holdIntents(rd)
	return rd
}

// hopeless reports whether no worker can have room for a task.
func (rd *round) hopeless(room job.Size) bool {
	for _, sz := range rd.full {
		if sz.Fits(room) {
			return true
		}
	}
	return false
}

// filled notes that no worker has room for a task, if that is why none was chosen.
func (rd *round) filled(room job.Size) {
	for _, cd := range rd.usable {
		if room.Fits(cd.free) {
			return
		}
	}
	rd.full = append(rd.full, room)
}

// usable lists the workers that may get tasks now.
func (cr *Core) usable(now time.Time) []*candidate {
	var list []*candidate
	for _, wk := range cr.list {
		if !cr.takes(now, wk) {
			continue
		}
		if len(wk.foreign) > 0 {
			// What runs there is not known by size.
			continue
		}
		room := cr.roomOf(now, wk)
		list = append(list, &candidate{worker: wk, free: room.Sub(wk.used), untold: room != wk.info.Room})
	}
	return dropSlow(now, list)
}

// takes reports whether a worker may get new tasks.
func (cr *Core) takes(now time.Time, wk *worker) bool {
	switch {
	case cr.leaves(now, wk) || cr.cordoned(now, wk) || wk.info.Unschedulable:
		return false
	case !wk.fenced || !wk.enlisted || wk.clockAt.IsZero() || wk.fails > 0 || wk.doubtful:
		return false
	case now.Before(wk.unwellUntil) || wk.judge.bad(now) || wk.onTrial():
		return false
	case !wk.listed:
		return now.Sub(wk.unlistedAt) < unlistedFor && now.Sub(wk.lookedAt) < freshLook
	}
	return true
}

// due returns the runs of a job whose time has come, in order.
func (cr *Core) due(now time.Time, js *jobState) []*run {
	if !js.spec.HasSchedule() && js.only != nil && !js.runsDone.Has(0) {
		return js.only
	}
	for js.nextRun < js.spec.RunCount() {
		if at := js.dueAt(js.nextRun); !at.IsZero() && at.After(now) {
			cr.wakeAt(at)
			break
		}
		if !js.runsDone.Has(js.nextRun) {
			js.begin(js.nextRun)
		}
		js.nextRun++
	}
	var runs []*run
	for at, rn := range js.runs {
		if js.runsDone.Has(at) {
			if !js.placed() {
				delete(js.runs, at)
			}
			continue
		}
		if at < js.nextRun {
			runs = append(runs, rn)
		}
	}
	slices.SortFunc(runs, func(one, other *run) int { return cmp.Compare(one.steps[0].run, other.steps[0].run) })
	if !js.spec.HasSchedule() {
		js.only = runs
	}
	return runs
}

// placeStep starts the tasks of a step that wait. It reports whether none is left waiting.
func (cr *Core) placeStep(rd *round, st *step) bool {
	now, room := rd.now, st.spec.ResourceRequest()
	var waiting, suspects []int
	held, intended := false, false
	for at := range st.tasks {
		ts := &st.tasks[at]
		if ts.done || ts.place != nil {
			continue
		}
		intended = intended || ts.intent != nil
		if !ts.lostAt.IsZero() && !cr.confirmed.After(ts.lostAt) {
			held = true
			continue
		}
		if ts.lost.total()+len(ts.lost.open) >= lossesMost {
			// One more would be one too many, unless one of those that are open turns out to be none.
			held = true
			continue
		}
		if ts.notBefore.After(now) {
			cr.wakeAt(ts.notBefore)
			held = true
			continue
		}
		if ts.stray != nil {
			cr.wakeAt(ts.stray.until)
			held = true
			continue
		}
		if ts.lost.suspected() && !st.spec.Gang {
			suspects = append(suspects, at)
			continue
		}
		waiting = append(waiting, at)
	}
	if len(waiting)+len(suspects) == 0 {
		return !held
	}
	if !cr.mayStart(st, 1) {
		return false
	}
	if st.since.IsZero() {
		st.since = now
	}
	if !intended && rd.hopeless(room) {
		cr.intendAhead(rd, st, waiting)
		cr.preempt(rd, st, len(waiting))
		cr.reserve(rd, st, len(waiting))
		cr.empty(rd, st, len(suspects))
		return false
	}
	if cr.queues[st.job.spec.Queue].Advice != nil && !cr.advised(now, st, rd.usable) {
		return false
	}
	if st.spec.Gang {
		cr.placeGang(rd, st, waiting)
		return false
	}
	held = !cr.placeSuspects(rd, st, suspects) || held
	without := 0
	for _, at := range waiting {
		if !cr.window.open() || cr.yields(rd, st.job) || !cr.mayStart(st, 1) {
			return false
		}
		if without > 0 && st.tasks[at].intent == nil {
			// The others of the step are as large.
			without++
			continue
		}
		cd := cr.pick(rd, st, at)
		if cd == nil {
			without++
			continue
		}
		if !cr.kept(rd, st, at, cd) {
			rd.hold(st.tasks[at].intent)
			held = true
			continue
		}
		cr.start(now, st, at, cd, st.tasks[at].attempt+1)
		rd.free = size(job.Size(rd.free).Sub(room))
	}
	if without > 0 {
		rd.filled(room)
		cr.intendAhead(rd, st, waiting)
		cr.preempt(rd, st, without)
		cr.reserve(rd, st, without)
		return false
	}
	st.since = time.Time{}
	return !held
}

// choose returns the best worker for a task, nil if none has room.
func (cr *Core) choose(now time.Time, st *step, at int, usable []*candidate) *candidate {
	var best *candidate
	var bestCost float64
	for _, cd := range usable {
		if !cr.allowed(now, st, cd) || !st.tasks[at].suits(now, st, cd) {
			continue
		}
		if cost := cr.cost(st, at, cd); best == nil || cost < bestCost {
			best, bestCost = cd, cost
		}
	}
	return best
}

// allowed reports whether a worker may run a task of the step.
func (cr *Core) allowed(now time.Time, st *step, cd *candidate) bool {
	sp := st.spec
	if !sp.ResourceRequest().Fits(cd.free) || cd.only != nil && cd.only != st.job || !cr.apart(now, st, cd) {
		return false
	}
	if sp.Label != "" && !hasLabel(cd.info.Labels, sp.Label) {
		return false
	}
	if sp.SpreadLimit > 0 && st.on(cd.worker) >= sp.SpreadLimit {
		return false
	}
	if cr.queues[st.job.spec.Queue].Advice != nil && st.tickets[cd.info.ID] == "" {
		return false
	}
	return true
}

// on counts the tasks of a step on a worker.
func (st *step) on(wk *worker) int {
	count := 0
	for _, pl := range wk.placed {
		if pl.step == st {
			count++
		}
	}
	for tk := range wk.foreign {
		if tk.Job == st.job.spec.ID && tk.Run == st.run && tk.Step == st.at {
			count++
		}
	}
	return count
}

// cost ranks a worker for a task.
func (cr *Core) cost(st *step, at int, cd *candidate) float64 {
	sp := st.spec
	cost := weightFree * share(cd.free.CPUMillis, cd.info.Room.CPUMillis)
	if sp.DataRack != "" && cd.info.Rack != sp.DataRack {
		cost += weightRemote
	}
	if st.tasks[at].avoid == cd.info.ID {
		cost += weightAvoid
	}
	if st.tasks[at].lost.suspected() {
		// Those of its own job are under the same suspicion.
		cost += weightCompany * float64(len(cd.placed)-2*st.job.on(cd.worker))
	}
	if sp.LongRunning {
		if cd.lasting > 0 {
			cost -= weightLasting
		}
		if 2*cr.onRack(st, cd.info.Rack) >= len(st.tasks) {
			cost += weightRack
		}
	}
	if sp.BestEffort {
		cost += weightMix * float64(cd.serving)
	}
	if sp.LatencyObjective > 0 {
		cost += weightMix * float64(cd.filling)
	}
	return cost
}

// onRack counts the tasks of a step in a rack.
func (cr *Core) onRack(st *step, rack string) int {
	count := 0
	for at := range st.tasks {
		if pl := st.tasks[at].place; pl != nil && pl.worker.info.Rack == rack {
			count++
		}
	}
	return count
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// start orders an attempt.
func (cr *Core) start(now time.Time, st *step, at int, cd *candidate, attempt job.Attempt) {
	ts := &st.tasks[at]
	wk := cd.worker
	ts.attempt = attempt
	tk := job.Task{Job: st.job.spec.ID, Run: st.run, Step: st.at, Index: at}
	pl := &placement{task: tk, step: st, worker: wk, attempt: attempt, phase: starting, token: cr.token(wk), room: st.spec.ResourceRequest(), ordered: now, pace: 100, trial: ts.lost.suspected(), noted: ts.intent != nil}
	cr.forgo(ts)
	ts.place = pl
	wk.put(pl)
	cr.window.underWay++
	if len(cr.plagues) > 0 {
		cd.newcomers.join(cr, now, now, st.job)
	}
	cd.free = cd.free.Sub(pl.room)
	st.job.begun = true
	wk.busyAt = now
	until := cr.until(wk, now)
	cr.gave(wk, until)
	why := "room and turn"
	if pl.trial {
		why = "by itself, since workers ended under it"
	}
	cr.opts.Log(Decision{What: "start", Task: tk, Attempt: attempt, Worker: wk.info.ID, Token: pl.token, Why: why, PollAge: now.Sub(wk.lookedAt), LossCount: ts.lost.total()})
	cr.order(Start{
		Worker: wk.info.ID, Address: wk.info.Address, Token: pl.token, Task: tk, Attempt: attempt,
		Payload: st.job.spec.Payload, PayloadAt: st.job.spec.Acceptor, LeaseUntil: until, Checkpoint: ts.checkpoint, Ticket: st.tickets[wk.info.ID],
	})
}
