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
	// lossStep is how often the state of a cell is looked at while a job waits.
	lossStep = 100 * time.Millisecond
	// comingFor is how long a machine that was ordered is on its way: 1.5 s to move, and then it is looked at.
	comingFor = 2 * time.Second
	// knownAfter is from when on a machine that was ordered and has not come counts as one that the owner does not know.
	knownAfter = 6 * time.Second
	// unknownShare is the part of a pool's workers that must be missing for that, so that single machines that end do not count.
	unknownShare = 0.2
	// slowAccept is from which time on a job waited for the store to be accepted.
	slowAccept = 300 * time.Millisecond
	// maxLogLine bounds a line in bytes.
	maxLogLine = 1 << 20
)

// Cause is what a job waited for.
type Cause string

// The causes.
const (
	CauseStore   Cause = "the store, to be accepted"
	CauseOwner   Cause = "an owner of its cell"
	CauseComing  Cause = "machines on their way"
	CauseUnknown Cause = "workers that its owner does not know"
	CauseRoom    Cause = "room"
	CauseTurn    Cause = "its turn, or its own tasks"
)

// Loss gathers from logs what late, refused and unanswered jobs waited for.
type Loss struct {
	jobs  map[string]*lossJob
	cells map[string]*lossCell
	// refused and unsure are by window and reason.
	refused map[lossKey]int
	// left counts the lines that were left out of the logs, unread those that are none of ours.
	left, unread int
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
	// moved are the times at which machines were ordered to come (to) and to go.
	to, from []time.Time
	// decided are the times of its owners' decisions, claimed and loaded those at which a next owner took it and knew it.
	decided, claimed, loaded []time.Time
	// orphaned are the spans without an owner that works.
	orphaned [][2]time.Time
}

type lossLoad struct {
	at      time.Time
	needed  float64
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

// NewLoss returns one that has read nothing.
func NewLoss() *Loss {
	return &Loss{jobs: map[string]*lossJob{}, cells: map[string]*lossCell{}, refused: map[lossKey]int{}}
}

// Read takes the lines of one log, which may have a time and a process in front. Logs may be read in any order.
func (ls *Loss) Read(rd io.Reader) error {
	unread, err := eachEvent(rd, func(raw []byte) bool {
		var ln lossLine
		if json.Unmarshal(raw, &ln) != nil || ln.Event == 0 {
			return false
		}
		ls.take(ln)
		return true
	})
	ls.unread += unread
	return err
}

// eachEvent hands over the JSON of each line of a log, which may have a time and a process in front, and counts the lines that are no events by
// the taker's word.
func eachEvent(rd io.Reader, take func(raw []byte) bool) (unread int, err error) {
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

// take notes what a line tells.
func (ls *Loss) take(ln lossLine) {
	if !ln.Time.IsZero() && (ls.first.IsZero() || ln.Time.Before(ls.first)) {
		ls.first = ln.Time
	}
	switch ln.Event {
	case LinesDropped.ID:
		ls.left += ln.Lines
	case JobAccepted.ID:
		jb := ls.job(ln.Job)
		jb.cell, jb.accepted, jb.waited = ln.Cell, ln.Time, time.Duration(ln.Waited*float64(time.Second))
	case CellDecided.ID:
		ls.decided(ln)
	case JobRefused.ID:
		ls.refused[lossKey{ls.stamp(ln.Time), "refused: " + ln.Why}]++
	case JobUnsure.ID:
		ls.refused[lossKey{ls.stamp(ln.Time), "told that it is not known"}]++
	case PoolLoad.ID:
		ce := ls.cell(ln.Pool)
		ce.loads = append(ce.loads, lossLoad{ln.Time, ln.Needed, ln.Workers})
	case MachineMoved.ID:
		ls.cell(ln.To).to = append(ls.cell(ln.To).to, ln.Time)
		ls.cell(ln.From).from = append(ls.cell(ln.From).from, ln.Time)
	case CellClaimed.ID:
		if ln.Before != "" {
			ls.cell(ln.Cell).claimed = append(ls.cell(ln.Cell).claimed, ln.Time)
		}
	case CellLoaded.ID:
		ls.cell(ln.Cell).loaded = append(ls.cell(ln.Cell).loaded, ln.Time)
	}
}

// stamp is a time as milliseconds; windows are made of it once all logs are read.
func (ls *Loss) stamp(at time.Time) int { return int(at.UnixMilli()) }

func (ls *Loss) job(id string) *lossJob {
	jb, ok := ls.jobs[id]
	if !ok {
		jb = &lossJob{}
		ls.jobs[id] = jb
	}
	return jb
}

func (ls *Loss) cell(name string) *lossCell {
	ce, ok := ls.cells[name]
	if !ok {
		ce = &lossCell{}
		ls.cells[name] = ce
	}
	return ce
}

// decided takes a decision of a cell's owner.
func (ls *Loss) decided(ln lossLine) {
	ce := ls.cell(ln.Cell)
	ce.decided = append(ce.decided, ln.Time)
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
	accepted, inTime, late, open int
	causes                       map[string]int
}

// Report writes, for each window and cell, how many jobs that were accepted in it ended in time, late or not at all, and what those waited
// for, the most frequent cause first.
func (ls *Loss) Report(wr io.Writer) error {
	rows := map[lossKey]*lossRow{}
	for _, ce := range ls.cells {
		ce.sort()
	}
	for _, jb := range ls.jobs {
		if jb.accepted.IsZero() {
			continue
		}
		key := lossKey{ls.window(int(jb.accepted.UnixMilli())), jb.cell}
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
			rw.open++
		}
		rw.causes[string(ls.cause(jb))]++
	}
	for key, count := range ls.refused {
		at := lossKey{ls.window(key.window), ""}
		if rows[at] == nil {
			rows[at] = &lossRow{causes: map[string]int{}}
		}
		rows[at].causes[key.text] += count
	}
	return ls.write(wr, rows)
}

// window is the number of the window of a stamp.
func (ls *Loss) window(stamp int) int {
	return (stamp - int(ls.first.UnixMilli())) / int(lossWindow.Milliseconds())
}

// write lays the rows out.
func (ls *Loss) write(wr io.Writer, rows map[lossKey]*lossRow) error {
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
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", strconv.FormatFloat(second, 'f', -1, 64), cmp.Or(key.text, "-"), rw.accepted, rw.inTime, rw.late, rw.open, listCauses(rw.causes))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if ls.left > 0 {
		fmt.Fprintf(wr, "%d lines were left out of the logs when they were written, so jobs and starts are missing here.\n", ls.left)
	}
	if ls.unread > 0 {
		fmt.Fprintf(wr, "%d lines are no events.\n", ls.unread)
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

// cause is what a job waited for longest until its first start, or until the logs say no more of its cell.
func (ls *Loss) cause(jb *lossJob) Cause {
	if jb.waited >= slowAccept {
		return CauseStore
	}
	ce := ls.cell(jb.cell)
	until := jb.started
	if until.IsZero() && len(ce.loads) > 0 {
		until = ce.loads[len(ce.loads)-1].at
	}
	counts := map[Cause]int{}
	for at := jb.accepted; at.Before(until); at = at.Add(lossStep) {
		counts[ce.lacks(at)]++
	}
	best := CauseTurn
	for _, cs := range []Cause{CauseOwner, CauseUnknown, CauseComing, CauseRoom} {
		if counts[cs] > counts[best] {
			best = cs
		}
	}
	return best
}

// sort puts what is known in the order of time, and begins spans without an owner with the last decision before.
func (ce *lossCell) sort() {
	byTime := func(one, other time.Time) int { return one.Compare(other) }
	for _, times := range [][]time.Time{ce.to, ce.from, ce.decided, ce.claimed, ce.loaded} {
		slices.SortFunc(times, byTime)
	}
	slices.SortFunc(ce.loads, func(one, other lossLoad) int { return one.at.Compare(other.at) })
	ce.orphaned = nil
	for _, from := range ce.claimed {
		next := countBefore(ce.loaded, from)
		if next == len(ce.loaded) {
			continue
		}
		until := ce.loaded[next]
		if last := countBefore(ce.decided, from); last > 0 {
			from = ce.decided[last-1]
		}
		ce.orphaned = append(ce.orphaned, [2]time.Time{from, until})
	}
}

// lacks is what a job of the cell waits for at a time.
func (ce *lossCell) lacks(at time.Time) Cause {
	for _, span := range ce.orphaned {
		if !at.Before(span[0]) && at.Before(span[1]) {
			return CauseOwner
		}
	}
	now, ok := ce.load(at)
	if !ok || now.needed <= float64(now.workers) {
		return CauseTurn
	}
	if before, ok := ce.load(at.Add(-knownAfter)); ok {
		came := between(ce.to, at.Add(-knownAfter), at.Add(-comingFor)) - between(ce.from, at.Add(-knownAfter), at.Add(-comingFor))
		if missing := before.workers + came - now.workers; float64(missing) > unknownShare*float64(now.workers) {
			return CauseUnknown
		}
	}
	if between(ce.to, at.Add(-comingFor), at) > 0 {
		return CauseComing
	}
	return CauseRoom
}

// load is the newest one before a time.
func (ce *lossCell) load(at time.Time) (lossLoad, bool) {
	count := sort.Search(len(ce.loads), func(index int) bool { return ce.loads[index].at.After(at) })
	if count == 0 {
		return lossLoad{}, false
	}
	return ce.loads[count-1], true
}

// between counts the times from one to another.
func between(times []time.Time, from, to time.Time) int {
	return countBefore(times, to) - countBefore(times, from)
}

func countBefore(times []time.Time, at time.Time) int {
	return sort.Search(len(times), func(index int) bool { return !times[index].Before(at) })
}
