package spread

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

const kindApplied wire.Kind = "spread.inforce"

const (
	// appliedPeers is how many peers receive a request.
	appliedPeers = 5
	// appliedTimeout bounds the wait for the first chunk of a response.
	appliedTimeout = 500 * time.Millisecond
	// appliedRestTimeout bounds the time for the other chunks of one response.
	appliedRestTimeout = 5 * time.Second
	// maxShuttingDown bounds the incarnations that one response names.
	maxShuttingDown = 1024
)

// AppliedValues holds the applied values that operators have written, by key of the coordination
// store. After the store was restored from an older copy, daemons that have only read the copy get
// the values that it lacks from peers, and which targets are shutting down.
type AppliedValues struct {
	watchCache *plat.WatchCache
	fleet      *fleet.Fleet
	transfers  *transfers
	log        *event.Log
	// ShuttingDown, if set, returns the incarnations of targets that recently reported that they
	// are shutting down; OnShuttingDown is called with those that a peer names. Both are set before
	// the fleet runs.
	ShuttingDown   func() []string
	OnShuttingDown func(incarnation string)

	appliedMu sync.Mutex
	values    map[string]appliedValue // by key; guarded by appliedMu
	// ready is set once this daemon has requested the values from peers, or had no need to.
	// Guarded by appliedMu.
	ready bool
}

// appliedValue is one value.
type appliedValue struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
	Revision int64
	// Version is the version that the value itself states; 0 where it has none.
	Version int64
}

// newerThan reports whether the value's version is above the one in versions, which is by key, or
// its key is not among them.
func (v appliedValue) newerThan(versions map[string]int64) bool {
	version, ok := versions[v.Key]
	return !ok || version < v.Version
}

// appliedRequest requests the applied values that are newer than the requester's, or that it lacks,
// unless the coordination store holds them in the requester's store incarnation or a later one.
type appliedRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Versions holds the versions of the requester's values by key.
	Versions map[string]int64
	// StoreIncarnation is that of the requester's watch cache.
	StoreIncarnation int64
}

// appliedResponse holds the values in compressed form; Values is empty where there are none.
type appliedResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Values   transfer
	// ShuttingDown are the incarnations of targets that recently reported that they are shutting
	// down.
	ShuttingDown []string
}

// errNotReady is returned while a peer has only its own copy of the store.
var errNotReady = errors.New("this daemon has not requested the applied values from its peers yet")

// NewAppliedValues returns AppliedValues and registers them with the fleet of s.
func NewAppliedValues(s *WatchCacheSync) *AppliedValues {
	a := &AppliedValues{
		watchCache: s.watchCache, fleet: s.fleet, transfers: s.values.transfers, log: s.log,
		values: map[string]appliedValue{},
	}
	a.fleet.Mux().Register(kindApplied, wire.Handle(a.handleApplied))
	return a
}

// Set stores a value, unless a newer version of it is stored. The version is 0 for values that have
// none.
func (a *AppliedValues) Set(p plat.Pair, version int64) {
	a.appliedMu.Lock()
	defer a.appliedMu.Unlock()
	if stored, ok := a.values[p.Key]; !ok || stored.Version <= version {
		a.values[p.Key] = appliedValue{Key: p.Key, Value: p.Value, Revision: p.ModRevision, Version: version}
	}
}

// Remove removes a value.
func (a *AppliedValues) Remove(key string) {
	a.appliedMu.Lock()
	defer a.appliedMu.Unlock()
	delete(a.values, key)
}

// MarkReady makes this daemon respond to peers' requests.
func (a *AppliedValues) MarkReady() {
	a.appliedMu.Lock()
	defer a.appliedMu.Unlock()
	a.ready = true
}

// Ready reports whether this daemon responds to peers' requests.
func (a *AppliedValues) Ready() bool {
	a.appliedMu.Lock()
	defer a.appliedMu.Unlock()
	return a.ready
}

// versions returns the versions of the stored values by key.
func (a *AppliedValues) versions() map[string]int64 {
	a.appliedMu.Lock()
	defer a.appliedMu.Unlock()
	out := make(map[string]int64, len(a.values))
	for key, v := range a.values {
		out[key] = v.Version
	}
	return out
}

// handleApplied sends a peer the values that are newer here.
func (a *AppliedValues) handleApplied(_ context.Context, _ string, req *appliedRequest) (*appliedResponse, error) {
	newer, id, err := a.newerThan(req)
	if err != nil {
		return nil, err
	}
	out := &appliedResponse{}
	if a.ShuttingDown != nil {
		out.ShuttingDown = firstN(a.ShuttingDown(), maxShuttingDown)
	}
	if len(newer) == 0 {
		return out, nil
	}
	out.Values, err = a.transfers.begin(id, func() ([]byte, error) { return compressMessage(newer) })
	return out, err
}

// newerThan returns the values that a peer requests, ordered by key, and an identifier of this set
// of versions.
func (a *AppliedValues) newerThan(req *appliedRequest) (newer []appliedValue, id string, err error) {
	a.appliedMu.Lock()
	defer a.appliedMu.Unlock()
	if !a.ready {
		return nil, "", errors.WithStack(errNotReady)
	}
	id = "inforce"
	for _, key := range slices.Sorted(maps.Keys(a.values)) {
		v := a.values[key]
		if v.newerThan(req.Versions) && !a.inStore(v, req.StoreIncarnation) {
			newer = append(newer, v)
			id += "/" + key + "=" + strconv.FormatInt(v.Version, 10) + "." + strconv.FormatInt(v.Revision, 10)
		}
	}
	return newer, id, nil
}

// inStore reports whether the coordination store holds a value in a store incarnation or a later
// one, according to the watch cache.
func (a *AppliedValues) inStore(v appliedValue, incarnation int64) bool {
	p, exists := a.watchCache.Pair(v.Key)
	return exists && a.watchCache.StoreIncarnation() >= incarnation && bytes.Equal(p.Value, v.Value)
}

// Pull requests newer values from some peers, live ones first, and calls apply, one call at a time,
// with each that is newer than the stored one at that time. It returns how many peers responded.
func (a *AppliedValues) Pull(ctx context.Context, apply func(plat.Pair)) int {
	peers := a.peers()
	responded := make(chan bool, len(peers))
	var applyMu sync.Mutex
	for _, peer := range peers {
		go appliedPuller{a, peer, &applyMu, apply, responded}.run(ctx)
	}
	count := 0
	for range peers {
		if <-responded {
			count++
		}
	}
	return count
}

// peers returns the peers to request values from.
func (a *AppliedValues) peers() []string {
	var live, others []string
	all := a.fleet.View().Peers()
	for _, i := range rand.Perm(len(all)) {
		if all[i].Alive {
			live = append(live, all[i].Name)
		} else {
			others = append(others, all[i].Name)
		}
	}
	return firstN(append(live, others...), appliedPeers)
}

// appliedPuller requests values from one peer.
type appliedPuller struct {
	*AppliedValues
	peer string
	// applyMu is held while apply is called.
	applyMu *sync.Mutex
	apply   func(plat.Pair)
	// done receives whether the peer responded.
	done chan<- bool
}

func (p appliedPuller) run(ctx context.Context) {
	values, err := p.pull(ctx)
	if err != nil {
		p.log.Emit(event.PeerNotTold, event.Ref{}, p.peer+", applied values: "+err.Error())
	}
	p.applyMu.Lock()
	stored := p.versions()
	for _, v := range values {
		if v.newerThan(stored) {
			p.log.Emit(event.ValueInForce, event.Ref{Resource: v.Key},
				"version "+strconv.FormatInt(v.Version, 10)+" from "+p.peer)
			p.apply(plat.Pair{Key: v.Key, Value: v.Value, ModRevision: v.Revision})
		}
	}
	p.applyMu.Unlock()
	p.done <- err == nil
}

// pull gets the peer's newer values, and passes on which incarnations are shutting down.
func (p appliedPuller) pull(ctx context.Context) ([]appliedValue, error) {
	firstCtx, cancel := context.WithTimeout(ctx, appliedTimeout)
	defer cancel()
	req := &appliedRequest{Versions: p.versions(), StoreIncarnation: p.watchCache.StoreIncarnation()}
	var got appliedResponse
	if err := p.fleet.Query(firstCtx, p.peer, kindApplied, req, &got); err != nil {
		return nil, err
	}
	if p.OnShuttingDown != nil {
		for _, incarnation := range firstN(got.ShuttingDown, maxShuttingDown) {
			p.OnShuttingDown(incarnation)
		}
	}
	if got.Values.Size == 0 {
		return nil, nil
	}
	ctx, cancelRest := context.WithTimeout(ctx, appliedRestTimeout)
	defer cancelRest()
	compressed, err := p.transfers.receive(ctx, p.peer, &got.Values, maxValueBytes)
	if err != nil {
		return nil, err
	}
	raw, err := decompress(compressed, nil)
	if err != nil {
		return nil, err
	}
	var values []appliedValue
	return values, wire.Unmarshal(raw, &values)
}
