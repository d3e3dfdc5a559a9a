package relay

import "embertally.dev/core/roster"

// recordSelfReport records the self-reported state in the header of a target's answer. It is called
// for every answer to a caller's request before any of it is passed on.
func (p *proxiedRequest) recordSelfReport(c *choice, misdirected bool, reply *Reply) {
	if !p.isFromTarget(c, misdirected, reply) {
		return
	}
	if reply.Leaves {
		p.relay.options.Stats.ReportedShutdown.Inc()
		p.note("%s reports that it is shutting down", c.target.ID())
		c.report.recordShutdown()
		if p.relay.options.Roster.Leaves(c.target.ID(), roster.ByAnswer) {
			// Publish it at once: the next heartbeat may be a second away.
			p.relay.options.Placed()
		}
	}
	if reply.Rest > 0 || reply.Odd != "" {
		p.relay.options.Stats.Pushbacks.Inc()
		p.note("%s asks for pushback of %s%s", c.target.ID(), reply.Rest, reply.Odd)
		p.relay.options.Roster.Turned(c.target.ID(), roster.Asked{Rest: reply.Rest, Odd: reply.Odd})
	}
	if l := reply.Limit; l.Named || l.Odd != "" {
		p.relay.options.Stats.ReportedRateLimit.Inc()
		p.note("%s names a rate limit of %g per second%s", c.target.ID(), l.PerSecond, l.Odd)
	}
	if p.relay.options.Roster.HearLimit(c.target.ID(), reply.Limit, c.sentAt, reply.Sealed && !reply.NotRun) {
		// Until other daemons receive this they send at the previous rate.
		p.relay.options.Placed()
	}
	if !misdirected && !reply.NotRun {
		p.relay.options.Roster.Took(c.target.ID())
	}
}

// isFromTarget reports whether an answer comes from the target that was asked. An answer to another
// request may come from any target. A misdirected request was answered by the target that has the
// address now, unless it names this one.
func (p *proxiedRequest) isFromTarget(c *choice, misdirected bool, reply *Reply) bool {
	if misdirected {
		return reply.Target == c.target.Entry().Name
	}
	return reply.ID == p.meta.ID || (reply.ID == "" && reply.NotRun)
}
