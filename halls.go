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

var errHallAction = errors.New("halls takes list, evacuate HALL --why REASON, or restore HALL")

// hallCall is a call of the halls command.
type hallCall struct{ storeCall }

// hallsCommand lists, evacuates and restores data halls on the platform.
func hallsCommand() command {
	sub := flaggy.NewSubcommand("halls")
	sub.Description = "List, evacuate or restore data halls: aspenseam halls evacuate north --store 10.200.1.7:8621 --why 'work on the cooling'"
	hc := &hallCall{storeCall{begin: "evacuate", end: "restore", usage: errHallAction}}
	hc.addTo(sub, "hall")
	return command{sub, hc.run}
}

func (hc *hallCall) run(ctx context.Context) error {
	if err := hc.check(); err != nil {
		return eris.Wrap(err, "halls")
	}
	ctx, cancel := context.WithTimeout(ctx, hallTimeout)
	defer cancel()
	st := platform.NewStore(hc.store)
	var err error
	switch hc.action {
	case hc.begin:
		err = fleet.EvacuateHall(ctx, st, fleet.Evacuation{Hall: job.HallID(hc.name), By: hc.by, Why: hc.why, At: time.Now().UTC()})
	case hc.end:
		err = fleet.RestoreHall(ctx, st, job.HallID(hc.name))
	}
	if err != nil {
		return eris.Wrap(err, hc.action+" "+hc.name)
	}
	rp, err := fleet.ReadHalls(ctx, st, platform.Format{})
	if err != nil {
		return eris.Wrap(err, "list halls")
	}
	return hc.print(rp)
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
