package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
)

const (
	// activeListKey is the key of the row with the list of active plans. Every confirmation writes this row, so that of two concurrent
	// confirmations one gets a conflict.
	activeListKey = "head"
	// maxCommitAttempts bounds the attempts to confirm or change a plan when other commits conflict.
	maxCommitAttempts = 5
)

// Errors of operator calls.
var (
	// ErrNotFound says that the requested object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrState says that the plan's status does not allow the call.
	ErrState = errors.New("not allowed in this state")
)

// RefusedError explains why a call was refused. A refused call has changed nothing.
type RefusedError struct {
	Message  string
	Findings []string
}

// Error returns the message and all findings.
func (re *RefusedError) Error() string {
	return strings.Join(append([]string{re.Message}, re.Findings...), "; ")
}

// ActiveList is the row that lists the active plans, which are those that may hold instances.
type ActiveList struct {
	Active []table.PlanID `json:"active"`
}

// Manager creates plans from operators' intents and handles operators' changes to plans, jobs, quotas and fleet settings.
type Manager struct {
	table    table.Table
	platform Platform
	cache    RowCache
	planner  func() Planner
	now      func() time.Time
}

// NewManager returns a Manager. It calls planner for each proposal, so that changed weights take effect.
func NewManager(table table.Table, pf Platform, rows RowCache, planner func() Planner, now func() time.Time) *Manager {
	return &Manager{table: table, platform: pf, cache: rows, planner: planner, now: now}
}

// loadFleet reads the rows that changed since the snapshot and returns the current fleet. An operator's own previous call is therefore
// always included.
func (mg *Manager) loadFleet(ctx context.Context) (*table.Snapshot, *Fleet, error) {
	cs, err := mg.table.Changes(ctx, mg.cache.Snapshot().Version, table.FeedTables)
	if err != nil {
		return nil, nil, err
	}
	mg.cache.Merge(cs.Rows, cs.Version)
	usage, err := mg.platform.Usage(ctx)
	if err != nil {
		return nil, nil, err
	}
	sn := mg.cache.Snapshot()
	return sn, NewFleet(sn, usage), nil
}

// Propose creates a plan for an intent and stores it as proposed.
func (mg *Manager) Propose(ctx context.Context, author Name, it Intent) (*Plan, error) {
	_, ft, err := mg.loadFleet(ctx)
	if err != nil {
		return nil, err
	}
	planner := mg.planner()
	pn, findings := planner.Propose(ft, it)
	if len(findings) > 0 {
		return nil, &RefusedError{Message: "no plan can be made", Findings: findings}
	}
	pn.ID, pn.Author, pn.CreatedAt = table.PlanID(table.NewID()), author, mg.now().UTC()
	if err := mg.write(ctx, author, "propose", pn, 0); err != nil {
		return nil, err
	}
	return pn, nil
}

// write commits a plan's row and its audit entry, conditional on the expected version of the row.
func (mg *Manager) write(ctx context.Context, author Name, action string, pn *Plan, expected table.Version, more ...table.Write) error {
	raw, err := table.Encode(pn)
	if err != nil {
		return err
	}
	writes := append([]table.Write{{Table: table.TablePlan, Key: string(pn.ID), IfVersion: expected, Value: raw}}, more...)
	au := table.Audit{Actor: string(author), Action: action, Subject: "plan " + string(pn.ID), Why: pn.Intent.Why, Plan: string(pn.ID), At: mg.now().UTC()}
	version, err := table.CommitOnce(ctx, mg.table, au, writes...)
	if err != nil {
		return err
	}
	rows := make([]table.Row, len(writes))
	for ix, wt := range writes {
		rows[ix] = table.Row{Table: wt.Table, Key: wt.Key, Version: version, Value: wt.Value}
	}
	mg.cache.Committed(rows)
	return nil
}

// Confirm starts a plan if the preconditions of the plan still hold. Repeating a confirmation has no further effect.
func (mg *Manager) Confirm(ctx context.Context, author Name, id table.PlanID) (*Plan, error) {
	var conflict *table.ConflictError
	for range maxCommitAttempts {
		pn, err := mg.confirm(ctx, author, id)
		if !errors.As(err, &conflict) {
			return pn, err
		}
	}
	return nil, eris.Wrap(ErrState, "other plans are being confirmed; try again")
}

func (mg *Manager) confirm(ctx context.Context, author Name, id table.PlanID) (*Plan, error) {
	sn, ft, err := mg.loadFleet(ctx)
	if err != nil {
		return nil, err
	}
	pn, version, err := findPlan(sn, id)
	if err != nil {
		return nil, err
	}
	if pn.Status != PlanProposed {
		return pn, checkConfirmed(pn)
	}
	if differences := Differences(pn.Preconditions, Preconditions(ft, pn)); len(differences) > 0 {
		return nil, &RefusedError{Message: "the fleet has changed since the plan was made; propose it again", Findings: differences}
	}
	if conflicts := Conflicts(activePlans(sn), pn); len(conflicts) > 0 {
		return nil, &RefusedError{Message: "another plan includes the same instances", Findings: conflicts}
	}
	pn.Status = PlanRunning
	listWrite, err := activeListWrite(sn, pn.ID)
	if err != nil {
		return nil, err
	}
	return pn, mg.write(ctx, author, "confirm", pn, version, listWrite)
}

// checkConfirmed returns an error if the plan was aborted, and nil if it has already started or is done.
func checkConfirmed(pn *Plan) error {
	if pn.Status == PlanAborted || pn.Status == PlanAborting {
		return eris.Wrapf(ErrState, "plan is %s", pn.Status)
	}
	return nil
}

// activeListWrite returns the write that adds a plan to the list of active plans.
func activeListWrite(sn *table.Snapshot, id table.PlanID) (table.Write, error) {
	rw := sn.Rows[table.RowKey{Table: table.TablePlan, Key: activeListKey}]
	var list ActiveList
	for _, pn := range activePlans(sn) {
		list.Active = append(list.Active, pn.ID)
	}
	list.Active = append(list.Active, id)
	raw, err := table.Encode(list)
	return table.Write{Table: table.TablePlan, Key: activeListKey, IfVersion: rw.Version, Value: raw}, err
}

// findPlan returns a plan and the version of its row.
func findPlan(sn *table.Snapshot, id table.PlanID) (*Plan, table.Version, error) {
	rw, known := sn.Rows[table.RowKey{Table: table.TablePlan, Key: string(id)}]
	if !known || rw.Deleted || string(id) == activeListKey {
		return nil, 0, eris.Wrapf(ErrNotFound, "plan %s", id)
	}
	pn, err := table.Decode[Plan](rw)
	pn.version = rw.Version
	return &pn, rw.Version, err
}

// Conflicts lists the instances of a plan that are also in another active plan, one sentence for each.
func Conflicts(plans []*Plan, pn *Plan) []string {
	var conflicts []string
	for _, other := range plans {
		if other.ID == pn.ID || !other.Status.active() {
			continue
		}
		for _, id := range other.instances() {
			if slices.Contains(pn.instances(), id) {
				conflicts = append(conflicts, fmt.Sprintf("instance %s is in plan %s of %s (%s)", id, other.ID, other.Author, other.Intent.Why))
			}
		}
	}
	return conflicts
}

// transitions maps each call to the statuses that allow it and the resulting status.
var transitions = map[string]struct {
	from []PlanStatus
	to   PlanStatus
}{
	"pause":  {[]PlanStatus{PlanRunning}, PlanPaused},
	"resume": {[]PlanStatus{PlanPaused}, PlanRunning},
	"abort":  {[]PlanStatus{PlanProposed, PlanRunning, PlanPaused}, PlanAborting},
}

// Change pauses, resumes or aborts a plan. Repeating a call has no further effect.
func (mg *Manager) Change(ctx context.Context, author Name, id table.PlanID, call string) (*Plan, error) {
	tr, known := transitions[call]
	if !known {
		return nil, eris.Wrapf(ErrNotFound, "call %s", call)
	}
	var conflict *table.ConflictError
	for range maxCommitAttempts {
		pn, err := mg.change(ctx, author, id, call, tr.from, tr.to)
		if !errors.As(err, &conflict) {
			return pn, err
		}
	}
	return nil, eris.Wrap(ErrState, "the plan is being changed; try again")
}

func (mg *Manager) change(ctx context.Context, author Name, id table.PlanID, call string, from []PlanStatus, to PlanStatus) (*Plan, error) {
	sn, _, err := mg.loadFleet(ctx)
	if err != nil {
		return nil, err
	}
	pn, version, err := findPlan(sn, id)
	if err != nil {
		return nil, err
	}
	if pn.Status == to || to == PlanAborting && pn.Status == PlanAborted {
		return pn, nil
	}
	if !slices.Contains(from, pn.Status) {
		return nil, eris.Wrapf(ErrState, "plan is %s", pn.Status)
	}
	if pn.Status == PlanProposed {
		// The plan has not started, so there is nothing to roll back.
		to = PlanAborted
	}
	pn.Status = to
	return pn, mg.write(ctx, author, call, pn, version)
}
