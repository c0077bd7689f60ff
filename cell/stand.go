package cell

import (
	"maps"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Reports of single jobs that have had nothing running for long. The reports of groups name few jobs; these tell how the time of one job divides
// over the reasons.

const (
	// standReportAfter is how long a job has to stand until it is reported by itself. It is reported again each time that the wait has doubled.
	standReportAfter = 3 * time.Second
	// maxStandReports is the maximum number of such reports in each waitReportInterval.
	maxStandReports = 8
)

// Stand describes how one job has waited since it last had something running, or since this owner has it.
type Stand struct {
	// Stood is how long nothing has run, and Spans how long for each reason, in seconds. Spans are sampled once a second.
	Stood time.Duration
	Spans map[WaitReason]float64
	// Planned is the worker for which the next start is planned, or empty.
	Planned WorkerID
	// Omitted is the number of jobs that were left out since the last report.
	Omitted int
	// reason is that of the newest sample.
	reason WaitReason
	// since is the start of the wait, sampledAt the end of the spans, reportAt the wait from which on the job is reported.
	since, sampledAt time.Time
	reportAt         time.Duration
}

// reportStands samples the waits of all jobs and reports those that are due.
func (cr *Core) reportStands(now time.Time) {
	cr.standReports = 0
	for _, js := range cr.openJobs {
		since, idle := cr.idleSince(now, js)
		if !idle {
			js.stand = nil
			continue
		}
		if now.Sub(since) < waitReportAfter {
			continue
		}
		sd := js.sampleStand(now, since, cr.waitReason(js))
		if sd.Stood >= sd.reportAt {
			sd.reportAt = 2 * sd.Stood
			cr.reportStand(js, "job stands")
		}
	}
}

// sampleStand adds the time since the last sample to the wait of a job.
func (js *jobState) sampleStand(now, since time.Time, reason WaitReason) *Stand {
	sd := js.stand
	if sd == nil || !sd.since.Equal(since) {
		sd = &Stand{since: since, sampledAt: since, reportAt: standReportAfter, Spans: map[WaitReason]float64{}}
		js.stand = sd
	}
	sd.Spans[reason] += now.Sub(sd.sampledAt).Seconds()
	sd.reason, sd.sampledAt, sd.Stood = reason, now, now.Sub(since)
	return sd
}

// endStand reports that a job which has stood for long goes on.
func (cr *Core) endStand(now time.Time, js *jobState) {
	sd := js.stand
	if sd == nil {
		return
	}
	if now.Sub(sd.since) >= standReportAfter {
		js.sampleStand(now, sd.since, sd.reason)
		cr.reportStand(js, "job goes on")
	}
	js.stand = nil
}

// reportStand logs the wait of a job, or counts it if too many have been logged lately.
func (cr *Core) reportStand(js *jobState, what string) {
	if cr.standReports >= maxStandReports {
		cr.standsOmitted++
		return
	}
	cr.standReports++
	sd := *js.stand
	sd.Spans, sd.Planned, sd.Omitted = maps.Clone(sd.Spans), js.plannedWorker(), cr.standsOmitted
	cr.standsOmitted = 0
	cr.opts.Log(Decision{What: what, Task: job.Task{Job: js.spec.ID}, Why: string(sd.reason), Stand: &sd})
}

// plannedWorker returns the worker that a start of the job is planned for, or an empty ID.
func (js *jobState) plannedWorker() WorkerID {
	for _, rn := range js.runs {
		for _, st := range rn.steps {
			for at := range st.tasks {
				if in := st.tasks[at].intent; in != nil && in.planned {
					return in.worker
				}
			}
		}
	}
	return ""
}

// lastUnresolved returns the unresolved worker for which jobs of earlier owners wait longest, and how long from now at most.
func (cr *Core) lastUnresolved(now time.Time) (last WorkerID, span time.Duration) {
	for id, until := range cr.unresolved {
		if left := until.Sub(now); last == "" || left > span || left == span && id < last {
			last, span = id, left
		}
	}
	return last, span
}
