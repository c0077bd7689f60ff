package settings_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/settings"
	"github.com/cockroachdb/datadriven"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md from the schema")

const page = "../docs/SETTINGS.md"

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, td *datadriven.TestData) string {
		var findings settings.Findings
		if td.Cmd == "fleet" {
			ft, err := settings.ParseFleet([]byte(td.Input))
			if errors.As(err, &findings) {
				return findings.Error()
			}
			return fmt.Sprintf("%+v %v", *ft, err)
		}
		st, err := settings.Parse([]byte(td.Input))
		if errors.As(err, &findings) {
			return findings.Error()
		}
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("entry %s in %s, poll %v, retryShare %v, %d operators", st.Entry.ID, st.Entry.Hall, st.Platform.PollInterval, st.Endpoint.RetryShare, len(st.Operators))
	})
}

func TestSchemaMatchesPage(t *testing.T) {
	got := settings.Markdown()
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
		t.Errorf("%s does not match the schema; run go test ./settings -update", page)
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/entry*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example settings files found: %v", err)
	}
	for _, file := range files {
		if _, err := settings.Load(file); err != nil {
			t.Errorf("%s:\n%v", file, err)
		}
	}
	fleets, err := filepath.Glob("../examples/*/fleet.jsonc")
	if err != nil || len(fleets) == 0 {
		t.Fatalf("no example fleet settings files found: %v", err)
	}
	for _, file := range fleets {
		src, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.ParseFleet(src); err != nil {
			t.Errorf("%s:\n%v", file, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"entry": {"id": 1}, /* c */ "peer": []}`))
	f.Add([]byte(`{"operators": [{"name": "a"}],}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		st, err := settings.Parse(src)
		if (st == nil) == (err == nil) {
			t.Fatalf("Parse must return either settings or an error: got %v, %v", st, err)
		}
	})
}

// TestParseCells checks that all errors of a file are reported together and that an empty file yields the defaults.
func TestParseCells(t *testing.T) {
	cs, err := settings.ParseCells([]byte("{}"))
	if err != nil || cs.Lease != 5*time.Second || cs.Standby != 0.35 {
		t.Fatalf("defaults: %+v, %v", cs, err)
	}
	_, err = settings.ParseCells([]byte(`{
  // too short
  "lease": "1ms",
  "standby": 2,
  "nonsense": 1
}`))
	var found settings.Findings
	if !errors.As(err, &found) || len(found) != 3 || found[0].Line != 3 || found[2].Line != 5 {
		t.Fatalf("findings: %v", err)
	}
}
