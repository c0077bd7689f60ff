package event

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// timelineTimeFormat is the time format of the timeline.
const timelineTimeFormat = "15:04:05.000"

// timelineHiddenFields are the fields that have their own column or the same value in every line of a timeline.
var timelineHiddenFields = []string{"ts", "level", "msg", "process", "event", "what", "job", "jobs", "cell", "epoch", "token"}

// JobTimeline collects from logs the events of one job and of the workers that ran its tasks.
type JobTimeline struct {
	job   string
	lines []timelineLine
	// workers holds the lines that name a worker but no job, by worker.
	workers map[string][]timelineLine
	// dropped counts the lines that the log writers dropped, skipped the lines that are not events.
	dropped, skipped int
}

// timelineLine holds the fields of a log line that the timeline uses.
type timelineLine struct {
	Time    time.Time `json:"ts"`
	Process string    `json:"process"`
	Message string    `json:"msg"`
	Event   ID        `json:"event"`
	What    string    `json:"what"`
	Job     string    `json:"job"`
	Worker  string    `json:"worker"`
	// Jobs are the jobs that a line about several jobs names.
	Jobs  []string `json:"jobs"`
	Lines int      `json:"lines"`
	raw   []byte
}

// NewJobTimeline returns an empty timeline of a job.
func NewJobTimeline(job string) *JobTimeline {
	return &JobTimeline{job: job, workers: map[string][]timelineLine{}}
}

// Read adds the lines of one log. Lines may be prefixed with a time and a process name. Logs may be read in any order.
func (jt *JobTimeline) Read(rd io.Reader) error {
	skipped, err := scanEvents(rd, func(raw []byte) bool {
		ln := timelineLine{raw: bytes.Clone(raw)}
		if json.Unmarshal(raw, &ln) != nil || ln.Event == 0 {
			return false
		}
		jt.add(ln)
		return true
	})
	jt.skipped += skipped
	return err
}

func (jt *JobTimeline) add(ln timelineLine) {
	switch {
	case ln.Event == LinesDropped.ID:
		jt.dropped += ln.Lines
	case ln.Job == jt.job, slices.Contains(ln.Jobs, jt.job):
		jt.lines = append(jt.lines, ln)
	case ln.Job == "" && ln.Worker != "":
		jt.workers[ln.Worker] = append(jt.workers[ln.Worker], ln)
	}
}

// sortedLines returns the lines of the job and of the workers that ran its tasks, sorted by time.
func (jt *JobTimeline) sortedLines() []timelineLine {
	list := slices.Clone(jt.lines)
	added := map[string]bool{}
	for _, ln := range jt.lines {
		if ln.Worker != "" && !added[ln.Worker] {
			added[ln.Worker] = true
			list = append(list, jt.workers[ln.Worker]...)
		}
	}
	slices.SortStableFunc(list, func(one, other timelineLine) int {
		return cmp.Or(one.Time.Compare(other.Time), cmp.Compare(one.Process, other.Process), bytes.Compare(one.raw, other.raw))
	})
	return list
}

// Report writes the timeline as a table with one row for each log line.
func (jt *JobTimeline) Report(wr io.Writer) error {
	list := jt.sortedLines()
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, ln := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", ln.Time.UTC().Format(timelineTimeFormat), ln.Process, cmp.Or(ln.What, ln.Message), ln.formatFields())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(wr, "%d lines of job %s and its workers; %d lines were left out of the logs, %d are no events\n", len(list), jt.job, jt.dropped, jt.skipped)
	return err
}

// JSON writes the log lines unchanged as a JSON list.
func (jt *JobTimeline) JSON(wr io.Writer) error {
	raws := []json.RawMessage{}
	for _, ln := range jt.sortedLines() {
		raws = append(raws, ln.raw)
	}
	return json.NewEncoder(wr).Encode(raws)
}

// formatFields formats the remaining fields as name=value, sorted by name.
func (ln timelineLine) formatFields() string {
	var all map[string]any
	// The line was decoded before, so it cannot fail.
	_ = json.Unmarshal(ln.raw, &all)
	for _, name := range timelineHiddenFields {
		delete(all, name)
	}
	parts := make([]string, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, all[name]))
	}
	return strings.Join(parts, " ")
}
