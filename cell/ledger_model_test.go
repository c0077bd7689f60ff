package cell

import (
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

var (
	ledgerSteps = flag.Int("ledgersteps", 100000, "events that the model of several cells' ledgers plays")
	ledgerSeed  = flag.Int64("ledgerseed", 1, "first seed of the model of ledgers")
)

// Sizes of the worlds of the model of ledgers.
const (
	ledgerEventCount  = 2500
	ledgerCellCount   = 4
	ledgerWorkerCount = 3
	ledgerOrgCount    = 3
	ledgerTick        = 10 * time.Millisecond
	// ledgerMaxWait is for how long nothing fails before it is checked that nobody is left waiting, as the users' rule has it.
	ledgerMaxWait = 3 * time.Second
)

// ledgerFault is a rule that is left out on purpose, to see that the checks find it.
type ledgerFault string

const (
	noFault               ledgerFault = "none"
	writeConditionIgnored ledgerFault = "the store takes writes whose condition does not hold"
	reconciledAtOnce      ledgerFault = "a successor counts nothing of what its predecessor may have running"
	epochIgnored          ledgerFault = "a successor uses its predecessor's part without taking it over"
	othersIgnored         ledgerFault = "the other cells' parts are not looked at when a maximum is lowered"
	nothingReturned       ledgerFault = "what is not needed is kept"
	endsNeverCounted      ledgerFault = "ends are not counted"
	runningNotAdopted     ledgerFault = "what runs already is not counted when a worker is looked at"
)

// ledgerTask is a task as it really is.
type ledgerTask struct {
	org    job.OrganisationID
	size   job.Size
	cell   int
	worker int
	// owner counts it, nil once nobody does.
	owner  *ledgerOwner
	endsAt time.Time
	// maximum is the maximum that counted when it was ordered: an order that is carried out late cannot know of a lower one.
	maximum job.Size
}

// ledgerOwner is the owner of a cell, with what it knows.
type ledgerOwner struct {
	lg    *Ledger
	cell  int
	epoch job.Epoch
	dead  bool
	// storeCutUntil is until when it reaches the store in no way.
	storeCutUntil time.Time
	// fenced are the workers that it has looked at.
	fenced map[int]bool
	// configIndex is the newest configuration known to it.
	configIndex int
	waiting     map[job.OrganisationID][]job.Size
	startedAt   map[job.OrganisationID]time.Time
}

// ledgerWorld is a world of several cells with one store.
type ledgerWorld struct {
	rnd            *rand.Rand
	fault          ledgerFault
	now            time.Time
	faultsOffSince time.Time
	rows           map[job.OrganisationID]AccountRow
	// history are the times at which versions were written.
	history   map[job.OrganisationID][]AccountRow
	writtenAt map[int64]time.Time
	version   int64
	// configs are the maxima as they were put in force, at the times.
	configs      []map[job.OrganisationID]job.Size
	configuredAt []time.Time
	owners       []*ledgerOwner
	current      [ledgerCellCount]*ledgerOwner
	workerEpochs [ledgerCellCount][ledgerWorkerCount]job.Epoch
	running      []*ledgerTask
	delayed      []func()
	err          error
}

func newLedgerWorld(seed int64, fault ledgerFault) *ledgerWorld {
	lw := &ledgerWorld{
		rnd: rand.New(rand.NewSource(seed)), fault: fault, now: time.Unix(1_700_000_000, 0),
		rows: map[job.OrganisationID]AccountRow{}, history: map[job.OrganisationID][]AccountRow{}, writtenAt: map[int64]time.Time{},
	}
	lw.configure()
	for at := range ledgerCellCount {
		lw.replaceOwner(at)
	}
	return lw
}

func ledgerOrg(at int) job.OrganisationID { return job.OrganisationID(fmt.Sprintf("org%d", at)) }

// configure puts new maxima in force; owners learn of them by and by.
func (lw *ledgerWorld) configure() {
	maxima := map[job.OrganisationID]job.Size{}
	for at := range ledgerOrgCount {
		maxima[ledgerOrg(at)] = job.Size{CPUMillis: 1000 * (4 + lw.rnd.Intn(40)), MemoryMB: 1000 * (10 + lw.rnd.Intn(40))}
	}
	lw.configs, lw.configuredAt = append(lw.configs, maxima), append(lw.configuredAt, lw.now)
}

func (lw *ledgerWorld) applyConfig(ow *ledgerOwner) {
	ow.configIndex = len(lw.configs) - 1
	cf := &job.Configuration{}
	for at := range ledgerCellCount {
		cf.Queues = append(cf.Queues, job.Queue{Pool: job.PoolID(fmt.Sprint(at))})
	}
	var list []job.Organisation
	for id, most := range lw.configs[ow.configIndex] {
		list = append(list, job.Organisation{ID: id, Maximum: most})
	}
	cf.Organisations = job.NewDirectory(list)
	ow.lg.Configure(cf)
}

// replaceOwner gives a cell a new owner, which does not know yet what runs there. The one before may go on for a while.
func (lw *ledgerWorld) replaceOwner(at int) {
	lw.version++
	ow := &ledgerOwner{cell: at, epoch: job.Epoch(lw.version), fenced: map[int]bool{}, waiting: map[job.OrganisationID][]job.Size{}, startedAt: map[job.OrganisationID]time.Time{}}
	ow.lg = NewLedger(fmt.Sprint(at), ow.epoch)
	if before := lw.current[at]; before != nil {
		// What waits is the cell's; each organisation begins to wait anew for what is checked.
		ow.waiting = before.waiting
		before.waiting = map[job.OrganisationID][]job.Size{}
		if lw.rnd.Intn(3) > 0 {
			lw.stopOwner(before)
		}
	}
	lw.current[at] = ow
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

// stopOwner ends an owner's process.
func (lw *ledgerWorld) stopOwner(ow *ledgerOwner) {
	ow.dead = true
	lw.owners = slices.DeleteFunc(lw.owners, func(other *ledgerOwner) bool { return other == ow })
	for _, lt := range lw.running {
		if lt.owner == ow {
			lt.owner = nil
		}
	}
}

// fenceWorker has an owner fence a worker and count what runs there.
func (lw *ledgerWorld) fenceWorker(ow *ledgerOwner, worker int) {
	if ow.fenced[worker] || lw.workerEpochs[ow.cell][worker] > ow.epoch {
		return
	}
	lw.workerEpochs[ow.cell][worker] = ow.epoch
	ow.fenced[worker] = true
	for _, lt := range lw.running {
		if lt.cell == ow.cell && lt.worker == worker && lw.fault != runningNotAdopted {
			lt.owner = ow
			ow.lg.addRunning(lt.org, lt.size, 1)
		}
	}
	if len(ow.fenced) == ledgerWorkerCount {
		ow.lg.MarkReconciled()
	}
}

// startTasks has an owner startTasks what waits, as far as its ledger allows. Some orders are carried out late.
func (lw *ledgerWorld) startTasks(ow *ledgerOwner) {
	for at := range ledgerOrgCount {
		id := ledgerOrg(at)
		for len(ow.waiting[id]) > 0 {
			size := ow.waiting[id][0]
			worker := lw.rnd.Intn(ledgerWorkerCount)
			if !ow.fenced[worker] || !ow.lg.AllowsTask(id, size) {
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

// executeStart carries an order out unless its worker has seen a later owner, and checks the maximum.
func (lw *ledgerWorld) executeStart(lt *ledgerTask, ow *ledgerOwner) {
	if lw.workerEpochs[lt.cell][lt.worker] > ow.epoch {
		ow.lg.addRunning(lt.org, lt.size, -1)
		return
	}
	if ow.dead {
		lt.owner = nil
	}
	lw.running = append(lw.running, lt)
	sum, alone := job.Size{}, 0
	for _, other := range lw.running {
		if other.org == lt.org {
			sum = sum.Add(other.size)
			alone++
		}
	}
	most := lt.maximum.Max(lw.highestKnownMaximum(ow, lt.org))
	if alone > 1 && !within(sum, most, most) && lw.err == nil {
		lw.err = fmt.Errorf("%v has %v running, its maximum is %v", lt.org, sum, most)
	}
}

// highestKnownMaximum is the highest maximum that may count: of all configurations since the oldest that a living owner knows, and since the row that
// the starting one knows was the newest, by which it judges what the others hold.
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
	most := lw.configs[len(lw.configs)-1][id]
	for at := len(lw.configs) - 2; at >= 0; at-- {
		if lw.configuredAt[at+1].Before(since) {
			break
		}
		most = most.Max(lw.configs[at][id])
	}
	return most
}

// delay puts something off.
func (lw *ledgerWorld) delay(do func()) { lw.delayed = append(lw.delayed, do) }

// faultsOn reports whether things fail at this time.
func (lw *ledgerWorld) faultsOn() bool { return lw.faultsOffSince.IsZero() }

// writeAccounts has an owner write what it needs or gives back.
func (lw *ledgerWorld) writeAccounts(ow *ledgerOwner) {
	if ow.storeCutUntil.After(lw.now) {
		return
	}
	waiting := map[job.OrganisationID]Demand{}
	for id, list := range ow.waiting {
		for at, size := range list {
			dm := waiting[id]
			if at == 0 {
				dm.Unit = size
			}
			dm.Waiting = dm.Waiting.Add(size)
			waiting[id] = dm
		}
	}
	rows := ow.lg.PendingWrites(lw.now, waiting)
	if lw.fault == nothingReturned {
		rows = slices.DeleteFunc(rows, func(rw AccountRow) bool {
			was, known := ow.lg.account(rw.Organisation).Account[ow.lg.cell]
			return known && was.Epoch == ow.epoch && within(rw.Account[ow.lg.cell].Held, was.Held, was.Held)
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

// commit writes rows if their conditions hold.
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

// readFeed has an owner take the rows of the feed.
func (lw *ledgerWorld) readFeed(ow *ledgerOwner) {
	if ow.storeCutUntil.After(lw.now) {
		return
	}
	for at := range ledgerOrgCount {
		rw, ok := lw.rows[ledgerOrg(at)]
		if !ok || lw.faultsOn() && lw.rnd.Intn(3) == 0 {
			continue
		}
		ow.lg.Update(rw)
	}
}

// endTasks ends tasks whose time has come and has their owners count it, some of them later.
func (lw *ledgerWorld) endTasks() {
	lw.running = slices.DeleteFunc(lw.running, func(lt *ledgerTask) bool {
		if lt.endsAt.After(lw.now) {
			return false
		}
		if ow := lt.owner; ow != nil && lw.fault != endsNeverCounted {
			count := func() { ow.lg.addRunning(lt.org, lt.size, -1) }
			if lw.faultsOn() && lw.rnd.Intn(4) == 0 {
				lw.delay(count)
			} else {
				count()
			}
		}
		return true
	})
}

// dropOtherCells leaves out that a lowered maximum is shared with the others.
func (lw *ledgerWorld) dropOtherCells(ow *ledgerOwner) {
	if lw.fault != othersIgnored {
		return
	}
	for _, en := range ow.lg.accounts {
		for name := range en.Account {
			if name != ow.lg.cell {
				ac := maps.Clone(en.Account)
				delete(ac, name)
				en.Account = ac
			}
		}
	}
}

// playEvent plays one event.
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
			at := lw.rnd.Intn(len(lw.delayed))
			do := lw.delayed[at]
			lw.delayed = slices.Delete(lw.delayed, at, at+1)
			do()
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
	}
	lw.dropOtherCells(ow)
	lw.startTasks(ow)
}

// playWithoutFaults lets everything become calm and checks that nobody waits whose organisation holds little.
func (lw *ledgerWorld) playWithoutFaults() {
	lw.faultsOffSince = lw.now
	for _, do := range lw.delayed {
		do()
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
	most := lw.configs[len(lw.configs)-1]
	for lw.now.Before(lw.faultsOffSince.Add(2 * ledgerMaxWait)) {
		lw.now = lw.now.Add(5 * ledgerTick)
		lw.endTasks()
		for _, ow := range lw.current {
			lw.readFeed(ow)
			lw.dropOtherCells(ow)
			lw.writeAccounts(ow)
			lw.startTasks(ow)
			for id, list := range ow.waiting {
				lw.checkWait(ow, id, list, most[id])
			}
		}
	}
	lw.faultsOffSince = time.Time{}
}

// checkWait fails if tasks of an organisation that holds under half of its maximum have waited for too long at a cell without a start.
func (lw *ledgerWorld) checkWait(ow *ledgerOwner, id job.OrganisationID, list []job.Size, most job.Size) {
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
	if len(list) == 0 || 2*sum.CPUMillis >= most.CPUMillis || 2*sum.MemoryMB >= most.MemoryMB {
		ow.startedAt[id] = lw.now
		return
	}
	if lw.now.Sub(since) > ledgerMaxWait && lw.err == nil {
		lw.err = fmt.Errorf("%v of cell %d waits since %v though %v of %v is in use; row %+v", id, ow.cell, lw.now.Sub(since), sum, most, lw.rows[id].Account)
	}
}

// play plays a world and returns what its checks found.
func playLedgers(seed int64, fault ledgerFault) error {
	lw := newLedgerWorld(seed, fault)
	for at := range ledgerEventCount {
		lw.playEvent()
		if at%500 == 499 {
			lw.playWithoutFaults()
		}
		if lw.err != nil {
			return fmt.Errorf("seed %d, event %d: %w", seed, at, lw.err)
		}
	}
	return nil
}

// TestModelOfLedgers: owners of several cells start what they may under lost and late writes, stale rows, cuts, takeovers with late orders of
// the former owner, and maxima that change. What an organisation has running stays within its maximum, and nobody is left waiting in calm.
func TestModelOfLedgers(t *testing.T) {
	for seed := *ledgerSeed; seed < *ledgerSeed+int64(max(1, *ledgerSteps/ledgerEventCount)); seed++ {
		if err := playLedgers(seed, noFault); err != nil {
			t.Fatal(err)
		}
	}
}

// TestModelOfLedgersFindsFaults: each rule that is left out is found within some worlds. Searching begins near a world that shows it. Writes
// without an answer have a test of their own.
func TestModelOfLedgersFindsFaults(t *testing.T) {
	for fault, first := range map[ledgerFault]int64{writeConditionIgnored: 1, reconciledAtOnce: 309, epochIgnored: 210, othersIgnored: 1, nothingReturned: 1, endsNeverCounted: 1, runningNotAdopted: 25} {
		var err error
		for seed := first; seed < first+60 && err == nil; seed++ {
			err = playLedgers(seed, fault)
		}
		if err == nil {
			t.Errorf("not found: %s", fault)
			continue
		}
		t.Logf("%s: %v", fault, err)
	}
}
