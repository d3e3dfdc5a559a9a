package relay

import (
	"time"

	"embertally.dev/core/fleet"
	"embertally.dev/core/route"
)

// mayRepeat takes one repeated send to a service out of what is allowed.
func (rl *Relay) mayRepeat(service string) bool {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	return rl.allowance(service).Spend(time.Since(rl.began))
}

// earn records a request for a service.
func (rl *Relay) earn(service string) {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	rl.allowance(service).Earn(time.Since(rl.began))
}

// allowedShare is the part of what is allowed that is used: requests that were
// counted here but never arrived at a daemon's peer lower the others' count.
const allowedShare = 0.7

// allowance is called with allowMu held.
func (rl *Relay) allowance(service string) *route.Allowance {
	a := rl.allowances[service]
	if a == nil {
		a = &route.Allowance{Share: rl.o.RetryShare * allowedShare, Window: rl.o.RetryWindow}
		rl.allowances[service] = a
	}
	a.Extra = rl.o.RetryExtra * allowedShare / float64(max(1, rl.o.Daemons()))
	return a
}

// count records a prompt for a service.
func (rl *Relay) count(service string, tokens int) {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	m := rl.mixes[service]
	if m == nil {
		m = &route.Mix{}
		rl.mixes[service] = m
	}
	m.Count(tokens)
}

// sample records how long tokens took to be read.
func (rl *Relay) sample(service string, tokens int, took time.Duration) {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	s := rl.speeds[service]
	if s == nil {
		s = &route.Speed{}
		rl.speeds[service] = s
	}
	s.Sample(tokens, took)
}

// speed returns how fast the workers of a service read.
func (rl *Relay) speed(service string) route.Speed {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	if s := rl.speeds[service]; s != nil {
		return *s
	}
	return route.Speed{}
}

// shortWorkers returns those of a service's workers that are set aside for
// short prompts. All daemons that see the same list and mix name the same ones.
func (rl *Relay) shortWorkers(service string, names []string) map[string]bool {
	rl.allowMu.Lock()
	var m route.Mix
	if known := rl.mixes[service]; known != nil {
		m = *known
	}
	rl.allowMu.Unlock()
	n := m.ShortWorkers(len(names))
	if n == 0 {
		return nil
	}
	out := make(map[string]bool, n)
	for _, name := range fleet.Rank(fleet.Key("short"), names)[:n] {
		out[name] = true
	}
	return out
}

// workers returns the workers of a service that this daemon's requests go to.
func (rl *Relay) workers(service string) []string {
	targets := rl.o.Roster.Of(service)
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.ID()
	}
	return rl.o.Share(names)
}
