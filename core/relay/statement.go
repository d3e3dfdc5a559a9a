package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// promiseStatuses are the statuses that tell callers that a request has not been executed and never will be.
var promiseStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// isPromise reports whether a status tells callers that their request has not been executed and never will be.
func isPromise(status int) bool { return slices.Contains(promiseStatuses, status) }

// describe returns the words of a response's head that tell whether the request of an attempt was executed.
func (m *ResponseMeta) describe(status int, attemptID string) string {
	var out []string
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
	if m.Signed {
		out = append(out, "signed")
	}
	return fmt.Sprintf("status %d, %s", status, strings.Join(out, ", "))
}

// firstAttemptID returns the first ID that the response names, or "".
func (m *ResponseMeta) firstAttemptID() string {
	if len(m.AttemptIDs) == 0 {
		return ""
	}
	return m.AttemptIDs[0]
}
