package relay

import (
	"time"

	"embertally.dev/core/fleet"
	"embertally.dev/core/route"
)

// mayRepeat takes one repeated send to a service out of what is allowed.
func (f *Relay) mayRepeat(service string) bool {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	return f.allowance(service).Spend(time.Since(f.began))
}

// earn records a request for a service.
func (f *Relay) earn(service string) {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	f.allowance(service).Earn(time.Since(f.began))
}

// allowedShare is the part of what is allowed that is used: requests that were
// counted here but never arrived at a daemon's peer lower the others' count.
const allowedShare = 0.7

// allowance is called with allowMu held.
func (f *Relay) allowance(service string) *route.Allowance {
	a := f.allowances[service]
	if a == nil {
		a = &route.Allowance{Share: f.o.RetryShare * allowedShare, Window: f.o.RetryWindow}
		f.allowances[service] = a
	}
	a.Extra = f.o.RetryExtra * allowedShare / float64(max(1, f.o.Daemons()))
	return a
}

// count records a prompt for a service.
func (f *Relay) count(service string, tokens int) {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	m := f.mixes[service]
	if m == nil {
		m = &route.Mix{}
		f.mixes[service] = m
	}
	m.Count(tokens)
}

// sample records how long tokens took to be read.
func (f *Relay) sample(service string, tokens int, took time.Duration) {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	s := f.speeds[service]
	if s == nil {
		s = &route.Speed{}
		f.speeds[service] = s
	}
	s.Sample(tokens, took)
}

// speed returns how fast the workers of a service read.
func (f *Relay) speed(service string) route.Speed {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	if s := f.speeds[service]; s != nil {
		return *s
	}
	return route.Speed{}
}

// shortWorkers returns the workers of a service that are set aside for short
// prompts. All daemons that see the same list and mix name the same ones.
func (f *Relay) shortWorkers(service string) map[string]bool {
	f.allowMu.Lock()
	var m route.Mix
	if known := f.mixes[service]; known != nil {
		m = *known
	}
	f.allowMu.Unlock()
	names := f.workers(service)
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
func (f *Relay) workers(service string) []string {
	targets := f.o.Roster.Of(service)
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.ID()
	}
	return f.o.Share(names)
}
