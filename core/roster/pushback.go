package roster

import (
	"sync"
	"time"

	"embertally.dev/core/clock"
)

// pushback is the time in which a target that rejected requests wants none, and the ramp after it,
// in which it gets few. The zero value is neither. It counts time in system suspend, as the
// target's clock does.
type pushback struct {
	until clock.Time
	// rampAttempts counts the attempts after until; it is unused before.
	rampAttempts int
	// lastLogged is when a log line was last due, and logged means that one was due for this
	// pushback.
	lastLogged clock.Time
	logged     bool
}

const (
	// MaxPushback is the longest pushback that is honoured: the longest time that the users'
	// specification names for anything (a lease of the coordination store). A longer one could
	// exclude a target for good because of one wrong digit; after this time one request is tried.
	MaxPushback = 10 * time.Minute
	// rampStep is the interval between the first attempts after a pushback, until one is accepted:
	// the time for a new connection and a response header on a busy target. Without it all queued
	// requests would go there at once, and a target that was about to recover would reject them
	// again.
	rampStep = 100 * time.Millisecond
	// rampSteps is the number of such attempts, after which the target is treated as any other.
	rampSteps = 10
	// pushbackLogInterval is the minimum time between log lines about the pushback of one target. A
	// target that rejects everything would otherwise cause a line for each request.
	pushbackLogInterval = time.Second
)

// extend records a rejection with a pushback of d, and reports whether a new pushback starts and a
// log line is due. Of two pushbacks the one that ends later applies: a target that sent three
// seconds does not want requests after one second because a second rejection says so.
func (p *pushback) extend(d time.Duration, now clock.Time) bool {
	starts := !now.Before(p.until)
	if until := now.Add(min(d, MaxPushback)); until.After(p.until) {
		p.until = until
	}
	p.rampAttempts = 0
	if !starts || (!p.lastLogged.IsZero() && now.Sub(p.lastLogged) < pushbackLogInterval) {
		return false
	}
	p.lastLogged, p.logged = now, true
	return true
}

// remaining returns how much longer the target gets no requests; 0 if it may get one.
func (p *pushback) remaining(now clock.Time) time.Duration {
	if now.Before(p.until) {
		return p.until.Sub(now)
	}
	if p.rampDone(now) {
		return 0
	}
	return max(0, p.until.Add(time.Duration(p.rampAttempts)*rampStep).Sub(now))
}

// rampDone reports whether the target is treated as any other.
func (p *pushback) rampDone(now clock.Time) bool {
	return p.until.IsZero() || now.Sub(p.until) >= rampSteps*rampStep
}

// allowAttempt counts an attempt, and reports whether it may be sent.
func (p *pushback) allowAttempt(now clock.Time) bool {
	if p.remaining(now) > 0 {
		return false
	}
	p.rampAttempts++
	return true
}

// endRamp ends the ramp because a request was accepted, and reports whether a log line is due: it
// is if one was due when the pushback started.
func (p *pushback) endRamp(now clock.Time) bool {
	if p.until.IsZero() || now.Before(p.until) {
		return false
	}
	logged := p.logged
	*p = pushback{lastLogged: p.lastLogged}
	return logged
}

// PushbackList holds the pushback of targets by name, for callers without a Roster. The zero value
// is ready to use.
type PushbackList struct {
	pushbacksMu sync.Mutex
	byName      map[string]*incarnationPushback // guarded by pushbacksMu
}

// incarnationPushback is the pushback of one incarnation of a target.
type incarnationPushback struct {
	incarnation string // "" if unknown
	pushback
}

// RecordRejection records that an incarnation of a target rejected a request with a pushback of d.
// It reports whether a log line is due for that.
func (l *PushbackList) RecordRejection(name, incarnation string, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	l.pushbacksMu.Lock()
	defer l.pushbacksMu.Unlock()
	if l.byName == nil {
		l.byName = map[string]*incarnationPushback{}
	}
	p := l.byName[name]
	if p == nil || p.incarnation != incarnation {
		p = &incarnationPushback{incarnation: incarnation}
		l.byName[name] = p
	}
	return p.extend(d, clock.Now())
}

// RecordAccepted records that a target accepted a request. It reports whether that ended a ramp and
// a log line is due for it.
func (l *PushbackList) RecordAccepted(name string) bool {
	l.pushbacksMu.Lock()
	defer l.pushbacksMu.Unlock()
	p := l.byName[name]
	return p != nil && p.endRamp(clock.Now())
}

// AllowAttempt counts an attempt at a target, and reports whether it may be sent.
func (l *PushbackList) AllowAttempt(name string) bool {
	l.pushbacksMu.Lock()
	defer l.pushbacksMu.Unlock()
	p := l.byName[name]
	return p == nil || p.allowAttempt(clock.Now())
}

// Remaining returns how much longer each target gets no requests, without those that may get one.
// incarnationOf returns the current incarnation of a name, or "" if unknown: the pushback of
// another incarnation does not apply to it. Targets whose ramp is over are forgotten.
func (l *PushbackList) Remaining(incarnationOf func(name string) string) map[string]time.Duration {
	l.pushbacksMu.Lock()
	defer l.pushbacksMu.Unlock()
	now := clock.Now()
	var out map[string]time.Duration
	for name, p := range l.byName {
		if current := incarnationOf(name); current != "" && p.incarnation != "" && current != p.incarnation {
			delete(l.byName, name)
			continue
		}
		remaining := p.remaining(now)
		switch {
		case remaining > 0 && out == nil:
			out = map[string]time.Duration{name: remaining}
		case remaining > 0:
			out[name] = remaining
		case p.rampDone(now) && now.Sub(p.lastLogged) >= pushbackLogInterval:
			delete(l.byName, name)
		}
	}
	return out
}
