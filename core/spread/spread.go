// Package spread owns how configuration reaches every daemon: what each peer
// has in force, who watches the service for a cell, and which daemons a change
// has not reached yet. It also owns what one cell tells another: what stores
// hold, and which workers change their weights.
//
// It must not know what the configuration says.
package spread

import (
	"context"
	"encoding/json"
	"fmt"
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

const kindSince wire.Kind = "conf.since"

// since asks for what follows a sequence. The answer is a conf.Delta in packed form.
type since struct {
	Seq uint64 `msgpack:"s"`
}

// state is the part of a heartbeat that tells what a daemon has in force.
type state struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Loaded   bool
	// AgeMillis is how long ago the sequence was known to be the latest;
	// negative if it never was.
	AgeMillis int
}

// DutyWatch names the duty of watching the service for a cell.
const DutyWatch = "watch"

// KeyRoot is the prefix under which cells tell what they have in force.
const KeyRoot = "embertally/force/"

type kv interface {
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
	Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error)
}

// Spread joins a configuration store to the fleet.
type Spread struct {
	store   *conf.Store
	fleet   *fleet.Fleet
	kv      kv
	parcels *parcels
	wake    chan struct{}

	statesMu sync.Mutex
	// states is what each peer has in force. Guarded by statesMu.
	states map[string]state
	// current is when this daemon was last seen to be behind no peer. Guarded
	// by statesMu.
	current clock.Time
	// moved is closed and replaced when a state changes. Guarded by statesMu.
	moved chan struct{}
}

// New returns a spread for store and attaches it to the fleet's heartbeats.
func New(store *conf.Store, f *fleet.Fleet, kv kv) *Spread {
	s := &Spread{
		store: store, fleet: f, kv: kv, parcels: newParcels(f, nil), wake: make(chan struct{}, 1),
		states: map[string]state{}, moved: make(chan struct{}),
	}
	f.Attach("conf", s)
	f.Mux().Register(kindSince, wire.Handle(s.answer))
	return s
}

// answer tells a peer what follows a sequence.
func (s *Spread) answer(_ context.Context, _ string, ask *since) (*parcel, error) {
	id := fmt.Sprintf("conf/%d/%d", ask.Seq, s.store.Snapshot().Seq())
	out, err := s.parcels.prepare(id, func() ([]byte, error) { return s.packed(ask.Seq) })
	return &out, err
}

// packed returns what follows a sequence in packed form.
func (s *Spread) packed(seq uint64) ([]byte, error) {
	delta, err := s.store.Delta(seq)
	if err != nil {
		return nil, err
	}
	return packMessage(delta)
}

// Run sends a heartbeat at each change, and tells the service what this cell
// has in force where there are several cells, until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	var told uint64
	for {
		changed, moved := s.store.Changed(), s.movedChan()
		if s.fleet.View().Cells() > 1 && s.WatchHolder() {
			told = s.tell(ctx, told)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.fleet.Kick()
		case <-moved:
		}
	}
}

// tell writes what the whole cell has in force, if that has risen.
func (s *Spread) tell(ctx context.Context, told uint64) uint64 {
	seq := s.cellSeq()
	if seq <= told {
		return told
	}
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	key := KeyRoot + strconv.Itoa(s.fleet.View().Cell())
	raw, err := json.Marshal(seq)
	if err != nil {
		return told
	}
	if _, err := s.kv.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: key, Value: raw}}}); err != nil {
		return told
	}
	return seq
}

// cellSeq returns what every daemon of the cell has in force.
func (s *Spread) cellSeq() uint64 {
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

func (s *Spread) movedChan() <-chan struct{} {
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	return s.moved
}

// Collect returns what this daemon has in force.
func (s *Spread) Collect(bool) any {
	st := state{Seq: s.store.Snapshot().Seq(), Loaded: s.store.Loaded(), AgeMillis: -1}
	if at := s.store.Confirmed(); !at.IsZero() {
		st.AgeMillis = int(clock.Since(at).Milliseconds())
	}
	return st
}

// Receive takes what a peer has in force.
func (s *Spread) Receive(peer string, body []byte) {
	var st state
	if msgpack.Unmarshal(body, &st) != nil {
		return
	}
	s.statesMu.Lock()
	old := s.states[peer]
	s.states[peer] = st
	if old.Seq != st.Seq {
		close(s.moved)
		s.moved = make(chan struct{})
	}
	s.statesMu.Unlock()
	if st.Loaded && st.AgeMillis >= 0 {
		s.store.Confirm(st.Seq, clock.Now().Add(-time.Duration(st.AgeMillis)*time.Millisecond))
	}
	if st.Loaded && (st.Seq > s.store.Snapshot().Seq() || !s.store.Loaded()) {
		s.wakeUp()
	}
}

func (s *Spread) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives when a peer may be ahead.
func (s *Spread) Wake() <-chan struct{} { return s.wake }

// Ahead returns a loaded peer with the highest sequence, if it is above seq or
// nothing is loaded here.
func (s *Spread) Ahead(seq uint64) string {
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

// ConfSince asks a peer for what follows seq.
func (s *Spread) ConfSince(ctx context.Context, peer string, seq uint64) (conf.Delta, error) {
	if peer == "" {
		return conf.Delta{}, errors.New("no peer is ahead")
	}
	var first parcel
	if err := s.parcels.ask(ctx, peer, kindSince, &since{seq}, &first); err != nil {
		return conf.Delta{}, err
	}
	packed, err := s.parcels.rest(ctx, peer, &first, mostValue)
	if err != nil {
		return conf.Delta{}, err
	}
	raw, err := unpack(packed, nil)
	if err != nil {
		return conf.Delta{}, err
	}
	var d conf.Delta
	return d, errors.Wrap(msgpack.Unmarshal(raw, &d), "what follows a sequence")
}

// WatchHolder reports whether this daemon watches the service for its cell.
func (s *Spread) WatchHolder() bool {
	v := s.fleet.View()
	return v.Duty(fleet.Key(DutyWatch)) == v.Self()
}

// Seq returns what a peer has in force, as far as it was heard.
func (s *Spread) Seq(peer string) uint64 {
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	return s.states[peer].Seq
}

// behindLimit is how long a daemon that was current may be behind a peer and
// still serve: a change takes a moment to pass from one to the other.
const behindLimit = 2 * time.Second

// Current reports whether this daemon knows a configuration that it may serve
// under: one is loaded, and no peer has had a later one for long.
func (s *Spread) Current() bool {
	if !s.store.Loaded() {
		return false
	}
	behind := s.Ahead(s.store.Snapshot().Seq()) != ""
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	now := clock.Now()
	if !behind {
		s.current = now
		return true
	}
	return now.Sub(s.current) < behindLimit
}

// Heard reports whether any peer was heard that has a configuration.
func (s *Spread) Heard() bool {
	s.statesMu.Lock()
	defer s.statesMu.Unlock()
	for _, p := range s.fleet.View().Peers() {
		if p.Alive && s.states[p.Name].Loaded {
			return true
		}
	}
	return false
}

// NotYet returns the live daemons, or cells, that do not have seq in force.
func (s *Spread) NotYet(ctx context.Context, seq uint64) []string {
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
		out = append(out, s.cellsNotYet(ctx, view, seq)...)
	}
	return out
}

func (s *Spread) cellsNotYet(ctx context.Context, view *fleet.View, seq uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	pairs, _, err := s.kv.Range(ctx, plat.Prefix(KeyRoot))
	var out []string
	for c := range view.Cells() {
		if c == view.Cell() {
			continue
		}
		name := "cell " + strconv.Itoa(c)
		if err != nil || forceOf(pairs, c) < seq {
			out = append(out, name)
		}
	}
	return out
}

func forceOf(pairs []plat.Pair, cell int) uint64 {
	for _, p := range pairs {
		if p.Key == KeyRoot+strconv.Itoa(cell) {
			var seq uint64
			if json.Unmarshal(p.Value, &seq) == nil {
				return seq
			}
		}
	}
	return 0
}

// pollPause spaces looks at other cells while a change is awaited.
const pollPause = 200 * time.Millisecond

// Await waits until every live daemon has seq in force, or ctx ends, and
// returns where it is not.
func (s *Spread) Await(ctx context.Context, seq uint64) []string {
	for {
		moved := s.movedChan()
		missing := s.NotYet(ctx, seq)
		if len(missing) == 0 || ctx.Err() != nil {
			return missing
		}
		t := time.NewTimer(pollPause)
		select {
		case <-ctx.Done():
		case <-moved:
		case <-t.C:
		}
		t.Stop()
	}
}
