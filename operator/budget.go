package operator

import (
	"fmt"

	"github.com/aspenseam/aspenseam/table"
)

// Refusal says why an instance may not be taken out of a service now.
type Refusal struct {
	Service table.ServiceID
	// Usable is how many instances serve now and Least how many must go on.
	Usable   int
	Required int
}

// String returns the refusal as a sentence.
func (rf Refusal) String() string {
	return fmt.Sprintf("service %s has %d usable instances and needs %d", rf.Service, rf.Usable, rf.Required)
}

// Admit returns what forbids taking an instance out of service: every service of it must keep as many as asked for less its budget.
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
