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
	// headKey is the row that every confirmation writes, so that two of them never overlook each other.
	headKey = "head"
	// confirmTries is how often a confirmation is tried again when another plan was confirmed in between.
	confirmTries = 5
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

// Head is the row that lists the plans that may hold instances.
type Head struct {
	Active []table.PlanID `json:"active"`
}

// Desk takes intents and turns them into plans that operators confirm.
type Desk struct {
	table    table.Table
	platform Platform
	rows     Rows
	planner  func() Planner
	now      func() time.Time
}

// NewDesk returns a desk; the planner is asked for at each proposal, so that its weights can change.
func NewDesk(table table.Table, pf Platform, rows Rows, planner func() Planner, now func() time.Time) *Desk {
	return &Desk{table: table, platform: pf, rows: rows, planner: planner, now: now}
}

// fleet returns the fleet as the table is now; it reads on from the snapshot, so that the operator's own last call is in it.
func (dk *Desk) fleet(ctx context.Context) (*table.Snapshot, *Fleet, error) {
	cs, err := dk.table.Changes(ctx, dk.rows.Snapshot().Version, table.FeedTables)
	if err != nil {
		return nil, nil, err
	}
	dk.rows.Merge(cs.Rows, cs.Version)
	usage, err := dk.platform.Usage(ctx)
	if err != nil {
		return nil, nil, err
	}
	sn := dk.rows.Snapshot()
	return sn, FleetOf(sn, usage), nil
}

// Propose makes a plan for an intent and keeps it until it is confirmed.
func (dk *Desk) Propose(ctx context.Context, author Name, it Intent) (*Plan, error) {
	_, ft, err := dk.fleet(ctx)
	if err != nil {
		return nil, err
	}
	planner := dk.planner()
	pn, findings := planner.Propose(ft, it)
	if len(findings) > 0 {
		return nil, &RefusedError{Message: "no plan can be made", Findings: findings}
	}
	pn.ID, pn.Author, pn.CreatedAt = table.PlanID(table.NewID()), author, dk.now().UTC()
	if err := dk.write(ctx, author, "propose", pn, 0); err != nil {
		return nil, err
	}
	return pn, nil
}

// write puts a plan's row over a version, with its line of audit.
func (dk *Desk) write(ctx context.Context, author Name, action string, pn *Plan, over table.Version, more ...table.Write) error {
	raw, err := table.Encode(pn)
	if err != nil {
		return err
	}
	writes := append([]table.Write{{Table: table.TablePlan, Key: string(pn.ID), IfVersion: over, Value: raw}}, more...)
	au := table.Audit{Actor: string(author), Action: action, Subject: "plan " + string(pn.ID), Why: pn.Intent.Why, Plan: string(pn.ID), At: dk.now().UTC()}
	version, err := table.CommitOnce(ctx, dk.table, au, writes...)
	if err != nil {
		return err
	}
	rows := make([]table.Row, len(writes))
	for ix, wt := range writes {
		rows[ix] = table.Row{Table: wt.Table, Key: wt.Key, Version: version, Value: wt.Value}
	}
	dk.rows.Committed(rows)
	return nil
}

// Confirm starts a plan if the fleet is still as the plan was made from; confirming twice is the same as once.
func (dk *Desk) Confirm(ctx context.Context, author Name, id table.PlanID) (*Plan, error) {
	var conflict *table.ConflictError
	for range confirmTries {
		pn, err := dk.confirm(ctx, author, id)
		if !errors.As(err, &conflict) {
			return pn, err
		}
	}
	return nil, eris.Wrap(ErrState, "other plans are being confirmed; try again")
}

func (dk *Desk) confirm(ctx context.Context, author Name, id table.PlanID) (*Plan, error) {
	sn, ft, err := dk.fleet(ctx)
	if err != nil {
		return nil, err
	}
	pn, version, err := planOf(sn, id)
	if err != nil {
		return nil, err
	}
	if pn.Status != PlanProposed {
		return pn, confirmedBefore(pn)
	}
	if differences := Differences(pn.Base, Facts(ft, pn)); len(differences) > 0 {
		return nil, &RefusedError{Message: "the fleet has changed since the plan was made; propose it again", Findings: differences}
	}
	if conflicts := Conflicts(activePlans(sn), pn); len(conflicts) > 0 {
		return nil, &RefusedError{Message: "another plan has instances of this one", Findings: conflicts}
	}
	pn.Status = PlanRunning
	head, err := headWrite(sn, pn.ID)
	if err != nil {
		return nil, err
	}
	return pn, dk.write(ctx, author, "confirm", pn, version, head)
}

// confirmedBefore returns no error for a plan that is under way or done.
func confirmedBefore(pn *Plan) error {
	if pn.Status == PlanAborted || pn.Status == PlanAborting {
		return eris.Wrapf(ErrState, "plan is %s", pn.Status)
	}
	return nil
}

// headWrite adds a plan to the active ones.
func headWrite(sn *table.Snapshot, id table.PlanID) (table.Write, error) {
	rw := sn.Rows[table.RowKey{Table: table.TablePlan, Key: headKey}]
	var head Head
	for _, pn := range activePlans(sn) {
		head.Active = append(head.Active, pn.ID)
	}
	head.Active = append(head.Active, id)
	raw, err := table.Encode(head)
	return table.Write{Table: table.TablePlan, Key: headKey, IfVersion: rw.Version, Value: raw}, err
}

// planOf returns a plan and the version of its row.
func planOf(sn *table.Snapshot, id table.PlanID) (*Plan, table.Version, error) {
	rw, known := sn.Rows[table.RowKey{Table: table.TablePlan, Key: string(id)}]
	if !known || rw.Deleted || string(id) == headKey {
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
func (dk *Desk) Change(ctx context.Context, author Name, id table.PlanID, call string) (*Plan, error) {
	tr, known := transitions[call]
	if !known {
		return nil, eris.Wrapf(ErrNotFound, "call %s", call)
	}
	var conflict *table.ConflictError
	for range confirmTries {
		pn, err := dk.change(ctx, author, id, call, tr.from, tr.to)
		if !errors.As(err, &conflict) {
			return pn, err
		}
	}
	return nil, eris.Wrap(ErrState, "the plan is being changed; try again")
}

func (dk *Desk) change(ctx context.Context, author Name, id table.PlanID, call string, from []PlanStatus, to PlanStatus) (*Plan, error) {
	sn, _, err := dk.fleet(ctx)
	if err != nil {
		return nil, err
	}
	pn, version, err := planOf(sn, id)
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
	return pn, dk.write(ctx, author, call, pn, version)
}
