package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Parameters of evacuations in the model.
const (
	// evacuationPollMax is the longest interval at which an owner that reaches the store reads which data halls are evacuated.
	evacuationPollMax = 1500 * time.Millisecond
	// evacuationFaultPercent is the probability of an owner fault right after an evacuation or a return, in percent.
	evacuationFaultPercent = 40
	// longFreeze is a freeze that an owner must notice itself.
	longFreeze = stalledAfter + 2*idlePlanInterval
)

// modelHalls are the data halls of the model's workers.
var modelHalls = []job.HallID{"north", "south"}

// TestModelOfEvacuations plays worlds in which data halls are evacuated and restored at any moment, also all of them at once and while owners are
// replaced, frozen or cut off.
func TestModelOfEvacuations(t *testing.T) {
	events := 0
	for seed := *modelSeed; events < *modelSteps; seed++ {
		events += playModel(t, seed, newEvacuationModel(seed))
	}
	t.Logf("%d events", events)
}

// newEvacuationModel returns the world of a seed with evacuations and dense faults of owners.
func newEvacuationModel(seed int64) *model {
	md := newDenseModel(seed)
	md.evacuations, md.evacuatedSince = true, map[job.HallID]time.Time{}
	for number, wk := range md.allWorkers() {
		wk.info.Hall = modelHalls[number%len(modelHalls)]
		md.owners[0].core.Register(md.now, wk.info)
	}
	md.beginEvacuationPolls(md.owners[0])
	md.schedule(time.Second, md.toggleEvacuation)
	return md
}

// toggleEvacuation evacuates or restores a data hall and schedules the next change.
func (md *model) toggleEvacuation() {
	if md.faultsOff {
		return
	}
	md.schedule(md.millis(200, 4000), md.toggleEvacuation)
	hall := modelHalls[md.rnd.Intn(len(modelHalls))]
	if _, evacuated := md.evacuatedSince[hall]; evacuated {
		delete(md.evacuatedSince, hall)
		md.tracef("%s is restored", hall)
	} else {
		md.evacuatedSince[hall] = md.now
		md.tracef("%s is evacuated", hall)
	}
	md.injectOwnerFault(evacuationFaultPercent)
}

// beginEvacuationPolls makes a new owner read which data halls are evacuated. Its instance has followed the rows before, so it does not know of
// the newest changes only.
func (md *model) beginEvacuationPolls(ow *modelOwner) {
	if !md.evacuations {
		return
	}
	nextPoll := md.millis(1, int(evacuationPollMax.Milliseconds()))
	halls := map[job.HallID]bool{}
	for hall, since := range md.evacuatedSince {
		halls[hall] = md.now.Sub(since) >= evacuationPollMax-nextPoll
	}
	ow.evacuatedHalls = halls
	ow.core.SetEvacuatedHalls(halls)
	md.schedule(nextPoll, func() { md.pollEvacuations(ow) })
}

// pollEvacuations tells an owner which data halls are evacuated if it reaches the store.
func (md *model) pollEvacuations(ow *modelOwner) {
	if ow.dead {
		return
	}
	md.schedule(md.millis(1, int(evacuationPollMax.Milliseconds())), func() { md.pollEvacuations(ow) })
	if md.now.Before(ow.storeCutUntil) || md.now.Before(ow.frozenUntil) {
		return
	}
	halls := map[job.HallID]bool{}
	for hall := range md.evacuatedSince {
		halls[hall] = true
	}
	ow.evacuatedHalls, ow.evacuationsReadAt = halls, md.now
	ow.core.SetEvacuatedHalls(halls)
	md.plan(ow)
}

// evacuationsKnownAt returns the time as of which an owner knows which data halls are evacuated.
func (md *model) evacuationsKnownAt(ow *modelOwner) time.Time {
	if !md.evacuations {
		return md.now
	}
	return ow.evacuationsReadAt
}

// checkOrdered checks that an owner orders no start in a data hall that it knows, or has to know, to be evacuated.
func (md *model) checkOrdered(ow *modelOwner, od Order) {
	order, isStart := od.(Start)
	if !isStart || !md.evacuations {
		return
	}
	wk := md.workers[order.Worker]
	if order.Hall != wk.info.Hall {
		md.violatef("the start of %v on %s names the hall %q", order.Task, order.Worker, order.Hall)
	}
	if ow.evacuatedHalls[wk.info.Hall] {
		md.violatef("owner %d orders the start of %v in %s, which it knows to be evacuated", ow.epoch, order.Task, wk.info.Hall)
	}
	since, evacuated := md.evacuatedSince[wk.info.Hall]
	if !evacuated || md.now.Before(ow.storeCutUntil) {
		return
	}
	if ow.longFrozen && ow.evacuationsReadAt.Before(ow.frozenUntil) {
		md.violatef("owner %d orders the start of %v in %s after a freeze, before it has read which halls are evacuated", ow.epoch, order.Task, wk.info.Hall)
	}
	if late := md.now.Sub(latest(since, latest(ow.storeCutUntil, ow.frozenUntil))); late > evacuationPollMax {
		md.violatef("owner %d orders the start of %v in %s %v after its evacuation", ow.epoch, order.Task, wk.info.Hall, late)
	}
}

// TestModelOfEvacuationsWhatIsLeft replays worlds with evacuations in which a job is given up for losses that were none, or a task that crashes its
// workers is started once more. No evacuation is violated in them.
func TestModelOfEvacuationsWhatIsLeft(t *testing.T) {
	for _, seed := range []int64{
		90000812, 90004143, 90005311, 91002185, 91002187, 91002299, 91002405, 91002561, 91002633, 91002711, 91003727, 91005811, 91005955, 92000147, 92000253, 92003355,
		95000319, 95000651, 95000729, 95001087, 95001212, 95001297, 95001327, 95001329, 95001367, 95001925, 95001937,
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playModel(t, seed, newEvacuationModel(seed)) })
	}
}
