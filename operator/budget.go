package operator

import (
	"fmt"

	"github.com/aspenseam/aspenseam/table"
)

// Refusal explains why an instance cannot be taken out of a service at present.
type Refusal struct {
	Service table.ServiceID
	// Usable is the number of instances that serve now. Required is the number that must keep serving.
	Usable   int
	Required int
}

// String returns the refusal as a sentence.
func (rf Refusal) String() string {
	return fmt.Sprintf("service %s has %d usable instances and needs %d", rf.Service, rf.Usable, rf.Required)
}

// Admit checks whether an instance may be taken out of service. It returns a refusal for every service of the instance that would have
// fewer usable instances than its target count minus its disruption budget.
func Admit(ft *Fleet, in *table.Instance) []Refusal {
	var refusals []Refusal
	for _, id := range in.Services {
		sv := ft.Services[id]
		if sv == nil {
			continue
		}
		usable := ft.usableCount(sv)
		after := usable
		if ft.usable(in) && !unavailable(sv, in.ID) {
			after--
		}
		if required := sv.Asked - sv.Budget; after < required && after < usable {
			refusals = append(refusals, Refusal{Service: id, Usable: usable, Required: required})
		}
	}
	return refusals
}
