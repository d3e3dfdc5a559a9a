package plat

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// WatchCache keeps a local copy of a span of the store's keys current, with one watch of the store
// or with changes from peers. Create it with NewWatchCache.
//
// Lock order: notifyMu before cacheMu and before the locks that observers take.
type WatchCache struct {
	reader Reader
	span   Span
	log    *event.Log
	// observers are called with all changes; filled before Run.
	observers []func([]Change)
	// WatchesStore, if set, reports whether this daemon reads and watches the store itself; the
	// others take changes from peers. It is set before Run.
	WatchesStore func() bool
	// IsStandby, if set, reports whether this daemon reads the store only because the daemons that
	// should do so seem unreachable. It is set before Run.
	IsStandby func() bool
	// BatchTime, if set, returns how long to wait for further changes after one, so that a response
	// carries several. It is set before Run.
	BatchTime func() time.Duration
	// FirstPrefix, if set, is the prefix of the keys that are read first where not all keys fit one
	// page, since WatchesStore may depend on them. It is set before Run.
	FirstPrefix string
	// OnStoreIncarnation, if set, is called at the first snapshot of each store incarnation, with
	// cacheMu held; it must not block. It is set before Run.
	OnStoreIncarnation func()
	// OnSnapshot, if set, is called before the observers are notified of a snapshot, which may skip values that were
	// written and removed since the cache was last current. It is passed as of when that was, zero before the first
	// snapshot, as of when the snapshot is current, and its revision.
	OnSnapshot func(last, asOf clock.Time, revision int64)

	// notifyMu serialises changes of the cache and the calls of observers: the store and a peer
	// may report changes at the same time.
	notifyMu sync.Mutex

	cacheMu sync.Mutex
	pairs   map[string]Pair // by key; guarded by cacheMu
	// unfetched holds the keys whose values have changed but were not received yet; pairs holds
	// their former values. Guarded by cacheMu.
	unfetched map[string]unfetchedValue
	// editCount counts the changes of pairs. Guarded by cacheMu.
	editCount int64
	// shard is the ID of the shard that the cache contains; "" means all keys. Guarded by
	// cacheMu.
	shard string
	// watchable means that a watch can continue from revision: this daemon has read and cached
	// all keys, and the store has not discarded their history. Guarded by cacheMu.
	watchable bool
	// revision is the highest revision seen; 0 before the first snapshot. Guarded by cacheMu.
	revision int64
	// incarnationSince is when the first snapshot of the current store incarnation was applied.
	// Guarded by cacheMu.
	incarnationSince clock.Time
	// cachedAsOf is a time such that pairs and unfetched reflect all that the store acknowledged
	// before it. It is set together with them. Guarded by cacheMu.
	cachedAsOf clock.Time
	// appliedAsOf is the same for what the observers have been notified of; it follows cachedAsOf.
	// Guarded by cacheMu.
	appliedAsOf clock.Time
	// appliedRevision is the revision up to which the observers have been notified. Guarded by cacheMu.
	appliedRevision int64
	// lastContact is when the store last answered this daemon, whatever the answer contained. Guarded
	// by cacheMu.
	lastContact clock.Time
	// reachedAt is when data of the store last arrived, as part of any response; reachedSince is when it
	// began to, without a gap of outageAfter. Guarded by cacheMu.
	reachedAt, reachedSince clock.Time
	// outageEnd is when the store answered again after an outage. Guarded by cacheMu.
	outageEnd clock.Time
	// outageLength is how long that outage was. Guarded by cacheMu.
	outageLength time.Duration
	down         bool // true during an outage; guarded by cacheMu
	// peerContact is when the store last answered a peer, as reported by peers. Guarded by
	// cacheMu.
	peerContact clock.Time
	// history holds the latest changes, in order, for peers that the store does not answer.
	// Guarded by cacheMu.
	history []Change
	// historyStart is the revision after which history is complete. Guarded by cacheMu.
	historyStart int64
	// changed is closed and replaced when the cache or its freshness changes. Guarded by
	// cacheMu.
	changed chan struct{}
}

// minHistory is the minimum number of changes kept for peers. With more keys than that, as many
// changes as keys are kept, since all keys may be rewritten at once.
const minHistory = 1024

// NewWatchCache returns a watch cache of the keys in span.
func NewWatchCache(reader Reader, span Span, log *event.Log) *WatchCache {
	return &WatchCache{reader: reader, span: span, log: log, pairs: map[string]Pair{}, unfetched: map[string]unfetchedValue{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the cache or its freshness changes.
func (w *WatchCache) Changed() <-chan struct{} {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.changed
}

// wakeWaiters closes the channel that Changed returned. It is called with cacheMu held.
func (w *WatchCache) wakeWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Observe registers f to be called with all changes, one call at a time. It must be called
// before Run.
func (w *WatchCache) Observe(f func([]Change)) { w.observers = append(w.observers, f) }

// Intervals and timeouts of a WatchCache.
const (
	// retryDelay and maxRetryDelay are the shortest and longest delay between attempts while the
	// store does not answer. The platform charges for each call, rejected ones included, and a
	// daemon must be current again well within the 3 s that the users' rules allow.
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// relayedRetryDelay is the delay while peers forward the store's changes: rejected calls are
	// charged too.
	relayedRetryDelay = 1200 * time.Millisecond
	// standbyRetryDelay is the delay of a daemon that reads the store only because others seem
	// unreachable.
	standbyRetryDelay = 2 * time.Second
	// peerReportMaxAge is the age up to which a peer's contact with the store counts as current.
	peerReportMaxAge = 2 * time.Second
	// followerInterval is how often a daemon that takes changes from peers checks whether it must
	// read the store itself.
	followerInterval = 200 * time.Millisecond
	// outageAfter is the time without a response that counts as an outage: a watch gets a
	// response at least every two seconds.
	outageAfter = 2500 * time.Millisecond
)

// Run keeps the cache current until ctx ends.
func (w *WatchCache) Run(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if w.WatchesStore != nil && !w.WatchesStore() {
			w.clearContact()
			wait.For(ctx, followerInterval)
			continue
		}
		err := w.readAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errFollowsPeers) {
			continue
		}
		if w.sinceContact() < retryDelay {
			delay = retryDelay
		}
		w.recordFailure(err)
		switch {
		case w.peersReport():
			delay = relayedRetryDelay
		case w.IsStandby != nil && w.IsStandby():
			delay = standbyRetryDelay
		}
		wait.For(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
}

// clearContact clears the time of the last contact: this daemon takes changes from peers now, so
// that missing responses of the store are no outage. FreshAsOf is not affected.
func (w *WatchCache) clearContact() {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	w.lastContact, w.down = clock.Time{}, false
}

func (w *WatchCache) batchTime() time.Duration {
	if w.BatchTime == nil {
		return 0
	}
	return w.BatchTime()
}

// errFollowsPeers ends the watch of a daemon that takes changes from peers from now on.
var errFollowsPeers = errors.New("changes are taken from peers")

// readAndWatch reads all keys where needed, then watches them.
func (w *WatchCache) readAndWatch(ctx context.Context) error {
	if !w.isWatchable() {
		if err := w.readAll(ctx); err != nil {
			return err
		}
		// By now the view of the fleet may contain other daemons that watch the store.
		if wait.For(ctx, w.batchTime()); w.followsPeers() {
			return errors.WithStack(errFollowsPeers)
		}
	}
	err := w.reader.Watch(ctx, w.span, w.Revision()+1, func(changes []Change, revision int64, asOf clock.Time) error {
		w.applyResponse(changes, revision, asOf)
		if len(changes) > 0 {
			// Changes often come in series, and the platform charges for each response. Those that were
			// made while a long response arrived have waited already.
			wait.For(ctx, w.batchTime()-clock.Since(asOf))
		}
		if w.followsPeers() {
			return errors.WithStack(errFollowsPeers)
		}
		return nil
	})
	if errors.Is(err, ErrCompacted) {
		w.cacheMu.Lock()
		w.watchable = false
		w.cacheMu.Unlock()
		w.log.Emit(event.ConfResynced, event.Ref{}, "the store has compacted the history; reading all keys again")
	}
	return err
}

// followsPeers reports whether this daemon takes changes from peers at present.
func (w *WatchCache) followsPeers() bool { return w.WatchesStore != nil && !w.WatchesStore() }

// isWatchable reports whether a watch can continue from the cache's revision.
func (w *WatchCache) isWatchable() bool {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.watchable
}

// readAll reads all keys and notifies the observers of the differences. It ends early if the
// outline (the keys with FirstPrefix) shows that this daemon takes changes from peers.
func (w *WatchCache) readAll(ctx context.Context) error {
	if done, err := w.readFirst(ctx); done || err != nil {
		return err
	}
	asOf := clock.Now()
	pairs, revision, err := w.reader.Range(ctx, w.span)
	if err != nil {
		return err
	}
	return w.applyRead(pairs, revision, asOf)
}

// errOldSnapshot means that the store's snapshot is older than what is cached, of another shard.
var errOldSnapshot = errors.New("the store returned a snapshot that is older than the cache")

// applyRead applies a snapshot that was read from the store, from asOf on.
func (w *WatchCache) applyRead(pairs []Pair, revision int64, asOf clock.Time) error {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	if !w.replaceLocked(changesOf(pairs), revision, "", asOf, true) {
		return errors.WithStack(errOldSnapshot)
	}
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	w.watchable = w.shard == ""
	return nil
}

// changesOf converts the pairs of a snapshot to changes.
func changesOf(pairs []Pair) []Change {
	out := make([]Change, len(pairs))
	for i, p := range pairs {
		out[i] = Change{Pair: p}
	}
	return out
}

// replaceLocked applies a snapshot of a shard, unless a newer state is cached. It reports whether the
// snapshot is of the cache's store incarnation or a later one and, if it is of another shard, was
// applied. It is called with notifyMu held. fromStore means that the store itself has sent the snapshot.
func (w *WatchCache) replaceLocked(all []Change, revision int64, shard string, asOf clock.Time, fromStore bool) bool {
	w.cacheMu.Lock()
	if fromStore && StoreIncarnation(revision) >= StoreIncarnation(w.revision) {
		// Must precede the notification: observers look up how long the outage was.
		w.recordContact()
	}
	otherShard := shard != w.shard
	if revision < w.revision {
		cached := w.revision
		covered := StoreIncarnation(revision) == StoreIncarnation(cached) && !otherShard
		if covered {
			w.raiseAsOf(asOf)
		}
		w.cacheMu.Unlock()
		w.log.Emit(event.ConfDropped, event.Ref{}, "revision "+strconv.FormatInt(revision, 10)+", cached up to "+strconv.FormatInt(cached, 10))
		w.notify(nil)
		return covered
	}
	changes := w.differences(all, revision, otherShard)
	sameKeys := !otherShard && StoreIncarnation(revision) == StoreIncarnation(w.revision)
	skips := !sameKeys || revision > w.revision
	w.recordIncarnation(revision)
	w.update(changes)
	w.shard, w.watchable = shard, w.watchable && shard == ""
	w.revision, w.historyStart, w.history = revision, revision, nil
	if sameKeys {
		w.raiseAsOf(asOf)
	} else {
		w.cachedAsOf = asOf
	}
	w.wakeWaiters()
	last := w.appliedAsOf
	w.cacheMu.Unlock()
	if skips {
		w.reportSnapshot(last, asOf, revision)
	}
	w.notify(changes)
	return true
}

// reportSnapshot calls OnSnapshot. It is called with notifyMu held.
func (w *WatchCache) reportSnapshot(last, asOf clock.Time, revision int64) {
	if w.OnSnapshot != nil {
		w.OnSnapshot(last, asOf, revision)
	}
}

// differences returns the changes from the cache to a snapshot. If the snapshot is of another
// shard, keys that it lacks may still exist in the store. It is called with cacheMu held.
func (w *WatchCache) differences(all []Change, revision int64, otherShard bool) []Change {
	missing := map[string]bool{}
	for key, p := range w.pairs {
		// A value that was fetched separately may be newer than the snapshot.
		missing[key] = p.ModRevision <= revision
	}
	for key := range w.unfetched {
		missing[key] = true
	}
	restored := w.revision > 0 && StoreIncarnation(revision) > StoreIncarnation(w.revision)
	var changes []Change
	for _, c := range all {
		missing[c.Key] = false
		if c.ModRevision > w.pairs[c.Key].ModRevision {
			changes = append(changes, c)
		}
	}
	for key, absent := range missing {
		if !absent {
			continue
		}
		changes = append(changes, Change{Pair: Pair{Key: key, ModRevision: revision}, Deleted: true, LeftShard: otherShard, DeletedByRestore: restored && !otherShard})
	}
	return changes
}

// applyResponse applies the changes of a watch response, which reflects the store as of asOf. Until they
// can be applied, the cache does not count as fresh: a peer that requests changes meanwhile would take
// its own copy for complete.
func (w *WatchCache) applyResponse(changes []Change, revision int64, asOf clock.Time) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.applyLocked(changes, revision, asOf, true)
}

// applyLocked applies changes that lead to a revision. Changes up to the cache's revision are skipped, since both
// the store and peers may report them. It reports whether the changes are of the cache's store
// incarnation. It is called with notifyMu held. fromStore means that the store itself has sent the
// changes.
func (w *WatchCache) applyLocked(changes []Change, revision int64, asOf clock.Time, fromStore bool) bool {
	w.cacheMu.Lock()
	if fromStore {
		w.recordContact()
	}
	if StoreIncarnation(revision) != StoreIncarnation(w.revision) && w.revision > 0 {
		// Only a snapshot shows which keys are missing in another store incarnation.
		w.cacheMu.Unlock()
		return false
	}
	// A snapshot may hold values that are newer than its revision; peers get them with the history all the same.
	var recorded, newer []Change
	for _, c := range changes {
		if c.ModRevision <= w.revision {
			continue
		}
		recorded = append(recorded, c)
		if c.ModRevision > w.pairs[c.Key].ModRevision {
			newer = append(newer, c)
		}
	}
	w.update(newer)
	w.appendHistory(recorded)
	if revision > w.revision {
		w.revision = revision
		w.wakeWaiters()
	}
	w.raiseAsOf(asOf)
	w.cacheMu.Unlock()
	w.notify(newer)
	return true
}

// update writes changes to the cache. It is called with cacheMu held, before cachedAsOf is set for them.
// A value that was announced stays unfetched until notify has passed it to the observers.
func (w *WatchCache) update(changes []Change) {
	w.editCount += int64(len(changes))
	for _, c := range changes {
		switch {
		case c.Unfetched:
			w.markUnfetched(c.Key, c.ModRevision)
		case c.Deleted:
			delete(w.pairs, c.Key)
		default:
			w.pairs[c.Key] = c.Pair
		}
	}
}

// appendHistory adds changes to the history, without large values, which peers request
// separately. It is called with cacheMu held.
func (w *WatchCache) appendHistory(changes []Change) {
	for _, c := range changes {
		w.history = append(w.history, c.withoutLarge())
	}
	if over := len(w.history) - max(minHistory, len(w.pairs)); over > 0 {
		w.historyStart = w.history[over-1].ModRevision
		w.history = append([]Change(nil), w.history[over:]...)
	}
}

// notify calls the observers with the changes, except unfetched ones, which they get once the value
// was fetched. Only then do the changes count as applied. It is called with notifyMu held, so that
// observers get changes in order.
func (w *WatchCache) notify(changes []Change) {
	fetched := slices.DeleteFunc(slices.Clone(changes), func(c Change) bool { return c.Unfetched })
	if len(fetched) > 0 {
		for _, f := range w.observers {
			f(fetched)
		}
	}
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	for _, c := range fetched {
		w.settleUnfetched(c)
	}
	w.appliedRevision = w.revision
	if w.appliedAsOf != w.cachedAsOf {
		w.appliedAsOf = w.cachedAsOf
		w.wakeWaiters()
	}
}

// ChangesSince returns the changes after a revision, for a peer, and the revision that they lead
// to. complete is false if the history no longer covers them. Large values are left out and marked
// as unfetched.
func (w *WatchCache) ChangesSince(after int64) (changes []Change, revision int64, complete bool) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	if after < w.historyStart || w.revision == 0 {
		return nil, w.revision, false
	}
	from := sort.Search(len(w.history), func(i int) bool { return w.history[i].ModRevision > after })
	return slices.Clone(w.history[from:]), w.revision, true
}

// Snapshot returns a snapshot for a peer, ordered by key, and its revision. It contains the keys
// after the given one whose pairs keep accepts, or all of them if keep is nil. Large values are
// left out and marked as unfetched.
func (w *WatchCache) Snapshot(after string, keep func(Pair) bool) ([]Change, int64) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	var out []Change
	for key, p := range w.pairs {
		if _, pending := w.unfetched[key]; !pending && key > after && (keep == nil || keep(p)) {
			out = append(out, Change{Pair: p}.withoutLarge())
		}
	}
	for key, v := range w.unfetched {
		if key > after {
			out = append(out, Change{Pair: Pair{Key: key, ModRevision: v.latest()}, Unfetched: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return out, w.revision
}

// ApplyChanges applies changes from a peer. asOf is that of the peer's copy; the zero value claims
// nothing.
func (w *WatchCache) ApplyChanges(changes []Change, revision int64, asOf clock.Time) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	if w.applyLocked(changes, revision, asOf, false) {
		w.recordPeerContact(asOf)
	}
}

// ApplySnapshot applies a peer's snapshot of a shard, "" for all keys. asOf is that of the peer's copy.
// fromShard is the shard that the cache contained when the snapshot was requested; if it contains another
// one by now, the snapshot is discarded. So is one of another shard from a peer that is behind: for the
// keys of that shard it would not reach the revision that this cache claims.
func (w *WatchCache) ApplySnapshot(all []Change, revision int64, fromShard, shard string, asOf clock.Time) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	if w.Shard() != fromShard {
		return
	}
	if w.replaceLocked(all, revision, shard, asOf, false) {
		w.recordPeerContact(asOf)
	}
}

// Revision returns the highest revision seen; 0 before the first snapshot.
func (w *WatchCache) Revision() int64 {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.revision
}

// AppliedRevision returns the revision up to which the observers have been notified of all changes, except for unfetched
// values; 0 before the first snapshot.
func (w *WatchCache) AppliedRevision() int64 {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.appliedRevision
}

// SwitchShard switches the cache to another shard. changes come from a peer and are what the cache
// lacks of that shard; pairs that remove accepts are removed from the cache. fromShard and asOf are as
// in ApplySnapshot, and changes from a peer that is behind are discarded as there.
func (w *WatchCache) SwitchShard(changes []Change, revision int64, fromShard, shard string, remove func(Pair) bool, asOf clock.Time) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	if w.Shard() != fromShard {
		return
	}
	if w.switchShard(changes, revision, shard, remove, asOf) {
		w.recordPeerContact(asOf)
	}
}

// switchShard switches the cache to another shard, unless the changes are of another store
// incarnation or behind the cache. It is called with notifyMu held.
func (w *WatchCache) switchShard(changes []Change, revision int64, shard string, remove func(Pair) bool, asOf clock.Time) bool {
	w.cacheMu.Lock()
	if StoreIncarnation(revision) != StoreIncarnation(w.revision) || revision < w.revision {
		// The response to the next request will be a full snapshot, or of a later revision.
		w.cacheMu.Unlock()
		return false
	}
	var newer []Change
	for _, c := range changes {
		if c.ModRevision > w.pairs[c.Key].ModRevision {
			newer = append(newer, c)
		}
	}
	for key, p := range w.pairs {
		if remove(p) {
			newer = append(newer, Change{Pair: Pair{Key: key, ModRevision: revision}, Deleted: true, LeftShard: true})
		}
	}
	w.update(newer)
	// Peers with the former shard must request a full snapshot.
	w.historyStart, w.history = revision, nil
	w.shard, w.watchable, w.revision = shard, false, revision
	w.cachedAsOf = asOf
	w.wakeWaiters()
	last := w.appliedAsOf
	w.cacheMu.Unlock()
	w.reportSnapshot(last, asOf, revision)
	w.notify(newer)
	return true
}

// Shard returns the ID of the shard that the cache contains; "" means all keys.
func (w *WatchCache) Shard() string {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.shard
}

// EditCount returns the number of changes made to the cache.
func (w *WatchCache) EditCount() int64 {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.editCount
}

// Pair returns the cached pair of a key.
func (w *WatchCache) Pair(key string) (Pair, bool) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	p, ok := w.pairs[key]
	return p, ok
}

// WithPrefix returns the cached pairs whose keys begin with prefix, in no order.
func (w *WatchCache) WithPrefix(prefix string) []Pair {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	var out []Pair
	for key, p := range w.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	return out
}
