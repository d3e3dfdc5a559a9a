package canary

import (
	"math"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// Guard keeps a daemon's requests to what roll-outs allow, and counts the answers. The zero value
// knows no roll-out. Its methods may be called from several goroutines.
type Guard struct {
	// Share is the part of the requests of a service that a version on trial may get of all
	// daemons together. It is set before use.
	Share float64
	// Fresh, if set, reports whether this daemon knows what is asked for now. Without that nothing
	// goes to a version on trial. It is set before use.
	Fresh func() bool

	guardMu  sync.Mutex
	services map[string]*service // guarded by guardMu
}

// service is a service that has or had a roll-out.
type service struct {
	order Order
	// heard is when this daemon heard of the order.
	heard clock.Time
	state State
	// lost tells that the store does not hold the state.
	lost bool
	// requests counts the service's requests since then, and tried those that were to go to the
	// version on trial.
	requests, tried int
	oldRunning      int
	routes          map[string]*Pair
}

// keptShare is the part of the allowed share that is used: requests that are counted here may end
// before they are sent.
const keptShare = 0.6

// SetOrder takes what operators ask for; a zero Revision tells that the order was withdrawn.
func (g *Guard) SetOrder(o Order) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.of(o.Service)
	if s.order.Revision == o.Revision {
		return
	}
	if plat.Era(o.Revision) > plat.Era(s.order.Revision) && s.order.Revision != 0 && o.Version == s.order.Version && o.Lasts == s.order.Lasts {
		// It is told anew by a store that came back from an older copy.
		s.order.Revision = o.Revision
		return
	}
	s.order, s.heard = o, clock.Now()
	s.requests, s.tried, s.routes = 0, 0, map[string]*Pair{}
}

// SetState takes how far the roll-out of a service is; the zero value tells that this was removed. A
// state from before the known one, as a store tells that came back from an older copy, changes nothing
// and is to be written again.
func (g *Guard) SetState(name string, st State) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.of(name)
	if st.Order != 0 && st.older(&s.state) {
		s.lost = true
		return
	}
	s.state, s.lost = st, false
}

// Lose records that a store which came back from an older copy lacks the state of a service.
func (g *Guard) Lose(name string) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.of(name)
	s.lost = s.state.Order != 0
}

// lost returns the states that the store lacks.
func (g *Guard) lost() []open {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	var out []open
	for name, s := range g.services {
		if s.lost {
			o := s.order
			o.Service = name
			out = append(out, open{o, s.state, clock.Since(s.heard)})
		}
	}
	return out
}

// of is called with guardMu held.
func (g *Guard) of(name string) *service {
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

// phase returns how far the order is; one that nobody has begun is on trial.
func (s *service) phase() Phase {
	switch {
	case s.order.Revision == 0:
		return RolledBack
	case !s.state.about(&s.order):
		return Trying
	}
	return s.state.Phase
}

// blocked returns the versions that get nothing. The version of an order that was replaced or
// withdrawn before it was decided is one of them.
func (s *service) blocked() []string {
	out := slices.Clone(s.state.Blocked)
	if s.state.Order != 0 && !s.state.about(&s.order) && !s.state.Phase.Over() {
		out = append(out, s.state.Version)
	}
	return slices.DeleteFunc(out, func(v string) bool { return v == s.order.Version })
}

// Choose counts a request and returns which versions it may go to.
func (g *Guard) Choose(name string) Side {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.services[name]
	if s == nil {
		return Side{}
	}
	side := Side{Not: s.blocked()}
	if s.order.Revision == 0 {
		return side
	}
	s.requests++
	switch s.phase() {
	case Moving, Completed:
		side.Prefer = s.order.Version
	case Trying:
		share := keptShare * g.Share
		if float64(s.tried+1) <= share*float64(s.requests) && (g.Fresh == nil || g.Fresh()) {
			s.tried++
			side.Prefer, side.Few = s.order.Version, share
			return side
		}
		side.Not, side.Trial = append(side.Not, s.order.Version), s.order.Version
	case RolledBack:
		side.Not = append(side.Not, s.order.Version)
	}
	return side
}

// Begin counts a request that is sent to a version, and End that it has ended.
func (g *Guard) Begin(name, version string) { g.running(name, version, 1) }

// End takes back what Begin counted.
func (g *Guard) End(name, version string) { g.running(name, version, -1) }

// running counts requests at versions other than the new one. Those that were sent before the order
// was heard end below zero and are not counted.
func (g *Guard) running(name, version string, by int) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	if s := g.services[name]; s != nil && version != s.order.Version {
		s.oldRunning = max(0, s.oldRunning+by)
	}
}

// Answered counts an answer of a version, and whether it was good.
func (g *Guard) Answered(name, route, version string, good bool) {
	g.observe(name, route, version, func(s *Sum) {
		s.Answers++
		if !good {
			s.Bad++
		}
	})
}

// Timed counts the time to a first answer over that expected.
func (g *Guard) Timed(name, route, version string, ratio float64) {
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

// observe changes the sum of one version while its service has a roll-out that is not decided.
func (g *Guard) observe(name, route, version string, f func(*Sum)) {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	s := g.services[name]
	if s == nil || s.phase().Over() {
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

// Reports returns what this daemon knows of the roll-outs that are not decided.
func (g *Guard) Reports() []Report {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	var out []Report
	for name, s := range g.services {
		if s.phase().Over() {
			continue
		}
		r := Report{Service: name, Order: s.order.Revision, Phase: s.phase(), OldRunning: s.oldRunning, Routes: map[string]Pair{}}
		for route, p := range s.routes {
			r.Routes[route] = *p
		}
		out = append(out, r)
	}
	return out
}

// open is a roll-out that is to be looked after.
type open struct {
	order Order
	state State
	since time.Duration
}

// open returns the roll-outs that are not decided, and for how long they have been known here.
func (g *Guard) open() []open {
	g.guardMu.Lock()
	defer g.guardMu.Unlock()
	var out []open
	for _, s := range g.services {
		if !s.phase().Over() {
			out = append(out, open{s.order, s.state, clock.Since(s.heard)})
		}
	}
	return out
}

// Undecided returns how many roll-outs are not decided.
func (g *Guard) Undecided() int { return len(g.open()) }

// Over reports whether every roll-out is decided, and the store holds that.
func (g *Guard) Over() bool { return g.Undecided() == 0 && len(g.lost()) == 0 }
