package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/table"
)

// touches returns how close a plan comes to each budget.
func touches(ft *Fleet, pn *Plan) []Touch {
	most := map[table.ServiceID]int{}
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
			most[service] = max(most[service], count)
		}
	}
	var touched []Touch
	for id, count := range most {
		if sv := ft.Services[id]; sv != nil {
			touched = append(touched, Touch{Service: id, Asked: sv.Asked, Budget: sv.Budget, MostOut: sv.Asked - ft.usableOf(sv) + count})
		}
	}
	slices.SortFunc(touched, func(at, bt Touch) int { return strings.Compare(string(at.Service), string(bt.Service)) })
	return touched
}

// Facts returns what a plan relies on, as it is in a fleet.
func Facts(ft *Fleet, pn *Plan) []Fact {
	var facts []Fact
	services := map[table.ServiceID]bool{}
	for _, id := range slices.Sorted(slices.Values(pn.instances())) {
		in := ft.Instance(id)
		if in == nil {
			facts = append(facts, Fact{Subject: "instance " + string(id), Value: "absent"})
			continue
		}
		holder := ""
		if in.Hold != nil {
			holder = ", held by plan " + string(in.Hold.Plan)
		}
		facts = append(facts, Fact{Subject: "instance " + string(id), Value: fmt.Sprintf("%s in pool %s%s", in.State, in.Pool, holder)})
		for _, service := range in.Services {
			services[service] = true
		}
	}
	for id, sv := range ft.Services {
		if services[id] {
			facts = append(facts, Fact{Subject: "service " + string(id), Value: fmt.Sprintf("asked %d, budget %d", sv.Asked, sv.Budget)})
		}
	}
	slices.SortFunc(facts, func(af, bf Fact) int { return strings.Compare(af.Subject, bf.Subject) })
	return facts
}

// Differences returns what has changed since a plan was made, one sentence each.
func Differences(base, now []Fact) []string {
	values := map[string]string{}
	for _, fc := range now {
		values[fc.Subject] = fc.Value
	}
	var differences []string
	for _, fc := range base {
		if values[fc.Subject] != fc.Value {
			differences = append(differences, fmt.Sprintf("%s was %s, is %s", fc.Subject, fc.Value, values[fc.Subject]))
		}
	}
	return differences
}
