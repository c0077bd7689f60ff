package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Parameters of requesting and returning allowances.
const (
	// allowanceHeadroomDivisor sets the headroom that a cell requests: its need divided by this. Without headroom every further job would cost a write.
	allowanceHeadroomDivisor = 4
	// allowanceBaseDivisor divides a cell's even share of a maximum. A cell without demand holds the result, so that its first tasks start
	// without a write. The rest of the maximum is available to the cells that need it.
	allowanceBaseDivisor = 2
	// allowanceIdleTimeout is how long an allowance may exceed twice its target before the cell returns the surplus, even if no other cell needs it.
	// The demand of a queue comes and goes within seconds, and every return costs a write.
	allowanceIdleTimeout = time.Second
	// allowanceReturnDivisor sets the smallest amount that is returned while several cells need more: the maximum divided by this.
	allowanceReturnDivisor = 32
	// MaxAccountChanges is the maximum number of accounts in one write. Each needs a condition and a row, and a transaction takes 100 entries.
	MaxAccountChanges = 45
)

// Allowance is the part of an organisation's maximum that is reserved for one cell. No other cell uses it while it is held.
type Allowance struct {
	// Epoch is the epoch of the owner that wrote the allowance. An owner uses only an allowance that it wrote under its own epoch.
	Epoch job.Epoch `json:"epoch"`
	Held  job.Size  `json:"held"`
	// NeedsMore means that the cell could start more than was available. The other cells return what they do not need and keep an even share.
	NeedsMore bool `json:"wanted,omitempty"`
}

// Account holds the allowances of one organisation by cell. All of them are in one row, which is written on the condition that it has not changed
// since it was read. A cell that changes its own allowance therefore cannot miss a change by another cell.
type Account map[string]Allowance

// AccountRow is an account with the version of its row; 0 if the row does not exist yet.
type AccountRow struct {
	Organisation job.OrganisationID
	Account      Account
	Version      int64
}

// Demand is the size of an organisation's tasks in a cell whose turn has come.
type Demand struct {
	// Waiting is the total size. Blocked is the part of it that the cell could not start whatever the allowance, mostly for want of room.
	Waiting, Blocked job.Size
	// makingRoom is the part of Waiting that may get room from running tasks.
	makingRoom job.Size
	// Unit is the size of the smallest task or gang that the cell could start on its own.
	Unit job.Size
}

// startable returns the size that the cell would start if its allowance permitted it.
func (dm Demand) startable() job.Size { return dm.Waiting.Sub(dm.Blocked).NonNegative() }

// Ledger enforces the maxima of organisations across all cells on behalf of the owner of one cell. It does no I/O and reads no clock: it is given
// rows and times, and returns the rows to write.
//
// An owner may run what the row allots to its cell under its own epoch, and never more than the maximum less the allowances of the other cells.
// Every write is conditional on the version of the row, so the sum of all allowances stays within the maximum known to the writer. This needs no
// coordinator, lease or clock: an owner that is cut off from the store continues within its allowance, which no other cell uses. The successor of
// an owner takes the allowance over by writing its own epoch, which makes further writes of its predecessor fail. It counts the inherited
// allowance as fully used, by the tasks that it found or others, until it knows everything that the predecessor started.
type Ledger struct {
	cell  string
	epoch job.Epoch
	// cellCount is the number of cells that have queues.
	cellCount int
	maxima    map[job.OrganisationID]job.Size
	accounts  map[job.OrganisationID]*accountState
	// running is the size of the tasks that run or may run, by organisation.
	running map[job.OrganisationID]job.Size
	// found is the part of running that earlier owners started.
	found map[job.OrganisationID]job.Size
	// unseen bounds what earlier owners may have running unseen; nil if no bound is known. unreserved are the organisations whose tasks may use CPU that
	// they have not reserved, so that only the other parts of the bound hold for them.
	unseen     *job.Size
	unreserved map[job.OrganisationID]bool
	// reconciled means that running includes all running tasks that earlier owners started.
	reconciled bool
	// superseded means that a row has an allowance of a later owner of the cell.
	superseded bool
}

// accountState is the account of one organisation with the state of this owner's writes to it.
type accountState struct {
	AccountRow
	// unconfirmed is the allowance in writes whose result is not known yet, the smallest if there are several; nil if there are none.
	unconfirmed *job.Size
	// inherited is the allowance that the previous owner held when this owner took it over.
	inherited job.Size
	// surplusSince is the time since which the allowance has exceeded twice its target; zero if it does not.
	surplusSince time.Time
}

// NewLedger returns a ledger for the owner of a cell.
func NewLedger(cell string, epoch job.Epoch) *Ledger {
	return &Ledger{
		cell: cell, epoch: epoch, cellCount: 1,
		maxima: map[job.OrganisationID]job.Size{}, accounts: map[job.OrganisationID]*accountState{}, running: map[job.OrganisationID]job.Size{}, found: map[job.OrganisationID]job.Size{},
	}
}

// Configure applies the maxima of a configuration. An organisation that was removed from the configuration keeps its maximum for its remaining jobs.
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

// Superseded reports whether a row has an allowance of a later owner of the cell.
func (lg *Ledger) Superseded() bool { return lg.superseded }

// MarkReconciled records that all running tasks which earlier owners of the cell started are counted.
func (lg *Ledger) MarkReconciled() { lg.reconciled = true }

// BoundUnseen sets the room in which tasks of earlier owners may run unseen. It limits them except for the CPU of the organisations in unreserved.
func (lg *Ledger) BoundUnseen(room job.Size, unreserved map[job.OrganisationID]bool) {
	lg.unseen, lg.unreserved = &room, unreserved
}

// addRunning adds a number of tasks of one size to the running total of an organisation; the number is negative for tasks that ended.
func (lg *Ledger) addRunning(id job.OrganisationID, sz job.Size, tasks int) {
	addTo(lg.running, id, sz.Mul(tasks))
}

// addFound adds a number of tasks that earlier owners started to the running total of an organisation.
func (lg *Ledger) addFound(id job.OrganisationID, sz job.Size, tasks int) {
	addTo(lg.running, id, sz.Mul(tasks))
	addTo(lg.found, id, sz.Mul(tasks))
}

// addTo adds a size to the total of an organisation. Totals of nothing and tasks without an organisation are not kept.
func addTo(totals map[job.OrganisationID]job.Size, id job.OrganisationID, sz job.Size) {
	if id == "" {
		return
	}
	sum := totals[id].Add(sz)
	if sum == (job.Size{}) {
		delete(totals, id)
		return
	}
	totals[id] = sum
}

// Update applies a row read from the store unless a newer version is known.
func (lg *Ledger) Update(rw AccountRow) {
	as := lg.account(rw.Organisation)
	if rw.Version <= as.Version {
		return
	}
	own, previous := rw.Account[lg.cell], as.Account[lg.cell]
	if own.Epoch == lg.epoch && previous.Epoch != lg.epoch {
		as.inherited = previous.Held
	}
	// Unconfirmed writes were conditional on an earlier version: they are either part of this row or will fail.
	as.AccountRow, as.unconfirmed = rw, nil
	if own.Epoch > lg.epoch {
		lg.superseded = true
	}
}

// Written records that rows returned by PendingWrites were written with a version.
func (lg *Ledger) Written(rows []AccountRow, version int64) {
	for _, rw := range rows {
		rw.Version = version
		lg.Update(rw)
	}
}

// account returns the state of an organisation's account and creates it if necessary.
func (lg *Ledger) account(id job.OrganisationID) *accountState {
	as, ok := lg.accounts[id]
	if !ok {
		as = &accountState{AccountRow: AccountRow{Organisation: id}}
		lg.accounts[id] = as
	}
	return as
}

// AllowsTask reports whether one more task of an organisation may start. A task larger than the maximum may run if nothing else does.
func (lg *Ledger) AllowsTask(id job.OrganisationID, task job.Size) bool {
	if maximum, bounded := lg.maxima[id]; bounded {
		task = clampToMaximum(task, maximum)
	}
	return lg.Allows(id, task)
}

// clampToMaximum limits a size to a maximum. Resources with a maximum of 0 are not limited.
func clampToMaximum(sz, maximum job.Size) job.Size {
	cut := sz.Min(maximum)
	if maximum.CPUMillis == 0 {
		cut.CPUMillis = sz.CPUMillis
	}
	if maximum.MemoryMB == 0 {
		cut.MemoryMB = sz.MemoryMB
	}
	if maximum.Accelerators == 0 {
		cut.Accelerators = sz.Accelerators
	}
	return cut
}

// Allows reports whether tasks of a total size may start for an organisation.
func (lg *Ledger) Allows(id job.OrganisationID, more job.Size) bool {
	maximum, bounded := lg.maxima[id]
	if id == "" || !bounded {
		return true
	}
	limit, ok := lg.limit(id, maximum)
	used := lg.used(id)
	if !ok || !within(used.Add(more), limit, maximum) {
		return false
	}
	// Capacity that becomes free above an even share is left to the competing cells.
	competing := lg.account(id).competingCells(lg.cell)
	return competing == 0 || used == (job.Size{}) || within(used.Add(more), maximum.Div(competing+1), maximum)
}

// limit returns the size that this cell may have running for an organisation. ok is false until this owner has written its allowance.
func (lg *Ledger) limit(id job.OrganisationID, maximum job.Size) (limit job.Size, ok bool) {
	as := lg.account(id)
	own := as.Account[lg.cell]
	if own.Epoch != lg.epoch {
		return job.Size{}, false
	}
	limit = own.Held
	if as.unconfirmed != nil {
		// The other cells may have read the new value already.
		limit = limit.Min(*as.unconfirmed)
	}
	return limit.Min(maximum.Sub(as.heldByOthers(lg.cell))), true
}

// used returns the size that counts against this cell's allowance for an organisation.
func (lg *Ledger) used(id job.OrganisationID) job.Size {
	if lg.reconciled {
		return lg.running[id]
	}
	// The tasks found are part of the inherited allowance. The rest of it may run unseen.
	rest := lg.account(id).inherited.Sub(lg.found[id]).NonNegative()
	if lg.unseen != nil {
		bound := *lg.unseen
		if lg.unreserved[id] {
			bound.CPUMillis = rest.CPUMillis
		}
		rest = rest.Min(bound)
	}
	return lg.running[id].Add(rest)
}

// Held returns the sum of all cells' allowances.
func (ac Account) Held() job.Size { return ac.heldByOthers("") }

// heldByOthers returns the sum of the other cells' allowances.
func (ac Account) heldByOthers(cell string) job.Size {
	var sum job.Size
	for name, al := range ac {
		if name != cell {
			sum = sum.Add(al.Held)
		}
	}
	return sum
}

func (as *accountState) heldByOthers(cell string) job.Size { return as.Account.heldByOthers(cell) }

// competingCells returns the number of other cells that need more.
func (as *accountState) competingCells(cell string) int {
	count := 0
	for name, al := range as.Account {
		if name != cell && al.NeedsMore {
			count++
		}
	}
	return count
}

// within reports whether a size is within a limit. Resources with a maximum of 0 are not compared.
func within(sz, limit, maximum job.Size) bool {
	return (maximum.CPUMillis == 0 || sz.CPUMillis <= limit.CPUMillis) && (maximum.MemoryMB == 0 || sz.MemoryMB <= limit.MemoryMB) &&
		(maximum.Accelerators == 0 || sz.Accelerators <= limit.Accelerators)
}

// PendingWrites returns the rows that this owner has to write now, each conditional on its version; none if nothing changes. Until the result of
// a write is known, the lower of the old and the new allowance applies.
func (lg *Ledger) PendingWrites(now time.Time, demand map[job.OrganisationID]Demand) []AccountRow {
	var rows []AccountRow
	for _, id := range slices.Sorted(maps.Keys(lg.maxima)) {
		if len(rows) == MaxAccountChanges {
			break
		}
		as := lg.account(id)
		next, due := lg.nextAllowance(now, as, demand[id])
		if !due {
			continue
		}
		as.addUnconfirmed(next.Held)
		ac := maps.Clone(as.Account)
		if ac == nil {
			ac = Account{}
		}
		ac[lg.cell] = next
		rows = append(rows, AccountRow{Organisation: id, Account: ac, Version: as.Version})
	}
	return rows
}

// addUnconfirmed records an allowance that is about to be written.
func (as *accountState) addUnconfirmed(held job.Size) {
	if as.unconfirmed != nil {
		held = held.Min(*as.unconfirmed)
	}
	as.unconfirmed = &held
}

// nextAllowance returns the allowance that this cell should have in an account, and whether it has to be written.
func (lg *Ledger) nextAllowance(now time.Time, as *accountState, dm Demand) (next Allowance, due bool) {
	maximum := lg.maxima[as.Organisation]
	own, used := as.Account[lg.cell], lg.used(as.Organisation)
	base := maximum.Div(allowanceBaseDivisor * lg.cellCount)
	// Blocked tasks get no more than the base, for the room that becomes free, and nothing that a competing cell could use.
	startable := used.Add(clampToMaximum(dm.startable(), maximum))
	need := startable.Max(used.Add(dm.Waiting.Min(base)))
	target := need.Add(need.Div(allowanceHeadroomDivisor)).Max(base).Min(maximum)
	available := maximum.Sub(as.heldByOthers(lg.cell)).NonNegative()
	next = Allowance{Epoch: lg.epoch, Held: own.Held}
	competing := as.competingCells(lg.cell)
	switch {
	case own.Epoch != lg.epoch:
		next.Held = own.Held.Max(used).Max(target.Min(available))
	case competing > 0 || !within(own.Held, available, maximum):
		// Surplus goes to the cells that need it. If several cells need more, each keeps at most an even share. Running tasks are not stopped.
		share := used.Max(target.Min(available).Min(startable.Min(maximum.Div(competing + 1))))
		if unit := used.Add(clampToMaximum(dm.Unit, maximum)); !within(unit, share, maximum) {
			// No cell could use an even share that is too small for another task, so it is returned. A cell without running tasks may keep one task.
			share = used
			if used == (job.Size{}) && within(unit, available, maximum) {
				share = unit
			}
		}
		if !within(own.Held, share.Add(maximum.Div(allowanceReturnDivisor)), maximum) || !within(startable, own.Held, maximum) {
			next.Held = share
		}
	case !within(need, own.Held, maximum):
		next.Held = own.Held.Max(target.Min(available))
	case lg.hasIdleSurplus(now, as, target):
		next.Held = used.Max(target)
	}
	next.NeedsMore = !within(startable, next.Held, maximum)
	return next, next != own || as.unconfirmed != nil
}

// hasIdleSurplus reports whether the allowance has exceeded twice its target for longer than allowanceIdleTimeout.
func (lg *Ledger) hasIdleSurplus(now time.Time, as *accountState, target job.Size) bool {
	held := as.Account[lg.cell].Held
	if within(held, target.Mul(2), lg.maxima[as.Organisation]) {
		as.surplusSince = time.Time{}
		return false
	}
	if as.surplusSince.IsZero() {
		as.surplusSince = now
	}
	return now.Sub(as.surplusSince) > allowanceIdleTimeout
}
