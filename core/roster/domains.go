package roster

import (
	"maps"
	"time"

	"embertally.dev/core/event"
)

// evacuation is an evacuation of a failure domain requested by operators.
type evacuation struct {
	// since is when this daemon learnt of the evacuation, and ended when it learnt that operators
	// cancelled it; zero while it is active.
	since, ended time.Time
}

// Evacuate records that operators request the evacuation of a failure domain, or with on false that
// they cancelled it.
func (r *Roster) Evacuate(domain string, on bool, now time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	next := maps.Clone(*r.evacuations.Load())
	current, exists := next[domain]
	active := exists && current.ended.IsZero()
	switch {
	case on && !active:
		next[domain] = evacuation{since: now}
		r.log.Emit(event.DomainEvacuated, event.Ref{Resource: domain}, "")
	case !on && active:
		current.ended = now
		next[domain] = current
		r.log.Emit(event.DomainReturned, event.Ref{Resource: domain},
			"after "+now.Sub(current.since).Round(time.Millisecond).String())
	}
	r.evacuations.Store(&next)
}

// Evacuated reports whether a failure domain is being evacuated, so that its targets get no
// requests, and for how long this daemon has recorded it.
func (r *Roster) Evacuated(domain string, now time.Time) (time.Duration, bool) {
	return evacuated(*r.evacuations.Load(), domain, now)
}

// evacuated is Evacuated, given the evacuations at some moment.
func evacuated(evacuations map[string]evacuation, domain string, now time.Time) (time.Duration, bool) {
	e, exists := evacuations[domain]
	if !exists || !e.ended.IsZero() {
		return 0, false
	}
	return now.Sub(e.since), true
}

// WarmingUp reports whether a target has just started and can take only few requests. For the time
// warmUp after the end of an evacuation all targets of the domain count as warming up: they may
// have been emptied or restarted meanwhile, and their entries may show that up to a heartbeat after
// operators let requests go there again.
func (r *Roster) WarmingUp(t *Target, warmUp time.Duration, now time.Time) bool {
	if t.warmingUp(now) {
		return true
	}
	e := (*r.evacuations.Load())[t.Entry().Domain]
	return !e.ended.IsZero() && now.Before(e.ended.Add(warmUp))
}
