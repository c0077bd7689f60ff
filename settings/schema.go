package settings

import (
	"fmt"
	"strings"
	"time"
)

const (
	unitBytes = "bytes"
	unitShare = "share"
	unitCount = "count"
	unitIP    = "IP"
	kibibyte  = 1 << 10
	mebibyte  = 1 << 20
)

// field describes one setting: where it stands, what it may hold and where it goes.
type field struct {
	path     string
	doc      string
	unit     string
	required bool
	secret   bool
	// target returns the pointer that the value is stored through.
	target func(*Settings) any
	// defaultValue, low and high hold the type of the target's element; nil means none.
	defaultValue any
	low      any
	high     any
}

// schema is the one list of settings; the parser, the checker and docs/SETTINGS.md follow it.
var schema = []field{
	{path: "entry.id", doc: "Name of this entry instance, unique in the fleet.", required: true, target: func(st *Settings) any { return &st.Entry.ID }},
	{path: "entry.hall", doc: "Data hall in which it runs.", required: true, target: func(st *Settings) any { return &st.Entry.Hall }},
	{path: "entry.callerAddress", doc: "IP and port for callers.", unit: "address", required: true, target: func(st *Settings) any { return &st.Entry.CallerAddress }},
	{path: "entry.peerAddress", doc: "IP and port for other entry instances.", unit: "address", required: true, target: func(st *Settings) any { return &st.Entry.PeerAddress }},
	{path: "entry.operatorAddress", doc: "IP and port for operators and metrics.", unit: "address", required: true, target: func(st *Settings) any { return &st.Entry.OperatorAddress }},
	{path: "entry.sourceIP", doc: "Local IP to open connections from; the system chooses without it.", unit: unitIP, target: func(st *Settings) any { return &st.Entry.SourceIP }, defaultValue: ""},
	{path: "tls.certificateFile", doc: "PEM file of the certificate that all three listeners answer with; read again at SIGHUP.", target: func(st *Settings) any { return &st.TLS.CertificateFile }, defaultValue: ""},
	{path: "tls.keyFile", doc: "PEM file of its key.", target: func(st *Settings) any { return &st.TLS.KeyFile }, defaultValue: ""},
	{path: "tls.authorityFile", doc: "PEM file of the certificates that other entry instances are checked against; required with a certificate.", target: func(st *Settings) any { return &st.TLS.AuthorityFile }, defaultValue: ""},
	{path: "platform.addresses", doc: "IP and port of each platform front end; tried in turn.", unit: "address", required: true, target: func(st *Settings) any { return &st.Platform.Addresses }},
	{path: "platform.pollInterval", doc: "Time between two reads of changes and membership.", target: func(st *Settings) any { return &st.Platform.PollInterval }, defaultValue: time.Second, low: 50 * time.Millisecond, high: 10 * time.Second},
	{path: "platform.timeout", doc: "Longest wait for one answer of the platform.", target: func(st *Settings) any { return &st.Platform.Timeout }, defaultValue: time.Second, low: 50 * time.Millisecond, high: 30 * time.Second},
	{path: "peer.keys", doc: "Fleet keys, newest first; the first signs, all are accepted. At least 16 characters each.", unit: "key", required: true, secret: true, target: func(st *Settings) any { return &st.Peer.Keys }},
	{path: "peer.timeout", doc: "Longest wait for one answer of a peer.", target: func(st *Settings) any { return &st.Peer.Timeout }, defaultValue: 500 * time.Millisecond, low: 20 * time.Millisecond, high: 10 * time.Second},
	{path: "peer.syncInterval", doc: "Time between two comparisons of snapshots with one random peer.", target: func(st *Settings) any { return &st.Peer.SyncInterval }, defaultValue: time.Second, low: 50 * time.Millisecond, high: time.Minute},
	{path: "peer.seeds", doc: "Peer addresses to ask for a snapshot when the platform is down at start.", unit: "address", target: func(st *Settings) any { return &st.Peer.Seeds }, defaultValue: []string(nil)},
	{path: "operators", doc: "Operators by name with their tokens, at least 16 characters each.", unit: "name and token", secret: true, target: func(st *Settings) any { return &st.Operators }, defaultValue: []Operator(nil)},
	{path: "caller.defaultTimeout", doc: "Time for a request that names no deadline.", target: func(st *Settings) any { return &st.Caller.DefaultTimeout }, defaultValue: 10 * time.Second, low: 10 * time.Millisecond, high: 10 * time.Minute},
	{path: "caller.longestRequest", doc: "Longest time that any attempt may run; deadlines beyond it are cut to it.", target: func(st *Settings) any { return &st.Caller.MaxRequestDuration }, defaultValue: 30 * time.Second, low: 100 * time.Millisecond, high: 30 * time.Minute},
	{path: "caller.headerBytes", doc: "Largest header of a request.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.HeaderBytes }, defaultValue: 32 * kibibyte, low: 4 * kibibyte, high: mebibyte},
	{path: "caller.bodyBytes", doc: "Largest body of a request.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.BodyBytes }, defaultValue: mebibyte, low: kibibyte, high: 64 * mebibyte},
	{path: "caller.answerBytes", doc: "Largest answer held back until it is complete; a larger one streams.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.AnswerBytes }, defaultValue: 256 * kibibyte, low: kibibyte, high: 16 * mebibyte},
	{path: "caller.bufferBytes", doc: "Memory for all bodies and answers held at once.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.BufferBytes }, defaultValue: 12 * mebibyte, low: mebibyte, high: 1024 * mebibyte},
	{path: "caller.queueLength", doc: "Requests of one service that may wait for a free slot.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.QueueLength }, defaultValue: 256, low: 0, high: 100000},
	{path: "caller.connections", doc: "Open connections of callers.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.Connections }, defaultValue: 1024, low: 1, high: 100000},
	{path: "caller.headerTimeout", doc: "Longest time in which a header, and a body, must have come in.", target: func(st *Settings) any { return &st.Caller.HeaderTimeout }, defaultValue: 10 * time.Second, low: 50 * time.Millisecond, high: 5 * time.Minute},
	{path: "caller.claimWait", doc: "Time between two writes of claims under load, in which others join the next one; the first goes at once.", target: func(st *Settings) any { return &st.Caller.ClaimInterval }, defaultValue: 20 * time.Millisecond, low: time.Duration(0), high: time.Second},
	{path: "caller.claimGroup", doc: "Most claims in one write.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.ClaimBatchSize }, defaultValue: 128, low: 1, high: 1000},
	{path: "caller.answersKept", doc: "Answers kept in memory for collection.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.AnswersKept }, defaultValue: 4096, low: 0, high: 1000000},
	{path: "caller.answerRetention", doc: "How long an answer is kept in memory for collection.", target: func(st *Settings) any { return &st.Caller.AnswerRetention }, defaultValue: 10 * time.Minute, low: time.Second, high: 24 * time.Hour},
	{path: "caller.claimRetention", doc: "How long the id of an unrepeatable request is remembered; sent again after that it would run again.", target: func(st *Settings) any { return &st.Caller.ClaimRetention }, defaultValue: 72 * time.Hour, low: time.Hour, high: 60 * 24 * time.Hour},
	{path: "endpoint.dialTimeout", doc: "Longest time to connect to an endpoint.", target: func(st *Settings) any { return &st.Endpoint.DialTimeout }, defaultValue: 250 * time.Millisecond, low: 5 * time.Millisecond, high: 10 * time.Second},
	{path: "endpoint.entriesMax", doc: "Most entry instances that can route to one endpoint; its connections are divided by this.", unit: unitCount, target: func(st *Settings) any { return &st.Endpoint.EntriesMax }, defaultValue: 9, low: 1, high: 64},
	{path: "endpoint.retryShare", doc: "Retries allowed for each request, on average.", unit: unitShare, target: func(st *Settings) any { return &st.Endpoint.RetryShare }, defaultValue: 0.1, low: 0.0, high: 1.0},
	{path: "endpoint.retryBurst", doc: "Retries allowed beyond the average at once.", unit: unitCount, target: func(st *Settings) any { return &st.Endpoint.RetryBurst }, defaultValue: 20, low: 0, high: 10000},
	{path: "endpoint.ejectAfter", doc: "Failures in a row after which an endpoint is ejected.", unit: unitCount, target: func(st *Settings) any { return &st.Endpoint.EjectAfter }, defaultValue: 5, low: 1, high: 1000},
	{path: "endpoint.ejectFor", doc: "Time out of routing after the first ejection; doubles with each failed trial.", target: func(st *Settings) any { return &st.Endpoint.EjectFor }, defaultValue: time.Second, low: 10 * time.Millisecond, high: 5 * time.Minute},
	{path: "endpoint.ejectForMax", doc: "Longest time out of routing between two trials.", target: func(st *Settings) any { return &st.Endpoint.EjectForMax }, defaultValue: 10 * time.Second, low: 10 * time.Millisecond, high: time.Hour},
	{path: "endpoint.ejectShareMax", doc: "Largest share of a service's endpoints that may be ejected; beyond it the detector is distrusted.", unit: unitShare, target: func(st *Settings) any { return &st.Endpoint.EjectShareMax }, defaultValue: 0.5, low: 0.0, high: 1.0},
	{path: "endpoint.goneAfter", doc: "Time of refused connections alone after which an endpoint's sessions are moved.", target: func(st *Settings) any { return &st.Endpoint.GoneAfter }, defaultValue: 3 * time.Second, low: 100 * time.Millisecond, high: time.Hour},
	{path: "jobs.taskLease", doc: "How long a job runs on without its placer being heard of. One whose worker is lost is placed again after twice that time; shorter stops jobs in outages of the platform.", target: func(st *Settings) any { return &st.Jobs.TaskLease }, defaultValue: 5 * time.Minute, low: time.Second, high: 24 * time.Hour},
}

// fleetSection begins the paths of fleet settings; the document itself has no such section.
const fleetSection = "fleet"

// fleetSchema is the one list of fleet settings.
var fleetSchema = []field{
	{path: "fleet.weightMoves", doc: "Cost of each session that a plan moves.", target: func(st *Settings) any { return &st.Fleet.WeightMoves }, defaultValue: 1.0, low: 0.0, high: 1e6},
	{path: "fleet.weightBuffer", doc: "Cost of each instance that must be spare: the most that a plan has out of use at once.", target: func(st *Settings) any { return &st.Fleet.WeightBuffer }, defaultValue: 1.0, low: 0.0, high: 1e6},
	{path: "fleet.weightTime", doc: "Cost of each hour that a roll-out takes.", target: func(st *Settings) any { return &st.Fleet.WeightTime }, defaultValue: 1.0, low: 0.0, high: 1e6},
	{path: "fleet.closeTimes", doc: "Times for natural ends of sessions that a plan may choose from, 0s to 24h.", target: func(st *Settings) any { return &st.Fleet.CloseTimes }, defaultValue: []time.Duration{0, 15 * time.Minute, time.Hour, 4 * time.Hour}, low: time.Duration(0), high: 24 * time.Hour},
	{path: "fleet.sessionLength", doc: "Mean length of a session.", target: func(st *Settings) any { return &st.Fleet.SessionLength }, defaultValue: 4 * time.Hour, low: time.Second, high: 60 * 24 * time.Hour},
	{path: "fleet.rebootTime", doc: "Time that an instance takes to stop and start.", target: func(st *Settings) any { return &st.Fleet.RebootTime }, defaultValue: 5 * time.Minute, low: time.Second, high: 4 * time.Hour},
	{path: "fleet.longestPlan", doc: "Time that a plan may take; a longer one is proposed only if none is shorter.", target: func(st *Settings) any { return &st.Fleet.LongestPlan }, defaultValue: 28 * 24 * time.Hour, low: time.Minute, high: 366 * 24 * time.Hour},
	{path: "fleet.retryShare", doc: "Retries allowed for each request, on average; goes before endpoint.retryShare.", unit: unitShare, target: func(st *Settings) any { return &st.Fleet.RetryShare }, defaultValue: 0.1, low: 0.0, high: 1.0},
	{path: "fleet.ejectAfter", doc: "Failures in a row after which an endpoint is ejected; goes before endpoint.ejectAfter.", unit: unitCount, target: func(st *Settings) any { return &st.Fleet.EjectAfter }, defaultValue: 5, low: 1, high: 1000},
	{path: "fleet.ejectShareMax", doc: "Largest share of a service's endpoints that may be ejected; goes before endpoint.ejectShareMax.", unit: unitShare, target: func(st *Settings) any { return &st.Fleet.EjectShareMax }, defaultValue: 0.5, low: 0.0, high: 1.0},
}

// cellsSection begins the paths of settings of cells; the document itself has no such section.
const cellsSection = "cells"

// cellsSchema is the one list of settings of cells of jobs.
var cellsSchema = []field{
	{path: "cells.lease", doc: "How long a task runs on without its owner being heard of. Longer survives slower takeovers, shorter replaces lost workers sooner. Workers may cut it down.", target: func(st *Settings) any { return &st.Cells.Lease }, defaultValue: 5 * time.Second, low: time.Second, high: time.Minute},
	{path: "cells.renewFor", doc: "How long leases are renewed after the ownership was last confirmed; with a lease it must outlast outages of the store.", target: func(st *Settings) any { return &st.Cells.RenewalWindow }, defaultValue: 7 * time.Second, low: time.Second, high: 10 * time.Minute},
	{path: "cells.lookGap", doc: "Least time between two looks at a worker. Longer saves looks, shorter notes ends sooner.", target: func(st *Settings) any { return &st.Cells.PollInterval }, defaultValue: 60 * time.Millisecond, low: 5 * time.Millisecond, high: time.Second},
	{path: "cells.margin", doc: "By how much a pool's size exceeds what its open jobs need.", target: func(st *Settings) any { return &st.Cells.Margin }, defaultValue: 1.25, low: 1.0, high: 10.0},
	{path: "cells.standby", doc: "Share of an even part of all machines that a pool keeps whose jobs cannot wait for a move. Higher costs buffer, lower makes bursts late.", unit: unitShare, target: func(st *Settings) any { return &st.Cells.Standby }, defaultValue: 0.35, low: 0.0, high: 1.0},
	{path: "cells.standbyLong", doc: "The same for a pool whose jobs can wait for a move.", unit: unitShare, target: func(st *Settings) any { return &st.Cells.StandbyLong }, defaultValue: 0.2, low: 0.0, high: 1.0},
	{path: "cells.idleFor", doc: "How long a machine must be idle before it is switched off. Longer saves moves, shorter saves buffer.", target: func(st *Settings) any { return &st.Cells.IdleFor }, defaultValue: 2 * time.Second, low: 100 * time.Millisecond, high: time.Hour},
	{path: "cells.ahead", doc: "How far the growth of a pool's need is continued: the time until a machine that is wanted now works.", target: func(st *Settings) any { return &st.Cells.GrowthHorizon }, defaultValue: 2500 * time.Millisecond, low: time.Duration(0), high: time.Minute},
}

// typeName returns the word for the field's type that users see.
func (fl field) typeName() string {
	switch fl.target(&Settings{}).(type) {
	case *string:
		return "string"
	case *[]string:
		return "list of strings"
	case *[]Operator:
		return "list of objects"
	case *time.Duration:
		return "duration"
	case *[]time.Duration:
		return "list of durations"
	case *int:
		return "integer"
	case *float64:
		return "number"
	}
	return "unknown"
}

// Markdown returns the schema as the page docs/SETTINGS.md.
func Markdown() string {
	var sb strings.Builder
	sb.WriteString("# Settings\n\nGenerated from package `settings` by `go test ./settings -update`. The file is JSON with comments; `aspenseam check FILE` reports every finding with line and column. Durations are written like `250ms`, `10s` or `5m`.\n\n")
	sb.WriteString("| setting | type | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	writeTable(&sb, schema, "")
	sb.WriteString("\n## Fleet settings\n\nThese are accepted by `aspenseam settings set FILE` and are in force on every entry instance within seconds; the file holds them without a section.\n\n")
	sb.WriteString("| setting | type | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	writeTable(&sb, fleetSchema, fleetSection+".")
	sb.WriteString("\n## Cells of jobs\n\nThese stand in the file that `aspenseam serve --cells FILE` reads at its start, without a section; without a file the defaults hold.\n\n")
	sb.WriteString("| setting | type | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	writeTable(&sb, cellsSchema, cellsSection+".")
	return sb.String()
}

func writeTable(sb *strings.Builder, fields []field, prefix string) {
	for _, fl := range fields {
		fmt.Fprintf(sb, "| `%s` | %s | %s | %s | %s | %s |\n", strings.TrimPrefix(fl.path, prefix), fl.typeName(), fl.unit, fl.defaultText(), fl.boundsText(), fl.docText())
	}
}

func (fl field) defaultText() string {
	switch vl := fl.defaultValue.(type) {
	case nil:
		return "required"
	case []string, []Operator:
		return "none"
	case string:
		if vl == "" {
			return "none"
		}
		return vl
	default:
		return fmt.Sprint(vl)
	}
}

func (fl field) boundsText() string {
	if fl.low == nil {
		return ""
	}
	return fmt.Sprintf("%v to %v", fl.low, fl.high)
}

func (fl field) docText() string {
	if fl.secret {
		return fl.doc + " Never logged."
	}
	return fl.doc
}
