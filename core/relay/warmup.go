package relay

import (
	"sync"
	"time"

	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// warmUpLimiter limits the rate of this daemon's attempts at targets that are warming up. The zero
// value is ready for use.
type warmUpLimiter struct {
	limiterMu sync.Mutex
	limiters  map[string]*route.WarmUpLimiter // by target ID; guarded by limiterMu
}

// allow reports whether a target may get one more of share requests per second. If consume is set,
// it counts the request.
func (l *warmUpLimiter) allow(id string, share int, consume bool, now time.Time) bool {
	l.limiterMu.Lock()
	defer l.limiterMu.Unlock()
	limiter := l.limiters[id]
	if limiter == nil {
		limiter = &route.WarmUpLimiter{}
	}
	if !limiter.Allows(share, now) {
		return false
	}
	if consume {
		l.add(id, limiter, now)
		limiter.RecordAttempt(now)
	}
	return true
}

// add stores a target's limiter and removes idle ones. It is called with limiterMu held.
func (l *warmUpLimiter) add(id string, limiter *route.WarmUpLimiter, now time.Time) {
	if l.limiters[id] == limiter {
		return
	}
	for otherID, other := range l.limiters {
		if other.Idle(now) {
			delete(l.limiters, otherID)
		}
	}
	if l.limiters == nil {
		l.limiters = map[string]*route.WarmUpLimiter{}
	}
	l.limiters[id] = limiter
}

// warmUpAllows reports whether the warm-up rate limit of a target, if any, allows one more request.
// If consume is set, it counts the request. Only daemons that use the target may send to it while
// it warms up.
func (rl *Relay) warmUpAllows(svc *table.Service, t *roster.Target, shared, consume bool, now time.Time) bool {
	if svc.WarmUp.RequestsPerSecond <= 0 || !rl.options.Roster.WarmingUp(t, svc.WarmUp.Duration, now) {
		return true
	}
	if !shared {
		return false
	}
	rank, total := rl.options.Rank(t.ID(), svc.Engine != nil)
	perSecond := svc.WarmUp.RequestsPerSecond*rl.options.WarmUpFactor + rl.options.WarmUpExtra
	return rl.warmUp.allow(t.ID(), route.WarmUpShare(perSecond, total, rank), consume, now)
}

// acquire counts a choice under the warm-up limit of its target and takes a permit if the target
// has a rate limit. It reports whether the choice may be sent: another request may have used up
// either since.
func (p *proxiedRequest) acquire(c *choice, now time.Time) bool {
	if c.report != nil {
		// The daemon that made the choice has done this.
		return true
	}
	if !p.relay.warmUpAllows(p.table.Service(p.service), c.target, true, true, now) {
		return false
	}
	if c.permit.Remote {
		return true
	}
	permit, granted := p.relay.options.Roster.TakePermit(c.target)
	c.permit = permit
	return granted
}
