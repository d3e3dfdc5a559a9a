package roster

import (
	"time"
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
	// Suspect: it did not answer lately.
	Suspect
	// Evacuated: operators ask to send nothing to its failure domain.
	Evacuated
)

var stopNames = [...]string{"open", "gone", "leaves", "changes its weights", "does not answer", "evacuated"}

// String returns the reason as it stands in log lines.
func (s Stop) String() string { return stopNames[s] }

// Gate answers for one moment whether targets may get a send. All ways of sending ask it, when
// they choose and again by Enter when a connection is there: each had its own list of reasons before,
// and what was new to one was not known to the others.
type Gate struct {
	at          time.Time
	ordered     map[string]bool
	leaving     map[string]bool
	evacuations map[string]evacuation
}

// Gate returns the gate of a moment.
func (r *Roster) Gate(now time.Time) *Gate {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	g := &Gate{at: now, ordered: r.orderedNow(now), evacuations: *r.evacuations.Load()}
	if len(r.said) == 0 {
		return g
	}
	g.leaving = make(map[string]bool, len(r.said))
	for id := range r.said {
		g.leaving[id] = true
	}
	return g
}

// Stop returns why a target may get no send, and how long that holds where it is known: as long
// again as an evacuation has lasted.
func (g *Gate) Stop(t *Target) (Stop, time.Duration) {
	health := t.Health(g.at)
	switch {
	case health.Gone:
		return Gone, 0
	case g.leaving[t.id] || t.Entry().Leaving:
		return Leaves, 0
	case g.ordered[t.id]:
		return Swaps, 0
	case health.Suspect:
		return Suspect, 0
	}
	if lasts, on := evacuated(g.evacuations, t.Entry().Domain, g.at); on {
		return Evacuated, lasts
	}
	return Open, 0
}

// Enter reports by Open that a send may go out to a target now. It is asked last, when a connection
// is there: between the choice and that time the target may have said to another request that it
// leaves.
func (r *Roster) Enter(t *Target) Stop {
	stop, _ := r.Gate(time.Now()).Stop(t)
	return stop
}

// Leaving reports whether a run leaves, and by what that is known.
func (r *Roster) Leaving(t *Target) (Source, bool) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.leaving(t)
}

// leaving is called with rosterMu held.
func (r *Roster) leaving(t *Target) (Source, bool) {
	if s := r.said[t.id]; s != nil {
		return s.source, true
	}
	return ByList, t.Entry().Leaving
}

// Stopped returns the targets of a service that may get no send by their own word.
func (r *Roster) Stopped(service string) []string {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	var out []string
	for id := range r.said {
		if t := r.targets[id]; t != nil && t.Entry().Service == service {
			out = append(out, id)
		}
	}
	return out
}
