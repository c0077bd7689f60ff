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

// queueTimeout bounds a call of the queues command.
const queueTimeout = 5 * time.Second

var errQueueAction = errors.New("queues takes list, pause QUEUE --why REASON, or resume QUEUE")

// queueCall is a call of the queues command.
type queueCall struct{ storeCall }

// queuesCommand shows, pauses and resumes queues on the platform.
func queuesCommand() command {
	sub := flaggy.NewSubcommand("queues")
	sub.Description = "List, pause or resume queues of jobs: aspenseam queues pause r-5xwyhks --store 10.200.1.7:8621 --why 'ends workers, event 839'"
	qc := &queueCall{storeCall{begin: "pause", end: "resume", usage: errQueueAction}}
	qc.addTo(sub, "queue")
	return command{sub, qc.run}
}

func (qc *queueCall) run(ctx context.Context) error {
	if err := qc.check(); err != nil {
		return eris.Wrap(err, "queues")
	}
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	st := platform.NewStore(qc.store)
	var err error
	switch qc.action {
	case qc.begin:
		err = fleet.PauseQueue(ctx, st, fleet.Pause{Queue: job.QueueID(qc.name), By: qc.by, Why: qc.why, At: time.Now().UTC()})
	case qc.end:
		err = fleet.ResumeQueue(ctx, st, job.QueueID(qc.name))
	}
	if err != nil {
		return eris.Wrap(err, qc.action+" "+qc.name)
	}
	list, err := fleet.PausedQueues(ctx, st)
	if err != nil {
		return eris.Wrap(err, "list paused queues")
	}
	return qc.print(list)
}

// print writes the queues that are paused now.
func (qc *queueCall) print(list []fleet.Pause) error {
	if qc.asJSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	line(tw, "PAUSED", "SINCE", "BY", "WHY")
	for _, ps := range list {
		line(tw, ps.Queue, ps.At.Format(time.RFC3339), ps.By, ps.Why)
	}
	return tw.Flush()
}
