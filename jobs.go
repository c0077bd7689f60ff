package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/worker"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

func jobsCommand() command {
	sub, oc := newOperatorCommand("jobs", "List the jobs and where they run.")
	return command{sub, func(ctx context.Context) error {
		jobs, err := oc.client().Jobs(ctx)
		if err != nil {
			return err
		}
		return oc.print(jobs, func(wr io.Writer) {
			line(wr, "JOB", "TEAM", "KIND", "URGENT", "STATE", "ON", "ATTEMPT", "WHY")
			for _, jb := range jobs {
				line(wr, jb.ID, jb.Team, jb.Kind, jb.Urgent, jb.State, jb.Instance, jb.Attempt, jb.Why)
			}
		})
	}}
}

// submitCommand queues the jobs of a file.
func submitCommand() command {
	sub, oc := newOperatorCommand("submit", "Submit the jobs of a file, JSON with comments; submitting twice is the same as once.")
	var path string
	sub.AddPositionalValue(&path, "file", 1, true, "file with {\"jobs\": [...]}")
	return command{sub, func(ctx context.Context) error {
		call, err := readJobs(path)
		if err != nil {
			return err
		}
		if err := oc.client().SubmitJobs(ctx, call.Jobs...); err != nil {
			return err
		}
		fmt.Printf("%d jobs submitted\n", len(call.Jobs))
		return nil
	}}
}

func readJobs(path string) (operator.SubmitRequest, error) {
	var call operator.SubmitRequest
	src, err := os.ReadFile(path)
	if err != nil {
		return call, eris.Wrap(err, "read jobs")
	}
	src, err = hujson.Standardize(src)
	if err != nil {
		return call, eris.Wrap(err, "parse jobs")
	}
	return call, eris.Wrap(json.Unmarshal(src, &call), "parse jobs")
}

// cancelCommand cancels a wave of jobs.
func cancelCommand() command {
	sub, oc := newOperatorCommand("cancel", "Cancel a team's jobs: all, those of a kind, or those named.")
	var team, kind, why string
	var jobs []string
	sub.AddPositionalValue(&team, "team", 1, true, "team")
	sub.String(&kind, "k", "kind", "kind of jobs")
	sub.StringSlice(&jobs, "i", "job", "job; may be repeated")
	sub.String(&why, "w", "why", "reason, for the audit trail")
	return command{sub, func(ctx context.Context) error {
		return oc.client().CancelJobs(ctx, operator.CancelRequest{Team: worker.TeamID(team), Kind: worker.Kind(kind), Jobs: named[worker.JobID](jobs), Why: why})
	}}
}

// quotaCommand sets a team's slots.
func quotaCommand() command {
	sub, oc := newOperatorCommand("quota", "Set how many slots a team's ordinary jobs may take.")
	var team string
	slots := 0
	sub.AddPositionalValue(&team, "team", 1, true, "team")
	sub.Int(&slots, "n", "slots", "slots")
	return command{sub, func(ctx context.Context) error {
		return oc.client().SetQuota(ctx, worker.Quota{Team: worker.TeamID(team), Slots: slots})
	}}
}
