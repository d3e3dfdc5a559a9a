package spread

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindChanges wire.Kind = "spread.mirror"

// WatchCacheSync keeps this daemon's watch cache current while the coordination store does not
// respond to it or other daemons watch the store for it: it requests the changes from a peer.
type WatchCacheSync struct {
	// started is when this daemon started.
	started    clock.Time
	watchCache *plat.WatchCache
	fleet      *fleet.Fleet
	log        *event.Log
	values     *largeValues
	// shardMismatches counts the consecutive requests to peers of the cell that failed because the
	// peer's cache holds another shard than the one requested.
	shardMismatches atomic.Int64
	// bytesSent counts the bytes of values that were sent to peers; requestsFailed counts this
	// daemon's requests that a peer did not respond to.
	bytesSent, requestsFailed atomic.Int64

	// EntryParser, if set, parses a pair as a target's entry; it returns false where the pair is
	// none. It is set before Run.
	EntryParser func(plat.Pair) (Entry, bool)
	entries     entryIndex

	relays atomic.Pointer[relaySet]
	// relayBackoff holds the watch relays that did not respond, or whose cache was stale.
	relayBackoff wait.Backoff[string]

	peersMu sync.Mutex
	// peerFresh holds the time up to which each peer's cache is current. Guarded by peersMu.
	peerFresh map[string]clock.Time
	// relayFresh is the latest time up to which the copy of a watch relay that was asked is current.
	// Guarded by peersMu.
	relayFresh clock.Time
	// peerReached is the latest time at which the store was reachable according to others. Guarded by
	// peersMu.
	peerReached clock.Time
}

// NewWatchCacheSync returns a WatchCacheSync for m and attaches it to the fleet's heartbeats.
func NewWatchCacheSync(watchCache *plat.WatchCache, f *fleet.Fleet, log *event.Log) *WatchCacheSync {
	s := &WatchCacheSync{started: clock.Now(), watchCache: watchCache, fleet: f, log: log, peerFresh: map[string]clock.Time{}}
	s.relayBackoff.Initial, s.relayBackoff.Max = backoffFirst, backoffMax
	s.values = newLargeValues(watchCache, f, newTransfers(f, func(bytes int) { s.bytesSent.Add(int64(bytes)) }), log)
	watchCache.Observe(s.observe)
	f.Attach("mirror", s)
	f.Attach("reach", reachPart{s})
	f.Mux().Register(kindChanges, wire.Handle(s.handleChanges))
	f.Mux().Register(kindFreshness, wire.Handle(s.handleFreshness))
	watchCache.WatchesStore, watchCache.IsStandby, watchCache.BatchTime = s.WatchesStore, s.IsStandby, s.BatchTime
	return s
}

// BytesSent returns how many bytes of values were sent to peers.
func (s *WatchCacheSync) BytesSent() int64 { return s.bytesSent.Load() }

// RequestsFailed returns how many requests to peers failed.
func (s *WatchCacheSync) RequestsFailed() int64 { return s.requestsFailed.Load() }

// cacheHeartbeat is the part of a heartbeat that reports how old a watch cache is.
type cacheHeartbeat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// AgeMillis is the age of the sender's cache in milliseconds.
	AgeMillis int64
}

// Collect returns this daemon's part of a heartbeat. Only daemons that watch the store, or that
// request changes from a watch relay for their cell, report an age, so that the others of the cell
// request changes from them. They do so whether or not the store has answered: while it is away, a
// copy from a peer is what daemons that start can get.
func (s *WatchCacheSync) Collect(bool) any {
	fresh := s.watchCache.CachedAsOf()
	if fresh.IsZero() || (!s.WatchesStore() && !s.pullsFromRelay()) {
		return nil
	}
	return &cacheHeartbeat{AgeMillis: ageMillis(clock.Since(fresh))}
}

// Receive stores the cache age that a peer reported.
func (s *WatchCacheSync) Receive(peer string, raw []byte) {
	var b cacheHeartbeat
	if err := msgpack.Unmarshal(raw, &b); err != nil {
		// A peer of another version gets no requests.
		return
	}
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	s.peerFresh[peer] = clock.Now().Add(-reportedAge(b.AgeMillis))
}

// ageMillis returns an age in milliseconds for a message, rounded up: a receiver must never take a
// copy for younger than it is.
func ageMillis(age time.Duration) int64 { return age.Milliseconds() + 1 }

// reportedAge returns an age from a peer's message, bounded so that it cannot overflow to a time in
// the future.
func reportedAge(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), maxAgeMillis)) * time.Millisecond
}

// Times and bounds of requesting changes from peers.
const (
	// storeUnreachableAfter is how long the store may not respond before changes are requested from
	// a peer: watches respond at least as often.
	storeUnreachableAfter = 1800 * time.Millisecond
	// requestInterval is the time between two requests.
	requestInterval = 100 * time.Millisecond
	// requestWait is how long a peer may wait for a change before it responds; requestTimeout
	// bounds one request.
	requestWait    = 500 * time.Millisecond
	requestTimeout = requestWait + 600*time.Millisecond
	// maxShardMismatches is how many consecutive requests to peers of the cell may meet another
	// shard before a request goes to a watch relay: the peers will soon change their shard as well.
	maxShardMismatches = 20
	// isolatedAfter is the cache age from which a daemon without a fresher peer in its cell
	// requests changes from a watch relay. Only the daemons that do so for their cell start
	// earlier: if all did, each relay would have twelve times as many clients just when it is slow.
	isolatedAfter = 3 * staleAfter
	// maxResponseBytes bounds the keys and values of one response, so that its time limit fits its
	// size: 38 ms on a link of 10 Mbit/s, 0.5 s where 11 peers request at once.
	maxResponseBytes = 48 << 10
	// maxAgeMillis bounds the ages that peers report; an older copy counts as this old.
	maxAgeMillis = 3600 * 1000
	// freshnessSlack is by how much the times of one response of the store may differ between
	// daemons, due to the latency of the heartbeats and responses that report them.
	freshnessSlack = 100 * time.Millisecond
	// batchTimeSmall and batchTimeLarge are how long successive changes are batched in small and
	// large fleets: each response of a watch is a billed call, and targets change their entries all
	// the time. The users' bounds on a configuration change are 2 s on small fleets and 3 s on
	// large ones.
	batchTimeSmall = 150 * time.Millisecond
	batchTimeLarge = 500 * time.Millisecond
	// For startupPeriod after its start a daemon batches changes for batchTimeStartup: boxes that
	// start together register within 0.3 s.
	startupPeriod    = 2 * time.Second
	batchTimeStartup = 300 * time.Millisecond
)

// BatchTime returns how long changes of the store are batched.
func (s *WatchCacheSync) BatchTime() time.Duration {
	switch {
	case len(s.fleet.View().Peers()) >= smallFleet:
		return batchTimeLarge
	case clock.Since(s.started) < startupPeriod:
		return batchTimeStartup
	}
	return batchTimeSmall
}

// Run requests changes from a peer while the store does not respond or other daemons watch it for
// this one. It returns when ctx ends.
func (s *WatchCacheSync) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.values.run(ctx) })
	wg.Go(func() { s.freshnessLoop(ctx) })
	wait.Every(ctx, requestInterval, func() {
		if clock.Since(s.watchCache.LastContact()) > storeUnreachableAfter || !s.WatchesStore() {
			s.pull(ctx)
		}
	})
}

// pull requests the changes that this daemon's cache lacks, from the freshest peer of the cell or
// from a watch relay.
func (s *WatchCacheSync) pull(ctx context.Context) {
	peer, relay := s.freshestPeer(), ""
	if s.pullsFromRelay() || s.isIsolated(peer) {
		if relay = s.nextRelay(); relay != "" {
			peer = relay
		}
	}
	if peer == "" {
		return
	}
	start, began := clock.Now(), time.Now()
	err := s.pullFrom(ctx, peer)
	if err != nil {
		s.requestsFailed.Add(1)
		s.log.Emit(event.PeerNotTold, event.Ref{}, peer+" after "+elapsedSince(start)+": "+err.Error())
	}
	if err != nil && !errors.Is(err, errOtherShard) {
		s.forgetPeer(peer)
	}
	switch {
	case relay == "":
		if errors.Is(err, errOtherShard) {
			s.shardMismatches.Add(1)
		} else {
			s.shardMismatches.Store(0)
		}
	case err != nil, clock.Since(s.watchCache.CachedAsOf()) > staleAfter:
		s.relayBackoff.RecordFailure(relay, began, time.Now())
	default:
		s.relayBackoff.RecordSuccess(relay, time.Now())
		s.shardMismatches.Store(0)
	}
}

// isIsolated reports whether no daemon of the cell can provide the store's changes: the freshest
// peer holds another shard, or no peer is as fresh and this cache is old.
func (s *WatchCacheSync) isIsolated(peer string) bool {
	if s.fleet.View().Cells() < minCellsForRelays {
		return false
	}
	return s.shardMismatches.Load() > maxShardMismatches || (peer == "" && s.cacheAge() > isolatedAfter)
}

// cacheAge returns the age of this daemon's cache or, while it is empty, the time since the start.
func (s *WatchCacheSync) cacheAge() time.Duration {
	if fresh := s.watchCache.CachedAsOf(); !fresh.IsZero() {
		return clock.Since(fresh)
	}
	return clock.Since(s.started)
}

// pullFrom requests all changes that one peer has and this cache lacks, response by response.
func (s *WatchCacheSync) pullFrom(ctx context.Context, peer string) error {
	view := s.fleet.View()
	shard := view.Shard()
	if view.Cells() >= minCellsForRelays && slices.Contains(s.relaysOf(view), view.Self()) {
		// Other daemons request all shards from it.
		shard = nil
	}
	req := &changesRequest{
		AfterRevision: s.watchCache.Revision(), WaitMillis: requestWait.Milliseconds(),
		AgeMillis: ageMillis(clock.Since(s.watchCache.CachedAsOf())),
		Shard:     shard, CacheShard: s.watchCache.Shard(),
	}
	for {
		start := clock.Now()
		got, err := s.request(ctx, peer, req)
		if err != nil {
			return err
		}
		if got.FullCopy {
			return s.pullFullCopy(ctx, peer, req, got, got.freshAt(start))
		}
		if got.ShardChanged && shard != nil {
			s.logShardChange(req.CacheShard, got.ShardName, peer, len(got.Changes))
			s.watchCache.SwitchShard(got.changes(), got.Revision, req.CacheShard, got.ShardName,
				s.outsideShard(shard, got.ShardName), got.freshAt(start))
			s.fetchUnfetched(peer)
			return nil
		}
		if got.ShardName != req.CacheShard {
			return errors.WithStack(errInvalidMessage)
		}
		if got.More {
			s.watchCache.ApplyChanges(got.changes(), got.Revision, clock.Time{})
			req = &changesRequest{AfterRevision: got.Revision, Shard: shard, CacheShard: req.CacheShard}
			continue
		}
		s.watchCache.ApplyChanges(got.changes(), got.Revision, got.freshAt(start))
		s.fetchUnfetched(peer)
		return nil
	}
}

// pullFullCopy takes a peer's whole cache, of which the first page is given. The pages are not one
// snapshot: changes made meanwhile come after the revision of the first page.
func (s *WatchCacheSync) pullFullCopy(ctx context.Context, peer string, sent *changesRequest, first *changesResponse, freshAt clock.Time) error {
	all := first.changes()
	for page := first; page.More; {
		var err error
		req := &changesRequest{PageAfter: all[len(all)-1].Key, Shard: sent.Shard}
		if page, err = s.request(ctx, peer, req); err != nil {
			return err
		}
		if !page.FullCopy || page.ShardName != first.ShardName {
			return errors.WithStack(errInvalidMessage)
		}
		all = append(all, page.changes()...)
	}
	s.logShardChange(sent.CacheShard, first.ShardName, peer, len(all))
	s.watchCache.ApplySnapshot(all, first.Revision, sent.CacheShard, first.ShardName, freshAt)
	s.fetchUnfetched(peer)
	return nil
}

// logShardChange logs that this daemon changes to another shard.
func (s *WatchCacheSync) logShardChange(former, next, peer string, entries int) {
	if former == next {
		return
	}
	view := s.fleet.View()
	text := strconv.Itoa(entries) + " entries from " + peer + ", cell " + strconv.Itoa(view.Cell()) + " of " + strconv.Itoa(view.Cells())
	s.log.Emit(event.ListShardTaken, event.Ref{}, text)
}

// fetchUnfetched starts to fetch the values that a peer announced without sending them.
func (s *WatchCacheSync) fetchUnfetched(peer string) {
	if s.watchCache.HasUnfetched() {
		s.values.requestFetch(peer)
	}
}

// freshAt returns the latest time up to which the response is certainly current. It counts from the
// start of the request, since the response may have been in transit for long.
func (r *changesResponse) freshAt(start clock.Time) clock.Time {
	return start.Add(reportedAge(r.WaitedMillis) - reportedAge(r.AgeMillis))
}

// request sends one request to a peer and checks its response.
func (s *WatchCacheSync) request(ctx context.Context, peer string, req *changesRequest) (*changesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var got changesResponse
	if err := s.fleet.Query(ctx, peer, kindChanges, req, &got); err != nil {
		return nil, err
	}
	if got.ShardMismatch {
		return nil, errors.WithStack(errOtherShard)
	}
	if got.More && !got.makesProgress(req) {
		return nil, errors.WithStack(errInvalidMessage)
	}
	return &got, nil
}

// makesProgress reports whether a response goes beyond the position of its request, so that the
// sequence of requests ends.
func (r *changesResponse) makesProgress(req *changesRequest) bool {
	if !r.FullCopy {
		return r.Revision > req.AfterRevision
	}
	return len(r.Changes) > 0 && r.Changes[len(r.Changes)-1].Key > req.PageAfter
}

// changes returns the response's changes in the form that the watch cache takes.
func (r *changesResponse) changes() []plat.Change {
	out := make([]plat.Change, len(r.Changes))
	for i, c := range r.Changes {
		pair := plat.Pair{Key: c.Key, Value: c.Value, ModRevision: c.Revision}
		out[i] = plat.Change{Pair: pair, Deleted: c.Deleted, Unfetched: c.Unfetched}
	}
	return out
}

// freshestPeer returns the peer of the cell with the freshest cache, or "" if all are older than
// this daemon's. A peer that is as fresh counts: it will receive the next change.
func (s *WatchCacheSync) freshestPeer() string {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	name, latest := "", s.watchCache.CachedAsOf().Add(-freshnessSlack)
	for peer, at := range s.peerFresh {
		if at.After(latest) {
			name, latest = peer, at
		}
	}
	return name
}

// forgetPeer excludes a peer that did not respond until its next heartbeat.
func (s *WatchCacheSync) forgetPeer(peer string) {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	delete(s.peerFresh, peer)
}
