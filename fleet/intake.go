package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Times and sizes of accepting jobs.
const (
	// intakeGroup is how many jobs one transaction accepts: three rows and a condition each stay below a transaction's 100 entries.
	intakeGroup = 24
	// intakeTimeout bounds one read.
	intakeTimeout = 900 * time.Millisecond
	// intakeRetry is the pause before a try whose end is not known is repeated.
	intakeRetry = 60 * time.Millisecond
	// refuseAfter is how long a job that the store refuses is tried before its caller is told to come back.
	refuseAfter = 250 * time.Millisecond
	// comeBack is when a caller whose job was refused is to come back.
	comeBack = time.Second
	// pendingAge is how old a count of waiting jobs may be when it is told.
	pendingAge = 700 * time.Millisecond
	// pendingStale is how old it may be while the owner does not answer.
	pendingStale = 1900 * time.Millisecond
	// homesKept is how many jobs' cells are remembered.
	homesKept = 8192
)

// Verdict is what becomes of a job that is handed in.
type Verdict int

// The verdicts.
const (
	// Unknown means that the job may have been accepted.
	Unknown Verdict = iota
	// Accepted means that the job is kept.
	Accepted
	// Refused means that the job was not taken by this try and will not run because of it.
	Refused
	// Foreign means that the id is that of another organisation's job.
	Foreign
)

// Errors of job calls.
var (
	// ErrNoJob says that there is no such job.
	ErrNoJob = errors.New("no such job")
	// ErrNotNow says that the answer is not to be had at this time.
	ErrNotNow = errors.New("the answer is not to be had now")
)

// home is the row that says which cell a job belongs to, and which organisation.
type home struct {
	Cell         string             `json:"cell"`
	Queue        job.QueueID        `json:"queue"`
	Organisation job.OrganisationID `json:"organisation,omitempty"`
}

// handed is a job that waits to be accepted.
type handed struct {
	ctx     context.Context
	spec    *job.Spec
	raw     []byte
	verdict chan Verdict
	// unsure is set once a try had no answer: from then on only the store can say that it was not taken.
	unsure  bool
	started time.Time
	// tries counts the transactions that it was in.
	tries atomic.Int32
	// hold tells whether a transaction may take it.
	hold atomic.Int32
}

// What transactions have to do with a job that is handed in.
const (
	// holdNone means that none has taken it, nor will unless it is tried.
	holdNone = iota
	// holdDoubt means that one is under way, or ended without an answer.
	holdDoubt
	// holdWithdrawn means that its caller was told that it was not taken, so none may hold it any more.
	holdWithdrawn
)

// home is the row that says where the job belongs.
func (hd *handed) home() home {
	return home{Cell: cellName(hd.spec.Pool), Queue: hd.spec.Queue, Organisation: hd.spec.Organisation}
}

// verdict is what a caller is told who hands the job in once more.
func (hm home) verdict(by job.OrganisationID) Verdict {
	if !job.MayAccess(by, hm.Organisation) {
		return Foreign
	}
	return Accepted
}

// story is what the log tells of the way of a job until its verdict.
func (hd *handed) story(now time.Time) []zap.Field {
	return []zap.Field{zap.Duration("waited", now.Sub(hd.started)), zap.Int32("tries", hd.tries.Load())}
}

// tried counts one more transaction, and reports whether the job may be in it.
func (hd *handed) tried() bool {
	if !hd.unsure && !hd.hold.CompareAndSwap(holdNone, holdDoubt) {
		return false
	}
	hd.tries.Add(1)
	return true
}

// untaken notes that the transaction that held the job did nothing.
func (hd *handed) untaken() {
	if !hd.unsure {
		hd.hold.Store(holdNone)
	}
}

// giveUp is the verdict of a caller whose time is over: refused only if no transaction has taken the job, and none will.
func (hd *handed) giveUp() Verdict {
	if hd.hold.CompareAndSwap(holdNone, holdWithdrawn) {
		return Refused
	}
	return Unknown
}

// intake accepts the jobs of one part. The first goes at once; those that come while a transaction is on its way share the next.
type intake struct {
	fl    *Fleet
	part  string
	queue chan *handed
}

func newIntake(fl *Fleet, part int) *intake {
	return &intake{fl: fl, part: partName(part), queue: make(chan *handed, 1024)}
}

// Submit keeps a job, so that it runs once whatever fails. A second try of the same id is the same job.
func (fl *Fleet) Submit(ctx context.Context, sp *job.Spec) (Verdict, time.Duration) {
	if hm, known := fl.homes.get(sp.ID); known {
		return hm.verdict(sp.Organisation), 0
	}
	if fl.CutOff() || !fl.store.Reachable() && !fl.control.isFresh(fl.opts.Now()) {
		// Nothing was sent, so it has not run and will not.
		fl.fig.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "the store does not answer"))
		return Refused, comeBack
	}
	if span := fl.full.comeBack(fl.opts.Now(), sp.Queue); span > 0 {
		fl.fig.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "its pool cannot serve it in time"), zap.Duration("comeBack", span))
		return Refused, span
	}
	if fl.pausedQueues()[sp.Queue] {
		fl.fig.refused.Inc(1)
		fl.logJob(event.JobRefused, sp.ID, zap.String("why", "its queue is paused by an operator"), zap.Duration("comeBack", pausedFor))
		return Refused, pausedFor
	}
	sp.Epoch = fl.members.owner(cellName(sp.Pool)).epoch()
	raw, err := job.EncodeSpec(fl.kept(sp))
	if err != nil {
		return Refused, comeBack
	}
	hd := &handed{ctx: ctx, spec: sp, raw: raw, verdict: make(chan Verdict, 1), started: fl.opts.Now()}
	in := fl.intakes[homePart(sp.ID)]
	select {
	case in.queue <- hd:
	default:
		fl.fig.refused.Inc(1)
		return Refused, comeBack
	}
	var vd Verdict
	select {
	case vd = <-hd.verdict:
	case <-ctx.Done():
		// A try may be under way for longer than the caller waits.
		vd = hd.giveUp()
	}
	now := fl.opts.Now()
	fl.fig.handed(vd, now.Sub(hd.started))
	if vd == Unknown {
		fl.logJob(event.JobUnsure, sp.ID, hd.story(now)...)
	}
	return vd, comeBack
}

// kept is a job as its row has it: without its payload, which lies apart, once all instances know how to find it there.
func (fl *Fleet) kept(sp *job.Spec) *job.Spec {
	if sp.Payload == "" || !fl.apart.Load() {
		return sp
	}
	sp.Acceptor = fl.opts.Address
	light := *sp
	light.Payload = ""
	return &light
}

// fresh reports whether the table was heard of lately.
func (wt *tableWatch) isFresh(now time.Time) bool {
	_, until := wt.healthyPeriod()
	return now.Sub(until) < wt.wait+feedTimeoutMargin
}

// run accepts jobs until the context ends. Jobs whose try had no answer are tried again together with those that came meanwhile.
func (in *intake) run(ctx context.Context) {
	var waiting []*handed
	for ctx.Err() == nil {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case first := <-in.queue:
				waiting = append(waiting, first)
			}
		}
		for len(in.queue) > 0 {
			waiting = append(waiting, <-in.queue)
		}
		waiting = in.round(ctx, unique(waiting))
	}
}

// round tries the first jobs that wait and returns those that are still to be tried.
func (in *intake) round(ctx context.Context, waiting []*handed) []*handed {
	waiting = in.expire(waiting)
	if len(waiting) == 0 {
		return nil
	}
	group := waiting[:min(len(waiting), intakeGroup)]
	rest := waiting[len(group):]
	group = slices.DeleteFunc(slices.Clone(group), func(hd *handed) bool { return !hd.tried() })
	if len(group) == 0 {
		return rest
	}
	err := in.try(ctx, group)
	var cf *Conflict
	switch {
	case err == nil:
		in.accepted(group)
		return rest
	case errors.As(err, &cf):
		group = in.known(group, cf)
		untaken(group)
	case errors.Is(err, ErrRefused):
		untaken(group)
		group = in.refuse(group)
		rest = in.refuse(rest)
		sleep(ctx, intakeRetry)
	default:
		for _, hd := range group {
			hd.unsure = true
		}
		rest = in.refuse(rest)
		sleep(ctx, intakeRetry)
	}
	return append(group, rest...)
}

func untaken(group []*handed) {
	for _, hd := range group {
		hd.untaken()
	}
}

// expire answers the callers whose time is over, and all of them once this instance is cut off.
func (in *intake) expire(waiting []*handed) []*handed {
	var left []*handed
	for _, hd := range waiting {
		switch {
		case in.fl.CutOff() && hd.unsure:
			// Another hall can find out what became of it.
			hd.verdict <- Unknown
		case in.fl.CutOff():
			hd.verdict <- Refused
		case hd.ctx.Err() == nil:
			left = append(left, hd)
		case hd.unsure:
			hd.verdict <- Unknown
		default:
			hd.verdict <- Refused
		}
	}
	return left
}

// refuse answers at once what the store has refused for a while and cannot have taken, and returns the others.
func (in *intake) refuse(waiting []*handed) []*handed {
	var left []*handed
	for _, hd := range waiting {
		if hd.unsure || in.fl.opts.Now().Sub(hd.started) < refuseAfter {
			left = append(left, hd)
			continue
		}
		in.fl.fig.refused.Inc(1)
		in.fl.logJob(event.JobRefused, hd.spec.ID, append(hd.story(in.fl.opts.Now()), zap.String("why", "the store does not take it"))...)
		hd.verdict <- Refused
	}
	return left
}

// unique leaves out later tries of a job that waits already; their callers are told to ask again.
func unique(waiting []*handed) []*handed {
	seen := map[job.ID]bool{}
	var list []*handed
	for _, hd := range waiting {
		if seen[hd.spec.ID] {
			hd.verdict <- Unknown
			continue
		}
		seen[hd.spec.ID] = true
		list = append(list, hd)
	}
	return list
}

// try writes the rows of some jobs on the condition that none is there.
func (in *intake) try(ctx context.Context, group []*handed) error {
	var tx Tx
	for _, hd := range group {
		id := string(hd.spec.ID)
		name := cellName(hd.spec.Pool)
		raw, err := json.Marshal(hd.home())
		if err != nil {
			return ErrRefused
		}
		tx.Expect = append(tx.Expect, Expect{Place{tableHome, in.part, id}, 0})
		tx.Write = append(tx.Write, Row{Table: tableHome, Part: in.part, Key: id, Value: raw}, Row{Table: jobTable(name), Part: in.part, Key: id, Value: hd.raw})
		if hd.spec.Acceptor != "" {
			tx.Write = append(tx.Write, Row{Table: tablePayload, Part: in.part, Key: id, Value: []byte(hd.spec.Payload)})
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, in.fl.store.commitTimeout())
	defer cancel()
	_, err := in.fl.store.Commit(callCtx, tx)
	return err
}

// accepted tells callers, and then the owners of the cells.
func (in *intake) accepted(group []*handed) {
	byCell := map[string][][]byte{}
	for _, hd := range group {
		name := cellName(hd.spec.Pool)
		in.fl.homes.add(hd.spec.ID, hd.home())
		in.fl.payloads.put(hd.spec.ID, hd.spec.Payload)
		byCell[name] = append(byCell[name], hd.raw)
		in.fl.logJob(event.JobAccepted, hd.spec.ID, append(hd.story(in.fl.opts.Now()), zap.String("cell", name), zap.Int64("epoch", int64(hd.spec.Epoch)))...)
		hd.verdict <- Accepted
	}
	for name, specs := range byCell {
		go in.fl.offer(name, specs)
	}
}

// known tells the callers of jobs that were accepted before, by an earlier try here or through another entry instance, and returns
// the others. The job is as that try wrote it: this one may name another cell, and its epoch would make an owner that has just
// taken over believe that no earlier one can have started it, so the owner is not told.
func (in *intake) known(group []*handed, cf *Conflict) []*handed {
	homes := map[string]home{}
	for _, rw := range cf.Rows {
		var hm home
		if rw.Table == tableHome && !rw.Deleted && rw.Version != 0 && json.Unmarshal(rw.Value, &hm) == nil {
			homes[rw.Key] = hm
		}
	}
	var left []*handed
	for _, hd := range group {
		hm, there := homes[string(hd.spec.ID)]
		if !there {
			left = append(left, hd)
			continue
		}
		in.fl.homes.add(hd.spec.ID, hm)
		in.fl.logJob(event.JobKnown, hd.spec.ID)
		hd.verdict <- hm.verdict(hd.spec.Organisation)
	}
	return left
}

// offer tells a cell's owner of new jobs; the owner's feed finds them as well, only later.
func (fl *Fleet) offer(name string, specs [][]byte) {
	if ow := fl.ownerOf(name); ow != nil {
		for _, raw := range specs {
			ow.offer(raw)
		}
		return
	}
	fl.peers.offer(name, specs)
}
