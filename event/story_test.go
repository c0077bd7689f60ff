package event_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/aspenseam/aspenseam/event"
)

const (
	storyLog  = "testdata/story.log"
	storyPage = "testdata/story.txt"
)

// TestStoryLeadsFromAFailedJobToItsTask reads the logs of two instances in either order: a job whose task ended two workers, another job
// beside it, a worker that it never met, a line that is no event, and lines that were left out.
func TestStoryLeadsFromAFailedJobToItsTask(t *testing.T) {
	raw, err := os.ReadFile(storyLog)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	for _, turned := range []bool{false, true} {
		st := event.NewJobTimeline("f7c6fd7df91e3185")
		for at := range lines {
			if turned {
				at = len(lines) - 1 - at
			}
			if err := st.Read(bytes.NewReader(lines[at])); err != nil {
				t.Fatal(err)
			}
		}
		var got bytes.Buffer
		if err := st.Report(&got); err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(storyPage, got.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(storyPage)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("turned %t: %s", turned, got.Bytes())
		}
		got.Reset()
		var list []map[string]any
		if err := st.JSON(&got); err != nil || json.Unmarshal(got.Bytes(), &list) != nil || len(list) != 8 {
			t.Errorf("%d lines, %v: %s", len(list), err, got.Bytes())
		}
	}
}
