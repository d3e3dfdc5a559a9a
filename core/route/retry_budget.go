package route

import "time"

// RetryBudget is a retry budget. Over a sliding window it bounds the retries to a
// service to a share of the requests plus a constant. Times are readings of a
// monotonic clock. The zero value allows no retries.
type RetryBudget struct {
	// RetriesPerRequest is the number of retries allowed per request.
	RetriesPerRequest float64
	// ExtraRetries is the number of further retries allowed per window.
	ExtraRetries float64
	// Window is the length of the window.
	Window time.Duration

	// buckets is a ring that covers the window and the bucket being filled.
	buckets [windowBuckets + 1]retryBucket
	// current is the number of the bucket being filled, counted from time 0.
	current int64
}

// startupShare is the part of the extra retries that a process may make within its first window.
const startupShare = 0.3

// ExtraSinceStart returns how many of extra retries per window a process may make that started a given
// time ago. It cannot know what its predecessors in the window have spent: one of them may have used
// all of extra, and the others together startupShare of it, since their times add up to one window at
// most.
func ExtraSinceStart(extra float64, sinceStart, window time.Duration) float64 {
	if sinceStart >= window {
		return extra
	}
	return extra * startupShare * sinceStart.Seconds() / window.Seconds()
}

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 20

// retryBucket holds the counts of one part of the window.
type retryBucket struct{ requests, retries int }

// advance moves to the bucket of now and clears the buckets that it enters.
func (r *RetryBudget) advance(now time.Duration) {
	bucket := int64(now / (r.Window / windowBuckets))
	if bucket-r.current > int64(len(r.buckets)) {
		r.buckets = [windowBuckets + 1]retryBucket{}
		r.current = bucket
	}
	for ; r.current < bucket; r.current++ {
		r.buckets[(r.current+1)%int64(len(r.buckets))] = retryBucket{}
	}
}

// currentBucket returns the bucket being filled.
func (r *RetryBudget) currentBucket() *retryBucket {
	return &r.buckets[r.current%int64(len(r.buckets))]
}

// RecordRequest records a request.
func (r *RetryBudget) RecordRequest(now time.Duration) {
	if r.Window <= 0 {
		return
	}
	r.advance(now)
	r.currentBucket().requests++
}

// TryRetry reports whether a retry is allowed, and records it if so.
func (r *RetryBudget) TryRetry(now time.Duration) bool { return r.TryRetryWithin(1, now) }

// TryRetryWithin is TryRetry for a retry that may use only the given share of the budget, so that
// the rest is left to others.
func (r *RetryBudget) TryRetryWithin(share float64, now time.Duration) bool {
	if r.Window <= 0 {
		return false
	}
	r.advance(now)
	requests, retries := 0, 0
	for _, b := range r.buckets {
		requests += b.requests
		retries += b.retries
	}
	if float64(retries+1) > share*(r.RetriesPerRequest*float64(requests)+r.ExtraRetries) {
		return false
	}
	r.currentBucket().retries++
	return true
}
