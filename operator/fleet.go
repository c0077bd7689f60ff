package operator

import (
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/table"
)

// Fleet is what decisions about plans are made from.
type Fleet struct {
	// Instances is sorted by id.
	Instances []*table.Instance
	Services  map[table.ServiceID]*table.Service
	Pools     map[table.PoolID]*table.Pool
	// Down holds the instances that the membership does not list; one not heard of counts as down.
	Down map[table.InstanceID]bool
	// Sessions is what the platform last heard of open sessions.
	Sessions map[table.InstanceID]map[table.ServiceID]int
}

// NewFleet returns the fleet of a snapshot and the usage last heard of.
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

// Instance returns an instance by id, nil if there is none.
func (ft *Fleet) Instance(id table.InstanceID) *table.Instance {
	index, found := slices.BinarySearchFunc(ft.Instances, id, func(in *table.Instance, id table.InstanceID) int {
		return strings.Compare(string(in.ID), string(id))
	})
	if !found {
		return nil
	}
	return ft.Instances[index]
}

// usable reports whether an instance serves: by its row, by the membership, and by no plan's word against it.
func (ft *Fleet) usable(in *table.Instance) bool {
	return in.State == table.InstanceServing && !ft.Down[in.ID]
}

// sessionCount counts the sessions of an instance.
func (ft *Fleet) sessionCount(id table.InstanceID) int {
	count := 0
	for _, sessions := range ft.Sessions[id] {
		count += sessions
	}
	return count
}

// usableCount counts the usable instances of a service other than those that plans have taken out.
func (ft *Fleet) usableCount(sv *table.Service) int {
	count := 0
	for _, in := range ft.Instances {
		if slices.Contains(in.Services, sv.ID) && ft.usable(in) && !unavailable(sv, in.ID) {
			count++
		}
	}
	return count
}

// unavailable reports whether a service's row counts an instance as out: by a plan's hand, or seen down.
func unavailable(sv *table.Service, id table.InstanceID) bool {
	return slices.Contains(sv.Disrupted, id) || slices.Contains(sv.Down, id)
}

// downInstances returns the instances of a service that the membership does not list, sorted.
func (ft *Fleet) downInstances(id table.ServiceID) []table.InstanceID {
	var down []table.InstanceID
	for _, in := range ft.Instances {
		if ft.Down[in.ID] && slices.Contains(in.Services, id) {
			down = append(down, in.ID)
		}
	}
	return down
}
