package event

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// What is taken from lines of the log.
const (
	// lossWindow is the span of one row of the report.
	lossWindow = 2 * time.Second
	// sampleInterval is how often the state of a cell is looked at while a job waits.
	sampleInterval = 100 * time.Millisecond
	// arrivalTime is how long a machine that was ordered is on its way: 1.5 s to move, and then it is looked at.
	arrivalTime = 2 * time.Second
	// missingAfter is from when on a machine that was ordered and has not come counts as one that the owner does not know.
	missingAfter = 6 * time.Second
	// missingShare is the part of a pool's workers that must be missing for that, so that single machines that end do not count.
	missingShare = 0.2
	// slowAcceptance is from which time on a job waited for the store to be accepted.
	slowAcceptance = 300 * time.Millisecond
	// maxLogLine bounds a line in bytes.
	maxLogLine = 1 << 20
)

// Cause is what a job waited for.
type Cause string

// The causes.
const (
	CauseStore   Cause = "the store, to be accepted"
	CauseOwner   Cause = "an owner of its cell"
	CauseArriving  Cause = "machines on their way"
	CauseUnknownWorkers Cause = "workers that its owner does not know"
	CauseCapacity    Cause = "room"
	CauseQueue    Cause = "its turn, or its own tasks"
)

// LossAnalyzer gathers from logs what late, refused and unanswered jobs waited for.
type LossAnalyzer struct {
	jobs  map[string]*lossJob
	cells map[string]*lossCell
	// refusals and unsure are by window and reason.
	refusals map[lossKey]int
	// dropped counts the lines that were dropped out of the logs, skipped those that are none of ours.
	dropped, skipped int
	first        time.Time
}

type lossKey struct {
	window int
	text   string
}

// lossJob is the way of one job.
type lossJob struct {
	cell              string
	accepted, started time.Time
	waited            time.Duration
	ended, late       bool
}

// lossCell is what is known of a cell over time.
type lossCell struct {
	loads []lossLoad
	// moved are the times at which machines were ordered arrivals come (arrivals) and arrivals go.
	arrivals, departures []time.Time
	// decisions are the times of its owners' decisions, claims and takeovers those at which a next owner took it and knew it.
	decisions, claims, takeovers []time.Time
	// ownerless are the spans without an owner that works.
	ownerless [][2]time.Time
}

type lossLoad struct {
	at      time.Time
	demand  float64
	workers int
}

// lossLine is a line of the log with the fields that are used here.
type lossLine struct {
	Time    time.Time `json:"ts"`
	Event   ID        `json:"event"`
	What    string    `json:"what"`
	Cell    string    `json:"cell"`
	Pool    string    `json:"pool"`
	Job     string    `json:"job"`
	Why     string    `json:"why"`
	Waited  float64   `json:"waited"`
	Needed  float64   `json:"needed"`
	Workers int       `json:"workers"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Before  string    `json:"before"`
	Lines   int       `json:"lines"`
}

// NewLossAnalyzer returns one that has read nothing.
func NewLossAnalyzer() *LossAnalyzer {
	return &LossAnalyzer{jobs: map[string]*lossJob{}, cells: map[string]*lossCell{}, refusals: map[lossKey]int{}}
}

// Read takes the lines of one log, which may have a time and a process in front. Logs may be read in any order.
func (ls *LossAnalyzer) Read(rd io.Reader) error {
	unread, err := scanEvents(rd, func(raw []byte) bool {
		var ln lossLine
		if json.Unmarshal(raw, &ln) != nil || ln.Event == 0 {
			return false
		}
		ls.add(ln)
		return true
	})
	ls.skipped += unread
	return err
}

// scanEvents hands over the JSON of each line of a log, which may have a time and a process in front, and counts the lines that are no events by
// the taker's word.
func scanEvents(rd io.Reader, take func(raw []byte) bool) (unread int, err error) {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		raw := sc.Bytes()
		if at := bytes.IndexByte(raw, '{'); at < 0 || !take(raw[at:]) {
			unread++
		}
	}
	return unread, sc.Err()
}

// add notes what a line tells.
func (ls *LossAnalyzer) add(ln lossLine) {
	if !ln.Time.IsZero() && (ls.first.IsZero() || ln.Time.Before(ls.first)) {
		ls.first = ln.Time
	}
	switch ln.Event {
	case LinesDropped.ID:
		ls.dropped += ln.Lines
	case JobAccepted.ID:
		jb := ls.job(ln.Job)
		jb.cell, jb.accepted, jb.waited = ln.Cell, ln.Time, time.Duration(ln.Waited*float64(time.Second))
	case CellDecided.ID:
		ls.addDecision(ln)
	case JobRefused.ID:
		ls.refusals[lossKey{ls.unixMillis(ln.Time), "refused: " + ln.Why}]++
	case JobUnsure.ID:
		ls.refusals[lossKey{ls.unixMillis(ln.Time), "told that it is not known"}]++
	case PoolLoad.ID:
		ce := ls.cell(ln.Pool)
		ce.loads = append(ce.loads, lossLoad{ln.Time, ln.Needed, ln.Workers})
	case MachineMoved.ID:
		ls.cell(ln.To).arrivals = append(ls.cell(ln.To).arrivals, ln.Time)
		ls.cell(ln.From).departures = append(ls.cell(ln.From).departures, ln.Time)
	case CellClaimed.ID:
		if ln.Before != "" {
			ls.cell(ln.Cell).claims = append(ls.cell(ln.Cell).claims, ln.Time)
		}
	case CellLoaded.ID:
		ls.cell(ln.Cell).takeovers = append(ls.cell(ln.Cell).takeovers, ln.Time)
	}
}

// unixMillis is a time as milliseconds; windows are made of it once all logs are read.
func (ls *LossAnalyzer) unixMillis(at time.Time) int { return int(at.UnixMilli()) }

func (ls *LossAnalyzer) job(id string) *lossJob {
	jb, ok := ls.jobs[id]
	if !ok {
		jb = &lossJob{}
		ls.jobs[id] = jb
	}
	return jb
}

func (ls *LossAnalyzer) cell(name string) *lossCell {
	ce, ok := ls.cells[name]
	if !ok {
		ce = &lossCell{}
		ls.cells[name] = ce
	}
	return ce
}

// addDecision takes a decision of a cell's owner.
func (ls *LossAnalyzer) addDecision(ln lossLine) {
	ce := ls.cell(ln.Cell)
	ce.decisions = append(ce.decisions, ln.Time)
	if ln.Job == "" {
		return
	}
	jb := ls.job(ln.Job)
	switch ln.What {
	case "start":
		if jb.started.IsZero() || ln.Time.Before(jb.started) {
			jb.started = ln.Time
		}
	case "job completed":
		jb.ended, jb.late = true, strings.Contains(ln.Why, "after its objective")
	case "job failed", "job cancelled":
		jb.ended = true
	}
}

// lossRow is one row of the report.
type lossRow struct {
	accepted, inTime, late, unfinished int
	causes                       map[string]int
}

// Report writes, for each window and cell, how many jobs that were accepted in it ended in time, late or not at all, and what those waited
// for, the most frequent cause first.
func (ls *LossAnalyzer) Report(wr io.Writer) error {
	rows := map[lossKey]*lossRow{}
	for _, ce := range ls.cells {
		ce.prepare()
	}
	for _, jb := range ls.jobs {
		if jb.accepted.IsZero() {
			continue
		}
		key := lossKey{ls.windowIndex(int(jb.accepted.UnixMilli())), jb.cell}
		rw, ok := rows[key]
		if !ok {
			rw = &lossRow{causes: map[string]int{}}
			rows[key] = rw
		}
		rw.accepted++
		switch {
		case jb.ended && !jb.late:
			rw.inTime++
			continue
		case jb.late:
			rw.late++
		default:
			rw.unfinished++
		}
		rw.causes[string(ls.mainCause(jb))]++
	}
	for key, count := range ls.refusals {
		at := lossKey{ls.windowIndex(key.window), ""}
		if rows[at] == nil {
			rows[at] = &lossRow{causes: map[string]int{}}
		}
		rows[at].causes[key.text] += count
	}
	return ls.writeTable(wr, rows)
}

// windowIndex is the number of the windowIndex of a stamp.
func (ls *LossAnalyzer) windowIndex(stamp int) int {
	return (stamp - int(ls.first.UnixMilli())) / int(lossWindow.Milliseconds())
}

// writeTable lays the rows out.
func (ls *LossAnalyzer) writeTable(wr io.Writer, rows map[lossKey]*lossRow) error {
	keys := slices.SortedFunc(maps.Keys(rows), func(one, other lossKey) int {
		return cmp.Or(cmp.Compare(one.window, other.window), cmp.Compare(one.text, other.text))
	})
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SECOND\tCELL\tACCEPTED\tIN TIME\tLATE\tNOT ENDED\tWAITED FOR")
	for _, key := range keys {
		rw := rows[key]
		if len(rw.causes) == 0 {
			continue
		}
		second := float64(key.window) * lossWindow.Seconds()
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", strconv.FormatFloat(second, 'f', -1, 64), cmp.Or(key.text, "-"), rw.accepted, rw.inTime, rw.late, rw.unfinished, listCauses(rw.causes))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if ls.dropped > 0 {
		fmt.Fprintf(wr, "%d lines were left out of the logs when they were written, so jobs and starts are missing here.\n", ls.dropped)
	}
	if ls.skipped > 0 {
		fmt.Fprintf(wr, "%d lines are no events.\n", ls.skipped)
	}
	return nil
}

// listCauses writes causes with their counts, the most frequent first.
func listCauses(causes map[string]int) string {
	names := slices.SortedFunc(maps.Keys(causes), func(one, other string) int {
		return cmp.Or(-cmp.Compare(causes[one], causes[other]), cmp.Compare(one, other))
	})
	for at, name := range names {
		names[at] = fmt.Sprintf("%s (%d)", name, causes[name])
	}
	return strings.Join(names, ", ")
}

// mainCause is what a job waited for longest until its first start, or until the logs say no more of its cell.
func (ls *LossAnalyzer) mainCause(jb *lossJob) Cause {
	if jb.waited >= slowAcceptance {
		return CauseStore
	}
	ce := ls.cell(jb.cell)
	until := jb.started
	if until.IsZero() && len(ce.loads) > 0 {
		until = ce.loads[len(ce.loads)-1].at
	}
	counts := map[Cause]int{}
	for at := jb.accepted; at.Before(until); at = at.Add(sampleInterval) {
		counts[ce.causeAt(at)]++
	}
	best := CauseQueue
	for _, cs := range []Cause{CauseOwner, CauseUnknownWorkers, CauseArriving, CauseCapacity} {
		if counts[cs] > counts[best] {
			best = cs
		}
	}
	return best
}

// prepare puts what is known in the order of time, and begins spans without an owner with the last decision before.
func (ce *lossCell) prepare() {
	byTime := func(one, other time.Time) int { return one.Compare(other) }
	for _, times := range [][]time.Time{ce.arrivals, ce.departures, ce.decisions, ce.claims, ce.takeovers} {
		slices.SortFunc(times, byTime)
	}
	slices.SortFunc(ce.loads, func(one, other lossLoad) int { return one.at.Compare(other.at) })
	ce.ownerless = nil
	for _, from := range ce.claims {
		next := countBefore(ce.takeovers, from)
		if next == len(ce.takeovers) {
			continue
		}
		until := ce.takeovers[next]
		if last := countBefore(ce.decisions, from); last > 0 {
			from = ce.decisions[last-1]
		}
		ce.ownerless = append(ce.ownerless, [2]time.Time{from, until})
	}
}

// causeAt is what a job of the cell waits for at a time.
func (ce *lossCell) causeAt(at time.Time) Cause {
	for _, span := range ce.ownerless {
		if !at.Before(span[0]) && at.Before(span[1]) {
			return CauseOwner
		}
	}
	now, ok := ce.loadAt(at)
	if !ok || now.demand <= float64(now.workers) {
		return CauseQueue
	}
	if before, ok := ce.loadAt(at.Add(-missingAfter)); ok {
		came := countBetween(ce.arrivals, at.Add(-missingAfter), at.Add(-arrivalTime)) - countBetween(ce.departures, at.Add(-missingAfter), at.Add(-arrivalTime))
		if missing := before.workers + came - now.workers; float64(missing) > missingShare*float64(now.workers) {
			return CauseUnknownWorkers
		}
	}
	if countBetween(ce.arrivals, at.Add(-arrivalTime), at) > 0 {
		return CauseArriving
	}
	return CauseCapacity
}

// loadAt is the newest one before a time.
func (ce *lossCell) loadAt(at time.Time) (lossLoad, bool) {
	count := sort.Search(len(ce.loads), func(index int) bool { return ce.loads[index].at.After(at) })
	if count == 0 {
		return lossLoad{}, false
	}
	return ce.loads[count-1], true
}

// countBetween counts the times from one to another.
func countBetween(times []time.Time, from, to time.Time) int {
	return countBefore(times, to) - countBefore(times, from)
}

func countBefore(times []time.Time, at time.Time) int {
	return sort.Search(len(times), func(index int) bool { return !times[index].Before(at) })
}
