// Command report renders the audit trail and the metrics of a fleet as a Markdown page with plots: a plan's roll-out, the buffer it used and the
// outcomes of requests.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
)

const (
	pageName    = "report.md"
	rolloutName = "rollout.png"
	outcomeName = "outcomes.png"
)

// source holds the input of a report.
type source struct {
	Audit   []table.Audit    `json:"audit"`
	Metrics map[string]int64 `json:"metrics"`
}

func main() {
	address := flag.String("address", os.Getenv("ASPENSEAM_ADDRESS"), "operator address of an entry instance")
	token := flag.String("token", os.Getenv("ASPENSEAM_TOKEN"), "operator token")
	file := flag.String("from", "", "file with a saved source to use instead of an entry instance")
	plan := flag.String("plan", "", "plan to report on; defaults to the last one that moved an instance")
	out := flag.String("out", "report-out", "folder to write to")
	flag.Parse()
	if err := run(*address, *token, *file, table.PlanID(*plan), *out); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

// run loads the source, draws the plots and writes the page.
func run(address, token, file string, plan table.PlanID, out string) error {
	src, err := loadSource(address, token, file)
	if err != nil {
		return err
	}
	if plan == "" {
		plan = lastPlan(src.Audit)
	}
	ro := newRollout(src.Audit, plan)
	if len(ro.points) == 0 {
		return eris.New("audit trail contains no plan that moved an instance")
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return eris.Wrap(err, "create output folder")
	}
	if err := drawRollout(ro, filepath.Join(out, rolloutName)); err != nil {
		return err
	}
	if err := drawOutcomes(src.Metrics, filepath.Join(out, outcomeName)); err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(filepath.Join(out, pageName), []byte(renderPage(ro, src.Metrics)), 0o644), "write page")
}

// loadSource reads the source from a file or fetches it from an entry instance.
func loadSource(address, token, file string) (source, error) {
	var src source
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return src, eris.Wrap(err, "read source")
		}
		return src, eris.Wrap(json.Unmarshal(raw, &src), "decode source")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cl := operator.NewClient(address, token)
	var err error
	if src.Audit, err = cl.Audit(ctx); err != nil {
		return src, err
	}
	src.Metrics, err = cl.Metrics(ctx)
	return src, err
}
