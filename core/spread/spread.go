// Package spread owns how configuration and the targets' entries reach every daemon: which
// configuration sequence each peer has applied and so which daemons lack a change, which daemons
// watch the coordination store, and how the others copy its changes from peers. It also owns what
// cells share about targets: the contents of KV-cache stores and running weight updates.
//
// It must not know what the configuration says.
package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

const (
	kindSince wire.Kind = "conf.since"
	kindState wire.Kind = "conf.state"
)

const (
	// stateTimeout bounds the request for a peer's state.
	stateTimeout = 500 * time.Millisecond
	// statePeers is how many peers are asked at a time.
	statePeers = 3
)

// sinceRequest requests the changes after a configuration sequence. The response is a compressed
// conf.Delta.
type sinceRequest struct {
	// Seq is the sequence that the requester has applied.
	Seq uint64 `msgpack:"s"`
}

// confState is the part of a heartbeat that reports which configuration a daemon has applied.
type confState struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Seq is the applied configuration sequence; it is valid if Loaded is set.
	Seq    uint64
	Loaded bool
	// AgeMillis is how many milliseconds ago the sequence was confirmed to be the latest; negative
	// if it never was.
	AgeMillis int
}

// confirmed reports whether the sequence was ever confirmed. An age that a duration can't hold would become a time to come,
// and confirms nothing.
func (st *confState) confirmed() bool {
	return st.AgeMillis >= 0 && int64(st.AgeMillis) <= math.MaxInt64/int64(time.Millisecond)
}

// WatchAssignment names the assignment to watch the coordination store's configuration for a cell.
const WatchAssignment = "watch"

// AppliedPrefix is the key prefix under which each cell publishes the sequence that it has applied.
const AppliedPrefix = "embertally/force/"

// coordinationStore is the part of the coordination store's client that ConfigReplicator uses.
type coordinationStore interface {
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
	Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error)
}

// ConfigReplicator replicates a configuration store between the daemons of the fleet.
type ConfigReplicator struct {
	store     *conf.Store
	fleet     *fleet.Fleet
	kv        coordinationStore
	transfers *transfers
	// wake receives when a peer may have a later sequence.
	wake chan struct{}

	statesMu sync.Mutex
	// states holds the latest state that each peer reported, by name. Guarded by statesMu.
	states map[string]confState
	// lastCurrent is when no peer was last seen ahead of this daemon. Guarded by statesMu.
	lastCurrent clock.Time
	// asked is the number of peers asked for their state, and answered when the last one was asked that has
	// answered and had a configuration loaded. Guarded by statesMu.
	asked    int
	answered clock.Time
	// stateChanged is closed and replaced when a peer's sequence changes. Guarded by statesMu.
	stateChanged chan struct{}
}

// New returns a ConfigReplicator for store and attaches it to the fleet's heartbeats.
func New(store *conf.Store, f *fleet.Fleet, kv coordinationStore) *ConfigReplicator {
	s := &ConfigReplicator{
		store: store, fleet: f, kv: kv, transfers: newTransfers(f, nil), wake: make(chan struct{}, 1),
		states: map[string]confState{}, stateChanged: make(chan struct{}),
	}
	f.Attach("conf", s)
	f.Mux().Register(kindSince, wire.Handle(s.handleSince))
	f.Mux().Register(kindState, wire.Handle(s.handleState))
	return s
}

// handleState sends a peer this daemon's state.
func (s *ConfigReplicator) handleState(context.Context, string, *struct{}) (*confState, error) {
	st := s.state()
	return &st, nil
}

// Verify asks the next few live peers for their states, without waiting for the answers. Heartbeats may have been
// under way for long if this process was suspended.
func (s *ConfigReplicator) Verify(ctx context.Context) {
	var live []string
	for _, p := range s.fleet.View().Peers() {
		if p.Alive {
			live = append(live, p.Name)
		}
	}
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	for range min(statePeers, len(live)) {
		s.asked++
		go stateQuery{s, live[s.asked%len(live)]}.run(ctx)
	}
}

// Answered returns when the last peer was asked by Verify that has answered and had a configuration loaded; zero if
// none has.
func (s *ConfigReplicator) Answered() clock.Time {
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	return s.answered
}

// stateQuery asks one peer for its state.
type stateQuery struct {
	*ConfigReplicator
	peer string
}

func (q stateQuery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	asked := clock.Now()
	var st confState
	if err := q.fleet.Query(ctx, q.peer, kindState, &struct{}{}, &st); err != nil {
		// The next request goes to other peers.
		return
	}
	q.recordState(q.peer, st)
	if !st.Loaded {
		return
	}
	if st.confirmed() {
		q.store.Verify(st.Seq, asked.Add(-reportedAge(int64(st.AgeMillis)+1)))
	}
	q.statesMu.Lock()
	defer q.statesMu.Unlock()
	if asked.After(q.answered) {
		q.answered = asked
	}
}

// handleSince sends a peer the changes after a sequence.
func (s *ConfigReplicator) handleSince(_ context.Context, _ string, req *sinceRequest) (*transfer, error) {
	id := fmt.Sprintf("conf/%d/%d", req.Seq, s.store.Snapshot().Seq())
	out, err := s.transfers.begin(id, func() ([]byte, error) { return s.compressedDelta(req.Seq) })
	return &out, err
}

// compressedDelta returns the changes after a sequence, compressed.
func (s *ConfigReplicator) compressedDelta(seq uint64) ([]byte, error) {
	delta, err := s.store.Delta(seq)
	if err != nil {
		return nil, err
	}
	return compressMessage(delta)
}

// Run sends a heartbeat at each change of the configuration and, where there are several cells,
// publishes the sequence that this cell has applied. It returns when ctx ends.
func (s *ConfigReplicator) Run(ctx context.Context) {
	var published uint64
	for {
		changed, stateChanged := s.store.Changed(), s.stateChangedChan()
		if s.fleet.View().Cells() > 1 && s.HoldsWatch() {
			published = s.publishApplied(ctx, published)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.fleet.TriggerHeartbeat()
		case <-stateChanged:
		}
	}
}

// publishApplied writes the sequence that the whole cell has applied, if it is above published. It
// returns the sequence that is published then.
func (s *ConfigReplicator) publishApplied(ctx context.Context, published uint64) uint64 {
	seq := s.cellAppliedSeq()
	if seq <= published {
		return published
	}
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	key := AppliedPrefix + strconv.Itoa(s.fleet.View().Cell())
	raw, err := json.Marshal(seq)
	if err != nil {
		return published
	}
	if _, err := s.kv.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: key, Value: raw}}}); err != nil {
		return published
	}
	return seq
}

// cellAppliedSeq returns the highest sequence that every daemon of the cell has applied.
func (s *ConfigReplicator) cellAppliedSeq() uint64 {
	seq := s.store.Snapshot().Seq()
	view := s.fleet.View()
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	for _, p := range view.Peers() {
		if (p.Alive || p.Listed) && p.Cell == view.Cell() {
			seq = min(seq, s.states[p.Name].Seq)
		}
	}
	return seq
}

func (s *ConfigReplicator) stateChangedChan() <-chan struct{} {
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	return s.stateChanged
}

// Collect returns the configuration state of this daemon for its heartbeat.
func (s *ConfigReplicator) Collect(bool) any { return s.state() }

// state returns the configuration state of this daemon.
func (s *ConfigReplicator) state() confState {
	st := confState{Seq: s.store.Snapshot().Seq(), Loaded: s.store.Loaded(), AgeMillis: -1}
	if at := s.store.Confirmed(); !at.IsZero() {
		st.AgeMillis = int(clock.Since(at).Milliseconds())
	}
	return st
}

// Receive stores the configuration state that a peer reported.
func (s *ConfigReplicator) Receive(peer string, body []byte) {
	var st confState
	if msgpack.Unmarshal(body, &st) != nil {
		return
	}
	if st.Loaded && st.confirmed() {
		s.store.Confirm(st.Seq, clock.Now().Add(-time.Duration(st.AgeMillis)*time.Millisecond))
	}
	s.recordState(peer, st)
}

// recordState records a peer's state, and wakes those who wait for a later sequence.
func (s *ConfigReplicator) recordState(peer string, st confState) {
	s.statesMu.Lock()
	old := s.states[peer]
	s.states[peer] = st
	if old.Seq != st.Seq {
		close(s.stateChanged)
		s.stateChanged = make(chan struct{})
	}
	s.statesMu.Unlock()
	if st.Loaded && (st.Seq > s.store.Snapshot().Seq() || !s.store.Loaded()) {
		s.signalWake()
	}
}

func (s *ConfigReplicator) signalWake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives when a peer may have a later sequence.
func (s *ConfigReplicator) Wake() <-chan struct{} { return s.wake }

// PeerAhead returns the live peer with the highest sequence above seq, or with any sequence while
// nothing is loaded here. It returns "" if there is none.
func (s *ConfigReplicator) PeerAhead(seq uint64) string {
	loaded := s.store.Loaded()
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	best := ""
	for _, p := range s.fleet.View().Peers() {
		st := s.states[p.Name]
		if !p.Alive || !st.Loaded || (loaded && st.Seq <= seq) {
			continue
		}
		if best == "" || st.Seq > s.states[best].Seq {
			best = p.Name
		}
	}
	return best
}

// ConfSince requests the changes after seq from a peer.
func (s *ConfigReplicator) ConfSince(ctx context.Context, peer string, seq uint64) (conf.Delta, error) {
	if peer == "" {
		return conf.Delta{}, errors.New("no peer has a later configuration")
	}
	var first transfer
	if err := s.transfers.call(ctx, peer, kindSince, &sinceRequest{seq}, &first); err != nil {
		return conf.Delta{}, err
	}
	compressed, err := s.transfers.receive(ctx, peer, &first, maxValueBytes)
	if err != nil {
		return conf.Delta{}, err
	}
	raw, err := decompress(compressed, nil)
	if err != nil {
		return conf.Delta{}, err
	}
	var d conf.Delta
	return d, errors.Wrap(wire.Unmarshal(raw, &d), "decoding a peer's configuration changes")
}

// HoldsWatch reports whether this daemon is assigned to watch the coordination store for its cell.
func (s *ConfigReplicator) HoldsWatch() bool {
	v := s.fleet.View()
	return v.Assignee(fleet.Key(WatchAssignment)) == v.Self()
}

// PeerSeq returns the sequence that a peer last reported as applied; 0 if it reported none.
func (s *ConfigReplicator) PeerSeq(peer string) uint64 {
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	return s.states[peer].Seq
}

// maxLag is how long a daemon may stay behind a peer and still serve: a change takes a moment to
// pass from one daemon to the next.
const maxLag = 2 * time.Second

// Current reports whether this daemon may serve under its configuration: one is loaded, and no peer
// has been ahead for maxLag or longer.
func (s *ConfigReplicator) Current() bool {
	if !s.store.Loaded() {
		return false
	}
	behind := s.PeerAhead(s.store.Snapshot().Seq()) != ""
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	now := clock.Now()
	if !behind {
		s.lastCurrent = now
		return true
	}
	return now.Sub(s.lastCurrent) < maxLag
}

// Lagging returns the live or listed daemons of this cell, and the other cells, that have not
// applied seq.
func (s *ConfigReplicator) Lagging(ctx context.Context, seq uint64) []string {
	view := s.fleet.View()
	var out []string
	if s.store.Snapshot().Seq() < seq {
		out = append(out, view.Self())
	}
	s.statesMu.Lock()
	for _, p := range view.Peers() {
		if (p.Alive || p.Listed) && p.Cell == view.Cell() && s.states[p.Name].Seq < seq {
			out = append(out, p.Name)
		}
	}
	s.statesMu.Unlock()
	if view.Cells() > 1 {
		out = append(out, s.laggingCells(ctx, view, seq)...)
	}
	return out
}

// laggingCells returns the names of the other cells that have not published seq or a later
// sequence. Where the store does not respond, it returns all of them.
func (s *ConfigReplicator) laggingCells(ctx context.Context, view *fleet.View, seq uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	pairs, _, err := s.kv.Range(ctx, plat.Prefix(AppliedPrefix))
	var out []string
	for c := range view.Cells() {
		if c == view.Cell() {
			continue
		}
		name := "cell " + strconv.Itoa(c)
		if err != nil || appliedSeqOf(pairs, c) < seq {
			out = append(out, name)
		}
	}
	return out
}

// appliedSeqOf returns the sequence that a cell has published; 0 if there is none.
func appliedSeqOf(pairs []plat.Pair, cell int) uint64 {
	for _, p := range pairs {
		if p.Key == AppliedPrefix+strconv.Itoa(cell) {
			var seq uint64
			if json.Unmarshal(p.Value, &seq) == nil {
				return seq
			}
		}
	}
	return 0
}

// pollInterval is the time between two reads of the other cells' sequences while AwaitApplied
// waits.
const pollInterval = 200 * time.Millisecond

// AwaitApplied waits until every daemon and cell has applied seq, or ctx ends. It returns those
// that have not.
func (s *ConfigReplicator) AwaitApplied(ctx context.Context, seq uint64) []string {
	for {
		stateChanged := s.stateChangedChan()
		missing := s.Lagging(ctx, seq)
		if len(missing) == 0 || ctx.Err() != nil {
			return missing
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
		case <-stateChanged:
		case <-t.C:
		}
		t.Stop()
	}
}
