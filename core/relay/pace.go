package relay

import (
	"time"

	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// paceFactor returns how many times longer than usual a worker takes at this moment.
func (rl *Relay) paceFactor(svc *table.Service, t *roster.Target, now time.Time) float64 {
	if svc.Engine == nil || rl.options.Pace == nil || rl.options.Disabled.Pace {
		return 1
	}
	return rl.options.Pace.Factor(t.ID(), now)
}

// paceKnown reports whether the pace of the request's targets is observed.
func (p *proxiedRequest) paceKnown() bool {
	if p.relay.options.Pace == nil || p.relay.options.Disabled.Pace {
		return false
	}
	svc := p.table.Service(p.service)
	return svc != nil && svc.Engine != nil
}

// startPace returns the recorder of the pauses of a stream; nil if they are not recorded.
func (p *proxiedRequest) startPace(c *choice) *learn.PaceStream {
	if !p.paceKnown() {
		return nil
	}
	key, _ := p.timingKey()
	return p.relay.options.Pace.Stream(c.target.ID(), p.service, key, time.Now())
}
