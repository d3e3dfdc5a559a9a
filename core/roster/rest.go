package roster

import (
	"sync"
	"time"

	"embertally.dev/core/clock"
)

// rest is the time in which a target that turned requests away wants nothing, and the while after
// it in which it gets little. The zero value is over. It counts time that the machine is
// suspended, as the target's clock does.
type rest struct {
	until clock.Time
	// sent counts the sends after until; it is not used while the rest lasts.
	sent int
	// told is when a line was last due for a rest, and noted tells that one was for this rest.
	told  clock.Time
	noted bool
}

const (
	// RestMost is the longest rest that is believed, the longest time that the users' pages name
	// for anything (a lease of the platform's store). A longer one would keep a target out for good
	// by one wrong digit; after this time one request finds out.
	RestMost = 10 * time.Minute
	// rampStep is the pause between the first sends after a rest, until one is taken: the time
	// of a new connection and an answer's head on a busy target. Without it all that waits goes there at
	// once, and what was about to bear requests again turns them away once more.
	rampStep = 100 * time.Millisecond
	// rampSteps is how many such sends there are before the target counts as any other.
	rampSteps = 10
	// restLine is the least time between lines of the rests of one target: one that turns away all
	// that it gets would otherwise write one for each request.
	restLine = time.Second
)

// ask prolongs the rest, and reports whether it begins and a line is due for it. Of two the one that
// ends later holds: a target that asked for three seconds does not want requests after one because
// it told another request so.
func (r *rest) ask(d time.Duration, now clock.Time) bool {
	begins := !now.Before(r.until)
	if until := now.Add(min(d, RestMost)); until.After(r.until) {
		r.until = until
	}
	r.sent = 0
	if !begins || (!r.told.IsZero() && now.Sub(r.told) < restLine) {
		return false
	}
	r.told, r.noted = now, true
	return true
}

// left returns for how much longer the target gets nothing; 0 where it may get a send.
func (r *rest) left(now clock.Time) time.Duration {
	if now.Before(r.until) {
		return r.until.Sub(now)
	}
	if r.over(now) {
		return 0
	}
	return max(0, r.until.Add(time.Duration(r.sent)*rampStep).Sub(now))
}

// over reports whether the target counts as any other.
func (r *rest) over(now clock.Time) bool {
	return r.until.IsZero() || now.Sub(r.until) >= rampSteps*rampStep
}

// take counts a send, and reports whether it may go out.
func (r *rest) take(now clock.Time) bool {
	if r.left(now) > 0 {
		return false
	}
	r.sent++
	return true
}

// end ends the while after the rest, and reports whether a line is due: one was for its begin.
func (r *rest) end(now clock.Time) bool {
	if r.until.IsZero() || now.Before(r.until) {
		return false
	}
	noted := r.noted
	*r = rest{told: r.told}
	return noted
}

// RestList keeps the rests that targets asked this daemon for, by name, for those who keep no Roster.
// The zero value is ready.
type RestList struct {
	restsMu sync.Mutex
	byName  map[string]*namedRest // guarded by restsMu
}

// namedRest is the rest of one run of a target.
type namedRest struct {
	run string // "" where it is not known
	rest
}

// Turned records that a run of a target turned a request away and asked for rest. It reports
// whether a line is due for that.
func (r *RestList) Turned(name, run string, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	r.restsMu.Lock()
	defer r.restsMu.Unlock()
	if r.byName == nil {
		r.byName = map[string]*namedRest{}
	}
	known := r.byName[name]
	if known == nil || known.run != run {
		known = &namedRest{run: run}
		r.byName[name] = known
	}
	return known.ask(d, clock.Now())
}

// Took records that a target has taken a request. It reports whether that ended the while after
// a rest and a line is due for it.
func (r *RestList) Took(name string) bool {
	r.restsMu.Lock()
	defer r.restsMu.Unlock()
	known := r.byName[name]
	return known != nil && known.end(clock.Now())
}

// Take counts a send to a target, and reports whether it may go out.
func (r *RestList) Take(name string) bool {
	r.restsMu.Lock()
	defer r.restsMu.Unlock()
	known := r.byName[name]
	return known == nil || known.take(clock.Now())
}

// Left returns for how much longer each target gets nothing, without those that may get a send.
// run returns the run that a name stands for now, or "" where that is not known: another run than the
// one that asked gets requests. Targets that count as any other again are forgotten.
func (r *RestList) Left(run func(name string) string) map[string]time.Duration {
	r.restsMu.Lock()
	defer r.restsMu.Unlock()
	now := clock.Now()
	var out map[string]time.Duration
	for name, known := range r.byName {
		if is := run(name); is != "" && known.run != "" && is != known.run {
			delete(r.byName, name)
			continue
		}
		left := known.left(now)
		switch {
		case left > 0 && out == nil:
			out = map[string]time.Duration{name: left}
		case left > 0:
			out[name] = left
		case known.over(now) && now.Sub(known.told) >= restLine:
			delete(r.byName, name)
		}
	}
	return out
}
