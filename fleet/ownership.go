package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Keys in the control table.
const (
	nodePrefix   = "node/"
	drainPrefix  = "drain/"
	wavePrefix   = "wave/"
	ownerKey     = "owner"
	machinesCell = "~machines"
	// nodesPart begins the names of the parts in which the rows of entry instances lie.
	nodePartPrefix = "nodes/"
)

// nodeParts is over how many parts the rows of entry instances are spread. A part takes its writes in turn, so that with a slow store all beats
// in one part would hold each other up until everyone seems dead; and whoever starts reads each part, so that a part for each instance made
// 90,000 reads when 300 started at once.
const nodePartCount = 32

// nodePlace is where the row of an entry instance lies.
func nodePlace(name string) Place {
	return Place{tableControl, nodePartPrefix + strconv.Itoa(int(hash(name)%nodePartCount)), nodePrefix + name}
}

// Times of membership and ownership.
const (
	// beatEvery is how often an entry instance renews its row.
	heartbeatInterval = 500 * time.Millisecond
	// beatIdle is how often an instance does so that owns nothing. Nobody waits for what it does, and the beats of all are read by all: at
	// 97 instances that beat twice a second, 300 bytes each, every one would read 58 KB a second of them.
	idleHeartbeatInterval = 2 * time.Second
	// beatAgain is the pause after a beat that failed, so that the living are seen soon after an outage of the store.
	heartbeatRetryDelay = 150 * time.Millisecond
	// deadLeast is how long a row may stand still before its entry instance counts as dead while the store is fast: two beats, one lost
	// answer and the gaps of the feed. A slow store adds deadPaces times what a transaction takes, up to deadAfter.
	minDeadTimeout   = 1500 * time.Millisecond
	deadCommitFactor = 4
	// idleNodes is how many instances share one beatIdle: with more of them each beats less often, since all read what all write. At 301
	// instances 0.77 GB a minute were read from the store, most of it beats.
	heartbeatScaleNodes = 100
	// deadAfter is the longest, and how old the newest word of the store may be for claims.
	maxDeadTimeout = 2500 * time.Millisecond
	// ownEvery is how often ownership is looked over.
	ownershipInterval = 100 * time.Millisecond
	// rankDelay is how long the next in rank waits for the one before to take a cell without owner.
	claimRankDelay = 300 * time.Millisecond
	// claimTimeout bounds one try at a claim.
	claimTimeout = 2 * time.Second
	// settleFor is how long after its start an entry instance gives no cell away.
	startupSettleTime = 4 * time.Second
	// moveEvery is the least time between two cells that an entry instance gives to a less laden one.
	cellMoveInterval = 4 * time.Second
)

// cells lists the cells that there have to be.
func (fl *Fleet) cellNames() []string {
	names := []string{machinesCell}
	if cf := fl.config.Load(); cf != nil {
		for _, pool := range cf.Pools {
			names = append(names, cellName(pool.ID))
		}
	}
	return names
}

// own takes cells without owner until the context ends.
func (fl *Fleet) runOwnership(ctx context.Context) {
	var moved time.Time
	started := fl.opts.Now()
	for ctx.Err() == nil {
		sleep(ctx, ownershipInterval)
		fl.removeLostOwners()
		if !fl.control.loaded() || fl.stopping.Load() || fl.config.Load() == nil {
			continue
		}
		now := fl.opts.Now()
		if _, until := fl.control.healthyPeriod(); now.Sub(until) > maxDeadTimeout {
			continue
		}
		live := fl.liveNodes()
		fl.updateLayout(live)
		for _, name := range fl.cellNames() {
			fl.claimIfVacant(ctx, now, name, live)
		}
		if now.Sub(started) > startupSettleTime && now.Sub(moved) > cellMoveInterval && fl.rebalance(ctx, live) {
			moved = now
		}
	}
}

// consider claims a cell if it has no living owner and it is this instance's turn.
func (fl *Fleet) claimIfVacant(ctx context.Context, now time.Time, name string, live map[string]node) {
	or := fl.members.owner(name)
	if or.Holder == fl.opts.Name && or.Incarnation == fl.opts.Incarnation {
		if !fl.runsCell(name) {
			// An own claim whose answer was lost, or came after it was given up, was carried out all the same.
			fl.startClaim(ctx, name, or)
		}
		return
	}
	if fl.ownerAlive(name, or, live) {
		fl.members.mu.Lock()
		delete(fl.members.vacantSince, name)
		fl.members.mu.Unlock()
		return
	}
	fl.members.mu.Lock()
	since, waiting := fl.members.vacantSince[name]
	if !waiting {
		fl.members.vacantSince[name], since = now, now
	}
	fl.members.mu.Unlock()
	rank := fl.claimRank(name, live)
	if rank < 0 || now.Sub(since) < time.Duration(rank)*claimRankDelay {
		return
	}
	fl.startClaim(ctx, name, or)
}

// ownerAlive reports whether a cell has a live owner. The leader of the machine controller counts as live while its lease may
// run, whether or not its instance sends heartbeats.
func (fl *Fleet) ownerAlive(name string, or ownerRow, live map[string]node) bool {
	if or.Holder == "" {
		return false
	}
	if name == machinesCell {
		return fl.machineLeaseHeld(or)
	}
	nd, known := live[or.Holder]
	return known && nd.Incarnation == or.Incarnation && !nd.Leaving
}

// machineLeaseHeld reports whether the machine lease may still run. If the leader's process has restarted, the earlier process
// sends no orders any more.
func (fl *Fleet) machineLeaseHeld(or ownerRow) bool {
	if nd, known := fl.members.node(or.Holder); known && nd.Incarnation != or.Incarnation {
		return false
	}
	since, until := fl.control.healthyPeriod()
	return until.Sub(later(fl.members.ownerChanged(machinesCell), since)) < max(or.Term, machineLeaseTermMin)+machineLeaseMargin
}

// works reports whether this instance works on a cell, or is about to.
func (fl *Fleet) runsCell(name string) bool {
	if name == machinesCell {
		return fl.controller.isLeader()
	}
	return fl.ownerOf(name) != nil
}

// rank is this instance's place among those that may take a cell: the least laden first, then by a hash of cell and name.
func (fl *Fleet) claimRank(name string, live map[string]node) int {
	type rated struct {
		name string
		load float64
		hash uint32
	}
	held := fl.members.cellCounts()
	var list []rated
	for _, nd := range live {
		if !nd.Leaving {
			list = append(list, rated{nd.Name, nd.load(held[nd.Name] + 1), hash(name + "/" + nd.Name)})
		}
	}
	slices.SortFunc(list, func(one, other rated) int {
		return cmp.Or(cmp.Compare(one.load, other.load), cmp.Compare(one.hash, other.hash), cmp.Compare(one.name, other.name))
	})
	return slices.IndexFunc(list, func(rt rated) bool { return rt.name == fl.opts.Name })
}

// claim makes this instance a cell's owner if the row is still the one that was seen.
func (fl *Fleet) startClaim(ctx context.Context, name string, old ownerRow) {
	fl.mu.Lock()
	if fl.claiming[name] || fl.owners[name] != nil {
		fl.mu.Unlock()
		return
	}
	fl.claiming[name] = true
	fl.mu.Unlock()
	go func() {
		defer func() {
			fl.mu.Lock()
			delete(fl.claiming, name)
			fl.mu.Unlock()
		}()
		fl.commitClaim(ctx, name, old)
	}()
}

func (fl *Fleet) commitClaim(ctx context.Context, name string, old ownerRow) {
	next := ownerRow{Holder: fl.opts.Name, Incarnation: fl.opts.Incarnation, Workers: fl.mergeWorkers(name, old.Workers), UnseenLossEpoch: old.UnseenLossEpoch, Ordered: old.Ordered}
	raw, err := json.Marshal(next)
	if err != nil {
		fl.opts.Log.Emit(event.ClaimFailed, zap.String("cell", name), zap.Error(err))
		return
	}
	place := Place{tableControl, name, ownerKey}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sentAt := fl.opts.Now()
	version, err := fl.store.Commit(callCtx, Tx{Expect: []Expect{{place, old.version}}, Write: []Row{{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}}})
	var cf *Conflict
	if errors.As(err, &cf) {
		if mine := fl.earlierClaimVersion(cf, place, raw); mine != 0 {
			version, err = mine, nil
		}
	}
	if err != nil {
		// The feed shows who has it; an unknown end shows there as well.
		fl.opts.Log.Emit(event.ClaimFailed, zap.String("cell", name), zap.Error(err))
		return
	}
	next.version, next.seenAt = version, fl.opts.Now()
	fl.members.mu.Lock()
	if fl.members.owners[name].version < version {
		fl.members.owners[name], fl.members.ownerChangedAt[name] = next, fl.opts.Now()
	}
	fl.members.mu.Unlock()
	fl.opts.Log.Emit(event.CellClaimed, zap.String("cell", name), zap.Int64("epoch", version), zap.String("before", old.Holder), zap.Int("workers", len(next.Workers)))
	fl.metrics.claims.Inc(1)
	if name == machinesCell {
		fl.startMachineController(ctx, next, old)
		return
	}
	fl.startOwner(ctx, name, next, old, sentAt)
}

// claimedBefore returns the version of an own earlier claim whose answer was lost, 0 if the row is another's.
func (fl *Fleet) earlierClaimVersion(cf *Conflict, place Place, raw []byte) int64 {
	for _, rw := range cf.Rows {
		var or ownerRow
		if rw.Place() == place && json.Unmarshal(rw.Value, &or) == nil && or.Holder == fl.opts.Name && or.Incarnation == fl.opts.Incarnation && or.Epoch == 0 && string(rw.Value) == string(raw) {
			return rw.Version
		}
	}
	return 0
}

// usedWorkers are those that earlier owners used and those that are registered.
func (fl *Fleet) mergeWorkers(name string, previous []cell.WorkerRef) []cell.WorkerRef {
	list := slices.Clone(previous)
	for _, wk := range fl.workerCache.inPool(job.PoolID(name)) {
		if !slices.ContainsFunc(list, func(rf cell.WorkerRef) bool { return rf.ID == wk.ID }) {
			list = append(list, cell.WorkerRef{ID: wk.ID, Address: wk.Address, Machine: wk.Machine})
		}
	}
	return list
}
