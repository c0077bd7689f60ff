package event_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/aspenseam/aspenseam/event"
)

const (
	lossLog    = "testdata/loss.log"
	lossReport = "testdata/loss.txt"
)

// TestLossAnalyzerReport reads a small log with one job for each cause, lines with and without a time prefix, dropped lines and a line that is
// not an event. The report must not depend on the order of the lines.
func TestLossAnalyzerReport(t *testing.T) {
	raw, err := os.ReadFile(lossLog)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	var got bytes.Buffer
	for _, reversed := range []bool{false, true} {
		got.Reset()
		la := event.NewLossAnalyzer()
		for at := range lines {
			if reversed {
				at = len(lines) - 1 - at
			}
			if err := la.Read(bytes.NewReader(lines[at])); err != nil {
				t.Fatal(err)
			}
		}
		if err := la.Report(&got); err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(lossReport, got.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(lossReport)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("reversed %t: %s", reversed, got.Bytes())
		}
	}
}
