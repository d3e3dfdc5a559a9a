package target

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerRetryAfter is the published header (RFC 9110). Targets may give fractions of a second.
const headerRetryAfter = "Retry-After"

// AskedRest reads for how long a target that turns a request away wants nothing. Of several
// values the longest counts; odd is one that can't be read.
func AskedRest(status int, h http.Header) (rest time.Duration, odd string) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		// On other answers the header asks for nothing of the kind.
		return 0, ""
	}
	for _, value := range h.Values(headerRetryAfter) {
		d, ok := restTime(strings.TrimSpace(value), h.Get("Date"))
		if !ok {
			odd = strconv.Quote(value)
		}
		rest = max(rest, d)
	}
	return rest, odd
}

// secondsMost is the largest number of seconds that a Duration holds, rounded down.
const secondsMost = 9e9

// restTime reads seconds, with fractions, or a date, which counts from the date of the
// answer itself: the clocks of boxes differ.
func restTime(value, date string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, secondsMost) * float64(time.Second)), true
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
