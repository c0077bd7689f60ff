package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// Where the operator's address and token come from when no flag names them.
const (
	envAddress = "ASPENSEAM_ADDRESS"
	envToken   = "ASPENSEAM_TOKEN"
	// envAuthority names the PEM file that entry instances are checked against; without it they are called without TLS.
	envAuthority = "ASPENSEAM_AUTHORITY"
)

// operatorCall holds the flags that every operator's command has.
type operatorCall struct {
	address string
	token   string
	asJSON  bool
	// authority is a PEM file; empty calls without TLS.
	authority string
}

// operatorCommands returns the commands that call an entry instance's operator listener.
func operatorCommands() []command {
	commands := []command{planCommand(), plansCommand(), statusCommand(), auditCommand(), settingsCommand(), jobsCommand(), submitCommand(), cancelCommand(), quotaCommand()}
	for _, call := range []string{"confirm", "pause", "resume", "abort"} {
		commands = append(commands, changeCommand(call))
	}
	return commands
}

// newOperatorCommand returns a subcommand with the common flags.
func newOperatorCommand(name, description string) (*flaggy.Subcommand, *operatorCall) {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	oc := &operatorCall{address: os.Getenv(envAddress), token: os.Getenv(envToken), authority: os.Getenv(envAuthority)}
	sub.String(&oc.address, "a", "address", "operator address of any entry instance; default $"+envAddress)
	sub.String(&oc.token, "t", "token", "operator token; default $"+envToken)
	sub.String(&oc.authority, "c", "authority", "PEM file to check the entry instance against; default $"+envAuthority+", without TLS if none")
	sub.Bool(&oc.asJSON, "j", "json", "print JSON")
	return sub, oc
}

func (oc *operatorCall) client() *operator.Client {
	if oc.authority != "" {
		return operator.NewTLSClient(oc.address, oc.token, oc.authority)
	}
	return operator.NewClient(oc.address, oc.token)
}

// print writes JSON, or the table that the function writes.
func (oc *operatorCall) print(value any, table func(wr io.Writer)) error {
	if oc.asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	table(tw)
	return tw.Flush()
}

// line writes one row of a table; a terminal that is gone needs no telling.
func line(wr io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for ix, cell := range cells {
		texts[ix] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(wr, strings.Join(texts, "\t"))
}

// planCommand proposes a plan for an intent.
func planCommand() command {
	sub, oc := newOperatorCommand("plan", "Propose a plan: reboot, drain, move or return instances. Nothing happens until it is confirmed.")
	var kind, toPool, why string
	var instances, racks, pools, halls []string
	sub.AddPositionalValue(&kind, "kind", 1, true, "reboot, drain, move or return")
	sub.StringSlice(&instances, "i", "instance", "instance; may be repeated")
	sub.StringSlice(&racks, "r", "rack", "all instances of a rack; may be repeated")
	sub.StringSlice(&pools, "p", "pool", "all instances of a pool; may be repeated")
	sub.StringSlice(&halls, "l", "hall", "all instances of a data hall; may be repeated")
	sub.String(&toPool, "o", "to", "pool to move to")
	sub.String(&why, "w", "why", "reason, for the audit trail")
	return command{sub, func(ctx context.Context) error {
		it := operator.Intent{Kind: operator.Kind(kind), Instances: named[table.InstanceID](instances), Racks: named[table.RackID](racks), Pools: named[table.PoolID](pools), Halls: named[table.HallID](halls), ToPool: table.PoolID(toPool), Why: why}
		vw, err := oc.client().Propose(ctx, it)
		if err != nil {
			return err
		}
		return oc.print(vw, func(wr io.Writer) { printPlan(wr, vw) })
	}}
}

func named[T ~string](names []string) []T {
	out := make([]T, len(names))
	for ix, name := range names {
		out[ix] = T(name)
	}
	return out
}

// printPlan writes all that an operator needs to decide on a plan.
func printPlan(wr io.Writer, vw operator.PlanView) {
	es := vw.Estimate
	line(wr, "plan", vw.ID)
	line(wr, "intent", vw.Intent.Kind, vw.Intent.Why)
	line(wr, "by", vw.Author, vw.CreatedAt.Format(time.RFC3339))
	line(wr, "status", vw.Status, fmt.Sprintf("%d of %d instances finished", vw.Finished, vw.Total))
	line(wr, "sessions to move", es.Moves)
	line(wr, "buffer", fmt.Sprintf("%d instances at most, %.1f instance hours", es.BufferPeak, es.BufferHours))
	line(wr, "length", (time.Duration(es.DurationMs) * time.Millisecond).Round(time.Second))
	for _, tc := range vw.BudgetImpacts {
		line(wr, "budget", tc.Service, fmt.Sprintf("%d of %d may be out, %d will be at most", tc.Budget, tc.Asked, tc.MaxOut))
	}
	for number, wv := range vw.Waves {
		note := ""
		if wv.AwaitSessionEnd {
			note = "waits until its sessions have ended"
		}
		line(wr, fmt.Sprintf("wave %d", number+1), wv.Instances, note)
	}
	for _, reason := range vw.Waiting {
		line(wr, "waits", reason)
	}
	if vw.Status == operator.PlanProposed {
		line(wr, "next", "aspenseam confirm "+string(vw.ID))
	}
}

func plansCommand() command {
	sub, oc := newOperatorCommand("plans", "List the plans, or show one whole.")
	var id string
	sub.AddPositionalValue(&id, "plan", 1, false, "plan to show")
	return command{sub, func(ctx context.Context) error {
		if id != "" {
			vw, err := oc.client().Plan(ctx, table.PlanID(id))
			if err != nil {
				return err
			}
			return oc.print(vw, func(wr io.Writer) { printPlan(wr, vw) })
		}
		vws, err := oc.client().Plans(ctx)
		if err != nil {
			return err
		}
		return oc.print(vws, func(wr io.Writer) { printPlans(wr, vws) })
	}}
}

func printPlans(wr io.Writer, vws []operator.PlanView) {
	line(wr, "PLAN", "KIND", "STATUS", "FINISHED", "BY", "WHY", "WAITS FOR")
	for _, vw := range vws {
		line(wr, vw.ID, vw.Intent.Kind, vw.Status, fmt.Sprintf("%d/%d", vw.Finished, vw.Total), vw.Author, vw.Intent.Why, strings.Join(vw.Waiting, "; "))
	}
}

// changeCommand confirms, pauses, resumes or aborts a plan.
func changeCommand(call string) command {
	sub, oc := newOperatorCommand(call, strings.ToUpper(call[:1])+call[1:]+" a plan; doing so twice is the same as once.")
	var id string
	sub.AddPositionalValue(&id, "plan", 1, true, "plan")
	return command{sub, func(ctx context.Context) error {
		vw, err := oc.client().Change(ctx, table.PlanID(id), call)
		if err != nil {
			return err
		}
		return oc.print(vw, func(wr io.Writer) { line(wr, "plan", vw.ID, vw.Status) })
	}}
}

func statusCommand() command {
	sub, oc := newOperatorCommand("status", "Show what an entry instance sees of the fleet.")
	return command{sub, func(ctx context.Context) error {
		st, err := oc.client().Status(ctx)
		if err != nil {
			return err
		}
		return oc.print(st, func(wr io.Writer) { printStatus(wr, st) })
	}}
}

func printStatus(wr io.Writer, st operator.Status) {
	line(wr, "entry", st.Entry, "hall", st.Hall, "version", st.Version, "platform answers", st.Platform)
	line(wr, "INSTANCE", "HALL", "RACK", "POOL", "STATE", "LISTED", "OPEN", "QUEUED")
	for _, in := range st.Instances {
		line(wr, in.ID, in.Hall, in.Rack, in.Pool, in.State, in.Listed, in.InFlight, in.Queued)
	}
}

func auditCommand() command {
	sub, oc := newOperatorCommand("audit", "Show the audit trail: who changed what, when and why.")
	return command{sub, func(ctx context.Context) error {
		lines, err := oc.client().Audit(ctx)
		if err != nil {
			return err
		}
		return oc.print(lines, func(wr io.Writer) {
			line(wr, "AT", "BY", "ACTION", "SUBJECT", "WHY", "PLAN")
			for _, au := range lines {
				line(wr, au.At.Format(time.RFC3339), au.Actor, au.Action, au.Subject, au.Why, au.Plan)
			}
		})
	}}
}

// settingsCommand shows the fleet settings, or offers a file of them.
func settingsCommand() command {
	sub, oc := newOperatorCommand("settings", "Show the fleet settings and what each entry instance runs, or set them from a file.")
	var call, path string
	sub.AddPositionalValue(&call, "call", 1, false, "get or set; default get")
	sub.AddPositionalValue(&path, "file", 2, false, "file to set")
	return command{sub, func(ctx context.Context) error {
		vw, err := oc.client().Configuration(ctx)
		if err != nil {
			return err
		}
		if call == "set" {
			src, err := os.ReadFile(path)
			if err != nil {
				return eris.Wrap(err, "read fleet settings")
			}
			vw, err = oc.client().AcceptConfiguration(ctx, string(src), vw.Version)
			if err != nil {
				return err
			}
		}
		return oc.print(vw, func(wr io.Writer) { printConfiguration(wr, vw) })
	}}
}

func printConfiguration(wr io.Writer, vw operator.ConfigurationView) {
	line(wr, "version", vw.Version, "by", vw.Author)
	for _, fc := range vw.ActiveVersions {
		state := "in force"
		switch {
		case !fc.Reachable:
			state = "cannot be asked"
		case fc.Version < vw.Version:
			state = "not yet in force"
		}
		line(wr, "entry", fc.Entry, fc.Version, state)
	}
	line(wr, vw.Document)
}
