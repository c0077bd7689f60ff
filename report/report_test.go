package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

func TestRolloutFromAuditTrail(t *testing.T) {
	start := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	at := func(minutes int, action, subject, plan string) table.Audit {
		return table.Audit{At: start.Add(time.Duration(minutes) * time.Minute), Action: action, Subject: subject, Plan: plan, Why: "kernel"}
	}
	lines := []table.Audit{
		at(0, "leaving", "w9", "other"), at(0, "confirm", "plan p", "p"),
		at(0, "leaving", "w1", "p"), at(1, "leaving", "w2", "p"), at(30, "serving", "w1", "p"), at(61, "serving", "w2", "p"),
	}
	if last := lastPlan(lines); last != "p" {
		t.Errorf("last plan %q, want p", last)
	}
	ro := newRollout(lines, "p")
	if ro.maxOut != 2 || ro.instanceHours != 1.5 || len(ro.points) != 4 || ro.points[3].finished != 2 {
		t.Errorf("unexpected roll-out: %+v", ro)
	}
	text := renderPage(ro, map[string]int64{"requests.answered": 7})
	if !strings.Contains(text, "| requests answered here | 7 |") || !strings.Contains(text, "1h1m0s") {
		t.Error(text)
	}
	out := t.TempDir()
	if err := drawRollout(ro, filepath.Join(out, rolloutName)); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(filepath.Join(out, rolloutName)); err != nil || info.Size() < 1000 {
		t.Errorf("plot file is missing or too small: %v %v", info, err)
	}
}
