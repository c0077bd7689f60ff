package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/aspenseam/aspenseam/fleet"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// organisationTimeout bounds a call of the organisations command.
const organisationTimeout = 5 * time.Second

// Errors of the organisations command.
var (
	errOrganisationAction = errors.New("organisations takes list")
	errOrganisationStore  = errors.New("organisations needs --store, the address of the platform's store as the settings of an instance name it")
)

// organisationCall holds the words and flags of the organisations command.
type organisationCall struct {
	action, store string
	asJSON, keys  bool
}

// organisationsCommand shows organisations with their shares, maxima and what runs and waits of them.
func organisationsCommand() command {
	sub := flaggy.NewSubcommand("organisations")
	sub.Description = "List organisations with their shares and maxima, and what runs and waits: aspenseam organisations list --store 10.200.1.7:8621"
	oc := &organisationCall{action: "list"}
	sub.AddPositionalValue(&oc.action, "action", 1, false, "list")
	sub.String(&oc.store, "s", "store", "address of the platform's store")
	sub.Bool(&oc.keys, "k", "keys", "show fingerprints of keys, as the log names them")
	sub.Bool(&oc.asJSON, "j", "json", "print JSON")
	return command{sub, oc.run}
}

func (oc *organisationCall) run(ctx context.Context) error {
	switch {
	case oc.action != "list":
		return errOrganisationAction
	case oc.store == "":
		return errOrganisationStore
	}
	ctx, cancel := context.WithTimeout(ctx, organisationTimeout)
	defer cancel()
	rp, err := fleet.ReadOrganisations(ctx, platform.NewStore(oc.store), platform.Format{})
	if err != nil {
		return eris.Wrap(err, "organisations")
	}
	return oc.print(rp)
}

// print writes the report.
func (oc *organisationCall) print(rp *fleet.OrganisationReport) error {
	if oc.asJSON {
		return json.NewEncoder(os.Stdout).Encode(rp)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	head := []any{"ORGANISATION", "WEIGHT", "MAXIMUM", "HELD", "RUNNING", "WAITING", "OLDEST", "AT MAXIMUM IN"}
	if oc.keys {
		head = append(head, "KEYS")
	}
	line(tw, head...)
	for _, og := range rp.Organisations {
		row := []any{og.ID, og.Weight, sizeText(og.Maximum), sizeText(og.Held), sizeText(og.Running), og.Waiting, og.Oldest.Round(time.Millisecond), poolsText(og.AtLimit)}
		if oc.keys {
			row = append(row, strings.Join(og.Keys, " "))
		}
		line(tw, row...)
	}
	for _, address := range rp.Unreachable {
		line(tw, "no answer from "+address)
	}
	return tw.Flush()
}

// sizeText is a size for a table: cores, memory, accelerators.
func sizeText(sz job.Size) string {
	if sz == (job.Size{}) {
		return "-"
	}
	text := fmt.Sprintf("%.1f cores %d MB", float64(sz.CPUMillis)/1000, sz.MemoryMB)
	if sz.Accelerators > 0 {
		text += fmt.Sprintf(" %d accelerators", sz.Accelerators)
	}
	return text
}

// poolsText lists pools, - for none.
func poolsText(pools []job.PoolID) string {
	if len(pools) == 0 {
		return "-"
	}
	var names []string
	for _, id := range pools {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}
