package canary

import (
	"math"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// Guard restricts a daemon's requests to the versions that rollouts allow, and counts the answers.
// The zero value has no rollouts. Its methods are safe for concurrent use.
type Guard struct {
	// CanaryShare is the share of a service's requests that a canary version may get from all daemons
	// together. It must be set before use.
	CanaryShare float64
	// OrdersCurrent, if set, reports whether this daemon's copy of the orders is current. Unless it
	// is, no request goes to a canary version. It must be set before use.
	OrdersCurrent func() bool

	guardMu  sync.Mutex
	services map[string]*service // by name; guarded by guardMu
	// running counts the requests in flight by version, also while there is no rollout: those that began before an
	// order end after it. Guarded by guardMu.
	running map[serviceVersion]int
}

// serviceVersion is a version of the targets of a service.
type serviceVersion struct{ service, version string }

// service is a service that has or had a rollout.
type service struct {
	order Order
	// receivedAt is when this daemon received the order.
	receivedAt clock.Time
	state      State
	// unstored reports that the store does not hold the state.
	unstored bool
	// requests counts the service's requests since receivedAt, and canaryRequests those that were
	// to go to the canary version.
	requests, canaryRequests int
	// routes holds the statistics of answers by route.
	routes map[string]*Pair
}

// usedShare is the part of CanaryShare that is used: requests counted here may end before they are
// sent, so the canary version's share of those sent could exceed CanaryShare.
const usedShare = 0.6

// SetOrder sets a service's order; a zero Revision means that the order was withdrawn.
func (g *Guard) SetOrder(o Order) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.ensure(o.Service)
	if s.order.Revision == o.Revision {
		return
	}
	if plat.StoreIncarnation(o.Revision) > plat.StoreIncarnation(s.order.Revision) && s.order.Revision != 0 &&
		o.Version == s.order.Version && o.Lasts == s.order.Lasts {
		// The same order, read from a store restored from an older copy.
		s.order.Revision = o.Revision
		return
	}
	s.order, s.receivedAt = o, clock.Now()
	s.requests, s.canaryRequests, s.routes = 0, 0, map[string]*Pair{}
}

// SetState sets the state of a service's rollout; the zero value means that it was removed. A state
// older than the current one, as a store restored from an older copy holds it, changes nothing, and
// the current state is written again.
func (g *Guard) SetState(name string, st State) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.ensure(name)
	if st.Order != 0 && st.olderThan(&s.state) {
		s.unstored = true
		return
	}
	s.state, s.unstored = st, false
}

// MarkUnstored records that a store restored from an older copy lacks a service's state.
func (g *Guard) MarkUnstored(name string) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.ensure(name)
	s.unstored = s.state.Order != 0
}

// unstored returns the rollouts whose state the store lacks.
func (g *Guard) unstored() []activeRollout {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	var out []activeRollout
	for name, s := range g.services {
		if s.unstored {
			o := s.order
			o.Service = name
			out = append(out, activeRollout{o, s.state, clock.Since(s.receivedAt)})
		}
	}
	return out
}

// ensure returns the entry of a service, creating it if needed. It is called with guardMu held.
func (g *Guard) ensure(name string) *service {
	if g.services == nil {
		g.services = map[string]*service{}
	}
	s := g.services[name]
	if s == nil {
		s = &service{routes: map[string]*Pair{}}
		g.services[name] = s
	}
	return s
}

// phase returns the phase of the order; it is Trying until the first state is written.
func (s *service) phase() Phase {
	switch {
	case s.order.Revision == 0:
		return RolledBack
	case !s.state.isFor(&s.order):
		return Trying
	}
	return s.state.Phase
}

// blocked returns the versions that get no requests. They include the version of an order that was
// replaced or withdrawn before it was decided.
func (s *service) blocked() []string {
	out := slices.Clone(s.state.Blocked)
	if s.state.Order != 0 && !s.state.isFor(&s.order) && !s.state.Phase.Decided() {
		out = append(out, s.state.Version)
	}
	return slices.DeleteFunc(out, func(v string) bool { return v == s.order.Version })
}

// Choose counts a request and returns the versions it may go to.
func (g *Guard) Choose(name string) VersionFilter {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.services[name]
	if s == nil {
		return VersionFilter{}
	}
	filter := VersionFilter{Excluded: s.blocked()}
	if s.order.Revision == 0 {
		return filter
	}
	s.requests++
	switch s.phase() {
	case Moving, Completed:
		filter.Preferred = s.order.Version
	case Trying:
		share := usedShare * g.CanaryShare
		if float64(s.canaryRequests+1) <= share*float64(s.requests) &&
			(g.OrdersCurrent == nil || g.OrdersCurrent()) {
			s.canaryRequests++
			filter.Preferred, filter.TargetShare = s.order.Version, share
			return filter
		}
		filter.Excluded, filter.Canary = append(filter.Excluded, s.order.Version), s.order.Version
	case RolledBack:
		filter.Excluded = append(filter.Excluded, s.order.Version)
	}
	return filter
}

// Resume returns the filter of a request that resumes a stream which a version began. It goes on there in each phase
// but RolledBack: a stream of a version that was rolled back ends, since such a version gets no requests.
func (g *Guard) Resume(name, version string) VersionFilter {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	filter := VersionFilter{Bound: true, Only: version}
	s := g.services[name]
	if s == nil {
		return filter
	}
	filter.Excluded = s.blocked()
	if s.order.Revision != 0 && s.phase() == RolledBack {
		filter.Excluded = append(filter.Excluded, s.order.Version)
	}
	return filter
}

// RequestStarted counts a request that is sent to a version.
func (g *Guard) RequestStarted(name, version string) { g.addRunning(name, version, 1) }

// RequestEnded reverts what RequestStarted counted.
func (g *Guard) RequestEnded(name, version string) { g.addRunning(name, version, -1) }

// addRunning changes the count of requests on a version.
func (g *Guard) addRunning(name, version string, delta int) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	if g.running == nil {
		g.running = map[serviceVersion]int{}
	}
	k := serviceVersion{name, version}
	if g.running[k] += delta; g.running[k] <= 0 {
		delete(g.running, k)
	}
}

// runningOnOld returns the number of requests in flight on versions of a service other than the order's. It is called with
// guardMu held.
func (g *Guard) runningOnOld(o *Order) int {
	n := 0
	for k, running := range g.running {
		if k.service == o.Service && k.version != o.Version {
			n += running
		}
	}
	return n
}

// RecordAnswer counts a version's answer. good reports that it was not a failure of the target.
func (g *Guard) RecordAnswer(name, route, version string, good bool) {
	g.observe(name, route, version, func(s *Sum) {
		s.Answers++
		if !good {
			s.Bad++
		}
	})
}

// RecordTime records a time to the first answer, as its ratio to the expected time.
func (g *Guard) RecordTime(name, route, version string, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	log := math.Log(ratio)
	g.observe(name, route, version, func(s *Sum) {
		s.Times++
		s.Log += log
		s.Square += log * log
	})
}

// observe updates the statistics of a version while its service has an undecided rollout.
func (g *Guard) observe(name, route, version string, f func(*Sum)) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.services[name]
	if s == nil || s.phase().Decided() {
		return
	}
	p := s.routes[route]
	if p == nil {
		p = &Pair{}
		s.routes[route] = p
	}
	if version == s.order.Version {
		f(&p.New)
	} else {
		f(&p.Old)
	}
}

// Reports returns this daemon's statistics of undecided rollouts.
func (g *Guard) Reports() []Report {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	var out []Report
	for name, s := range g.services {
		if s.phase().Decided() {
			continue
		}
		r := Report{Service: name, Order: s.order.Revision, Phase: s.phase(), RunningOnOld: g.runningOnOld(&s.order), Routes: map[string]Pair{}}
		for route, p := range s.routes {
			r.Routes[route] = *p
		}
		out = append(out, r)
	}
	return out
}

// activeRollout is a rollout that is undecided or whose state is unstored.
type activeRollout struct {
	order Order
	state State
	// sinceReceived is the time since this daemon received the order.
	sinceReceived time.Duration
}

// active returns the undecided rollouts, with the time since this daemon received each order.
func (g *Guard) active() []activeRollout {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	var out []activeRollout
	for _, s := range g.services {
		if !s.phase().Decided() {
			out = append(out, activeRollout{s.order, s.state, clock.Since(s.receivedAt)})
		}
	}
	return out
}

// Undecided returns the number of undecided rollouts.
func (g *Guard) Undecided() int { return len(g.active()) }

// AllDecided reports whether every rollout is decided and the store holds the decisions.
func (g *Guard) AllDecided() bool { return g.Undecided() == 0 && len(g.unstored()) == 0 }
