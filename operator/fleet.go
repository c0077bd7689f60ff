package operator

import (
	"slices"
	"strings"

	"github.com/aspenseam/aspenseam/platform"
)

// Fleet is what decisions about plans are made from.
type Fleet struct {
	// Instances is sorted by id.
	Instances []*platform.Instance
	Services  map[platform.ServiceID]*platform.Service
	Pools     map[platform.PoolID]*platform.Pool
	// Down holds the instances that the membership does not list; one not heard of counts as down.
	Down map[platform.InstanceID]bool
	// Sessions is what the platform last heard of open sessions.
	Sessions map[platform.InstanceID]map[platform.ServiceID]int
}

// FleetOf returns the fleet of a snapshot and the usage last heard of.
func FleetOf(sn *platform.Snapshot, usage []platform.Usage) *Fleet {
	ft := &Fleet{Instances: sn.SortedInstances(), Services: map[platform.ServiceID]*platform.Service{}, Pools: sn.Pools, Down: map[platform.InstanceID]bool{}, Sessions: map[platform.InstanceID]map[platform.ServiceID]int{}}
	for id, sv := range sn.Services {
		ft.Services[id] = &sv.Service
	}
	for _, in := range ft.Instances {
		if sn.Gone(in.ID) || sn.Members[in.ID].State == platform.MemberLeaving {
			ft.Down[in.ID] = true
		}
	}
	for _, us := range usage {
		ft.Sessions[us.Instance] = us.Sessions
	}
	return ft
}

// Instance returns an instance by id, nil if there is none.
func (ft *Fleet) Instance(id platform.InstanceID) *platform.Instance {
	index, found := slices.BinarySearchFunc(ft.Instances, id, func(in *platform.Instance, id platform.InstanceID) int {
		return strings.Compare(string(in.ID), string(id))
	})
	if !found {
		return nil
	}
	return ft.Instances[index]
}

// usable reports whether an instance serves: by its row, by the membership, and by no plan's word against it.
func (ft *Fleet) usable(in *platform.Instance) bool {
	return in.State == platform.InstanceServing && !ft.Down[in.ID]
}

// open counts the sessions of an instance.
func (ft *Fleet) open(id platform.InstanceID) int {
	count := 0
	for _, sessions := range ft.Sessions[id] {
		count += sessions
	}
	return count
}

// usableOf counts the usable instances of a service other than those that plans have taken out.
func (ft *Fleet) usableOf(sv *platform.Service) int {
	count := 0
	for _, in := range ft.Instances {
		if slices.Contains(in.Services, sv.ID) && ft.usable(in) && !taken(sv, in.ID) {
			count++
		}
	}
	return count
}

// taken reports whether a service's row counts an instance as out: by a plan's hand, or seen down.
func taken(sv *platform.Service, id platform.InstanceID) bool {
	return slices.Contains(sv.Disrupted, id) || slices.Contains(sv.Down, id)
}

// downOf returns the instances of a service that the membership does not list, sorted.
func (ft *Fleet) downOf(id platform.ServiceID) []platform.InstanceID {
	var down []platform.InstanceID
	for _, in := range ft.Instances {
		if ft.Down[in.ID] && slices.Contains(in.Services, id) {
			down = append(down, in.ID)
		}
	}
	return down
}
