package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// crashingJobOneIn is which part of the jobs has a task that crashes its workers, modelCrash the longest time from its start to that.
	crashingJobOneIn    = 12
	crashDelayMaxMillis = 1500
	// crashLimit is after how many crashes a guilty task may be started twice more.
	crashLimit = 3
	// endedQueryInterval is the least time between two questions which lives have ended.
	endedQueryInterval = 1200 * time.Millisecond
	// roomKnown is how long an owner may take to know that a room has shrunk: its registration is told within registrationDelayMillis, and an owner that
	// stood still for longer than stalledAfter asks anew.
	registrationDelayMillis = 1000
	roomKnownWithin         = registrationDelayMillis*time.Millisecond + stalledAfter + 250*time.Millisecond
)

// modelCrashes holds which tasks end the workers that start them, and what came of it.
type modelCrashes struct {
	crashing map[job.Task]bool
	// lossesUnder counts the workers that ended while a task ran there, by lossesCaused those that it ended.
	lossesUnder, lossesCaused map[job.Task]int
	// startsAfterLimit counts the starts of a guilty task after modelCrashes.
	startsAfterLimit map[job.Task]int
	// failures counts the attempts of a task that failed.
	failures map[job.Task]int
	// givenUpWithoutFault counts jobs givenUp up that have no guilty task, givenUp all that were.
	givenUpWithoutFault, givenUp int
	// rooms are what workers had, newest last.
	rooms map[WorkerID][]pastRoom
}

type pastRoom struct {
	until time.Time
	room  job.Size
}

func newModelCrashes() modelCrashes {
	return modelCrashes{crashing: map[job.Task]bool{}, lossesUnder: map[job.Task]int{}, lossesCaused: map[job.Task]int{}, startsAfterLimit: map[job.Task]int{}, failures: map[job.Task]int{}, rooms: map[WorkerID][]pastRoom{}}
}

// chooseCrashingTask makes the first task of one of a job's steps a guilty one, in some jobs.
func (md *model) chooseCrashingTask(sp *job.Spec) {
	if md.rnd.Intn(crashingJobOneIn) == 0 {
		md.crashes.crashing[job.Task{Job: sp.ID, Step: md.rnd.Intn(len(sp.Steps))}] = true
	}
}

// scheduleCrash makes an attempt of a guilty task crash its worker after a while.
func (md *model) scheduleCrash(wk *modelWorker, tk job.Task, rn *modelRun) {
	if rn.reason == EndFailed {
		md.crashes.failures[tk]++
	}
	if !md.crashes.crashing[tk] {
		return
	}
	rn.crashesWorker, rn.endsAt = true, md.now.Add(md.millis(0, crashDelayMaxMillis))
	md.schedule(rn.endsAt.Sub(md.now), func() {
		if wk.alive {
			md.processEnds(wk)
		}
	})
}

// recordLosses charges what runs on a worker that ends.
func (md *model) recordLosses(wk *modelWorker) {
	for tk, rn := range wk.runs {
		md.crashes.lossesUnder[tk]++
		if rn.crashesWorker && !md.now.Before(rn.endsAt) {
			md.crashes.lossesCaused[tk]++
		}
	}
}

// checkCrashes checks that a task which has ended modelCrashes workers is not started a third time more by owners that hear of the store.
func (md *model) checkCrashes(tk job.Task) {
	if md.crashes.lossesCaused[tk] < crashLimit || md.giverCutOff {
		return
	}
	md.crashes.startsAfterLimit[tk]++
	if md.crashes.startsAfterLimit[tk] >= crashLimit {
		md.violatef("%v starts for the %dth time more after %d crashes", tk, md.crashes.startsAfterLimit[tk], md.crashes.lossesCaused[tk])
	}
}

// checkGivenUp checks what is kept of a job that has failed: it has a task that failed too often, or under which workers ended, and stays failed.
func (md *model) checkGivenUp(row SaveRow) {
	before := md.progress[row.ID].Progress
	if before != nil && before.State.Ended() && before.State != row.Progress.State {
		md.violatef("%s was %s and is %s", row.ID, before.State, row.Progress.State)
	}
	if row.Progress.State != job.Failed || before != nil && before.State == job.Failed {
		return
	}
	sp := md.jobs[row.ID].spec
	cause, guilty := false, false
	for step := range sp.Steps {
		for at := range sp.Steps[step].Count {
			tk := job.Task{Job: row.ID, Step: step, Index: at}
			guilty = guilty || md.crashes.crashing[tk] || md.crashes.failures[tk] >= modelAttempts
			cause = cause || md.crashes.lossesUnder[tk] >= 2 || md.crashes.failures[tk] >= modelAttempts
		}
	}
	md.crashes.givenUp++
	if !guilty {
		md.crashes.givenUpWithoutFault++
	}
	if !cause {
		md.violatef("%s is given up without a cause", row.ID)
	}
}

// resize lets a worker's room shrink or grow. Its registration is told later.
func (md *model) resize(wk *modelWorker) {
	if !wk.alive {
		return
	}
	rooms := md.crashes.rooms[wk.info.ID]
	md.crashes.rooms[wk.info.ID] = append(rooms, pastRoom{md.now, wk.info.Room})
	wk.info.Room.CPUMillis = 1000 + 500*md.rnd.Intn(7)
	info := wk.info
	md.tracef("%s has room for %d", info.ID, info.Room.CPUMillis)
	for _, ow := range md.owners {
		md.schedule(md.millis(1, registrationDelayMillis), func() {
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
func (md *model) knownRoom(wk *modelWorker) job.Size {
	room := wk.info.Room
	for _, old := range md.crashes.rooms[wk.info.ID] {
		if old.until.After(md.orderSent.Add(-roomKnownWithin)) {
			room.CPUMillis = max(room.CPUMillis, old.room.CPUMillis)
		}
	}
	return room
}

// logLosses notes what owners make of workers that end.
func (md *model) logLosses(dc Decision) {
	switch {
	case dc.Loss != nil:
		md.tracef("lost %s: %+v, %s", dc.Worker, *dc.Loss, dc.Why)
	case len(dc.LostWorkers) > 0:
		md.tracef("%v given up after %v", dc.Task, dc.LostWorkers)
	case dc.What == "start" && dc.Why != "room and turn":
		md.tracef("%v starts by itself on %s", dc.Task, dc.Worker)
	}
}

// queryEnded tells an owner which of the workers that it misses have ended; at times the platform does not answer.
func (md *model) queryEnded(ow *modelOwner) {
	if md.now.Sub(ow.queriedAt) < endedQueryInterval {
		return
	}
	missing, _ := ow.core.Unresponsive(md.now)
	if len(missing) == 0 {
		return
	}
	ow.queriedAt = md.now
	if md.rnd.Intn(3) == 0 {
		return
	}
	md.schedule(md.millis(5, 400), func() {
		md.deliver(ow, func() {
			for _, id := range missing {
				if !md.workers[id].alive && md.liveIncarnation(id.Name()) == nil {
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
		for md.eventCount < modelEvents && md.playEvent() {
		}
		given, innocent = given+md.crashes.givenUp, innocent+md.crashes.givenUpWithoutFault
	}
	t.Logf("%d jobs given up, %d of them innocent", given, innocent)
	if given == 0 || 20*innocent > given {
		t.Errorf("%d jobs given up, %d of them innocent", given, innocent)
	}
}
