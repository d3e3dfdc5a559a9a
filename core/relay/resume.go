package relay

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/entry"
	"embertally.dev/core/origin"
	"embertally.dev/core/table"
)

// maxResumesBytes bounds the ID of an attempt that a caller resumes.
const maxResumesBytes = 200

// isAttemptID reports whether a text may be the ID of an attempt.
func isAttemptID(text string) bool {
	return len(text) <= maxResumesBytes && !slices.ContainsFunc([]byte(text), func(b byte) bool { return b <= ' ' || b > '~' })
}

// resumesStream reports whether the caller goes on with a stream that an earlier attempt began.
func (p *proxiedRequest) resumesStream() bool {
	return p.route.Kind == table.Stream && p.route.Resumable && (p.meta.LastEventID != "" || p.meta.Resumes != "")
}

// untilSettled returns for how much longer the request may not go to targets of a version, because it would begin a
// stream there.
func (p *proxiedRequest) untilSettled(version string) time.Duration {
	if !p.beginsStream() || p.relay.options.UntilSettled == nil {
		return 0
	}
	return p.relay.options.UntilSettled(p.service, version)
}

// untilRouteSettled returns for how much longer no stream may begin at a service, because the route has just been led there.
// Where another daemon sends the request, that daemon checks it.
func (p *proxiedRequest) untilRouteSettled(service string) time.Duration {
	if p.remote || !p.beginsStream() || p.relay.options.UntilRouteSettled == nil {
		return 0
	}
	path, _, _ := strings.Cut(p.r.RequestURI, "?")
	return p.relay.options.UntilRouteSettled(p.r.Host, path, service)
}

// drawService draws the request's service by weight. A request that may begin a stream goes to one at which streams of its
// route may begin, if there is one.
func (p *proxiedRequest) drawService() string {
	if !p.beginsStream() {
		return p.route.Service(p.relay.randomFraction())
	}
	random := p.relay.randomFraction()
	settled := table.Route{Splits: slices.DeleteFunc(slices.Clone(p.route.Splits), func(s table.Split) bool {
		remaining := p.untilRouteSettled(s.Service)
		if remaining > 0 {
			p.note("no stream begins at service %s for %s: the route has just been led there", s.Service, remaining.Round(time.Millisecond))
		}
		return remaining > 0 || s.Weight <= 0
	})}
	if len(settled.Splits) == 0 {
		return p.route.Service(random)
	}
	return settled.Service(random)
}

// beginsStream reports whether the next answer begins a stream that callers may resume.
func (p *proxiedRequest) beginsStream() bool {
	return p.route.Kind == table.Stream && p.route.Resumable && !p.versions.Bound
}

// bindResumed binds a request by which a caller resumes a stream to the version that began it, and refuses the
// request if that is not known.
func (p *proxiedRequest) bindResumed(ctx context.Context) *entry.Refusal {
	if !p.resumesStream() {
		return nil
	}
	stats := p.relay.options.Stats
	stats.StreamsTakenUp.Inc()
	p.note("resumes %q after event %q", p.meta.Resumes, p.meta.LastEventID)
	if !isAttemptID(p.meta.Resumes) {
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun,
			"the attempt that the request resumes is not named by an ID", 0)
	}
	var found origin.Finding
	if p.relay.options.Origins != nil {
		found = p.relay.options.Origins.Find(ctx, p.organisationName(), p.meta.Resumes, p.service)
	}
	moved := found.Service != p.service && !p.route.Includes(found.Service)
	switch {
	case !found.Known, found.Stored && moved, found.Sole && p.table.SplitsStreams(found.Service):
		return p.refuseUnknownOrigin(&found)
	case moved && found.Config > p.table.Version():
		stats.StreamsAhead.Inc()
		p.note("began at service %s by configuration %d", found.Service, found.Config)
		return p.refuseFor(entry.CodeNotReady, "the configuration by which the stream began may not have arrived", minRetryAfter)
	case moved:
		// Operators have moved the route: no target of the former service may get the request.
		stats.StreamsMoved.Inc()
		p.note("began at service %s by configuration %d, which the route no longer leads to", found.Service, found.Config)
		return nil
	}
	p.service = found.Service
	if found.Sole {
		if remaining := p.untilRouteSettled(p.service); remaining > 0 {
			// A daemon that does not know that the route leads here would go on elsewhere with what goes on here.
			return p.refuseUntil(entry.CodeNoTarget, "no target takes the request now: "+routeUnsettled, remaining)
		}
	}
	p.bind(found.Version)
	stats.StreamsBound.Inc()
	age := found.Age.Round(time.Millisecond)
	switch {
	case found.Sole && found.By != "":
		p.note("bound to version %q, the only one known to %s by a view of %s ago%s", found.Version, found.By, age, p.relay.knowledge())
	case found.Sole:
		p.note("bound to version %q, the only one known%s", found.Version, p.relay.knowledge())
	case found.Stored:
		p.note("bound to version %q, which began it according to %s in the coordination store %s ago", found.Version, found.By, age)
	case found.By != "":
		p.note("bound to version %q, which began it according to %s %s ago", found.Version, found.By, age)
	default:
		p.note("bound to version %q, which began it according to this daemon %s ago", found.Version, age)
	}
	return nil
}

// refuseUnknownOrigin refuses to resume a stream of which it is not known where it began. Unless a daemon that may
// know did not answer, that does not change until the deadline.
func (p *proxiedRequest) refuseUnknownOrigin(found *origin.Finding) *entry.Refusal {
	p.relay.options.Stats.StreamsUnknown.Inc()
	p.note("no record here, versions here: %s; %d of %d other daemons did not answer", found.Proof, found.Unanswered, found.Asked)
	const text = "it is not known which version of the target began the stream"
	if found.Unanswered > 0 {
		return p.refuseFor(entry.CodeNoTarget, text, minRetryAfter)
	}
	return p.refuseUntil(entry.CodeNoTarget, text, time.Until(p.deadline))
}

// bind restricts the request to a version from now on.
func (p *proxiedRequest) bind(version string) {
	p.versions = p.relay.options.Canary.Resume(p.service, version)
}

// bindToStream binds the request to the version of the target whose event is about to be passed on, and records that
// version. The record is renewed for as long as events come. If the target's entry names another version than when the
// request was sent, it is not known which of them answers: a stream that has begun elsewhere does not go on with it, for
// which bindToStream returns false, and one that begins is not recorded and does not go on after it breaks.
func (p *proxiedRequest) bindToStream(c *choice) bool {
	if !p.route.Resumable || p.originUnknown {
		return true
	}
	if c.bound {
		if clock.Since(p.recordedAt) >= origin.RenewInterval {
			p.recordOrigin()
		}
		return true
	}
	version := c.target.Entry().Version
	switch {
	case p.answersByOtherVersion(c):
		return false
	case version != c.sentVersion:
		p.originUnknown = true
		p.note("its entry names version %q, and %q when it was sent: not recorded", version, c.sentVersion)
		return true
	}
	c.bound = true
	p.bind(version)
	p.note("events of version %q, known for %s", version, p.relay.options.Roster.VersionAge(p.service, version).Round(time.Millisecond))
	p.recordOrigin()
	return true
}

// answersByOtherVersion reports whether another version than the one that the stream is bound to may have answered.
func (p *proxiedRequest) answersByOtherVersion(c *choice) bool {
	version := c.target.Entry().Version
	if c.bound || !p.versions.Bound || !p.route.Resumable || (c.sentVersion == p.versions.Only && version == p.versions.Only) {
		return false
	}
	p.note("its entry names version %q, and %q when it was sent", version, c.sentVersion)
	return true
}

// recordOrigin records the version that the stream is bound to, for resumptions by the caller.
func (p *proxiedRequest) recordOrigin() {
	p.recordedAt = clock.Now()
	if p.relay.options.Origins == nil {
		return
	}
	s := origin.Stream{Service: p.service, Version: p.versions.Only, Config: p.table.Version()}
	for _, id := range []string{p.meta.AttemptID, p.meta.Resumes} {
		if id != "" {
			p.relay.options.Origins.Record(p.organisationName(), id, s)
		}
	}
}
