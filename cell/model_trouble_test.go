package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// trouble does one of the things that happen.
func (md *model) trouble() {
	if md.calm {
		return
	}
	md.at(md.millis(200, 1800), md.trouble)
	ow := md.owners[md.rnd.Intn(len(md.owners))]
	list := md.sorted()
	wk := list[md.rnd.Intn(len(list))]
	switch md.rnd.Intn(10) {
	case 0:
		// What waits for the end of an earlier freeze would come late if this one ended it sooner.
		ow.frozen = latest(ow.frozen, md.now.Add(md.millis(100, 9000)))
		md.note("owner %d freezes until %v", ow.epoch, ow.frozen)
		md.at(ow.frozen.Sub(md.now)+time.Millisecond, func() { md.plan(ow) })
	case 1:
		ow.cutStore = md.now.Add(md.millis(100, 12000))
		md.note("owner %d is cut from the store", ow.epoch)
	case 2, 3:
		md.cut(ow)
	case 4:
		md.crash(wk)
		md.crashOthers()
	case 5, 6:
		if cur := md.current(); cur == nil || md.rnd.Intn(2) == 0 {
			md.claim()
		}
	case 7:
		if cur := md.current(); cur != nil && !md.now.Before(cur.frozen) && !md.now.Before(cur.cutStore) && !cur.core.Saving() {
			md.handOver(cur)
		}
	case 9:
		md.resize(wk)
	case 8:
		if len(md.order2) > 0 {
			md.cancel(md.order2[md.rnd.Intn(len(md.order2))])
		}
	}
}

// cut parts an owner from some workers.
func (md *model) cut(ow *modelOwner) {
	for _, wk := range md.sorted() {
		if md.rnd.Intn(2) == 0 {
			ow.cutWorkers[wk.info.ID] = md.now.Add(md.millis(100, 15000))
		}
	}
	md.note("owner %d is cut from some workers", ow.epoch)
}

// crash ends a life; a new one comes at the same address. The membership tells late.
func (md *model) crash(wk *truthWorker) {
	if !wk.alive {
		return
	}
	wk.alive = false
	md.bury(wk)
	wk.runs, wk.ended = map[job.Task]*truthRun{}, nil
	md.note("%s crashes", wk.info.ID)
	md.strike(strikeCrash)
	name := WorkerName("")
	back := md.millis(500, 5000)
	if md.reborn && md.rnd.Intn(4) > 0 {
		name, back = wk.info.ID.Name(), md.millis(50, 5000)
	}
	md.at(back, func() { md.addWorker(name, wk.info.Address) })
	md.at(md.millis(3000, 6000), func() {
		for _, ow := range md.owners {
			ow.core.Unregister(md.now, wk.info.ID)
			if next := md.living(wk.info.ID.Name()); next == nil && md.rnd.Intn(2) == 0 {
				ow.core.WorkerEnded(md.now, wk.info.ID)
			}
		}
	})
}

// crashOthers ends further workers in a dense world, as the loss of a rack does.
func (md *model) crashOthers() {
	if !md.dense {
		return
	}
	for _, wk := range md.sorted() {
		if wk.alive && md.rnd.Intn(denseCrash) == 0 {
			md.crash(wk)
		}
	}
}

// handOver is a planned stop of an owner.
func (md *model) handOver(ow *modelOwner) {
	md.version++
	md.rowVersion, md.used, md.exposed, md.released = md.version, ow.core.Release(md.now), ow.core.UnseenLossEpoch(), true
	ow.dead = true
	md.note("owner %d hands over, clean %t", ow.epoch, md.released)
	md.at(md.millis(10, 800), func() {
		if md.current() == nil {
			md.claim()
		}
	})
}

func (md *model) cancel(id job.ID) {
	jb := md.jobs[id]
	if !jb.cancelled.IsZero() {
		return
	}
	jb.cancelled = md.now
	for _, ow := range md.owners {
		md.at(md.millis(1, 700), func() { md.deliver(ow, func() { ow.core.Cancel(md.now, id) }) })
	}
}

// greet is how a life answers whoever opens a connection to the one before it, under a token.
func (wk *truthWorker) greet(token Token) Outcome {
	if token < wk.token {
		return Superseded
	}
	wk.token = token
	return WrongIncarnation
}

// strikes are how often of a hundred times a dense world's owner is troubled after something has happened, and strikeWithin is how soon.
const (
	strikeEnd    = 1
	strikeLost   = 2
	strikeBirth  = 15
	strikeCrash  = 30
	strikeWithin = 400
	// denseLost is how many times as many orders are lost in a dense world, denseCrash of how many workers one ends along with another.
	denseLost  = 3
	denseCrash = 3
)

// strike replaces, freezes or cuts off the owner soon after something has happened whose word it may lose with that.
func (md *model) strike(often int) {
	if !md.dense || md.calm || md.rnd.Intn(100) >= often {
		return
	}
	md.at(md.millis(0, strikeWithin), func() {
		cur := md.current()
		if md.calm || cur == nil {
			return
		}
		switch md.rnd.Intn(5) {
		case 0:
			md.claim()
		case 1:
			cur.frozen = latest(cur.frozen, md.now.Add(md.millis(100, 9000)))
			md.at(cur.frozen.Sub(md.now)+time.Millisecond, func() { md.plan(cur) })
			md.claim()
		case 2:
			cur.cutStore = md.now.Add(md.millis(100, 12000))
		case 3:
			md.cut(cur)
		case 4:
			if !md.now.Before(cur.frozen) && !md.now.Before(cur.cutStore) && !cur.core.Saving() {
				md.handOver(cur)
			}
		}
	})
}
