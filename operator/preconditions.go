package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/table"
)

// budgetImpacts returns how much of each service's budget a plan uses.
func budgetImpacts(ft *Fleet, pn *Plan) []BudgetImpact {
	maxOut := map[table.ServiceID]int{}
	for _, wv := range pn.Waves {
		out := map[table.ServiceID]int{}
		for _, id := range wv.Instances {
			in := ft.Instance(id)
			for _, service := range in.Services {
				if ft.usable(in) {
					out[service]++
				}
			}
		}
		for service, count := range out {
			maxOut[service] = max(maxOut[service], count)
		}
	}
	var impacts []BudgetImpact
	for id, count := range maxOut {
		if sv := ft.Services[id]; sv != nil {
			impacts = append(impacts, BudgetImpact{Service: id, Asked: sv.Asked, Budget: sv.Budget, MaxOut: sv.Asked - ft.usableCount(sv) + count})
		}
	}
	slices.SortFunc(impacts, func(ai, bi BudgetImpact) int { return strings.Compare(string(ai.Service), string(bi.Service)) })
	return impacts
}

// Preconditions returns the state of the fleet on which a plan depends.
func Preconditions(ft *Fleet, pn *Plan) []Precondition {
	var preconditions []Precondition
	services := map[table.ServiceID]bool{}
	for _, id := range slices.Sorted(slices.Values(pn.instances())) {
		in := ft.Instance(id)
		if in == nil {
			preconditions = append(preconditions, Precondition{Subject: "instance " + string(id), Value: "absent"})
			continue
		}
		holder := ""
		if in.Hold != nil {
			holder = ", held by plan " + string(in.Hold.Plan)
		}
		preconditions = append(preconditions, Precondition{Subject: "instance " + string(id), Value: fmt.Sprintf("%s in pool %s%s", in.State, in.Pool, holder)})
		for _, service := range in.Services {
			services[service] = true
		}
	}
	for id, sv := range ft.Services {
		if services[id] {
			preconditions = append(preconditions, Precondition{Subject: "service " + string(id), Value: fmt.Sprintf("asked %d, budget %d", sv.Asked, sv.Budget)})
		}
	}
	slices.SortFunc(preconditions, func(ap, bp Precondition) int { return strings.Compare(ap.Subject, bp.Subject) })
	return preconditions
}

// Differences returns the preconditions that have changed since the plan was made, one sentence for each.
func Differences(base, now []Precondition) []string {
	values := map[string]string{}
	for _, pc := range now {
		values[pc.Subject] = pc.Value
	}
	var differences []string
	for _, pc := range base {
		if values[pc.Subject] != pc.Value {
			differences = append(differences, fmt.Sprintf("%s was %s, is %s", pc.Subject, pc.Value, values[pc.Subject]))
		}
	}
	return differences
}
