package roster

import (
	"time"

	"embertally.dev/core/clock"
)

// UnavailabilityReason is the reason why a target may not get a request now.
type UnavailabilityReason uint8

// Reasons, in the order in which they are checked.
const (
	// Available: the target is available.
	Available UnavailabilityReason = iota
	// Removed: it is no longer listed.
	Removed
	// ShuttingDown: the list, the target itself or a peer reports that it is shutting down.
	ShuttingDown
	// UpdatingWeights: it has a weight update pending.
	UpdatingWeights
	// UnderPushback: it is under pushback for this daemon, or in the ramp that follows.
	UnderPushback
	// RateLimited: it is rate-limited, and this daemon has no permit now.
	RateLimited
	// Suspect: recent requests got no response.
	Suspect
	// Evacuated: operators requested the evacuation of its failure domain.
	Evacuated
)

var reasonNames = [...]string{
	"open", "gone", "leaves", "changes its weights", "rests", "is over the limit that it named",
	"does not answer", "evacuated",
}

// String returns the reason as it appears in log lines.
func (s UnavailabilityReason) String() string { return reasonNames[s] }

// Availability is an immutable snapshot of the availability of all targets. Whatever sends
// requests consults it to choose a target, and then Admit once a connection is open, so that a
// reason recorded for one request applies to all.
type Availability struct {
	at           time.Time
	updating     map[string]bool
	selfStatuses map[string]selfStatus
	evacuations  map[string]evacuation
	// roster is the roster that it is a snapshot of, and brittle holds the services with rejection limits.
	roster  *Roster
	brittle map[string]bool
}

// selfStatus is what a target reported about itself, evaluated at one moment.
type selfStatus struct {
	shuttingDown bool
	// pushback is how much longer it gets no requests.
	pushback time.Duration
	// limited means that it has a rate limit, and limitWait is how long until this daemon has a
	// permit.
	limited   bool
	limitWait time.Duration
}

// Availability returns a snapshot of the availability of all targets.
func (r *Roster) Availability(now time.Time) *Availability {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	a := &Availability{at: now, updating: r.updatingNow(now), evacuations: *r.evacuations.Load(), roster: r, brittle: r.brittleServices()}
	if len(r.selfReports) == 0 {
		return a
	}
	a.selfStatuses = make(map[string]selfStatus, len(r.selfReports))
	clockNow := clock.Now()
	for id, report := range r.selfReports {
		if status := r.selfStatusOf(id, report, clockNow); status != (selfStatus{}) {
			a.selfStatuses[id] = status
		}
	}
	return a
}

// Reason returns why a target is unavailable, and for how much longer if that is known: the
// remaining time of its pushback, the time until this daemon has a permit, or, as an estimate for
// an evacuation, the time that it has lasted so far.
func (a *Availability) Reason(t *Target) (UnavailabilityReason, time.Duration) {
	return a.reason(t, a.updating[t.id], a.selfStatuses[t.id])
}

// reason is Reason, given the status of the target.
func (a *Availability) reason(t *Target, updating bool, self selfStatus) (UnavailabilityReason, time.Duration) {
	health, entry := t.Health(a.at), t.Entry()
	switch {
	case health.Removed:
		return Removed, 0
	case self.shuttingDown || entry.ShuttingDown:
		return ShuttingDown, 0
	case updating:
		return UpdatingWeights, 0
	case self.pushback > 0:
		return UnderPushback, max(self.pushback, self.limitWait)
	case self.limitWait > 0:
		return RateLimited, self.limitWait
	case health.Suspect:
		return Suspect, 0
	}
	if duration, on := evacuated(a.evacuations, entry.Domain, a.at); on {
		return Evacuated, duration
	}
	return Available, 0
}

// RateLimited reports whether a target has a rate limit.
func (a *Availability) RateLimited(t *Target) bool { return a.selfStatuses[t.id].limited }

// Admit returns Available if a request may be sent to a target now, and counts it. It is called
// last, once a connection is open: since the target was chosen, it may have reported to another
// request that it is shutting down, under pushback or rate-limited. A request with a permit has
// already been counted against the rate limit.
//
// It looks at one target only, because an Availability allocates two maps, which is too much for
// each request.
func (r *Roster) Admit(t *Target, permit Permit) UnavailabilityReason {
	now := time.Now()
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	report, status, clockNow := r.selfReports[t.id], selfStatus{}, clock.Time{}
	if report != nil {
		clockNow = clock.Now()
		status = r.selfStatusOf(t.id, report, clockNow)
	}
	switch {
	case permit.Taken:
		status.limitWait = 0
	case permit.Remote && status.limited:
		status.limitWait = max(status.limitWait, time.Nanosecond)
	}
	a := Availability{at: now, evacuations: *r.evacuations.Load()}
	reason, _ := a.reason(t, r.isUpdating(t.id, now), status)
	if reason == Available && report != nil {
		report.pushback.allowAttempt(clockNow)
		if report.limit.active && !permit.Taken {
			report.limit.takePermit(clockNow)
		}
	}
	return reason
}

// selfStatusOf evaluates what an incarnation reported. It is called with rosterMu held.
func (r *Roster) selfStatusOf(id string, report *selfReport, now clock.Time) selfStatus {
	status := selfStatus{shuttingDown: report.shuttingDown, pushback: report.pushback.remaining(now)}
	t := r.find(id)
	if t == nil {
		return status
	}
	if l := r.limitFor(t, now); l != nil {
		status.limited, status.limitWait = true, l.wait(now)
	}
	return status
}

// ShuttingDown reports whether an incarnation is shutting down, and how that is known.
func (r *Roster) ShuttingDown(t *Target) (Source, bool) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.shuttingDown(t)
}

// shuttingDown is ShuttingDown with rosterMu held.
func (r *Roster) shuttingDown(t *Target) (Source, bool) {
	if report := r.selfReports[t.id]; report != nil && report.shuttingDown {
		return report.source, true
	}
	return ByList, t.Entry().ShuttingDown
}

// SelfUnavailable returns the targets of a service that are unavailable because they reported
// shutting down or pushback.
func (r *Roster) SelfUnavailable(service string) []string {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	var out []string
	now := clock.Now()
	for id, report := range r.selfReports {
		t := r.find(id)
		if t != nil && t.Entry().Service == service && (report.shuttingDown || report.pushback.remaining(now) > 0) {
			out = append(out, id)
		}
	}
	return out
}
