package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
)

// evacuationPrefix is the key prefix of evacuated data halls in the control table, evacuationPart the part that holds them.
const (
	evacuationPrefix = "evacuate/"
	evacuationPart   = "evacuate"
)

// evacuatedRetryAfter is the time after which callers should retry while all data halls are evacuated. It is short because the
// first hall that returns can serve them.
const evacuatedRetryAfter = 10 * time.Second

// Errors of evacuations.
var (
	// ErrNotEvacuated means that a data hall that should be restored is not evacuated by this fleet's own commands.
	ErrNotEvacuated = errors.New("the data hall is not evacuated, or the platform's operator evacuates it")
	errNoHall       = errors.New("evacuation without a data hall")
)

// Evacuation is an operator's request to start nothing on the workers of a data hall. Running tasks continue.
type Evacuation struct {
	Hall job.HallID `json:"hall"`
	By   string     `json:"by"`
	Why  string     `json:"why"`
	At   time.Time  `json:"at"`
}

func evacuationPlace(hall job.HallID) Place {
	return Place{tableControl, evacuationPart, evacuationPrefix + string(hall)}
}

// EvacuateHall evacuates a data hall until RestoreHall. If it is already evacuated, the new reason replaces the old one.
func EvacuateHall(ctx context.Context, st Store, ev Evacuation) error {
	if ev.Hall == "" {
		return errNoHall
	}
	raw, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	place := evacuationPlace(ev.Hall)
	_, err = st.Commit(ctx, Tx{Write: []Row{{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}}})
	return err
}

// RestoreHall ends the evacuation of a data hall.
func RestoreHall(ctx context.Context, st Store, hall job.HallID) error {
	list, err := evacuationRows(ctx, st)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(list, func(ev Evacuation) bool { return ev.Hall == hall }) {
		return ErrNotEvacuated
	}
	_, err = st.Commit(ctx, Tx{Remove: []Place{evacuationPlace(hall)}})
	return err
}

// evacuationRows lists the data halls that are evacuated by EvacuateHall.
func evacuationRows(ctx context.Context, st Store) ([]Evacuation, error) {
	pg, err := st.Read(ctx, Query{Table: tableControl, Part: evacuationPart})
	if err != nil {
		return nil, err
	}
	list := []Evacuation{}
	for _, rw := range pg.Rows {
		var ev Evacuation
		if err := json.Unmarshal(rw.Value, &ev); err != nil {
			return nil, err
		}
		list = append(list, ev)
	}
	return list, nil
}

// evacuationSet holds the data halls that are evacuated at present. Two tables may request it, so a hall stays evacuated until
// the last request is removed.
type evacuationSet struct {
	mu       sync.Mutex // guards requests
	requests map[Place]evacuationRequest
	// halls is the set of evacuated halls. The map is replaced, never changed.
	halls atomic.Pointer[map[job.HallID]bool]
}

// evacuationRequest is a row that requests an evacuation.
type evacuationRequest struct {
	hall job.HallID
	// since is when this instance learned of the request, by the time of day.
	since time.Time
}

// put adds or replaces the request of a row.
func (es *evacuationSet) put(place Place, er evacuationRequest) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.requests == nil {
		es.requests = map[Place]evacuationRequest{}
	}
	if old, known := es.requests[place]; known {
		er.since = old.since
	}
	es.requests[place] = er
	es.publish()
}

// remove removes the request of a row.
func (es *evacuationSet) remove(place Place) {
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.requests, place)
	es.publish()
}

// publish replaces the set of halls. The caller holds the lock.
func (es *evacuationSet) publish() {
	halls := make(map[job.HallID]bool, len(es.requests))
	for _, er := range es.requests {
		halls[er.hall] = true
	}
	es.halls.Store(&halls)
}

// since returns when this instance learned that a hall is evacuated; zero if it is not.
func (es *evacuationSet) since(hall job.HallID) time.Time {
	es.mu.Lock()
	defer es.mu.Unlock()
	var first time.Time
	for _, er := range es.requests {
		if er.hall == hall && (first.IsZero() || er.since.Before(first)) {
			first = er.since
		}
	}
	return first
}

// evacuatedHalls returns the data halls whose workers get no new tasks. The map must not be changed.
func (fl *Fleet) evacuatedHalls() map[job.HallID]bool {
	if halls := fl.evacuations.halls.Load(); halls != nil {
		return *halls
	}
	return map[job.HallID]bool{}
}

// hallEvacuated reports whether the workers of a data hall get no new tasks.
func (fl *Fleet) hallEvacuated(hall job.HallID) bool { return fl.evacuatedHalls()[hall] }

// outsideEvacuation returns the machines that are not in an evacuated data hall. The others are no room, and no pool gains by their
// move.
func (fl *Fleet) outsideEvacuation(machines map[cell.MachineID]machine.Machine) map[cell.MachineID]machine.Machine {
	halls := fl.evacuatedHalls()
	list := make(map[cell.MachineID]machine.Machine, len(machines))
	for id, mc := range machines {
		if !halls[mc.Hall] {
			list[id] = mc
		}
	}
	return list
}

// allHallsEvacuated reports whether no worker gets new tasks.
func (fl *Fleet) allHallsEvacuated() bool {
	halls := fl.evacuatedHalls()
	if len(halls) == 0 || len(fl.opts.Halls) == 0 {
		return false
	}
	return !slices.ContainsFunc(fl.opts.Halls, func(hall job.HallID) bool { return !halls[hall] })
}

// applyOperatorEvacuation applies a row of the operator table if it is an evacuation, and reports whether it is one. A row that
// cannot be read requests nothing.
func (fl *Fleet) applyOperatorEvacuation(rw Row) bool {
	hall, err := fl.opts.Format.Evacuation(rw)
	switch {
	case err != nil:
		fl.opts.Log.Emit(event.OperatorRowRejected, zap.String("key", rw.Key), zap.Error(err))
		fl.setEvacuation(rw.Place(), Evacuation{}, true)
	case hall == "":
		return false
	default:
		fl.setEvacuation(rw.Place(), Evacuation{Hall: hall}, rw.Deleted)
	}
	return true
}

// applyEvacuation applies the row of an evacuated data hall in the control table. A row that cannot be decoded evacuates the
// hall that its key names, since only this fleet's own commands write it.
func (fl *Fleet) applyEvacuation(rw Row) {
	ev := Evacuation{}
	if err := json.Unmarshal(rw.Value, &ev); err != nil && !rw.Deleted {
		fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", rw.Key), zap.Error(err))
	}
	ev.Hall = job.HallID(strings.TrimPrefix(rw.Key, evacuationPrefix))
	fl.setEvacuation(rw.Place(), ev, rw.Deleted)
}

// setEvacuation applies or removes the request of a row, and tells the cells owned here.
func (fl *Fleet) setEvacuation(place Place, ev Evacuation, removed bool) {
	before := fl.evacuatedHalls()
	if removed {
		fl.evacuations.remove(place)
	} else {
		fl.evacuations.put(place, evacuationRequest{hall: ev.Hall, since: fl.opts.WallClock()})
	}
	halls := fl.evacuatedHalls()
	for hall := range halls {
		if !before[hall] {
			fl.opts.Log.Emit(event.HallEvacuated, zap.String("hall", string(hall)), zap.String("by", ev.By), zap.String("why", ev.Why))
		}
	}
	for hall := range before {
		if !halls[hall] {
			fl.opts.Log.Emit(event.HallRestored, zap.String("hall", string(hall)))
		}
	}
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.SetEvacuatedHalls(halls) })
	}
}
