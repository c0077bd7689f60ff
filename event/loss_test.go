package event_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/aspenseam/aspenseam/event"
)

const (
	lossLog  = "testdata/loss.log"
	lossPage = "testdata/loss.txt"
)

// TestLossNamesWhatJobsWaitedFor reads a small log with one job for each cause, lines with and without a time in front, lines that were left
// out, and one that is none.
func TestLossNamesWhatJobsWaitedFor(t *testing.T) {
	raw, err := os.ReadFile(lossLog)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	var got bytes.Buffer
	// The order of the logs, and of their lines, does not matter.
	for _, turned := range []bool{false, true} {
		got.Reset()
		ls := event.NewLossAnalyzer()
		for at := range lines {
			if turned {
				at = len(lines) - 1 - at
			}
			if err := ls.Read(bytes.NewReader(lines[at])); err != nil {
				t.Fatal(err)
			}
		}
		if err := ls.Report(&got); err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(lossPage, got.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(lossPage)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("turned %t: %s", turned, got.Bytes())
		}
	}
}
