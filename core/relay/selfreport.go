package relay

import "embertally.dev/core/roster"

// recordSelfReport records the self-reported state in the header of a target's response. It is
// called for every response to a caller's request before any of it is passed on, but not for those
// that nothing binds to the request.
func (p *proxiedRequest) recordSelfReport(c *choice, misdirected bool, respMeta *ResponseMeta) {
	if !p.isFromTarget(c, misdirected, respMeta) {
		return
	}
	if respMeta.ShuttingDown {
		p.relay.options.Stats.ReportedShutdown.Inc()
		p.note("%s reports that it is shutting down", c.target.ID())
		c.report.recordShutdown()
		if p.relay.options.Roster.RecordShutdown(c.target.ID(), roster.ByResponse) {
			// Publish it at once: the next heartbeat may be a second away.
			p.relay.options.PublishState()
		}
	}
	if respMeta.Pushback > 0 || respMeta.BadPushback != "" {
		p.relay.options.Stats.Pushbacks.Inc()
		p.note("%s sent a pushback of %s%s", c.target.ID(), respMeta.Pushback, respMeta.BadPushback)
		p.relay.options.Roster.RecordRejection(c.target.ID(),
			roster.Pushback{Duration: respMeta.Pushback, Invalid: respMeta.BadPushback})
	}
	if l := respMeta.RateLimit; l.Stated || l.Invalid != "" {
		p.relay.options.Stats.ReportedRateLimit.Inc()
		p.note("%s states a rate limit of %g per second%s", c.target.ID(), l.PerSecond, l.Invalid)
	}
	if p.relay.options.Roster.RecordLimit(c.target.ID(), respMeta.RateLimit, c.sentAt, respMeta.Signed && !respMeta.NotExecuted) {
		// Until other daemons receive this they send at the previous rate.
		p.relay.options.PublishState()
	}
	p.recordRejectionLimit(c, respMeta)
	if !misdirected && !respMeta.NotExecuted {
		p.relay.options.Roster.RecordAccepted(c.target.ID())
	}
}

// recordRejectionLimit records the rejection limit that a target's response states.
func (p *proxiedRequest) recordRejectionLimit(c *choice, respMeta *ResponseMeta) {
	r, id := p.relay.options.Roster, c.target.ID()
	if l := respMeta.RejectionLimit; l.Stated || l.Invalid != "" {
		p.relay.options.Stats.ReportedRejectionLimit.Inc()
		p.note("%s states a limit of %g rejections per second%s", id, l.PerSecond, l.Invalid)
	}
	if r.RecordRejectionLimit(id, respMeta.RejectionLimit, c.sentAt, respMeta.Signed && !respMeta.NotExecuted) {
		p.relay.options.PublishState()
	}
}

// isFromTarget reports whether a response to this request comes from the target that it was sent to.
// One that reports a misdirected request comes from the target that has the address now, unless it
// names this one.
func (p *proxiedRequest) isFromTarget(c *choice, misdirected bool, respMeta *ResponseMeta) bool {
	return !misdirected || respMeta.Target == c.target.Entry().Name
}
