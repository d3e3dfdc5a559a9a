package roster

import (
	"slices"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// Source is how it is known that a target is shutting down or what its rate limit is.
type Source string

// The possible sources.
const (
	ByList     Source = "list"
	ByResponse Source = "answer"
	ByPeer     Source = "peer"
)

// selfReport is what one incarnation of a target reported about itself. It outlives the
// incarnation's entry, since the list may lag, be unavailable, or be restored from an older copy.
type selfReport struct {
	// shuttingDown is never reset: an incarnation that is shutting down does not become ready
	// again, whatever its entry shows later.
	shuttingDown bool
	source       Source
	// since is when the shutdown was first reported.
	since clock.Time
	// lastReport is when the last report of any kind arrived.
	lastReport clock.Time
	// pushback is the pushback for this daemon. It is not sent to other daemons: how much a target
	// accepts from one of them is no measure for the next.
	pushback pushback
	// limit is the rate limit for all daemons together.
	limit limitState
	// brittle is the limit on rejections, for all daemons together.
	brittle brittleState
	// invalidLogged means that an unreadable value has been logged.
	invalidLogged bool
}

// selfReportTTL is how long an incarnation's report is kept after its entry disappeared, and after
// it last reported anything, in case the entry returns. It is longer than any observed outage of the list (20 s), and longer than a
// target continues to serve after its shutdown was announced.
const selfReportTTL = time.Hour

// selfReportOf returns an incarnation's report for modification, and creates it if needed. It is
// called with rosterMu held.
func (r *Roster) selfReportOf(id string) *selfReport {
	now := clock.Now()
	report := r.selfReports[id]
	if report == nil {
		r.removeOldReports(now)
		report = &selfReport{}
		r.selfReports[id] = report
	}
	report.lastReport = now
	return report
}

// removeOldReports removes the reports of incarnations that have neither been listed nor reported
// anything for selfReportTTL. It is called with rosterMu held.
func (r *Roster) removeOldReports(now clock.Time) {
	for id, report := range r.selfReports {
		if r.targets[id] == nil && now.Sub(report.lastReport) > selfReportTTL && now.Sub(r.removed[id].at) > selfReportTTL {
			delete(r.selfReports, id)
		}
	}
}

// RecordShutdown records that an incarnation reported that it is shutting down, and the source of
// the report. It returns whether this is new.
func (r *Roster) RecordShutdown(id string, source Source) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.recordShutdown(id, source)
}

// recordShutdown is RecordShutdown with rosterMu held.
func (r *Roster) recordShutdown(id string, source Source) bool {
	report := r.selfReportOf(id)
	if report.shuttingDown {
		return false
	}
	report.shuttingDown, report.source, report.since = true, source, clock.Now()
	r.log.Emit(event.TargetSaysLeaving, event.Ref{Target: id}, "reported by "+string(source))
	return true
}

// shutdownNotifyTime is how long other daemons are notified of a shutdown, because a few heartbeats
// may be lost. A daemon that lists the target later learns of it from the target's first response.
const shutdownNotifyTime = 2 * time.Second

// recentShutdowns returns the listed incarnations whose shutdown other daemons are to be notified
// of. It is called with rosterMu held.
func (r *Roster) recentShutdowns() []string {
	out := r.shutdownsWithin(shutdownNotifyTime)
	return slices.DeleteFunc(out, func(id string) bool { return r.targets[id] == nil })
}

// shutdownsWithin returns the incarnations whose shutdown was reported at most age ago. It is
// called with rosterMu held.
func (r *Roster) shutdownsWithin(age time.Duration) []string {
	var out []string
	now := clock.Now()
	for id, report := range r.selfReports {
		if report.shuttingDown && now.Sub(report.since) <= age {
			out = append(out, id)
		}
	}
	return out
}

// shutdownRecallTime is how far back RecentShutdowns reaches. It is longer than the time whose
// writes are lost when a coordination store is restored from a copy.
const shutdownRecallTime = time.Minute

// RecentShutdowns returns the incarnations that recently reported shutting down, whether still
// listed or not.
func (r *Roster) RecentShutdowns() []string {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.shutdownsWithin(shutdownRecallTime)
}

// Pushback is the pushback that came with a rejection.
type Pushback struct {
	// Duration is how long the target wants no requests; 0 if it did not state one.
	Duration time.Duration
	// Invalid is an unreadable value, or "".
	Invalid string
}

// RecordRejection records that an incarnation rejected a request of this daemon.
func (r *Roster) RecordRejection(id string, p Pushback) {
	if p == (Pushback{}) {
		return
	}
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	report, now := r.selfReportOf(id), clock.Now()
	if p.Invalid != "" {
		r.logInvalid(id, report, "invalid pushback "+p.Invalid)
	}
	if p.Duration > 0 && report.pushback.extend(p.Duration, now) {
		r.log.Emit(event.TargetRests, event.Ref{Target: id}, "pushback of "+p.Duration.String())
	}
}

// logInvalid logs an unreadable value that an incarnation reported, once for each incarnation. It
// is called with rosterMu held.
func (r *Roster) logInvalid(id string, report *selfReport, text string) {
	if report.invalidLogged {
		return
	}
	report.invalidLogged = true
	r.log.Emit(event.TargetUnreadable, event.Ref{Target: id}, text)
}

// RecordAccepted records that an incarnation accepted a request. This ends the ramp after a
// pushback, but not the pushback itself.
func (r *Roster) RecordAccepted(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if report := r.selfReports[id]; report != nil && report.pushback.endRamp(clock.Now()) {
		r.log.Emit(event.TargetRested, event.Ref{Target: id}, "accepts requests again")
	}
}

// SelfReportCounts returns how many listed targets reported shutting down in a response or through
// a peer, and how many are under pushback.
func (r *Roster) SelfReportCounts() (shuttingDown, underPushback int) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	now := clock.Now()
	for id, report := range r.selfReports {
		if r.targets[id] == nil {
			continue
		}
		if report.shuttingDown && report.source != ByList {
			shuttingDown++
		}
		if report.pushback.remaining(now) > 0 {
			underPushback++
		}
	}
	return shuttingDown, underPushback
}
