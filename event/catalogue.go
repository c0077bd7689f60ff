package event

import "go.uber.org/zap/zapcore"

// The events of every process; 1xx process, 2xx platform, 3xx callers, 4xx endpoints, 5xx peers, 6xx operators.
var (
	ProcessStarted    = Kind{101, "process started", zapcore.InfoLevel, "Nothing."}
	ProcessStopping   = Kind{102, "process stopping: new requests refused, open ones finish", zapcore.InfoLevel, "Nothing; it exits when its open requests have ended."}
	ProcessStopped    = Kind{103, "process stopped", zapcore.InfoLevel, "Nothing."}
	ProcessFailed     = Kind{104, "process failed", zapcore.ErrorLevel, "Read the field `error`; the process has exited."}
	StopForced        = Kind{105, "requests were still open when the longest request time was over", zapcore.WarnLevel, "Look for an endpoint that does not answer; the requests ended as unknown."}
	Reloaded          = Kind{106, "keys, tokens and certificate replaced", zapcore.InfoLevel, "Nothing."}
	ReloadFailed      = Kind{107, "settings file has faults; nothing was replaced", zapcore.ErrorLevel, "Mend the findings named and send SIGHUP again."}
	PlatformReached   = Kind{201, "platform answers again", zapcore.InfoLevel, "Nothing."}
	PlatformLost      = Kind{202, "platform does not answer", zapcore.WarnLevel, "See docs/OPERATING.md, outages of the platform; serving goes on from the last snapshot."}
	SnapshotFromPeer  = Kind{203, "started from a peer's snapshot", zapcore.InfoLevel, "Nothing; the platform did not answer at start."}
	SnapshotChanged   = Kind{204, "snapshot changed", zapcore.DebugLevel, "Nothing."}
	RowRejected       = Kind{205, "row of the platform could not be read", zapcore.ErrorLevel, "Correct the row named in the field `key`; the last good one stays in force."}
	MembershipEmpty   = Kind{206, "platform lists no instance; the last list stays in force", zapcore.ErrorLevel, "Look at the platform's membership."}
	ClaimUnresolved   = Kind{301, "claim could not be written or read back in time", zapcore.WarnLevel, "Nothing was sent for this try; the caller was told."}
	ResultNotStored   = Kind{302, "result of a claimed request could not be stored", zapcore.WarnLevel, "The answer can be collected from this entry instance only, while it runs."}
	AnswerBroken      = Kind{303, "answer broke off after it had begun to stream; connection aborted", zapcore.WarnLevel, "Look at the endpoint named."}
	SweepFailed       = Kind{304, "old claims could not be deleted", zapcore.WarnLevel, "Nothing if it passes; the table grows until it does."}
	EndpointEjected   = Kind{401, "endpoint ejected from routing", zapcore.WarnLevel, "Look at the endpoint named; it is tried again by itself."}
	EndpointReturned  = Kind{402, "endpoint returned to routing", zapcore.InfoLevel, "Nothing."}
	EndpointLeaving   = Kind{403, "endpoint refused new work as leaving", zapcore.InfoLevel, "Nothing; it is given none until the platform lists it again."}
	AnswerForeign     = Kind{404, "answer carried the id of another attempt; dropped", zapcore.ErrorLevel, "Look at the endpoint named; its replies are out of step."}
	SessionsMoved     = Kind{405, "sessions of a lost endpoint moved", zapcore.WarnLevel, "Nothing; the successors are in the field `successors`."}
	PeerRejected      = Kind{501, "peer call without the fleet's key rejected", zapcore.WarnLevel, "Compare the peers' keys in the settings."}
	OperatorRejected  = Kind{601, "operator call without a known token rejected", zapcore.WarnLevel, "Compare the operator's token with the settings."}
	PlanAccepted      = Kind{602, "plan confirmed", zapcore.InfoLevel, "Nothing."}
	PlanStep          = Kind{603, "plan step carried out", zapcore.InfoLevel, "Nothing."}
	PlanWaiting       = Kind{604, "plan waits", zapcore.InfoLevel, "Read the field `reason`; it goes on by itself."}
	ConfigurationSeen = Kind{605, "configuration in force", zapcore.InfoLevel, "Nothing."}
)

// Events of jobs, 7xx.
var (
	PlacementFailed   = Kind{701, "a round of placement failed", zapcore.WarnLevel, "Nothing if it passes; jobs that run go on under their leases."}
	WorkerQuarantined = Kind{702, "worker quarantined: many different jobs failed there", zapcore.WarnLevel, "Look at the worker named; after the quarantine one job tries it."}
)

// Catalogue lists every event by number.
var Catalogue = []Kind{
	ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed, StopForced, Reloaded, ReloadFailed,
	PlatformReached, PlatformLost, SnapshotFromPeer, SnapshotChanged, RowRejected, MembershipEmpty,
	ClaimUnresolved, ResultNotStored, AnswerBroken, SweepFailed,
	EndpointEjected, EndpointReturned, EndpointLeaving, AnswerForeign, SessionsMoved,
	PeerRejected,
	OperatorRejected, PlanAccepted, PlanStep, PlanWaiting, ConfigurationSeen,
	PlacementFailed, WorkerQuarantined,
}
