package endpoint

// AttemptOutcome is how one attempt ended.
type AttemptOutcome int

// The ends of an attempt.
const (
	// Answered means that a complete answer came back.
	Answered AttemptOutcome = iota
	// NotSent means that no byte can have reached the endpoint.
	NotSent
	// Refused means that the endpoint said, by its published word, that it did not start.
	Refused
	// MaybeRun means that bytes went out and no complete answer came back.
	MaybeRun
)

// Prior is what is known of earlier tries of the same request through any entry instance.
type Prior int

// What can be known of earlier tries.
const (
	// PriorNone means that no earlier try can have run or can run still.
	PriorNone Prior = iota
	// PriorUnknown means that an earlier try may have run.
	PriorUnknown
)

// Outcome is the final word on a request.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown"
)

var endNames = [...]string{"answered", "notSent", "refused", "perhapsRun"}

// String returns the name of the end.
func (ao AttemptOutcome) String() string {
	return endNames[ao]
}

// Fold returns the final word on a request from the ends of its attempts and what is known of earlier tries.
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

// MayRetry reports whether another attempt is allowed after one that ended so.
func MayRetry(ao AttemptOutcome, repeatable bool) bool {
	switch ao {
	case NotSent, Refused:
		return true
	case MaybeRun:
		return repeatable
	}
	return false
}
