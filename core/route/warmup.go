package route

import "time"

// ConcurrentViews is the number of different views of the fleet's membership that daemons
// may have at the same time without exceeding a target's warm-up rate together: the view
// before a box is lost or the network is partitioned, and the view after that.
const ConcurrentViews = 2

// WarmUpShare returns the number of requests per second that one daemon may send to a target
// that is warming up. maxRate is the target's warm-up rate: what it may get per second from
// all daemons together. rank is this daemon's rank, from 0, among the daemons that may send to
// the target. Daemons don't coordinate: each computes its share from the list of boxes, and
// unused shares are not redistributed.
//
// It guards against the overload of workers that return at the same time: in a failure domain
// of 28 workers each sustains 26 requests per second in its first three seconds, and without
// a limit the idle ones would get most of the 1,225 that arrive.
func WarmUpShare(maxRate float64, daemons, rank int) int {
	if daemons <= 0 {
		return 0
	}
	n := int(maxRate / ConcurrentViews)
	share := n / daemons
	if rank < n%daemons {
		share++
	}
	return share
}

// WarmUpLimiter is the rate limiter of one daemon for one target that is warming up. The zero value
// has recorded no attempts.
type WarmUpLimiter struct {
	// sent holds the times of the attempts within the last warmUpWindow, oldest first.
	sent []time.Time
}

// warmUpWindow is the length of the sliding window of a WarmUpLimiter. It is a second, plus
// the time by which two attempts may move closer to each other on the way to the target,
// a scheduling delay of a busy daemon.
const warmUpWindow = 1050 * time.Millisecond

// Allows reports whether another attempt is allowed if at most share are per second.
func (l *WarmUpLimiter) Allows(share int, now time.Time) bool {
	for len(l.sent) > 0 && now.Sub(l.sent[0]) >= warmUpWindow {
		l.sent = l.sent[1:]
	}
	return len(l.sent) < share
}

// RecordAttempt records an attempt.
func (l *WarmUpLimiter) RecordAttempt(now time.Time) { l.sent = append(l.sent, now) }

// Idle reports whether there was no attempt within the window.
func (l *WarmUpLimiter) Idle(now time.Time) bool {
	return len(l.sent) == 0 || now.Sub(l.sent[len(l.sent)-1]) >= warmUpWindow
}
