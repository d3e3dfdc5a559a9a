package relay

// outcome says how one send ended.
type outcome int

const (
	// done: the caller has the whole answer.
	done outcome = iota
	// notSent: no byte reached the target.
	notSent
	// stopped: no byte went out, since the target may get nothing any more.
	stopped
	// refused: the target says that it did not run the request.
	refused
	// broken: there is no answer, or not a whole one; it may have run.
	broken
	// bad: the target answered with a failure that a repeatable request may
	// try again elsewhere; the answer is kept.
	bad
	// left: the caller has gone.
	left
	// late: the time is up.
	late
	// cut: part of the answer was passed on and it cannot be completed.
	cut
)

var outcomeNames = [...]string{"done", "notSent", "stopped", "refused", "broken", "bad", "left", "late", "cut"}

// String returns the outcome as it stands in log lines.
func (o outcome) String() string { return outcomeNames[o] }
