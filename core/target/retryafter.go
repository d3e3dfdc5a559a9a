package target

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerRetryAfter is the standard header (RFC 9110). Targets may use fractions of a second.
const headerRetryAfter = "Retry-After"

// ParsePushback returns the pushback in a response that rejects a request. Of several values the
// longest applies; invalid is an unreadable value, quoted, or "".
func ParsePushback(status int, h http.Header) (pushback time.Duration, invalid string) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		// With other statuses the header does not mean a pushback.
		return 0, ""
	}
	for _, value := range h.Values(headerRetryAfter) {
		d, ok := parseRetryAfter(strings.TrimSpace(value), h.Get("Date"))
		if !ok {
			invalid = strconv.Quote(value)
		}
		pushback = max(pushback, d)
	}
	return pushback, invalid
}

// maxSeconds is the largest number of seconds that a Duration holds, rounded down.
const maxSeconds = 9e9

// parseRetryAfter parses seconds, with fractions, or a date. A date is compared with the response's
// own Date header, because the clocks of boxes differ.
func parseRetryAfter(value, date string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, maxSeconds) * float64(time.Second)), true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	from, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return max(0, until.Sub(from)), true
}
