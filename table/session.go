package table

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// maxMoves bounds how often one session is followed from instance to instance.
const maxMoves = 1000

// Follow returns where a session is bound to now, given where it began.
func (sn *Snapshot) Follow(service ServiceID, session string, pn Pin) (Pin, bool) {
	for range maxMoves {
		mv, moved := sn.Moves[MoveKey(pn)]
		if !moved {
			in := sn.Instances[pn.Instance]
			return pn, in != nil && in.Epoch == pn.Epoch
		}
		successors := mv.Successors[service]
		if len(successors) == 0 {
			return pn, false
		}
		pn = Rendezvous(session, successors)
	}
	return pn, false
}

// Rendezvous returns the pin that a session goes to; every entry instance finds the same one.
func Rendezvous(session string, pins []Pin) Pin {
	best, highest := pins[0], uint64(0)
	for _, pn := range pins {
		if weight := xxhash.Sum64String(session + "\x00" + string(pn.Instance)); weight >= highest {
			best, highest = pn, weight
		}
	}
	return best
}

// Successors returns for each service of an instance the pins that its sessions may go to, those of its own hall if there are any.
func (sn *Snapshot) Successors(in Instance, usable func(*Instance) bool) map[ServiceID][]Pin {
	successors := map[ServiceID][]Pin{}
	for _, id := range in.Services {
		sv := sn.Services[id]
		if sv == nil {
			continue
		}
		var near, far []Pin
		for _, other := range sv.Instances {
			if other.ID == in.ID || !sn.Serving(other.ID) || !usable(other) {
				continue
			}
			pn := Pin{Instance: other.ID, Epoch: other.Epoch}
			if other.Hall == in.Hall {
				near = append(near, pn)
			} else {
				far = append(far, pn)
			}
		}
		if len(near) == 0 {
			near = far
		}
		if len(near) > 0 {
			successors[id] = near
		}
	}
	return successors
}

// Mover gives the sessions of a lost instance to successors, with one write for the instance however many sessions it had.
type Mover struct {
	table   Table
	watcher *Watcher
	actor   string
	mu      sync.Mutex
	moving  map[Pin]bool
	// OnMoved is told of each move that this mover wrote; set before use.
	OnMoved func(Move)
}

// NewMover returns a mover that writes under the name of an actor.
func NewMover(table Table, watcher *Watcher, actor string) *Mover {
	return &Mover{table: table, watcher: watcher, actor: actor, moving: map[Pin]bool{}}
}

// Move agrees with other entry instances on the successors of an instance that is gone; the first write wins.
func (mv *Mover) Move(ctx context.Context, in Instance) {
	pn := Pin{Instance: in.ID, Epoch: in.Epoch}
	if !mv.begin(pn) {
		return
	}
	defer mv.end(pn)
	if err := mv.write(ctx, in, pn); err == nil && mv.OnMoved != nil {
		mv.OnMoved(Move{Pin: pn})
	}
	mv.watcher.Poll()
}

func (mv *Mover) begin(pn Pin) bool {
	mv.mu.Lock()
	defer mv.mu.Unlock()
	if mv.moving[pn] {
		return false
	}
	mv.moving[pn] = true
	return true
}

func (mv *Mover) end(pn Pin) {
	mv.mu.Lock()
	defer mv.mu.Unlock()
	delete(mv.moving, pn)
}

// write inserts the move row and raises the instance's epoch in one transaction, so that a second writer always conflicts.
func (mv *Mover) write(ctx context.Context, in Instance, pn Pin) error {
	sn := mv.watcher.Snapshot()
	rw, known := sn.Rows[RowKey{TableInstance, string(in.ID)}]
	if !known || sn.Instances[in.ID] == nil || sn.Instances[in.ID].Epoch != pn.Epoch {
		return eris.Wrap(ErrNotApplied, "instance changed")
	}
	successors := sn.Successors(in, func(other *Instance) bool { return !sn.Gone(other.ID) })
	if len(successors) == 0 {
		return eris.Wrap(ErrNotApplied, "no successor")
	}
	move, err := Encode(Move{Pin: pn, Successors: successors})
	if err != nil {
		return err
	}
	in.Epoch++
	row, err := Encode(in)
	if err != nil {
		return err
	}
	audit, err := AuditWrite(Audit{Actor: mv.actor, Action: "moveSessions", Subject: MoveKey(pn), Why: "endpoint is gone"})
	if err != nil {
		return err
	}
	_, err = mv.table.Commit(ctx, Tx{Writes: []Write{
		{Table: TableMove, Key: MoveKey(pn), Value: move},
		{Table: TableInstance, Key: string(in.ID), IfVersion: rw.Version, Value: row},
		audit,
	}})
	return err
}
