package event

import "go.uber.org/zap/zapcore"

// Events of all processes: 1xx process, 2xx platform, 3xx callers, 4xx endpoints, 5xx peers, 6xx operators.
var (
	ProcessStarted    = Kind{101, "process started", zapcore.InfoLevel, "Nothing."}
	ProcessStopping   = Kind{102, "process stopping: new requests refused, open ones finish", zapcore.InfoLevel, "Nothing; the process exits when its open requests have ended."}
	ProcessStopped    = Kind{103, "process stopped", zapcore.InfoLevel, "Nothing."}
	ProcessFailed     = Kind{104, "process failed", zapcore.ErrorLevel, "Read the field `error`; the process has exited."}
	StopForced        = Kind{105, "requests were still open when the longest request time was over", zapcore.WarnLevel, "Look for an endpoint that does not answer. The outcome of the requests is unknown."}
	Reloaded          = Kind{106, "keys, tokens and certificate replaced", zapcore.InfoLevel, "Nothing."}
	ReloadFailed      = Kind{107, "settings file has faults; nothing was replaced", zapcore.ErrorLevel, "Correct the findings and send SIGHUP again."}
	LinesDropped      = Kind{108, "log lines left out: the reader is too slow, or an event comes too often", zapcore.WarnLevel, "The field `lines` is the number of dropped lines; the field `of` is the event that was logged too often."}
	HangupSeen        = Kind{109, "settings file changed; what it says holds from the next start", zapcore.InfoLevel, "Nothing."}
	PlatformReached   = Kind{201, "platform answers again", zapcore.InfoLevel, "Nothing."}
	PlatformLost      = Kind{202, "platform does not answer", zapcore.WarnLevel, "See docs/OPERATING.md, outages of the platform. Requests are served from the last snapshot."}
	SnapshotFromPeer  = Kind{203, "started from a peer's snapshot", zapcore.InfoLevel, "Nothing; the platform did not answer at start."}
	SnapshotChanged   = Kind{204, "snapshot changed", zapcore.DebugLevel, "Nothing."}
	RowRejected       = Kind{205, "row of the platform could not be read", zapcore.ErrorLevel, "Correct the row in the field `key`. The last valid version stays in force."}
	MembershipEmpty   = Kind{206, "platform lists no instance; the last list stays in force", zapcore.ErrorLevel, "Check the platform's membership."}
	ClaimUnresolved   = Kind{301, "claim could not be written or read back in time", zapcore.WarnLevel, "Nothing; the attempt was not sent and the caller was notified."}
	ResultNotStored   = Kind{302, "result of a claimed request could not be stored", zapcore.WarnLevel, "Nothing; the answer can be collected only from this entry instance while it runs."}
	AnswerBroken      = Kind{303, "answer broke off after it had begun to stream; connection aborted", zapcore.WarnLevel, "Check the endpoint."}
	SweepFailed       = Kind{304, "old claims could not be deleted", zapcore.WarnLevel, "Nothing if temporary; the table grows until the deletion succeeds."}
	EndpointEjected   = Kind{401, "endpoint ejected from routing", zapcore.WarnLevel, "Check the endpoint; it is probed automatically."}
	EndpointReturned  = Kind{402, "endpoint returned to routing", zapcore.InfoLevel, "Nothing."}
	EndpointLeaving   = Kind{403, "endpoint refused new work as leaving", zapcore.InfoLevel, "Nothing; it gets no requests until the platform lists it again."}
	AnswerForeign     = Kind{404, "answer carried the id of another attempt; dropped", zapcore.ErrorLevel, "Check the endpoint; it answers requests with responses to other attempts."}
	SessionsMoved     = Kind{405, "sessions of a lost endpoint moved", zapcore.WarnLevel, "Nothing; the successors are in the field `successors`."}
	PeerRejected      = Kind{501, "peer call without the fleet's key rejected", zapcore.WarnLevel, "Compare the peers' keys in the settings."}
	OperatorRejected  = Kind{601, "operator call without a known token rejected", zapcore.WarnLevel, "Compare the operator's token with the settings."}
	PlanAccepted      = Kind{602, "plan confirmed", zapcore.InfoLevel, "Nothing."}
	PlanStep          = Kind{603, "plan step carried out", zapcore.InfoLevel, "Nothing."}
	PlanWaiting       = Kind{604, "plan waits", zapcore.InfoLevel, "Read the field `reason`; the plan continues automatically."}
	ConfigurationSeen = Kind{605, "configuration in force", zapcore.InfoLevel, "Nothing."}
)

// Events of job placement, 7xx.
var (
	PlacementFailed   = Kind{701, "a round of placement failed", zapcore.WarnLevel, "Nothing if temporary; running jobs continue under their leases."}
	WorkerQuarantined = Kind{702, "worker quarantined: many different jobs failed there", zapcore.WarnLevel, "Check the worker; after the quarantine it is probed with one job."}
)

// Events of job cells and machines, 8xx.
var (
	QueuesInForce        = Kind{801, "queues and pools in force", zapcore.InfoLevel, "Nothing."}
	OperatorRowRejected  = Kind{802, "row of the operator could not be read", zapcore.ErrorLevel, "Correct the row; the last valid version stays in force."}
	RegistrationRejected = Kind{803, "registration of a worker could not be read", zapcore.ErrorLevel, "Check the worker; it gets no tasks."}
	ControlRowRejected   = Kind{804, "row of the control table could not be read", zapcore.ErrorLevel, "Check the versions of the entry instances; another version may have written the row."}
	JobRowRejected       = Kind{805, "row of a job could not be read", zapcore.ErrorLevel, "The job does not run; an entry instance of another version may have written the row."}
	StoreReached         = Kind{806, "store answers again", zapcore.InfoLevel, "Nothing. The field `silent` is how long nothing was heard of the table."}
	StoreLost            = Kind{807, "store does not answer", zapcore.WarnLevel, "Check the store. Running tasks continue; new jobs are refused until it answers."}
	StoreDetour          = Kind{808, "store turns this instance away; calls go through peers", zapcore.WarnLevel, "Nothing if temporary."}
	CellClaimed          = Kind{809, "cell claimed", zapcore.InfoLevel, "Nothing."}
	CellLoaded           = Kind{810, "cell loaded", zapcore.InfoLevel, "Nothing."}
	CellLost             = Kind{811, "cell lost to another owner", zapcore.WarnLevel, "Nothing; the new owner continues."}
	CellReleased         = Kind{812, "cell handed over", zapcore.InfoLevel, "Nothing."}
	ClaimFailed          = Kind{813, "cell could not be claimed", zapcore.InfoLevel, "Nothing; another instance claimed it first, or the claim is retried."}
	ReleaseFailed        = Kind{814, "cell could not be handed over", zapcore.WarnLevel, "Nothing; the other instances detect that this one has stopped and claim the cell."}
	SaveFailed           = Kind{815, "progress could not be written", zapcore.ErrorLevel, "Read the field `error`."}
	CellDecided          = Kind{816, "cell decided", zapcore.InfoLevel, "Nothing; the fields `what` and `why` describe the decision."}
	JobAccepted          = Kind{817, "job accepted", zapcore.InfoLevel, "Nothing."}
	JobRefused           = Kind{818, "job refused", zapcore.WarnLevel, "Read the field `why`; the caller was told when to retry."}
	JobCancelled         = Kind{819, "cancellation kept", zapcore.InfoLevel, "Nothing."}
	AdviceFailed         = Kind{820, "advice service did not answer", zapcore.WarnLevel, "Check the advice service. The call is retried; jobs of queues that need it wait."}
	PeerSilent           = Kind{821, "peer did not answer", zapcore.InfoLevel, "Nothing; calls to peers are only an optimization."}
	CarryRejected        = Kind{822, "store call of a peer could not be read", zapcore.WarnLevel, "Check the versions of the entry instances; another version may have sent the call."}
	MachinesUnlisted     = Kind{823, "machines could not be listed", zapcore.WarnLevel, "Nothing if temporary; waves wait until machines can be listed."}
	MachineWanted        = Kind{824, "machine wanted", zapcore.InfoLevel, "Nothing."}
	MachineServiced      = Kind{825, "maintenance of a machine ordered", zapcore.InfoLevel, "Nothing."}
	WaveReported         = Kind{826, "state of a wave told", zapcore.InfoLevel, "Nothing."}
	MachineMoved         = Kind{827, "move of a machine ordered", zapcore.InfoLevel, "Nothing."}
	PoolLoad             = Kind{828, "load of a pool", zapcore.InfoLevel, "Nothing; the fields `needed`, `placed` and `lasting` are numbers of machines."}
	RelayLost            = Kind{830, "peer that carries out orders failed", zapcore.WarnLevel, "Nothing if temporary; its workers are called through another peer or directly."}
	HallCutOff           = Kind{831, "neither the store nor another hall answers", zapcore.WarnLevel, "Check the data hall's network. The platform routes callers to other halls."}
	HallReached          = Kind{832, "the store or another hall answers again", zapcore.InfoLevel, "Nothing."}
	StoreSlow            = Kind{833, "transaction took long or failed", zapcore.InfoLevel, "Check the fields `matter` and `part`. If all parts are slow, the store is slow; if one part is slow, transactions queue up for it."}
	JobUnsure            = Kind{834, "caller was told that it is not known whether the job was accepted", zapcore.WarnLevel, "Nothing; the caller retries. The fields `waited` and `tries` are the duration and the number of attempts."}
	WriteWaited          = Kind{835, "write of a cell's owner waited", zapcore.InfoLevel, "Nothing if temporary; ended tasks and new workers of the cell are delayed by the same time."}
	BytesMoved           = Kind{836, "bytes moved by this instance's connections", zapcore.InfoLevel, "Nothing; `out` and `in` count since the last line, `kinds` lists the calls with the most bytes (out/in). Compare them with the capacity of the link."}
	PayloadMissing       = Kind{837, "payload of a job is not to be had", zapcore.WarnLevel, "Nothing if temporary; tasks of the job wait until the instance that accepted it or the store answers."}
	WorkerLost           = Kind{838, "worker ended with tasks on it", zapcore.WarnLevel, "Nothing if rare. If the field `before` rises, a task crashes the workers that start it. The field `charged` says what the end means for each task."}
	JobGivenUp           = Kind{839, "job given up: workers end under its task", zapcore.ErrorLevel, "Notify the owner of the queue. The field `lost` names the workers that ended under the task and how each end was observed."}
	QueuePaused          = Kind{840, "queue paused by an operator", zapcore.WarnLevel, "Nothing; no tasks are started and no jobs are accepted until the queue is resumed. The field `why` is the reason."}
	QueueResumed         = Kind{841, "queue goes on", zapcore.InfoLevel, "Nothing."}
	KeyRejected          = Kind{842, "call without a key that the configuration holds refused", zapcore.WarnLevel, "Compare the fingerprint with `aspenseam organisations list --keys`; `none` means that the call had no key."}
	KeyShared            = Kind{843, "key held by several organisations; it counts as the first one's, by name", zapcore.ErrorLevel, "Give one of them another key; the fingerprint is in the field `key`."}
	AccountRejected      = Kind{844, "account of an organisation could not be read", zapcore.ErrorLevel, "Check who wrote the account: an entry instance of another version, or another writer. The organisation starts nothing beyond the allowances that cells already hold."}
	WorkerReborn         = Kind{845, "worker started again under its name", zapcore.InfoLevel, "Nothing; `worker` and `before` are the new and the previous incarnation. Tasks of the previous one are restarted on other workers."}
	HallEvacuated        = Kind{846, "data hall evacuated by an operator", zapcore.WarnLevel, "Nothing; no tasks are started there until the hall is restored. Running tasks continue. The field `why` is the reason, empty if the platform's operator gave none."}
	HallRestored         = Kind{847, "data hall restored", zapcore.InfoLevel, "Nothing; its workers get tasks again, fewer while they are cold."}
	SaveImpossible       = Kind{848, "store will never take a transaction; nothing more is started", zapcore.ErrorLevel, "The fields `table`, `key` and `bytes` name its largest row. What runs in the cell continues, nothing more is started and new jobs are refused. Report it: it is not the progress of a job, which fails alone (854)."}
	MovesDeferred        = Kind{849, "moves of machines deferred: the platform takes no more orders at present", zapcore.InfoLevel, "Nothing; they are planned again. The field `moves` is their number."}
	AdmissionRefused     = Kind{850, "job refused, since it would end too late", zapcore.InfoLevel, "Nothing; the caller may return after `comeBack`. `wait` is the time until its tasks would start, `window` the time within which it has to end, `machines` the room that counts. Add machines if it goes on. If `evacuated` names a data hall, only its workers have a label that the job needs; the times are 0 then."}
	AdmissionUnknown     = Kind{851, "owner of a cell does not say which jobs can be done", zapcore.WarnLevel, "Nothing if it is brief: jobs are accepted as if there was room, unless the queue is reported as full. Otherwise look at the owner and the network."}
	JobsWait             = Kind{852, "accepted jobs have ready tasks and nothing running", zapcore.InfoLevel, "Nothing if brief. The field `why` is the reason, see docs/OPERATIONS.md; `longest` is the longest wait, `count` the number of jobs, and `jobs` names those that wait longest. `workers`, `room` and `taken` describe the pool, `usable` and `free` what accepts tasks."}
	CellPace             = Kind{853, "starts and ends of a cell", zapcore.InfoLevel, "Nothing. `startTime` is the mean time from a decision to start until the worker's answer, `minStartTime` the shortest; `runTime` is the mean time from that answer until the end is known. `planning` is the share of the time that the owner planned for, `plans` how often. `peers` carry out orders; `peerTime` is how long starts take through the middle one of them, `slowestPeer` through the slowest. See docs/OPERATIONS.md."}
	ProgressRejected     = Kind{854, "job failed: the store does not take its progress", zapcore.ErrorLevel, "Notify the owner of the queue: the job is shown as failed. The fields `bytes` and `rows` are the size of its progress. The other jobs of the cell go on. Report it: jobs that are too large are refused when they are submitted."}
	JobStands            = Kind{855, "job has had nothing running for long, or goes on after that", zapcore.InfoLevel, "Nothing if brief. `stood` is how long this owner has seen the job stand and `spans` how long for each reason, in seconds; see docs/OPERATIONS.md. `planned` is the worker that its next start waits for. `omitted` counts the jobs that the last second left out."}
	JobWithdrawn         = Kind{856, "cancellation of a job that is not stored", zapcore.InfoLevel, "Nothing. `outcome` says whether it is stored, so that no transaction under way can accept the job any more; `refused, too many` means that the caller was told to come back: look for callers that cancel ids which no job has. `submitted since` means that a caller handed the job in afterwards; it is shown as cancelled."}
	WithdrawalsLeft      = Kind{857, "old cancellations of jobs that were not stored could not be deleted", zapcore.InfoLevel, "Nothing if rare; the next round tries again. Otherwise check the store."}
	PoolPlanned          = Kind{860, "pool planned", zapcore.InfoLevel, "Nothing; all numbers are machines. `needed` is the reported demand, `planned` the demand planned for, `target` the size that follows, with `ahead` for a turn that has not begun; `current` has those on their way, which are `arriving`. The last seven fields count the machines that stay, by the reason."}
	ForecastBegun        = Kind{861, "forecast of the pools' demand begun by a new leader", zapcore.InfoLevel, "Nothing; the field `why` says why no learned turns were found, `turns` is how many were."}
	TurnSeen             = Kind{862, "turn of a pool's demand began or ended", zapcore.InfoLevel, "Nothing; the fields describe the newest turn. `length` is 0 while it lasts, `rest` and `height` are numbers of machines."}
	DrainsDeferred       = Kind{870, "wave waits until its pools need fewer machines, or goes on", zapcore.InfoLevel, "Nothing; the field `deferred` says which, and machines are taken anyway as soon as the wave would be late. `machines` is the number that remains to be drained."}
	JobKnown             = Kind{829, "job was accepted before", zapcore.InfoLevel, "Nothing; the caller's retry refers to the same job."}
)

// Catalogue lists all events by number.
var Catalogue = []Kind{
	ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed, StopForced, Reloaded, ReloadFailed, LinesDropped, HangupSeen,
	PlatformReached, PlatformLost, SnapshotFromPeer, SnapshotChanged, RowRejected, MembershipEmpty,
	ClaimUnresolved, ResultNotStored, AnswerBroken, SweepFailed,
	EndpointEjected, EndpointReturned, EndpointLeaving, AnswerForeign, SessionsMoved,
	PeerRejected,
	OperatorRejected, PlanAccepted, PlanStep, PlanWaiting, ConfigurationSeen,
	PlacementFailed, WorkerQuarantined,
	QueuesInForce, OperatorRowRejected, RegistrationRejected, ControlRowRejected, JobRowRejected, StoreReached, StoreLost, StoreDetour,
	CellClaimed, CellLoaded, CellLost, CellReleased, ClaimFailed, ReleaseFailed, SaveFailed, CellDecided,
	JobAccepted, JobRefused, JobCancelled, AdviceFailed, PeerSilent, CarryRejected,
	MachinesUnlisted, MachineWanted, MachineServiced, WaveReported, MachineMoved, PoolLoad, JobKnown, RelayLost, HallCutOff, HallReached,
	StoreSlow, JobUnsure, WriteWaited, BytesMoved, PayloadMissing, WorkerLost, JobGivenUp, QueuePaused, QueueResumed, KeyRejected, KeyShared, AccountRejected, WorkerReborn, HallEvacuated, HallRestored, SaveImpossible, MovesDeferred,
	AdmissionRefused, AdmissionUnknown, JobsWait, CellPace, ProgressRejected, JobStands, JobWithdrawn, WithdrawalsLeft, PoolPlanned, ForecastBegun, TurnSeen, DrainsDeferred,
}
