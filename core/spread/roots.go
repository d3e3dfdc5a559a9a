package spread

import (
	"maps"
	"slices"
	"time"

	"embertally.dev/core/fleet"
)

// Who asks the service.
const (
	// smallFleet is the size up to which all daemons ask the service.
	smallFleet = 16
	// staleAfter is the age of what peers told from which the next daemons in rank
	// ask the service themselves: reserves of a cell, or where there are roots one of
	// each failure domain, and as many again with each staleAfter more. What is kept
	// may not be copied from 2.2 s on.
	staleAfter = 1800 * time.Millisecond
	reserves   = 2
	// followers is how many daemons of a cell in a large fleet ask the service, or where
	// there are roots one of these; each call of the service is priced. Where both are
	// lost the others ask it as well.
	followers = 2
	// rootedCells is the number of cells from which on only roots ask the service, one
	// for each failure domain.
	rootedCells = 3
	// leastRoots is how many there are where the fleet has fewer domains.
	leastRoots = 2
	// silentTime and silentMost are how long a peer that did not answer is not asked: a
	// silent one costs the whole time that a question may take.
	silentTime = time.Second
	silentMost = 8 * time.Second
	// holdSmall and holdLarge are how long the service holds a question for changes. An
	// answer without changes tells that there were none, at the price of a call. What
	// roots tell is older by the ways through their fleet, some 0.3 s, and what is
	// older than 2.2 s allows no copies.
	holdSmall = 1500 * time.Millisecond
	holdLarge = time.Second
)

// Follows reports whether this daemon asks the service itself.
//
// Peers that are listed and were not heard yet count in the rank: without them all
// daemons that start together would watch until they have heard each other.
func (s *Mirrors) Follows() bool {
	view := s.fleet.View()
	switch {
	case len(view.Peers()) < smallFleet, !s.mirror.Known():
		return true
	case view.Cells() < rootedCells:
		return s.place(view) < followers || s.Reserve()
	}
	return slices.Contains(s.rootsOf(view), view.Self()) || s.Reserve()
}

// Hold returns how long the service is to hold a question for changes.
func (s *Mirrors) Hold() time.Duration {
	if s.fleet.View().Cells() < rootedCells {
		return holdSmall
	}
	return holdLarge
}

// leads reports whether this daemon asks a root for its cell.
func (s *Mirrors) leads() bool {
	view := s.fleet.View()
	return view.Cells() >= rootedCells && s.place(view) < followers
}

// Reserve reports whether this daemon asks the service since those who come before it
// do not tell what it says. All daemons asking at once would add nothing where the
// service is down, at the price of each call.
func (s *Mirrors) Reserve() bool {
	view := s.fleet.View()
	if len(view.Peers()) < smallFleet || !s.mirror.Known() {
		return false
	}
	rounds := int(s.silence() / staleAfter)
	if view.Cells() >= rootedCells {
		place := fleet.Place(rootKey, view.Domains()[view.Domain()], view.Self())
		return place > 0 && place <= rounds
	}
	place := s.place(view)
	return place >= followers && place < followers+reserves*rounds
}

// place returns how many of the cell come before this daemon in asking the service.
func (s *Mirrors) place(view *fleet.View) int {
	return fleet.Place(fleet.Key("mirror"), view.Expected(), view.Self())
}

// rootKey ranks the daemons of a failure domain for asking the service.
var rootKey = fleet.Key("root")

// rootsTried is how many daemons of each failure domain are asked for what the service says: the
// root, and those who take its place where it is lost.
const rootsTried = 3

// mirrorRoots are the daemons of one view that ask the service for the whole fleet.
type mirrorRoots struct {
	view  *fleet.View
	names []string
	// ranked are those to ask for what it says, in the order of this daemon.
	ranked []string
}

// rootsOf returns the daemons that ask the service: one of each failure domain.
func (s *Mirrors) rootsOf(view *fleet.View) []string { return s.ranksOf(view).names }

// ranksOf returns who asks the service in a view.
func (s *Mirrors) ranksOf(view *fleet.View) *mirrorRoots {
	if r := s.roots.Load(); r != nil && r.view == view {
		return r
	}
	r := &mirrorRoots{view: view}
	domains := view.Domains()
	if len(domains) < leastRoots {
		r.names = fleet.RankFirst(rootKey, view.Listed(), leastRoots)
		r.ranked = fleet.RankFirst(rootKey, view.Listed(), leastRoots*rootsTried)
		s.roots.Store(r)
		return r
	}
	// Its own domain comes first: what is told there crosses no other. The order of the others
	// is each daemon's own, so that their work is even.
	order := slices.Collect(maps.Keys(domains))
	order = fleet.Rank(fleet.Key(view.Self()), order)
	if at := slices.Index(order, view.Domain()); at > 0 {
		order = slices.Insert(slices.Delete(order, at, at+1), 0, view.Domain())
	}
	for place := range rootsTried {
		for _, domain := range order {
			first := fleet.RankFirst(rootKey, domains[domain], rootsTried)
			if place < len(first) {
				r.ranked = append(r.ranked, first[place])
			}
			if place == 0 {
				r.names = append(r.names, first[0])
			}
		}
	}
	s.roots.Store(r)
	return r
}

// Asks returns who asks the service by rank, for this daemon's cell or, where there are
// roots, for the fleet.
func (s *Mirrors) Asks() []string {
	view := s.fleet.View()
	if view.Cells() < rootedCells {
		return view.OnDuty()
	}
	return s.rootsOf(view)
}

// root returns the first daemon that this one may ask for what the service says, or "".
func (s *Mirrors) root() string {
	view, now := s.fleet.View(), time.Now()
	for _, name := range s.ranksOf(view).ranked {
		if name != view.Self() && s.silent.Open(name, now) {
			return name
		}
	}
	return ""
}
