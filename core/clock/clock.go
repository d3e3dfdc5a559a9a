// Package clock owns the clock that ages, leases and timeouts are measured with. It keeps running
// while the system is suspended, and does not jump when the time of day is set.
//
// It must not know what is measured. For times of day and timers use package time.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time on this box, valid until its next boot and meaningless on other boxes.
// The zero value means "never" and is before all others.
//
// It is a separate type so that it cannot be confused with time.Time, whose monotonic reading stops
// during a system suspend, so that data would seem no older after the suspend than before.
type Time struct{ boot time.Duration }

// testOffset is the time in ns that Suspend has added to the clock.
var testOffset atomic.Int64

// start is the origin of the monotonic clock where CLOCK_BOOTTIME is not available.
var start = time.Now()

// Now returns the time of CLOCK_BOOTTIME. Where the kernel has none it uses the monotonic clock,
// which stops during a system suspend.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time{time.Since(start) + 1 + time.Duration(testOffset.Load())}
	}
	return Time{time.Duration(ts.Nano() + testOffset.Load())}
}

// Since returns the time elapsed since t, system suspends included.
func Since(t Time) time.Duration { return Now().Sub(t) }

// Until returns the time remaining until t.
func Until(t Time) time.Duration { return t.Sub(Now()) }

// Add returns t + d.
func (t Time) Add(d time.Duration) Time { return Time{t.boot + d} }

// Sub returns t - u.
func (t Time) Sub(u Time) time.Duration { return t.boot - u.boot }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t.boot > u.boot }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t.boot < u.boot }

// IsZero reports whether t is the zero value.
func (t Time) IsZero() bool { return t == Time{} }

// Suspend advances the clock by d while the monotonic clock does not move, as a system suspend
// does. It is for tests and cannot be undone.
func Suspend(d time.Duration) { testOffset.Add(int64(d)) }
