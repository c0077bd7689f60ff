package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/aspenseam/aspenseam/table"
)

// maxRequestBytes limits the body of a request.
const maxRequestBytes = 1 << 20

// PlanView is a plan with its progress.
type PlanView struct {
	Plan
	// Executor is the entry instance that holds the plan's lease.
	Executor table.InstanceID `json:"executor,omitempty"`
	// Waiting lists the reasons for which instances of the plan wait.
	Waiting []string `json:"waiting,omitempty"`
	// Finished counts the instances for which the plan is finished, out of Total.
	Finished int `json:"finished"`
	Total    int `json:"total"`
}

// newPlanView returns a plan with its progress according to a snapshot.
func newPlanView(sn *table.Snapshot, pn *Plan) PlanView {
	vw := PlanView{Plan: *pn, Total: len(pn.instances())}
	for _, id := range pn.instances() {
		if in := sn.Instances[id]; in != nil && in.Done == pn.ID && in.Hold == nil {
			vw.Finished++
		}
	}
	rw, known := sn.Rows[table.RowKey{Table: table.TableLease, Key: string(pn.ID)}]
	if !known || pn.Status.ended() {
		return vw
	}
	if lease, err := table.Decode[PlanLease](rw); err == nil {
		vw.Executor, vw.Waiting = lease.Holder, lease.Waiting
	}
	return vw
}

func (sv *Server) propose(wr http.ResponseWriter, rq *http.Request) {
	var it Intent
	if !decodeRequest(wr, rq, &it) {
		return
	}
	pn, err := sv.manager.Propose(rq.Context(), operatorFromContext(rq.Context()), it)
	sv.writePlan(wr, http.StatusCreated, pn, err)
}

func (sv *Server) confirm(wr http.ResponseWriter, rq *http.Request) {
	pn, err := sv.manager.Confirm(rq.Context(), operatorFromContext(rq.Context()), table.PlanID(rq.PathValue("id")))
	sv.writePlan(wr, http.StatusOK, pn, err)
}

func (sv *Server) change(wr http.ResponseWriter, rq *http.Request) {
	pn, err := sv.manager.Change(rq.Context(), operatorFromContext(rq.Context()), table.PlanID(rq.PathValue("id")), rq.PathValue("call"))
	sv.writePlan(wr, http.StatusOK, pn, err)
}

func (sv *Server) plan(wr http.ResponseWriter, rq *http.Request) {
	pn, _, err := findPlan(sv.snapshots.Snapshot(), table.PlanID(rq.PathValue("id")))
	sv.writePlan(wr, http.StatusOK, pn, err)
}

func (sv *Server) plans(wr http.ResponseWriter, _ *http.Request) {
	sn := sv.snapshots.Snapshot()
	views := []PlanView{}
	for _, pn := range SortedPlans(sn) {
		views = append(views, newPlanView(sn, pn))
	}
	writeJSON(wr, http.StatusOK, views)
}

func (sv *Server) writePlan(wr http.ResponseWriter, status int, pn *Plan, err error) {
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, status, newPlanView(sv.snapshots.Snapshot(), pn))
}

// auditTrail returns the audit entries after a version.
func (sv *Server) auditTrail(wr http.ResponseWriter, rq *http.Request) {
	since, err := strconv.ParseUint(rq.URL.Query().Get("since"), 10, 64)
	if err != nil && rq.URL.Query().Get("since") != "" {
		writeJSON(wr, http.StatusBadRequest, Problem{Message: "since must be a version"})
		return
	}
	cs, err := sv.table.Changes(rq.Context(), table.Version(since), []table.TableName{table.TableAudit})
	if err != nil {
		writeError(wr, err)
		return
	}
	lines := []table.Audit{}
	for _, rw := range cs.Rows {
		if au, err := table.Decode[table.Audit](rw); err == nil {
			lines = append(lines, au)
		}
	}
	writeJSON(wr, http.StatusOK, lines)
}

// decodeRequest decodes the body of a request, or responds with an error and returns false.
func decodeRequest(wr http.ResponseWriter, rq *http.Request, value any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		writeJSON(wr, http.StatusBadRequest, Problem{Message: "the request body cannot be decoded: " + err.Error()})
		return false
	}
	return true
}

// writeError responds with the status and the message for an error of a call.
func writeError(wr http.ResponseWriter, err error) {
	var refused *RefusedError
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &refused):
		writeJSON(wr, http.StatusConflict, Problem{Message: refused.Message, Findings: refused.Findings})
	case errors.Is(err, ErrNotFound):
		writeJSON(wr, http.StatusNotFound, Problem{Message: err.Error()})
	case errors.Is(err, ErrState), errors.As(err, &conflict):
		writeJSON(wr, http.StatusConflict, Problem{Message: err.Error()})
	case errors.Is(err, table.ErrLost):
		writeJSON(wr, http.StatusGatewayTimeout, Problem{Message: "the platform did not confirm whether this took effect; check the state, or call again: it takes effect at most once"})
	default:
		writeJSON(wr, http.StatusServiceUnavailable, Problem{Message: "the platform did not answer; nothing was changed"})
	}
}
