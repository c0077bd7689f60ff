package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// crashingJobOneIn means that one in so many jobs has a task that crashes its workers.
	crashingJobOneIn = 12
	// crashDelayMaxMillis is the longest time from the start of a crashing task to the crash.
	crashDelayMaxMillis = 1500
	// crashLimit is the number of crashes after which a crashing task may be started at most twice more.
	crashLimit = 3
	// endedQueryInterval is the minimum time between two queries for ended incarnations.
	endedQueryInterval = 1200 * time.Millisecond
	// registrationDelayMillis is the longest time until a registration reaches the owners.
	registrationDelayMillis = 1000
	// roomKnownWithin is how long an owner may take to learn that a room has shrunk. The registration arrives within registrationDelayMillis, and an
	// owner that was stalled for longer than stalledAfter reads the registrations again.
	roomKnownWithin = registrationDelayMillis*time.Millisecond + stalledAfter + 250*time.Millisecond
)

// modelCrashes records which tasks crash their workers, and the consequences.
type modelCrashes struct {
	crashing map[job.Task]bool
	// lossesUnder is the number of workers that ended while running a task. lossesCaused is the number of them that the task crashed.
	lossesUnder, lossesCaused map[job.Task]int
	// startsAfterLimit is the number of starts of a crashing task after crashLimit crashes.
	startsAfterLimit map[job.Task]int
	// failures is the number of failed attempts of a task.
	failures map[job.Task]int
	// givenUp is the number of jobs given up. givenUpWithoutFault is the number of them without a task that crashes workers or fails too often.
	givenUpWithoutFault, givenUp int
	// rooms holds the former rooms of workers, newest last.
	rooms map[WorkerID][]pastRoom
	// planned means that the worker that is ending does so as planned.
	planned bool
}

// pastRoom is a room that a worker had until a time.
type pastRoom struct {
	until time.Time
	room  job.Size
}

func newModelCrashes() modelCrashes {
	return modelCrashes{crashing: map[job.Task]bool{}, lossesUnder: map[job.Task]int{}, lossesCaused: map[job.Task]int{}, startsAfterLimit: map[job.Task]int{}, failures: map[job.Task]int{}, rooms: map[WorkerID][]pastRoom{}}
}

// chooseCrashingTask makes the first task of one step a crashing task, in some jobs.
func (md *model) chooseCrashingTask(sp *job.Spec) {
	if md.rnd.Intn(crashingJobOneIn) == 0 {
		md.crashes.crashing[job.Task{Job: sp.ID, Step: md.rnd.Intn(len(sp.Steps))}] = true
	}
}

// scheduleCrash makes an attempt of a crashing task crash its worker after a random delay. It also counts attempts that fail.
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

// recordLosses counts the end of a worker as a loss of each task that runs there.
func (md *model) recordLosses(wk *modelWorker) {
	if md.crashes.planned {
		return
	}
	for tk, rn := range wk.runs {
		md.crashes.lossesUnder[tk]++
		if rn.crashesWorker && !md.now.Before(rn.endsAt) {
			md.crashes.lossesCaused[tk]++
		}
	}
}

// checkCrashes checks that a task which has crashed crashLimit workers is started at most twice more by owners that can read from the store.
func (md *model) checkCrashes(tk job.Task) {
	if md.crashes.lossesCaused[tk] < crashLimit || md.senderCutOff {
		return
	}
	md.crashes.startsAfterLimit[tk]++
	if md.crashes.startsAfterLimit[tk] >= crashLimit {
		md.violatef("%v starts for the %dth time after the crash limit, after %d crashes", tk, md.crashes.startsAfterLimit[tk], md.crashes.lossesCaused[tk])
	}
}

// checkGivenUp checks the saved progress of a failed job. The job must have a task that failed too often or lost workers, and must stay failed.
func (md *model) checkGivenUp(row SaveRow) {
	previous := md.progress[row.ID].Progress
	if previous != nil && previous.State.Ended() && previous.State != row.Progress.State {
		md.violatef("%s was %s and is %s", row.ID, previous.State, row.Progress.State)
	}
	if row.Progress.State != job.Failed || previous != nil && previous.State == job.Failed {
		return
	}
	sp := md.jobs[row.ID].spec
	cause, faulty := false, false
	for step := range sp.Steps {
		for i := range sp.Steps[step].Count {
			tk := job.Task{Job: row.ID, Step: step, Index: i}
			faulty = faulty || md.crashes.crashing[tk] || md.crashes.failures[tk] >= modelAttempts
			cause = cause || md.crashes.lossesUnder[tk] >= 2 || md.crashes.failures[tk] >= modelAttempts
		}
	}
	md.crashes.givenUp++
	if !faulty {
		md.crashes.givenUpWithoutFault++
	}
	if !cause {
		md.violatef("%s is given up without a cause", row.ID)
	}
}

// resize shrinks or grows the room of a worker. The owners receive the new registration later.
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
				// Registrations arrive in order, so one that is out of date is dropped.
				if wk.info.Room == info.Room {
					ow.core.Register(md.now, info)
				}
			})
		})
	}
}

// knownRoom returns the largest room of a worker that may have been known to the sender of the order being executed.
func (md *model) knownRoom(wk *modelWorker) job.Size {
	room := wk.info.Room
	for _, past := range md.crashes.rooms[wk.info.ID] {
		if past.until.After(md.orderSent.Add(-roomKnownWithin)) {
			room.CPUMillis = max(room.CPUMillis, past.room.CPUMillis)
		}
	}
	return room
}

// logLosses traces the decisions of owners about ended workers.
func (md *model) logLosses(dc Decision) {
	switch {
	case dc.Loss != nil:
		md.tracef("lost %s: %+v, %s", dc.Worker, *dc.Loss, dc.Why)
	case dc.Verdict != nil:
		md.tracef("%v given up after %v", dc.Task, dc.Verdict.History)
	case dc.What == "start" && dc.Why != "room and turn":
		md.tracef("%v starts alone on %s", dc.Task, dc.Worker)
	}
}

// queryEnded reports to an owner which of its unresponsive workers have ended. Some queries get no answer.
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

// TestModelGivesUpTheGuilty checks that hardly any job is given up that has no task which crashes workers or fails too often.
func TestModelGivesUpTheGuilty(t *testing.T) {
	givenUp, withoutFault := 0, 0
	for seed := int64(1000); seed < 1020; seed++ {
		md := newModel(seed, false)
		for md.eventCount < modelEvents && md.playEvent() {
		}
		givenUp, withoutFault = givenUp+md.crashes.givenUp, withoutFault+md.crashes.givenUpWithoutFault
	}
	t.Logf("%d jobs given up, %d of them without a faulty task", givenUp, withoutFault)
	if givenUp == 0 || 20*withoutFault > givenUp {
		t.Errorf("%d jobs given up, %d of them without a faulty task", givenUp, withoutFault)
	}
}
