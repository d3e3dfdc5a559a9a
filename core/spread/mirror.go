package spread

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

const kindMirror wire.Kind = "spread.mirror"

// Mirrors keeps the mirrors of daemons current that the key-value service does
// not answer: they take the changes from a peer that it does answer.
type Mirrors struct {
	mirror *plat.Mirror
	fleet  *fleet.Fleet

	peersMu sync.Mutex
	// peers holds when the service last answered each peer. Guarded by peersMu.
	peers map[string]time.Time
}

// NewMirrors attaches the mirror to the fleet's heartbeats.
func NewMirrors(m *plat.Mirror, f *fleet.Fleet) *Mirrors {
	s := &Mirrors{mirror: m, fleet: f, peers: map[string]time.Time{}}
	f.Attach("mirror", s)
	f.Mux().Register(kindMirror, wire.Handle(s.answer))
	return s
}

// mirrorBeat is a part of a heartbeat.
type mirrorBeat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// AgeMillis is how long ago the service answered the sender.
	AgeMillis int64
}

type mirrorAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	After    int64
}

type mirrorAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// All tells that Changes are everything, not what came after a revision.
	All       bool
	Changes   []mirrorChange
	Revision  int64
	AgeMillis int64
}

type mirrorChange struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Collect returns this daemon's part of a heartbeat.
func (s *Mirrors) Collect(bool) any {
	contact := s.mirror.Contact()
	if contact.IsZero() {
		return nil
	}
	return &mirrorBeat{AgeMillis: time.Since(contact).Milliseconds()}
}

// Receive takes a peer's part of a heartbeat.
func (s *Mirrors) Receive(peer string, raw []byte) {
	var b mirrorBeat
	if err := msgpack.Unmarshal(raw, &b); err != nil {
		// A peer of another version is not asked.
		return
	}
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	s.peers[peer] = time.Now().Add(-time.Duration(b.AgeMillis) * time.Millisecond)
}

// answer tells a peer what has changed.
func (s *Mirrors) answer(_ context.Context, _ string, ask *mirrorAsk) (*mirrorAnswer, error) {
	contact := s.mirror.Contact()
	if contact.IsZero() {
		return nil, errors.New("the service has not answered this daemon yet")
	}
	out := &mirrorAnswer{AgeMillis: time.Since(contact).Milliseconds()}
	changes, revision, whole := s.mirror.Since(ask.After)
	if !whole {
		var pairs []plat.Pair
		pairs, revision = s.mirror.All()
		out.All = true
		for _, p := range pairs {
			changes = append(changes, plat.Change{Pair: p})
		}
	}
	out.Revision = revision
	for _, c := range changes {
		out.Changes = append(out.Changes, mirrorChange{Key: c.Key, Value: c.Value, Revision: c.ModRevision, Deleted: c.Deleted})
	}
	return out, nil
}

// Times of taking changes from peers.
const (
	// silentAfter is the silence of the service after which a peer is asked:
	// watches answer every 1.5 s.
	silentAfter = 1800 * time.Millisecond
	// askPause spaces the questions.
	askPause = 250 * time.Millisecond
	// askLimit bounds one question.
	askLimit = 400 * time.Millisecond
)

// Run asks a peer for changes while the service is silent, until ctx ends.
func (s *Mirrors) Run(ctx context.Context) {
	t := time.NewTicker(askPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if time.Since(s.mirror.Contact()) > silentAfter {
			s.ask(ctx)
		}
	}
}

// ask takes what a peer knows more.
func (s *Mirrors) ask(ctx context.Context) {
	peer := s.best()
	if peer == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	sent := time.Now()
	var got mirrorAnswer
	if err := s.fleet.Call(ctx, peer, kindMirror, &mirrorAsk{After: s.mirror.Revision()}, &got); err != nil {
		s.forget(peer)
		return
	}
	heard := sent.Add(-time.Duration(got.AgeMillis) * time.Millisecond)
	if got.All {
		s.mirror.TakeAll(got.pairs(), got.Revision, heard)
		return
	}
	changes := make([]plat.Change, len(got.Changes))
	for i, c := range got.Changes {
		changes[i] = plat.Change{Pair: c.pair(), Deleted: c.Deleted}
	}
	s.mirror.Take(changes, got.Revision, heard)
}

func (a *mirrorAnswer) pairs() []plat.Pair {
	out := make([]plat.Pair, len(a.Changes))
	for i, c := range a.Changes {
		out[i] = c.pair()
	}
	return out
}

func (c mirrorChange) pair() plat.Pair {
	return plat.Pair{Key: c.Key, Value: c.Value, ModRevision: c.Revision}
}

// best returns the peer that the service answered last, if that is later than
// what this daemon knows.
func (s *Mirrors) best() string {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	name, latest := "", s.mirror.Fresh()
	for peer, at := range s.peers {
		if at.After(latest) {
			name, latest = peer, at
		}
	}
	return name
}

func (s *Mirrors) forget(peer string) {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	delete(s.peers, peer)
}
