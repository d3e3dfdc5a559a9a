package route

// RetryThrottle throttles retries to a share of the requests, so that retries do not
// amplify an overload. The zero value allows retryBurst retries.
type RetryThrottle struct {
	// used is incremented by 1 with each retry and decremented by retryShare with
	// each request, down to 0; a retry is allowed while it is below retryBurst.
	used float64
}

const (
	// retryShare is the number of retries allowed per request.
	retryShare = 0.1
	// retryBurst is the number of retries allowed without requests in between.
	retryBurst = 20
)

// RecordRequest records a request.
func (t *RetryThrottle) RecordRequest() { t.used = max(0, t.used-retryShare) }

// TryRetry reports whether a retry is allowed, and records it if so.
func (t *RetryThrottle) TryRetry() bool {
	if t.used >= retryBurst {
		return false
	}
	t.used++
	return true
}

// UseDesiredVersion chooses between the two weight versions of a deployment during a weight
// update, and reports whether a context uses the desired one. ready of total workers
// have loaded the desired version. fraction is the context's hash, scaled to [0, 1): a
// context switches once it is below the share of ready workers, so that the load on
// each version is proportional to the workers that have it.
func UseDesiredVersion(fraction float64, ready, total int) (desired bool) {
	return total == 0 || fraction < float64(ready)/float64(total)
}
