package conf

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Peers is what the configuration needs of the other daemons.
type Peers interface {
	// PeerAhead returns the peer that has the highest sequence above seq in force,
	// or "" if none has.
	PeerAhead(seq uint64) string
	// ConfSince asks a peer for what follows seq. That may be large and take long;
	// it gives up where nothing comes any more.
	ConfSince(ctx context.Context, peer string, seq uint64) (Delta, error)
	// HoldsWatch reports whether this daemon watches the service for its cell.
	HoldsWatch() bool
	// Wake returns a channel that receives when a peer may be ahead.
	Wake() <-chan struct{}
}

// Delta is what follows a sequence: changes, or everything where the changes
// are no longer kept.
type Delta struct {
	Changes []Change `msgpack:"c"`
	Full    *Full    `msgpack:"f"`
}

// Delta returns what a peer at seq lacks.
func (s *Store) Delta(seq uint64) (Delta, error) {
	if !s.Loaded() {
		return Delta{}, errors.New("no configuration is loaded here")
	}
	// A peer at zero has nothing that changes could follow.
	if changes, ok := s.Since(seq); ok && seq > 0 {
		return Delta{Changes: changes}, nil
	}
	full, err := s.Full()
	return Delta{Full: &full}, err
}

// pollPause is how often a daemon that does not watch reads the head, so that
// a stalled watch of another daemon delays a change by no more than this.
const pollPause = 5 * time.Second

// retryPause spaces tries against a service that does not answer.
const retryPause = 500 * time.Millisecond

// stallLimit is how long a watch may be silent before it is opened anew.
const stallLimit = 4 * time.Second

// Syncer keeps a store current from the service and from peers.
type Syncer struct {
	store *Store
	kv    kv
	peers Peers
	log   *event.Log
	// down tells that the last call of the service failed; only loop uses it.
	down bool
}

// NewSyncer returns a syncer for store.
func NewSyncer(store *Store, kv kv, peers Peers, log *event.Log) *Syncer {
	return &Syncer{store: store, kv: kv, peers: peers, log: log}
}

// Run keeps the store current until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	p := puller{Syncer: s, done: make(chan struct{})}
	go p.run(ctx)
	s.awaitPeers(ctx)
	for ctx.Err() == nil {
		pause := pollPause
		err := s.step(ctx)
		s.report(ctx, err)
		if err != nil {
			pause = retryPause
		}
		wait.For(ctx, pause)
	}
	<-p.done
}

// peersFirst is how long a new daemon waits for a peer's configuration before
// it reads the whole from the service. When a failure domain comes back at
// once, its daemons would else all read everything from the small service.
const peersFirst = 1500 * time.Millisecond

func (s *Syncer) awaitPeers(ctx context.Context) {
	end := time.Now().Add(peersFirst)
	for !s.store.Loaded() && time.Now().Before(end) && ctx.Err() == nil {
		wait.For(ctx, peersFirst/30)
	}
}

func (s *Syncer) report(ctx context.Context, err error) {
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

// step brings the store to what the service holds and, where this daemon is
// the cell's watch holder, follows the changes until the watch ends.
func (s *Syncer) step(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if s.peers.HoldsWatch() {
		return s.watch(ctx)
	}
	return nil
}

// catchUp reads the head and what is missing up to it.
func (s *Syncer) catchUp(ctx context.Context) error {
	asked := clock.Now()
	head, err := s.head(ctx)
	if err != nil {
		return err
	}
	var seq uint64
	if head != nil {
		heads, err := changesOf([]plat.Pair{*head})
		if err != nil {
			return err
		}
		seq = heads[0].Seq
	}
	if err := s.reach(ctx, seq); err != nil {
		return err
	}
	s.store.Confirm(seq, asked)
	return nil
}

// head reads what the service holds as the latest change, or nil.
func (s *Syncer) head(ctx context.Context) (*plat.Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	return s.kv.Read(ctx, keyHead)
}

// reach puts everything up to seq in force. What has to be read for that may be large
// and take long; the service's client gives it up where nothing comes any more.
func (s *Syncer) reach(ctx context.Context, seq uint64) error {
	have := s.store.Snapshot().seq
	if s.store.Loaded() && have >= seq {
		return nil
	}
	if s.store.Loaded() {
		changes, err := readLog(ctx, s.kv, have)
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

// largeConf is the number of resources from which reading them all leaves much
// garbage behind.
const largeConf = 2000

// replace puts a whole configuration in force and gives back the memory that
// reading it took, which the daemon does not need again.
func (s *Syncer) replace(full Full) {
	if s.store.Replace(full) && len(full.Resources) > largeConf {
		debug.FreeOSMemory()
	}
}

// watch follows the log until the stream ends, stalls or this daemon is no
// longer the watch holder.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallLimit, cancel)
	defer stall.Stop()
	from := s.store.Snapshot().headRevision + 1
	err := s.kv.Watch(ctx, plat.Prefix(keyLog), from, func(changes []plat.Change, _ int64) error {
		stall.Reset(stallLimit)
		return s.applyWatched(changes)
	})
	if ctx.Err() != nil || errors.Is(err, plat.ErrCompacted) || errors.Is(err, errNotHolder) {
		return nil
	}
	return err
}

var errNotHolder = errors.New("another daemon watches for the cell")

func (s *Syncer) applyWatched(changes []plat.Change) error {
	var pairs []plat.Pair
	for _, c := range changes {
		if !c.Deleted {
			pairs = append(pairs, c.Pair)
		}
	}
	got, err := changesOf(pairs)
	if err != nil {
		return err
	}
	if !s.store.Apply(got) {
		return errors.New("the watch left out a change")
	}
	s.store.Confirm(s.store.Snapshot().seq, clock.Now())
	if !s.peers.HoldsWatch() {
		return errNotHolder
	}
	return nil
}

// puller takes from peers what they have in force and this daemon lacks.
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
