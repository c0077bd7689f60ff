package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// smallTask is a quarter of a core.
var smallTask = job.Size{CPUMillis: 250, MemoryMB: 10}

// allowanceTestBed is several cells whose owners share one account through a store that always answers.
type allowanceTestBed struct {
	t       *testing.T
	cells   []*testBed
	row     AccountRow
	version int64
	// running holds the tasks of the organisation that were started, in all cells.
	running int
}

// newAllowanceTestBed returns cells with four workers of four cores each, and an organisation with a maximum.
func newAllowanceTestBed(t *testing.T, cells int, maximum job.Size) *allowanceTestBed {
	t.Helper()
	ab := &allowanceTestBed{t: t}
	cf := &job.Configuration{Organisations: job.NewDirectory([]job.Organisation{{ID: "mill", Maximum: maximum}})}
	for i := range cells {
		cf.Queues = append(cf.Queues, job.Queue{ID: "q", Pool: job.PoolID(fmt.Sprint("pool", i))})
	}
	for _, qu := range cf.Queues {
		bd := newTestBedOf(t, qu.Pool, 4)
		bd.core.SetOrganisations(cf)
		ab.cells = append(ab.cells, bd)
	}
	ab.play(time.Second)
	return ab
}

// addTasks adds jobs of one task each to a cell.
func (ab *allowanceTestBed) addTasks(cell int, id string, organisation job.OrganisationID, size job.Size, count int) {
	bd := ab.cells[cell]
	for i := range count {
		sp := &job.Spec{ID: job.ID(fmt.Sprint(id, i)), Queue: "q", Pool: bd.pool, Organisation: organisation, Steps: []job.Step{{Count: 1, Size: size}}, Epoch: bd.core.Epoch(), AcceptedAt: bd.now}
		bd.core.Add(bd.now, StoredJob{Spec: sp})
	}
}

// play lets the owners plan, and read and write the account, for a time. All orders are carried out, and tasks end
// only when they are stopped.
func (ab *allowanceTestBed) play(duration time.Duration) {
	const step = 50 * time.Millisecond
	for range duration / step {
		for _, bd := range ab.cells {
			bd.advance(step)
			bd.core.UpdateAccount(ab.row)
			ab.write(bd)
			orders := bd.plan()
			for _, od := range orders {
				if st, ok := od.(Stop); ok {
					bd.answerOrder(st, Done)
					bd.unreadEnds[st.Worker] = append(bd.unreadEnds[st.Worker], bd.newEnd(Start{Worker: st.Worker, Task: st.Task, Attempt: st.Attempt}, EndStopped))
				}
			}
			for _, st := range startsIn(orders) {
				bd.answerOrder(st, Done)
				if bd.core.jobs[st.Task.Job].spec.Organisation == "mill" {
					ab.running++
				}
			}
			for id, poll := range bd.pendingPolls {
				bd.answerPoll(poll, bd.runningOn(id), bd.unreadEnds[id])
				delete(bd.unreadEnds, id)
			}
		}
	}
}

// runningOn returns the attempts that run on a worker.
func (bd *testBed) runningOn(id WorkerID) []Running {
	var list []Running
	for _, pl := range bd.core.workers[id].placed {
		if slices.ContainsFunc(bd.unreadEnds[id], func(en End) bool { return en.Task == pl.task && en.Attempt == pl.attempt }) {
			continue
		}
		list = append(list, Running{Task: pl.task, Attempt: pl.attempt})
	}
	return list
}

// write writes the account if its owner has to and has read the newest version.
func (ab *allowanceTestBed) write(bd *testBed) {
	for _, rw := range bd.core.AccountWrites(bd.now) {
		if rw.Version != ab.row.Version {
			continue
		}
		ab.version++
		rw.Version = ab.version
		ab.row = rw
		bd.core.AccountsWritten([]AccountRow{rw}, ab.version)
	}
}

// TestCellsWithoutRoomLeaveAnOrganisationItsMaximumElsewhere checks that an organisation gets at least half of its maximum in a cell with room,
// although it has jobs waiting in cells that have none.
func TestCellsWithoutRoomLeaveAnOrganisationItsMaximumElsewhere(t *testing.T) {
	const maxCores, blockedTasks = 12, 2
	for blocked := 1; blocked <= 4; blocked++ {
		t.Run(fmt.Sprint(blocked, " cells without room"), func(t *testing.T) {
			ab := newAllowanceTestBed(t, 5, cores(maxCores))
			for i := range blocked {
				// 16 cores, of which the organisation gets half a one.
				ab.addTasks(i, "mine", "mill", smallTask, blockedTasks)
				ab.play(time.Second)
				ab.addTasks(i, "others", "", smallTask, 16*4-blockedTasks)
				ab.play(time.Second)
				ab.addTasks(i, "waiting", "mill", smallTask, 200)
			}
			ab.play(2 * time.Second)
			if ab.running != blocked*blockedTasks {
				t.Fatalf("%d tasks run in %d cells without room", ab.running, blocked)
			}
			ab.addTasks(4, "wanted", "mill", smallTask, 4*8)
			ab.play(3 * time.Second)
			if 2*ab.running*smallTask.CPUMillis < 1000*maxCores {
				t.Errorf("the organisation runs %d tasks of a quarter of a core with a maximum of %d cores; %+v", ab.running, maxCores, ab.row.Account)
			}
		})
	}
}

// replaceOwner gives a cell a new owner while its predecessor has not released it. The new owner has polled all workers but one, which is silent. Of
// the tasks on each of the others, at most left are still running.
func (ab *allowanceTestBed) replaceOwner(cell int, silent WorkerID, left int) {
	former := ab.cells[cell]
	bd := newTestBedOf(ab.t, former.pool, 0)
	bd.now = former.now
	bd.core = New(former.pool, testEpoch+100, former.core.opts)
	bd.core.TakeOver(bd.now, bd.now, former.core.UsedWorkers(), false)
	bd.core.queues, bd.core.ledger.maxima, bd.core.ledger.cellCount = former.core.queues, former.core.ledger.maxima, former.core.ledger.cellCount
	for i := range 4 {
		bd.register(testWorkerID(i))
	}
	for _, js := range former.core.openJobs {
		bd.core.Add(bd.now, StoredJob{Spec: js.spec})
	}
	bd.core.UpdateAccount(ab.row)
	for id, poll := range pollsByWorker(bd.plan()) {
		if id != silent {
			running := former.runningOn(id)
			bd.answerPoll(poll, running[:min(left, len(running))], nil)
		}
	}
	delete(bd.pendingPolls, silent)
	ab.cells[cell] = bd
}

// TestSuccessorDoesNotCountFoundTasksTwice checks that the owner after another gets an organisation at least half of its maximum although one worker
// is silent, and that all tasks of the former owner that may be on that worker still count.
func TestSuccessorDoesNotCountFoundTasksTwice(t *testing.T) {
	const maxCores = 8
	for _, found := range []int{8, 12, 14} {
		t.Run(fmt.Sprint(found, " tasks found"), func(t *testing.T) {
			ab := newAllowanceTestBed(t, 5, cores(maxCores))
			ab.addTasks(0, "former", "mill", smallTask, found)
			ab.play(time.Second)
			if ab.running != found {
				t.Fatalf("%d tasks run", ab.running)
			}
			inherited := ab.row.Account["pool0"].Held
			ab.replaceOwner(0, "w3", found)
			ab.addTasks(0, "next", "mill", smallTask, 100)
			ab.play(3 * time.Second)
			if ab.cells[0].core.TakeoverComplete() {
				t.Fatal("the silent worker is resolved")
			}
			if 2*ab.running*smallTask.CPUMillis < 1000*maxCores {
				t.Errorf("the organisation runs %d tasks of a quarter of a core with a maximum of %d cores; %+v", ab.running, maxCores, ab.row.Account)
			}
			if most := cores(maxCores).Sub(inherited); (ab.running-found)*smallTask.CPUMillis > most.CPUMillis {
				t.Errorf("%d tasks started beside an inherited allowance of %v", ab.running-found, inherited)
			}
		})
	}
}

// TestSilentWorkerCountsNoMoreThanItsRoom checks that the owner after another gets an organisation at least half of its maximum although one worker is
// silent and the former owner held more than has room there, and that what has room there still counts.
func TestSilentWorkerCountsNoMoreThanItsRoom(t *testing.T) {
	const maxCores, left = 14, 2
	ab := newAllowanceTestBed(t, 5, cores(maxCores))
	// 12 cores on four workers.
	ab.addTasks(0, "former", "mill", smallTask, 48)
	ab.play(time.Second)
	if ab.running != 48 {
		t.Fatalf("%d tasks run", ab.running)
	}
	ab.replaceOwner(0, "w3", left)
	ab.running = len(ab.cells[0].core.workers["w0"].placed) + len(ab.cells[0].core.workers["w1"].placed) + len(ab.cells[0].core.workers["w2"].placed)
	found := ab.running
	ab.addTasks(0, "next", "mill", smallTask, 100)
	ab.play(3 * time.Second)
	if 2*ab.running*smallTask.CPUMillis < 1000*maxCores {
		t.Errorf("the organisation runs %d tasks of a quarter of a core with a maximum of %d cores; %+v", ab.running, maxCores, ab.row.Account)
	}
	if most := 1000*maxCores - 4000; ab.running*smallTask.CPUMillis > most {
		t.Errorf("%d tasks run, %d of them found, beside a silent worker of four cores", ab.running, found)
	}
}

// TestUrgentWorkOfAnOrganisationPreemptsInAFullPool checks that urgent tasks of an organisation start in time in a pool that is full of less urgent
// ones, although the cell holds little for the organisation.
func TestUrgentWorkOfAnOrganisationPreemptsInAFullPool(t *testing.T) {
	const tasks, startWithin = 4, 1100 * time.Millisecond
	for _, running := range []int{0, 1} {
		t.Run(fmt.Sprint(running, " tasks running"), func(t *testing.T) {
			ab := newAllowanceTestBed(t, 5, cores(20))
			bd := ab.cells[0]
			bd.core.Configure([]job.Queue{
				{ID: "q", Pool: bd.pool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second, Priority: 1},
				{ID: "urgent", Pool: bd.pool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second},
			})
			ab.addTasks(0, "former", "mill", job.Size{CPUMillis: 2000, MemoryMB: 10}, running)
			ab.play(time.Second)
			ab.addTasks(0, "others", "", smallTask, 2*16*4)
			ab.play(time.Second)
			bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "urgent", Queue: "urgent", Pool: bd.pool, Organisation: "mill", Steps: []job.Step{{Count: tasks, Size: job.Size{CPUMillis: 3000, MemoryMB: 10}}}, Epoch: testEpoch, AcceptedAt: bd.now}})
			ab.play(startWithin)
			if got := bd.core.jobs["urgent"].tasksPlaced(); got != tasks {
				t.Errorf("%d of %d urgent tasks run after %v; %+v", got, tasks, startWithin, ab.row.Account)
			}
		})
	}
}

// tasksPlaced counts the tasks of a job that are on workers.
func (js *jobState) tasksPlaced() int {
	count := 0
	for _, wk := range js.core.sortedWorkers {
		count += js.tasksOn(wk)
	}
	return count
}

// TestPlannedStartThatMayMakeRoomAsksForItsAllowance checks that an urgent job whose start is planned for a full worker is still said to make room, also
// if another worker could take it: a job that waits only for its planned worker does not count towards what its organisation could use.
func TestPlannedStartThatMayMakeRoomAsksForItsAllowance(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, Priority: 2, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}, {ID: "urgent", Pool: testPool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Minute}})
	bd.core.NoteUnseenLosses(testEpoch)
	bd.fillWorkers()
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "urgent", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch - 1, AcceptedAt: bd.now}})
	bd.plan()
	planned := bd.core.jobs["j"].plannedWorker()
	for _, wk := range bd.core.workers {
		if wk.info.ID != planned {
			wk.used = taskStep(1).Size
		}
	}
	rd, st := bd.core.newRound(bd.now), bd.core.jobs["j"].singleRun[0].steps[0]
	if got := bd.core.unplacedReason(rd, st); got != WaitMakingRoom || !bd.core.waitsForPlannedWorker(rd, st) {
		t.Errorf("the job waits for %s, planned for %q", got, planned)
	}
}
