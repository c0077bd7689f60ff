package endpoint

// AttemptOutcome is how one attempt ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// Answered means that a complete answer was received.
	Answered AttemptOutcome = iota
	// NotSent means that no byte can have reached the endpoint.
	NotSent
	// Refused means that the endpoint reported in HeaderNotRun that it did not start the request.
	Refused
	// MaybeRun means that bytes may have been sent and no complete answer was received, so that the request may have run.
	MaybeRun
)

// Prior says what is known about earlier tries of the same request through any entry instance.
type Prior int

// The states of knowledge about earlier tries.
const (
	// PriorNone means that no earlier try has run or can still run.
	PriorNone Prior = iota
	// PriorUnknown means that an earlier try may have run.
	PriorUnknown
)

// Outcome is the final outcome of a request.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown"
)

var endNames = [...]string{"answered", "notSent", "refused", "perhapsRun"}

// String returns the name of the outcome.
func (ao AttemptOutcome) String() string {
	return endNames[ao]
}

// Fold combines the outcomes of a request's attempts and the knowledge about earlier tries into the outcome of the request.
func Fold(prior Prior, ends []AttemptOutcome) Outcome {
	maybeRun := prior == PriorUnknown
	for _, ao := range ends {
		switch ao {
		case Answered:
			return OutcomeAnswered
		case MaybeRun:
			maybeRun = true
		}
	}
	if maybeRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// MayRetry reports whether another attempt is allowed after one with the given outcome.
func MayRetry(ao AttemptOutcome, repeatable bool) bool {
	switch ao {
	case NotSent, Refused:
		return true
	case MaybeRun:
		return repeatable
	}
	return false
}
