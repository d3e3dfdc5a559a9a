package relay

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeDone: the caller has the complete answer.
	outcomeDone outcome = iota
	// outcomeNotSent: no byte reached the target.
	outcomeNotSent
	// outcomeUnavailable: no byte was sent, since the target became unavailable after it was
	// chosen.
	outcomeUnavailable
	// outcomeRefused: the target reports that it did not execute the request.
	outcomeRefused
	// outcomeIncomplete: there is no answer or a truncated one; the request may have been executed.
	outcomeIncomplete
	// outcomeFailed: the target answered with an error, and the request may be retried elsewhere;
	// the answer is kept.
	outcomeFailed
	// outcomeCallerGone: the caller disconnected.
	outcomeCallerGone
	// outcomeTimedOut: the deadline has passed.
	outcomeTimedOut
	// outcomeTruncated: part of the answer was passed on and it cannot be completed.
	outcomeTruncated
)

var outcomeNames = [...]string{"done", "notSent", "stopped", "refused", "broken", "bad", "left", "late", "cut"}

// String returns the outcome as written in log lines.
func (o outcome) String() string { return outcomeNames[o] }
