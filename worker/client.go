package worker

import (
	"context"
	"strconv"

	"github.com/aspenseam/aspenseam/table"
)

// Transport sends tasks to workers and fetches their reports.
type Transport interface {
	PostTask(ctx context.Context, id table.InstanceID, task any) error
	DeleteTask(ctx context.Context, id table.InstanceID, task, attempt string, checkpoint bool) error
	TaskReports(ctx context.Context, reports any) error
}

// Client implements Workers over the platform.
type Client struct {
	transport Transport
}

// NewClient returns a client that uses the transport.
func NewClient(transport Transport) *Client {
	return &Client{transport: transport}
}

// Start starts a task, or renews its lease.
func (cl *Client) Start(ctx context.Context, tk Task) error {
	return cl.transport.PostTask(ctx, tk.Instance, tk)
}

// Stop stops an attempt. If checkpoint is set, the task writes a checkpoint first.
func (cl *Client) Stop(ctx context.Context, id table.InstanceID, job JobID, at Attempt, checkpoint bool) error {
	return cl.transport.DeleteTask(ctx, id, string(job), strconv.Itoa(int(at)), checkpoint)
}

// Reports returns the last reports of the workers.
func (cl *Client) Reports(ctx context.Context) ([]Report, error) {
	var reports []Report
	return reports, cl.transport.TaskReports(ctx, &reports)
}
