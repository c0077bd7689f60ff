package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Organise puts the organisations of a configuration in force.
func (cr *Core) Organise(cf *job.Configuration) {
	cr.ledger.Configure(cf)
	cr.weights = map[job.OrganisationID]float64{}
	for _, og := range cf.Organisations.List() {
		cr.weights[og.ID] = og.Weight
	}
}

// mayStart reports whether the organisation of a step's job may have so many more of its tasks running.
func (cr *Core) mayStart(st *step, tasks int) bool {
	if tasks == 1 {
		return cr.ledger.MayOne(st.job.spec.Organisation, st.spec.Size)
	}
	return cr.ledger.May(st.job.spec.Organisation, st.spec.Size.Times(tasks))
}

// TakeAccount takes the row of what cells hold of an organisation's maximum.
func (cr *Core) TakeAccount(rw AccountRow) {
	cr.ledger.Take(rw)
	if cr.ledger.Overtaken() {
		cr.lose("", "an account of an organisation names a later owner")
	}
}

// AccountsWritten tells that rows which Accounts returned are written, under a version.
func (cr *Core) AccountsWritten(rows []AccountRow, version int64) { cr.ledger.Written(rows, version) }

// Accounts returns the rows of organisations that this owner is to write now; none if no organisation has a maximum.
func (cr *Core) Accounts(now time.Time) []AccountRow {
	if cr.lost || !cr.ledger.Bounded() {
		return nil
	}
	if cr.allCounted() {
		cr.ledger.Settle()
	}
	return cr.ledger.Change(now, cr.waitingByOrganisation())
}

// allCounted reports whether all that earlier owners have started, and that still runs, is placed here.
func (cr *Core) allCounted() bool {
	if len(cr.unresolved) > 0 || cr.planned.IsZero() {
		return false
	}
	for _, wk := range cr.list {
		if len(wk.foreign) > 0 {
			return false
		}
	}
	return true
}

// waitingByOrganisation is what of each organisation could be started at once if there were room for it.
func (cr *Core) waitingByOrganisation() map[job.OrganisationID]Demand {
	waiting := map[job.OrganisationID]Demand{}
	for _, js := range cr.open {
		if id := js.spec.Organisation; id != "" && !js.ended() && !js.settled && !cr.paused[js.spec.Queue] {
			waiting[id] = js.demand(waiting[id])
		}
	}
	return waiting
}

// demand adds a job's tasks whose turn has come and that are not placed.
func (js *jobState) demand(dm Demand) Demand {
	if len(js.runs) == 0 && !js.spec.Timed() {
		js.begin(0)
	}
	for _, rn := range js.runs {
		for _, st := range rn.steps {
			if st.done < len(st.tasks) && rn.ready(st) {
				dm = dm.plus(st)
			}
		}
	}
	return dm
}

// plus adds a step's tasks that are neither done nor placed.
func (dm Demand) plus(st *step) Demand {
	count := 0
	for at := range st.tasks {
		if ts := &st.tasks[at]; !ts.done && ts.place == nil {
			count++
		}
	}
	if count == 0 {
		return dm
	}
	all := st.spec.Size.Times(count)
	unit := st.spec.Size
	if st.spec.Gang {
		unit = all
	}
	if dm.Unit == (job.Size{}) || unit.CPUMillis < dm.Unit.CPUMillis {
		dm.Unit = unit
	}
	dm.Waiting = dm.Waiting.Plus(all)
	return dm
}
