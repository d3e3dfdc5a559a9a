package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindValue wire.Kind = "spread.value"

// largeValues transfers the large values of the watch cache. A daemon that receives a change
// without its value from a peer fetches the value separately, compressed and in chunks.
type largeValues struct {
	watchCache *plat.WatchCache
	fleet      *fleet.Fleet
	transfers  *transfers
	log        *event.Log
	// wake receives when there may be unfetched values.
	wake chan struct{}

	valuesMu sync.Mutex
	// versions holds the latest versions of each large value by key, the newest last. Guarded by
	// valuesMu.
	versions map[string][]plat.Pair
	// announcer is the peer that last announced an unfetched value. Guarded by valuesMu.
	announcer string
}

// Bounds of large values.
const (
	// maxVersions is how many versions of a value are kept as compression dictionaries: a peer may
	// be two versions behind where changes follow each other within the time for which they are
	// batched.
	maxVersions = 3
	// maxPeerBytes is the compressed size up to which a value is fetched from a peer while the
	// coordination store can be read: 11 peers take 0.6 s for it from two daemons with links of 10
	// Mbit/s, and the store sends each of them up to 1 MB in 0.9 s.
	maxPeerBytes = 128 << 10
	// maxPeersTried is how many peers are tried before the store.
	maxPeersTried = 3
	// peerWaitBudget is how long a daemon of a large fleet tries peers for a value before it reads
	// the store: a fifth of the users' shortest bound on a configuration change there, 4 s.
	peerWaitBudget = 800 * time.Millisecond
	// retryInterval is the time between two attempts to fetch the values.
	retryInterval = 100 * time.Millisecond
	// storeTimeout bounds the read of one value from the store as a whole; the store's client
	// bounds the time without any data from the store.
	storeTimeout = 15 * time.Second
)

// valueRequest requests a value.
type valueRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	// Revision is the minimum revision of the value.
	Revision int64
	// Base is the revision that the requester holds and that may serve as the dictionary, or 0.
	Base int64
}

// valueResponse is a value in compressed form.
type valueResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Revision is that of the value.
	Revision int64
	// Base is the revision that is the dictionary of the compressed form, or 0.
	Base       int64
	Compressed transfer
}

// newLargeValues returns largeValues, attached to the watch cache and the fleet.
func newLargeValues(watchCache *plat.WatchCache, f *fleet.Fleet, t *transfers, log *event.Log) *largeValues {
	v := &largeValues{
		watchCache: watchCache, fleet: f, transfers: t, log: log, wake: make(chan struct{}, 1),
		versions: map[string][]plat.Pair{},
	}
	watchCache.Observe(v.observe)
	f.Mux().Register(kindValue, wire.Handle(v.handleValue))
	return v
}

// observe keeps the latest versions of large values.
func (v *largeValues) observe(changes []plat.Change) {
	v.valuesMu.Lock()
	defer v.valuesMu.Unlock()
	for _, c := range changes {
		switch {
		case c.Deleted:
			delete(v.versions, c.Key)
		case plat.IsLarge(c.Value):
			list := append(v.versions[c.Key], c.Pair)
			v.versions[c.Key] = list[max(0, len(list)-maxVersions):]
		}
	}
}

// version returns a version of a value, if it is kept.
func (v *largeValues) version(key string, revision int64) (plat.Pair, bool) {
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
func (v *largeValues) newest(key string) plat.Pair {
	v.valuesMu.Lock()
	defer v.valuesMu.Unlock()
	list := v.versions[key]
	if len(list) == 0 {
		return plat.Pair{}
	}
	return list[len(list)-1]
}

var errNoValue = errors.New("this daemon does not hold the requested value")

// handleValue sends a peer the newest version of a value, compressed with the peer's version as the
// dictionary if that is kept here.
func (v *largeValues) handleValue(_ context.Context, _ string, req *valueRequest) (*valueResponse, error) {
	newest := v.newest(req.Key)
	if newest.ModRevision == 0 || newest.ModRevision < req.Revision {
		return nil, errors.WithStack(errNoValue)
	}
	base, kept := v.version(req.Key, req.Base)
	if !kept || base.ModRevision == newest.ModRevision {
		base = plat.Pair{}
	}
	compressed, err := v.beginTransfer(newest, base)
	return &valueResponse{Revision: newest.ModRevision, Base: base.ModRevision, Compressed: compressed}, err
}

// beginTransfer starts the transfer of a value that is compressed with base as the dictionary.
func (v *largeValues) beginTransfer(value, base plat.Pair) (transfer, error) {
	// A restored store may assign a revision again, to other contents.
	id := fmt.Sprintf("%s/%d/%d/%x/%x", value.Key, value.ModRevision, base.ModRevision, xxhash.Sum64(value.Value), xxhash.Sum64(base.Value))
	return v.transfers.begin(id, func() ([]byte, error) { return compress(value.Value, base.Value) })
}

// requestFetch starts to fetch the unfetched values, first from the peer that announced them.
func (v *largeValues) requestFetch(announcer string) {
	v.valuesMu.Lock()
	v.announcer = announcer
	v.valuesMu.Unlock()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// run fetches unfetched values until ctx ends.
func (v *largeValues) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		}
		for ctx.Err() == nil && v.watchCache.HasUnfetched() {
			if !v.fetchAll(ctx) {
				wait.For(ctx, retryInterval)
			}
		}
	}
}

// fetchAll tries once to fetch each unfetched value, and reports whether it got any.
func (v *largeValues) fetchAll(ctx context.Context) bool {
	got := false
	for _, want := range v.watchCache.Unfetched() {
		got = v.fetch(ctx, want) || got
	}
	return got
}

// fetch gets a value from a peer if it is small enough, else from the store, and if the store does
// not respond, from a peer after all.
func (v *largeValues) fetch(ctx context.Context, want plat.Pair) bool {
	peers := v.candidatePeers()
	got, tooLarge := v.fetchFromPeers(ctx, peers, want, maxPeerBytes)
	if got || (!tooLarge && v.waitsForPeers()) {
		return got
	}
	if v.fetchFromStore(ctx, want) {
		return true
	}
	got, _ = v.fetchFromPeers(ctx, peers, want, maxValueBytes)
	return got
}

// waitsForPeers reports whether peers are still expected to get a value: those that announce it
// fetch it at the same time. Without this wait each daemon of a large fleet would read each large
// value from the store.
func (v *largeValues) waitsForPeers() bool {
	return v.fleet.View().Cells() >= minCellsForRelays && clock.Since(v.watchCache.UnfetchedSince()) < peerWaitBudget
}

// candidatePeers returns the peers to request a value from: the one that announced it and others of
// this cell, which may have it by now.
func (v *largeValues) candidatePeers() []string {
	v.valuesMu.Lock()
	out := []string{v.announcer}
	v.valuesMu.Unlock()
	view := v.fleet.View()
	others := view.Peers()
	for _, i := range rand.Perm(len(others)) {
		p := others[i]
		if len(out) == maxPeersTried {
			break
		}
		if p.Alive && p.Cell == view.Cell() && p.Name != out[0] {
			out = append(out, p.Name)
		}
	}
	return out
}

// fetchFromPeers gets a value of at most maxBytes compressed bytes from one of the peers. tooLarge
// is set if the value was found to be larger.
func (v *largeValues) fetchFromPeers(ctx context.Context, peers []string, want plat.Pair, maxBytes int) (got, tooLarge bool) {
	for _, peer := range peers {
		start := clock.Now()
		p, size, err := v.fetchFromPeer(ctx, peer, want, maxBytes)
		if err != nil {
			v.log.Emit(event.PeerNotTold, event.Ref{Resource: want.Key},
				peer+" after "+elapsedSince(start)+": "+err.Error())
			if errors.Is(err, errTooLarge) {
				return false, true
			}
			continue
		}
		v.deliver(p, strconv.Itoa(size)+" compressed bytes from "+peer, start)
		return true, false
	}
	return false, false
}

// elapsedSince formats the time since start.
func elapsedSince(start clock.Time) string {
	return clock.Since(start).Round(time.Millisecond).String()
}

// deliver passes a fetched value to the watch cache.
func (v *largeValues) deliver(p plat.Pair, source string, start clock.Time) {
	v.watchCache.ApplyFetched(p)
	text := "revision " + strconv.FormatInt(p.ModRevision, 10) + ", " +
		strconv.Itoa(len(p.Value)) + " bytes in " + elapsedSince(start) + ", " + source
	v.log.Emit(event.ValueFetched, event.Ref{Resource: p.Key}, text)
}

// fetchFromPeer gets a value from one peer, and returns its compressed size as well.
func (v *largeValues) fetchFromPeer(ctx context.Context, peer string, want plat.Pair, maxBytes int) (plat.Pair, int, error) {
	cached := v.newest(want.Key)
	var got valueResponse
	req := &valueRequest{Key: want.Key, Revision: want.ModRevision, Base: cached.ModRevision}
	if err := v.transfers.call(ctx, peer, kindValue, req, &got); err != nil {
		return plat.Pair{}, 0, err
	}
	if got.Revision < want.ModRevision {
		return plat.Pair{}, 0, errors.WithStack(errInvalidMessage)
	}
	compressed, err := v.transfers.receive(ctx, peer, &got.Compressed, maxBytes)
	if err != nil {
		return plat.Pair{}, 0, err
	}
	value, err := v.decompressed(compressed, want.Key, got.Base)
	return plat.Pair{Key: want.Key, Value: value, ModRevision: got.Revision}, len(compressed), err
}

// decompressed returns the value of a compressed form whose dictionary is the revision base.
func (v *largeValues) decompressed(compressed []byte, key string, base int64) ([]byte, error) {
	if base == 0 {
		return decompress(compressed, nil)
	}
	cached, ok := v.version(key, base)
	if !ok {
		return nil, errors.WithStack(errInvalidMessage)
	}
	return decompress(compressed, cached.Value)
}

// fetchFromStore reads a value from the coordination store.
func (v *largeValues) fetchFromStore(ctx context.Context, want plat.Pair) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := clock.Now()
	p, exists, err := v.watchCache.Fetch(ctx, want.Key)
	if err != nil || !exists || p.ModRevision < want.ModRevision {
		text := "the coordination store after " + elapsedSince(start) + ": "
		if err != nil {
			text += err.Error()
		} else {
			text += "it does not hold the requested revision of the value"
		}
		v.log.Emit(event.PeerNotTold, event.Ref{Resource: want.Key}, text)
		return false
	}
	v.deliver(p, "read from the coordination store", start)
	return true
}
