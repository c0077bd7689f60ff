package cell

import "time"

// Limits of the starts in flight, and the parameters that adapt them.
const (
	// initialStartWindow is the number of starts in flight until the first answer: a few for each worker of a small cell.
	initialStartWindow = 64
	// minStartWindow keeps a cell working if answers are slow for a reason other than its own starts. Each start carries up to 4 KB, so this many
	// occupy a link of 250 KB/s for about 0.1 s.
	minStartWindow = 8
	// workersPerStart sets a lower bound of the window in large cells: one start in flight per this many workers. There peers relay the starts, with
	// 200 bytes each on the owner's link, in groups that wait for each other. Answers that take 0.1 s are normal then and not a sign that starts
	// queue.
	workersPerStart = 2
	// maxStartWindow limits the number of unanswered starts after the loss of a peer.
	maxStartWindow = 2048
	// startQueueTime is how long starts may queue on the way, beyond twice the shortest time seen. Polls use the same links and renew leases: with
	// queues of 0.5 s and more, polls timed out and leases of long-running tasks expired on links of 250 KB/s.
	startQueueTime = 100 * time.Millisecond
	// startWindowShrink is the factor by which a late answer shrinks the window, at most once per startWindowShrinkPause, since answers that are
	// late together have one cause. A later answer shrinks it more, down to the factor minStartWindowShrink.
	startWindowShrink      = 0.7
	minStartWindowShrink   = 0.25
	startWindowShrinkPause = 100 * time.Millisecond
	// minStartTimeTTL is how long a shortest time is used, for one or two periods, since network paths change.
	minStartTimeTTL = 15 * time.Second
	// startTimeWeight is the weight of the newest answer in the smoothed time.
	startTimeWeight = 0.05
)

// startWindow limits the starts in flight by how quickly they are answered. An owner with a saturated link or CPU would otherwise send more and
// more starts, until polls are too late to renew leases.
type startWindow struct {
	size float64
	// workers is the number of workers in the cell.
	workers int
	// inFlight is the number of unanswered starts.
	inFlight int
	// minTime is the shortest start time of the current period, which began at minTimeSince. prevMinTime is that of the period before.
	minTime, prevMinTime time.Duration
	minTimeSince         time.Time
	shrunkAt             time.Time
	// smoothedTime is the smoothed start time. answered is the number of starts answered since the last reading.
	smoothedTime time.Duration
	answered     int
}

// canStart reports whether another start may be sent.
func (sw *startWindow) canStart() bool { return sw.inFlight < int(sw.limit()) }

func (sw *startWindow) limit() float64 {
	if sw.size == 0 {
		return initialStartWindow
	}
	return sw.size
}

// observe records the time between the decision to start and the worker's answer, and adapts the window.
func (sw *startWindow) observe(now time.Time, span time.Duration) {
	sw.updateMinTime(now, span)
	sw.answered++
	sw.smoothedTime += time.Duration(startTimeWeight * float64(span-sw.smoothedTime))
	limit, target := sw.limit(), sw.target()
	switch {
	case span <= target && float64(sw.inFlight) >= limit/2:
		limit++
	case span > target*3/2 && now.Sub(sw.shrunkAt) > max(startWindowShrinkPause, span):
		limit *= min(startWindowShrink, max(minStartWindowShrink, float64(target)/float64(span)))
		sw.shrunkAt = now
	}
	sw.size = min(maxStartWindow, max(minStartWindow, float64(sw.workers/workersPerStart), limit))
}

// target returns the start time that the window aims for. The window grows up to it and shrinks at half as much again.
func (sw *startWindow) target() time.Duration {
	return startQueueTime + 2*sw.shortest()
}

// shortest returns the shortest recent start time.
func (sw *startWindow) shortest() time.Duration {
	if sw.prevMinTime != 0 {
		return min(sw.minTime, sw.prevMinTime)
	}
	return sw.minTime
}

// updateMinTime updates the shortest start time of the period.
func (sw *startWindow) updateMinTime(now time.Time, span time.Duration) {
	if now.Sub(sw.minTimeSince) > minStartTimeTTL {
		sw.prevMinTime, sw.minTime, sw.minTimeSince = sw.minTime, span, now
		return
	}
	sw.minTime = min(sw.minTime, span)
}

// StartLatency returns the smoothed time from the decision to start until the worker's answer, and the number of starts answered since the last
// call.
func (cr *Core) StartLatency() (span time.Duration, answered int) {
	answered = cr.startWindow.answered
	cr.startWindow.answered = 0
	return cr.startWindow.smoothedTime, answered
}
