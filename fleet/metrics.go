package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// fleetMetrics are the counters and histograms of a fleet node.
type fleetMetrics struct {
	claims, polls, starts, saves, storeFailed metrics.Counter
	accepted, refused, unknown                metrics.Counter
	// keysRejected counts calls with a missing or unknown key.
	keysRejected metrics.Counter
	// accountsWritten counts rows of organisations' accounts that were written, accountsContended writes of them that
	// conflicted with another owner's.
	accountsWritten, accountsContended metrics.Counter
	// workersLost counts the workers that ended while running tasks, tasksLost those tasks, givenUp the jobs that failed
	// because too many of their workers crashed.
	workersLost, tasksLost, givenUp metrics.Counter
	// registrationsRejected counts registrations that could not be decoded.
	registrationsRejected metrics.Counter
	// forecastsBegun counts leaders that began without learned turns, forecastTurns the begins and ends of turns. forecastAhead is
	// the number of machines wanted for turns that have not begun.
	forecastsBegun, forecastTurns metrics.Counter
	forecastAhead                 metrics.Gauge
	// admitted and admissionRefused count the decisions of owners on new jobs, admissionUnknown the jobs for which none was
	// received, admissionCalm the jobs of calm queues, and admissionCalls the calls to owners.
	admitted, admissionRefused, admissionUnknown, admissionCalm, admissionCalls metrics.Counter
	acceptTime                                                                  metrics.Histogram
	outcomes                                                                    map[cell.Outcome]metrics.Counter
	// commits holds the durations of transactions in microseconds, unanswered the number of transactions without an answer, by
	// kind.
	commits    map[txKind]metrics.Histogram
	unanswered map[txKind]metrics.Counter
	// writeWait is how long an owner's writes waited for the previous write, in microseconds.
	writeWait metrics.Histogram
	// drains counts requests to drain a worker for maintenance, by reason.
	drains map[machine.Reason]metrics.Counter
}

// histogramSize is the number of sampled values that a histogram is computed from.
const histogramSize = 512

func newFleetMetrics(rg metrics.Registry) fleetMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, rg) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, rg, metrics.NewUniformSample(histogramSize))
	}
	fm := fleetMetrics{
		claims: counter("cells.claimed"), polls: counter("workers.looks"), starts: counter("workers.starts"), saves: counter("store.saves"), storeFailed: counter("store.failed"),
		accepted: counter("jobs.accepted"), refused: counter("jobs.refused"), unknown: counter("jobs.unknown"),
		keysRejected: counter("calls.keysRejected"), accountsWritten: counter("accounts.written"), accountsContended: counter("accounts.contended"),
		workersLost: counter("workers.lost"), tasksLost: counter("workers.lostTasks"), givenUp: counter("jobs.givenUp"), registrationsRejected: counter("workers.registrationsRejected"),
		forecastsBegun: counter("forecast.begunAnew"), forecastTurns: counter("forecast.turnChanges"), forecastAhead: metrics.GetOrRegisterGauge("forecast.machinesAhead", rg),
		admitted: counter("admission.admitted"), admissionRefused: counter("admission.refused"), admissionUnknown: counter("admission.unknown"), admissionCalm: counter("admission.calm"), admissionCalls: counter("admission.calls"),
		acceptTime: histogram("jobs.acceptMicros"),
		outcomes:   map[cell.Outcome]metrics.Counter{}, commits: map[txKind]metrics.Histogram{}, unanswered: map[txKind]metrics.Counter{},
		writeWait: histogram("owner.writeWaitMicros"),
		drains:    map[machine.Reason]metrics.Counter{},
	}
	for reason, name := range map[machine.Reason]string{machine.InTurn: "inTurn", machine.InLull: "lull", machine.InEvacuatedHall: "evacuatedHall", machine.Overdue: "overdue"} {
		fm.drains[reason] = counter("machines.drains." + name)
	}
	for _, kind := range txKinds {
		fm.commits[kind] = histogram("store.commitMicros." + string(kind))
		fm.unanswered[kind] = counter("store.unanswered." + string(kind))
	}
	for oc := cell.NoAnswer; oc <= cell.PayloadMissing; oc++ {
		fm.outcomes[oc] = counter("workers.orders." + oc.String())
	}
	return fm
}

func (fm fleetMetrics) countOutcome(oc cell.Outcome) { fm.outcomes[oc].Inc(1) }

// recordSubmit counts a submitted job.
func (fm fleetMetrics) recordSubmit(result SubmitResult, elapsed time.Duration) {
	switch result {
	case Accepted:
		fm.accepted.Inc(1)
		fm.acceptTime.Update(elapsed.Microseconds())
	case Unknown:
		fm.unknown.Inc(1)
	}
}

// logDecision logs a decision of a cell.
func (fl *Fleet) logDecision(name string, epoch job.Epoch, dc cell.Decision) {
	fields := []zap.Field{zap.String("what", dc.What), zap.String("cell", name), zap.Int64("epoch", int64(epoch))}
	if dc.Task.Job != "" {
		fields = append(fields, zap.String("job", string(dc.Task.Job)), zap.String("task", job.TaskKey(dc.Task)))
	}
	if dc.Attempt != 0 {
		fields = append(fields, zap.Int("attempt", int(dc.Attempt)))
	}
	if dc.Worker != "" {
		fields = append(fields, zap.String("worker", string(dc.Worker)), zap.Duration("lookAge", dc.PollAge))
	}
	if dc.Token != 0 {
		fields = append(fields, zap.Int64("token", int64(dc.Token)))
	}
	if dc.Why != "" {
		fields = append(fields, zap.String("why", dc.Why))
	}
	if dc.LossCount != 0 {
		fields = append(fields, zap.Int("losses", dc.LossCount))
	}
	if dc.Loss != nil {
		fl.metrics.workersLost.Inc(1)
		fl.metrics.tasksLost.Inc(int64(dc.Loss.Tasks))
		fl.opts.Log.Emit(event.WorkerLost, append(fields, zap.Int("tasks", dc.Loss.Tasks), zap.Duration("sinceStart", dc.Loss.SinceStart), zap.Int("before", dc.Loss.MaxPriorLosses), zap.String("excuse", dc.Loss.ExemptReason), zap.Any("charged", dc.Loss.Charges))...)
		return
	}
	if dc.Verdict != nil {
		fl.metrics.givenUp.Inc(1)
		fl.opts.Log.Emit(event.JobGivenUp, append(fields, zap.Int("strong", dc.Verdict.Strong), zap.Int("weak", dc.Verdict.Weak), zap.Any("lost", dc.Verdict.History))...)
		return
	}
	if dc.Wait != nil {
		fl.opts.Log.Emit(event.JobsWait, append(fields, waitFields(dc.Wait)...)...)
		return
	}
	if dc.Stand != nil {
		fl.opts.Log.Emit(event.JobStands, append(fields, standFields(dc.Stand)...)...)
		return
	}
	fl.opts.Log.Emit(event.CellDecided, fields...)
}

// waitFields returns the log fields of a group of waiting jobs. Sizes of limits are in thousandths of a core and megabytes.
func waitFields(wt *cell.Wait) []zap.Field {
	fields := []zap.Field{zap.Duration("longest", wt.Longest), zap.Int("count", wt.Count), zap.Any("jobs", wt.Jobs),
		zap.Int("workers", wt.Pool.Workers), zap.Int("usable", wt.Pool.Usable), zap.Any("room", wt.Pool.Room), zap.Any("taken", wt.Pool.Used), zap.Any("free", wt.Pool.Free)}
	if wt.Unresolved > 0 {
		fields = append(fields, zap.Int("unresolved", wt.Unresolved), zap.String("lastUnresolved", string(wt.LastUnresolved)), zap.Duration("unresolvedFor", wt.UnresolvedFor))
	}
	if wt.Pool.MachineLimit > 0 {
		fields = append(fields, zap.Int("machineLimit", wt.Pool.MachineLimit), zap.Float64("usableShare", wt.Pool.UsableShare))
	}
	if wt.Organisation == "" {
		return fields
	}
	return append(fields, zap.String("organisation", string(wt.Organisation)), zap.Any("used", wt.Limit.Used), zap.Any("limit", wt.Limit.Limit),
		zap.Any("elsewhere", wt.Limit.Elsewhere), zap.Any("maximum", wt.Limit.Maximum), zap.Int("competing", wt.Limit.Competing))
}

// standFields returns the log fields of one job that stands.
func standFields(sd *cell.Stand) []zap.Field {
	fields := []zap.Field{zap.Duration("stood", sd.Stood), zap.Any("spans", sd.Spans)}
	if sd.Planned != "" {
		fields = append(fields, zap.String("planned", string(sd.Planned)))
	}
	if sd.Omitted > 0 {
		fields = append(fields, zap.Int("omitted", sd.Omitted))
	}
	return fields
}

// registerWaitGauges registers, for each reason, the longest wait of a job in the cells that this instance owns, in milliseconds.
func (fl *Fleet) registerWaitGauges(rg metrics.Registry) {
	for _, reason := range cell.WaitReasons {
		metrics.NewRegisteredFunctionalGauge("jobs.longestWaitMillis."+string(reason), rg, func() int64 { return fl.longestWait(reason).Milliseconds() })
	}
}

// longestWait returns the longest wait for a reason in the cells that this instance owns.
func (fl *Fleet) longestWait(reason cell.WaitReason) time.Duration {
	longest := time.Duration(0)
	for _, ow := range fl.allOwners() {
		ow.mu.Lock()
		for _, wt := range ow.core.Waits() {
			if wt.Reason == reason {
				longest = max(longest, wt.Longest)
			}
		}
		ow.mu.Unlock()
	}
	return longest
}

// logJob logs an event of a job.
func (fl *Fleet) logJob(kd event.Kind, id job.ID, fields ...zap.Field) {
	fl.opts.Log.Emit(kd, append(fields, zap.String("job", string(id)))...)
}

// logPeerError logs that a peer did not answer.
func (fl *Fleet) logPeerError(call, name string, err error) {
	fl.opts.Log.Emit(event.PeerSilent, zap.String("call", call), zap.String("cell", name), zap.Error(err))
}
