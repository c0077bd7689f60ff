package cell

import (
	"slices"
	"testing"
	"time"
)

// lossStep is one way in which a task, or the owner's hold of it, loses a worker.
type lossStep struct {
	name string
	play func(su *succession)
}

// The steps whose worker ends while the task runs there.
var (
	// crashSeen: the owner sees the worker end in silence and saves that.
	crashSeen = lossStep{"crash, seen in silence", func(su *succession) { su.loseRunning(Done, true, false) }}
	// crashSeenBroken: the owner sees the connections break and saves that.
	crashSeenBroken = lossStep{"crash, seen by broken connections", func(su *succession) { su.loseRunning(Done, false, false) }}
	// crashUnanswered: the answer to the start is lost, and the worker ends before it is polled.
	crashUnanswered = lossStep{"crash, answer to the start lost", func(su *succession) { su.loseRunning(NoAnswer, true, false) }}
	// crashAckedReplaced: the owner has the answer to the start, and is replaced before its next save.
	crashAckedReplaced = lossStep{"crash, owner replaced after the answer", func(su *succession) { su.loseRunning(Done, true, true) }}
	// crashUnansweredReplaced: the answer to the start is lost, and the owner is replaced.
	crashUnansweredReplaced = lossStep{"crash, answer lost and owner replaced", func(su *succession) { su.loseRunning(NoAnswer, true, true) }}
	// crashCutOff: the owner is cut off from the store before the answer, sees the end of the worker, is replaced and comes back.
	crashCutOff = lossStep{"crash, seen by an owner cut off and replaced", (*succession).loseCutOff}
	// crashSavedReplaced: the owner goes on after the answer, saves as it does for such a task, and is replaced once the worker has ended.
	crashSavedReplaced = lossStep{"crash, owner replaced after a save", func(su *succession) { su.loseAfter(crashedAfter) }}
	// crashLateReplaced: the same, and the attempt runs for longer than minSurvival.
	crashLateReplaced = lossStep{"late crash, owner replaced after a save", func(su *succession) { su.loseAfter(crashedLate) }}
	// crashLateAdopted: the owner is replaced while the attempt runs, and the next one sees the worker end in silence and saves that.
	crashLateAdopted = lossStep{"late crash, seen by an owner that adopted the attempt", (*succession).loseAdopted}
)

// The steps whose worker ends while the task does not run there.
var (
	// neverOrdered: the owner is replaced between the saved intent and the order, and the worker ends.
	neverOrdered = lossStep{"start never ordered, owner replaced", (*succession).loseIntent}
	// endedBefore: the worker has ended when the order is sent.
	endedBefore = lossStep{"worker ended before the order", func(su *succession) { su.loseUnstarted(false) }}
	// endedBeforeReplaced: the same, and the owner is replaced.
	endedBeforeReplaced = lossStep{"worker ended before the order, owner replaced", func(su *succession) { su.loseUnstarted(true) }}
	// endUnread: the attempt ends well, and its end is not read before the worker ends in silence.
	endUnread = lossStep{"attempt ended well unread, silence", func(su *succession) { su.loseUnread(true, false) }}
	// endUnreadBroken: the same, and the connections break right after the start.
	endUnreadBroken = lossStep{"attempt ended well unread, broken connections", func(su *succession) { su.loseUnread(false, false) }}
	// endUnreadReplaced: the attempt ends well after its start was saved, its end is not read, and the owner is replaced.
	endUnreadReplaced = lossStep{"attempt ended well unread, owner replaced", func(su *succession) { su.loseUnread(true, true) }}
)

// loseRunning plays a start that is carried out and answered with an outcome, and the end of its worker.
func (su *succession) loseRunning(answer Outcome, silent, replaced bool) {
	st := su.nextStart()
	su.carryOut(st)
	su.answerStart(st, answer)
	if answer == Done && !replaced {
		su.runFor(crashedAfter)
	}
	su.endWorker(st.Worker, silent)
	su.finishStep(replaced)
}

// loseCutOff plays a start that an owner cut off from the store sees carried out, and the end of its worker, which it charges but cannot save.
func (su *succession) loseCutOff() {
	st := su.nextStart()
	su.storeCut = true
	su.carryOut(st)
	su.answerStart(st, Done)
	su.runFor(crashedAfter)
	su.endWorker(st.Worker, true)
	former := su.core
	su.until(func() bool { return su.core.workers[st.Worker] == nil })
	su.replaceOwner()
	su.comeBack(former)
	su.awaitCharge()
}

// loseAfter plays a start whose attempt runs for some time with its owner, and the end of both.
func (su *succession) loseAfter(span time.Duration) {
	st := su.nextStart()
	su.carryOut(st)
	su.answerStart(st, Done)
	su.runFor(span)
	su.endWorker(st.Worker, true)
	su.finishStep(true)
}

// loseAdopted plays an attempt that another owner adopts before it crashes its worker late.
func (su *succession) loseAdopted() {
	st := su.nextStart()
	su.carryOut(st)
	su.answerStart(st, Done)
	su.runFor(crashedLate - crashedAfter)
	su.replaceOwner()
	su.runFor(crashedAfter)
	su.endWorker(st.Worker, true)
	su.finishStep(false)
}

// loseIntent plays an intent that is saved and never ordered, and the end of its worker. For a task that needs no intent, nothing is saved.
func (su *succession) loseIntent() {
	if !su.intentStored() {
		su.until(func() bool { return len(su.ordered) > 0 || su.intentStored() })
	}
	su.endWorker(su.workers[len(su.workers)-1].info.ID, true)
	su.finishStep(true)
}

// intentStored reports whether the row names an attempt on a living worker.
func (su *succession) intentStored() bool {
	return su.rowProgress != nil && slices.ContainsFunc(su.workers, func(wk *successionWorker) bool {
		return wk.alive && su.rowProgress.Progress.Unresolved[string(wk.info.ID)] != nil
	})
}

// loseUnstarted plays a start whose worker has ended before it arrives.
func (su *succession) loseUnstarted(replaced bool) {
	st := su.nextStart()
	su.endWorker(st.Worker, true)
	su.answerStart(st, NoAnswer)
	su.finishStep(replaced)
}

// loseUnread plays an attempt that ends well, and the end of its worker before that was read.
func (su *succession) loseUnread(silent, replaced bool) {
	st := su.nextStart()
	su.carryOut(st)
	su.answerStart(st, Done)
	if silent {
		su.runFor(crashedAfter)
	}
	su.endAttempt(st.Worker)
	su.endWorker(st.Worker, silent)
	su.finishStep(replaced)
}

// runFor lets the owner act for some time.
func (su *succession) runFor(span time.Duration) {
	for end := su.now.Add(span); su.now.Before(end); {
		su.tick()
	}
}

// finishStep replaces the owner if wanted, and lets it learn of the end of the worker.
func (su *succession) finishStep(replaced bool) {
	if replaced {
		su.replaceOwner()
	}
	su.awaitCharge()
}

// playSteps plays steps on a new succession. It ends early if the job is failed.
func playSteps(t *testing.T, steps ...lossStep) *succession {
	t.Helper()
	su := newSuccession(t)
	for _, ls := range steps {
		if su.failed() {
			break
		}
		ls.play(su)
	}
	return su
}

// startLast carries out the start that the owner orders next, if there is one.
func (su *succession) startLast() {
	if su.until(func() bool { return len(su.ordered) > 0 || su.failed() }) && len(su.ordered) > 0 {
		su.carryOut(su.ordered[0])
	}
}

// playCases plays sequences of steps, each of which must keep both promises when the owner has ordered the next start, if any.
func playCases(t *testing.T, cases map[string][]lossStep) {
	t.Helper()
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			su := playSteps(t, steps...)
			su.startLast()
			for _, what := range su.broken {
				t.Error(what)
			}
		})
	}
}

// Guards against starting a task that crashes its workers without end: a loss that no owner saw before an intent was kept is never counted, and of
// the others too few count as observed for the lower limit.
func TestSuccessionBoundsStartsAfterAnUnseenLoss(t *testing.T) {
	playCases(t, map[string][]lossStep{
		"one owner replaced, two answers lost":   {crashAckedReplaced, crashSeen, crashSeen, crashUnanswered, crashUnanswered},
		"owners cut off and replaced":            {crashCutOff, crashSeen, crashSeen, crashCutOff, crashCutOff},
		"each owner replaced after the answer":   {crashAckedReplaced, crashAckedReplaced, crashAckedReplaced, crashAckedReplaced, crashAckedReplaced},
		"owners replaced although they can save": {crashSavedReplaced, crashSavedReplaced, crashUnanswered, crashSavedReplaced, crashUnanswered},
	})
}

// Guards against dropping the losses of a task that crashes its workers later than minSurvival: how long it ran is lost with each owner, so that
// the next attempt seems to run for longer than any before.
func TestSuccessionKeepsHowLongAnAttemptRan(t *testing.T) {
	playCases(t, map[string][]lossStep{
		"each owner replaced at the end":       {crashLateReplaced, crashLateReplaced, crashLateReplaced, crashLateReplaced, crashLateReplaced},
		"each owner replaced some time before": {crashLateAdopted, crashLateAdopted, crashLateAdopted, crashLateAdopted, crashLateAdopted},
	})
}

// Guards against failing a job for starts that were never ordered: an intent whose owner was replaced looks like a start that nobody answered.
func TestSuccessionSparesTasksThatWereNeverOrdered(t *testing.T) {
	playCases(t, map[string][]lossStep{
		"after one crash":         {crashSeen, neverOrdered, neverOrdered, neverOrdered, neverOrdered},
		"after no crash at all":   {neverOrdered, neverOrdered, neverOrdered, neverOrdered, neverOrdered, neverOrdered},
		"after one strong loss":   {crashSeenBroken, endUnreadReplaced, neverOrdered, neverOrdered},
		"after workers had ended": {endedBefore, endedBefore, endedBeforeReplaced, neverOrdered, neverOrdered},
	})
}

// Guards against failing a job for workers that ended after its attempts had ended well there.
func TestSuccessionSparesTasksThatEndedWell(t *testing.T) {
	playCases(t, map[string][]lossStep{
		"connections broke right after": {endUnreadBroken, endUnreadBroken},
		"owners replaced":               {crashSeen, endUnreadReplaced, endUnreadReplaced, neverOrdered},
	})
}

// Guards against failing a job for workers that had ended before its starts arrived.
func TestSuccessionSparesTasksWhoseWorkersHadEnded(t *testing.T) {
	playCases(t, map[string][]lossStep{
		"one owner":     {endedBefore, endedBefore, endedBefore, endedBefore, endedBefore},
		"each replaced": {endedBeforeReplaced, endedBeforeReplaced, endedBeforeReplaced, endedBeforeReplaced, endedBeforeReplaced, endedBeforeReplaced},
	})
}

// Guards the harness: where one owner has seen the first loss, the bounds hold whatever becomes of the owners after it.
func TestSuccessionKeepsPromisesOnceALossIsKept(t *testing.T) {
	playCases(t, map[string][]lossStep{
		"one owner sees each crash":                 {crashSeen, crashSeen, crashSeen, crashSeen},
		"no start is answered":                      {crashUnanswered, crashUnanswered, crashUnanswered, crashUnanswered, crashUnanswered},
		"the others are replaced":                   {crashSeen, crashAckedReplaced, crashAckedReplaced, crashAckedReplaced, crashAckedReplaced},
		"the others are replaced without an answer": {crashSeen, crashUnansweredReplaced, crashUnansweredReplaced, crashUnansweredReplaced, crashUnansweredReplaced},
		"the others are cut off":                    {crashSeen, crashCutOff, crashCutOff, crashCutOff, crashCutOff},
		"three starts are never ordered":            {crashSeen, neverOrdered, neverOrdered, neverOrdered},
		"an attempt ends well, its worker ends":     {crashSeen, endUnread},
		"a worker ends before a start, owner goes":  {crashSeen, endedBeforeReplaced},
	})
}
