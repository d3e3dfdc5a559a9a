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

// WatchCache is a watch cache: it keeps a local copy of a span of the store's keys current, with one
// watch of the store or with changes from peers. Use NewMirror.
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
	// should do so seem silent. It is set before Run.
	IsStandby func() bool
	// BatchTime, if set, returns how long to wait for further changes after one, so that a response
	// carries several. It is set before Run.
	BatchTime func() time.Duration
	// FirstPrefix, if set, is the prefix of the keys that are read first where not all keys fit one
	// page, since Follows may depend on them. It is set before Run.
	FirstPrefix string
	// OnStoreIncarnation, if set, is called at the first snapshot of each store incarnation, with cacheMu
	// held; it must not block. It is set before Run.
	OnStoreIncarnation func()

	// notifyMu serialises changes of the cache and the calls of observers: the store and a peer
	// may report changes at the same time.
	notifyMu sync.Mutex

	cacheMu sync.Mutex
	pairs   map[string]Pair // by key; guarded by cacheMu
	// unfetched holds the keys whose values are known to exist and were not received yet; pairs
	// holds their former values. Guarded by cacheMu.
	unfetched map[string]unfetchedValue
	// editCount counts the changes of pairs. Guarded by cacheMu.
	editCount int64
	// shard is the ID of the shard that the cache contains; "" means all keys. Guarded by
	// cacheMu.
	shard string
	// watchable means that a watch can continue from revision: this daemon has read all keys,
	// has them cached, and the store has not discarded their history. Guarded by cacheMu.
	watchable bool
	// revision is the highest revision seen; 0 before the first snapshot. Guarded by cacheMu.
	revision int64
	// incarnationSince is when the first snapshot of the current store incarnation was applied.
	// Guarded by cacheMu.
	incarnationSince clock.Time
	// lastContact is when the store last answered this daemon. Guarded by cacheMu.
	lastContact clock.Time
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
func (m *WatchCache) Changed() <-chan struct{} {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.changed
}

// wakeWaiters closes the channel that News returned. It is called with cacheMu held.
func (m *WatchCache) wakeWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Observe registers f to be called with all changes, one call at a time. It must be called
// before Run.
func (m *WatchCache) Observe(f func([]Change)) { m.observers = append(m.observers, f) }

// Intervals and timeouts of a Mirror.
const (
	// retryPause and maxRetryPause are the shortest and longest pause between attempts while the
	// store does not answer. The platform charges for each call, rejected ones included, and a
	// daemon must be current again well within the 3 s that the users' rules allow.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// relayedRetryPause is the pause while peers pass on what the store reports: rejected calls
	// are charged too.
	relayedRetryPause = 1200 * time.Millisecond
	// reservePause is the pause of a daemon that reads the store only because others seem
	// silent.
	reservePause = 2 * time.Second
	// peerReportMaxAge is the age up to which a peer's contact with the store counts as current.
	peerReportMaxAge = 2 * time.Second
	// followerPause is how often a daemon that takes changes from peers checks whether it must
	// read the store itself.
	followerPause = 200 * time.Millisecond
	// outageAfter is the silence that counts as an outage: a watch gets a response at least
	// every two seconds.
	outageAfter = 2500 * time.Millisecond
)

// Run keeps the cache current until ctx ends.
func (m *WatchCache) Run(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		if m.WatchesStore != nil && !m.WatchesStore() {
			m.clearContact()
			wait.For(ctx, followerPause)
			continue
		}
		err := m.readAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errFollowsPeers) {
			continue
		}
		if m.silentFor() < retryPause {
			pause = retryPause
		}
		m.recordFailure(err)
		switch {
		case m.peersReport():
			pause = relayedRetryPause
		case m.IsStandby != nil && m.IsStandby():
			pause = reservePause
		}
		wait.For(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxRetryPause)
	}
}

// clearContact clears the time of the last contact: this daemon takes changes from peers now, so
// that the store's silence towards it is no outage. Fresh is not affected.
func (m *WatchCache) clearContact() {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if m.lastContact.After(m.peerContact) {
		m.peerContact = m.lastContact
	}
	m.lastContact, m.down = clock.Time{}, false
}

func (m *WatchCache) gather() time.Duration {
	if m.BatchTime == nil {
		return 0
	}
	return m.BatchTime()
}

// errFollowsPeers ends the watch of a daemon that takes changes from peers from now on.
var errFollowsPeers = errors.New("changes are taken from peers")

// readAndWatch reads all keys where needed, then watches them.
func (m *WatchCache) readAndWatch(ctx context.Context) error {
	if !m.isWatchable() {
		if err := m.readAll(ctx); err != nil {
			return err
		}
		// By now the view of the fleet may contain other daemons that watch the store.
		if wait.For(ctx, m.gather()); m.followsPeers() {
			return errors.WithStack(errFollowsPeers)
		}
	}
	err := m.reader.Watch(ctx, m.span, m.Revision()+1, func(changes []Change, revision int64) error {
		m.recordContact()
		m.apply(changes, revision)
		if len(changes) > 0 {
			// Changes often come in series, and the platform charges for each response.
			wait.For(ctx, m.gather())
		}
		if m.followsPeers() {
			return errors.WithStack(errFollowsPeers)
		}
		return nil
	})
	if errors.Is(err, ErrCompacted) {
		m.cacheMu.Lock()
		m.watchable = false
		m.cacheMu.Unlock()
		m.log.Emit(event.ConfResynced, event.Ref{}, "the store has compacted the history; reading all keys again")
	}
	return err
}

// followsPeers reports whether this daemon takes changes from peers at present.
func (m *WatchCache) followsPeers() bool { return m.WatchesStore != nil && !m.WatchesStore() }

// isWatchable reports whether a watch can continue from the cache's revision.
func (m *WatchCache) isWatchable() bool {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.watchable
}

// readAll reads all keys and notifies the observers of the differences. It ends early if the
// outline shows that this daemon takes changes from peers.
func (m *WatchCache) readAll(ctx context.Context) error {
	if done, err := m.readFirst(ctx); done || err != nil {
		return err
	}
	pairs, revision, err := m.reader.Range(ctx, m.span)
	if err != nil {
		return err
	}
	m.applyRead(pairs, revision)
	return nil
}

// applyRead applies a snapshot that was read from the store.
func (m *WatchCache) applyRead(pairs []Pair, revision int64) {
	if StoreIncarnation(revision) >= m.StoreIncarnation() {
		// Must precede the notification: observers look up how long the store was silent.
		m.recordContact()
	}
	if !m.replace(changesOf(pairs), revision, "") {
		return
	}
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	m.watchable = m.shard == ""
}

// changesOf converts the pairs of a snapshot to changes.
func changesOf(pairs []Pair) []Change {
	out := make([]Change, len(pairs))
	for i, p := range pairs {
		out[i] = Change{Pair: p}
	}
	return out
}

// replace applies a snapshot of a shard, unless a newer state of the same shard is cached. It
// reports whether the snapshot is of the cache's store incarnation or a later one.
func (m *WatchCache) replace(all []Change, revision int64, shard string) bool {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	return m.replaceLocked(all, revision, shard)
}

// replaceLocked is replace with notifyMu held.
func (m *WatchCache) replaceLocked(all []Change, revision int64, shard string) bool {
	m.cacheMu.Lock()
	otherShard := shard != m.shard
	if StoreIncarnation(revision) < StoreIncarnation(m.revision) || (revision < m.revision && !otherShard) {
		cached := m.revision
		m.cacheMu.Unlock()
		m.log.Emit(event.ConfDropped, event.Ref{}, "revision "+strconv.FormatInt(revision, 10)+", cached up to "+strconv.FormatInt(cached, 10))
		return StoreIncarnation(revision) == StoreIncarnation(cached)
	}
	changes := m.differences(all, revision, otherShard)
	m.noteIncarnation(revision)
	m.update(changes)
	m.shard, m.watchable = shard, m.watchable && shard == ""
	m.revision, m.historyStart, m.history = revision, revision, nil
	m.wakeWaiters()
	m.cacheMu.Unlock()
	m.notify(changes)
	return true
}

// differences returns the changes from the cache to a snapshot. If the snapshot is of another
// shard, keys that it lacks may still exist in the store. It is called with cacheMu held.
func (m *WatchCache) differences(all []Change, revision int64, otherShard bool) []Change {
	missing := map[string]bool{}
	for key, p := range m.pairs {
		// A value that was fetched separately may be newer than the snapshot.
		missing[key] = p.ModRevision <= revision
	}
	for key := range m.unfetched {
		missing[key] = true
	}
	restored := m.revision > 0 && StoreIncarnation(revision) > StoreIncarnation(m.revision)
	var changes []Change
	for _, c := range all {
		missing[c.Key] = false
		if c.ModRevision > m.pairs[c.Key].ModRevision {
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

// apply applies changes that lead to a revision. Changes already cached are skipped, since both
// the store and peers may report them. It reports whether the changes are of the cache's store
// incarnation.
func (m *WatchCache) apply(changes []Change, revision int64) bool {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.cacheMu.Lock()
	if StoreIncarnation(revision) != StoreIncarnation(m.revision) && m.revision > 0 {
		// Only a snapshot shows which keys are missing in another store incarnation.
		m.cacheMu.Unlock()
		return false
	}
	var newer []Change
	for _, c := range changes {
		if c.ModRevision > m.revision && c.ModRevision > m.pairs[c.Key].ModRevision {
			newer = append(newer, c)
		}
	}
	m.update(newer)
	m.appendHistory(newer)
	if revision > m.revision {
		m.revision = revision
		m.wakeWaiters()
	}
	m.cacheMu.Unlock()
	m.notify(newer)
	return true
}

// update writes changes to the cache. It is called with cacheMu held.
func (m *WatchCache) update(changes []Change) {
	m.editCount += int64(len(changes))
	for _, c := range changes {
		if c.Unfetched {
			m.markUnfetched(c.Key, c.ModRevision)
			continue
		}
		delete(m.unfetched, c.Key)
		if c.Deleted {
			delete(m.pairs, c.Key)
		} else {
			m.pairs[c.Key] = c.Pair
		}
	}
}

// appendHistory adds changes to the history, without large values, which peers request
// separately. It is called with cacheMu held.
func (m *WatchCache) appendHistory(changes []Change) {
	for _, c := range changes {
		m.history = append(m.history, c.withoutLarge())
	}
	if over := len(m.history) - max(minHistory, len(m.pairs)); over > 0 {
		m.historyStart = m.history[over-1].ModRevision
		m.history = append([]Change(nil), m.history[over:]...)
	}
}

// notify calls the observers. For an unfetched value they are called once it is there. It is
// called with notifyMu held, so that observers get changes in order.
func (m *WatchCache) notify(changes []Change) {
	fetched := slices.DeleteFunc(slices.Clone(changes), func(c Change) bool { return c.Unfetched })
	if len(fetched) == 0 {
		return
	}
	for _, f := range m.observers {
		f(fetched)
	}
}

// ChangesSince returns the changes after a revision, for a peer, and the revision that they lead to.
// whole is false if the history no longer covers them. Large values are left out and marked as
// late.
func (m *WatchCache) ChangesSince(after int64) (changes []Change, revision int64, whole bool) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if after < m.historyStart || m.revision == 0 {
		return nil, m.revision, false
	}
	from := sort.Search(len(m.history), func(i int) bool { return m.history[i].ModRevision > after })
	return slices.Clone(m.history[from:]), m.revision, true
}

// Snapshot returns a snapshot for a peer, ordered by key, and its revision: the keys after the given
// one whose pairs keep accepts, or all if keep is nil. Large values are left out and marked as
// late.
func (m *WatchCache) Snapshot(after string, keep func(Pair) bool) ([]Change, int64) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	var out []Change
	for key, p := range m.pairs {
		if _, waiting := m.unfetched[key]; !waiting && key > after && (keep == nil || keep(p)) {
			out = append(out, Change{Pair: p}.withoutLarge())
		}
	}
	for key, v := range m.unfetched {
		if key > after {
			out = append(out, Change{Pair: Pair{Key: key, ModRevision: v.revision}, Unfetched: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return out, m.revision
}

// ApplyChanges applies changes from a peer. contact is when the store last answered that peer.
func (m *WatchCache) ApplyChanges(changes []Change, revision int64, contact clock.Time) {
	if m.apply(changes, revision) {
		m.recordPeerContact(contact)
	}
}

// ApplySnapshot applies a peer's snapshot of a shard, "" for all keys. contact is when the store last
// answered that peer. fromShard is the shard that the cache contained when the snapshot was
// requested; if it contains another one by now, the snapshot is discarded.
func (m *WatchCache) ApplySnapshot(all []Change, revision int64, fromShard, shard string, contact clock.Time) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	if m.Shard() != fromShard {
		return
	}
	if m.replaceLocked(all, revision, shard) {
		m.recordPeerContact(contact)
	}
}

// Revision returns the highest revision seen; 0 before the first snapshot.
func (m *WatchCache) Revision() int64 {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.revision
}

// SwitchShard switches the cache to another shard by a peer's changes, which are what the cache
// lacks of that shard. Pairs that remove accepts are removed from the cache. fromShard and
// contact are as in TakeAll.
func (m *WatchCache) SwitchShard(changes []Change, revision int64, fromShard, shard string, remove func(Pair) bool, contact clock.Time) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	if m.Shard() != fromShard {
		return
	}
	if m.switchShard(changes, revision, shard, remove) {
		m.recordPeerContact(contact)
	}
}

// switchShard switches the cache to another shard, unless the changes are of another store
// incarnation. It is called with notifyMu held.
func (m *WatchCache) switchShard(changes []Change, revision int64, shard string, remove func(Pair) bool) bool {
	m.cacheMu.Lock()
	if StoreIncarnation(revision) != StoreIncarnation(m.revision) {
		// The response to the next request will be a full snapshot.
		m.cacheMu.Unlock()
		return false
	}
	var newer []Change
	for _, c := range changes {
		if c.ModRevision > m.pairs[c.Key].ModRevision {
			newer = append(newer, c)
		}
	}
	for key, p := range m.pairs {
		if remove(p) {
			newer = append(newer, Change{Pair: Pair{Key: key, ModRevision: revision}, Deleted: true, LeftShard: true})
		}
	}
	m.update(newer)
	// Peers with the former shard must request a full snapshot.
	m.historyStart, m.history = revision, nil
	m.shard, m.watchable, m.revision = shard, false, max(m.revision, revision)
	m.wakeWaiters()
	m.cacheMu.Unlock()
	m.notify(newer)
	return true
}

// Shard returns the ID of the shard that the cache contains; "" means all keys.
func (m *WatchCache) Shard() string {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.shard
}

// EditCount returns the number of changes made to the cache.
func (m *WatchCache) EditCount() int64 {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.editCount
}

// Pair returns the cached pair of a key.
func (m *WatchCache) Pair(key string) (Pair, bool) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	p, ok := m.pairs[key]
	return p, ok
}

// WithPrefix returns the cached pairs whose keys begin with prefix, in no order.
func (m *WatchCache) WithPrefix(prefix string) []Pair {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	var out []Pair
	for key, p := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	return out
}
