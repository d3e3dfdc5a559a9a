package conf

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Peers is what the configuration needs of the other daemons.
type Peers interface {
	// PeerAhead returns the peer that has applied the highest sequence above seq, or
	// "" if there is none.
	PeerAhead(seq uint64) string
	// ConfSince requests from a peer what follows seq. The response may be large
	// and take long; the request fails when no more data arrives.
	ConfSince(ctx context.Context, peer string, seq uint64) (Delta, error)
	// HoldsWatch reports whether this daemon watches the coordination store for
	// its cell.
	HoldsWatch() bool
	// Wake returns a channel that receives when a peer may have applied more.
	Wake() <-chan struct{}
}

// Delta is what follows a sequence: the changes, or the full configuration if
// the changes are no longer kept.
type Delta struct {
	Changes []Change `msgpack:"c"`
	Full    *Full    `msgpack:"f"`
}

// Delta returns what a peer that has applied seq is missing.
func (s *Store) Delta(seq uint64) (Delta, error) {
	if !s.Loaded() {
		return Delta{}, errors.New("this daemon has not loaded a configuration")
	}
	// A peer at zero has no configuration to which changes could be applied.
	if changes, ok := s.Since(seq); ok && seq > 0 {
		return Delta{Changes: changes}, nil
	}
	full, err := s.Full()
	return Delta{Full: &full}, err
}

// pollInterval is how often a daemon that does not watch reads keyHead, so that a
// stalled watch of another daemon delays a change by no more than this.
const pollInterval = 5 * time.Second

// syncRetryDelay is the delay before the retry of a failed synchronisation.
const syncRetryDelay = 500 * time.Millisecond

// watchStallTimeout is how long a watch may deliver nothing before it is reopened.
const watchStallTimeout = 4 * time.Second

// Syncer keeps a Store up to date from the coordination store and from peers.
type Syncer struct {
	store *Store
	kv    coordinationStore
	peers Peers
	log   *event.Log
	// down is set while the latest synchronisation has failed; used only by Run.
	down bool
	// recheck has an element when the store is to be asked at once.
	recheck chan struct{}

	watchMu sync.Mutex
	// endWatch ends the current watch; nil if there is none. Guarded by watchMu.
	endWatch context.CancelFunc
}

// NewSyncer returns a syncer for store.
func NewSyncer(store *Store, kv coordinationStore, peers Peers, log *event.Log) *Syncer {
	return &Syncer{store: store, kv: kv, peers: peers, log: log, recheck: make(chan struct{}, 1)}
}

// Recheck has Run ask the coordination store at once for the latest sequence. What arrives from a watch may have
// been under way while this process was suspended.
func (s *Syncer) Recheck() {
	select {
	case s.recheck <- struct{}{}:
	default:
	}
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	if s.endWatch != nil {
		s.endWatch()
	}
}

// pause waits for d, or until Recheck is called or ctx ends.
func (s *Syncer) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.recheck:
	case <-t.C:
	}
}

// setEndWatch stores the function that ends the current watch, or nil.
func (s *Syncer) setEndWatch(f context.CancelFunc) {
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	s.endWatch = f
}

// Run keeps the store up to date until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	p := puller{Syncer: s, done: make(chan struct{})}
	go p.run(ctx)
	s.awaitPeers(ctx)
	for ctx.Err() == nil {
		delay := pollInterval
		err := s.step(ctx)
		s.reportContact(ctx, err)
		if err != nil {
			delay = syncRetryDelay
		}
		s.pause(ctx, delay)
	}
	<-p.done
}

// peerConfigWait is how long a daemon that has started waits for a peer's
// configuration before it reads the full one from the coordination store. When a
// whole failure domain restarts at once, all its daemons would otherwise read
// everything from the coordination store, which has little capacity.
const peerConfigWait = 1500 * time.Millisecond

// awaitPeers waits until the store is loaded, for at most peerConfigWait.
func (s *Syncer) awaitPeers(ctx context.Context) {
	deadline := time.Now().Add(peerConfigWait)
	for !s.store.Loaded() && time.Now().Before(deadline) && ctx.Err() == nil {
		wait.For(ctx, peerConfigWait/30)
	}
}

// reportContact emits an event when synchronisation begins to fail and when it
// succeeds again.
func (s *Syncer) reportContact(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == s.down {
		return
	}
	s.down = err != nil
	if s.down {
		s.log.Emit(event.ServiceDown, event.Ref{}, err.Error())
		return
	}
	s.log.Emit(event.ServiceUp, event.Ref{}, "")
}

// step brings the store up to date with the coordination store. If this daemon is the
// cell's watch holder, it then watches for changes until the watch ends.
func (s *Syncer) step(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if s.peers.HoldsWatch() {
		return s.watch(ctx)
	}
	return nil
}

// catchUp reads keyHead and applies what is missing up to it.
func (s *Syncer) catchUp(ctx context.Context) error {
	requestedAt := clock.Now()
	head, err := s.head(ctx)
	if err != nil {
		return err
	}
	var seq uint64
	if head != nil {
		heads, err := decodeChanges([]plat.Pair{*head})
		if err != nil {
			return err
		}
		seq = heads[0].Seq
	}
	if err := s.catchUpTo(ctx, seq); err != nil {
		return err
	}
	s.store.Verify(seq, requestedAt)
	return nil
}

// head reads the latest committed change, or nil if there is none.
func (s *Syncer) head(ctx context.Context) (*plat.Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	return s.kv.Read(ctx, keyHead)
}

// catchUpTo applies everything up to seq. Its reads may be large and take long, so
// they have no timeout here: the store's client fails them when no more data arrives.
func (s *Syncer) catchUpTo(ctx context.Context, seq uint64) error {
	current := s.store.Snapshot().seq
	if s.store.Loaded() && current >= seq {
		return nil
	}
	if s.store.Loaded() {
		changes, err := readLog(ctx, s.kv, current)
		if err != nil {
			return err
		}
		if s.store.Apply(changes) && s.store.Snapshot().seq >= seq {
			return nil
		}
	}
	full, err := readFull(ctx, s.kv)
	if err != nil {
		return err
	}
	s.replace(full)
	return nil
}

// largeConfig is the number of resources above which reading them all leaves much
// garbage.
const largeConfig = 2000

// replace applies a full configuration. After a large one it returns the freed memory
// to the operating system, since the daemon does not need it again.
func (s *Syncer) replace(full Full) {
	if s.store.Replace(full) && len(full.Resources) > largeConfig {
		debug.FreeOSMemory()
	}
}

// watch applies the changes under keyLog until the stream ends or stalls, or this
// daemon is no longer the watch holder.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setEndWatch(cancel)
	defer s.setEndWatch(nil)
	stallTimer := time.AfterFunc(watchStallTimeout, cancel)
	defer stallTimer.Stop()
	from := s.store.Snapshot().headRevision + 1
	err := s.kv.Watch(ctx, plat.Prefix(keyLog), from, func(changes []plat.Change, _ int64, _ clock.Time) error {
		stallTimer.Reset(watchStallTimeout)
		return s.applyWatched(changes)
	})
	if ctx.Err() != nil || errors.Is(err, plat.ErrCompacted) || errors.Is(err, errNotHolder) {
		return nil
	}
	return err
}

var errNotHolder = errors.New("another daemon is the watch holder of the cell")

func (s *Syncer) applyWatched(changes []plat.Change) error {
	var pairs []plat.Pair
	for _, c := range changes {
		if !c.Deleted {
			pairs = append(pairs, c.Pair)
		}
	}
	decoded, err := decodeChanges(pairs)
	if err != nil {
		return err
	}
	if !s.store.Apply(decoded) {
		return errors.New("the watch skipped a change")
	}
	s.store.Confirm(s.store.Snapshot().seq, clock.Now())
	if !s.peers.HoldsWatch() {
		return errNotHolder
	}
	return nil
}

// puller fetches from peers what they have applied and this daemon has not.
type puller struct {
	*Syncer
	done chan struct{}
}

func (p puller) run(ctx context.Context) {
	defer close(p.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.peers.Wake():
		}
		p.pull(ctx)
	}
}

func (s *Syncer) pull(ctx context.Context) {
	seq := s.store.Snapshot().seq
	peer := s.peers.PeerAhead(seq)
	if peer == "" && s.store.Loaded() {
		return
	}
	delta, err := s.peers.ConfSince(ctx, peer, seq)
	if err != nil {
		if peer != "" {
			s.log.Emit(event.PeerNotTold, event.Ref{}, peer+": "+err.Error())
		}
		return
	}
	if delta.Full != nil {
		s.replace(*delta.Full)
		return
	}
	s.store.Apply(delta.Changes)
}
