package spread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindFreshness wire.Kind = "spread.freshness"

// Times of what daemons tell each other about the freshness of their copies.
const (
	// freshnessInterval is the time between two requests of a daemon whose copy is old.
	freshnessInterval = 500 * time.Millisecond
	// freshnessTimeout bounds one of them; the response has a few bytes.
	freshnessTimeout = 400 * time.Millisecond
	// freshnessRelays is how many watch relays are asked at a time: one that does not respond must not cost
	// the time that is left of the users' bound.
	freshnessRelays = 2
	// notReached stands for a store that was not reached, in messages. Ages in messages are above 0.
	notReached = 0
)

// freshness is the response to a request of kindFreshness.
type freshness struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// AgeMillis is the age of the sender's copy in milliseconds.
	AgeMillis int64
	// ReachedMillis is for how many milliseconds the store has not been known to be reachable; notReached
	// if it is not, or has only just become so again.
	ReachedMillis int64
}

// reachedMillis returns freshness.ReachedMillis.
func (s *WatchCacheSync) reachedMillis() int64 {
	at := s.StoreReached()
	if at.IsZero() {
		return notReached
	}
	return ageMillis(clock.Since(at))
}

// StoreReached returns when the store was last known to be reachable, by this daemon or others; zero if it
// was not.
func (s *WatchCacheSync) StoreReached() clock.Time {
	at := s.watchCache.SteadyReach()
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	if s.peerReached.After(at) {
		at = s.peerReached
	}
	return at
}

// LastOutage returns when the store's last outage ended, and how long it was. What this daemon alone has taken for an
// outage is none.
func (s *WatchCacheSync) LastOutage() (clock.Time, time.Duration) {
	end, length := s.watchCache.LastOutage()
	s.peersMu.Lock()
	reached := s.peerReached
	s.peersMu.Unlock()
	return storeOutage(end, length, reached)
}

// storeOutage returns the end and the length of an outage, given those that this daemon has seen and when others last
// reached the store. They have reached it steadily for SteadyReachTime then.
func storeOutage(end clock.Time, length time.Duration, reached clock.Time) (clock.Time, time.Duration) {
	since := reached.Add(-plat.SteadyReachTime)
	if reached.Before(end.Add(-plat.SteadyReachTime)) || !since.Before(end) {
		return end, length
	}
	return since, max(0, length-end.Sub(since))
}

// RecordPeerReach records that a peer said at a time that the store had been reachable a number of
// milliseconds before; 0 says that it was not.
func (s *WatchCacheSync) RecordPeerReach(at clock.Time, millis int64) {
	if millis <= notReached {
		return
	}
	reached := at.Add(-reportedAge(millis))
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	if reached.After(s.peerReached) {
		s.peerReached = reached
	}
}

// reachPart is the part of a heartbeat that reports when the store was last reachable, as reachedMillis.
type reachPart struct{ cacheSync *WatchCacheSync }

// Collect returns this daemon's part of a heartbeat.
func (p reachPart) Collect(bool) any {
	millis := p.cacheSync.reachedMillis()
	if millis == notReached {
		return nil
	}
	return millis
}

// Receive stores what a peer reported.
func (p reachPart) Receive(_ string, raw []byte) {
	var millis int64
	if err := msgpack.Unmarshal(raw, &millis); err != nil {
		// A peer of another version tells nothing.
		return
	}
	p.cacheSync.RecordPeerReach(clock.Now(), millis)
}

// handleFreshness answers a daemon of another cell.
func (s *WatchCacheSync) handleFreshness(context.Context, string, *struct{}) (*freshness, error) {
	return &freshness{AgeMillis: ageMillis(clock.Since(s.watchCache.CachedAsOf())), ReachedMillis: s.reachedMillis()}, nil
}

// freshnessLoop asks watch relays how fresh their copies are while this daemon's one is old, until ctx ends.
// What the daemons of one cell know does not show whether others know more: the cell may get its changes
// late as a whole.
func (s *WatchCacheSync) freshnessLoop(ctx context.Context) {
	next := 0
	wait.Every(ctx, freshnessInterval, func() {
		view := s.fleet.View()
		if view.Cells() < minCellsForRelays || s.cacheAge() < staleAfter {
			return
		}
		// Own failure domain first, then the others in turn.
		others := slices.DeleteFunc(slices.Clone(s.relaySetOf(view).candidates), func(name string) bool { return name == view.Self() })
		var wg sync.WaitGroup
		for range min(freshnessRelays, len(others)) {
			name := others[next%len(others)]
			next++
			wg.Go(func() { s.askFreshness(ctx, name) })
		}
		wg.Wait()
	})
}

// askFreshness asks one peer how fresh its copy is.
func (s *WatchCacheSync) askFreshness(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	start := clock.Now()
	var got freshness
	if err := s.fleet.Query(ctx, peer, kindFreshness, &struct{}{}, &got); err != nil {
		s.requestsFailed.Add(1)
		s.log.Emit(event.PeerNotTold, event.Ref{}, peer+", freshness after "+elapsedSince(start)+": "+err.Error())
		return
	}
	// Both ages count from the start: the response may have been under way for long.
	s.RecordPeerReach(start, got.ReachedMillis)
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	if at := start.Add(-reportedAge(got.AgeMillis)); at.After(s.relayFresh) {
		s.relayFresh = at
	}
}

// FreshestPeerCopy returns the time up to which the freshest copy is current that another daemon has
// reported; zero if none has.
func (s *WatchCacheSync) FreshestPeerCopy() clock.Time {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	latest := s.relayFresh
	for _, at := range s.peerFresh {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// maxProofGap is the longest time between two proofs that a copy is current, while the store can be reached:
// the store holds a watch, its changes are batched, and a peer's request for changes waits.
const maxProofGap = watchWaitSmall + batchTimeSmall + requestWait

// KnowsNewer reports whether there may be a newer state than the one that this daemon has applied: its copy
// has one that is still being applied, another daemon has a fresher copy that is younger than maxAge, or the store was reachable within maxAge and so
// long after this copy that a newer one should have arrived. While the store is out of reach for all,
// none of these holds.
func (s *WatchCacheSync) KnowsNewer(now clock.Time, maxAge time.Duration) bool {
	fresh := s.watchCache.FreshAsOf()
	if s.watchCache.CachedAsOf().After(fresh) {
		return true
	}
	peer := s.FreshestPeerCopy()
	if peer.After(fresh.Add(freshnessSlack)) && now.Sub(peer) < maxAge {
		return true
	}
	reached := s.StoreReached()
	return reached.After(fresh.Add(maxProofGap)) && now.Sub(reached) < maxAge
}
