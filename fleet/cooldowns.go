package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// cooldownRowCount is the number of rows that the cooldowns of machines are spread over. Together they hold every machine that got
// an order within a few seconds, and only an instance that becomes the leader reads them: in the lease row, which all instances
// follow, they were most of what each of them read from the store.
const cooldownRowCount = 32

// cooldownRow is one row of the machines with recent or planned orders: for how long, from the time the row was written, the next
// leader must not send orders for them.
type cooldownRow map[cell.MachineID]time.Duration

// cooldownKey returns the key of the row of a machine.
func cooldownKey(id cell.MachineID) string {
	return strconv.Itoa(int(hash(string(id)) % cooldownRowCount))
}

// cooldownChange is the content of the rows that one renewal of the lease writes, by key. A row without machines is removed.
type cooldownChange map[string]cooldownRow

// addTo adds the rows to a transaction.
func (cc cooldownChange) addTo(tx *Tx) error {
	for _, key := range slices.Sorted(maps.Keys(cc)) {
		if len(cc[key]) == 0 {
			tx.Remove = append(tx.Remove, Place{tableCooldown, machinesCell, key})
			continue
		}
		raw, err := json.Marshal(cc[key])
		if err != nil {
			return err
		}
		tx.Write = append(tx.Write, Row{Table: tableCooldown, Part: machinesCell, Key: key, Value: raw})
	}
	return nil
}

// change returns the rows to write before orders for some machines are sent: the rows of these machines, and those whose machines
// have all cooled down. The other rows stay: counted from a later time, their cooldowns only last longer.
func (ml *machineLease) change(now time.Time, term time.Duration, next []cell.MachineID) cooldownChange {
	rows := cooldownChange{}
	for id, remaining := range ml.cooldowns(now, term) {
		key := cooldownKey(id)
		if rows[key] == nil {
			rows[key] = cooldownRow{}
		}
		rows[key][id] = remaining
	}
	wanted := map[string]bool{}
	for _, id := range next {
		wanted[cooldownKey(id)] = true
	}
	for key := range ml.published {
		wanted[key] = wanted[key] || rows[key] == nil
	}
	changed := cooldownChange{}
	for key := range wanted {
		changed[key] = rows[key]
	}
	return changed
}

// all returns all rows, for a handover.
func (ml *machineLease) all(now time.Time) cooldownChange {
	var recent []cell.MachineID
	for id := range ml.cooldowns(now, 0) {
		recent = append(recent, id)
	}
	return ml.change(now, 0, recent)
}

// apply records that rows were written.
func (ml *machineLease) apply(changed cooldownChange) {
	if ml.published == nil {
		ml.published = cooldownChange{}
	}
	for key, row := range changed {
		if len(row) == 0 {
			delete(ml.published, key)
			continue
		}
		ml.published[key] = row
	}
}

// lists reports whether the written rows list a machine.
func (ml *machineLease) lists(id cell.MachineID) bool {
	_, listed := ml.published[cooldownKey(id)][id]
	return listed
}

// readCooldowns reads the cooldowns that the previous leader left, as of the version of the claim or later, and retries until it
// succeeds or the context ends.
func (fl *Fleet) readCooldowns(ctx context.Context, claimed int64) cooldownChange {
	found := cooldownChange{}
	for ctx.Err() == nil {
		rows, err := fl.readPartSince(ctx, tableCooldown, machinesCell, claimed)
		if err != nil {
			sleep(ctx, machineLeaseRetryDelay)
			continue
		}
		for _, rw := range rows {
			row := cooldownRow{}
			if err := json.Unmarshal(rw.Value, &row); err != nil {
				fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", rw.Key), zap.Error(err))
				continue
			}
			found[rw.Key] = row
		}
		return found
	}
	return found
}
