// Package clock owns the time that ages, leases and silences are measured by. It goes on
// while the machine is suspended, and does not jump when the time of day is set.
//
// It must not know what is measured. Times of day and timers are package time's.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a moment on this machine. It means nothing on another one, or after a start of
// the machine. The zero value stands for never, and comes before all others.
//
// It is a type of its own so that it cannot be taken for a time.Time: the steady reading in
// there stands still during a suspension, so that what was known before seems as young
// after it as it was.
type Time struct{ boot time.Duration }

// moved is what tests have moved the clock by.
var moved atomic.Int64

// began is the origin of the steady clock that stands in for a missing one.
var began = time.Now()

// Now returns the time by CLOCK_BOOTTIME. Where the kernel has none it is the steady clock,
// which stands still during a suspension.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time{time.Since(began) + 1 + time.Duration(moved.Load())}
	}
	return Time{time.Duration(ts.Nano() + moved.Load())}
}

// Since returns how long ago t was, suspensions included.
func Since(t Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until t.
func Until(t Time) time.Duration { return t.Sub(Now()) }

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return Time{t.boot + d} }

// Sub returns how much later t is than u.
func (t Time) Sub(u Time) time.Duration { return t.boot - u.boot }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t.boot > u.boot }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t.boot < u.boot }

// IsZero reports whether t stands for never.
func (t Time) IsZero() bool { return t == Time{} }

// Suspend moves the clock on by d while the steady clock stays, as a suspension of the
// machine does. It is for tests: nothing undoes it.
func Suspend(d time.Duration) { moved.Add(int64(d)) }
