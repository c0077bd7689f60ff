package proof

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// entryID is how pages name an entry of the journal; commits are named by seven digits.
var entryID = regexp.MustCompile(`\b[0-9a-f]{8}\b`)

// TestEntriesThatPagesNameAreInTheJournal: a figure without its run is a claim.
func TestEntriesThatPagesNameAreInTheJournal(t *testing.T) {
	incidents, err := filepath.Glob("../docs/incidents/*.md")
	if err != nil {
		t.Fatal(err)
	}
	named := 0
	for _, page := range append(incidents, "../docs/DECISIONS.md", "../docs/PLATFORM.md", "../docs/PROOF.md", "../docs/CAPACITY.md") {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range entryID.FindAllString(string(raw), -1) {
			if !strings.ContainsAny(id, "abcdef") {
				continue
			}
			named++
			if found, err := filepath.Glob("../journal/*-" + id + ".json"); err != nil || len(found) == 0 {
				t.Errorf("%s names %s, which the journal does not have", filepath.Base(page), id)
			}
		}
	}
	if named == 0 {
		t.Error("no page names an entry")
	}
}
