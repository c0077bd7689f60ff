package event_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/aspenseam/aspenseam/event"
)

const (
	timelineLog    = "testdata/story.log"
	timelineReport = "testdata/story.txt"
)

// TestJobTimelineReport reads the logs of two instances in either order. They contain a job whose task crashed two workers, another job, a
// worker that did not run the job, a line that is not an event, and dropped lines.
func TestJobTimelineReport(t *testing.T) {
	raw, err := os.ReadFile(timelineLog)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	for _, reversed := range []bool{false, true} {
		jt := event.NewJobTimeline("f7c6fd7df91e3185")
		for at := range lines {
			if reversed {
				at = len(lines) - 1 - at
			}
			if err := jt.Read(bytes.NewReader(lines[at])); err != nil {
				t.Fatal(err)
			}
		}
		var got bytes.Buffer
		if err := jt.Report(&got); err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(timelineReport, got.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(timelineReport)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("reversed %t: %s", reversed, got.Bytes())
		}
		got.Reset()
		var list []map[string]any
		if err := jt.JSON(&got); err != nil || json.Unmarshal(got.Bytes(), &list) != nil || len(list) != 8 {
			t.Errorf("%d lines, %v: %s", len(list), err, got.Bytes())
		}
	}
}

// TestJobTimelineFindsJobInLineAboutSeveral reads a line that names the job in a list. The line belongs to the timeline, without the list.
func TestJobTimelineFindsJobInLineAboutSeveral(t *testing.T) {
	const line = `{"level":"info","ts":"2026-07-20T08:15:46.752Z","msg":"jobs wait","process":"edge-1","what":"jobs wait","job":"a1","why":"noRoom","jobs":["a1","b2"],"event":852}`
	for id, want := range map[string]bool{"a1": true, "b2": true, "c3": false} {
		jt := event.NewJobTimeline(id)
		if err := jt.Read(bytes.NewBufferString(line + "\n")); err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := jt.Report(&got); err != nil {
			t.Fatal(err)
		}
		if found := bytes.Contains(got.Bytes(), []byte("jobs wait  why=noRoom\n")); found != want {
			t.Errorf("%s: found %t, want %t: %s", id, found, want, got.Bytes())
		}
	}
}
