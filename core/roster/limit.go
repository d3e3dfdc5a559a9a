package roster

import (
	"math"
	"strconv"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// Limit is the request rate that one answer of a target names. The zero value names none.
type Limit struct {
	Named bool
	// PerSecond is the rate, in requests a second from all daemons together.
	PerSecond float64
	// Odd is a value that can't be read, or "".
	Odd string
}

// Each daemon that uses a limited target has a token bucket of one request, which starts empty and
// fills at an equal share of the rate. Buckets of h daemons let through at most h + rate*window
// requests; h is bounded by the rate and not by the size of the fleet, so that the full buckets of a
// large fleet add up to no more than those of a small one.
const (
	// limitHolders is how many daemons use a limited target at least, where there are as many. One
	// more does for each request a second.
	limitHolders = 4
	// limitLeast is the lowest rate that is kept to: without any request nothing tells that the
	// target takes more again.
	limitLeast = 0.1
	// placeLife is how long the place of this daemon among those that may use a target is
	// remembered: working it out takes a hash for each daemon.
	placeLife = 200 * time.Millisecond
)

// holders returns how many of some daemons use a target with a rate.
func holders(perSecond float64, daemons int) int {
	return int(min(float64(daemons), limitHolders+math.Floor(perSecond)))
}

// limit is the rate that one run of a target named, and this daemon's bucket. The zero value limits
// nothing.
type limit struct {
	on        bool
	perSecond float64
	// seq orders the changes of all daemons: each is one above the highest that its daemon knew.
	seq uint64
	// changed is when this daemon heard of the last change, and named when it last heard an answer
	// that names the rate. A request sent before says nothing newer.
	changed, named clock.Time
	// line is when the last line was written.
	line clock.Time

	// place of so many daemons, as of placed.
	place, of int
	placed    clock.Time
	// holds tells that this daemon uses the target; next is when its bucket is full.
	holds bool
	next  clock.Time
}

// rate returns the rate that is kept to, in requests a second.
func (l *limit) rate() float64 { return max(l.perSecond, limitLeast) }

// period returns how long this daemon's bucket takes to fill.
func (l *limit) period() time.Duration {
	return time.Duration(float64(holders(l.rate(), l.of)) / l.rate() * float64(time.Second))
}

// set takes a rate, or that there is none any more, and reports whether that is a change.
func (l *limit) set(on bool, perSecond float64, now clock.Time) bool {
	if on == l.on && (!on || perSecond == l.perSecond) {
		return false
	}
	if was := l.rate(); l.on && on && now.Before(l.next) {
		// What has been filled of the bucket stays.
		left := float64(l.next.Sub(now)) * was / max(perSecond, limitLeast)
		l.next = now.Add(time.Duration(left))
	}
	if !on {
		l.holds = false
	}
	l.on, l.perSecond, l.changed = on, perSecond, now
	return true
}

// setPlace takes the place of this daemon among those that may use the target.
func (l *limit) setPlace(place, of int, now clock.Time) {
	l.place, l.of, l.placed = place, of, now
	holds := place < holders(l.rate(), of)
	if holds && !l.holds {
		// The first tokens of the daemons are spread over one period.
		l.next = now.Add(time.Duration(float64(place+1) / l.rate() * float64(time.Second)))
	}
	l.holds = holds
}

// left returns for how much longer this daemon may send nothing; 0 where it may. A daemon that does
// not use the target is told the mean time between two requests of others.
func (l *limit) left(now clock.Time) time.Duration {
	switch {
	case !l.on:
		return 0
	case !l.holds:
		return time.Duration(float64(time.Second) / l.rate())
	}
	return max(0, l.next.Sub(now))
}

// take empties the bucket.
func (l *limit) take(now clock.Time) { l.next = now.Add(l.period()) }

// text returns the rate as it stands in log lines.
func (l *limit) text() string {
	return strconv.FormatFloat(l.perSecond, 'g', -1, 64) + " requests a second"
}

// Token is the right to send one request to a target. The zero value is that of a request whose
// target had no limit when it was chosen.
type Token struct {
	// Held tells that a token was taken, and Far that another daemon chose the target and so
	// decides about its tokens.
	Held, Far bool
	// seq is the state of the limit in which it was taken here; 0 for one that was taken elsewhere.
	seq uint64
}

// limitOf returns the limit of a run, with the place of this daemon, or nil where it has none. It is
// called with rosterMu held.
func (r *Roster) limitOf(t *Target, now clock.Time) *limit {
	s := r.said[t.id]
	if s == nil || !s.limit.on {
		return nil
	}
	l := &s.limit
	if l.placed.IsZero() || now.Sub(l.placed) >= placeLife {
		place, of := 0, 1
		if r.Place != nil {
			place, of = r.Place(t)
		}
		l.setPlace(place, of, now)
	}
	return l
}

// Holders returns how many daemons use a target that named a request rate; 0 where it did not.
func (r *Roster) Holders(t *Target) int {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	l := r.limitOf(t, clock.Now())
	if l == nil {
		return 0
	}
	return holders(l.rate(), l.of)
}

// Take takes a token for a request to a target that was chosen here, and reports whether it may be
// sent.
func (r *Roster) Take(t *Target) (Token, bool) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	now := clock.Now()
	l := r.limitOf(t, now)
	if l == nil {
		return Token{}, true
	}
	if l.left(now) > 0 {
		return Token{}, false
	}
	l.take(now)
	return Token{Held: true, seq: l.seq}, true
}

// Return gives back the token of a request that was not sent.
func (r *Roster) Return(t *Target, token Token) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	s := r.said[t.id]
	if !token.Held || token.seq == 0 || s == nil || !s.limit.on || s.limit.seq != token.seq {
		return
	}
	s.limit.next = clock.Now()
}

// HearLimit takes the rate that an answer of a run names, or that it names none. sent is when the
// request was sent, and ran tells that the run took and signed it: any other answer without a rate ends no limit. It
// reports whether that is news for other daemons.
func (r *Roster) HearLimit(id string, named Limit, sent clock.Time, ran bool) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	s := r.said[id]
	if named == (Limit{}) && (s == nil || !s.limit.on) {
		return false
	}
	s, now := r.saidOf(id), clock.Now()
	if named.Odd != "" {
		r.unreadable(id, s, "a limit of "+named.Odd)
	}
	l := &s.limit
	switch {
	case named.Named && l.on && named.PerSecond > l.perSecond && sent.Before(l.changed):
		// The answer may be older than the one that named the lower rate.
	case named.Named:
		l.named = now
		return r.setLimit(id, l, LimitNews{On: true, PerSecond: named.PerSecond, Seq: l.seq + 1}, ByAnswer)
	case ran && named.Odd == "" && l.on && sent.After(l.named) && sent.After(l.changed):
		return r.setLimit(id, l, LimitNews{Seq: l.seq + 1}, ByAnswer)
	}
	return false
}

// setLimit takes a change and reports whether it is one. It is called with rosterMu held.
func (r *Roster) setLimit(id string, l *limit, n LimitNews, by Source) bool {
	now, was := clock.Now(), l.text()
	if !l.set(n.On, n.PerSecond, now) {
		return false
	}
	l.seq, l.placed = n.Seq, clock.Time{}
	if !l.line.IsZero() && now.Sub(l.line) < limitLine {
		return true
	}
	l.line = now
	if n.On {
		r.log.Emit(event.TargetLimits, event.Ref{Target: id}, l.text()+", known by "+string(by))
	} else {
		r.log.Emit(event.TargetUnlimited, event.Ref{Target: id}, "no longer "+was+", known by "+string(by))
	}
	return true
}

// limitLine is the least time between lines of the limits of one target.
const limitLine = time.Second

// LimitNews is what daemons tell each other of the limit of a run.
type LimitNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack  struct{} `msgpack:",as_array"`
	On        bool
	PerSecond float64
	// Seq orders the changes; see limit.
	Seq uint64
}

// limitTold is how long other daemons are told that a limit has ended. One that has not heard of it
// tells of the limit and is told again.
const limitTold = 2 * time.Second

// limitNews returns what other daemons are to hear of limits. It is called with rosterMu held.
func (r *Roster) limitNews() map[string]LimitNews {
	var out map[string]LimitNews
	now := clock.Now()
	for id, s := range r.said {
		l := &s.limit
		if l.seq == 0 || (!l.on && now.Sub(l.changed) > limitTold) {
			continue
		}
		if out == nil {
			out = map[string]LimitNews{}
		}
		out[id] = LimitNews{On: l.on, PerSecond: l.perSecond, Seq: l.seq}
	}
	return out
}

// mergeLimits takes what another daemon told of limits. It is called with rosterMu held.
func (r *Roster) mergeLimits(told map[string]LimitNews) {
	for id, n := range told {
		if r.find(id) == nil {
			// The first answer of what is not known here says so itself.
			continue
		}
		if n.Seq == 0 || math.IsNaN(n.PerSecond) || n.PerSecond < 0 {
			continue
		}
		l := &r.saidOf(id).limit
		newer := n.Seq > l.seq
		if n.Seq == l.seq {
			// Two daemons heard of two changes at once: the lower rate is the safer one.
			newer = n.On && (!l.on || n.PerSecond < l.perSecond)
		}
		if newer {
			r.setLimit(id, l, n, ByPeer)
			l.seq = n.Seq
		} else if n.Seq < l.seq && !l.on {
			l.changed = clock.Now()
		}
	}
}

// Limits returns the limits of a service's targets that are in force here, for a daemon that is to
// choose among them.
func (r *Roster) Limits(service string) map[string]LimitNews {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := r.limitNews()
	for id, n := range out {
		t := r.find(id)
		if !n.On || t == nil || t.Entry().Service != service {
			delete(out, id)
		}
	}
	return out
}

// MergeLimits takes what another daemon told of limits.
func (r *Roster) MergeLimits(told map[string]LimitNews) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.mergeLimits(told)
}

// LimitedTarget is a target with a limit in force.
type LimitedTarget struct {
	ID        string
	PerSecond float64
	// Age is how long ago this daemon heard of the last change of it.
	Age time.Duration
	// Holds tells that this daemon sends to it.
	Holds bool
}

// Limited returns the listed targets with a limit in force, in no order.
func (r *Roster) Limited() []LimitedTarget {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	var out []LimitedTarget
	now := clock.Now()
	for id, s := range r.said {
		if s.limit.on && r.targets[id] != nil {
			out = append(out, LimitedTarget{id, s.limit.perSecond, now.Sub(s.limit.changed), s.limit.holds})
		}
	}
	return out
}
