package machine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Forecast learns the turns of the pools' demand: how long they last, how high and how far apart they are, and which pool's turn follows
// which. What one pool's turn taught is used for the next pool's. It has no clock and is not safe for concurrent use.
type Forecast struct {
	pools map[job.PoolID]*poolDemand
	// turns holds the newest turns that have begun, by their begin. The turns that still last are in it.
	turns []Turn
	// changes counts the begins and ends of turns.
	changes int
}

// Turn is a time in which a pool's demand is far above its demand at rest.
type Turn struct {
	Pool  job.PoolID
	Began time.Time
	// Ended is zero while the turn lasts.
	Ended time.Time
	// Rest is the demand before the turn, Height the mean demand in it, both in machines.
	Rest, Height float64
}

// Prediction is what a forecast says of a pool.
type Prediction struct {
	// InTurn means that the pool's demand is in a turn now.
	InTurn bool
	// Height is the demand in the present turn or in the next one, in machines.
	Height float64
	// Own means that Height is that of the pool's own turns, not the growth seen at others.
	Own bool
	// Level is the smoothed demand of the present turn, or the demand at rest.
	Level float64
	// Sureness says how sure the forecast is that Height is needed within the horizon, from 0 to 1.
	Sureness float64
	// Far means that the pool is at rest and surely has no turn within twice the horizon. Soon means that some pool's turn begins within it.
	Far, Soon bool
	// Ends means that the present turn ends within the horizon, Settled that it has lasted long enough for its machines to be there.
	Ends, Settled bool
	// Age is how long the present turn has lasted.
	Age time.Duration
}

// Bounds of what is learned.
const (
	// MaxTurns bounds the turns that are remembered: some rounds of a few pools, and a row of about 1 KB.
	MaxTurns = 12
	// turnRise is how far demand rises above that at rest when a turn begins, as a share of the demand at rest and at least as a share of an
	// even share of all machines. Demand that varies less is served by what stands by.
	turnRise, turnRiseMin = 1.0, 0.15
	// turnFall is the share of its highest rise below which a turn has ended.
	turnFall = 0.3
	// burstShare is the share of the learned length and height below which a rise of demand was a burst and no turn.
	burstShare = 0.4
	// turnSamples is how many successive samples confirm the end of a turn; a begin is believed at once, since it costs moves only.
	turnSamples = 3
	// turnTimeout is how long a turn may last, as a multiple of the learned length. What lasts longer is a new level of demand.
	turnTimeout = 3
	// turnLengthMax bounds a turn while none has been learned.
	turnLengthMax = time.Minute
	// restWeightUp and restWeightDown smooth the demand at rest. It follows a fall fast, since a leader may begin within a turn.
	restWeightUp, restWeightDown = 0.03, 0.3
	// levelWeight smooths the demand within a turn.
	levelWeight = 0.2
	// restWarmup is how long a pool's demand at rest is followed closely after its first demand.
	restWarmup = 2 * time.Second
	// intervalSpread is the assumed spread of the intervals between turns as long as there is only one.
	intervalSpread = 0.15
	// turnMissed is how long after its expected begin a turn counts as missed: about what two moves cost in time and price.
	turnMissed = 3500 * time.Millisecond
	// surenessMin is the least sureness that moves machines. A machine at the wrong pool for a move's time costs much less than a job that is
	// late.
	surenessMin = 0.3
)

// Turns returns the turns that are remembered, by their begin. The caller must not modify them.
func (fc *Forecast) Turns() []Turn { return fc.turns }

// Changes counts the begins and ends of turns that were seen.
func (fc *Forecast) Changes() int { return fc.changes }

// poolDemand is the state of one pool's demand.
type poolDemand struct {
	// since is when the pool first had demand.
	since time.Time
	// rest is the smoothed demand at rest.
	rest float64
	// level is the smoothed demand of the present turn.
	level float64
	// peak is the highest demand of the present turn; sum and samples make its mean.
	peak, sum float64
	samples   int
	// low counts the successive samples that say that the turn has ended.
	low int
	// falling is set from the end of a turn, at fellAt, until the demand is back at rest. No turn begins meanwhile.
	falling bool
	fellAt  time.Time
}

// NewForecast returns a forecast that remembers turns of an earlier one, by their begin; there may be none.
func NewForecast(turns []Turn) *Forecast {
	fc := &Forecast{pools: map[job.PoolID]*poolDemand{}}
	for _, tn := range turns {
		fc.add(tn)
		// A pool whose turn lasts on has the demand at rest from before it.
		fc.pools[tn.Pool] = &poolDemand{since: tn.Began, rest: tn.Rest, level: tn.Height, peak: tn.Height, sum: tn.Height, samples: 1}
	}
	return fc
}

// Observe records a pool's demand in machines. even is an even share of all machines. While it is 0, no machines are known and nothing is
// learned, since any change of demand would be a turn.
func (fc *Forecast) Observe(now time.Time, pool job.PoolID, demand, even float64) {
	if even <= 0 {
		return
	}
	pd, ok := fc.pools[pool]
	if !ok {
		pd = &poolDemand{rest: demand}
		fc.pools[pool] = pd
	}
	if pd.since.IsZero() && demand > 0 {
		pd.since = now
	}
	if tn := fc.current(pool); tn != nil {
		fc.observeTurn(now, tn, pd, demand)
		return
	}
	if pd.since.IsZero() || now.Sub(pd.since) < restWarmup {
		pd.rest += restWeightDown * (demand - pd.rest)
		return
	}
	fc.observeRest(now, pool, pd, demand, even)
}

// observeRest records the demand of a pool at rest, with which its next turn may begin.
func (fc *Forecast) observeRest(now time.Time, pool job.PoolID, pd *poolDemand, demand, even float64) {
	high := demand > pd.rest+max(turnRise*pd.rest, turnRiseMin*even)
	pd.falling = pd.falling && high
	if high && pd.falling {
		if now.Sub(pd.fellAt) > fc.maxLength() {
			// The demand stays; it is the pool's demand at rest from now on.
			pd.rest, pd.falling = demand, false
		}
		return
	}
	if high {
		pd.level, pd.peak, pd.sum, pd.samples, pd.low = demand, demand, demand, 1, 0
		fc.add(Turn{Pool: pool, Began: now, Rest: pd.rest, Height: demand})
		fc.changes++
		return
	}
	weight := restWeightUp
	if demand < pd.rest {
		weight = restWeightDown
	}
	pd.rest += weight * (demand - pd.rest)
}

// Retain forgets pools that the configuration does not have any more. Their turns that have ended still count for the intervals.
func (fc *Forecast) Retain(pools []job.Pool) {
	kept := map[job.PoolID]bool{}
	for _, pool := range pools {
		kept[pool.ID] = true
	}
	maps.DeleteFunc(fc.pools, func(id job.PoolID, _ *poolDemand) bool { return !kept[id] })
	before := len(fc.turns)
	fc.turns = slices.DeleteFunc(fc.turns, func(tn Turn) bool { return tn.Ended.IsZero() && !kept[tn.Pool] })
	fc.changes += before - len(fc.turns)
}

// observeTurn records the demand of a pool in its turn.
func (fc *Forecast) observeTurn(now time.Time, tn *Turn, pd *poolDemand, demand float64) {
	if now.Sub(tn.Began) > fc.maxLength() {
		// The demand stays; it is the pool's demand at rest from now on.
		pd.rest = demand
		fc.remove(tn)
		fc.changes++
		return
	}
	pd.peak, pd.sum, pd.samples = max(pd.peak, demand), pd.sum+demand, pd.samples+1
	pd.level += levelWeight * (demand - pd.level)
	tn.Height = pd.sum / float64(pd.samples)
	if demand > tn.Rest+turnFall*(pd.peak-tn.Rest) {
		pd.low = 0
		return
	}
	if pd.low++; pd.low < turnSamples {
		return
	}
	pd.rest, pd.falling, pd.fellAt = tn.Rest, true, now
	fc.changes++
	if fc.isBurst(now, tn) {
		fc.remove(tn)
		return
	}
	tn.Ended = now
}

// isBurst reports whether a turn that ends was much shorter or much lower than those before it.
func (fc *Forecast) isBurst(now time.Time, tn *Turn) bool {
	var rises []float64
	for _, other := range fc.turns {
		if !other.Ended.IsZero() {
			rises = append(rises, other.Height-other.Rest)
		}
	}
	if len(rises) == 0 {
		return false
	}
	length, _ := fc.length()
	rise, _ := middleOf(rises)
	return now.Sub(tn.Began) < seconds(burstShare*length.Seconds()) || tn.Height-tn.Rest < burstShare*rise
}

// add appends a turn and forgets the oldest one.
func (fc *Forecast) add(tn Turn) {
	fc.turns = append(fc.turns, tn)
	if len(fc.turns) > MaxTurns {
		fc.turns = slices.Delete(fc.turns, 0, len(fc.turns)-MaxTurns)
	}
}

func (fc *Forecast) remove(tn *Turn) {
	gone := *tn
	fc.turns = slices.DeleteFunc(fc.turns, func(other Turn) bool { return other == gone })
}

// current returns the pool's present turn, nil if it is at rest.
func (fc *Forecast) current(pool job.PoolID) *Turn {
	for at := range fc.turns {
		if tn := &fc.turns[at]; tn.Pool == pool && tn.Ended.IsZero() {
			return tn
		}
	}
	return nil
}

// Predict says what a pool will need within the horizon.
func (fc *Forecast) Predict(now time.Time, pool job.PoolID, horizon time.Duration) Prediction {
	length, sure := fc.length()
	if tn := fc.current(pool); tn != nil {
		age := now.Sub(tn.Began)
		return Prediction{
			InTurn: true, Age: age, Ends: age+horizon > length, Settled: age > 2*horizon,
			Height: fc.height(pool, tn.Rest), Own: fc.hadTurn(pool), Level: fc.pools[pool].level, Sureness: sure, Soon: fc.soon(now, 2*horizon),
		}
	}
	begins, spread, timing := fc.nextBegin()
	if timing == 0 {
		return Prediction{}
	}
	likely := fc.followLikelihood(pool)
	// A turn that begins early by the usual spread finds half of its machines' way done. However much begins vary, machines do not wait for one for
	// longer than until it counts as missed.
	surelyFar, early, late := begins.Add(-2*horizon-spread/2), begins.Add(-horizon-min(spread/2, turnMissed)), begins.Add(turnMissed)
	pr := Prediction{Soon: fc.soon(now, 2*horizon)}
	if pd := fc.pools[pool]; pd != nil {
		pr.Level = pd.rest
	}
	switch {
	case now.After(late):
	case now.Before(early):
		pr.Far = now.Before(surelyFar) || likely == 0
	case likely == 0:
		pr.Far = true
	default:
		pr.Height, pr.Sureness = fc.height(pool, pr.Level), likely*timing
	}
	return pr
}

// soon reports whether the next turn of any pool is expected within a time, or is late by no more than such turns are and not
// missed.
func (fc *Forecast) soon(now time.Time, span time.Duration) bool {
	begins, spread, sureness := fc.nextBegin()
	return sureness >= surenessMin && now.After(begins.Add(-span)) && now.Before(begins.Add(min(spread, turnMissed)))
}

// maxLength returns how long demand may be above that at rest before it counts as a new level.
func (fc *Forecast) maxLength() time.Duration {
	if length, sure := fc.length(); sure > 0 {
		return turnTimeout * length
	}
	return turnLengthMax
}

// length returns how long a turn lasts, and how sure that is.
func (fc *Forecast) length() (time.Duration, float64) {
	var lengths []float64
	for _, tn := range fc.turns {
		if !tn.Ended.IsZero() {
			lengths = append(lengths, tn.Ended.Sub(tn.Began).Seconds())
		}
	}
	if len(lengths) == 0 {
		return 0, 0
	}
	middle, spread := middleOf(lengths)
	return seconds(middle), max(0, 1-2*spread/middle)
}

// height returns the demand in a turn of a pool: that of its own earlier turns, else its demand at rest times the growth seen at others.
func (fc *Forecast) height(pool job.PoolID, rest float64) float64 {
	var own, growth []float64
	for _, tn := range fc.turns {
		if tn.Ended.IsZero() {
			continue
		}
		if tn.Pool == pool {
			own = append(own, tn.Height)
		}
		growth = append(growth, tn.Height/max(1, tn.Rest))
	}
	if len(own) > 0 {
		middle, _ := middleOf(own)
		return middle
	}
	if len(growth) == 0 {
		return 0
	}
	middle, _ := middleOf(growth)
	return middle * max(1, rest)
}

// hadTurn reports whether a turn of the pool that has ended is remembered.
func (fc *Forecast) hadTurn(pool job.PoolID) bool {
	return slices.ContainsFunc(fc.turns, func(tn Turn) bool { return tn.Pool == pool && !tn.Ended.IsZero() })
}

// nextBegin returns when the next turn of any pool begins, how far that may be off, and how sure it is.
func (fc *Forecast) nextBegin() (begins time.Time, spread time.Duration, sureness float64) {
	if len(fc.turns) < 2 {
		return time.Time{}, 0, 0
	}
	var intervals []float64
	for at := 1; at < len(fc.turns); at++ {
		intervals = append(intervals, fc.turns[at].Began.Sub(fc.turns[at-1].Began).Seconds())
	}
	middle, off := middleOf(intervals)
	if middle <= 0 {
		return time.Time{}, 0, 0
	}
	if len(intervals) == 1 {
		off = intervalSpread * middle
	}
	return fc.turns[len(fc.turns)-1].Began.Add(seconds(middle)), seconds(off), max(0, 1-2*off/middle)
}

// followLikelihood returns how likely the next turn is the pool's: what followed the last pool's turn before, else any pool that has had no turn
// in this round, each as likely as the others.
func (fc *Forecast) followLikelihood(pool job.PoolID) float64 {
	last := fc.turns[len(fc.turns)-1].Pool
	followed, times := 0, 0
	for at := 1; at < len(fc.turns); at++ {
		next := fc.turns[at].Pool
		if fc.turns[at-1].Pool != last || fc.pools[next] == nil {
			// A pool that is gone says nothing of which one follows.
			continue
		}
		times++
		if next == pool {
			followed++
		}
	}
	if times > 0 {
		return float64(followed) / float64(times)
	}
	waiting := fc.waiting()
	if !slices.Contains(waiting, pool) {
		return 0
	}
	return 1 / float64(len(waiting))
}

// waiting returns the pools with demand that have had no turn in this round; once all have had one, the one whose turn is longest ago.
func (fc *Forecast) waiting() []job.PoolID {
	last := map[job.PoolID]int{}
	for at, tn := range fc.turns {
		last[tn.Pool] = at
	}
	var waiting, had []job.PoolID
	for id, pd := range fc.pools {
		if _, ok := last[id]; ok {
			had = append(had, id)
		} else if !pd.since.IsZero() {
			waiting = append(waiting, id)
		}
	}
	if len(waiting) == 0 && len(had) > 1 {
		waiting = []job.PoolID{slices.MinFunc(had, func(one, other job.PoolID) int { return cmp.Compare(last[one], last[other]) })}
	}
	return waiting
}

// middleOf returns the median and the median distance from it.
func middleOf(values []float64) (middle, spread float64) {
	middle = median(values)
	off := make([]float64, len(values))
	for at, value := range values {
		off[at] = math.Abs(value - middle)
	}
	return middle, median(off)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if half := len(sorted) / 2; len(sorted)%2 == 0 {
		return (sorted[half-1] + sorted[half]) / 2
	}
	return sorted[len(sorted)/2]
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
