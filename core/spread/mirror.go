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

const kindMirror wire.Kind = "spread.mirror"

// Mirrors keeps the mirrors of daemons current that the key-value service does
// not answer: they take the changes from a peer that it does answer.
type Mirrors struct {
	// began is when this daemon started.
	began  clock.Time
	mirror *plat.Mirror
	fleet  *fleet.Fleet
	log    *event.Log
	values *values
	// others counts the questions in a row to peers of the cell that hold another shard than this
	// daemon asks for.
	others atomic.Int64
	// told counts the bytes of values that peers were given, and failed the
	// questions of this daemon that a peer did not answer.
	told, failed atomic.Int64

	// Entry, if set, reads what a key says of a target; false where it is no entry of one. It is
	// set before Run.
	Entry   func(plat.Pair) (Entry, bool)
	entries entries

	roots atomic.Pointer[mirrorRoots]
	// silent are the roots that did not answer, or knew nothing fresh.
	silent wait.Backoff[string]

	peersMu sync.Mutex
	// peers holds how fresh each peer's copy is. Guarded by peersMu.
	peers map[string]clock.Time
}

// NewMirrors attaches the mirror to the fleet's heartbeats.
func NewMirrors(m *plat.Mirror, f *fleet.Fleet, log *event.Log) *Mirrors {
	s := &Mirrors{began: clock.Now(), mirror: m, fleet: f, log: log, peers: map[string]clock.Time{}}
	s.silent.First, s.silent.Most = silentTime, silentMost
	s.values = newValues(m, f, newParcels(f, func(bytes int) { s.told.Add(int64(bytes)) }), log)
	m.Observe(s.observe)
	f.Attach("mirror", s)
	f.Mux().Register(kindMirror, wire.Handle(s.answer))
	m.Follows, m.Reserve, m.Gather = s.Follows, s.Reserve, s.Gather
	return s
}

// Told returns how many bytes of values peers were given.
func (s *Mirrors) Told() int64 { return s.told.Load() }

// Failed returns how many questions to peers were not answered.
func (s *Mirrors) Failed() int64 { return s.failed.Load() }

// mirrorBeat is a part of a heartbeat.
type mirrorBeat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// AgeMillis is how old the sender's copy is.
	AgeMillis int64
}

// Collect returns this daemon's part of a heartbeat: those who ask the service or a root
// for their cell tell how fresh they are, so that the others ask them.
func (s *Mirrors) Collect(bool) any {
	fresh := s.mirror.Fresh()
	if s.mirror.Contact().IsZero() && !s.leads() || fresh.IsZero() {
		return nil
	}
	return &mirrorBeat{AgeMillis: ageMillis(clock.Since(fresh))}
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
	s.peers[peer] = clock.Now().Add(-toldAge(b.AgeMillis))
}

// ageMillis returns an age as it is told, rounded up: nobody may believe that what it
// knows is younger than it is.
func ageMillis(age time.Duration) int64 { return age.Milliseconds() + 1 }

// toldAge returns an age that a peer told, which is bounded so that it cannot
// wrap to a time in the future.
func toldAge(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), mostAgeMillis)) * time.Millisecond
}

// Times of taking changes from peers.
const (
	// silentAfter is the silence of the service after which a peer is asked:
	// watches answer every 1.5 s.
	silentAfter = 1800 * time.Millisecond
	// askPause spaces the questions.
	askPause = 100 * time.Millisecond
	// askWait is how long a peer may wait for a change before it answers, and
	// askLimit bounds one question.
	askWait  = 500 * time.Millisecond
	askLimit = askWait + 600*time.Millisecond
	// othersMost is how many questions in a row may meet another shard at peers of the cell, which
	// are about to change it as well, before a root is asked.
	othersMost = 20
	// aloneAfter is the age of what is known from which a daemon that finds no fresher peer in its
	// cell asks a root. Those who ask roots for their cells do at once: where all did, each root
	// would have twelve times as many askers just when it is slow.
	aloneAfter = 3 * staleAfter
	// answerRoom bounds the keys and values of one answer, so that its time limit
	// fits its size: 38 ms on a link of 10 Mbit/s, 0.5 s where 11 peers ask at once.
	answerRoom = 48 << 10
	// mostAgeMillis bounds the ages that peers tell: older is as good as never.
	mostAgeMillis = 3600 * 1000
	// sameAnswer is by how much the times of one answer of the service may differ as
	// heartbeats and answers between daemons tell them: by the ways of these.
	sameAnswer = 100 * time.Millisecond
	// gatherSmall and gatherLarge gather changes that follow each other: each
	// answer of a watch is a priced call, and targets change their entries all
	// the time. The users' bounds on a configuration are 2 s on small fleets and
	// 3 s on large ones.
	gatherSmall = 150 * time.Millisecond
	gatherLarge = 500 * time.Millisecond
	// startTime is how long after its start a daemon gathers changes for startGather:
	// boxes that start together make themselves known within 0.3 s.
	startTime   = 2 * time.Second
	startGather = 300 * time.Millisecond
)

// Gather returns how long changes of the service are gathered.
func (s *Mirrors) Gather() time.Duration {
	switch {
	case len(s.fleet.View().Peers()) >= smallFleet:
		return gatherLarge
	case clock.Since(s.began) < startTime:
		return startGather
	}
	return gatherSmall
}

// Run asks a peer for changes while the service is silent, until ctx ends.
func (s *Mirrors) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.values.run(ctx) })
	wait.Every(ctx, askPause, func() {
		if clock.Since(s.mirror.Contact()) > silentAfter || !s.Follows() {
			s.ask(ctx)
		}
	})
}

// ask takes what a peer knows more.
func (s *Mirrors) ask(ctx context.Context) {
	peer, root := s.best(), ""
	if s.leads() || s.isAlone(peer) {
		if root = s.root(); root != "" {
			peer = root
		}
	}
	if peer == "" {
		return
	}
	began := clock.Now()
	err := s.askPeer(ctx, peer)
	if err != nil {
		s.failed.Add(1)
		s.log.Emit(event.PeerNotTold, event.Ref{}, peer+" after "+elapsed(began)+": "+err.Error())
	}
	if err != nil && !errors.Is(err, errOtherShard) {
		s.forget(peer)
	}
	switch {
	case root == "":
		if errors.Is(err, errOtherShard) {
			s.others.Add(1)
		} else {
			s.others.Store(0)
		}
	case err != nil, clock.Since(s.mirror.Fresh()) > staleAfter:
		s.silent.Failed(root, time.Now())
	default:
		s.silent.Worked(root)
		s.others.Store(0)
	}
}

// isAlone reports whether nobody in the cell can tell this daemon what the service says: the
// freshest peer holds another shard, or there is none and what is known is old.
func (s *Mirrors) isAlone(peer string) bool {
	if s.fleet.View().Cells() < rootedCells {
		return false
	}
	return s.others.Load() > othersMost || (peer == "" && s.silence() > aloneAfter)
}

// silence returns how old this daemon's copy is, or how long it has known nothing.
func (s *Mirrors) silence() time.Duration {
	if fresh := s.mirror.Fresh(); !fresh.IsZero() {
		return clock.Since(fresh)
	}
	return clock.Since(s.began)
}

// askPeer takes what one peer knows more, answer by answer.
func (s *Mirrors) askPeer(ctx context.Context, peer string) error {
	view := s.fleet.View()
	shard := view.Shard()
	if view.Cells() >= rootedCells && slices.Contains(s.rootsOf(view), view.Self()) {
		// Others ask it for all shards.
		shard = nil
	}
	ask := &mirrorAsk{
		After: s.mirror.Revision(), WaitMillis: askWait.Milliseconds(), AgeMillis: ageMillis(clock.Since(s.mirror.Fresh())),
		Shard: shard, Held: s.mirror.Shard(),
	}
	for {
		began := clock.Now()
		got, err := s.question(ctx, peer, ask)
		if err != nil {
			return err
		}
		if got.All {
			return s.takeAll(ctx, peer, ask, got, got.heard(began))
		}
		if got.Moved && shard != nil {
			s.noteShard(ask.Held, got.Holds, peer, len(got.Changes))
			s.mirror.TakeMoved(got.changes(), got.Revision, ask.Held, got.Holds, s.drops(shard, got.Holds), got.heard(began))
			s.expectLate(peer)
			return nil
		}
		if got.Holds != ask.Held {
			return errors.WithStack(errNonsense)
		}
		if got.More {
			s.mirror.Take(got.changes(), got.Revision, clock.Time{})
			ask = &mirrorAsk{After: got.Revision, Shard: shard, Held: ask.Held}
			continue
		}
		s.mirror.Take(got.changes(), got.Revision, got.heard(began))
		s.expectLate(peer)
		return nil
	}
}

// takeAll takes a peer's whole copy, of which the first page is here. The pages are
// not of one moment: what changes meanwhile follows the revision of the first.
func (s *Mirrors) takeAll(ctx context.Context, peer string, asked *mirrorAsk, first *mirrorAnswer, heard clock.Time) error {
	all := first.changes()
	for page := first; page.More; {
		var err error
		ask := &mirrorAsk{Page: all[len(all)-1].Key, Shard: asked.Shard}
		if page, err = s.question(ctx, peer, ask); err != nil {
			return err
		}
		if !page.All || page.Holds != first.Holds {
			return errors.WithStack(errNonsense)
		}
		all = append(all, page.changes()...)
	}
	s.noteShard(asked.Held, first.Holds, peer, len(all))
	s.mirror.TakeAll(all, first.Revision, asked.Held, first.Holds, heard)
	s.expectLate(peer)
	return nil
}

// noteShard logs that another shard is taken.
func (s *Mirrors) noteShard(held, holds, peer string, entries int) {
	if held == holds {
		return
	}
	view := s.fleet.View()
	text := strconv.Itoa(entries) + " entries from " + peer + ", cell " + strconv.Itoa(view.Cell()) + " of " + strconv.Itoa(view.Cells())
	s.log.Emit(event.ListShardTaken, event.Ref{}, text)
}

// expectLate makes the values that a peer named without giving them be fetched.
func (s *Mirrors) expectLate(peer string) {
	if s.mirror.Behind() {
		s.values.expect(peer)
	}
}

// heard returns when the service had answered the peer, at the latest that is sure: the
// answer to a question that began at some time may have been on its way for long.
func (a *mirrorAnswer) heard(began clock.Time) clock.Time {
	return began.Add(toldAge(a.WaitedMillis) - toldAge(a.AgeMillis))
}

// question asks a peer once.
func (s *Mirrors) question(ctx context.Context, peer string, ask *mirrorAsk) (*mirrorAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var got mirrorAnswer
	if err := s.fleet.Call(ctx, peer, kindMirror, ask, &got); err != nil {
		return nil, err
	}
	if got.Other {
		return nil, errors.WithStack(errOtherShard)
	}
	if got.More && !got.follows(ask) {
		return nil, errors.WithStack(errNonsense)
	}
	return &got, nil
}

// follows reports whether an answer leads on from where its question stood, so that the
// answers to come end.
func (a *mirrorAnswer) follows(ask *mirrorAsk) bool {
	if !a.All {
		return a.Revision > ask.After
	}
	return len(a.Changes) > 0 && a.Changes[len(a.Changes)-1].Key > ask.Page
}

// changes returns what a peer told.
func (a *mirrorAnswer) changes() []plat.Change {
	out := make([]plat.Change, len(a.Changes))
	for i, c := range a.Changes {
		pair := plat.Pair{Key: c.Key, Value: c.Value, ModRevision: c.Revision}
		out[i] = plat.Change{Pair: pair, Deleted: c.Deleted, Late: c.Late}
	}
	return out
}

// best returns the peer of the cell whose copy is the freshest, if it is no older than
// this daemon's: who is as fresh will hear of the next change.
func (s *Mirrors) best() string {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	name, latest := "", s.mirror.Fresh().Add(-sameAnswer)
	for peer, at := range s.peers {
		if at.After(latest) {
			name, latest = peer, at
		}
	}
	return name
}

// forget makes a peer that did not answer not be asked before its next heartbeat.
func (s *Mirrors) forget(peer string) {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	delete(s.peers, peer)
}
