package table

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// PostTask hands a task to a worker through the platform; what a task is, only the worker's package knows.
func (cl *Client) PostTask(ctx context.Context, id InstanceID, task any) error {
	cl.write.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).SetPathParam("id", string(id)).SetBody(task).Post(cl.url("/v1/instance/{id}/tasks"))
	if err != nil {
		return eris.Wrapf(ErrLost, "task on %s: %v", id, err)
	}
	if rp.StatusCode() == http.StatusNotFound {
		return eris.Wrapf(ErrNoTask, "task on %s", id)
	}
	if rp.IsError() {
		return eris.Wrapf(ErrNotApplied, "task on %s: status %d %s", id, rp.StatusCode(), rp.String())
	}
	return nil
}

// DeleteTask stops a task on a worker through the platform.
func (cl *Client) DeleteTask(ctx context.Context, id InstanceID, task, attempt string, checkpoint bool) error {
	cl.write.Add(1)
	rq := cl.rc.R().SetContext(ctx).SetPathParams(map[string]string{"id": string(id), "task": task, "attempt": attempt})
	if checkpoint {
		rq.SetQueryParam("checkpoint", "1")
	}
	rp, err := rq.Delete(cl.url("/v1/instance/{id}/tasks/{task}/{attempt}"))
	if err != nil {
		return eris.Wrapf(ErrLost, "stop task on %s: %v", id, err)
	}
	if rp.IsError() {
		return eris.Wrapf(ErrNotApplied, "stop task on %s: status %d", id, rp.StatusCode())
	}
	return nil
}

// TaskReports returns what workers last said of their tasks, into a list that the caller gives.
func (cl *Client) TaskReports(ctx context.Context, reports any) error {
	cl.reads.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).Get(cl.url("/v1/tasks"))
	if err != nil {
		return eris.Wrapf(ErrLost, "task reports: %v", err)
	}
	if rp.StatusCode() != http.StatusOK {
		return eris.Wrapf(ErrLost, "task reports: status %d", rp.StatusCode())
	}
	return eris.Wrap(json.Unmarshal(rp.Body(), reports), "decode task reports")
}
