package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// lifeMark parts a worker's name from when its life began, in the name of the life.
	lifeMark = "~"
	// lifeBase is the base of that number, so that rows and messages, which name many lives, stay short.
	lifeBase = 36
	// strayFor is for how long after it was given an order without an answer may be carried out; the users' pages say seconds.
	strayFor = 12 * time.Second
)

// LifeOf names a life of a worker by when it began, in milliseconds since 1970; 0 where that is not told and each life has a name of its own.
func LifeOf(name WorkerName, born int64) WorkerID {
	if born == 0 && !strings.Contains(string(name), lifeMark) {
		return WorkerID(name)
	}
	return WorkerID(string(name) + lifeMark + strconv.FormatInt(born, lifeBase))
}

// Name is the worker's, whatever its life.
func (id WorkerID) Name() WorkerName {
	name, _ := id.split()
	return name
}

// Born is when the life began, in milliseconds since 1970; 0 if that is not told.
func (id WorkerID) Born() int64 {
	_, born := id.split()
	return born
}

func (id WorkerID) split() (WorkerName, int64) {
	at := strings.LastIndex(string(id), lifeMark)
	if at < 0 {
		return WorkerName(id), 0
	}
	born, err := strconv.ParseInt(string(id[at+len(lifeMark):]), lifeBase, 64)
	if err != nil {
		// A name that some row or message made up: it is nobody's life.
		return WorkerName(id), 0
	}
	return WorkerName(id[:at]), born
}

// returns reports whether the worker may start again under the name that this life has, so that an order meant for this life may reach another.
func (id WorkerID) returns() bool { return id.Born() != 0 }

// lives are those of a worker that are known of, as a rule one.
func (cr *Core) lives(name WorkerName) []*worker {
	var list []*worker
	for _, wk := range cr.list {
		if wk.name == name {
			list = append(list, wk)
		}
	}
	return list
}

// doubted reports whether tasks of an earlier owner may run unseen on a worker.
func (cr *Core) doubted(name WorkerName) bool {
	for id := range cr.unresolved {
		if id.Name() == name {
			return true
		}
	}
	return false
}

// counterOf is that of the tokens for a life. It goes on from that of the former lives under the name, so that the first look at a new one makes
// void there what was ordered of them without an answer.
func (cr *Core) counterOf(id WorkerID) *Token {
	name := id.Name()
	counter, former := cr.counters[name]
	if !former {
		counter = new(Token)
		cr.counters[name] = counter
		return counter
	}
	*counter++
	return counter
}

// stray is a start that had no answer before its worker's life was over. The next life under the name knows nothing that would make it void.
type stray struct {
	name  WorkerName
	token Token
	task  *taskState
	job   *jobState
	until time.Time
}

// astray keeps a task whose start had no answer from being started elsewhere until no life of the worker can carry that start out any more.
func (cr *Core) astray(now time.Time, pl *placement) {
	until := pl.ordered.Add(strayFor)
	if !pl.acked.IsZero() || !pl.worker.info.ID.returns() || !now.Before(until) {
		return
	}
	sy := &stray{name: pl.worker.name, token: pl.token, task: &pl.step.tasks[pl.task.Index], job: pl.step.job, until: until}
	sy.task.stray = sy
	cr.strays = append(cr.strays, sy)
	for _, wk := range cr.lives(sy.name) {
		if wk != pl.worker && wk.fenced {
			cr.settleStrays(sy.name, cr.token(wk))
		}
	}
}

// settleStrays lets the tasks go on whose stray starts are void, since a life under the name has seen a higher token.
func (cr *Core) settleStrays(name WorkerName, seen Token) {
	if len(cr.strays) == 0 {
		return
	}
	cr.strays = slices.DeleteFunc(cr.strays, func(sy *stray) bool {
		if sy.task.stray != sy || sy.job.ended() {
			return true
		}
		if sy.name != name || sy.token >= seen {
			return false
		}
		sy.task.stray, sy.job.settled = nil, false
		return true
	})
}
