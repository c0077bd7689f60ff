package cell

import "time"

// Bounds of the starts that are under way, and what they follow.
const (
	// initialStartWindow is how many may be under way before any was answered: a few for each worker of a small cell.
	initialStartWindow = 64
	// minStartWindow keeps a cell going whose answers take long for a reason that its own starts have no part in. Each start carries up to
	// 4 KB, so that this many fill a link of 250 KB/s for some 0.1 s.
	minStartWindow = 8
	// workersPerStart is how many workers there are for each further one in any case. In a large cell peers carry starts out, 200 bytes each on the
	// owner's link, in groups that wait for each other: answers that take 0.1 s are usual there and no sign of a queue of starts.
	workersPerStart = 2
	// maxStartWindow bounds what a lost peer can leave without an answer.
	maxStartWindow = 2048
	// startQueueTime is how long starts may queue on their way beyond twice the shortest time seen. Looks use the same links and renew
	// leases: with queues of 0.5 s and more they were given up, and lasting tasks lapsed (calm days on links of 250 KB/s).
	startQueueTime = 100 * time.Millisecond
	// startWindowShrink is what a late answer leaves of the window, at most once in startsPause, since answers late together have one cause; one
	// that is later still leaves less, down to startsCut.
	startWindowShrink      = 0.7
	minStartWindowShrink   = 0.25
	startWindowShrinkPause = 100 * time.Millisecond
	// minStartTimeTTL is for how long the shortest time counts, once or twice: ways change.
	minStartTimeTTL = 15 * time.Second
	// startTimeWeight is the weight of the newest answer in the smoothed time.
	startTimeWeight = 0.05
)

// startWindow bounds how many starts are under way, by how soon they are answered: an owner whose link or processor is full would send ever
// more of them otherwise, until looks come too late to renew leases.
type startWindow struct {
	size float64
	// workers is the size of the cell.
	workers int
	// inFlight is how many starts have no answer yet.
	inFlight int
	// minTime is the shortest time of late, prevMinTime that of the time before; since is when minTime began to count.
	minTime, prevMinTime time.Duration
	minTimeSince         time.Time
	shrunkAt             time.Time
	// smoothedTime is how long starts take, answered how many were since the last reading.
	smoothedTime time.Duration
	answered     int
}

// canStart reports whether one more start may go.
func (wi *startWindow) canStart() bool { return wi.inFlight < int(wi.limit()) }

func (wi *startWindow) limit() float64 {
	if wi.size == 0 {
		return initialStartWindow
	}
	return wi.size
}

// observe notes how long an answered start observe from its decision on.
func (wi *startWindow) observe(now time.Time, span time.Duration) {
	wi.updateMinTime(now, span)
	wi.answered++
	wi.smoothedTime += time.Duration(startTimeWeight * float64(span-wi.smoothedTime))
	limit, target := wi.limit(), wi.target()
	switch {
	case span <= target && float64(wi.inFlight) >= limit/2:
		limit++
	case span > target*3/2 && now.Sub(wi.shrunkAt) > max(startWindowShrinkPause, span):
		limit *= min(startWindowShrink, max(minStartWindowShrink, float64(target)/float64(span)))
		wi.shrunkAt = now
	}
	wi.size = min(maxStartWindow, max(minStartWindow, float64(wi.workers/workersPerStart), limit))
}

// target is how long a start may take.
func (wi *startWindow) target() time.Duration {
	least := wi.minTime
	if wi.prevMinTime != 0 {
		least = min(least, wi.prevMinTime)
	}
	return startQueueTime + 2*least
}

// updateMinTime keeps the shortest time of late.
func (wi *startWindow) updateMinTime(now time.Time, span time.Duration) {
	if now.Sub(wi.minTimeSince) > minStartTimeTTL {
		wi.prevMinTime, wi.minTime, wi.minTimeSince = wi.minTime, span, now
		return
	}
	wi.minTime = min(wi.minTime, span)
}

// StartLatency is how long starts take from their decision to the worker's answer, smoothed, and how many were answered since it was last
// asked for.
func (cr *Core) StartLatency() (span time.Duration, answered int) {
	answered = cr.startWindow.answered
	cr.startWindow.answered = 0
	return cr.startWindow.smoothedTime, answered
}
