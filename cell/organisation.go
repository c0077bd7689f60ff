package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// SetOrganisations applies the organisations of a configuration.
func (cr *Core) SetOrganisations(cf *job.Configuration) {
	cr.ledger.Configure(cf)
	cr.weights = map[job.OrganisationID]float64{}
	for _, og := range cf.Organisations.List() {
		cr.weights[og.ID] = og.Weight
	}
}

// mayStart reports whether the maximum of the job's organisation allows a number of further tasks of a step.
func (cr *Core) mayStart(st *step, tasks int) bool {
	if tasks == 1 {
		return cr.ledger.AllowsTask(st.job.spec.Organisation, st.spec.Size)
	}
	return cr.ledger.Allows(st.job.spec.Organisation, st.spec.Size.Mul(tasks))
}

// UpdateAccount applies the account row of an organisation, as read from the store.
func (cr *Core) UpdateAccount(rw AccountRow) {
	cr.ledger.Update(rw)
	if cr.ledger.Superseded() {
		cr.markSuperseded("", "the account of an organisation has an allowance of a later owner")
	}
}

// AccountsWritten records that rows returned by AccountWrites were written with a version.
func (cr *Core) AccountsWritten(rows []AccountRow, version int64) { cr.ledger.Written(rows, version) }

// AccountWrites returns the account rows that this owner has to write now; none if no organisation has a maximum.
func (cr *Core) AccountWrites(now time.Time) []AccountRow {
	if cr.superseded || !cr.ledger.HasMaxima() {
		return nil
	}
	if cr.inheritedTasksCounted() {
		cr.ledger.MarkReconciled()
	}
	cr.boundUnseen()
	return cr.ledger.PendingWrites(now, cr.demandByOrganisation())
}

// inheritedTasksCounted reports whether all running tasks that earlier owners started have been found.
func (cr *Core) inheritedTasksCounted() bool {
	if len(cr.unresolved) > 0 || cr.plannedAt.IsZero() {
		return false
	}
	for _, wk := range cr.sortedWorkers {
		if len(wk.foreign) > 0 {
			return false
		}
	}
	return true
}

// boundUnseen tells the ledger how much room there is for tasks of earlier owners that this owner has not found: all of that of each worker which is
// unresolved or has attempts that this owner does not know. Rooms shrink and grow, so the largest one counts for each.
func (cr *Core) boundUnseen() {
	if cr.ledger.reconciled || cr.plannedAt.IsZero() {
		return
	}
	count, largest := len(cr.unresolved), job.Size{}
	for _, wk := range cr.sortedWorkers {
		if _, unresolved := cr.unresolved[wk.info.ID]; !unresolved && len(wk.foreign) > 0 {
			count++
		}
		largest = largest.Max(wk.info.Room)
	}
	if largest == (job.Size{}) {
		return
	}
	cr.ledger.BoundUnseen(largest.Mul(count), cr.inheritedBestEffort())
}

// inheritedBestEffort returns the organisations that have best-effort tasks in inherited jobs.
func (cr *Core) inheritedBestEffort() map[job.OrganisationID]bool {
	found := map[job.OrganisationID]bool{}
	for _, js := range cr.jobs {
		if js.inherited && slices.ContainsFunc(js.spec.Steps, func(st job.Step) bool { return st.BestEffort }) {
			found[js.spec.Organisation] = true
		}
	}
	return found
}

// demandByOrganisation returns the demand of each organisation. What its jobs could start is limited by the room that the newest round found,
// except for tasks that may get room from others.
func (cr *Core) demandByOrganisation() map[job.OrganisationID]Demand {
	demand := map[job.OrganisationID]Demand{}
	for _, js := range cr.openJobs {
		if id := js.spec.Organisation; id != "" && !js.ended() && !js.fullyPlaced && !cr.pausedQueues[js.spec.Queue] {
			demand[id] = js.addDemand(demand[id])
		}
	}
	for id, dm := range demand {
		dm.Blocked = dm.Blocked.Max(dm.Waiting.Sub(cr.roundRoom.Add(dm.makingRoom)))
		demand[id] = dm
	}
	return demand
}

// addDemand adds the tasks of a job that are ready and not placed.
func (js *jobState) addDemand(dm Demand) Demand {
	if len(js.runs) == 0 && !js.spec.HasSchedule() {
		js.openRun(0)
	}
	for _, rn := range js.runs {
		for _, st := range rn.steps {
			if st.done < len(st.tasks) && rn.ready(st) {
				dm = dm.addStep(st)
			}
		}
	}
	return dm
}

// addStep adds the tasks of a step that are neither done nor placed.
func (dm Demand) addStep(st *step) Demand {
	count := 0
	for i := range st.tasks {
		if ts := &st.tasks[i]; !ts.done && ts.placement == nil {
			count++
		}
	}
	if count == 0 {
		return dm
	}
	all := st.spec.Size.Mul(count)
	dm.Waiting = dm.Waiting.Add(all)
	if st.job.waitReason == WaitMakingRoom {
		dm.makingRoom = dm.makingRoom.Add(all)
	}
	if st.job.waitReason.blocks() {
		dm.Blocked = dm.Blocked.Add(all)
		return dm
	}
	unit := st.spec.Size
	if st.spec.Gang {
		unit = all
	}
	if dm.Unit == (job.Size{}) || unit.CPUMillis < dm.Unit.CPUMillis {
		dm.Unit = unit
	}
	return dm
}

// OrganisationLoad is the load of one organisation in a cell.
type OrganisationLoad struct {
	Pool         job.PoolID         `json:"pool"`
	Organisation job.OrganisationID `json:"organisation"`
	// Running is the size of the tasks that run or may run. Limit is the size that may run.
	Running job.Size `json:"running"`
	Limit   job.Size `json:"limit"`
	// Waiting is the number of jobs with waiting tasks. Oldest is the longest time that one of them has been in the cell.
	Waiting int           `json:"waiting"`
	Oldest  time.Duration `json:"oldest"`
	// AtLimit means that tasks wait because the organisation has reached the cell's limit.
	AtLimit bool `json:"atLimit,omitempty"`
}

// OrganisationLoads returns the load of each organisation in the cell, sorted by name.
func (cr *Core) OrganisationLoads(now time.Time) []OrganisationLoad {
	found := map[job.OrganisationID]*OrganisationLoad{}
	load := func(id job.OrganisationID) *OrganisationLoad {
		if found[id] == nil {
			found[id] = &OrganisationLoad{Pool: cr.pool, Organisation: id, Running: cr.ledger.running[id]}
			if maximum, bounded := cr.ledger.maxima[id]; bounded {
				found[id].Limit, _ = cr.ledger.limit(id, maximum)
			}
		}
		return found[id]
	}
	for id := range cr.ledger.running {
		load(id)
	}
	for id, dm := range cr.demandByOrganisation() {
		load(id).AtLimit = dm.Unit != job.Size{} && !cr.ledger.AllowsTask(id, dm.Unit)
	}
	for _, js := range cr.pendingJobs(now) {
		if id := js.spec.Organisation; id != "" {
			ol := load(id)
			ol.Waiting++
			ol.Oldest = max(ol.Oldest, now.Sub(js.loadedAt))
		}
	}
	list := make([]OrganisationLoad, 0, len(found))
	for _, id := range slices.Sorted(maps.Keys(found)) {
		list = append(list, *found[id])
	}
	return list
}
