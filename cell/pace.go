package cell

import "time"

// Pace describes the starts and ends of a cell since the last reading.
type Pace struct {
	// Started is the number of starts ordered, Answered the number of those that a worker has answered, and Ended the number of short tasks that
	// were reported as done.
	Started, Answered, Ended int
	// StartTime is the mean time from the decision to start until the worker's answer, and RunTime the mean time from that answer until the end
	// is known. What RunTime exceeds the tasks' own run time by is time in which the worker's room is not used.
	StartTime, RunTime time.Duration
	// InFlight is the number of unanswered starts, Window how many there may be, and MinStartTime the shortest recent start.
	InFlight, Window int
	MinStartTime     time.Duration
}

// paceCounts are the sums that a Pace is computed from.
type paceCounts struct {
	started, answered, ended int
	startTime, runTime       time.Duration
}

// countStart counts a start that a worker has answered.
func (pc *paceCounts) countStart(span time.Duration) {
	pc.answered++
	pc.startTime += span
}

// countEnd counts the end of a short task.
func (pc *paceCounts) countEnd(span time.Duration) {
	pc.ended++
	pc.runTime += span
}

// TakePace returns the starts and ends since the last call.
func (cr *Core) TakePace() Pace {
	pc := cr.pace
	cr.pace = paceCounts{}
	return Pace{
		Started: pc.started, Answered: pc.answered, Ended: pc.ended,
		StartTime: pc.startTime / time.Duration(max(1, pc.answered)), RunTime: pc.runTime / time.Duration(max(1, pc.ended)),
		InFlight: cr.startWindow.inFlight, Window: int(cr.startWindow.limit()), MinStartTime: cr.startWindow.shortest(),
	}
}
