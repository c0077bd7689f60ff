package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// waveRowCount is the number of rows for the machines that a wave has finished with.
const waveRowCount = 32

// waveRecord is one row of the stored progress of a wave. The machines are spread over waveRowCount rows, so that a wave over a
// whole fleet fits; the end of the wave has a row of its own.
type waveRecord struct {
	Done     []cell.MachineID `json:"done,omitempty"`
	Finished bool             `json:"finished,omitempty"`
}

// applyWaveRecord applies the stored progress of a wave.
func (ct *machineController) applyWaveRecord(rw Row) {
	text, _, _ := strings.Cut(strings.TrimPrefix(rw.Key, wavePrefix), "/")
	number, err := strconv.Atoi(text)
	var rc waveRecord
	if err != nil || rw.Deleted || json.Unmarshal(rw.Value, &rc) != nil {
		ct.fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", rw.Key))
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.records[number] == nil {
		ct.records[number] = map[string]waveRecord{}
	}
	ct.records[number][rw.Key] = rc
}

func waveKey(wave int) string { return wavePrefix + strconv.Itoa(wave) }

// waveProgress combines the stored rows of a wave. The caller holds the lock.
func (ct *machineController) waveProgress(wave int) (all waveRecord) {
	for _, rc := range ct.records[wave] {
		all.Done = append(all.Done, rc.Done...)
		all.Finished = all.Finished || rc.Finished
	}
	return all
}

// saveDone stores the machines that a wave has finished with, in the rows that change.
func (ct *machineController) saveDone(wave int, done []cell.MachineID) {
	rows := map[string][]cell.MachineID{}
	for _, id := range done {
		key := waveKey(wave) + "/" + strconv.Itoa(int(hash(string(id))%waveRowCount))
		rows[key] = append(rows[key], id)
	}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		ct.mu.Lock()
		changed := !slices.Equal(ct.savedDone[key], rows[key])
		ct.savedDone[key] = rows[key]
		ct.mu.Unlock()
		if changed {
			ct.putRow(key, waveRecord{Done: rows[key]})
		}
	}
}
