package roster

import (
	"slices"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// Source is by what it is known that a target leaves.
type Source string

// Sources.
const (
	ByList   Source = "list"
	ByAnswer Source = "answer"
	ByPeer   Source = "peer"
)

// said is what one run of a target said of itself. It outlives the run's entry, since the list may be
// behind, away, or back from an older copy.
type said struct {
	// leaves never ends: a run that leaves is not ready again, whatever its entry says later.
	leaves bool
	source Source
	// at is when it was first heard that the run leaves, or else when anything was.
	at clock.Time
	// rest is what the run asked this daemon for. It is not told to others: how much a target bears
	// of one of them says little of what it bears of the next.
	rest rest
	// limit is the request rate that the run named for all daemons together.
	limit limit
	// odd tells that a line was written of what can't be read.
	odd bool
}

// saidLife is how long what a run said is kept after its entry went, in case the entry is back:
// longer than any outage of the list that was seen (20 s) and than a target serves on after it
// has left.
const saidLife = time.Hour

// saidOf returns what a run said, to be changed. It is called with rosterMu held.
func (r *Roster) saidOf(id string) *said {
	s := r.said[id]
	if s != nil {
		return s
	}
	now := clock.Now()
	for other, old := range r.said {
		if r.targets[other] == nil && now.Sub(old.at) > saidLife {
			delete(r.said, other)
		}
	}
	s = &said{at: now}
	r.said[id] = s
	return s
}

// Leaves records that a run of a target said that it leaves, and by what that is known.
// It reports whether this is new.
func (r *Roster) Leaves(id string, by Source) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.leaves(id, by)
}

// leaves is called with rosterMu held.
func (r *Roster) leaves(id string, by Source) bool {
	if s := r.said[id]; s != nil && s.leaves {
		return false
	}
	s := r.saidOf(id)
	s.leaves, s.source, s.at = true, by, clock.Now()
	r.log.Emit(event.TargetSaysLeaving, event.Ref{Target: id}, "known by "+string(by))
	return true
}

// leavingTold is how long other daemons are told that a run said that it leaves: a few heartbeats
// may be lost. Who hears of it later finds out by its own first answer.
const leavingTold = 2 * time.Second

// leavingLately returns the runs that other daemons are to hear of. It is called with rosterMu held.
func (r *Roster) leavingLately() []string {
	out := r.leftWithin(leavingTold)
	return slices.DeleteFunc(out, func(id string) bool { return r.targets[id] == nil })
}

// leftWithin returns the runs that said within a time that they leave. It is called with rosterMu held.
func (r *Roster) leftWithin(age time.Duration) []string {
	var out []string
	now := clock.Now()
	for id, s := range r.said {
		if s.leaves && now.Sub(s.at) <= age {
			out = append(out, id)
		}
	}
	return out
}

// leavingRecalled is how far back LeavingRuns reaches: longer than a store that comes back from a copy loses.
const leavingRecalled = time.Minute

// LeavingRuns returns the runs that lately said that they leave, whether the list still names them or not.
func (r *Roster) LeavingRuns() []string {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.leftWithin(leavingRecalled)
}

// Asked is what a refusal of a target asked this daemon for.
type Asked struct {
	// Rest is how long the target wants nothing; 0 where it says nothing of that.
	Rest time.Duration
	// Odd is what it said of that and can't be read, or "".
	Odd string
}

// Turned records that a run of a target turned a request of this daemon away.
func (r *Roster) Turned(id string, asked Asked) {
	if asked == (Asked{}) {
		return
	}
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	s, now := r.saidOf(id), clock.Now()
	if asked.Odd != "" {
		r.unreadable(id, s, "a rest of "+asked.Odd)
	}
	if asked.Rest > 0 && s.rest.ask(asked.Rest, now) {
		r.log.Emit(event.TargetRests, event.Ref{Target: id}, "asked for "+asked.Rest.String())
	}
}

// unreadable writes a line of what a run said and can't be read, once for each run. It is called with
// rosterMu held.
func (r *Roster) unreadable(id string, s *said, what string) {
	if s.odd {
		return
	}
	s.odd = true
	r.log.Emit(event.TargetUnreadable, event.Ref{Target: id}, what)
}

// Took records that a run of a target has taken a request, which ends what is left of its rest
// once the time that it asked for is over.
func (r *Roster) Took(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if s := r.said[id]; s != nil && s.rest.end(clock.Now()) {
		r.log.Emit(event.TargetRested, event.Ref{Target: id}, "takes requests again")
	}
}

// WordCounts returns how many listed targets said that they leave, and how many rest.
func (r *Roster) WordCounts() (leaving, resting int) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	now := clock.Now()
	for id, s := range r.said {
		if r.targets[id] == nil {
			continue
		}
		if s.leaves && s.source != ByList {
			leaving++
		}
		if s.rest.left(now) > 0 {
			resting++
		}
	}
	return leaving, resting
}
