package cell

import "time"

// Bounds of the starts that are under way, and what they follow.
const (
	// startsFirst is how many may be under way before any was answered: a few for each worker of a small cell.
	startsFirst = 64
	// startsLeast keeps a cell going whose answers take long for a reason that its own starts have no part in. Each start carries up to
	// 4 KB, so that this many fill a link of 250 KB/s for some 0.1 s.
	startsLeast = 8
	// startsWorkers is how many workers there are for each further one in any case. In a large cell peers carry starts out, 200 bytes each on the
	// owner's link, in groups that wait for each other: answers that take 0.1 s are usual there and no sign of a queue of starts.
	startsWorkers = 2
	// startsMost bounds what a lost peer can leave without an answer.
	startsMost = 2048
	// startsQueue is how long starts may queue on their way beyond twice the shortest time seen. Looks use the same links and renew
	// leases: with queues of 0.5 s and more they were given up, and lasting tasks lapsed (calm days on links of 250 KB/s).
	startsQueue = 100 * time.Millisecond
	// startsShrink is what a late answer leaves of the window, at most once in startsPause, since answers late together have one cause; one
	// that is later still leaves less, down to startsCut.
	startsShrink = 0.7
	startsCut    = 0.25
	startsPause  = 100 * time.Millisecond
	// startsMemory is for how long the shortest time counts, once or twice: ways change.
	startsMemory = 15 * time.Second
	// startsShare is the weight of the newest answer in the smoothed time.
	startsShare = 0.05
)

// startWindow bounds how many starts are under way, by how soon they are answered: an owner whose link or processor is full would send ever
// more of them otherwise, until looks come too late to renew leases.
type startWindow struct {
	size float64
	// workers is the size of the cell.
	workers int
	// inFlight is how many starts have no answer yet.
	inFlight int
	// least is the shortest time of late, earlier that of the time before; since is when least began to count.
	least, earlier time.Duration
	since          time.Time
	shrunk         time.Time
	// smoothed is how long starts take, answered how many were since the last reading.
	smoothed time.Duration
	answered int
}

// canStart reports whether one more start may go.
func (wi *startWindow) canStart() bool { return wi.inFlight < int(wi.limit()) }

func (wi *startWindow) limit() float64 {
	if wi.size == 0 {
		return startsFirst
	}
	return wi.size
}

// observe notes how long an answered start observe from its decision on.
func (wi *startWindow) observe(now time.Time, span time.Duration) {
	wi.remember(now, span)
	wi.answered++
	wi.smoothed += time.Duration(startsShare * float64(span-wi.smoothed))
	limit, target := wi.limit(), wi.target()
	switch {
	case span <= target && float64(wi.inFlight) >= limit/2:
		limit++
	case span > target*3/2 && now.Sub(wi.shrunk) > max(startsPause, span):
		limit *= min(startsShrink, max(startsCut, float64(target)/float64(span)))
		wi.shrunk = now
	}
	wi.size = min(startsMost, max(startsLeast, float64(wi.workers/startsWorkers), limit))
}

// target is how long a start may take.
func (wi *startWindow) target() time.Duration {
	least := wi.least
	if wi.earlier != 0 {
		least = min(least, wi.earlier)
	}
	return startsQueue + 2*least
}

// remember keeps the shortest time of late.
func (wi *startWindow) remember(now time.Time, span time.Duration) {
	if now.Sub(wi.since) > startsMemory {
		wi.earlier, wi.least, wi.since = wi.least, span, now
		return
	}
	wi.least = min(wi.least, span)
}

// StartLatency is how long starts take from their decision to the worker's answer, smoothed, and how many were answered since it was last
// asked for.
func (cr *Core) StartLatency() (span time.Duration, answered int) {
	answered = cr.startWindow.answered
	cr.startWindow.answered = 0
	return cr.startWindow.smoothed, answered
}
