package relay

// outcome says how one send ended.
type outcome int

const (
	// done: the caller has the whole answer.
	outcomeDone outcome = iota
	// notSent: no byte reached the target.
	outcomeNotSent
	// stopped: no byte went out, since the target may get nothing any more.
	outcomeUnavailable
	// refused: the target says that it did not run the request.
	outcomeRefused
	// broken: there is no answer, or not a whole one; it may have run.
	outcomeIncomplete
	// bad: the target answered with a failure that a repeatable request may
	// try again elsewhere; the answer is kept.
	outcomeFailed
	// left: the caller has gone.
	outcomeCallerGone
	// late: the time is up.
	outcomeTimedOut
	// cut: part of the answer was passed on and it cannot be completed.
	outcomeTruncated
)

var outcomeNames = [...]string{"done", "notSent", "stopped", "refused", "broken", "bad", "left", "late", "cut"}

// String returns the outcome as it stands in log lines.
func (o outcome) String() string { return outcomeNames[o] }
