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

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 20

// retryBucket holds the counts of one part of the window.
type retryBucket struct{ requests, retries int }

// advance moves to the bucket of now and clears the buckets that it enters.
func (a *RetryBudget) advance(now time.Duration) {
	bucket := int64(now / (a.Window / windowBuckets))
	if bucket-a.current > int64(len(a.buckets)) {
		a.buckets = [windowBuckets + 1]retryBucket{}
		a.current = bucket
	}
	for ; a.current < bucket; a.current++ {
		a.buckets[(a.current+1)%int64(len(a.buckets))] = retryBucket{}
	}
}

// currentBucket returns the bucket being filled.
func (a *RetryBudget) currentBucket() *retryBucket {
	return &a.buckets[a.current%int64(len(a.buckets))]
}

// RecordRequest records a request.
func (a *RetryBudget) RecordRequest(now time.Duration) {
	if a.Window <= 0 {
		return
	}
	a.advance(now)
	a.currentBucket().requests++
}

// TryRetry reports whether a retry is allowed, and records it if so.
func (a *RetryBudget) TryRetry(now time.Duration) bool {
	if a.Window <= 0 {
		return false
	}
	a.advance(now)
	requests, retries := 0, 0
	for _, b := range a.buckets {
		requests += b.requests
		retries += b.retries
	}
	if float64(retries+1) > a.RetriesPerRequest*float64(requests)+a.ExtraRetries {
		return false
	}
	a.currentBucket().retries++
	return true
}
