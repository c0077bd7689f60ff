package endpoint_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/cockroachdb/datadriven"
)

var allEnds = []endpoint.End{endpoint.Answered, endpoint.NotSent, endpoint.Refused, endpoint.PerhapsRun}

// TestFold lists the final word for every combination of prior knowledge and up to two attempts.
func TestFold(t *testing.T) {
	datadriven.RunTest(t, "testdata/fold", func(t *testing.T, td *datadriven.TestData) string {
		prior := map[string]endpoint.Prior{"none": endpoint.PriorNone, "unknown": endpoint.PriorUnknown}[td.CmdArgs[0].Key]
		var sb strings.Builder
		line := func(ends ...endpoint.End) {
			fmt.Fprintf(&sb, "%v: %s\n", ends, endpoint.Fold(prior, ends))
		}
		line()
		for _, first := range allEnds {
			line(first)
			for _, second := range allEnds {
				line(first, second)
			}
		}
		return sb.String()
	})
}

// TestFoldRule checks the rule itself over all combinations of up to four attempts.
func TestFoldRule(t *testing.T) {
	var try func(ends []endpoint.End)
	try = func(ends []endpoint.End) {
		for _, prior := range []endpoint.Prior{endpoint.PriorNone, endpoint.PriorUnknown} {
			answered, perhaps := false, prior == endpoint.PriorUnknown
			for _, ed := range ends {
				answered = answered || ed == endpoint.Answered
				perhaps = perhaps || ed == endpoint.PerhapsRun
			}
			got := endpoint.Fold(prior, ends)
			switch {
			case answered && got != endpoint.OutcomeAnswered,
				!answered && perhaps && got != endpoint.OutcomeUnknown,
				!answered && !perhaps && got != endpoint.OutcomeNotRun:
				t.Errorf("prior %v, ends %v: %s", prior, ends, got)
			}
		}
		if len(ends) == 4 {
			return
		}
		for _, ed := range allEnds {
			try(append(ends[:len(ends):len(ends)], ed))
		}
	}
	try(nil)
}

func ExampleFold() {
	fmt.Println(endpoint.Fold(endpoint.PriorNone, []endpoint.End{endpoint.NotSent, endpoint.Refused}))
	fmt.Println(endpoint.Fold(endpoint.PriorNone, []endpoint.End{endpoint.NotSent, endpoint.PerhapsRun}))
	fmt.Println(endpoint.Fold(endpoint.PriorUnknown, nil))
	// Output:
	// notRun
	// unknown
	// unknown
}
