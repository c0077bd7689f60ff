package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	unitBytes = "bytes"
	unitShare = "share"
	unitCount = "count"
	unitIP    = "IP"
	kibibyte  = 1 << 10
	mebibyte  = 1 << 20
)

// field describes one setting: its path, its type and bounds, and the struct field that stores it.
type field struct {
	path     string
	doc      string
	unit     string
	required bool
	secret   bool
	// target returns a pointer to the struct field that stores the value.
	target func(*Settings) any
	// defaultValue, low and high have the element type of target. nil means that there is no default or bound.
	defaultValue any
	low          any
	high         any
}

// schema lists all settings of the settings file. The parser, the checks and docs/SETTINGS.md are derived from it.
var schema = []field{
	{path: "entry.id", doc: "Name of this entry instance, unique in the fleet.", required: true, target: func(st *Settings) any { return &st.Entry.ID }},
	{path: "entry.hall", doc: "Data hall of this entry instance.", required: true, target: func(st *Settings) any { return &st.Entry.Hall }},
	{path: "entry.callerAddress", doc: "IP and port for callers.", unit: "address", required: true, target: func(st *Settings) any { return &st.Entry.CallerAddress }},
	{path: "entry.peerAddress", doc: "IP and port for other entry instances.", unit: "address", required: true, target: func(st *Settings) any { return &st.Entry.PeerAddress }},
	{path: "entry.operatorAddress", doc: "IP and port for operators and metrics.", unit: "address", required: true, target: func(st *Settings) any { return &st.Entry.OperatorAddress }},
	{path: "entry.sourceIP", doc: "Local IP for outgoing connections; chosen by the operating system if empty.", unit: unitIP, target: func(st *Settings) any { return &st.Entry.SourceIP }, defaultValue: ""},
	{path: "tls.certificateFile", doc: "PEM file of the server certificate of all three listeners; reloaded on SIGHUP.", target: func(st *Settings) any { return &st.TLS.CertificateFile }, defaultValue: ""},
	{path: "tls.keyFile", doc: "PEM file of the certificate's private key.", target: func(st *Settings) any { return &st.TLS.KeyFile }, defaultValue: ""},
	{path: "tls.authorityFile", doc: "PEM file of the CA certificates that verify other entry instances; required with a certificate.", target: func(st *Settings) any { return &st.TLS.AuthorityFile }, defaultValue: ""},
	{path: "platform.addresses", doc: "IP and port of each platform front end; tried in turn.", unit: "address", required: true, target: func(st *Settings) any { return &st.Platform.Addresses }},
	{path: "platform.pollInterval", doc: "Interval at which changes and membership are polled.", target: func(st *Settings) any { return &st.Platform.PollInterval }, defaultValue: time.Second, low: 50 * time.Millisecond, high: 10 * time.Second},
	{path: "platform.timeout", doc: "Timeout of a call to the platform.", target: func(st *Settings) any { return &st.Platform.Timeout }, defaultValue: time.Second, low: 50 * time.Millisecond, high: 30 * time.Second},
	{path: "peer.keys", doc: "Fleet keys, newest first. The first one signs, all are accepted. At least 16 characters each.", unit: "key", required: true, secret: true, target: func(st *Settings) any { return &st.Peer.Keys }},
	{path: "peer.timeout", doc: "Timeout of a call to a peer.", target: func(st *Settings) any { return &st.Peer.Timeout }, defaultValue: 500 * time.Millisecond, low: 20 * time.Millisecond, high: 10 * time.Second},
	{path: "peer.syncInterval", doc: "Interval at which the snapshot is compared with that of a random peer.", target: func(st *Settings) any { return &st.Peer.SyncInterval }, defaultValue: time.Second, low: 50 * time.Millisecond, high: time.Minute},
	{path: "peer.seeds", doc: "Addresses of peers from which a snapshot is fetched if the platform is down at start.", unit: "address", target: func(st *Settings) any { return &st.Peer.Seeds }, defaultValue: []string(nil)},
	{path: "operators", doc: "Operators by name with their tokens, at least 16 characters each.", unit: "name and token", secret: true, target: func(st *Settings) any { return &st.Operators }, defaultValue: []Operator(nil)},
	{path: "caller.defaultTimeout", doc: "Timeout of a request without a deadline.", target: func(st *Settings) any { return &st.Caller.DefaultTimeout }, defaultValue: 10 * time.Second, low: 10 * time.Millisecond, high: 10 * time.Minute},
	{path: "caller.longestRequest", doc: "Maximum duration of an attempt; later deadlines are shortened to it.", target: func(st *Settings) any { return &st.Caller.MaxRequestDuration }, defaultValue: 30 * time.Second, low: 100 * time.Millisecond, high: 30 * time.Minute},
	{path: "caller.headerBytes", doc: "Maximum size of a request header.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.HeaderBytes }, defaultValue: 32 * kibibyte, low: 4 * kibibyte, high: mebibyte},
	{path: "caller.bodyBytes", doc: "Maximum size of a request body.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.BodyBytes }, defaultValue: mebibyte, low: kibibyte, high: 64 * mebibyte},
	{path: "caller.answerBytes", doc: "Maximum size of an answer that is buffered until it is complete; a larger one is streamed.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.AnswerBytes }, defaultValue: 256 * kibibyte, low: kibibyte, high: 16 * mebibyte},
	{path: "caller.bufferBytes", doc: "Memory for all buffered bodies and answers.", unit: unitBytes, target: func(st *Settings) any { return &st.Caller.BufferBytes }, defaultValue: 12 * mebibyte, low: mebibyte, high: 1024 * mebibyte},
	{path: "caller.queueLength", doc: "Maximum number of requests of one service that wait for a free slot.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.QueueLength }, defaultValue: 256, low: 0, high: 100000},
	{path: "caller.connections", doc: "Maximum number of open caller connections.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.Connections }, defaultValue: 1024, low: 1, high: 100000},
	{path: "caller.headerTimeout", doc: "Timeout for reading a header, and for reading a body.", target: func(st *Settings) any { return &st.Caller.HeaderTimeout }, defaultValue: 10 * time.Second, low: 50 * time.Millisecond, high: 5 * time.Minute},
	{path: "caller.claimWait", doc: "Interval between writes of claims under load; claims that arrive meanwhile are batched into the next write. The first claim is written at once.", target: func(st *Settings) any { return &st.Caller.ClaimInterval }, defaultValue: 20 * time.Millisecond, low: time.Duration(0), high: time.Second},
	{path: "caller.claimGroup", doc: "Maximum number of claims in one write.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.ClaimBatchSize }, defaultValue: 128, low: 1, high: 1000},
	{path: "caller.answersKept", doc: "Maximum number of answers kept in memory for collection.", unit: unitCount, target: func(st *Settings) any { return &st.Caller.AnswersKept }, defaultValue: 4096, low: 0, high: 1000000},
	{path: "caller.answerRetention", doc: "How long an answer is kept in memory for collection.", target: func(st *Settings) any { return &st.Caller.AnswerRetention }, defaultValue: 10 * time.Minute, low: time.Second, high: 24 * time.Hour},
	{path: "caller.claimRetention", doc: "How long the id of an unrepeatable request is stored. A request that is sent again later runs again.", target: func(st *Settings) any { return &st.Caller.ClaimRetention }, defaultValue: 72 * time.Hour, low: time.Hour, high: 60 * 24 * time.Hour},
	{path: "endpoint.dialTimeout", doc: "Timeout for connecting to an endpoint.", target: func(st *Settings) any { return &st.Endpoint.DialTimeout }, defaultValue: 250 * time.Millisecond, low: 5 * time.Millisecond, high: 10 * time.Second},
	{path: "endpoint.entriesMax", doc: "Maximum number of entry instances that route to one endpoint; its connections are divided by this number.", unit: unitCount, target: func(st *Settings) any { return &st.Endpoint.EntriesMax }, defaultValue: 9, low: 1, high: 64},
	{path: "endpoint.retryShare", doc: "Average number of retries allowed per request.", unit: unitShare, target: func(st *Settings) any { return &st.Endpoint.RetryShare }, defaultValue: 0.1, low: 0.0, high: 1.0},
	{path: "endpoint.retryBurst", doc: "Burst of retries allowed above the average.", unit: unitCount, target: func(st *Settings) any { return &st.Endpoint.RetryBurst }, defaultValue: 20, low: 0, high: 10000},
	{path: "endpoint.ejectAfter", doc: "Consecutive failures after which an endpoint is ejected.", unit: unitCount, target: func(st *Settings) any { return &st.Endpoint.EjectAfter }, defaultValue: 5, low: 1, high: 1000},
	{path: "endpoint.ejectFor", doc: "Duration of the first ejection; doubles with each failed probe.", target: func(st *Settings) any { return &st.Endpoint.EjectFor }, defaultValue: time.Second, low: 10 * time.Millisecond, high: 5 * time.Minute},
	{path: "endpoint.ejectForMax", doc: "Maximum duration of an ejection between two probes.", target: func(st *Settings) any { return &st.Endpoint.EjectForMax }, defaultValue: 10 * time.Second, low: 10 * time.Millisecond, high: time.Hour},
	{path: "endpoint.ejectShareMax", doc: "Maximum share of a service's endpoints that may be ejected; above it the failure detector is considered unreliable.", unit: unitShare, target: func(st *Settings) any { return &st.Endpoint.EjectShareMax }, defaultValue: 0.5, low: 0.0, high: 1.0},
	{path: "endpoint.goneAfter", doc: "How long an endpoint must refuse every connection before its sessions are moved.", target: func(st *Settings) any { return &st.Endpoint.GoneAfter }, defaultValue: 3 * time.Second, low: 100 * time.Millisecond, high: time.Hour},
	{path: "jobs.taskLease", doc: "How long a job runs on without contact to its placer. A job whose worker is lost is placed again after twice that time. A shorter lease stops jobs during platform outages.", target: func(st *Settings) any { return &st.Jobs.TaskLease }, defaultValue: 5 * time.Minute, low: time.Second, high: 24 * time.Hour},
}

// fleetSection is the path prefix of fleet settings in the schema. The document has no such section.
const fleetSection = "fleet"

// fleetSchema lists all fleet settings.
var fleetSchema = []field{
	{path: "fleet.weightMoves", doc: "Cost per session that a plan moves.", target: func(st *Settings) any { return &st.Fleet.WeightMoves }, defaultValue: 1.0, low: 0.0, high: 1e6},
	{path: "fleet.weightBuffer", doc: "Cost per spare instance that a plan needs: the maximum number of instances out of service at once.", target: func(st *Settings) any { return &st.Fleet.WeightBuffer }, defaultValue: 1.0, low: 0.0, high: 1e6},
	{path: "fleet.weightTime", doc: "Cost per hour of a roll-out.", target: func(st *Settings) any { return &st.Fleet.WeightTime }, defaultValue: 1.0, low: 0.0, high: 1e6},
	{path: "fleet.closeTimes", doc: "Times that a plan may wait for sessions to end before they are moved; it chooses one of them, 0s to 24h.", target: func(st *Settings) any { return &st.Fleet.CloseTimes }, defaultValue: []time.Duration{0, 15 * time.Minute, time.Hour, 4 * time.Hour}, low: time.Duration(0), high: 24 * time.Hour},
	{path: "fleet.sessionLength", doc: "Mean duration of a session.", target: func(st *Settings) any { return &st.Fleet.SessionLength }, defaultValue: 4 * time.Hour, low: time.Second, high: 60 * 24 * time.Hour},
	{path: "fleet.rebootTime", doc: "Time for an instance to stop and start.", target: func(st *Settings) any { return &st.Fleet.RebootTime }, defaultValue: 5 * time.Minute, low: time.Second, high: 4 * time.Hour},
	{path: "fleet.longestPlan", doc: "Maximum duration of a plan; a longer one is proposed only if no shorter one exists.", target: func(st *Settings) any { return &st.Fleet.LongestPlan }, defaultValue: 28 * 24 * time.Hour, low: time.Minute, high: 366 * 24 * time.Hour},
	{path: "fleet.retryShare", doc: "Average number of retries allowed per request; overrides endpoint.retryShare.", unit: unitShare, target: func(st *Settings) any { return &st.Fleet.RetryShare }, defaultValue: 0.1, low: 0.0, high: 1.0},
	{path: "fleet.ejectAfter", doc: "Consecutive failures after which an endpoint is ejected; overrides endpoint.ejectAfter.", unit: unitCount, target: func(st *Settings) any { return &st.Fleet.EjectAfter }, defaultValue: 5, low: 1, high: 1000},
	{path: "fleet.ejectShareMax", doc: "Maximum share of a service's endpoints that may be ejected; overrides endpoint.ejectShareMax.", unit: unitShare, target: func(st *Settings) any { return &st.Fleet.EjectShareMax }, defaultValue: 0.5, low: 0.0, high: 1.0},
}

// cellsSection is the path prefix of cell settings in the schema. The document has no such section.
const cellsSection = "cells"

// cellsSchema lists all settings of job cells.
var cellsSchema = []field{
	{path: "cells.lease", doc: "How long a task runs on without contact to its owner. A longer lease survives slower takeovers, a shorter one replaces lost workers sooner. Workers may shorten it.", target: func(st *Settings) any { return &st.Cells.Lease }, defaultValue: 5 * time.Second, low: time.Second, high: time.Minute},
	{path: "cells.renewFor", doc: "How long leases are renewed after the ownership was last confirmed. Together with a lease, it must be longer than outages of the store.", target: func(st *Settings) any { return &st.Cells.RenewalWindow }, defaultValue: 7 * time.Second, low: time.Second, high: 10 * time.Minute},
	{path: "cells.lookGap", doc: "Minimum time between two polls of a worker. A longer time saves polls, a shorter one detects ended tasks sooner.", target: func(st *Settings) any { return &st.Cells.PollInterval }, defaultValue: 60 * time.Millisecond, low: 5 * time.Millisecond, high: time.Second},
	{path: "cells.margin", doc: "Factor by which a pool's size exceeds the demand of its open jobs.", target: func(st *Settings) any { return &st.Cells.Margin }, defaultValue: 1.25, low: 1.0, high: 10.0},
	{path: "cells.standby", doc: "Machines that a pool keeps whose jobs cannot wait for machines to move, as a share of an equal split of all machines among the pools. Higher costs buffer, lower delays bursts.", unit: unitShare, target: func(st *Settings) any { return &st.Cells.Standby }, defaultValue: 0.35, low: 0.0, high: 1.0},
	{path: "cells.standbyLong", doc: "The same for a pool whose jobs can wait for machines to move.", unit: unitShare, target: func(st *Settings) any { return &st.Cells.StandbyLong }, defaultValue: 0.2, low: 0.0, high: 1.0},
	{path: "cells.idleFor", doc: "How long a machine must be idle before it is switched off. A longer time saves moves, a shorter one saves buffer.", target: func(st *Settings) any { return &st.Cells.IdleFor }, defaultValue: 2 * time.Second, low: 100 * time.Millisecond, high: time.Hour},
	{path: "cells.ahead", doc: "How far ahead the growth of a pool's demand is extrapolated: the time until a machine that is requested now can run tasks.", target: func(st *Settings) any { return &st.Cells.Lookahead }, defaultValue: 2500 * time.Millisecond, low: time.Duration(0), high: time.Minute},
	{path: "cells.admission", doc: "Whether a job is accepted only if, while machines are short, it can end while its result is useful. A refused caller is told when to return.", target: func(st *Settings) any { return &st.Cells.Admission }, defaultValue: job.Never},
	{path: "cells.forecast", doc: "Whether the turns of the pools, the times in which a pool's demand is far above that at rest, are learned, so that machines move before a turn begins.", target: func(st *Settings) any { return &st.Cells.Forecast }, defaultValue: job.Never},
	{path: "cells.packLateJobs", doc: "Whether late jobs, which miss their objective, use only as many machines as their pool may keep while pools lack some, so that the others become free to move.", target: func(st *Settings) any { return &st.Cells.PackLateJobs }, defaultValue: job.Never},
	{path: "cells.lullMaintenance", doc: "Whether a wave takes the machines that their pools do not need at the moment, and the others as late as its duration allows; tasks with checkpoints leave its machines and continue elsewhere.", target: func(st *Settings) any { return &st.Cells.LullMaintenance }, defaultValue: job.Never},
}

// typeName returns the type name that is shown to users.
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
	case *job.Condition:
		return "condition"
	}
	return "unknown"
}

// Markdown renders the schemas as docs/SETTINGS.md.
func Markdown() string {
	var sb strings.Builder
	sb.WriteString("# Settings\n\nGenerated from package `settings` by `go test ./settings -update`. The file is JSON with comments; `aspenseam check FILE` reports every finding with line and column. Durations are written like `250ms`, `10s` or `5m`.\n\n")
	sb.WriteString("| setting | type | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	writeTable(&sb, schema, "")
	sb.WriteString("\n## Fleet settings\n\nFleet settings are set by `aspenseam settings set FILE` and take effect on every entry instance within seconds. The file has no sections.\n\n")
	sb.WriteString("| setting | type | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	writeTable(&sb, fleetSchema, fleetSection+".")
	sb.WriteString("\n## Cells of jobs\n\nCell settings are read from the file given by `aspenseam serve --cells FILE` at start. The file has no sections. Without a file, the defaults apply. A condition says for which configurations a function is used: `withOrganisations` means those that name organisations, whose callers compete for the pools.\n\n")
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
	if _, isCondition := fl.defaultValue.(job.Condition); isCondition {
		return conditionsText()
	}
	if fl.low == nil {
		return ""
	}
	return fmt.Sprintf("%v to %v", fl.low, fl.high)
}

// conditionsText lists the conditions that a setting may have.
func conditionsText() string {
	var names []string
	for _, cd := range job.Conditions {
		names = append(names, string(cd))
	}
	return strings.Join(names, ", ")
}

func (fl field) docText() string {
	if fl.secret {
		return fl.doc + " Never logged."
	}
	return fl.doc
}
