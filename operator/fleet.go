package operator

import (
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/table"
)

// Fleet is the state of the fleet on which decisions about plans are based.
type Fleet struct {
	// Instances is sorted by id.
	Instances []*table.Instance
	Services  map[table.ServiceID]*table.Service
	Pools     map[table.PoolID]*table.Pool
	// Down holds the instances that the membership does not list or lists as leaving.
	Down map[table.InstanceID]bool
	// Sessions holds the number of open sessions per service, as last reported by the platform.
	Sessions map[table.InstanceID]map[table.ServiceID]int
}

// NewFleet returns the fleet of a snapshot with the given usage reports.
func NewFleet(sn *table.Snapshot, usage []table.Usage) *Fleet {
	ft := &Fleet{Instances: sn.SortedInstances(), Services: map[table.ServiceID]*table.Service{}, Pools: sn.Pools, Down: map[table.InstanceID]bool{}, Sessions: map[table.InstanceID]map[table.ServiceID]int{}}
	for id, sv := range sn.Services {
		ft.Services[id] = &sv.Service
	}
	for _, in := range ft.Instances {
		if sn.Gone(in.ID) || sn.Members[in.ID].State == table.MemberLeaving {
			ft.Down[in.ID] = true
		}
	}
	for _, us := range usage {
		ft.Sessions[us.Instance] = us.Sessions
	}
	return ft
}

// Instance returns an instance by id, or nil if there is none.
func (ft *Fleet) Instance(id table.InstanceID) *table.Instance {
	index, found := slices.BinarySearchFunc(ft.Instances, id, func(in *table.Instance, id table.InstanceID) int {
		return strings.Compare(string(in.ID), string(id))
	})
	if !found {
		return nil
	}
	return ft.Instances[index]
}

// usable reports whether an instance is serving according to its row and is not down.
func (ft *Fleet) usable(in *table.Instance) bool {
	return in.State == table.InstanceServing && !ft.Down[in.ID]
}

// sessionCount returns the number of open sessions of an instance.
func (ft *Fleet) sessionCount(id table.InstanceID) int {
	count := 0
	for _, sessions := range ft.Sessions[id] {
		count += sessions
	}
	return count
}

// usableCount returns the number of usable instances of a service, without those that its row records as disrupted or down.
func (ft *Fleet) usableCount(sv *table.Service) int {
	count := 0
	for _, in := range ft.Instances {
		if slices.Contains(in.Services, sv.ID) && ft.usable(in) && !unavailable(sv, in.ID) {
			count++
		}
	}
	return count
}

// unavailable reports whether a service's row records an instance as disrupted by a plan or as down.
func unavailable(sv *table.Service, id table.InstanceID) bool {
	return slices.Contains(sv.Disrupted, id) || slices.Contains(sv.Down, id)
}

// downInstances returns the instances of a service that are down, sorted by id.
func (ft *Fleet) downInstances(id table.ServiceID) []table.InstanceID {
	var down []table.InstanceID
	for _, in := range ft.Instances {
		if ft.Down[in.ID] && slices.Contains(in.Services, id) {
			down = append(down, in.ID)
		}
	}
	return down
}
