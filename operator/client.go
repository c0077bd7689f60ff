package operator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
	"github.com/go-resty/resty/v2"
)

const clientTimeout = 30 * time.Second

// Client calls the operator API of an entry instance.
type Client struct {
	rc *resty.Client
}

// NewClient returns a client for the operator listener of an entry instance.
func NewClient(address, token string) *Client {
	return &Client{rc: resty.New().SetBaseURL("http://" + address).SetAuthToken(token).SetTimeout(clientTimeout)}
}

// NewTLSClient returns a client that uses TLS and verifies the entry instance with the certificate authorities of a PEM file.
func NewTLSClient(address, token, authorityFile string) *Client {
	rc := resty.New().SetRootCertificate(authorityFile).SetBaseURL("https://" + address).SetAuthToken(token).SetTimeout(clientTimeout)
	return &Client{rc: rc}
}

// CallError is the error response to a call that was not carried out.
type CallError struct {
	Status  int
	Problem Problem
}

// Error returns the message and all findings, one per line.
func (ce *CallError) Error() string {
	return strings.Join(append([]string{ce.Problem.Message}, ce.Problem.Findings...), "\n  ")
}

// do sends one request and decodes the response.
func (cl *Client) do(ctx context.Context, method, path string, body, result any) error {
	var problem Problem
	rq := cl.rc.R().SetContext(ctx).SetError(&problem)
	if result != nil {
		rq.SetResult(result)
	}
	if body != nil {
		rq.SetBody(body)
	}
	rp, err := rq.Execute(method, path)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	if rp.IsError() {
		return &CallError{Status: rp.StatusCode(), Problem: problem}
	}
	return nil
}

// Status returns the status of the entry instance.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	return st, cl.do(ctx, http.MethodGet, "/v1/status", nil, &st)
}

// Propose requests a plan for an intent.
func (cl *Client) Propose(ctx context.Context, it Intent) (PlanView, error) {
	var vw PlanView
	return vw, cl.do(ctx, http.MethodPost, "/v1/plans", it, &vw)
}

// Plan returns one plan.
func (cl *Client) Plan(ctx context.Context, id table.PlanID) (PlanView, error) {
	var vw PlanView
	return vw, cl.do(ctx, http.MethodGet, "/v1/plans/"+string(id), nil, &vw)
}

// Plans returns all plans.
func (cl *Client) Plans(ctx context.Context) ([]PlanView, error) {
	var vws []PlanView
	return vws, cl.do(ctx, http.MethodGet, "/v1/plans", nil, &vws)
}

// Change confirms, pauses, resumes or aborts a plan.
func (cl *Client) Change(ctx context.Context, id table.PlanID, call string) (PlanView, error) {
	var vw PlanView
	return vw, cl.do(ctx, http.MethodPost, "/v1/plans/"+string(id)+"/"+call, nil, &vw)
}

// Audit returns the audit trail.
func (cl *Client) Audit(ctx context.Context) ([]table.Audit, error) {
	var lines []table.Audit
	return lines, cl.do(ctx, http.MethodGet, "/v1/audit", nil, &lines)
}

// Metrics returns the value of each metric of the entry instance by name.
func (cl *Client) Metrics(ctx context.Context) (map[string]int64, error) {
	var all map[string]struct {
		Value int64 `json:"value"`
	}
	if err := cl.do(ctx, http.MethodGet, "/v1/metrics", nil, &all); err != nil {
		return nil, err
	}
	values := make(map[string]int64, len(all))
	for name, metric := range all {
		values[name] = metric.Value
	}
	return values, nil
}

// SubmitJobs queues jobs.
func (cl *Client) SubmitJobs(ctx context.Context, jobs ...JobRequest) error {
	return cl.do(ctx, http.MethodPost, "/v1/jobs", SubmitRequest{Jobs: jobs}, nil)
}

// CancelJobs cancels the jobs that match the request.
func (cl *Client) CancelJobs(ctx context.Context, call CancelRequest) error {
	return cl.do(ctx, http.MethodPost, "/v1/jobs/cancel", call, nil)
}

// SetQuota sets the number of slots of a team.
func (cl *Client) SetQuota(ctx context.Context, quota worker.Quota) error {
	return cl.do(ctx, http.MethodPut, "/v1/quotas", quota, nil)
}

// Jobs returns all jobs.
func (cl *Client) Jobs(ctx context.Context) ([]worker.Job, error) {
	var jobs []worker.Job
	return jobs, cl.do(ctx, http.MethodGet, "/v1/jobs", nil, &jobs)
}

// Configuration returns the accepted configuration and the version that each entry instance has applied.
func (cl *Client) Configuration(ctx context.Context) (ConfigurationView, error) {
	var vw ConfigurationView
	return vw, cl.do(ctx, http.MethodGet, "/v1/settings", nil, &vw)
}

// AcceptConfiguration submits a configuration that replaces the expected version.
func (cl *Client) AcceptConfiguration(ctx context.Context, document string, expected table.Version) (ConfigurationView, error) {
	var vw ConfigurationView
	return vw, cl.do(ctx, http.MethodPut, "/v1/settings", AcceptRequest{Document: document, ExpectedVersion: expected}, &vw)
}
