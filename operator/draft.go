package operator

import (
	"cmp"
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/table"
)

// draft is a plan in the making, for one strategy.
type draft struct {
	pl       *Planner
	ft       *Fleet
	kind     Kind
	strategy Strategy
	// pending holds the targets that are in no wave yet.
	pending []*table.Instance
	// usable counts the usable instances of each service, less those that earlier waves took for good.
	usable map[table.ServiceID]int
	// sessionCapacity is how many sessions of each service its finished and untouched instances can still take.
	sessionCapacity map[table.ServiceID]int
	waves           []Wave
}

// draft divides the targets into waves for one strategy.
func (pl *Planner) draft(ft *Fleet, it Intent, targets []*table.Instance, sg Strategy) *Plan {
	dr := &draft{pl: pl, ft: ft, kind: it.Kind, strategy: sg, pending: slices.Clone(targets), usable: map[table.ServiceID]int{}, sessionCapacity: map[table.ServiceID]int{}}
	target := map[table.InstanceID]bool{}
	for _, in := range targets {
		target[in.ID] = true
	}
	for id, sv := range ft.Services {
		dr.usable[id] = ft.usableCount(sv)
	}
	for _, in := range ft.Instances {
		if !target[in.ID] && ft.usable(in) {
			dr.addSessionCapacity(in, ft.Sessions[in.ID])
		}
	}
	slices.SortStableFunc(dr.pending, dr.compareTargets)
	for len(dr.pending) > 0 {
		dr.addWave()
	}
	pn := &Plan{Strategy: sg, Waves: dr.waves}
	pn.Estimate = pl.estimate(ft, it, pn)
	return pn
}

// addSessionCapacity adds the connections of an instance that may take sessions, less those that it has.
func (dr *draft) addSessionCapacity(in *table.Instance, sessions map[table.ServiceID]int) {
	for _, id := range in.Services {
		if sv := dr.ft.Services[id]; sv != nil {
			dr.sessionCapacity[id] += max(0, sv.Connections-sessions[id])
		}
	}
}

// compareTargets orders targets: those out of use first, then by rack with few sessions, so that a rack leaves together where the budget allows.
func (dr *draft) compareTargets(ai, bi *table.Instance) int {
	if order := cmp.Compare(boolRank(dr.ft.usable(ai)), boolRank(dr.ft.usable(bi))); order != 0 {
		return order
	}
	if order := cmp.Compare(dr.ft.sessionCount(ai.ID), dr.ft.sessionCount(bi.ID)); order != 0 {
		return order
	}
	if order := strings.Compare(string(ai.Rack), string(bi.Rack)); order != 0 {
		return order
	}
	return strings.Compare(string(ai.ID), string(bi.ID))
}

func boolRank(is bool) int {
	if is {
		return 1
	}
	return 0
}

// addWave adds one wave: as many of the first targets as the budgets, the strategy and the room for their sessions allow.
// If none fits, the first target of each service goes, and its sessions end by themselves: moved ones would have to move again.
func (dr *draft) addWave() {
	taken, rest := dr.selectTargets(dr.reserveSessionCapacity)
	wv := Wave{}
	if len(taken) == 0 {
		taken, rest = dr.selectTargets(dr.onePerService())
		wv.AwaitSessionEnd = true
	}
	if len(taken) == 0 {
		// The budgets forbid it now; the executor waits until they allow it.
		taken, rest = dr.pending[:1], dr.pending[1:]
	}
	for _, in := range taken {
		wv.Instances = append(wv.Instances, in.ID)
		dr.finish(in)
	}
	dr.waves = append(dr.waves, wv)
	dr.pending = rest
}

// selectTargets takes targets up to the strategy's number that the budgets and a further rule allow.
func (dr *draft) selectTargets(allowed func(*table.Instance) bool) (taken, rest []*table.Instance) {
	out := map[table.ServiceID]int{}
	for ix, in := range dr.pending {
		if len(taken) >= dr.strategy.Parallel && dr.ft.usable(in) {
			return taken, append(rest, dr.pending[ix:]...)
		}
		if !dr.withinBudgets(in, out) || !allowed(in) {
			rest = append(rest, in)
			continue
		}
		dr.countOut(in, out)
		taken = append(taken, in)
	}
	return taken, rest
}

// onePerService allows the first instance that is asked about for each service.
func (dr *draft) onePerService() func(*table.Instance) bool {
	seen := map[table.ServiceID]bool{}
	return func(in *table.Instance) bool {
		for _, id := range in.Services {
			if seen[id] {
				return false
			}
		}
		for _, id := range in.Services {
			seen[id] = true
		}
		return true
	}
}

// finish notes that an instance has been dealt with: it can take sessions again, or is gone for good.
func (dr *draft) finish(in *table.Instance) {
	switch {
	case dr.kind == KindReboot:
		dr.addSessionCapacity(in, nil)
	case dr.kind.permanent() && dr.ft.usable(in):
		for _, id := range in.Services {
			dr.usable[id]--
		}
	}
}

// withinBudgets reports whether the budgets of an instance's services allow it beside those already in the wave.
func (dr *draft) withinBudgets(in *table.Instance, out map[table.ServiceID]int) bool {
	if !dr.ft.usable(in) {
		return true
	}
	for _, id := range in.Services {
		sv := dr.ft.Services[id]
		if sv != nil && dr.usable[id]-out[id]-1 < sv.Asked-sv.Budget {
			return false
		}
	}
	return true
}

func (dr *draft) countOut(in *table.Instance, out map[table.ServiceID]int) {
	if !dr.ft.usable(in) {
		return
	}
	for _, id := range in.Services {
		out[id]++
	}
}

// reserveSessionCapacity reserves room for the sessions that will have to move; they go only where the plan does not touch them again.
func (dr *draft) reserveSessionCapacity(in *table.Instance) bool {
	for id, sessions := range dr.ft.Sessions[in.ID] {
		if dr.pl.remainingSessions(sessions, dr.strategy) > dr.sessionCapacity[id] {
			return false
		}
	}
	for id, sessions := range dr.ft.Sessions[in.ID] {
		dr.sessionCapacity[id] -= dr.pl.remainingSessions(sessions, dr.strategy)
	}
	return true
}
