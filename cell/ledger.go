package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Figures of how allowances are asked for and given back.
const (
	// allowanceHeadroomDivisor is the part of what a cell needs that it asks for beyond it, so that not each further job costs a write.
	allowanceHeadroomDivisor = 4
	// allowanceBaseDivisor divides a cell's even part of a maximum: so much it holds without need, so that the first tasks of a turn start at once. The
	// rest is there for whoever needs it.
	allowanceBaseDivisor = 2
	// allowanceIdleTimeout is how long an allowance may be more than twice what is wanted before it is given back unasked: a queue's demand comes in
	// turns of some seconds, and each write has its price.
	allowanceIdleTimeout = time.Second
	// allowanceReturnDivisor divides a maximum into the least parts that are given back one by one where several cells want more.
	allowanceReturnDivisor = 32
	// MaxAccountChanges is how many organisations one change names: each has a condition and a row, and a transaction takes 100 entries.
	MaxAccountChanges = 45
)

// Allowance is what the owner of a cell may have running of an organisation: a part of its maximum that no other cell uses meanwhile.
type Allowance struct {
	// Epoch is that of the owner who holds it. An owner counts only on what it has written under its own.
	Epoch job.Epoch `json:"epoch"`
	Held  job.Size  `json:"held"`
	// NeedsMore means that the cell could use more than there was left; the others give back what they do not need, and keep an even part.
	NeedsMore bool `json:"wanted,omitempty"`
}

// Account is what the cells hold of one organisation's maximum, by cell. All cells' parts stand in one row, so that whoever changes its own
// part, on the condition that the row is as it was read, cannot overlook another's.
type Account map[string]Allowance

// AccountRow is an account with the version of its row, 0 if there is none yet.
type AccountRow struct {
	Organisation job.OrganisationID
	Account      Account
	Version      int64
}

// Demand is what of an organisation could be started at once in a cell if there were room.
type Demand struct {
	// Waiting is all of it, Unit the least part that is of use: a task, or a gang.
	Waiting, Unit job.Size
}

// Ledger keeps the maxima of organisations over all cells, as the owner of one cell sees them. It is pure: rows and times come in, rows to be
// written go out.
//
// What an owner may have running is what the row says under its own epoch, and never more than the maximum less what the row gives to the
// other cells. Every row is changed on the condition of its version, so the sum of all parts stays within the maximum that the writer knew,
// without a holder, a lease or a clock: an owner that is cut off from the store goes on within its part, and nobody else counts on it. The
// successor of an owner takes its part over by writing its own epoch, which ends the former owner's writes, and counts it as used up until it
// knows all that the former owner has started.
type Ledger struct {
	cell  string
	epoch job.Epoch
	// cellCount is how many cellCount have queues.
	cellCount int
	maxima    map[job.OrganisationID]job.Size
	accounts  map[job.OrganisationID]*accountState
	// running is what runs, or may run, by organisation.
	running map[job.OrganisationID]job.Size
	// reconciled means that nothing of earlier owners runs that is not counted in running.
	reconciled bool
	// superseded means that a row names a later owner of the cell.
	superseded bool
}

// accountState is one organisation's row, and what this owner does with it.
type accountState struct {
	AccountRow
	// unconfirmed is what this owner has asked for without knowing yet whether it is written, the least of several; nil if nothing.
	unconfirmed *job.Size
	// inherited is what earlier owners held when this one took their part over.
	inherited job.Size
	// surplusSince is since when the part has been more than twice what is wanted.
	surplusSince time.Time
}

// NewLedger returns a ledger for the owner of a cell.
func NewLedger(cell string, epoch job.Epoch) *Ledger {
	return &Ledger{
		cell: cell, epoch: epoch, cellCount: 1,
		maxima: map[job.OrganisationID]job.Size{}, accounts: map[job.OrganisationID]*accountState{}, running: map[job.OrganisationID]job.Size{},
	}
}

// Configure puts the maxima of a configuration in force. Organisations that it does not name any more keep theirs for the jobs they have left.
func (lg *Ledger) Configure(cf *job.Configuration) {
	pools := map[job.PoolID]bool{}
	for _, qu := range cf.Queues {
		pools[qu.Pool] = true
	}
	lg.cellCount = max(1, len(pools))
	for _, og := range cf.Organisations.List() {
		if og.HasMaximum() {
			lg.maxima[og.ID] = og.Maximum
			continue
		}
		delete(lg.maxima, og.ID)
	}
}

// HasMaxima reports whether any organisation has a maximum.
func (lg *Ledger) HasMaxima() bool { return len(lg.maxima) > 0 }

// Superseded reports whether a row names a later owner of the cell.
func (lg *Ledger) Superseded() bool { return lg.superseded }

// MarkReconciled notes that all that earlier owners of the cell have started, and that still runs, is counted.
func (lg *Ledger) MarkReconciled() { lg.reconciled = true }

// addRunning notes that a task came or went.
func (lg *Ledger) addRunning(id job.OrganisationID, sz job.Size, by int) {
	if id == "" {
		return
	}
	left := lg.running[id].Add(sz.Mul(by))
	if left == (job.Size{}) {
		delete(lg.running, id)
		return
	}
	lg.running[id] = left
}

// Update takes a row as the store has it, unless a newer one is known.
func (lg *Ledger) Update(rw AccountRow) {
	en := lg.account(rw.Organisation)
	if rw.Version <= en.Version {
		return
	}
	own, former := rw.Account[lg.cell], en.Account[lg.cell]
	if own.Epoch == lg.epoch && former.Epoch != lg.epoch {
		en.inherited = former.Held
	}
	// What was sent was for an earlier version: it is in this row, or it can never be done.
	en.AccountRow, en.unconfirmed = rw, nil
	if own.Epoch > lg.epoch {
		lg.superseded = true
	}
}

// Written tells that rows which Change returned are written, under a version.
func (lg *Ledger) Written(rows []AccountRow, version int64) {
	for _, rw := range rows {
		rw.Version = version
		lg.Update(rw)
	}
}

func (lg *Ledger) account(id job.OrganisationID) *accountState {
	en, ok := lg.accounts[id]
	if !ok {
		en = &accountState{AccountRow: AccountRow{Organisation: id}}
		lg.accounts[id] = en
	}
	return en
}

// AllowsTask reports whether one more task of an organisation may be started. One that is larger than the maximum may run alone.
func (lg *Ledger) AllowsTask(id job.OrganisationID, task job.Size) bool {
	if most, bounded := lg.maxima[id]; bounded {
		task = clampToMaximum(task, most)
	}
	return lg.Allows(id, task)
}

// clampToMaximum is a size cut to a maximum in the figures that it bounds.
func clampToMaximum(sz, most job.Size) job.Size {
	cut := sz.Min(most)
	if most.CPUMillis == 0 {
		cut.CPUMillis = sz.CPUMillis
	}
	if most.MemoryMB == 0 {
		cut.MemoryMB = sz.MemoryMB
	}
	if most.Accelerators == 0 {
		cut.Accelerators = sz.Accelerators
	}
	return cut
}

// Allows reports whether so much more of an organisation may be started.
func (lg *Ledger) Allows(id job.OrganisationID, more job.Size) bool {
	most, bounded := lg.maxima[id]
	if id == "" || !bounded {
		return true
	}
	limit, ok := lg.limit(id, most)
	used := lg.used(id)
	if !ok || !within(used.Add(more), limit, most) {
		return false
	}
	// What ends above an even part goes to the others, who wait for it.
	rivals := lg.account(id).competingCells(lg.cell)
	return rivals == 0 || used == (job.Size{}) || within(used.Add(more), most.Div(rivals+1), most)
}

// limit is what this cell may have running of an organisation; ok is false until this owner has written its part.
func (lg *Ledger) limit(id job.OrganisationID, most job.Size) (limit job.Size, ok bool) {
	en := lg.account(id)
	own := en.Account[lg.cell]
	if own.Epoch != lg.epoch {
		return job.Size{}, false
	}
	limit = own.Held
	if en.unconfirmed != nil {
		// Others may see it already.
		limit = limit.Min(*en.unconfirmed)
	}
	return limit.Min(most.Sub(en.heldByOthers(lg.cell))), true
}

// used is what counts against this cell's part of an organisation.
func (lg *Ledger) used(id job.OrganisationID) job.Size {
	if lg.reconciled {
		return lg.running[id]
	}
	return lg.running[id].Add(lg.account(id).inherited)
}

// Held is what all cells together hold.
func (ac Account) Held() job.Size { return ac.heldByOthers("") }

// heldByOthers is what the other cells hold.
func (ac Account) heldByOthers(cell string) job.Size {
	var sum job.Size
	for name, al := range ac {
		if name != cell {
			sum = sum.Add(al.Held)
		}
	}
	return sum
}

func (en *accountState) heldByOthers(cell string) job.Size { return en.Account.heldByOthers(cell) }

// competingCells counts the other cells that could use more.
func (en *accountState) competingCells(cell string) int {
	count := 0
	for name, al := range en.Account {
		if name != cell && al.NeedsMore {
			count++
		}
	}
	return count
}

// within reports whether a size is within a limit in the figures that a maximum bounds.
func within(sz, limit, most job.Size) bool {
	return (most.CPUMillis == 0 || sz.CPUMillis <= limit.CPUMillis) && (most.MemoryMB == 0 || sz.MemoryMB <= limit.MemoryMB) &&
		(most.Accelerators == 0 || sz.Accelerators <= limit.Accelerators)
}

// PendingWrites returns the rows that this owner is to write now, each on the condition of its version; none if all may stay as it is. Until it is
// told how the write ended it counts on the lower of the old and the new.
func (lg *Ledger) PendingWrites(now time.Time, waiting map[job.OrganisationID]Demand) []AccountRow {
	var rows []AccountRow
	for _, id := range slices.Sorted(maps.Keys(lg.maxima)) {
		if len(rows) == MaxAccountChanges {
			break
		}
		en := lg.account(id)
		next, due := lg.nextAllowance(now, en, waiting[id])
		if !due {
			continue
		}
		en.addUnconfirmed(next.Held)
		ac := maps.Clone(en.Account)
		if ac == nil {
			ac = Account{}
		}
		ac[lg.cell] = next
		rows = append(rows, AccountRow{Organisation: id, Account: ac, Version: en.Version})
	}
	return rows
}

// addUnconfirmed notes what is asked for.
func (en *accountState) addUnconfirmed(held job.Size) {
	if en.unconfirmed != nil {
		held = held.Min(*en.unconfirmed)
	}
	en.unconfirmed = &held
}

// nextAllowance is the part that this cell should have of an organisation, and whether it is to be written.
func (lg *Ledger) nextAllowance(now time.Time, en *accountState, dm Demand) (next Allowance, due bool) {
	most := lg.maxima[en.Organisation]
	own, used := en.Account[lg.cell], lg.used(en.Organisation)
	need := used.Add(clampToMaximum(dm.Waiting, most))
	wanted := need.Add(need.Div(allowanceHeadroomDivisor)).Max(most.Div(allowanceBaseDivisor * lg.cellCount)).Min(most)
	free := most.Sub(en.heldByOthers(lg.cell)).NonNegative()
	next = Allowance{Epoch: lg.epoch, Held: own.Held}
	rivals := en.competingCells(lg.cell)
	switch {
	case own.Epoch != lg.epoch:
		next.Held = own.Held.Max(used).Max(wanted.Min(free))
	case rivals > 0 || !within(own.Held, free, most):
		// What is not needed goes to those who need it, and none keeps more than an even part of what several need; what runs is not stopped.
		fair := used.Max(wanted.Min(free).Min(need.Min(most.Div(rivals + 1))))
		if unit := used.Add(clampToMaximum(dm.Unit, most)); !within(unit, fair, most) {
			// An even part in which nothing more can run would be of use to nobody, and a cell with nothing running may have one task.
			fair = used
			if used == (job.Size{}) && within(unit, free, most) {
				fair = unit
			}
		}
		if !within(own.Held, fair.Add(most.Div(allowanceReturnDivisor)), most) || !within(need, own.Held, most) {
			next.Held = fair
		}
	case !within(need, own.Held, most):
		next.Held = own.Held.Max(wanted.Min(free))
	case lg.hasIdleSurplus(now, en, wanted):
		next.Held = used.Max(wanted)
	}
	next.NeedsMore = !within(need, next.Held, most)
	return next, next != own || en.unconfirmed != nil
}

// hasIdleSurplus reports whether a part has been far more than what is wanted for a while.
func (lg *Ledger) hasIdleSurplus(now time.Time, en *accountState, wanted job.Size) bool {
	held := en.Account[lg.cell].Held
	if within(held, wanted.Mul(2), lg.maxima[en.Organisation]) {
		en.surplusSince = time.Time{}
		return false
	}
	if en.surplusSince.IsZero() {
		en.surplusSince = now
	}
	return now.Sub(en.surplusSince) > allowanceIdleTimeout
}
