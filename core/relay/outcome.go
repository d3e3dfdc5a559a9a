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
	// outcomeRejected: the target reports that it did not execute the request.
	outcomeRejected
	// outcomeIncomplete: there is no response or a truncated one; the request may have been
	// executed.
	outcomeIncomplete
	// outcomeFailed: the target responded with an error, and the request may be retried
	// elsewhere; the response is kept.
	outcomeFailed
	// outcomeCallerDisconnected: the caller disconnected.
	outcomeCallerDisconnected
	// outcomeTimedOut: the deadline has passed.
	outcomeTimedOut
	// outcomeTruncated: part of the response was passed on, and the rest cannot be.
	outcomeTruncated
	// outcomeSlowOpen: no byte was sent, since the connection took longer to open than usual.
	outcomeSlowOpen
	// outcomeInvalid: no byte was sent, since something was missing that every attempt must have, or since the request may
	// run once and an earlier attempt may have run.
	outcomeInvalid
	// outcomeStopped: the daemon stops; the request may have been executed.
	outcomeStopped
)

var outcomeNames = [...]string{"done", "notSent", "stopped", "refused", "broken", "bad", "left", "late", "cut", "slowOpen", "invalid", "ended"}

// String returns the outcome as written in log lines.
func (o outcome) String() string { return outcomeNames[o] }
