package event_test

import (
	"flag"
	"os"
	"testing"

	"github.com/aspenseam/aspenseam/event"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

const page = "../docs/EVENTS.md"

func TestCatalogueMatchesPage(t *testing.T) {
	got := event.Markdown()
	if *update {
		if err := os.WriteFile(page, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s does not match the catalogue; run go test ./event -update", page)
	}
}

func TestNumbersAreUniqueAndAscending(t *testing.T) {
	last := event.ID(0)
	for _, kd := range event.Catalogue {
		if kd.ID <= last {
			t.Errorf("event %d (%s) follows %d", kd.ID, kd.Message, last)
		}
		last = kd.ID
	}
}
