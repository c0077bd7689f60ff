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

// timelineTimeFormat is how times are written in a story.
const timelineTimeFormat = "15:04:05.000"

// timelineHiddenFields are the fields that have a column of their own, or say the same in each line of a story.
var timelineHiddenFields = []string{"ts", "level", "msg", "process", "event", "what", "job", "cell", "epoch", "token"}

// JobTimeline gathers from logs what was decided of one job, and what became of the workers on which its tasks were.
type JobTimeline struct {
	job   string
	lines []timelineLine
	// workers holds the lines that tell of a worker and of no job.
	workers map[string][]timelineLine
	// dropped counts the lines that were dropped out of the logs, skipped those that are none of ours.
	dropped, skipped int
}

// timelineLine is a line of the log.
type timelineLine struct {
	Time    time.Time `json:"ts"`
	Process string    `json:"process"`
	Message string    `json:"msg"`
	Event   ID        `json:"event"`
	What    string    `json:"what"`
	Job     string    `json:"job"`
	Worker  string    `json:"worker"`
	Lines   int       `json:"lines"`
	raw     []byte
}

// NewJobTimeline returns the story of a job that has read nothing.
func NewJobTimeline(job string) *JobTimeline {
	return &JobTimeline{job: job, workers: map[string][]timelineLine{}}
}

// Read takes the lines of one log, which may have a time and a process in front. Logs may be read in any order.
func (st *JobTimeline) Read(rd io.Reader) error {
	unread, err := scanEvents(rd, func(raw []byte) bool {
		ln := timelineLine{raw: bytes.Clone(raw)}
		if json.Unmarshal(raw, &ln) != nil || ln.Event == 0 {
			return false
		}
		st.add(ln)
		return true
	})
	st.skipped += unread
	return err
}

func (st *JobTimeline) add(ln timelineLine) {
	switch {
	case ln.Event == LinesDropped.ID:
		st.dropped += ln.Lines
	case ln.Job == st.job:
		st.lines = append(st.lines, ln)
	case ln.Job == "" && ln.Worker != "":
		st.workers[ln.Worker] = append(st.workers[ln.Worker], ln)
	}
}

// sortedLines lists the lines of the job, with those of workers on which its tasks were, by time.
func (st *JobTimeline) sortedLines() []timelineLine {
	list := slices.Clone(st.lines)
	met := map[string]bool{}
	for _, ln := range st.lines {
		if ln.Worker != "" && !met[ln.Worker] {
			met[ln.Worker] = true
			list = append(list, st.workers[ln.Worker]...)
		}
	}
	slices.SortStableFunc(list, func(one, other timelineLine) int {
		return cmp.Or(one.Time.Compare(other.Time), cmp.Compare(one.Process, other.Process), bytes.Compare(one.raw, other.raw))
	})
	return list
}

// Report writes the story as a table, a line for each line of the logs.
func (st *JobTimeline) Report(wr io.Writer) error {
	list := st.sortedLines()
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, ln := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", ln.Time.UTC().Format(timelineTimeFormat), ln.Process, cmp.Or(ln.What, ln.Message), ln.formatFields())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(wr, "%d lines of job %s and its workers; %d lines were left out of the logs, %d are no events\n", len(list), st.job, st.dropped, st.skipped)
	return err
}

// JSON writes the story's lines as they are, as a list.
func (st *JobTimeline) JSON(wr io.Writer) error {
	raws := []json.RawMessage{}
	for _, ln := range st.sortedLines() {
		raws = append(raws, ln.raw)
	}
	return json.NewEncoder(wr).Encode(raws)
}

// formatFields lists what else a line says.
func (ln timelineLine) formatFields() string {
	var all map[string]any
	// It was read before.
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
