package spread

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindValue wire.Kind = "spread.value"

// values carries the large values of the mirror. A daemon that hears from a peer that
// there is one fetches it by itself, in pieces of a bounded size, so that each has a
// time limit that its size fits and nothing small waits behind more than a piece.
//
// Lock order: packMu before valuesMu.
type values struct {
	mirror *plat.Mirror
	fleet  *fleet.Fleet
	log    *event.Log
	// wake receives when a value may be late.
	wake chan struct{}
	// sent hears of the bytes of each piece that is given to a peer.
	sent func(bytes int)

	// packMu is held while a value is packed: several peers ask for one at once, and
	// the first packing serves all.
	packMu sync.Mutex
	// packs holds the latest packed forms. Guarded by packMu.
	packs []packedValue

	valuesMu sync.Mutex
	// versions holds the latest versions of each large value, the newest last.
	// Guarded by valuesMu.
	versions map[string][]plat.Pair
	// teller is the peer that told of a late value last. Guarded by valuesMu.
	teller string
}

// packedValue is one version of a value as peers that hold the version base get it;
// base is 0 for those that hold none.
type packedValue struct {
	key            string
	revision, base int64
	bytes          []byte
}

// Bounds of large values.
const (
	// versionsKept is how many versions of a value are kept to pack others with: a
	// peer may be behind by two where changes follow each other within the time in
	// which they are gathered.
	versionsKept = 3
	// packsKept is how many packed forms are kept.
	packsKept = 4
	// pieceSize bounds a piece: 26 ms on a link of 10 Mbit/s, 0.5 s where each of 19
	// other daemons asks for one at once.
	pieceSize = 32 << 10
	// pieceLimit bounds the time for a piece.
	pieceLimit = time.Second
	// mostFromPeer is the packed size up to which a value is taken from a peer if the
	// platform's store can be asked: 11 peers take 0.6 s for it from two daemons
	// with links of 10 Mbit/s, and the store sends each of them up to 1 MB in 0.9 s.
	mostFromPeer = 128 << 10
	// peersTried is how many peers are asked before the store.
	peersTried = 3
	// valuePause spaces the rounds of tries for a value.
	valuePause = 100 * time.Millisecond
	// storeLimit bounds the reading of a value from the store as a whole; how long
	// the store may be silent is the business of its client.
	storeLimit = 15 * time.Second
)

// valueAsk asks for a piece of a value.
type valueAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	// Revision is the least that the value must have.
	Revision int64
	// Base is the version that the asker holds, or 0.
	Base int64
	// From is where the piece begins in the packed form.
	From int
}

// valueAnswer is a piece of a value.
type valueAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Revision int64
	// Base is the version that the packed form needs, or 0.
	Base int64
	// Size is the size of the whole packed form.
	Size  int
	Piece []byte
}

// newValues attaches large values to the mirror and the fleet.
func newValues(m *plat.Mirror, f *fleet.Fleet, log *event.Log, sent func(bytes int)) *values {
	v := &values{
		mirror: m, fleet: f, log: log, wake: make(chan struct{}, 1), sent: sent, versions: map[string][]plat.Pair{},
	}
	m.Observe(v.observe)
	f.Mux().Register(kindValue, wire.Handle(v.answer))
	return v
}

// observe keeps the versions of large values.
func (v *values) observe(changes []plat.Change) {
	v.valuesMu.Lock()
	defer v.valuesMu.Unlock()
	for _, c := range changes {
		switch {
		case c.Deleted:
			delete(v.versions, c.Key)
		case plat.Large(c.Value):
			list := append(v.versions[c.Key], c.Pair)
			v.versions[c.Key] = list[max(0, len(list)-versionsKept):]
		}
	}
}

// version returns a version of a value that is kept.
func (v *values) version(key string, revision int64) (plat.Pair, bool) {
	v.valuesMu.Lock()
	defer v.valuesMu.Unlock()
	for _, p := range v.versions[key] {
		if p.ModRevision == revision {
			return p, true
		}
	}
	return plat.Pair{}, false
}

// newest returns the newest version of a value; its revision is 0 where none is kept.
func (v *values) newest(key string) plat.Pair {
	v.valuesMu.Lock()
	defer v.valuesMu.Unlock()
	list := v.versions[key]
	if len(list) == 0 {
		return plat.Pair{}
	}
	return list[len(list)-1]
}

var (
	errNoValue  = errors.New("the value is not here")
	errTooLarge = errors.New("the value is too large to be taken from a peer")
	errNonsense = errors.New("the peer's pieces do not fit together")
)

// answer gives a peer a piece of a value.
func (v *values) answer(_ context.Context, _ string, ask *valueAsk) (*valueAnswer, error) {
	p, err := v.packed(ask)
	if err != nil {
		return nil, err
	}
	if ask.From < 0 || ask.From > len(p.bytes) {
		return nil, errors.WithStack(errNonsense)
	}
	piece := p.bytes[ask.From:min(len(p.bytes), ask.From+pieceSize)]
	v.sent(len(piece))
	return &valueAnswer{Revision: p.revision, Base: p.base, Size: len(p.bytes), Piece: piece}, nil
}

// packed returns the packed form that a question asks for: where it goes on with one
// that is still kept, that one, else one of the newest version.
func (v *values) packed(ask *valueAsk) (packedValue, error) {
	v.packMu.Lock()
	defer v.packMu.Unlock()
	if ask.From > 0 {
		if p, ok := v.kept(ask.Key, ask.Revision, ask.Base); ok {
			return p, nil
		}
	}
	newest := v.newest(ask.Key)
	if newest.ModRevision == 0 || newest.ModRevision < ask.Revision {
		return packedValue{}, errors.WithStack(errNoValue)
	}
	base, known := v.version(ask.Key, ask.Base)
	if !known || base.ModRevision == newest.ModRevision {
		base = plat.Pair{}
	}
	if p, ok := v.kept(ask.Key, newest.ModRevision, base.ModRevision); ok {
		return p, nil
	}
	bytes, err := pack(newest.Value, base.Value)
	if err != nil {
		return packedValue{}, err
	}
	p := packedValue{newest.Key, newest.ModRevision, base.ModRevision, bytes}
	v.packs = append(v.packs, p)
	v.packs = v.packs[max(0, len(v.packs)-packsKept):]
	return p, nil
}

// kept returns a packed form that was made before. It is called with packMu held.
func (v *values) kept(key string, revision, base int64) (packedValue, bool) {
	for _, p := range v.packs {
		if p.key == key && p.revision == revision && p.base == base {
			return p, true
		}
	}
	return packedValue{}, false
}

// expect makes the late values be fetched, first from the peer that told of them.
func (v *values) expect(teller string) {
	v.valuesMu.Lock()
	v.teller = teller
	v.valuesMu.Unlock()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// run fetches late values until ctx ends.
func (v *values) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		}
		for ctx.Err() == nil && v.mirror.Behind() {
			if !v.round(ctx) {
				wait.For(ctx, valuePause)
			}
		}
	}
}

// round tries once to get all late values, and reports whether it got one.
func (v *values) round(ctx context.Context) bool {
	got := false
	for _, want := range v.mirror.Late() {
		got = v.fetch(ctx, want) || got
	}
	return got
}

// fetch gets a value from a peer where it is small enough, else from the store, and
// where that does not answer from a peer after all.
func (v *values) fetch(ctx context.Context, want plat.Pair) bool {
	peers := v.peersFor()
	return v.fromPeers(ctx, peers, want, mostFromPeer) || v.fromStore(ctx, want) || v.fromPeers(ctx, peers, want, mostValue)
}

// peersFor returns the peers to ask for a value: the one that told of it and some
// others of this cell, which may have it by now.
func (v *values) peersFor() []string {
	v.valuesMu.Lock()
	out := []string{v.teller}
	v.valuesMu.Unlock()
	view := v.fleet.View()
	others := view.Peers()
	for _, i := range rand.Perm(len(others)) {
		p := others[i]
		if len(out) == peersTried {
			break
		}
		if p.Alive && p.Cell == view.Cell() && p.Name != out[0] {
			out = append(out, p.Name)
		}
	}
	return out
}

// fromPeers gets a value whose packed form is at most most bytes long from one of some
// peers.
func (v *values) fromPeers(ctx context.Context, peers []string, want plat.Pair, most int) bool {
	for _, peer := range peers {
		began := time.Now()
		p, size, err := v.pull(ctx, peer, want, most)
		if err != nil {
			v.log.Emit(event.PeerNotTold, event.Ref{Resource: want.Key}, peer+" after "+elapsed(began)+": "+err.Error())
			if errors.Is(err, errTooLarge) {
				return false
			}
			continue
		}
		v.arrived(p, strconv.Itoa(size)+" bytes from "+peer, began)
		return true
	}
	return false
}

// elapsed writes how long ago something began.
func elapsed(began time.Time) string { return time.Since(began).Round(time.Millisecond).String() }

// arrived hands a value to the mirror.
func (v *values) arrived(p plat.Pair, source string, began time.Time) {
	v.mirror.Arrive(p)
	text := "revision " + strconv.FormatInt(p.ModRevision, 10) + ", " + strconv.Itoa(len(p.Value)) + " bytes, took " + elapsed(began) + " and " + source
	v.log.Emit(event.ValueFetched, event.Ref{Resource: p.Key}, text)
}

// pull gets a value from a peer piece by piece, and says how large its packed form
// is.
func (v *values) pull(ctx context.Context, peer string, want plat.Pair, most int) (plat.Pair, int, error) {
	held := v.newest(want.Key)
	ask := valueAsk{Key: want.Key, Revision: want.ModRevision, Base: held.ModRevision}
	var packed []byte
	for {
		got, err := v.piece(ctx, peer, &ask)
		if err != nil {
			return plat.Pair{}, 0, err
		}
		first := ask.From == 0
		switch {
		case got.Size > most:
			return plat.Pair{}, 0, errors.WithStack(errTooLarge)
		case got.Revision < want.ModRevision, len(got.Piece) == 0, len(packed)+len(got.Piece) > got.Size:
			return plat.Pair{}, 0, errors.WithStack(errNonsense)
		case !first && (got.Revision != ask.Revision || got.Base != ask.Base):
			// The peer has a newer version by now and has given up this one.
			return plat.Pair{}, 0, errors.WithStack(errNoValue)
		}
		packed = append(packed, got.Piece...)
		if len(packed) == got.Size {
			value, err := v.unpacked(packed, want.Key, got.Base)
			return plat.Pair{Key: want.Key, Value: value, ModRevision: got.Revision}, got.Size, err
		}
		ask.Revision, ask.Base, ask.From = got.Revision, got.Base, len(packed)
	}
}

// piece asks a peer for one piece.
func (v *values) piece(ctx context.Context, peer string, ask *valueAsk) (*valueAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceLimit)
	defer cancel()
	var got valueAnswer
	return &got, v.fleet.Call(ctx, peer, kindValue, ask, &got)
}

// unpacked returns the value of a packed form.
func (v *values) unpacked(packed []byte, key string, base int64) ([]byte, error) {
	if base == 0 {
		return unpack(packed, nil)
	}
	held, ok := v.version(key, base)
	if !ok {
		return nil, errors.WithStack(errNonsense)
	}
	return unpack(packed, held.Value)
}

// fromStore gets a value from the store itself.
func (v *values) fromStore(ctx context.Context, want plat.Pair) bool {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	began := time.Now()
	p, there, err := v.mirror.Fetch(ctx, want.Key)
	if err != nil || !there || p.ModRevision < want.ModRevision {
		text := "the service after " + elapsed(began) + ": "
		if err != nil {
			text += err.Error()
		} else {
			text += "it does not hold the value"
		}
		v.log.Emit(event.PeerNotTold, event.Ref{Resource: want.Key}, text)
		return false
	}
	v.arrived(p, "came from the service", began)
	return true
}
