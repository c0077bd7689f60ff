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

// storyTime is how times are written in a story.
const storyTime = "15:04:05.000"

// storyHidden are the fields that have a column of their own, or say the same in each line of a story.
var storyHidden = []string{"ts", "level", "msg", "process", "event", "what", "job", "cell", "epoch", "token"}

// Story gathers from logs what was decided of one job, and what became of the workers on which its tasks were.
type Story struct {
	job   string
	lines []storyLine
	// workers holds the lines that tell of a worker and of no job.
	workers map[string][]storyLine
	// left counts the lines that were left out of the logs, unread those that are none of ours.
	left, unread int
}

// storyLine is a line of the log.
type storyLine struct {
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

// NewStory returns the story of a job that has read nothing.
func NewStory(job string) *Story {
	return &Story{job: job, workers: map[string][]storyLine{}}
}

// Read takes the lines of one log, which may have a time and a process in front. Logs may be read in any order.
func (st *Story) Read(rd io.Reader) error {
	unread, err := eachEvent(rd, func(raw []byte) bool {
		ln := storyLine{raw: bytes.Clone(raw)}
		if json.Unmarshal(raw, &ln) != nil || ln.Event == 0 {
			return false
		}
		st.take(ln)
		return true
	})
	st.unread += unread
	return err
}

func (st *Story) take(ln storyLine) {
	switch {
	case ln.Event == LinesDropped.ID:
		st.left += ln.Lines
	case ln.Job == st.job:
		st.lines = append(st.lines, ln)
	case ln.Job == "" && ln.Worker != "":
		st.workers[ln.Worker] = append(st.workers[ln.Worker], ln)
	}
}

// ordered lists the lines of the job, with those of workers on which its tasks were, by time.
func (st *Story) ordered() []storyLine {
	list := slices.Clone(st.lines)
	met := map[string]bool{}
	for _, ln := range st.lines {
		if ln.Worker != "" && !met[ln.Worker] {
			met[ln.Worker] = true
			list = append(list, st.workers[ln.Worker]...)
		}
	}
	slices.SortStableFunc(list, func(one, other storyLine) int {
		return cmp.Or(one.Time.Compare(other.Time), cmp.Compare(one.Process, other.Process), bytes.Compare(one.raw, other.raw))
	})
	return list
}

// Report writes the story as a table, a line for each line of the logs.
func (st *Story) Report(wr io.Writer) error {
	list := st.ordered()
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, ln := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", ln.Time.UTC().Format(storyTime), ln.Process, cmp.Or(ln.What, ln.Message), ln.fields())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(wr, "%d lines of job %s and its workers; %d lines were left out of the logs, %d are no events\n", len(list), st.job, st.left, st.unread)
	return err
}

// JSON writes the story's lines as they are, as a list.
func (st *Story) JSON(wr io.Writer) error {
	raws := []json.RawMessage{}
	for _, ln := range st.ordered() {
		raws = append(raws, ln.raw)
	}
	return json.NewEncoder(wr).Encode(raws)
}

// fields lists what else a line says.
func (ln storyLine) fields() string {
	var all map[string]any
	// It was read before.
	_ = json.Unmarshal(ln.raw, &all)
	for _, name := range storyHidden {
		delete(all, name)
	}
	parts := make([]string, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, all[name]))
	}
	return strings.Join(parts, " ")
}
