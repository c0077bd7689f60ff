package endpoint_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/cockroachdb/datadriven"
)

var allAttemptOutcomes = []endpoint.AttemptOutcome{endpoint.Answered, endpoint.NotSent, endpoint.Refused, endpoint.MaybeRun}

// TestFold checks the outcome for every combination of prior knowledge and up to two attempts.
func TestFold(t *testing.T) {
	datadriven.RunTest(t, "testdata/fold", func(t *testing.T, td *datadriven.TestData) string {
		prior := map[string]endpoint.Prior{"none": endpoint.PriorNone, "unknown": endpoint.PriorUnknown}[td.CmdArgs[0].Key]
		var sb strings.Builder
		line := func(ends ...endpoint.AttemptOutcome) {
			fmt.Fprintf(&sb, "%v: %s\n", ends, endpoint.Fold(prior, ends))
		}
		line()
		for _, first := range allAttemptOutcomes {
			line(first)
			for _, second := range allAttemptOutcomes {
				line(first, second)
			}
		}
		return sb.String()
	})
}

// TestFoldRule checks the rule of Fold over all combinations of up to four attempts.
func TestFoldRule(t *testing.T) {
	var check func(ends []endpoint.AttemptOutcome)
	check = func(ends []endpoint.AttemptOutcome) {
		for _, prior := range []endpoint.Prior{endpoint.PriorNone, endpoint.PriorUnknown} {
			answered, maybeRun := false, prior == endpoint.PriorUnknown
			for _, ao := range ends {
				answered = answered || ao == endpoint.Answered
				maybeRun = maybeRun || ao == endpoint.MaybeRun
			}
			got := endpoint.Fold(prior, ends)
			switch {
			case answered && got != endpoint.OutcomeAnswered,
				!answered && maybeRun && got != endpoint.OutcomeUnknown,
				!answered && !maybeRun && got != endpoint.OutcomeNotRun:
				t.Errorf("prior %v, ends %v: %s", prior, ends, got)
			}
		}
		if len(ends) == 4 {
			return
		}
		for _, ao := range allAttemptOutcomes {
			check(append(ends[:len(ends):len(ends)], ao))
		}
	}
	check(nil)
}

func ExampleFold() {
	fmt.Println(endpoint.Fold(endpoint.PriorNone, []endpoint.AttemptOutcome{endpoint.NotSent, endpoint.Refused}))
	fmt.Println(endpoint.Fold(endpoint.PriorNone, []endpoint.AttemptOutcome{endpoint.NotSent, endpoint.MaybeRun}))
	fmt.Println(endpoint.Fold(endpoint.PriorUnknown, nil))
	// Output:
	// notRun
	// unknown
	// unknown
}
