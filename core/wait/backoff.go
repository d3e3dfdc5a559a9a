package wait

import (
	"sync"
	"time"
)

// Backoff keeps an exponential backoff for each key: Initial after a failure, doubled with each
// further failure in a row, up to Max. A Backoff is ready for use once both are set.
type Backoff[K comparable] struct {
	Initial, Max time.Duration

	backoffMu sync.Mutex
	failures  map[K]failure // guarded by backoffMu
}

// failure is the state of a key that failed: the failures in a row and when its backoff ends.
type failure struct {
	count int
	ends  time.Time
}

// maxDoublings bounds the doublings of the backoff, so that it can't overflow.
const maxDoublings = 16

// RecordFailure records a failure of k.
func (b *Backoff[K]) RecordFailure(k K, now time.Time) {
	b.backoffMu.Lock()
	defer b.backoffMu.Unlock()
	if b.failures == nil {
		b.failures = map[K]failure{}
	}
	f := b.failures[k]
	f.ends = now.Add(min(b.Initial<<min(f.count, maxDoublings), b.Max))
	f.count++
	b.failures[k] = f
}

// RecordSuccess records a success of k, which ends its backoff.
func (b *Backoff[K]) RecordSuccess(k K) {
	b.backoffMu.Lock()
	defer b.backoffMu.Unlock()
	delete(b.failures, k)
}

// Ready reports whether k may be tried: it is not in a backoff.
func (b *Backoff[K]) Ready(k K, now time.Time) bool {
	b.backoffMu.Lock()
	defer b.backoffMu.Unlock()
	return !now.Before(b.failures[k].ends)
}
