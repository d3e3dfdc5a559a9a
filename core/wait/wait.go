// Package wait pauses a goroutine for a time that its context can cut short, and ends
// calls whose answers no longer come.
//
// It holds no state, and must not know what is waited for.
package wait

import (
	"context"
	"time"
)

// For returns after d, or when ctx ends; it reports whether d has passed.
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

// Every calls f after each d until ctx ends. Calls that fall into a longer one
// are left out.
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
