package roster

import (
	"maps"
	"time"

	"embertally.dev/core/event"
)

// evacuation is what operators asked for a failure domain.
type evacuation struct {
	// since is when this daemon heard of it, and ended when it heard that it was taken
	// back; zero while it is in force.
	since, ended time.Time
}

// Evacuate records that operators ask to send nothing to the targets of a failure domain,
// or with on false that they have taken this back.
func (r *Roster) Evacuate(domain string, on bool, now time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	next := maps.Clone(*r.evacuations.Load())
	was, known := next[domain]
	inForce := known && was.ended.IsZero()
	switch {
	case on && !inForce:
		next[domain] = evacuation{since: now}
		r.log.Emit(event.DomainEvacuated, event.Ref{Resource: domain}, "")
	case !on && inForce:
		was.ended = now
		next[domain] = was
		r.log.Emit(event.DomainReturned, event.Ref{Resource: domain}, "after "+now.Sub(was.since).Round(time.Millisecond).String())
	}
	r.evacuations.Store(&next)
}

// Evacuated reports whether nothing may be sent to the targets of a failure domain, and
// for how long this daemon has known so.
func (r *Roster) Evacuated(domain string, now time.Time) (time.Duration, bool) {
	return evacuated(*r.evacuations.Load(), domain, now)
}

// evacuated is Evacuated by what operators had asked at some moment.
func evacuated(asked map[string]evacuation, domain string, now time.Time) (time.Duration, bool) {
	e, known := asked[domain]
	if !known || !e.ended.IsZero() {
		return 0, false
	}
	return now.Sub(e.since), true
}

// Cold reports whether a target bears few requests since it has just started. The targets
// of a domain whose evacuation has ended count as cold for as long as a start takes: they
// may have been emptied or started meanwhile, and their entries say so up to a heartbeat
// later than operators let requests go there again.
func (r *Roster) Cold(t *Target, start time.Duration, now time.Time) bool {
	if t.cold(now) {
		return true
	}
	e := (*r.evacuations.Load())[t.Entry().Domain]
	return !e.ended.IsZero() && now.Before(e.ended.Add(start))
}
