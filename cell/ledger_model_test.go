package cell

import (
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

var (
	ledgerSteps = flag.Int("ledgersteps", 100000, "events that the model of several cells' ledgers plays")
	ledgerSeed  = flag.Int64("ledgerseed", 1, "first seed of the model of ledgers")
)

// Parameters of the model of ledgers.
const (
	ledgerEventCount  = 2500
	ledgerCellCount   = 4
	ledgerWorkerCount = 3
	// ledgerMaxRoom is the most room of a cell, in thousandths of a core. ledgerUnlimitedRoom stands for no bound.
	ledgerMaxRoom       = 40_000
	ledgerUnlimitedRoom = 1 << 40
	ledgerOrgCount      = 3
	ledgerTick          = 10 * time.Millisecond
	// ledgerMaxWait is how long tasks may wait without a start while no faults are injected, according to the users' rule.
	ledgerMaxWait = 3 * time.Second
)

// ledgerFault is a deliberate violation of one rule, which the checks of the model must detect.
type ledgerFault string

const (
	noFault               ledgerFault = "none"
	writeConditionIgnored ledgerFault = "the store accepts writes whose condition does not hold"
	reconciledAtOnce      ledgerFault = "a successor does not count the running tasks of its predecessor"
	epochIgnored          ledgerFault = "a successor uses the allowance of its predecessor without taking it over"
	othersIgnored         ledgerFault = "the allowances of other cells are ignored when a maximum is lowered"
	nothingReturned       ledgerFault = "surplus allowances are not returned"
	endsNeverCounted      ledgerFault = "ends are not counted"
	runningNotAdopted     ledgerFault = "running tasks are not counted when a worker is fenced"
	roomIgnored           ledgerFault = "cells ask for what they have no room for"
)

// ledgerTask is the true state of a task.
type ledgerTask struct {
	org    job.OrganisationID
	size   job.Size
	cell   int
	worker int
	// owner is the owner that counts the task, or nil if there is none.
	owner  *ledgerOwner
	endsAt time.Time
	// foundBy is the newest owner that found the task running, or nil if only the one that started it counted it.
	foundBy *ledgerOwner
	// maximum is the maximum in force when the task was ordered. An order that is executed late cannot take a lower one into account.
	maximum job.Size
}

// ledgerOwner is an owner of a cell with its view of the system.
type ledgerOwner struct {
	lg    *Ledger
	cell  int
	epoch job.Epoch
	dead  bool
	// storeCutUntil is when the owner can reach the store again.
	storeCutUntil time.Time
	// fenced holds the workers that the owner has polled.
	fenced map[int]bool
	// configIndex is the newest configuration that the owner knows.
	configIndex int
	waiting     map[job.OrganisationID][]job.Size
	startedAt   map[job.OrganisationID]time.Time
}

// ledgerWorld simulates several cells with one store.
type ledgerWorld struct {
	rnd            *rand.Rand
	fault          ledgerFault
	now            time.Time
	faultsOffSince time.Time
	rows           map[job.OrganisationID]AccountRow
	// history holds all versions of the rows. writtenAt is when each version was written.
	history   map[job.OrganisationID][]AccountRow
	writtenAt map[int64]time.Time
	version   int64
	// configs holds the maxima of all configurations. configuredAt is when each came into force.
	configs      []map[job.OrganisationID]job.Size
	configuredAt []time.Time
	owners       []*ledgerOwner
	current      [ledgerCellCount]*ledgerOwner
	workerEpochs [ledgerCellCount][ledgerWorkerCount]job.Epoch
	// room is the room of each cell for these organisations, in thousandths of a core. boundedRoom means that it is bounded and changes.
	boundedRoom bool
	room        [ledgerCellCount]int
	running     []*ledgerTask
	delayed     []func()
	err         error
}

func newLedgerWorld(seed int64, fault ledgerFault, boundedRoom bool) *ledgerWorld {
	lw := &ledgerWorld{
		rnd: rand.New(rand.NewSource(seed)), fault: fault, boundedRoom: boundedRoom, now: time.Unix(1_700_000_000, 0),
		rows: map[job.OrganisationID]AccountRow{}, history: map[job.OrganisationID][]AccountRow{}, writtenAt: map[int64]time.Time{},
	}
	lw.configure()
	for i := range ledgerCellCount {
		lw.room[i] = ledgerUnlimitedRoom
		if boundedRoom {
			lw.room[i] = ledgerMaxRoom
		}
		lw.replaceOwner(i)
	}
	return lw
}

func ledgerOrg(i int) job.OrganisationID { return job.OrganisationID(fmt.Sprintf("org%d", i)) }

// configure puts random maxima in force. The owners apply them later.
func (lw *ledgerWorld) configure() {
	maxima := map[job.OrganisationID]job.Size{}
	for i := range ledgerOrgCount {
		maxima[ledgerOrg(i)] = job.Size{CPUMillis: 1000 * (4 + lw.rnd.Intn(40)), MemoryMB: 1000 * (10 + lw.rnd.Intn(40))}
	}
	lw.configs, lw.configuredAt = append(lw.configs, maxima), append(lw.configuredAt, lw.now)
}

// applyConfig applies the newest configuration to the ledger of an owner.
func (lw *ledgerWorld) applyConfig(ow *ledgerOwner) {
	ow.configIndex = len(lw.configs) - 1
	cf := &job.Configuration{}
	for i := range ledgerCellCount {
		cf.Queues = append(cf.Queues, job.Queue{Pool: job.PoolID(fmt.Sprint(i))})
	}
	var list []job.Organisation
	for id, maximum := range lw.configs[ow.configIndex] {
		list = append(list, job.Organisation{ID: id, Maximum: maximum})
	}
	cf.Organisations = job.NewDirectory(list)
	ow.lg.Configure(cf)
}

// replaceOwner gives a cell a new owner, which does not yet know the running tasks. The previous owner may continue for a while.
func (lw *ledgerWorld) replaceOwner(cell int) {
	lw.version++
	ow := &ledgerOwner{cell: cell, epoch: job.Epoch(lw.version), fenced: map[int]bool{}, waiting: map[job.OrganisationID][]job.Size{}, startedAt: map[job.OrganisationID]time.Time{}}
	ow.lg = NewLedger(fmt.Sprint(cell), ow.epoch)
	if previous := lw.current[cell]; previous != nil {
		// The waiting tasks belong to the cell. The waiting times that are checked start over.
		ow.waiting = previous.waiting
		previous.waiting = map[job.OrganisationID][]job.Size{}
		if lw.rnd.Intn(3) > 0 {
			lw.stopOwner(previous)
		}
	}
	lw.current[cell] = ow
	lw.owners = append(lw.owners, ow)
	lw.applyConfig(ow)
	if lw.fault == reconciledAtOnce {
		ow.lg.MarkReconciled()
	}
	if lw.fault == epochIgnored {
		for id, rw := range lw.rows {
			copied := rw
			copied.Account = maps.Clone(rw.Account)
			al := copied.Account[ow.lg.cell]
			al.Epoch = ow.epoch
			copied.Account[ow.lg.cell] = al
			ow.lg.account(id).AccountRow = copied
		}
		ow.lg.MarkReconciled()
	}
}

// usedRoom returns the room that running tasks take in a cell.
func (lw *ledgerWorld) usedRoom(cell int) int {
	used := 0
	for _, lt := range lw.running {
		if lt.cell == cell {
			used += lt.size.CPUMillis
		}
	}
	return used
}

// changeRoom gives a cell other room, none in one of three cases.
func (lw *ledgerWorld) changeRoom(cell int) {
	lw.room[cell] = 0
	if lw.rnd.Intn(3) > 0 {
		lw.room[cell] = lw.rnd.Intn(ledgerMaxRoom)
	}
}

// stopOwner ends the process of an owner.
func (lw *ledgerWorld) stopOwner(ow *ledgerOwner) {
	ow.dead = true
	lw.owners = slices.DeleteFunc(lw.owners, func(other *ledgerOwner) bool { return other == ow })
	for _, lt := range lw.running {
		if lt.owner == ow {
			lt.owner = nil
		}
	}
}

// fenceWorker makes an owner fence a worker and count the tasks that run there.
func (lw *ledgerWorld) fenceWorker(ow *ledgerOwner, worker int) {
	if ow.fenced[worker] || lw.workerEpochs[ow.cell][worker] > ow.epoch {
		return
	}
	lw.workerEpochs[ow.cell][worker] = ow.epoch
	ow.fenced[worker] = true
	for _, lt := range lw.running {
		if lt.cell == ow.cell && lt.worker == worker && lw.fault != runningNotAdopted {
			lt.owner, lt.foundBy = ow, ow
			ow.lg.addFound(lt.org, lt.size, 1)
		}
	}
	if len(ow.fenced) == ledgerWorkerCount {
		ow.lg.MarkReconciled()
	}
}

// startTasks makes an owner start the waiting tasks that its ledger allows. Some starts are executed late.
func (lw *ledgerWorld) startTasks(ow *ledgerOwner) {
	for i := range ledgerOrgCount {
		id := ledgerOrg(i)
		for len(ow.waiting[id]) > 0 {
			size := ow.waiting[id][0]
			worker := lw.rnd.Intn(ledgerWorkerCount)
			if !ow.fenced[worker] || !ow.lg.AllowsTask(id, size) || lw.usedRoom(ow.cell)+size.CPUMillis > lw.room[ow.cell] {
				break
			}
			ow.waiting[id] = ow.waiting[id][1:]
			ow.startedAt[id] = lw.now
			ow.lg.addRunning(id, size, 1)
			lt := &ledgerTask{org: id, size: size, cell: ow.cell, worker: worker, owner: ow, endsAt: lw.now.Add(time.Duration(200+lw.rnd.Intn(1500)) * time.Millisecond), maximum: lw.highestKnownMaximum(ow, id)}
			if lw.faultsOn() && lw.rnd.Intn(5) == 0 {
				lw.delay(func() { lw.executeStart(lt, ow) })
				continue
			}
			lw.executeStart(lt, ow)
		}
	}
}

// executeStart executes a start unless its worker has seen a later owner, and checks the maximum.
func (lw *ledgerWorld) executeStart(lt *ledgerTask, ow *ledgerOwner) {
	if lw.workerEpochs[lt.cell][lt.worker] > ow.epoch {
		ow.lg.addRunning(lt.org, lt.size, -1)
		return
	}
	if ow.dead {
		lt.owner = nil
	}
	lw.running = append(lw.running, lt)
	sum, count := job.Size{}, 0
	for _, other := range lw.running {
		if other.org == lt.org {
			sum = sum.Add(other.size)
			count++
		}
	}
	maximum := lt.maximum.Max(lw.highestKnownMaximum(ow, lt.org))
	if count > 1 && !within(sum, maximum, maximum) && lw.err == nil {
		lw.err = fmt.Errorf("%v has %v running, its maximum is %v", lt.org, sum, maximum)
	}
}

// highestKnownMaximum returns the highest maximum that an owner may still apply to an organisation. It covers all configurations since the oldest one
// that a living owner uses, and since the row that the owner knows was the newest, because that row determines what it assumes the others to hold.
func (lw *ledgerWorld) highestKnownMaximum(ow *ledgerOwner, id job.OrganisationID) job.Size {
	since := lw.now
	for _, other := range lw.owners {
		if other.configIndex < len(lw.configs)-1 {
			since = earliest(since, lw.configuredAt[other.configIndex])
		}
	}
	known := ow.lg.account(id).Version
	for _, rw := range lw.history[id] {
		if rw.Version > known {
			since = earliest(since, lw.writtenAt[rw.Version])
			break
		}
	}
	maximum := lw.configs[len(lw.configs)-1][id]
	for i := len(lw.configs) - 2; i >= 0; i-- {
		if lw.configuredAt[i+1].Before(since) {
			break
		}
		maximum = maximum.Max(lw.configs[i][id])
	}
	return maximum
}

// delay queues an action that is executed at a later event.
func (lw *ledgerWorld) delay(run func()) { lw.delayed = append(lw.delayed, run) }

// faultsOn reports whether faults are injected at this time.
func (lw *ledgerWorld) faultsOn() bool { return lw.faultsOffSince.IsZero() }

// writeAccounts makes an owner write the allowances that it requests or returns.
func (lw *ledgerWorld) writeAccounts(ow *ledgerOwner) {
	if ow.storeCutUntil.After(lw.now) {
		return
	}
	rows := ow.lg.PendingWrites(lw.now, lw.demand(ow))
	if lw.fault == nothingReturned {
		rows = slices.DeleteFunc(rows, func(rw AccountRow) bool {
			own, known := ow.lg.account(rw.Organisation).Account[ow.lg.cell]
			return known && own.Epoch == ow.epoch && within(rw.Account[ow.lg.cell].Held, own.Held, own.Held)
		})
	}
	if len(rows) == 0 {
		return
	}
	answered := true
	if lw.faultsOn() {
		switch lw.rnd.Intn(8) {
		case 0:
			return
		case 1:
			answered = false
		case 2:
			lw.delay(func() { lw.commit(rows) })
			return
		}
	}
	version, conflicts := lw.commit(rows)
	if !answered {
		return
	}
	for _, rw := range conflicts {
		ow.lg.Update(rw)
	}
	if version != 0 {
		ow.lg.Written(rows, version)
	}
}

// demand returns the demand of the organisations in the cell of an owner. Their tasks start in order, so what follows one without room is blocked.
func (lw *ledgerWorld) demand(ow *ledgerOwner) map[job.OrganisationID]Demand {
	demand := map[job.OrganisationID]Demand{}
	for id, list := range ow.waiting {
		dm, free := Demand{}, lw.room[ow.cell]-lw.usedRoom(ow.cell)
		for i, size := range list {
			dm.Waiting = dm.Waiting.Add(size)
			free -= size.CPUMillis
			switch {
			case free < 0 && lw.fault != roomIgnored:
				dm.Blocked = dm.Blocked.Add(size)
			case i == 0:
				dm.Unit = size
			}
		}
		if len(list) > 0 {
			demand[id] = dm
		}
	}
	return demand
}

// commit writes rows if their conditions hold. It returns the new version, or the current rows in conflict.
func (lw *ledgerWorld) commit(rows []AccountRow) (int64, []AccountRow) {
	var conflicts []AccountRow
	for _, rw := range rows {
		if now := lw.rows[rw.Organisation]; now.Version != rw.Version {
			conflicts = append(conflicts, now)
		}
	}
	if len(conflicts) > 0 && lw.fault != writeConditionIgnored {
		return 0, conflicts
	}
	lw.version++
	for _, rw := range rows {
		rw.Version = lw.version
		lw.rows[rw.Organisation] = rw
		lw.history[rw.Organisation] = append(lw.history[rw.Organisation], rw)
	}
	lw.writtenAt[lw.version] = lw.now
	return lw.version, nil
}

// readFeed makes an owner apply the rows of the feed.
func (lw *ledgerWorld) readFeed(ow *ledgerOwner) {
	if ow.storeCutUntil.After(lw.now) {
		return
	}
	for i := range ledgerOrgCount {
		rw, ok := lw.rows[ledgerOrg(i)]
		if !ok || lw.faultsOn() && lw.rnd.Intn(3) == 0 {
			continue
		}
		ow.lg.Update(rw)
	}
}

// endTasks ends the tasks that are due. Their owners count the ends, some of them later.
func (lw *ledgerWorld) endTasks() {
	lw.running = slices.DeleteFunc(lw.running, func(lt *ledgerTask) bool {
		if lt.endsAt.After(lw.now) {
			return false
		}
		if ow := lt.owner; ow != nil && lw.fault != endsNeverCounted {
			count := func() { lt.uncount(ow) }
			if lw.faultsOn() && lw.rnd.Intn(4) == 0 {
				lw.delay(count)
			} else {
				count()
			}
		}
		return true
	})
}

// uncount makes an owner count the task as ended.
func (lt *ledgerTask) uncount(ow *ledgerOwner) {
	if lt.foundBy == ow {
		ow.lg.addFound(lt.org, lt.size, -1)
		return
	}
	ow.lg.addRunning(lt.org, lt.size, -1)
}

// dropOtherCells injects the fault othersIgnored: it removes the allowances of the other cells from an owner's ledger.
func (lw *ledgerWorld) dropOtherCells(ow *ledgerOwner) {
	if lw.fault != othersIgnored {
		return
	}
	for _, as := range ow.lg.accounts {
		for name := range as.Account {
			if name != ow.lg.cell {
				ac := maps.Clone(as.Account)
				delete(ac, name)
				as.Account = ac
			}
		}
	}
}

// playEvent plays one random event.
func (lw *ledgerWorld) playEvent() {
	lw.now = lw.now.Add(time.Duration(1+lw.rnd.Intn(10)) * ledgerTick)
	lw.endTasks()
	ow := lw.owners[lw.rnd.Intn(len(lw.owners))]
	switch lw.rnd.Intn(16) {
	case 0, 1, 2, 3:
		cur := lw.current[lw.rnd.Intn(ledgerCellCount)]
		id := ledgerOrg(lw.rnd.Intn(ledgerOrgCount))
		for range 1 + lw.rnd.Intn(8) {
			cur.waiting[id] = append(cur.waiting[id], job.Size{CPUMillis: 500 * (1 + lw.rnd.Intn(6)), MemoryMB: 100 * (1 + lw.rnd.Intn(20))})
		}
	case 4, 5:
		lw.readFeed(ow)
	case 6, 7, 8:
		lw.writeAccounts(ow)
	case 9, 10:
		lw.fenceWorker(ow, lw.rnd.Intn(ledgerWorkerCount))
	case 11:
		if len(lw.delayed) > 0 {
			i := lw.rnd.Intn(len(lw.delayed))
			run := lw.delayed[i]
			lw.delayed = slices.Delete(lw.delayed, i, i+1)
			run()
		}
	case 12:
		switch lw.rnd.Intn(12) {
		case 0:
			lw.configure()
		case 1:
			lw.replaceOwner(lw.rnd.Intn(ledgerCellCount))
		case 2:
			ow.storeCutUntil = lw.now.Add(time.Duration(lw.rnd.Intn(4000)) * time.Millisecond)
		}
	case 13:
		if !ow.storeCutUntil.After(lw.now) {
			lw.applyConfig(ow)
		}
	case 14:
		if lw.boundedRoom && lw.rnd.Intn(4) == 0 {
			lw.changeRoom(lw.rnd.Intn(ledgerCellCount))
		}
	}
	lw.dropOtherCells(ow)
	lw.startTasks(ow)
}

// playWithoutFaults plays the world without faults and checks that no tasks keep waiting while their organisation uses little of its maximum.
func (lw *ledgerWorld) playWithoutFaults() {
	lw.faultsOffSince = lw.now
	for _, run := range lw.delayed {
		run()
	}
	lw.delayed = nil
	for _, ow := range slices.Clone(lw.owners) {
		if lw.current[ow.cell] != ow {
			lw.stopOwner(ow)
			continue
		}
		ow.storeCutUntil = time.Time{}
		lw.applyConfig(ow)
		for worker := range ledgerWorkerCount {
			lw.fenceWorker(ow, worker)
		}
	}
	maxima := lw.configs[len(lw.configs)-1]
	for lw.now.Before(lw.faultsOffSince.Add(2 * ledgerMaxWait)) {
		lw.now = lw.now.Add(5 * ledgerTick)
		lw.endTasks()
		for _, ow := range lw.current {
			lw.readFeed(ow)
			lw.dropOtherCells(ow)
			lw.writeAccounts(ow)
			lw.startTasks(ow)
			for id, list := range ow.waiting {
				lw.checkWait(ow, id, list, maxima[id])
			}
		}
	}
	lw.faultsOffSince = time.Time{}
}

// checkWait fails if the tasks of an organisation have waited for too long in a cell without a start although it uses less than half of its maximum,
// and less than half of the cell's room is taken, with room for the next task twice over.
func (lw *ledgerWorld) checkWait(ow *ledgerOwner, id job.OrganisationID, list []job.Size, maximum job.Size) {
	var sum job.Size
	for _, lt := range lw.running {
		if lt.org == id {
			sum = sum.Add(lt.size)
		}
	}
	since := ow.startedAt[id]
	if since.Before(lw.faultsOffSince) {
		since = lw.faultsOffSince
	}
	used, room := lw.usedRoom(ow.cell), lw.room[ow.cell]
	if len(list) == 0 || 2*sum.CPUMillis >= maximum.CPUMillis || 2*sum.MemoryMB >= maximum.MemoryMB || 2*used >= room || used+2*list[0].CPUMillis > room {
		ow.startedAt[id] = lw.now
		return
	}
	if lw.now.Sub(since) > ledgerMaxWait && lw.err == nil {
		lw.err = fmt.Errorf("%v has waited in cell %d for %v although %v of %v is in use; row %+v", id, ow.cell, lw.now.Sub(since), sum, maximum, lw.rows[id].Account)
	}
}
