package operator

import (
	"cmp"
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/table"
)

// draft builds the waves of a plan for one strategy.
type draft struct {
	pl       *Planner
	ft       *Fleet
	kind     Kind
	strategy Strategy
	// pending holds the targets that are not assigned to a wave yet.
	pending []*table.Instance
	// usable counts the usable instances of each service, without those that earlier waves remove permanently.
	usable map[table.ServiceID]int
	// sessionCapacity is the number of further sessions of each service that fit on instances that are finished or not targeted.
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

// addSessionCapacity adds the free connections of an instance that can take sessions.
func (dr *draft) addSessionCapacity(in *table.Instance, sessions map[table.ServiceID]int) {
	for _, id := range in.Services {
		if sv := dr.ft.Services[id]; sv != nil {
			dr.sessionCapacity[id] += max(0, sv.Connections-sessions[id])
		}
	}
}

// compareTargets orders the targets: unusable instances first, then by number of sessions, then by rack. Instances of one rack thus leave
// together where the budgets allow it.
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

// addWave adds one wave with as many of the first targets as the budgets, the strategy and the capacity for their sessions allow.
// If no target qualifies, the wave takes the first target of each service and waits until its sessions end, since sessions that
// move now would have to move again.
func (dr *draft) addWave() {
	selected, rest := dr.selectTargets(dr.reserveSessionCapacity)
	wv := Wave{}
	if len(selected) == 0 {
		selected, rest = dr.selectTargets(dr.onePerService())
		wv.AwaitSessionEnd = true
	}
	if len(selected) == 0 {
		// The budgets do not allow any target now. The executor waits until they do.
		selected, rest = dr.pending[:1], dr.pending[1:]
	}
	for _, in := range selected {
		wv.Instances = append(wv.Instances, in.ID)
		dr.finish(in)
	}
	dr.waves = append(dr.waves, wv)
	dr.pending = rest
}

// selectTargets selects targets, up to the parallelism of the strategy, that the budgets and the additional rule allow.
func (dr *draft) selectTargets(allowed func(*table.Instance) bool) (selected, rest []*table.Instance) {
	out := map[table.ServiceID]int{}
	for ix, in := range dr.pending {
		if len(selected) >= dr.strategy.Parallel && dr.ft.usable(in) {
			return selected, append(rest, dr.pending[ix:]...)
		}
		if !dr.withinBudgets(in, out) || !allowed(in) {
			rest = append(rest, in)
			continue
		}
		dr.countOut(in, out)
		selected = append(selected, in)
	}
	return selected, rest
}

// onePerService returns a rule that allows the first instance of each service that it is called with.
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

// finish updates the counts for an instance after its wave. A rebooted instance can take sessions again; others may leave their services
// permanently.
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

// withinBudgets reports whether the budgets allow the instance in addition to those already selected for the wave.
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

// reserveSessionCapacity reserves capacity for the sessions that have to move and reports whether there was enough. It counts only
// instances from which the plan does not move sessions again.
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
