package roster

import (
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

// said is what one run of a target said of itself in its answers. The list may be seconds behind
// or away and says nothing else then: in 13 s of such an outage 12 prompts went to a target that had
// said in each answer that it leaves.
//
// That it leaves never ends: a run that leaves is not ready again, whatever its entry says later.
type said struct {
	// source is by what it is known that the run leaves, and at since when.
	source Source
	at     clock.Time
}

// saidLife is how long what a run said is kept after its entry went, in case the entry is back:
// longer than any outage of the list that was seen (20 s) and than a target serves on after it
// has left.
const saidLife = time.Hour

// Leaves records that a run of a target said that it leaves, and by what that is known.
// It reports whether this is new.
func (r *Roster) Leaves(id string, by Source) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.leaves(id, by)
}

// leaves is called with rosterMu held.
func (r *Roster) leaves(id string, by Source) bool {
	if r.said[id] != nil {
		return false
	}
	now := clock.Now()
	for other, old := range r.said {
		if r.targets[other] == nil && now.Sub(old.at) > saidLife {
			delete(r.said, other)
		}
	}
	r.said[id] = &said{by, now}
	r.log.Emit(event.TargetSaysLeaving, event.Ref{Target: id}, "known by "+string(by))
	return true
}

// leavingTold is how long other daemons are told that a run said that it leaves: a few heartbeats
// may be lost. Who hears of it later finds out by its own first answer.
const leavingTold = 2 * time.Second

// leavingLately returns the runs that other daemons are to hear of. It is called with rosterMu held.
func (r *Roster) leavingLately() []string {
	var out []string
	now := clock.Now()
	for id, s := range r.said {
		if r.targets[id] != nil && now.Sub(s.at) <= leavingTold {
			out = append(out, id)
		}
	}
	return out
}

// LeavingCount returns how many listed targets said in their answers that they leave.
func (r *Roster) LeavingCount() int {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	n := 0
	for id := range r.said {
		if r.targets[id] != nil {
			n++
		}
	}
	return n
}
