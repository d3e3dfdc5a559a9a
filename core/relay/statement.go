package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"embertally.dev/core/target"
)

// statement is what a response says of the execution of the request that an attempt sent.
type statement int

const (
	// saysNothing: nothing binds the response to the request, or it contradicts itself. The request may have been executed.
	saysNothing statement = iota
	// saysExecuted: the response is the target's answer to the request.
	saysExecuted
	// saysNotExecuted: the target has not executed the request and never will.
	saysNotExecuted
)

var statementNames = [...]string{"proves nothing", "answer", "rejection"}

// String returns the statement as written in log lines.
func (s statement) String() string { return statementNames[s] }

// statement returns what the response says of the attempt of a request with an ID.
func (m *ResponseMeta) statement(attemptID string) statement {
	switch {
	case len(m.AttemptIDs) != 1 || m.AttemptIDs[0] == "" || m.AttemptIDs[0] != attemptID, m.Contradictory:
		return saysNothing
	case m.NotExecuted:
		return saysNotExecuted
	}
	return saysExecuted
}

// describe returns the words of a response's head that tell whether the request of an attempt was executed.
func (m *ResponseMeta) describe(status int, attemptID string) string {
	out := []string{fmt.Sprintf("status %d", status)}
	switch {
	case len(m.AttemptIDs) == 0:
		out = append(out, "names no request")
	case len(m.AttemptIDs) > 1:
		out = append(out, fmt.Sprintf("names requests %q", m.AttemptIDs))
	case m.AttemptIDs[0] != attemptID:
		out = append(out, fmt.Sprintf("names request %q", m.AttemptIDs[0]))
	default:
		out = append(out, "names the request")
	}
	if m.NotExecuted {
		out = append(out, "not executed")
	}
	if m.Contradictory {
		out = append(out, "contradicts itself")
	}
	if m.Signed {
		out = append(out, "signed")
	}
	return strings.Join(out, ", ")
}

// promiseStatuses are the statuses that tell callers that a request has not been executed and never will be.
var promiseStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// isPromise reports whether a status tells callers that their request has not been executed and never will be.
func isPromise(status int) bool { return slices.Contains(promiseStatuses, status) }

// proof shows that an attempt was not executed and never will be. Only proofOfRejection and proofOfNothingSent make one.
type proof struct{ valid bool }

// proofOfRejection returns the proof in a target's statement, if it is one.
func proofOfRejection(s statement) proof { return proof{s == saysNotExecuted} }

// proofOfNothingSent returns the proof in the error of an attempt without a response, if no byte of the request was written.
func proofOfNothingSent(err error) proof { return proof{err != nil && !target.MayHaveArrived(err)} }

// beginExecution counts an attempt that is about to be sent as executed, until retract.
func (p *proxiedRequest) beginExecution() { p.executions++ }

// retract uncounts an attempt as executed, given the proof, and reports whether that is valid.
func (p *proxiedRequest) retract(pr proof) bool {
	if pr.valid {
		p.executions--
	}
	return pr.valid
}
