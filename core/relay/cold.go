package relay

import (
	"sync"
	"time"

	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// colds counts what this daemon sends to cold targets. The zero value has sent nothing.
type warmUpLimiter struct {
	limiterMu sync.Mutex
	paces     map[string]*route.Pace // by target; guarded by coldMu
}

// may reports whether a target may get one more of a share, and with take counts it.
func (l *warmUpLimiter) allow(id string, share int, consume bool, now time.Time) bool {
	l.limiterMu.Lock()
	defer l.limiterMu.Unlock()
	limiter := l.paces[id]
	if limiter == nil {
		limiter = &route.Pace{}
	}
	if !limiter.May(share, now) {
		return false
	}
	if consume {
		l.add(id, limiter, now)
		limiter.Sent(now)
	}
	return true
}

// keep remembers a target's pace and forgets those of others that were sent nothing
// lately. It is called with coldMu held.
func (l *warmUpLimiter) add(id string, limiter *route.Pace, now time.Time) {
	if l.paces[id] == limiter {
		return
	}
	for other, p := range l.paces {
		if p.Idle(now) {
			delete(l.paces, other)
		}
	}
	if l.paces == nil {
		l.paces = map[string]*route.Pace{}
	}
	l.paces[id] = limiter
}

// coldMay reports whether a target may get a request, however cold it is, and with take
// counts it. Only daemons that share the target may send to it while it is cold.
func (rl *Relay) warmUpAllows(svc *table.Service, t *roster.Target, shared, consume bool, now time.Time) bool {
	if svc.Cold.PerSecond <= 0 || !rl.options.Roster.Cold(t, svc.Cold.Start, now) {
		return true
	}
	if !shared {
		return false
	}
	rank, total := rl.options.Place(t.ID(), svc.Engine != nil)
	perSecond := svc.Cold.PerSecond*rl.options.ColdOver + rl.options.ColdExtra
	return rl.warmUp.allow(t.ID(), route.ColdShare(perSecond, total, rank), consume, now)
}

// spend takes a choice out of what a cold target and one with a limit may get. It reports whether it
// may be sent: another request may have taken the last place meanwhile.
func (p *proxiedRequest) acquire(c *choice, now time.Time) bool {
	if c.report != nil {
		// The daemon that chose has done so.
		return true
	}
	if !p.relay.warmUpAllows(p.table.Service(p.service), c.target, true, true, now) {
		return false
	}
	if c.permit.Far {
		return true
	}
	permit, granted := p.relay.options.Roster.Take(c.target)
	c.permit = permit
	return granted
}
