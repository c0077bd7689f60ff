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
	// activeListKey is the row that every confirmation writes, so that two of them never overlook each other.
	activeListKey = "head"
	// maxCommitAttempts is how often a confirmation is tried again when another plan was confirmed in between.
	maxCommitAttempts = 5
)

// Errors of operators' calls.
var (
	// ErrNotFound says that there is no such thing.
	ErrNotFound = errors.New("not found")
	// ErrState says that the plan's state does not allow the call.
	ErrState = errors.New("not possible in this state")
)

// RefusedError says why a call was not carried out; nothing was changed.
type RefusedError struct {
	Message  string
	Findings []string
}

// Error returns the message and all findings.
func (re *RefusedError) Error() string {
	return strings.Join(append([]string{re.Message}, re.Findings...), "; ")
}

// ActiveList is the row that lists the plans that may hold instances.
type ActiveList struct {
	Active []table.PlanID `json:"active"`
}

// Manager takes intents and turns them into plans that operators confirm.
type Manager struct {
	table    table.Table
	platform Platform
	cache    RowCache
	planner  func() Planner
	now      func() time.Time
}

// NewManager returns a desk; the planner is asked for at each proposal, so that its weights can change.
func NewManager(table table.Table, pf Platform, rows RowCache, planner func() Planner, now func() time.Time) *Manager {
	return &Manager{table: table, platform: pf, cache: rows, planner: planner, now: now}
}

// loadFleet returns the loadFleet as the table is now; it reads on from the snapshot, so that the operator's own last call is in it.
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

// Propose makes a plan for an intent and keeps it until it is confirmed.
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

// write puts a plan's row over a version, with its line of audit.
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

// Confirm starts a plan if the fleet is still as the plan was made from; confirming twice is the same as once.
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
		return nil, &RefusedError{Message: "another plan has instances of this one", Findings: conflicts}
	}
	pn.Status = PlanRunning
	head, err := activeListWrite(sn, pn.ID)
	if err != nil {
		return nil, err
	}
	return pn, mg.write(ctx, author, "confirm", pn, version, head)
}

// checkConfirmed returns no error for a plan that is under way or done.
func checkConfirmed(pn *Plan) error {
	if pn.Status == PlanAborted || pn.Status == PlanAborting {
		return eris.Wrapf(ErrState, "plan is %s", pn.Status)
	}
	return nil
}

// activeListWrite adds a plan to the active ones.
func activeListWrite(sn *table.Snapshot, id table.PlanID) (table.Write, error) {
	rw := sn.Rows[table.RowKey{Table: table.TablePlan, Key: activeListKey}]
	var head ActiveList
	for _, pn := range activePlans(sn) {
		head.Active = append(head.Active, pn.ID)
	}
	head.Active = append(head.Active, id)
	raw, err := table.Encode(head)
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

// Conflicts returns whose plans have which instances of a plan.
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

// transitions says which states a plan may be in for a call and what it becomes.
var transitions = map[string]struct {
	from []PlanStatus
	to   PlanStatus
}{
	"pause":  {[]PlanStatus{PlanRunning}, PlanPaused},
	"resume": {[]PlanStatus{PlanPaused}, PlanRunning},
	"abort":  {[]PlanStatus{PlanProposed, PlanRunning, PlanPaused}, PlanAborting},
}

// Change pauses, resumes or aborts a plan; doing so twice is the same as once.
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
		// Nothing was begun, so nothing has to be brought back.
		to = PlanAborted
	}
	pn.Status = to
	return pn, mg.write(ctx, author, call, pn, version)
}
