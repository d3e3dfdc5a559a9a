package relay

import "embertally.dev/core/roster"

// hear takes what a target says of itself in the head of an answer. Each answer to a request of a
// caller comes by here before any of it is passed on.
func (p *pass) hear(c *choice, moved bool, reply *Reply) {
	if !p.saidBy(c, moved, reply) {
		return
	}
	if reply.Leaves {
		p.relay.o.Stats.SaidLeaving.Inc()
		p.note("%s says that it leaves", c.target.ID())
		c.order.left()
		if p.relay.o.Roster.Leaves(c.target.ID(), roster.ByAnswer) {
			// Other daemons hear of it at once: a heartbeat may be a second away.
			p.relay.o.Placed()
		}
	}
	if reply.Rest > 0 || reply.Odd != "" {
		p.relay.o.Stats.AskedRest.Inc()
		p.note("%s asks for %s of rest%s", c.target.ID(), reply.Rest, reply.Odd)
		p.relay.o.Roster.Turned(c.target.ID(), roster.Asked{Rest: reply.Rest, Odd: reply.Odd})
	}
	if l := reply.Limit; l.Named || l.Odd != "" {
		p.relay.o.Stats.NamedLimit.Inc()
		p.note("%s names a limit of %g a second%s", c.target.ID(), l.PerSecond, l.Odd)
	}
	if p.relay.o.Roster.HearLimit(c.target.ID(), reply.Limit, c.sent, reply.Sealed && !reply.NotRun) {
		// Until other daemons hear of it they send at the former rate.
		p.relay.o.Placed()
	}
	if !moved && !reply.NotRun {
		p.relay.o.Roster.Took(c.target.ID())
	}
}

// saidBy reports whether an answer is the word of the target that was asked. One that names
// another request may be anybody's, and one that the address has passed on comes from another
// target unless it names this one.
func (p *pass) saidBy(c *choice, moved bool, reply *Reply) bool {
	if moved {
		return reply.Target == c.target.Entry().Name
	}
	return reply.ID == p.ask.ID || (reply.ID == "" && reply.NotRun)
}
