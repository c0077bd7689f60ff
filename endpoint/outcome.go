package endpoint

// End is how one attempt ended.
type End int

// The ends of an attempt.
const (
	// Answered means that a complete answer came back.
	Answered End = iota
	// NotSent means that no byte can have reached the endpoint.
	NotSent
	// Refused means that the endpoint said, by its published word, that it did not start.
	Refused
	// PerhapsRun means that bytes went out and no complete answer came back.
	PerhapsRun
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
func (ed End) String() string {
	return endNames[ed]
}

// Fold returns the final word on a request from the ends of its attempts and what is known of earlier tries.
func Fold(prior Prior, ends []End) Outcome {
	perhaps := prior == PriorUnknown
	for _, ed := range ends {
		switch ed {
		case Answered:
			return OutcomeAnswered
		case PerhapsRun:
			perhaps = true
		}
	}
	if perhaps {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// MayRetry reports whether another attempt is allowed after one that ended so.
func MayRetry(ed End, repeatable bool) bool {
	switch ed {
	case NotSent, Refused:
		return true
	case PerhapsRun:
		return repeatable
	}
	return false
}
