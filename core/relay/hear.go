package relay

import "embertally.dev/core/roster"

// hear takes what a target says of itself in the head of an answer. Each answer to a request of a
// caller comes by here before any of it is passed on.
func (p *proxiedRequest) recordSelfReport(c *choice, misdirected bool, reply *Reply) {
	if !p.isFromTarget(c, misdirected, reply) {
		return
	}
	if reply.Leaves {
		p.relay.options.Stats.ReportedShutdown.Inc()
		p.note("%s says that it leaves", c.target.ID())
		c.report.recordShutdown()
		if p.relay.options.Roster.Leaves(c.target.ID(), roster.ByAnswer) {
			// Other daemons hear of it at once: a heartbeat may be a second away.
			p.relay.options.Placed()
		}
	}
	if reply.Rest > 0 || reply.Odd != "" {
		p.relay.options.Stats.Pushbacks.Inc()
		p.note("%s asks for %s of rest%s", c.target.ID(), reply.Rest, reply.Odd)
		p.relay.options.Roster.Turned(c.target.ID(), roster.Asked{Rest: reply.Rest, Odd: reply.Odd})
	}
	if l := reply.Limit; l.Named || l.Odd != "" {
		p.relay.options.Stats.ReportedRateLimit.Inc()
		p.note("%s names a limit of %g a second%s", c.target.ID(), l.PerSecond, l.Odd)
	}
	if p.relay.options.Roster.HearLimit(c.target.ID(), reply.Limit, c.sentAt, reply.Sealed && !reply.NotRun) {
		// Until other daemons hear of it they send at the former rate.
		p.relay.options.Placed()
	}
	if !misdirected && !reply.NotRun {
		p.relay.options.Roster.Took(c.target.ID())
	}
}

// saidBy reports whether an answer is the word of the target that was asked. One that names
// another request may be anybody's, and one that the address has passed on comes from another
// target unless it names this one.
func (p *proxiedRequest) isFromTarget(c *choice, misdirected bool, reply *Reply) bool {
	if misdirected {
		return reply.Target == c.target.Entry().Name
	}
	return reply.ID == p.meta.ID || (reply.ID == "" && reply.NotRun)
}
