// Package wait owns pauses that a context can cancel, periodic calls, exponential backoff and idle
// timeouts of calls.
//
// It has no global state and must not know what is waited for.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, and reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f at intervals of d until ctx is done. Calls that would start while f still runs are
// skipped.
func Every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f()
	}
}
