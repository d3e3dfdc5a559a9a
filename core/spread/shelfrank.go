package spread

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/fleet"
)

const (
	// spareWatchers is how many of the followers that a store answers are left free: a
	// daemon that starts anew may meet its own question from before.
	spareWatchers = 2
	// statedWatchers is what a store is taken to answer where its configuration does
	// not say; the users' stores state 12.
	statedWatchers = 12
	// rankedShare is the part of them that a large fleet's daemons may use by rank.
	// The rest is for daemons that know another list of boxes.
	rankedShare = 0.5
	// cellAskers is how many daemons of a cell ask for it: a second one where the
	// first does not answer.
	cellAskers = 2
)

// shelfSource is where this daemon learns of a store.
type shelfSource struct {
	// peer is asked; "" where this daemon asks the store itself.
	peer string
	// tells tells that the peer says what it knows in its heartbeats.
	tells bool
}

// shelfRank is who asks a store, by rank.
type shelfRank struct {
	// fleet may ask the store itself, cell may ask for this daemon's cell.
	fleet, cell []string
}

// shelfRanks are the ranks of one view. It is used by any goroutine; its ranks are
// worked out when they are first needed, since views change often while a fleet starts.
type shelfRanks struct {
	view *fleet.View
	// stores holds *shelfRank by address.
	stores sync.Map
}

// rank returns who asks a store.
func (s *Shelves) rank(view *fleet.View, address string) *shelfRank {
	ranks := s.ranks.Load()
	if ranks == nil || ranks.view != view {
		ranks = &shelfRanks{view: view}
		s.ranks.Store(ranks)
	}
	if r, ok := ranks.stores.Load(address); ok {
		return r.(*shelfRank)
	}
	key := fleet.Key("shelf/" + address)
	names := view.Listed()
	r := &shelfRank{fleet: fleet.RankFirst(key, names, max(1, int(rankedShare*float64(s.watchers(address)))))}
	// One of the cell that asks the store itself comes first.
	for _, name := range r.fleet {
		if slices.Contains(view.OnDuty(), name) {
			r.cell = append(r.cell, name)
		}
	}
	for _, name := range fleet.RankFirst(key, view.OnDuty(), cellAskers) {
		if !slices.Contains(r.cell, name) {
			r.cell = append(r.cell, name)
		}
	}
	r.cell = firstOf(r.cell, cellAskers)
	ranks.stores.Store(address, r)
	return r
}

// Rank says how many daemons come before this one for duties at a store: in a large fleet
// those that ask it come first.
func (s *Shelves) Rank(address string) int {
	view := s.fleet.View()
	asking := 0
	if !s.allAsk(view, address) {
		first := s.rank(view, address).fleet
		if at := slices.Index(first, view.Self()); at >= 0 {
			return at
		}
		asking = len(first)
	}
	return asking + fleet.Place(fleet.Key("store/"+address), view.OnDuty(), view.Self())
}

// allAsk reports whether the fleet is small enough for all daemons to ask a store.
func (s *Shelves) allAsk(view *fleet.View, address string) bool {
	return len(view.Peers())+1 <= s.watchers(address)-spareWatchers
}

// firstOf returns the first n of a list, or all where it is shorter.
func firstOf(list []string, n int) []string { return list[:min(n, len(list))] }

// watchers returns how many followers a store answers.
func (s *Shelves) watchers(address string) int {
	if n := s.kept.Watchers(address); n > 0 {
		return n
	}
	return statedWatchers
}

var errNoSource = errors.New("nobody is left to ask what the store holds")

// source returns where this daemon learns of a store.
func (s *Shelves) source(address string) (shelfSource, error) {
	view := s.fleet.View()
	if s.allAsk(view, address) {
		return shelfSource{}, nil
	}
	r := s.rank(view, address)
	now := time.Now()
	asks, tells := s.firstGood(r.cell, address, now), true
	if asks == view.Self() || asks == "" {
		asks, tells = s.firstGood(r.fleet, address, now), false
	}
	switch asks {
	case view.Self():
		return shelfSource{}, nil
	case "":
		return shelfSource{}, errors.WithStack(errNoSource)
	}
	return shelfSource{asks, tells}, nil
}

// firstGood returns the first daemon that did not fail lately to tell of a store, or "".
func (s *Shelves) firstGood(names []string, address string, now time.Time) string {
	for _, name := range names {
		if s.silent.Open(shelfLink{name, address}, now) {
			return name
		}
	}
	return ""
}
