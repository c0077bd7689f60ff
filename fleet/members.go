package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// node is the row of an entry instance in the control table. It is written when the instance starts and when it leaves; in between
// the instance renews its heartbeat row.
type node struct {
	Name        string     `json:"name"`
	Address     string     `json:"address"`
	Hall        job.HallID `json:"hall"`
	Incarnation string     `json:"incarnation"`
	// Power is the instance's share of a core. Cells are distributed in proportion to it.
	Power   float64 `json:"power,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	// Layout is the newest row layout that the instance can read.
	Layout int `json:"layout,omitempty"`
	// Moved lists the queues with pending jobs in cells of the instance that the configuration sends to other cells.
	Moved []queueInCell `json:"moved,omitempty"`
}

// layoutSeparatePayloads is the layout in which payloads are stored separately from jobs. An instance that reads only older
// layouts would start a job without its payload, so the layout is used only while all live instances can read it.
const layoutSeparatePayloads = 1

// updateLayout records whether all live instances can read payloads that are stored separately.
func (fl *Fleet) updateLayout(nodes map[string]node) {
	for _, nd := range nodes {
		if nd.Layout < layoutSeparatePayloads {
			fl.separatePayloads.Store(false)
			return
		}
	}
	fl.separatePayloads.Store(len(nodes) > 0)
}

// ownerRow is the row of a cell's owner. If its Epoch is 0, the row version is the epoch.
type ownerRow struct {
	Holder      string    `json:"holder,omitempty"`
	Incarnation string    `json:"incarnation,omitempty"`
	Epoch       job.Epoch `json:"epoch,omitempty"`
	// Renewal numbers the renewals of the machine lease by one leader, so that it recognizes which of them the store carried out.
	Renewal int64 `json:"renewal,omitempty"`
	// Term is how long after a renewal was sent the controller's leader may have orders in flight.
	Term time.Duration `json:"term,omitempty"`
	// Released means that the last owner released the cell and has granted no lease since.
	Released bool `json:"released,omitempty"`
	// SilencesSince is the epoch from which on all owners have known the records of silent workers. An owner of an earlier version passes them over, and
	// drops the field.
	SilencesSince job.Epoch `json:"silencesSince,omitempty"`
	// version is the version of the row, seenAt when this version was first read here.
	version int64
	seenAt  time.Time
}

// epoch returns the owner's epoch.
func (or ownerRow) epoch() job.Epoch {
	if or.Epoch != 0 {
		return or.Epoch
	}
	return job.Epoch(or.version)
}

// nextSilencesSince returns SilencesSince of the owner that replaces this row. Its epoch is higher than the row's version.
func (or ownerRow) nextSilencesSince() job.Epoch {
	if or.SilencesSince != 0 {
		return or.SilencesSince
	}
	return job.Epoch(or.version) + 1
}

// members holds the entry instances, cell owners and machine drains of the control table.
type members struct {
	now   func() time.Time
	log   *event.Logger
	mu    sync.RWMutex // guards the fields below
	nodes map[string]node
	// versions holds the versions of the instances' rows.
	versions   map[string]int64
	nodeSeenAt map[string]time.Time
	owners     map[string]ownerRow
	// ownerChangedAt is when a cell's row was last seen to change. claims are the newest claims that were seen of each cell.
	ownerChangedAt map[string]time.Time
	claims         map[string][]cell.Claim
	drains         map[cell.MachineID]drainRow
	// orders holds when this instance learned of recent orders that end workers.
	orders map[cell.WorkerName]time.Time
	// vacantSince is since when a cell has had no live owner.
	vacantSince map[string]time.Time
}

func newMembers(now func() time.Time, log *event.Logger) *members {
	return &members{now: now, log: log, nodes: map[string]node{}, versions: map[string]int64{}, nodeSeenAt: map[string]time.Time{}, owners: map[string]ownerRow{}, ownerChangedAt: map[string]time.Time{}, claims: map[string][]cell.Claim{}, drains: map[cell.MachineID]drainRow{}, orders: map[cell.WorkerName]time.Time{}, vacantSince: map[string]time.Time{}}
}

// applyControlRows applies changes of the control table. Every answer of the store confirms the ownership of the cells owned
// here, even one without rows.
func (fl *Fleet) applyControlRows(rows []Row, sentAt time.Time) {
	drained := false
	for _, rw := range rows {
		switch {
		case rw.Key == ownerKey:
			fl.applyOwner(rw)
		case strings.HasPrefix(rw.Key, nodePrefix):
			fl.pending.addFormerCells(fl.members.applyNode(rw).Moved...)
		case strings.HasPrefix(rw.Key, heartbeatPrefix):
			fl.members.applyHeartbeat(rw)
		case strings.HasPrefix(rw.Key, drainPrefix):
			fl.members.applyDrain(rw)
			drained = true
		case strings.HasPrefix(rw.Key, wavePrefix):
			fl.controller.applyWaveRecord(rw)
		case rw.Key == forecastKey:
			fl.controller.applyForecastRow(rw)
		case strings.HasPrefix(rw.Key, pausePrefix):
			fl.applyPause(rw)
		case strings.HasPrefix(rw.Key, evacuationPrefix):
			fl.applyEvacuation(rw)
		}
	}
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.OwnershipConfirmed(sentAt) })
	}
	if drained {
		fl.cordonWorkers()
	}
}

// applyNode applies and returns the row of an entry instance, which is empty if there is none any more. An instance that ran another
// software version may have left an older row in another part.
func (mb *members) applyNode(rw Row) node {
	name := strings.TrimPrefix(rw.Key, nodePrefix)
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if rw.Version < mb.versions[name] {
		return node{}
	}
	mb.versions[name] = rw.Version
	var nd node
	err := json.Unmarshal(rw.Value, &nd)
	if !rw.Deleted && err != nil {
		mb.log.Emit(event.ControlRowRejected, zap.String("key", rw.Key), zap.Error(err))
	}
	if rw.Deleted || err != nil {
		delete(mb.nodes, name)
		delete(mb.nodeSeenAt, name)
		return node{}
	}
	mb.nodes[name], mb.nodeSeenAt[name] = nd, mb.now()
	return nd
}

// applyHeartbeat applies the heartbeat row of an entry instance. Its content does not matter.
func (mb *members) applyHeartbeat(rw Row) {
	if rw.Deleted {
		return
	}
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.nodeSeenAt[strings.TrimPrefix(rw.Key, heartbeatPrefix)] = mb.now()
}

// applyOwner applies the row of a cell, and stops an owner that has been replaced.
func (fl *Fleet) applyOwner(rw Row) {
	var or ownerRow
	if !rw.Deleted && json.Unmarshal(rw.Value, &or) != nil {
		fl.opts.Log.Emit(event.ControlRowRejected, zap.String("cell", rw.Part))
		return
	}
	or.version, or.seenAt = rw.Version, fl.opts.Now()
	fl.members.mu.Lock()
	if old, ok := fl.members.owners[rw.Part]; !ok || old.version < or.version {
		fl.members.setOwner(rw.Part, or)
		delete(fl.members.vacantSince, rw.Part)
	}
	fl.members.mu.Unlock()
	ow := fl.ownerOf(rw.Part)
	if ow != nil && or.epoch() > ow.epoch && (or.Holder != fl.opts.Name || or.Incarnation != fl.opts.Incarnation) {
		ow.loseOwnership("the store names " + or.Holder)
	}
}

// maxSeenClaims is how many claims of a cell are remembered, so that its next owner knows how long ago its predecessors claimed it.
const maxSeenClaims = 16

// setOwner sets the row of a cell. The caller holds the lock.
func (mb *members) setOwner(name string, or ownerRow) {
	mb.owners[name], mb.ownerChangedAt[name] = or, mb.now()
	claims := mb.claims[name]
	if or.Holder == "" || len(claims) > 0 && claims[len(claims)-1].Epoch >= or.epoch() {
		return
	}
	claims = append(claims, cell.Claim{Epoch: or.epoch(), SeenAt: mb.now()})
	mb.claims[name] = claims[max(0, len(claims)-maxSeenClaims):]
}

// seenClaims returns the newest claims that were seen of a cell.
func (mb *members) seenClaims(name string) []cell.Claim {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	return slices.Clone(mb.claims[name])
}

// owner returns the row of a cell.
func (mb *members) owner(name string) ownerRow {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	return mb.owners[name]
}

// ownerChanged returns when a cell's row was last seen to change.
func (mb *members) ownerChanged(name string) time.Time {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	return mb.ownerChangedAt[name]
}

// node returns the row of an entry instance.
func (mb *members) node(name string) (node, bool) {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	nd, ok := mb.nodes[name]
	return nd, ok
}

// count returns the number of entry instances that have a row.
func (mb *members) count() int {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	return len(mb.nodes)
}

// others lists all entry instances that have a row, except the named one.
func (mb *members) others(name string) []node {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	var list []node
	for _, nd := range mb.nodes {
		if nd.Name != name {
			list = append(list, nd)
		}
	}
	slices.SortFunc(list, func(a, b node) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// cellOwners lists the other entry instances that own cells; all other instances if all is set.
func (mb *members) cellOwners(name string, all bool) []node {
	list := mb.others(name)
	if all {
		return list
	}
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	holders := map[string]bool{}
	for _, or := range mb.owners {
		holders[or.Holder] = true
	}
	return slices.DeleteFunc(list, func(nd node) bool { return !holders[nd.Name] })
}

// liveNodes returns the entry instances whose rows keep changing, judged over the period in which the store has been answering.
func (fl *Fleet) liveNodes() map[string]node {
	since, until := fl.control.healthyPeriod()
	maxSpan := fl.deadTimeout()
	mb := fl.members
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	cellTakenAt := map[string]time.Time{}
	for name, or := range mb.owners {
		cellTakenAt[or.Holder] = maxTime(cellTakenAt[or.Holder], mb.ownerChangedAt[name])
	}
	live := map[string]node{}
	for name, nd := range mb.nodes {
		span := idleDeadTimeout(len(mb.nodes))
		lastSeen := maxTime(mb.nodeSeenAt[name], since)
		if tookCellAt, owns := cellTakenAt[name]; owns {
			// The instance sends heartbeats more often since it took the cell.
			span, lastSeen = maxSpan, maxTime(lastSeen, tookCellAt)
		}
		if until.Sub(lastSeen) < span {
			live[name] = nd
		}
	}
	return live
}

// idleHeartbeatDelay is the heartbeat interval of an instance that owns nothing, in a fleet of the given size.
func idleHeartbeatDelay(nodes int) time.Duration {
	return max(idleHeartbeatInterval, idleHeartbeatInterval*time.Duration(nodes)/heartbeatScaleNodes)
}

// idleDeadTimeout is how long the row of an instance that owns nothing may stay unchanged, in a fleet of the given size.
func idleDeadTimeout(nodes int) time.Duration { return 3*idleHeartbeatDelay(nodes) + minDeadTimeout }

// deadTimeout is how long the row of an entry instance may stay unchanged before the instance counts as dead.
func (fl *Fleet) deadTimeout() time.Duration {
	return min(maxDeadTimeout, minDeadTimeout+deadCommitFactor*fl.store.commitLatency())
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// heartbeat writes this instance's row, and renews its heartbeat row until the context ends.
func (fl *Fleet) heartbeat(ctx context.Context) {
	var written node
	for count := int64(1); ctx.Err() == nil; count++ {
		nd := fl.ownNode()
		rw, err := heartbeatRow(fl.opts.Name, count), error(nil)
		if !reflect.DeepEqual(nd, written) {
			rw, err = nd.row()
		}
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, fl.store.commitTimeout())
			_, err = fl.store.Commit(callCtx, Tx{Write: []Row{rw}})
			cancel()
		}
		// The watch of the control table logs that the store is unreachable.
		pause := heartbeatRetryDelay
		if err == nil {
			pause, written = fl.heartbeatDelay(), nd
		}
		fl.sleepUntilHeartbeat(ctx, pause)
	}
}

// ownNode returns the row of this instance.
func (fl *Fleet) ownNode() node {
	return node{Name: fl.opts.Name, Address: fl.opts.Address, Hall: fl.opts.Hall, Incarnation: fl.opts.Incarnation, Power: fl.opts.Power, Layout: layoutSeparatePayloads, Leaving: fl.stopping.Load(), Moved: fl.movedQueues()}
}

// row returns the row as it is stored.
func (nd node) row() (Row, error) {
	raw, err := json.Marshal(nd)
	place := nodePlace(nd.Name)
	return Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}, err
}

// heartbeatRow returns the row that an instance renews. All instances read all of them, so it holds no more than a number that
// changes.
func heartbeatRow(name string, count int64) Row {
	return Row{Table: tableControl, Part: nodePart(name), Key: heartbeatPrefix + name, Value: strconv.AppendInt(nil, count, 10)}
}

// heartbeatDelay returns how long this instance's row may stay unchanged.
func (fl *Fleet) heartbeatDelay() time.Duration {
	if fl.ownsNoCells() && !fl.controller.isLeader() && !fl.stopping.Load() {
		return idleHeartbeatDelay(fl.members.count())
	}
	return heartbeatInterval
}

// sleepUntilHeartbeat waits for the given time. If this instance becomes an owner meanwhile, it waits no longer than an owner
// may.
func (fl *Fleet) sleepUntilHeartbeat(ctx context.Context, pause time.Duration) {
	for slept := time.Duration(0); slept < pause && ctx.Err() == nil; slept += heartbeatInterval {
		if slept >= fl.heartbeatDelay() {
			return
		}
		sleep(ctx, min(heartbeatInterval, pause-slept))
	}
}

// load returns the load of an instance with that many cells, relative to its share of a core.
func (nd node) load(cells int) float64 {
	if nd.Power <= 0 {
		return float64(cells)
	}
	return float64(cells) / nd.Power
}

// cellCounts counts the cells of each instance.
func (mb *members) cellCounts() map[string]int {
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	count := map[string]int{}
	for _, or := range mb.owners {
		count[or.Holder]++
	}
	return count
}
