package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// modelGuilty is which part of the jobs has a task that crashes its workers, modelCrash the longest time from its start to that.
	modelGuilty = 12
	modelCrash  = 1500
	// modelCrashes is after how many crashes a guilty task may be started twice more.
	modelCrashes = 3
	// modelCensus is the least time between two questions which lives have ended.
	modelCensus = 1200 * time.Millisecond
	// roomKnown is how long an owner may take to know that a room has shrunk: its registration is told within modelTold, and an owner that
	// stood still for longer than stalledAfter asks anew.
	modelTold = 1000
	roomKnown = modelTold*time.Millisecond + stalledAfter + 250*time.Millisecond
)

// modelPlague holds which tasks end the workers that start them, and what came of it.
type modelPlague struct {
	guilty map[job.Task]bool
	// under counts the workers that ended while a task ran there, by itself those that it ended.
	under, itself map[job.Task]int
	// more counts the starts of a guilty task after modelCrashes.
	more map[job.Task]int
	// failures counts the attempts of a task that failed.
	failures map[job.Task]int
	// innocent counts jobs given up that have no guilty task, given all that were.
	innocent, given int
	// rooms are what workers had, newest last.
	rooms map[WorkerID][]roomUntil
}

type roomUntil struct {
	until time.Time
	room  job.Size
}

func newModelPlague() modelPlague {
	return modelPlague{guilty: map[job.Task]bool{}, under: map[job.Task]int{}, itself: map[job.Task]int{}, more: map[job.Task]int{}, failures: map[job.Task]int{}, rooms: map[WorkerID][]roomUntil{}}
}

// infect makes the first task of one of a job's steps a guilty one, in some jobs.
func (md *model) infect(sp *job.Spec) {
	if md.rnd.Intn(modelGuilty) == 0 {
		md.plague.guilty[job.Task{Job: sp.ID, Step: md.rnd.Intn(len(sp.Steps))}] = true
	}
}

// sicken makes an attempt of a guilty task crash its worker after a while.
func (md *model) sicken(wk *truthWorker, tk job.Task, rn *truthRun) {
	if rn.how == EndFailed {
		md.plague.failures[tk]++
	}
	if !md.plague.guilty[tk] {
		return
	}
	rn.crashes, rn.ends = true, md.now.Add(md.millis(0, modelCrash))
	md.at(rn.ends.Sub(md.now), func() {
		if wk.alive {
			md.settle(wk)
		}
	})
}

// bury charges what runs on a worker that ends.
func (md *model) bury(wk *truthWorker) {
	for tk, rn := range wk.runs {
		md.plague.under[tk]++
		if rn.crashes && !md.now.Before(rn.ends) {
			md.plague.itself[tk]++
		}
	}
}

// checkCrashes checks that a task which has ended modelCrashes workers is not started a third time more by owners that hear of the store.
func (md *model) checkCrashes(tk job.Task) {
	if md.plague.itself[tk] < modelCrashes || md.deaf {
		return
	}
	md.plague.more[tk]++
	if md.plague.more[tk] >= modelCrashes {
		md.breach("%v starts for the %dth time more after %d crashes", tk, md.plague.more[tk], md.plague.itself[tk])
	}
}

// checkGivenUp checks what is kept of a job that has failed: it has a task that failed too often, or under which workers ended, and stays failed.
func (md *model) checkGivenUp(row SaveRow) {
	before := md.progress[row.ID].Progress
	if before != nil && before.State.Ended() && before.State != row.Progress.State {
		md.breach("%s was %s and is %s", row.ID, before.State, row.Progress.State)
	}
	if row.Progress.State != job.Failed || before != nil && before.State == job.Failed {
		return
	}
	sp := md.jobs[row.ID].spec
	cause, guilty := false, false
	for step := range sp.Steps {
		for at := range sp.Steps[step].Count {
			tk := job.Task{Job: row.ID, Step: step, Index: at}
			guilty = guilty || md.plague.guilty[tk] || md.plague.failures[tk] >= modelAttempts
			cause = cause || md.plague.under[tk] >= 2 || md.plague.failures[tk] >= modelAttempts
		}
	}
	md.plague.given++
	if !guilty {
		md.plague.innocent++
	}
	if !cause {
		md.breach("%s is given up without a cause", row.ID)
	}
}

// resize lets a worker's room shrink or grow. Its registration is told later.
func (md *model) resize(wk *truthWorker) {
	if !wk.alive {
		return
	}
	rooms := md.plague.rooms[wk.info.ID]
	md.plague.rooms[wk.info.ID] = append(rooms, roomUntil{md.now, wk.info.Room})
	wk.info.Room.CPUMillis = 1000 + 500*md.rnd.Intn(7)
	info := wk.info
	md.note("%s has room for %d", info.ID, info.Room.CPUMillis)
	for _, ow := range md.owners {
		md.at(md.millis(1, modelTold), func() {
			md.deliver(ow, func() {
				// Registrations come in order: a later one holds.
				if wk.info.Room == info.Room {
					ow.core.Register(md.now, info)
				}
			})
		})
	}
}

// knownRoom is the largest room of a worker that the giver of the order being carried out may have believed in.
func (md *model) knownRoom(wk *truthWorker) job.Size {
	room := wk.info.Room
	for _, old := range md.plague.rooms[wk.info.ID] {
		if old.until.After(md.sent.Add(-roomKnown)) {
			room.CPUMillis = max(room.CPUMillis, old.room.CPUMillis)
		}
	}
	return room
}

// logLosses notes what owners make of workers that end.
func (md *model) logLosses(dc Decision) {
	switch {
	case dc.Loss != nil:
		md.note("lost %s: %+v, %s", dc.Worker, *dc.Loss, dc.Why)
	case len(dc.LostWorkers) > 0:
		md.note("%v given up after %v", dc.Task, dc.LostWorkers)
	case dc.What == "start" && dc.Why != "room and turn":
		md.note("%v starts by itself on %s", dc.Task, dc.Worker)
	}
}

// census tells an owner which of the workers that it misses have ended; at times the platform does not answer.
func (md *model) census(ow *modelOwner) {
	if md.now.Sub(ow.asked) < modelCensus {
		return
	}
	missing, _ := ow.core.Unresponsive(md.now)
	if len(missing) == 0 {
		return
	}
	ow.asked = md.now
	if md.rnd.Intn(3) == 0 {
		return
	}
	md.at(md.millis(5, 400), func() {
		md.deliver(ow, func() {
			for _, id := range missing {
				if !md.workers[id].alive && md.living(id.Name()) == nil {
					ow.core.WorkerEnded(md.now, id)
				}
			}
		})
	})
}

// TestModelGivesUpTheGuilty plays worlds and tells what was given up; hardly any of it may be innocent.
func TestModelGivesUpTheGuilty(t *testing.T) {
	given, innocent := 0, 0
	for seed := int64(1000); seed < 1020; seed++ {
		md := newModel(seed, false)
		for md.steps < modelEvents && md.next() {
		}
		given, innocent = given+md.plague.given, innocent+md.plague.innocent
	}
	t.Logf("%d jobs given up, %d of them innocent", given, innocent)
	if given == 0 || 20*innocent > given {
		t.Errorf("%d jobs given up, %d of them innocent", given, innocent)
	}
}
