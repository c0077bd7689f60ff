package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/user"
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

// Errors of the queues command.
var (
	errQueueAction = errors.New("queues takes list, pause QUEUE --why REASON, or resume QUEUE")
	errQueueWhy    = errors.New("a pause needs a reason: --why")
	errQueueStore  = errors.New("queues needs --store, the address of the platform's store as the settings of an instance name it")
)

// queueCall holds the words and flags of the queues command.
type queueCall struct {
	action, queue, store, why, by string
	asJSON                        bool
}

// queuesCommand shows, pauses and resumes queues on the platform.
func queuesCommand() command {
	sub := flaggy.NewSubcommand("queues")
	sub.Description = "List, pause or resume queues of jobs: aspenseam queues pause r-5xwyhks --store 10.200.1.7:8621 --why 'ends workers, event 839'"
	qc := &queueCall{action: "list", by: userName()}
	sub.AddPositionalValue(&qc.action, "action", 1, false, "list, pause or resume")
	sub.AddPositionalValue(&qc.queue, "queue", 2, false, "name of the queue, as in the configuration")
	sub.String(&qc.store, "s", "store", "address of the platform's store")
	sub.String(&qc.why, "w", "why", "reason of a pause, for those who find it")
	sub.String(&qc.by, "b", "by", "who pauses; default the user's name")
	sub.Bool(&qc.asJSON, "j", "json", "print JSON")
	return command{sub, qc.run}
}

func userName() string {
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	// Without a name the reason must do.
	return ""
}

func (qc *queueCall) run(ctx context.Context) error {
	if err := qc.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	st := platform.NewStore(qc.store)
	var err error
	switch qc.action {
	case "pause":
		err = fleet.PauseQueue(ctx, st, fleet.Pause{Queue: job.QueueID(qc.queue), By: qc.by, Why: qc.why, At: time.Now().UTC()})
	case "resume":
		err = fleet.ResumeQueue(ctx, st, job.QueueID(qc.queue))
	}
	if err != nil {
		return eris.Wrap(err, qc.action+" "+qc.queue)
	}
	list, err := fleet.PausedQueues(ctx, st)
	if err != nil {
		return eris.Wrap(err, "list paused queues")
	}
	return qc.print(list)
}

// check reports the first fault of the words and flags.
func (qc *queueCall) check() error {
	switch {
	case qc.action != "list" && qc.action != "pause" && qc.action != "resume", (qc.action == "list") != (qc.queue == ""):
		return errQueueAction
	case qc.store == "":
		return errQueueStore
	case qc.action == "pause" && qc.why == "":
		return errQueueWhy
	}
	return nil
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
