package spread

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/fleet"
)

const (
	// spareWatchers is how many of the watchers that a KV-cache store admits are left free: a
	// daemon that restarts may compete with its own request from before.
	spareWatchers = 2
	// defaultWatchers is how many watchers a store admits where its configuration does not say; the
	// users' stores state 12.
	defaultWatchers = 12
	// rankedFraction is the fraction of a store's watchers that the daemons of a large fleet may
	// use by rank. The rest is for daemons with another list of boxes.
	rankedFraction = 0.5
	// requestersPerCell is how many daemons of a cell request a store's changes for it: the second
	// where the first does not respond.
	requestersPerCell = 2
)

// indexSource is where this daemon gets the index of a store from.
type indexSource struct {
	// peer receives the requests; "" where this daemon sends them to the store itself.
	peer string
	// publishes is set if the peer publishes the index in its heartbeats.
	publishes bool
}

// storeRank holds which daemons request the contents of a store, by rank.
type storeRank struct {
	// Daemons in fleet may send requests to the store itself, those in cell send requests for this
	// daemon's cell.
	fleet, cell []string
}

// storeRanks holds the ranks of one view. It is safe for concurrent use; ranks are computed when
// first needed, since views change often while a fleet starts.
type storeRanks struct {
	view *fleet.View
	// stores holds *storeRank by address.
	stores sync.Map
}

// rank returns which daemons request the contents of a store.
func (s *StoreIndexes) rank(view *fleet.View, address string) *storeRank {
	ranks := s.ranks.Load()
	if ranks == nil || ranks.view != view {
		ranks = &storeRanks{view: view}
		s.ranks.Store(ranks)
	}
	if r, ok := ranks.stores.Load(address); ok {
		return r.(*storeRank)
	}
	key := fleet.Key("shelf/" + address)
	names := view.NotDraining()
	r := &storeRank{fleet: fleet.RankFirst(key, names, max(1, int(rankedFraction*float64(s.watchers(address)))))}
	// Daemons of the cell that send requests to the store itself come first.
	for _, name := range r.fleet {
		if slices.Contains(view.Eligible(), name) {
			r.cell = append(r.cell, name)
		}
	}
	for _, name := range fleet.RankFirst(key, view.Eligible(), requestersPerCell) {
		if !slices.Contains(r.cell, name) {
			r.cell = append(r.cell, name)
		}
	}
	r.cell = firstN(r.cell, requestersPerCell)
	ranks.stores.Store(address, r)
	return r
}

// AssignmentRank returns how many daemons come before this one for assignments at a store: in a
// large fleet those that send requests to it come first.
func (s *StoreIndexes) AssignmentRank(address string) int {
	view := s.fleet.View()
	watching := 0
	if !s.allWatch(view, address) {
		first := s.rank(view, address).fleet
		if at := slices.Index(first, view.Self()); at >= 0 {
			return at
		}
		watching = len(first)
	}
	return watching + fleet.RankOf(fleet.Key("store/"+address), view.Eligible(), view.Self())
}

// allWatch reports whether the fleet is small enough for all daemons to send requests to a store.
func (s *StoreIndexes) allWatch(view *fleet.View, address string) bool {
	return len(view.Peers())+1 <= s.watchers(address)-spareWatchers
}

// firstN returns the first n elements of a list, or all where it is shorter.
func firstN(list []string, n int) []string { return list[:min(n, len(list))] }

// watchers returns how many watchers a store admits.
func (s *StoreIndexes) watchers(address string) int {
	if n := s.indexes.MaxWatchers(address); n > 0 {
		return n
	}
	return defaultWatchers
}

var errNoSource = errors.New("no daemon is available to request the store's contents from")

// source returns where this daemon gets the index of a store from.
func (s *StoreIndexes) source(address string) (indexSource, error) {
	view := s.fleet.View()
	if s.allWatch(view, address) {
		return indexSource{}, nil
	}
	r := s.rank(view, address)
	now := time.Now()
	name, publishes := s.firstReady(r.cell, address, now), true
	if name == view.Self() || name == "" {
		name, publishes = s.firstReady(r.fleet, address, now), false
	}
	switch name {
	case view.Self():
		return indexSource{}, nil
	case "":
		return indexSource{}, errors.WithStack(errNoSource)
	}
	return indexSource{name, publishes}, nil
}

// firstReady returns the first daemon that is not backed off for a store, or "".
func (s *StoreIndexes) firstReady(names []string, address string, now time.Time) string {
	for _, name := range names {
		if s.backoff.Ready(indexLink{name, address}, now) {
			return name
		}
	}
	return ""
}
