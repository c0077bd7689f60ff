package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"text/tabwriter"
	"time"

	"github.com/aspenseam/aspenseam/fleet"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// hallTimeout bounds a call of the halls command.
const hallTimeout = 5 * time.Second

// Errors of the halls command.
var (
	errHallAction = errors.New("halls takes list, evacuate HALL --why REASON, or restore HALL")
	errHallWhy    = errors.New("an evacuation needs a reason: --why")
	errHallStore  = errors.New("halls needs --store, the address of the platform's store as the settings of an instance name it")
)

// hallCall holds the words and flags of the halls command.
type hallCall struct {
	action, hall, store, why, by string
	asJSON                       bool
}

// hallsCommand lists, evacuates and restores data halls on the platform.
func hallsCommand() command {
	sub := flaggy.NewSubcommand("halls")
	sub.Description = "List, evacuate or restore data halls: aspenseam halls evacuate north --store 10.200.1.7:8621 --why 'work on the cooling'"
	hc := &hallCall{action: "list", by: userName()}
	sub.AddPositionalValue(&hc.action, "action", 1, false, "list, evacuate or restore")
	sub.AddPositionalValue(&hc.hall, "hall", 2, false, "name of the data hall, as in the settings of instances")
	sub.String(&hc.store, "s", "store", "address of the platform's store")
	sub.String(&hc.why, "w", "why", "reason of an evacuation, for those who find it")
	sub.String(&hc.by, "b", "by", "who evacuates; default the user's name")
	sub.Bool(&hc.asJSON, "j", "json", "print JSON")
	return command{sub, hc.run}
}

func (hc *hallCall) run(ctx context.Context) error {
	if err := hc.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, hallTimeout)
	defer cancel()
	st := platform.NewStore(hc.store)
	var err error
	switch hc.action {
	case "evacuate":
		err = fleet.EvacuateHall(ctx, st, fleet.Evacuation{Hall: job.HallID(hc.hall), By: hc.by, Why: hc.why, At: time.Now().UTC()})
	case "restore":
		err = fleet.RestoreHall(ctx, st, job.HallID(hc.hall))
	}
	if err != nil {
		return eris.Wrap(err, hc.action+" "+hc.hall)
	}
	rp, err := fleet.ReadHalls(ctx, st, platform.Format{})
	if err != nil {
		return eris.Wrap(err, "list halls")
	}
	return hc.print(rp)
}

// check reports the first fault of the words and flags.
func (hc *hallCall) check() error {
	switch {
	case hc.action != "list" && hc.action != "evacuate" && hc.action != "restore", (hc.action == "list") != (hc.hall == ""):
		return errHallAction
	case hc.store == "":
		return errHallStore
	case hc.action == "evacuate" && hc.why == "":
		return errHallWhy
	}
	return nil
}

// print writes the report.
func (hc *hallCall) print(rp *fleet.HallReport) error {
	if hc.asJSON {
		return json.NewEncoder(os.Stdout).Encode(rp)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	line(tw, "HALL", "WORKERS", "COLD", "TASKS", "EVACUATED SINCE", "BY", "WHY")
	for _, hs := range rp.Halls {
		since := "-"
		if !hs.EvacuatedSince.IsZero() {
			since = hs.EvacuatedSince.Format(time.RFC3339)
		}
		line(tw, hs.Hall, hs.Workers, hs.Cold, hs.Tasks, since, hs.By, hs.Why)
	}
	for _, address := range rp.Unreachable {
		line(tw, "no answer from "+address)
	}
	return tw.Flush()
}
