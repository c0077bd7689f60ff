package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Step is the next thing to do with one instance of a plan.
type Step string

// The steps.
const (
	// StepNone means that the instance is finished or not affected.
	StepNone Step = "none"
	// StepWait means that a condition must be met first.
	StepWait Step = "wait"
	// StepClose stops new sessions.
	StepClose Step = "close"
	// StepLeave stops all new work, if the budgets allow it.
	StepLeave Step = "leave"
	// StepDrain makes the platform instruct the worker to refuse new work.
	StepDrain Step = "drain"
	// StepStop makes the platform stop or reboot the instance, once it has no open requests.
	StepStop Step = "stop"
	// StepJoin puts the instance into service, in another pool if the plan moves it.
	StepJoin Step = "join"
	// StepIdle leaves the instance idle.
	StepIdle Step = "rest"
)

// Decision is the next step of an instance and, for StepWait, the reason.
type Decision struct {
	Step   Step
	Reason string
}

// Ack is the answer of one entry instance about a leaving instance.
type Ack struct {
	Entry table.InstanceID
	// Reachable is false if the entry instance did not answer.
	Reachable bool
	Seen      bool
	InFlight  int
	Queued    int
}

// idle reports whether the entry instance has seen that the instance leaves and has no request for it in flight or queued.
func (ac Ack) idle() bool {
	return ac.Reachable && ac.Seen && ac.InFlight == 0 && ac.Queued == 0
}

// String describes the requests that the entry instance still has for the leaving instance.
func (ac Ack) String() string {
	if !ac.Reachable {
		return fmt.Sprintf("entry instance %s cannot be asked", ac.Entry)
	}
	return fmt.Sprintf("entry instance %s: seen %t, %d in flight, %d queued", ac.Entry, ac.Seen, ac.InFlight, ac.Queued)
}

// Input is the input for the decision on one instance.
type Input struct {
	Plan     *Plan
	Wave     Wave
	Fleet    *Fleet
	Instance *table.Instance
	Now      time.Time
	// Acks holds the answers of all listed entry instances, or nil if they were not asked.
	Acks []Ack
	// MaxRequestDuration is the maximum duration of a request. An entry instance that left the membership without an answer has no open
	// requests left when this time has passed since the drain.
	MaxRequestDuration time.Duration
	// Up reports whether the instance answers again after its reboot.
	Up bool
	// HasSuccessors reports whether the instance's sessions can be moved.
	HasSuccessors bool
}

// Decide returns the next step for one instance.
func Decide(ip Input) Decision {
	if ip.Instance.Hold == nil {
		return decideUnheld(ip)
	}
	if ip.Instance.Hold.Plan != ip.Plan.ID {
		return Decision{StepWait, fmt.Sprintf("instance %s is held by plan %s", ip.Instance.ID, ip.Instance.Hold.Plan)}
	}
	if ip.Plan.Status == PlanAborting {
		return decideAbort(ip)
	}
	switch ip.Instance.Hold.Phase {
	case table.PhaseClosing:
		return decideClosing(ip)
	case table.PhaseLeaving:
		return Decision{Step: StepDrain}
	case table.PhaseDrained:
		return decideDrained(ip)
	case table.PhaseStopped:
		return decideStopped(ip)
	}
	return Decision{StepWait, fmt.Sprintf("instance %s is in unknown phase %s", ip.Instance.ID, ip.Instance.Hold.Phase)}
}

// decideUnheld decides on an instance that no plan holds.
func decideUnheld(ip Input) Decision {
	switch {
	case ip.Instance.Done == ip.Plan.ID || ip.Plan.Status != PlanRunning:
		return Decision{Step: StepNone}
	case ip.Plan.Intent.Kind == KindReturn:
		return Decision{Step: StepJoin}
	}
	// Closing does not take the instance out of service, but there is no point in closing an instance that cannot leave.
	if refusals := Admit(ip.Fleet, ip.Instance); len(refusals) > 0 {
		return Decision{StepWait, refusalText(ip.Instance.ID, refusals)}
	}
	if ip.Plan.Strategy.CloseMs > 0 || ip.Wave.AwaitSessionEnd || ip.Fleet.sessionCount(ip.Instance.ID) > 0 {
		return Decision{Step: StepClose}
	}
	return Decision{Step: StepLeave}
}

func refusalText(id table.InstanceID, refusals []Refusal) string {
	texts := make([]string, len(refusals))
	for ix, rf := range refusals {
		texts[ix] = rf.String()
	}
	return fmt.Sprintf("instance %s cannot leave: %s", id, strings.Join(texts, "; "))
}

// decideClosing waits for sessions to end: for the close duration of the plan or, if the sessions cannot move, until all have ended.
func decideClosing(ip Input) Decision {
	open := ip.Fleet.sessionCount(ip.Instance.ID)
	waited := ip.Now.Sub(ip.Instance.Hold.Since)
	switch {
	case open > 0 && ip.Wave.AwaitSessionEnd && !ip.HasSuccessors:
		return Decision{StepWait, fmt.Sprintf("instance %s: waiting until %d sessions end, since sessions that move now would have to move again", ip.Instance.ID, open)}
	case open > 0 && waited < ip.Plan.Strategy.closeDuration():
		return Decision{StepWait, fmt.Sprintf("instance %s: %d sessions have %v more to end before they are moved", ip.Instance.ID, open, (ip.Plan.Strategy.closeDuration() - waited).Round(time.Second))}
	case open > 0 && !ip.HasSuccessors:
		return Decision{StepWait, fmt.Sprintf("instance %s: no successor for %d sessions", ip.Instance.ID, open)}
	}
	if refusals := Admit(ip.Fleet, ip.Instance); len(refusals) > 0 {
		return Decision{StepWait, refusalText(ip.Instance.ID, refusals)}
	}
	return Decision{Step: StepLeave}
}

// departedEntry returns the first entry instance that was listed when the instance began to leave and is not listed any more.
func departedEntry(ip Input) table.InstanceID {
	for _, id := range ip.Instance.Hold.Entries {
		listed := slices.ContainsFunc(ip.Acks, func(ac Ack) bool { return ac.Entry == id })
		if !listed {
			return id
		}
	}
	return ""
}

// decideDrained waits until no entry instance has requests for the instance.
func decideDrained(ip Input) Decision {
	var pending []string
	for _, ac := range ip.Acks {
		if !ac.idle() {
			pending = append(pending, ac.String())
		}
	}
	switch {
	case len(pending) > 0:
		return Decision{StepWait, fmt.Sprintf("instance %s: %s", ip.Instance.ID, strings.Join(pending, "; "))}
	case departedEntry(ip) != "" && ip.Now.Sub(ip.Instance.Hold.Since) < ip.MaxRequestDuration:
		return Decision{StepWait, fmt.Sprintf("instance %s: entry instance %s left the membership without an answer and may have open requests for %v more", ip.Instance.ID, departedEntry(ip), (ip.MaxRequestDuration - ip.Now.Sub(ip.Instance.Hold.Since)).Round(time.Second))}
	case ip.Plan.Intent.Kind == KindMove:
		return Decision{Step: StepJoin}
	}
	return Decision{Step: StepStop}
}

func decideStopped(ip Input) Decision {
	switch {
	case ip.Plan.Intent.Kind == KindDrain:
		return Decision{Step: StepIdle}
	case !ip.Up:
		return Decision{StepWait, fmt.Sprintf("instance %s does not answer yet", ip.Instance.ID)}
	}
	return Decision{Step: StepJoin}
}

// decideAbort returns an instance of an aborting plan to service by the shortest way from its phase. Instances that a drain has already
// stopped become idle.
func decideAbort(ip Input) Decision {
	if ip.Instance.Hold.Phase == table.PhaseStopped && !ip.Up && ip.Plan.Intent.Kind != KindDrain {
		return Decision{StepWait, fmt.Sprintf("instance %s does not answer yet", ip.Instance.ID)}
	}
	if ip.Instance.Hold.Phase == table.PhaseStopped && ip.Plan.Intent.Kind == KindDrain {
		return Decision{Step: StepIdle}
	}
	return Decision{Step: StepJoin}
}

// currentWave returns the index of the first unfinished wave, or -1 if all are finished. Waves do not overlap, so that the sessions of a
// wave can move to the instances of earlier waves.
func currentWave(pn *Plan, ft *Fleet) int {
	for number, wv := range pn.Waves {
		for _, id := range wv.Instances {
			if in := ft.Instance(id); in != nil && (in.Done != pn.ID || in.Hold != nil) {
				return number
			}
		}
	}
	return -1
}

// canTakeSessions reports whether an instance can take sessions of a plan's instances. The plan must be finished with the instance or not
// include it, and no other active plan may still have to work on it.
func canTakeSessions(pn *Plan, others []*Plan, in *table.Instance) bool {
	if in.Hold != nil {
		return false
	}
	if in.Done != pn.ID && pn.has(in.ID) {
		return false
	}
	for _, other := range others {
		if other.ID != pn.ID && other.Status.active() && in.Done != other.ID && other.has(in.ID) {
			return false
		}
	}
	return true
}
