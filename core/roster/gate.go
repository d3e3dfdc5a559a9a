package roster

import (
	"time"

	"embertally.dev/core/clock"
)

// Stop says why a target may get no send now.
type Stop uint8

// Reasons, in the order in which they are looked for.
const (
	// Open: it may get a send.
	Open Stop = iota
	// Gone: it is no longer listed.
	Gone
	// Leaves: the list, itself or a peer says that it leaves.
	Leaves
	// Swaps: it is about to change its weights.
	Swaps
	// Rests: it asked this daemon for nothing for a while, or bears little just after that.
	Rests
	// Limited: it named a request rate, of which this daemon has nothing left now.
	Limited
	// Suspect: it did not answer lately.
	Suspect
	// Evacuated: operators ask to send nothing to its failure domain.
	Evacuated
)

var stopNames = [...]string{"open", "gone", "leaves", "changes its weights", "rests", "is over the limit that it named", "does not answer", "evacuated"}

// String returns the reason as it stands in log lines.
func (s Stop) String() string { return stopNames[s] }

// Gate answers for one moment whether targets may get a send. All ways of sending ask it, when
// they choose and again by Enter when a connection is there, so that a reason that one of them meets
// holds for all. It never changes.
type Gate struct {
	at          time.Time
	ordered     map[string]bool
	words       map[string]word
	evacuations map[string]evacuation
}

// word is what a target said of itself, as it counts at one moment.
type word struct {
	leaves bool
	// rests is for how much longer it gets nothing.
	rests time.Duration
	// limited tells that it named a request rate, and over for how much longer that leaves nothing
	// for this daemon.
	limited bool
	over    time.Duration
}

// Gate returns the gate of a moment.
func (r *Roster) Gate(now time.Time) *Gate {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	g := &Gate{at: now, ordered: r.orderedNow(now), evacuations: *r.evacuations.Load()}
	if len(r.said) == 0 {
		return g
	}
	g.words = make(map[string]word, len(r.said))
	steady := clock.Now()
	for id, s := range r.said {
		if w := r.word(id, s, steady); w != (word{}) {
			g.words[id] = w
		}
	}
	return g
}

// Stop returns why a target may get no send, and how long that holds where it is known: what is
// left of a rest or until this daemon has a token under a limit, or as long again as an evacuation
// has lasted.
func (g *Gate) Stop(t *Target) (Stop, time.Duration) {
	return g.stop(t, g.ordered[t.id], g.words[t.id])
}

// stop is Stop by what is known of one target.
func (g *Gate) stop(t *Target, ordered bool, w word) (Stop, time.Duration) {
	health, entry := t.Health(g.at), t.Entry()
	switch {
	case health.Gone:
		return Gone, 0
	case w.leaves || entry.Leaving:
		return Leaves, 0
	case ordered:
		return Swaps, 0
	case w.rests > 0:
		return Rests, max(w.rests, w.over)
	case w.over > 0:
		return Limited, w.over
	case health.Suspect:
		return Suspect, 0
	}
	if lasts, on := evacuated(g.evacuations, entry.Domain, g.at); on {
		return Evacuated, lasts
	}
	return Open, 0
}

// Limits reports whether a target named a request rate.
func (g *Gate) Limits(t *Target) bool { return g.words[t.id].limited }

// Enter reports by Open that a send may go out to a target now, and counts it. It is asked last,
// when a connection is there: between the choice and that time the target may have said to another
// request that it leaves, rests or takes few. A request with a token has been counted under the
// target's limit.
//
// It looks at one target only: a gate of all that is known takes two maps, for each send.
func (r *Roster) Enter(t *Target, token Token) Stop {
	now := time.Now()
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	s, w, steady := r.said[t.id], word{}, clock.Time{}
	if s != nil {
		steady = clock.Now()
		w = r.word(t.id, s, steady)
	}
	switch {
	case token.Held:
		w.over = 0
	case token.Far && w.limited:
		w.over = max(w.over, time.Nanosecond)
	}
	g := Gate{at: now, evacuations: *r.evacuations.Load()}
	stop, _ := g.stop(t, r.isOrdered(t.id, now), w)
	if stop == Open && s != nil {
		s.rest.take(steady)
		if s.limit.on && !token.Held {
			s.limit.take(steady)
		}
	}
	return stop
}

// word returns what a run said, as it counts now. It is called with rosterMu held.
func (r *Roster) word(id string, s *said, now clock.Time) word {
	w := word{leaves: s.leaves, rests: s.rest.left(now)}
	t := r.find(id)
	if t == nil {
		return w
	}
	if l := r.limitOf(t, now); l != nil {
		w.limited, w.over = true, l.left(now)
	}
	return w
}

// Leaving reports whether a run leaves, and by what that is known.
func (r *Roster) Leaving(t *Target) (Source, bool) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.leaving(t)
}

// leaving is called with rosterMu held.
func (r *Roster) leaving(t *Target) (Source, bool) {
	if s := r.said[t.id]; s != nil && s.leaves {
		return s.source, true
	}
	return ByList, t.Entry().Leaving
}

// Stopped returns the targets of a service that may get no send by their own word.
func (r *Roster) Stopped(service string) []string {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	var out []string
	now := clock.Now()
	for id, s := range r.said {
		t := r.find(id)
		if t != nil && t.Entry().Service == service && (s.leaves || s.rest.left(now) > 0) {
			out = append(out, id)
		}
	}
	return out
}
