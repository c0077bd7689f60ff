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

// Parameters of the analysis.
const (
	// lossWindow is the time span of one report row.
	lossWindow = 2 * time.Second
	// sampleInterval is the interval at which the state of a cell is sampled while a job waits.
	sampleInterval = 100 * time.Millisecond
	// arrivalTime is the time until an ordered machine can be used: 1.5 s for the move, then the first poll.
	arrivalTime = 2 * time.Second
	// missingAfter is the age of an order after which a machine that has not arrived counts as unknown to the owner.
	missingAfter = 6 * time.Second
	// missingShare is the share of a pool's workers that must be missing to report CauseUnknownWorkers. Single machines that stop do not count.
	missingShare = 0.2
	// slowAcceptance is the acceptance time from which on a delay is attributed to the store.
	slowAcceptance = 300 * time.Millisecond
	// maxLogLine is the maximum length of a log line in bytes.
	maxLogLine = 1 << 20
)

// Cause is the reason why a job waited.
type Cause string

// Causes. The values appear in the report.
const (
	CauseStore          Cause = "the store, to be accepted"
	CauseOwner          Cause = "an owner of its cell"
	CauseArriving       Cause = "machines on their way"
	CauseUnknownWorkers Cause = "workers that its owner does not know"
	CauseCapacity       Cause = "room"
	CauseQueue          Cause = "its turn, or its own tasks"
)

// LossAnalyzer determines from logs why jobs were late, refused or not answered.
type LossAnalyzer struct {
	jobs  map[string]*lossJob
	cells map[string]*lossCell
	// refusals counts the jobs that were refused or whose acceptance is unknown, by Unix time in milliseconds and reason.
	refusals map[lossKey]int
	// dropped counts the lines that the log writers dropped, skipped the lines that are not events.
	dropped, skipped int
	first            time.Time
}

// lossKey identifies a count by time and text. In rows of the report, window is the index of the window and text the cell. In refusals, window
// is the Unix time in milliseconds and text the reason.
type lossKey struct {
	window int
	text   string
}

// lossJob holds the recorded times and the outcome of a job.
type lossJob struct {
	cell              string
	accepted, started time.Time
	waited            time.Duration
	ended, late       bool
}

// lossCell holds the history of a cell. Loads and moves of a pool are recorded under the pool's name.
type lossCell struct {
	loads []lossLoad
	// arrivals and departures are the times at which machines were ordered to move to and from the cell.
	arrivals, departures []time.Time
	// decisions are the times of the owners' decisions. claims and takeovers are the times at which a new owner claimed the cell and
	// finished loading it.
	decisions, claims, takeovers []time.Time
	// ownerless are the periods without a working owner.
	ownerless [][2]time.Time
}

// lossLoad is the demand of a pool, in machines, and its number of workers at a time.
type lossLoad struct {
	at      time.Time
	demand  float64
	workers int
}

// lossLine holds the fields of a log line that the analysis uses.
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

// NewLossAnalyzer returns an analyzer without data.
func NewLossAnalyzer() *LossAnalyzer {
	return &LossAnalyzer{jobs: map[string]*lossJob{}, cells: map[string]*lossCell{}, refusals: map[lossKey]int{}}
}

// Read adds the lines of one log. Lines may be prefixed with a time and a process name. Logs may be read in any order.
func (la *LossAnalyzer) Read(rd io.Reader) error {
	skipped, err := scanEvents(rd, func(raw []byte) bool {
		var ln lossLine
		if json.Unmarshal(raw, &ln) != nil || ln.Event == 0 {
			return false
		}
		la.add(ln)
		return true
	})
	la.skipped += skipped
	return err
}

// scanEvents calls handle with the JSON of each line of a log, without its prefix. It returns the number of lines without JSON or for which
// handle returns false.
func scanEvents(rd io.Reader, handle func(raw []byte) bool) (skipped int, err error) {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		raw := sc.Bytes()
		if at := bytes.IndexByte(raw, '{'); at < 0 || !handle(raw[at:]) {
			skipped++
		}
	}
	return skipped, sc.Err()
}

// add records an event.
func (la *LossAnalyzer) add(ln lossLine) {
	if !ln.Time.IsZero() && (la.first.IsZero() || ln.Time.Before(la.first)) {
		la.first = ln.Time
	}
	switch ln.Event {
	case LinesDropped.ID:
		la.dropped += ln.Lines
	case JobAccepted.ID:
		jb := la.job(ln.Job)
		jb.cell, jb.accepted, jb.waited = ln.Cell, ln.Time, time.Duration(ln.Waited*float64(time.Second))
	case CellDecided.ID:
		la.addDecision(ln)
	case JobRefused.ID:
		la.refusals[lossKey{la.unixMillis(ln.Time), "refused: " + ln.Why}]++
	case JobUnsure.ID:
		la.refusals[lossKey{la.unixMillis(ln.Time), "told that it is not known"}]++
	case PoolLoad.ID:
		ce := la.cell(ln.Pool)
		ce.loads = append(ce.loads, lossLoad{ln.Time, ln.Needed, ln.Workers})
	case MachineMoved.ID:
		la.cell(ln.To).arrivals = append(la.cell(ln.To).arrivals, ln.Time)
		la.cell(ln.From).departures = append(la.cell(ln.From).departures, ln.Time)
	case CellClaimed.ID:
		if ln.Before != "" {
			la.cell(ln.Cell).claims = append(la.cell(ln.Cell).claims, ln.Time)
		}
	case CellLoaded.ID:
		la.cell(ln.Cell).takeovers = append(la.cell(ln.Cell).takeovers, ln.Time)
	}
}

// unixMillis returns the Unix time in milliseconds. Windows are computed from it once all logs are read, since they start at the first event.
func (la *LossAnalyzer) unixMillis(at time.Time) int { return int(at.UnixMilli()) }

func (la *LossAnalyzer) job(id string) *lossJob {
	jb, ok := la.jobs[id]
	if !ok {
		jb = &lossJob{}
		la.jobs[id] = jb
	}
	return jb
}

func (la *LossAnalyzer) cell(name string) *lossCell {
	ce, ok := la.cells[name]
	if !ok {
		ce = &lossCell{}
		la.cells[name] = ce
	}
	return ce
}

// addDecision records a decision of a cell's owner.
func (la *LossAnalyzer) addDecision(ln lossLine) {
	ce := la.cell(ln.Cell)
	ce.decisions = append(ce.decisions, ln.Time)
	if ln.Job == "" {
		return
	}
	jb := la.job(ln.Job)
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

// lossRow is a report row: the jobs of one cell that were accepted in one window.
type lossRow struct {
	accepted, inTime, late, unfinished int
	causes                             map[string]int
}

// Report writes a table with a row for each window and cell. A row counts the accepted jobs that ended in time, late or not at all, and lists
// the causes of the delays, most frequent first.
func (la *LossAnalyzer) Report(wr io.Writer) error {
	rows := map[lossKey]*lossRow{}
	for _, ce := range la.cells {
		ce.prepare()
	}
	for _, jb := range la.jobs {
		if jb.accepted.IsZero() {
			continue
		}
		key := lossKey{la.windowIndex(int(jb.accepted.UnixMilli())), jb.cell}
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
		rw.causes[string(la.mainCause(jb))]++
	}
	for key, count := range la.refusals {
		at := lossKey{la.windowIndex(key.window), ""}
		if rows[at] == nil {
			rows[at] = &lossRow{causes: map[string]int{}}
		}
		rows[at].causes[key.text] += count
	}
	return la.writeTable(wr, rows)
}

// windowIndex returns the index of the window that contains a Unix time in milliseconds.
func (la *LossAnalyzer) windowIndex(stamp int) int {
	return (stamp - int(la.first.UnixMilli())) / int(lossWindow.Milliseconds())
}

// writeTable writes the rows, ordered by window and cell, and the counts of missing lines. Rows without a cause are omitted.
func (la *LossAnalyzer) writeTable(wr io.Writer, rows map[lossKey]*lossRow) error {
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
	if la.dropped > 0 {
		fmt.Fprintf(wr, "%d lines were left out of the logs when they were written, so jobs and starts are missing here.\n", la.dropped)
	}
	if la.skipped > 0 {
		fmt.Fprintf(wr, "%d lines are no events.\n", la.skipped)
	}
	return nil
}

// listCauses formats the causes with their counts, most frequent first.
func listCauses(causes map[string]int) string {
	names := slices.SortedFunc(maps.Keys(causes), func(one, other string) int {
		return cmp.Or(-cmp.Compare(causes[one], causes[other]), cmp.Compare(one, other))
	})
	for at, name := range names {
		names[at] = fmt.Sprintf("%s (%d)", name, causes[name])
	}
	return strings.Join(names, ", ")
}

// mainCause returns the cause for which a job waited longest until its first start. A job that did not start is followed until the last
// recorded load of its cell.
func (la *LossAnalyzer) mainCause(jb *lossJob) Cause {
	if jb.waited >= slowAcceptance {
		return CauseStore
	}
	ce := la.cell(jb.cell)
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

// prepare sorts the history by time and computes the ownerless periods. A period starts at the last decision before a claim and ends when
// the new owner has loaded the cell.
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

// causeAt returns the cause for which a job of the cell waits at a time.
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
		arrived := countBetween(ce.arrivals, at.Add(-missingAfter), at.Add(-arrivalTime)) - countBetween(ce.departures, at.Add(-missingAfter), at.Add(-arrivalTime))
		if missing := before.workers + arrived - now.workers; float64(missing) > missingShare*float64(now.workers) {
			return CauseUnknownWorkers
		}
	}
	if countBetween(ce.arrivals, at.Add(-arrivalTime), at) > 0 {
		return CauseArriving
	}
	return CauseCapacity
}

// loadAt returns the latest load recorded at or before a time.
func (ce *lossCell) loadAt(at time.Time) (lossLoad, bool) {
	count := sort.Search(len(ce.loads), func(index int) bool { return ce.loads[index].at.After(at) })
	if count == 0 {
		return lossLoad{}, false
	}
	return ce.loads[count-1], true
}

// countBetween returns the number of sorted times in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	return countBefore(times, to) - countBefore(times, from)
}

// countBefore returns the number of sorted times before at.
func countBefore(times []time.Time, at time.Time) int {
	return sort.Search(len(times), func(index int) bool { return !times[index].Before(at) })
}
