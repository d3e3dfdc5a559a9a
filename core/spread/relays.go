package spread

import (
	"maps"
	"slices"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
)

// Which daemons watch the coordination store.
const (
	// smallFleet is the number of peers below which all daemons watch the store.
	smallFleet = 16
	// staleAfter is the cache age from which the next daemons in rank watch the store themselves:
	// standbysPerRound of a cell or, where there are watch relays, one of each failure domain. Each
	// further staleAfter adds as many again. KV-cache contexts may not be copied on the basis of
	// data older than 2.2 s.
	staleAfter       = 1800 * time.Millisecond
	standbysPerRound = 2
	// maxStandbyRounds bounds the standbys that request changes from watch relays: in an outage of the
	// store they would all do so.
	maxStandbyRounds = 2
	// watchersPerCell is how many daemons of a cell in a large fleet watch the store or, where
	// there are watch relays, request changes from one of these; each call of the store is billed.
	// Where both are lost, the other daemons do so as well.
	watchersPerCell = 2
	// minCellsForRelays is the number of cells from which only watch relays watch the store, one of
	// each failure domain.
	minCellsForRelays = 3
	// minRelays is the number of relays where the fleet has fewer failure domains.
	minRelays = 2
	// backoffFirst and backoffMax bound how long a peer that did not respond gets no requests: an
	// unreachable one costs the whole time limit of a request.
	backoffFirst = time.Second
	backoffMax   = 8 * time.Second
	// watchWaitSmall and watchWaitLarge are how long the store holds a watch request for changes.
	// An empty response confirms that there were none, at the cost of a call. Data from relays is
	// older by its way through the fleet, some 0.3 s, and data older than 2.2 s allows no copies.
	watchWaitSmall = 1350 * time.Millisecond
	watchWaitLarge = time.Second
	// MaxDatingError is by how much the date of a copy may be later than what it is complete up to: the response to a
	// watch is dated by its arrival, or by the end of the time for which the store may hold the request, but it may
	// have been sent as soon as the request arrived.
	MaxDatingError = watchWaitSmall
	// minWatchWait is the least time for which a watch request is held.
	minWatchWait = time.Millisecond
)

// WatchesStore reports whether this daemon watches the store itself.
//
// Listed peers that have not sent a heartbeat yet count in the rank: without them all daemons that
// start together would watch until they have received each other's heartbeats.
func (s *WatchCacheSync) WatchesStore() bool {
	view := s.fleet.View()
	switch {
	case len(view.Peers()) < smallFleet, !s.watchCache.HasData():
		return true
	case view.Cells() < minCellsForRelays:
		return s.cellRank(view) < watchersPerCell || s.IsStandby()
	}
	return slices.Contains(s.relaysOf(view), view.Self()) || s.IsStandby()
}

// WatchWait returns how long the store is to hold a watch request for changes. After a response that was
// long under way it is less, so that the cache does not age more than otherwise until the next one.
func (s *WatchCacheSync) WatchWait() time.Duration {
	full := watchWaitLarge
	if s.fleet.View().Cells() < minCellsForRelays {
		full = watchWaitSmall
	}
	batch := s.BatchTime()
	if clock.Since(s.watchCache.LastContact()) > batch+freshnessSlack {
		// The last request failed; the next one is the first for some time.
		return full
	}
	return min(full, max(minWatchWait, full+batch-s.cacheAge()))
}

// pullsFromRelay reports whether this daemon requests changes from a watch relay for its cell. Where those
// that do so by rank do not provide its changes, the next ones do as well.
func (s *WatchCacheSync) pullsFromRelay() bool {
	view := s.fleet.View()
	if view.Cells() < minCellsForRelays {
		return false
	}
	rounds := min(maxStandbyRounds, int(s.cacheAge()/staleAfter))
	return s.cellRank(view) < watchersPerCell+standbysPerRound*rounds
}

// IsStandby reports whether this daemon watches the store because those ranked before it do not
// provide its changes. If all daemons did so at once, they would achieve nothing while the store is
// down, at the cost of a call each.
func (s *WatchCacheSync) IsStandby() bool {
	view := s.fleet.View()
	if len(view.Peers()) < smallFleet || !s.watchCache.HasData() {
		return false
	}
	rounds := int(s.cacheAge() / staleAfter)
	if view.Cells() >= minCellsForRelays {
		rank := fleet.RankOf(relayKey, view.DaemonsByDomain()[view.Domain()], view.Self())
		return rank > 0 && rank <= rounds
	}
	rank := s.cellRank(view)
	return rank >= watchersPerCell && rank < watchersPerCell+standbysPerRound*rounds
}

// cellRank returns how many daemons of the cell rank before this one for watching the store.
func (s *WatchCacheSync) cellRank(view *fleet.View) int {
	return fleet.RankOf(fleet.Key("mirror"), view.ExpectedEligible(), view.Self())
}

// relayKey ranks the daemons of a failure domain for watching the store.
var relayKey = fleet.Key("root")

// candidatesPerDomain is how many daemons of each failure domain may receive requests for changes:
// the watch relay, and those that replace it where it is lost.
const candidatesPerDomain = 3

// relaySet holds the watch relays of one view.
type relaySet struct {
	view *fleet.View
	// names are the relays.
	names []string
	// candidates are the daemons to request changes from, in the order in which this daemon tries
	// them.
	candidates []string
}

// relaysOf returns the daemons that watch the store for the fleet: one of each failure domain.
func (s *WatchCacheSync) relaysOf(view *fleet.View) []string { return s.relaySetOf(view).names }

// relaySetOf returns the watch relays of a view.
func (s *WatchCacheSync) relaySetOf(view *fleet.View) *relaySet {
	if r := s.relays.Load(); r != nil && r.view == view {
		return r
	}
	r := &relaySet{view: view}
	domains := view.DaemonsByDomain()
	if len(domains) < minRelays {
		r.names = fleet.RankFirst(relayKey, view.NotDraining(), minRelays)
		r.candidates = fleet.RankFirst(relayKey, view.NotDraining(), minRelays*candidatesPerDomain)
		s.relays.Store(r)
		return r
	}
	// This daemon's own failure domain comes first: traffic within it crosses no other. Each daemon
	// has its own order of the others, which spreads the load evenly.
	domainOrder := slices.Collect(maps.Keys(domains))
	domainOrder = fleet.Rank(fleet.Key(view.Self()), domainOrder)
	if at := slices.Index(domainOrder, view.Domain()); at > 0 {
		domainOrder = slices.Insert(slices.Delete(domainOrder, at, at+1), 0, view.Domain())
	}
	for rank := range candidatesPerDomain {
		for _, domain := range domainOrder {
			first := fleet.RankFirst(relayKey, domains[domain], candidatesPerDomain)
			if rank < len(first) {
				r.candidates = append(r.candidates, first[rank])
			}
			if rank == 0 {
				r.names = append(r.names, first[0])
			}
		}
	}
	s.relays.Store(r)
	return r
}

// WatchingDaemons returns the daemons that watch the store by rank, for this daemon's cell or,
// where there are watch relays, for the fleet.
func (s *WatchCacheSync) WatchingDaemons() []string {
	view := s.fleet.View()
	if view.Cells() < minCellsForRelays {
		return view.Eligible()
	}
	return s.relaysOf(view)
}

// nextRelay returns the first relay candidate that is not backed off, or "".
func (s *WatchCacheSync) nextRelay() string {
	view, now := s.fleet.View(), time.Now()
	for _, name := range s.relaySetOf(view).candidates {
		if name != view.Self() && s.relayBackoff.Ready(name, now) {
			return name
		}
	}
	return ""
}
