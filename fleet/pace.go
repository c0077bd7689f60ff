package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// paceInterval is how often an owner logs the starts and ends of its cell.
const paceInterval = time.Second

// paceLog collects what an owner logs of its planning. The owner's lock guards it.
type paceLog struct {
	since    time.Time
	planning time.Duration
	plans    int
}

// logPace counts a plan that began at the given time, and logs the pace of the cell once per interval in which something started or
// ended. The caller holds the lock.
func (ow *owner) logPace(began time.Time) {
	pl, now := &ow.pace, ow.fl.opts.Now()
	pl.plans++
	pl.planning += now.Sub(began)
	span := now.Sub(pl.since)
	if span < paceInterval {
		return
	}
	pc, plans, planning := ow.core.TakePace(), pl.plans, pl.planning
	first := pl.since.IsZero()
	*pl = paceLog{since: now}
	if first || pc.Started+pc.Answered+pc.Ended == 0 {
		return
	}
	peerTimes := ow.relays.startTimes()
	ow.fl.opts.Log.Emit(event.CellPace, zap.String("cell", ow.name), zap.Int64("epoch", int64(ow.epoch)),
		zap.Int("started", pc.Started), zap.Int("answered", pc.Answered), zap.Int("ended", pc.Ended),
		zap.Duration("startTime", pc.StartTime), zap.Duration("minStartTime", pc.MinStartTime), zap.Duration("runTime", pc.RunTime),
		zap.Int("inFlight", pc.InFlight), zap.Int("window", pc.Window), zap.Int("plans", plans),
		zap.Float64("planning", planning.Seconds()/span.Seconds()), zap.Int("peers", len(peerTimes)),
		zap.Duration("peerTime", quantile(peerTimes, 0.5)), zap.Duration("slowestPeer", quantile(peerTimes, 1)))
}

// quantile returns the value at a share of an ascending list, 0 if it is empty.
func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(share*float64(len(list)-1))]
}
