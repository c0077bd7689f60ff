package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Keys and parts of the control table.
const (
	nodePrefix = "node/"
	// heartbeatPrefix is short, since every instance reads all heartbeats.
	heartbeatPrefix = "b/"
	drainPrefix     = "drain/"
	wavePrefix      = "wave/"
	ownerKey        = "owner"
	machinesCell    = "~machines"
	// nodePartPrefix is the prefix of the parts that hold the rows of entry instances.
	nodePartPrefix = "nodes/"
)

// nodePartCount is the number of parts that the rows of entry instances are spread over. A part serializes its writes: with a
// slow store, heartbeats in a single part would delay each other until every instance seems dead. A starting instance reads all
// parts: with one part per instance, the reads at a start of all at once would grow with the square of their number.
const nodePartCount = 32

// nodePlace returns the place of an entry instance's row.
func nodePlace(name string) Place {
	return Place{tableControl, nodePart(name), nodePrefix + name}
}

// nodePart returns the part of an entry instance's rows.
func nodePart(name string) string {
	return nodePartPrefix + strconv.Itoa(int(hash(name)%nodePartCount))
}

// Intervals and timeouts of membership and ownership.
const (
	// heartbeatInterval is how often an entry instance that owns cells renews its row.
	heartbeatInterval = 500 * time.Millisecond
	// idleHeartbeatInterval is how often an instance that owns no cell renews its row. No other instance depends on its work,
	// but every instance reads all heartbeats: with 97 instances that write 300 bytes twice a second, each would read 58 KB/s.
	idleHeartbeatInterval = 2 * time.Second
	// heartbeatRetryDelay is the delay after a failed heartbeat. It is short so that live instances are recognised soon after a
	// store outage.
	heartbeatRetryDelay = 150 * time.Millisecond
	// minDeadTimeout is how long a row may stay unchanged before its entry instance counts as dead while the store is fast. It
	// allows for two heartbeats, one lost answer and the intervals of the feed. A slow store adds deadCommitFactor times the
	// commit latency, up to maxDeadTimeout.
	minDeadTimeout   = 1500 * time.Millisecond
	deadCommitFactor = 4
	// heartbeatScaleNodes is the number of instances from which idle heartbeats slow down in proportion to the number of
	// instances, since every instance reads all of them. At 301 instances 0.77 GB a minute were read from the store, most of it
	// heartbeats.
	heartbeatScaleNodes = 100
	// maxDeadTimeout is the upper bound of the dead timeout, and the maximum age of the store's last answer for claims.
	maxDeadTimeout = 2500 * time.Millisecond
	// ownershipInterval is how often an instance checks which cells to claim or release.
	ownershipInterval = 100 * time.Millisecond
	// claimRankDelay is how long each instance in the claim order waits for the one before it to claim a vacant cell.
	claimRankDelay = 300 * time.Millisecond
	// claimTimeout bounds one attempt at a claim.
	claimTimeout = 2 * time.Second
	// startupSettleTime is how long after its start an entry instance releases no cell.
	startupSettleTime = 4 * time.Second
	// cellMoveInterval is the minimum time between two cells that an instance releases to a less loaded one, and the minimum
	// time that a cell stays with its owner.
	cellMoveInterval = 4 * time.Second
)

// cellNames lists the cells of the configuration and the cell of the machine controller.
func (fl *Fleet) cellNames() []string {
	names := []string{machinesCell}
	if cf := fl.config.Load(); cf != nil {
		for _, pool := range cf.Pools {
			names = append(names, cellName(pool.ID))
		}
	}
	return names
}

// runOwnership claims vacant cells and rebalances owned ones until the context ends.
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

// claimIfVacant claims a cell if its owner is not alive and this instance's turn in the claim order has come.
func (fl *Fleet) claimIfVacant(ctx context.Context, now time.Time, name string, live map[string]node) {
	or := fl.members.owner(name)
	if or.Holder == fl.opts.Name && or.Incarnation == fl.opts.Incarnation {
		if !fl.runsCell(name) {
			// The store carried out an earlier claim of this instance, but the answer was lost or came after the timeout.
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
	rank := fl.claimRank(name, or.Holder, live)
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
	return until.Sub(maxTime(fl.members.ownerChanged(machinesCell), since)) < max(or.Term, machineLeaseTermMin)+machineLeaseMargin
}

// runsCell reports whether this instance runs a cell's owner or, for the machine cell, the controller.
func (fl *Fleet) runsCell(name string) bool {
	if name == machinesCell {
		return fl.controller.isLeader()
	}
	return fl.ownerOf(name) != nil
}

// claimRank returns this instance's position in the claim order for a cell: by load, then instances in other data halls than the
// former holder, which may have been lost with its hall, then by a hash of the cell and the instance. It returns -1 if this
// instance is not live.
func (fl *Fleet) claimRank(name, holder string, live map[string]node) int {
	type candidate struct {
		name string
		load float64
		// holderHall is 1 in the data hall of the former holder, 0 elsewhere.
		holderHall int
		hash       uint64
	}
	counts := fl.members.cellCounts()
	former, known := fl.members.node(holder)
	var list []candidate
	for _, nd := range live {
		if !nd.Leaving {
			cd := candidate{name: nd.Name, load: nd.load(counts[nd.Name] + 1), hash: xxhash.Sum64String(name + "/" + nd.Name)}
			if known && nd.Hall == former.Hall {
				cd.holderHall = 1
			}
			list = append(list, cd)
		}
	}
	slices.SortFunc(list, func(one, other candidate) int {
		return cmp.Or(cmp.Compare(one.load, other.load), cmp.Compare(one.holderHall, other.holderHall), cmp.Compare(one.hash, other.hash), cmp.Compare(one.name, other.name))
	})
	return slices.IndexFunc(list, func(cd candidate) bool { return cd.name == fl.opts.Name })
}

// startClaim starts to claim a cell in the background, unless a claim is in flight or this instance owns the cell. The claim
// fails if the cell's row has changed since it was read.
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
	next := ownerRow{Holder: fl.opts.Name, Incarnation: fl.opts.Incarnation, SilencesSince: old.nextSilencesSince()}
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
		if earlier := fl.earlierClaimVersion(cf, place, raw); earlier != 0 {
			version, err = earlier, nil
		}
	}
	if err != nil {
		// The feed shows who owns the cell, also if this claim was carried out without an answer.
		fl.opts.Log.Emit(event.ClaimFailed, zap.String("cell", name), zap.Error(err))
		return
	}
	next.version, next.seenAt = version, fl.opts.Now()
	fl.members.mu.Lock()
	if fl.members.owners[name].version < version {
		fl.members.setOwner(name, next)
	}
	fl.members.mu.Unlock()
	fl.opts.Log.Emit(event.CellClaimed, zap.String("cell", name), zap.Int64("epoch", version), zap.String("before", old.Holder))
	fl.metrics.claims.Inc(1)
	if name == machinesCell {
		fl.startMachineController(ctx, next)
		return
	}
	fl.startOwner(ctx, name, next, old, sentAt)
}

// earlierClaimVersion returns the version of this instance's earlier claim whose answer was lost, or 0 if another instance
// wrote the row.
func (fl *Fleet) earlierClaimVersion(cf *Conflict, place Place, raw []byte) int64 {
	for _, rw := range cf.Rows {
		var or ownerRow
		if rw.Place() == place && json.Unmarshal(rw.Value, &or) == nil && or.Holder == fl.opts.Name && or.Incarnation == fl.opts.Incarnation && or.Epoch == 0 && string(rw.Value) == string(raw) {
			return rw.Version
		}
	}
	return 0
}
