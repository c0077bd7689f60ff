package table

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is an immutable view of the tables that requests are served from.
type Snapshot struct {
	// Version is the highest version that the change feed is known to be complete up to.
	Version Version
	// Rows holds every row by table and key, deleted ones too, so that views merge in any order.
	Rows map[RowKey]Row
	// Services holds the services by id.
	Services map[ServiceID]*ServiceView
	// Instances holds the workers by id.
	Instances map[InstanceID]*Instance
	// sorted holds the workers sorted by id, and digest the hash of all places and versions.
	sorted []*Instance
	digest uint64
	// Pools holds the pools by id.
	Pools map[PoolID]*Pool
	// Moves holds the successors of instances by move key.
	Moves map[string]Move
	// Members holds the platform's membership by id; nil means that it was never read.
	Members map[InstanceID]Member
	// MembersAt is when the membership was last read here from the platform; zero if it was not.
	MembersAt time.Time
	// Rejected lists the rows whose newest value could not be read, the last good one being in force.
	Rejected []RowKey
}

// RowKey is the place of a row.
type RowKey struct {
	Table TableName
	Key   string
}

// ServiceView is a service with its instances.
type ServiceView struct {
	Service
	// Instances is sorted by id and holds those in any state.
	Instances []*Instance
}

// FeedTables are the tables that make up a snapshot.
var FeedTables = []TableName{TableInstance, TableService, TablePool, TableMove, TableSetting, TablePlan, TableLease}

// EmptySnapshot returns a snapshot that knows nothing.
func EmptySnapshot() *Snapshot {
	return &Snapshot{Rows: map[RowKey]Row{}, Services: map[ServiceID]*ServiceView{}, Instances: map[InstanceID]*Instance{}, Moves: map[string]Move{}}
}

// Merge returns a snapshot with the rows added and whether any was newer; no row ever goes back to an older version.
func (sn *Snapshot) Merge(rows []Row) (*Snapshot, bool) {
	newer := make([]Row, 0, len(rows))
	for _, rw := range rows {
		if rw.Version > sn.Rows[RowKey{rw.Table, rw.Key}].Version {
			newer = append(newer, rw)
		}
	}
	if len(newer) == 0 {
		return sn, false
	}
	next := &Snapshot{Version: sn.Version, Members: sn.Members, MembersAt: sn.MembersAt, Rows: make(map[RowKey]Row, len(sn.Rows)+len(newer))}
	for key, rw := range sn.Rows {
		next.Rows[key] = rw
	}
	for _, rw := range newer {
		key := RowKey{rw.Table, rw.Key}
		if rw.Version > next.Rows[key].Version {
			next.Rows[key] = rw
		}
	}
	next.index(sn)
	return next, true
}

// WithVersion returns the snapshot as complete up to a version.
func (sn *Snapshot) WithVersion(vn Version) *Snapshot {
	if vn <= sn.Version {
		return sn
	}
	next := *sn
	next.Version = vn
	return &next
}

// WithMembers returns the snapshot with another membership.
func (sn *Snapshot) WithMembers(members []Member) *Snapshot {
	next := *sn
	next.Members = make(map[InstanceID]Member, len(members))
	for _, mb := range members {
		next.Members[mb.ID] = mb
	}
	return &next
}

// index builds the typed views; rows that have not changed keep what they were decoded to, and a row that cannot be read keeps its last good view.
func (sn *Snapshot) index(before *Snapshot) {
	sn.Services = map[ServiceID]*ServiceView{}
	sn.Instances = map[InstanceID]*Instance{}
	sn.Moves = map[string]Move{}
	sn.Pools = map[PoolID]*Pool{}
	for key, rw := range sn.Rows {
		if rw.Deleted {
			continue
		}
		same := before.Rows[key].Version == rw.Version
		if !sn.indexRow(key, rw, before, same) {
			sn.Rejected = append(sn.Rejected, key)
		}
	}
	sn.sorted = slices.SortedFunc(maps.Values(sn.Instances), func(ai, bi *Instance) int { return strings.Compare(string(ai.ID), string(bi.ID)) })
	sn.digest = sn.hash()
	for _, in := range sn.sorted {
		for _, id := range in.Services {
			if sv := sn.Services[id]; sv != nil {
				sv.Instances = append(sv.Instances, in)
			}
		}
	}
}

// indexRow adds the view of one row and reports whether it could be read.
func (sn *Snapshot) indexRow(key RowKey, rw Row, before *Snapshot, same bool) bool {
	switch key.Table {
	case TableInstance:
		last := before.Instances[InstanceID(key.Key)]
		in, good := view(rw, last, same)
		if in != nil {
			sn.Instances[in.ID] = in
		}
		return good
	case TableService:
		var last *Service
		if sv := before.Services[ServiceID(key.Key)]; sv != nil {
			last = &sv.Service
		}
		sv, good := view(rw, last, same)
		if sv != nil {
			sn.Services[sv.ID] = &ServiceView{Service: *sv}
		}
		return good
	case TablePool:
		po, good := view(rw, before.Pools[PoolID(key.Key)], same)
		if po != nil {
			sn.Pools[po.ID] = po
		}
		return good
	case TableMove:
		var last *Move
		if mv, known := before.Moves[key.Key]; known {
			last = &mv
		}
		mv, good := view(rw, last, same)
		if mv != nil {
			sn.Moves[key.Key] = *mv
		}
		return good
	}
	return true
}

// view returns what a row decodes to, or its last good view, and whether the row itself could be read.
func view[T any](rw Row, last *T, same bool) (*T, bool) {
	if same && last != nil {
		return last, true
	}
	value, err := Decode[T](rw)
	if err != nil {
		return last, false
	}
	return &value, true
}

// Serving reports whether an instance may be given new work as far as the table knows.
func (sn *Snapshot) Serving(id InstanceID) bool {
	in := sn.Instances[id]
	return in != nil && in.State == InstanceServing && sn.Members[id].State != MemberLeaving
}

// Gone reports whether the membership was read and does not list an instance.
func (sn *Snapshot) Gone(id InstanceID) bool {
	if sn.Members == nil {
		return false
	}
	_, listed := sn.Members[id]
	return !listed
}

// Entries returns the entry instances that the membership lists, sorted by id.
func (sn *Snapshot) Entries() []Member {
	var entries []Member
	for _, mb := range sn.Members {
		if mb.Role == RoleEntry {
			entries = append(entries, mb)
		}
	}
	slices.SortFunc(entries, func(am, bm Member) int { return strings.Compare(string(am.ID), string(bm.ID)) })
	return entries
}

// Since returns the rows written after a version, in the order of their versions.
func (sn *Snapshot) Since(vn Version) []Row {
	var rows []Row
	for _, rw := range sn.Rows {
		if rw.Version > vn {
			rows = append(rows, rw)
		}
	}
	sort.Slice(rows, func(ix, jx int) bool {
		if rows[ix].Version != rows[jx].Version {
			return rows[ix].Version < rows[jx].Version
		}
		return rows[ix].Table+TableName(rows[ix].Key) < rows[jx].Table+TableName(rows[jx].Key)
	})
	return rows
}

// Digest returns a hash of all places and versions that does not depend on their order.
func (sn *Snapshot) Digest() uint64 {
	return sn.digest
}

// hash computes the digest.
func (sn *Snapshot) hash() uint64 {
	var sum uint64
	for key, rw := range sn.Rows {
		sum ^= xxhash.Sum64String(string(key.Table)+"/"+key.Key) * (uint64(rw.Version)*2 + 1)
	}
	return sum
}

// SortedInstances returns the workers sorted by id; the list is shared and must not be changed.
func (sn *Snapshot) SortedInstances() []*Instance {
	return sn.sorted
}
