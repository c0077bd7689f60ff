package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
)

// maxJobs is the maximum number of jobs per request.
const maxJobs = 500

// SubmitRequest is the request body for submitting jobs. Jobs are identified by id, so that repeating a request submits no job twice.
type SubmitRequest struct {
	Jobs []JobRequest `json:"jobs"`
}

// JobRequest is one job of a SubmitRequest.
type JobRequest struct {
	ID       worker.JobID  `json:"id"`
	Team     worker.TeamID `json:"team"`
	Kind     worker.Kind   `json:"kind"`
	Urgent   bool          `json:"urgent,omitempty"`
	Declared worker.Size   `json:"declared"`
}

// CancelRequest is the request body for cancelling jobs of a team with one write. Kind and Jobs restrict which jobs are cancelled if they are
// not empty.
type CancelRequest struct {
	Team worker.TeamID  `json:"team"`
	Kind worker.Kind    `json:"kind,omitempty"`
	Jobs []worker.JobID `json:"jobs,omitempty"`
	Why  string         `json:"why"`
}

// validate returns all faults of a request.
func (sc SubmitRequest) validate() []string {
	var findings []string
	seen := map[worker.JobID]bool{}
	if len(sc.Jobs) == 0 || len(sc.Jobs) > maxJobs {
		findings = append(findings, fmt.Sprintf("jobs must have 1 to %d entries", maxJobs))
	}
	for ix, jr := range sc.Jobs {
		if jr.ID == "" || jr.Team == "" || jr.Kind == "" {
			findings = append(findings, fmt.Sprintf("jobs[%d]: id, team and kind are required", ix))
		}
		if jr.Declared.CPUMillis <= 0 || jr.Declared.MemoryMB <= 0 || jr.Declared.Accelerators < 0 {
			findings = append(findings, fmt.Sprintf("jobs[%d]: declared must have cpuMillis and memoryMb above 0", ix))
		}
		if seen[jr.ID] {
			findings = append(findings, fmt.Sprintf("jobs[%d]: id %s stands twice", ix, jr.ID))
		}
		seen[jr.ID] = true
	}
	return findings
}

// SubmitJobs queues jobs in one transaction and returns the number of jobs queued. Jobs that already exist are left unchanged.
func (mg *Manager) SubmitJobs(ctx context.Context, author Name, call SubmitRequest) (int, error) {
	if findings := call.validate(); len(findings) > 0 {
		return 0, &RefusedError{Message: "the jobs are invalid", Findings: findings}
	}
	remaining := call.Jobs
	for len(remaining) > 0 {
		conflict, err := mg.trySubmit(ctx, author, remaining)
		if err != nil || conflict == nil {
			return len(remaining), err
		}
		remaining = withoutExisting(remaining, conflict)
	}
	return 0, nil
}

func (mg *Manager) trySubmit(ctx context.Context, author Name, requests []JobRequest) (*table.ConflictError, error) {
	var writes []table.Write
	for _, jr := range requests {
		raw, err := table.Encode(worker.Job{ID: jr.ID, Team: jr.Team, Kind: jr.Kind, Urgent: jr.Urgent, Declared: jr.Declared, SubmittedAt: mg.now().UTC(), State: worker.JobQueued})
		if err != nil {
			return nil, err
		}
		writes = append(writes, table.Write{Table: worker.TableJob, Key: string(jr.ID), Value: raw})
	}
	_, err := table.CommitOnce(ctx, mg.table, table.Audit{Actor: string(author), Action: "submitJobs", Subject: strconv.Itoa(len(writes)) + " jobs", At: mg.now().UTC()}, writes...)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return conflict, nil
	}
	return nil, err
}

func withoutExisting(requests []JobRequest, conflict *table.ConflictError) []JobRequest {
	existing := map[worker.JobID]bool{}
	for _, rw := range conflict.Rows {
		existing[worker.JobID(rw.Key)] = true
	}
	var remaining []JobRequest
	for _, jr := range requests {
		if !existing[jr.ID] {
			remaining = append(remaining, jr)
		}
	}
	return remaining
}

// CancelJobs cancels the jobs that match a request by writing one row.
func (mg *Manager) CancelJobs(ctx context.Context, author Name, call CancelRequest) error {
	if call.Team == "" || call.Why == "" {
		return &RefusedError{Message: "the cancellation is invalid", Findings: []string{"team and why are required"}}
	}
	raw, err := table.Encode(worker.Cancellation{Team: call.Team, Kind: call.Kind, Jobs: call.Jobs, At: mg.now().UTC()})
	if err != nil {
		return err
	}
	wt := table.Write{Table: worker.TableCancel, Key: table.NewID(), Value: raw}
	_, err = table.CommitOnce(ctx, mg.table, table.Audit{Actor: string(author), Action: "cancelJobs", Subject: string(call.Team), Why: call.Why, At: mg.now().UTC()}, wt)
	return err
}

// SetQuota sets the number of slots of a team.
func (mg *Manager) SetQuota(ctx context.Context, author Name, quota worker.Quota) error {
	if quota.Team == "" || quota.Slots < 0 {
		return &RefusedError{Message: "the quota is invalid", Findings: []string{"team is required, and slots must not be negative"}}
	}
	raw, err := table.Encode(quota)
	if err != nil {
		return err
	}
	rw, err := mg.table.Get(ctx, worker.TableQuota, string(quota.Team))
	if err != nil && !errors.Is(err, table.ErrAbsent) {
		return err
	}
	wt := table.Write{Table: worker.TableQuota, Key: string(quota.Team), IfVersion: rw.Version, Value: raw}
	_, err = table.CommitOnce(ctx, mg.table, table.Audit{Actor: string(author), Action: "setQuota", Subject: string(quota.Team), Why: fmt.Sprintf("%d slots", quota.Slots), At: mg.now().UTC()}, wt)
	return err
}

func (sv *Server) submitJobs(wr http.ResponseWriter, rq *http.Request) {
	var call SubmitRequest
	if !decodeRequest(wr, rq, &call) {
		return
	}
	queued, err := sv.manager.SubmitJobs(rq.Context(), operatorFromContext(rq.Context()), call)
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, http.StatusOK, map[string]int{"queued": queued})
}

func (sv *Server) cancelJobs(wr http.ResponseWriter, rq *http.Request) {
	var call CancelRequest
	if !decodeRequest(wr, rq, &call) {
		return
	}
	if err := sv.manager.CancelJobs(rq.Context(), operatorFromContext(rq.Context()), call); err != nil {
		writeError(wr, err)
		return
	}
	wr.WriteHeader(http.StatusNoContent)
}

func (sv *Server) setQuota(wr http.ResponseWriter, rq *http.Request) {
	var quota worker.Quota
	if !decodeRequest(wr, rq, &quota) {
		return
	}
	if err := sv.manager.SetQuota(rq.Context(), operatorFromContext(rq.Context()), quota); err != nil {
		writeError(wr, err)
		return
	}
	wr.WriteHeader(http.StatusNoContent)
}

// jobs returns all jobs, as read from the platform.
func (sv *Server) jobs(wr http.ResponseWriter, rq *http.Request) {
	cs, err := sv.table.Changes(rq.Context(), 0, []table.TableName{worker.TableJob})
	if err != nil {
		writeError(wr, err)
		return
	}
	jobs := []worker.Job{}
	for _, rw := range cs.Rows {
		if jb, err := table.Decode[worker.Job](rw); err == nil && !rw.Deleted {
			jobs = append(jobs, jb)
		}
	}
	writeJSON(wr, http.StatusOK, jobs)
}
