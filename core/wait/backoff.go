package wait

import (
	"sync"
	"time"
)

// Backoff keeps an exponential backoff for each key: Initial after a failure, doubled with each
// further failure in a row, up to Max. Attempts that run at the same time and fail for one cause count
// as one failure: an attempt that began before the last result says nothing new by failing. A Backoff is
// ready for use once both are set.
type Backoff[K comparable] struct {
	Initial, Max time.Duration

	backoffMu sync.Mutex
	results   map[K]result // guarded by backoffMu
}

// result is the state of a key: its failures in a row, when its backoff ends, and when the last result
// was recorded.
type result struct {
	failures       int
	ends, recorded time.Time
}

// maxDoublings bounds the doublings of the backoff, so that it can't overflow.
const maxDoublings = 16

// RecordFailure records that an attempt at k which began at a time has failed now.
func (b *Backoff[K]) RecordFailure(k K, began, now time.Time) {
	b.backoffMu.Lock()
	defer b.backoffMu.Unlock()
	r := b.results[k]
	if began.Before(r.recorded) {
		return
	}
	r.ends, r.recorded = now.Add(min(b.Initial<<min(r.failures, maxDoublings), b.Max)), now
	r.failures++
	b.record(k, r)
}

// RecordSuccess records a success of k now, which ends its backoff.
func (b *Backoff[K]) RecordSuccess(k K, now time.Time) {
	b.backoffMu.Lock()
	defer b.backoffMu.Unlock()
	b.record(k, result{recorded: now})
}

// record is called with backoffMu held.
func (b *Backoff[K]) record(k K, r result) {
	if b.results == nil {
		b.results = map[K]result{}
	}
	b.results[k] = r
}

// Ready reports whether k may be tried: it is not in a backoff.
func (b *Backoff[K]) Ready(k K, now time.Time) bool {
	b.backoffMu.Lock()
	defer b.backoffMu.Unlock()
	return !now.Before(b.results[k].ends)
}
