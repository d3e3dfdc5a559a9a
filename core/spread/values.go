package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindValue wire.Kind = "spread.value"

// values carries the large values of the mirror. A daemon that hears from a peer that
// there is one fetches it by itself, packed and in pieces.
type values struct {
	mirror  *plat.Mirror
	fleet   *fleet.Fleet
	parcels *parcels
	log     *event.Log
	// wake receives when a value may be late.
	wake chan struct{}

	valuesMu sync.Mutex
	// versions holds the latest versions of each large value, the newest last.
	// Guarded by valuesMu.
	versions map[string][]plat.Pair
	// teller is the peer that told of a late value last. Guarded by valuesMu.
	teller string
}

// Bounds of large values.
const (
	// versionsKept is how many versions of a value are kept to pack others with: a
	// peer may be behind by two where changes follow each other within the time in
	// which they are gathered.
	versionsKept = 3
	// mostFromPeer is the packed size up to which a value is taken from a peer if the
	// platform's store can be asked: 11 peers take 0.6 s for it from two daemons
	// with links of 10 Mbit/s, and the store sends each of them up to 1 MB in 0.9 s.
	mostFromPeer = 128 << 10
	// peersTried is how many peers are asked before the store.
	peersTried = 3
	// storePatience is how long a daemon of a large fleet tries peers for a value before it asks
	// the store: a fifth of the users' least bound on a configuration there, 4 s.
	storePatience = 800 * time.Millisecond
	// valuePause spaces the rounds of tries for a value.
	valuePause = 100 * time.Millisecond
	// storeLimit bounds the reading of a value from the store as a whole; how long
	// the store may be silent is the business of its client.
	storeLimit = 15 * time.Second
)

// valueAsk asks for a value.
type valueAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	// Revision is the least that the value must have.
	Revision int64
	// Base is the version that the asker holds, or 0.
	Base int64
}

// valueAnswer is a value in packed form.
type valueAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Revision int64
	// Base is the version that the packed form needs, or 0.
	Base   int64
	Packed parcel
}

// newValues attaches large values to the mirror and the fleet.
func newValues(m *plat.Mirror, f *fleet.Fleet, p *parcels, log *event.Log) *values {
	v := &values{mirror: m, fleet: f, parcels: p, log: log, wake: make(chan struct{}, 1), versions: map[string][]plat.Pair{}}
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

var errNoValue = errors.New("the value is not here")

// answer gives a peer the newest version of a value, packed with the one that the peer
// holds if that is kept here.
func (v *values) answer(_ context.Context, _ string, ask *valueAsk) (*valueAnswer, error) {
	newest := v.newest(ask.Key)
	if newest.ModRevision == 0 || newest.ModRevision < ask.Revision {
		return nil, errors.WithStack(errNoValue)
	}
	base, known := v.version(ask.Key, ask.Base)
	if !known || base.ModRevision == newest.ModRevision {
		base = plat.Pair{}
	}
	packed, err := v.packed(newest, base)
	return &valueAnswer{Revision: newest.ModRevision, Base: base.ModRevision, Packed: packed}, err
}

// packed returns a value packed with a base.
func (v *values) packed(value, base plat.Pair) (parcel, error) {
	id := fmt.Sprintf("%s/%d/%d", value.Key, value.ModRevision, base.ModRevision)
	return v.parcels.prepare(id, func() ([]byte, error) { return pack(value.Value, base.Value) })
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
	got, tooLarge := v.fromPeers(ctx, peers, want, mostFromPeer)
	if got || (!tooLarge && v.patient()) {
		return got
	}
	if v.fromStore(ctx, want) {
		return true
	}
	got, _ = v.fromPeers(ctx, peers, want, mostValue)
	return got
}

// patient reports whether peers are about to have a value: who tells of it fetches it at the same
// time. Else each daemon of a large fleet would read each large value from the store.
func (v *values) patient() bool {
	return v.fleet.View().Cells() >= rootedCells && clock.Since(v.mirror.LateSince()) < storePatience
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
// peers. It reports whether it got one, or else found it to be larger.
func (v *values) fromPeers(ctx context.Context, peers []string, want plat.Pair, most int) (got, tooLarge bool) {
	for _, peer := range peers {
		began := clock.Now()
		p, size, err := v.pull(ctx, peer, want, most)
		if err != nil {
			v.log.Emit(event.PeerNotTold, event.Ref{Resource: want.Key}, peer+" after "+elapsed(began)+": "+err.Error())
			if errors.Is(err, errTooLarge) {
				return false, true
			}
			continue
		}
		v.arrived(p, strconv.Itoa(size)+" bytes from "+peer, began)
		return true, false
	}
	return false, false
}

// elapsed writes how long ago something began.
func elapsed(began clock.Time) string { return clock.Since(began).Round(time.Millisecond).String() }

// arrived hands a value to the mirror.
func (v *values) arrived(p plat.Pair, source string, began clock.Time) {
	v.mirror.Arrive(p)
	text := "revision " + strconv.FormatInt(p.ModRevision, 10) + ", " + strconv.Itoa(len(p.Value)) + " bytes, took " + elapsed(began) + " and " + source
	v.log.Emit(event.ValueFetched, event.Ref{Resource: p.Key}, text)
}

// pull gets a value from a peer, and says how large its packed form is.
func (v *values) pull(ctx context.Context, peer string, want plat.Pair, most int) (plat.Pair, int, error) {
	held := v.newest(want.Key)
	var got valueAnswer
	ask := &valueAsk{Key: want.Key, Revision: want.ModRevision, Base: held.ModRevision}
	if err := v.parcels.ask(ctx, peer, kindValue, ask, &got); err != nil {
		return plat.Pair{}, 0, err
	}
	if got.Revision < want.ModRevision {
		return plat.Pair{}, 0, errors.WithStack(errNonsense)
	}
	packed, err := v.parcels.rest(ctx, peer, &got.Packed, most)
	if err != nil {
		return plat.Pair{}, 0, err
	}
	value, err := v.unpacked(packed, want.Key, got.Base)
	return plat.Pair{Key: want.Key, Value: value, ModRevision: got.Revision}, len(packed), err
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
	began := clock.Now()
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
