package relay

import (
	"time"

	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// maxSlowOpens is how many connections of one request are abandoned for being slow to open: with a
// quarter of the targets dark, fewer than one request in 10,000 reaches it. The next one may take as
// long as the pool allows, so that a daemon with a broken network does not open connections to
// everything.
const maxSlowOpens = 8

// openGroup returns the name of the targets whose connections take about as long to open as those to
// a target: the targets of its service in its failure domain.
func (p *proxiedRequest) openGroup(t *roster.Target) string {
	return p.service + " " + t.Entry().Domain
}

// openLimit returns how long a request waits for a connection to a target.
func (p *proxiedRequest) openLimit(t *roster.Target) time.Duration {
	return p.relay.options.Pool.OpenLimit(t.Entry().Address, p.openGroup(t))
}

// setOpenRace sets how an attempt's connection is opened.
func (p *proxiedRequest) setOpenRace(req *target.Request, c *choice) {
	rl, t, service := p.relay, c.target, p.service
	req.Target = t.ID()
	req.OnlyTarget = c.onlyCandidate
	req.SecondOpen = c.onlyCandidate || p.slowOpens+p.unopened > 0
	req.OnVerdict = func(err error) { rl.recordVerdict(t, service, err) }
	if rl.options.Disabled.OpenRace {
		return
	}
	hasDetour := rl.options.Pool.Detour != nil
	req.Group = p.openGroup(t)
	req.NewConnection = c.eligible.probe
	req.ReplaceSlowOpen = hasDetour || (!c.onlyCandidate && p.slowOpens < maxSlowOpens)
	// OnSilent and OnOpen may be called after the request has ended, so it must not use p.
	req.OnSilent = func() {
		rl.options.Stats.SilentConnections.Inc()
		if rl.options.Roster.RecordSlowOpen(t, time.Now()) {
			rl.options.PublishState()
		}
	}
	req.OnOpen = func(late bool, err error) {
		switch {
		case err == nil:
			rl.recordResponsive(t)
		case late:
			rl.recordVerdict(t, service, err)
		}
	}
}

// recordVerdict records whether a target to which a connection could not be opened is reachable at all.
// err is nil if it is by way of another box.
func (rl *Relay) recordVerdict(t *roster.Target, service string, err error) {
	if err == nil {
		t.RecordResponse()
		return
	}
	t.RecordNoResponse(time.Now())
	rl.options.Poison.RecordDialError(t.ID(), err)
	if !rl.options.Disabled.Targets {
		rl.options.TargetStats.ObserveResponse(t.ID(), service, false, time.Now())
	}
}

// recordResponsive records that a target responded, if only by accepting a connection.
func (rl *Relay) recordResponsive(t *roster.Target) {
	if rl.options.Roster.RecordResponsive(t, time.Now()) {
		rl.options.PublishState()
	}
}

// recordSlowOpen records that the connection for an attempt was slow to open.
func (p *proxiedRequest) recordSlowOpen(c *choice) {
	p.slowOpens++
	p.relay.options.Stats.SlowOpens.Inc()
	if p.relay.options.Roster.RecordSlowOpen(c.target, time.Now()) {
		c.report.recordNoResponse()
		p.relay.options.PublishState()
	}
}

// slowStatus returns how a target whose connections were slow to open is treated: a request may
// probe it only if it can be answered on time elsewhere should the probe fail.
func (p *proxiedRequest) slowStatus(svc *table.Service, t *roster.Target, now time.Time) roster.SlowStatus {
	if p.relay.options.Disabled.OpenRace || !t.HasSlowConnections(now) {
		return roster.NotSlow
	}
	status := t.SlowStatus(p.probeRank(svc, t), now)
	if status == roster.SlowProbation && !p.mayProbe(t, now) {
		return roster.SlowAvoided
	}
	return status
}

// probeRank returns this daemon's rank among those that may probe a target.
func (p *proxiedRequest) probeRank(svc *table.Service, t *roster.Target) int {
	rank, _ := p.relay.options.Rank(t.ID(), svc.Engine != nil)
	return rank
}

// mayProbe reports whether the request can afford a failed probe of a target.
func (p *proxiedRequest) mayProbe(t *roster.Target, now time.Time) bool {
	loss := p.openLimit(t)
	if p.route.LatencyObjective <= 0 {
		return p.deadline.Sub(now) > maxSlowOpens*loss
	}
	return p.likelyOnTime(loss)
}

// startProbe makes the request the only probe of a target if it was chosen as one, and reports false
// if another request has become that since.
func (p *proxiedRequest) startProbe(c *choice) bool {
	if !c.eligible.probe {
		return true
	}
	if !c.target.StartProbe(p.probeRank(p.table.Service(p.service), c.target), time.Now()) {
		return false
	}
	p.relay.options.Stats.Probes.Inc()
	p.note("probes %s", c.target.ID())
	return true
}

// endProbe ends the attempt's probe of its target.
func (p *proxiedRequest) endProbe(c *choice) {
	if c.eligible.probe {
		c.target.EndProbe()
	}
}
