package cache

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// WorkerCaches estimates what the workers' KV caches hold, from the requests that this daemon and
// its peers sent. It assumes that a worker caches each prompt until newer requests evict it, least
// recently used first. It does not query the workers: they report changes late, and
// following all of them costs more than it gains. The zero value is ready.
//
// Lock order: cachesMu is never held together with another lock of this package.
type WorkerCaches struct {
	// Capacity returns the capacity of a worker's KV cache in tokens, or 0 if unknown. It is
	// called with cachesMu held. Set before use; nil means that all are unknown.
	Capacity func(target string) int
	// ReadWindow is how long after its last use a segment counts as recently read, and how
	// long a worker without requests is remembered; 0 stands for defaultReadWindow. Set
	// before use.
	ReadWindow time.Duration

	cachesMu sync.Mutex
	// caches models the cache of each worker. Guarded by cachesMu.
	caches map[string]*workerCache
	// holders lists the workers estimated to hold a segment. No list is empty. Guarded by
	// cachesMu.
	holders map[SegmentName][]string
	// lastUsed is when any worker last received a segment. Guarded by cachesMu.
	lastUsed map[SegmentName]time.Time
	// unsent are the uses not yet sent to peers, and sending is how many of them, from the
	// front, are in the heartbeat being sent. Guarded by cachesMu.
	unsent    []Use
	sending   int       // guarded by cachesMu
	lastSweep time.Time // last run of removeStale; guarded by cachesMu
}

// Use is one request sent to a worker, as the segments and tokens that it adds to the
// worker's cache.
type Use struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Salt     string
	// Segments are the segments that other requests share, in prompt order.
	Segments []UsedSegment
	// Unshared is the number of further tokens, which no other request shares.
	Unshared int
}

// UsedSegment is one segment of a Use.
type UsedSegment struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Tokens   int
}

const (
	// defaultReadWindow is the value of WorkerCaches.ReadWindow if none is set.
	defaultReadWindow = 20 * time.Second
	// staleCheckInterval is the time between removals of stale entries.
	staleCheckInterval = 5 * time.Second
	// maxUnsent bounds the uses that wait for the next heartbeat.
	maxUnsent = 200
)

// RecordUse records that a request is sent to a worker.
func (w *WorkerCaches) RecordUse(u Use, now time.Time) {
	w.cachesMu.Lock()
	defer w.cachesMu.Unlock()
	w.record(u, now)
	if len(w.unsent) < maxUnsent {
		w.unsent = append(w.unsent, u)
	}
}

// record applies a use. It is called with cachesMu held.
func (w *WorkerCaches) record(u Use, now time.Time) {
	if w.caches == nil {
		w.caches, w.holders, w.lastUsed = map[string]*workerCache{}, map[SegmentName][]string{},
			map[SegmentName]time.Time{}
	}
	c := w.caches[u.Target]
	if c == nil {
		c = &workerCache{}
		w.caches[u.Target] = c
	}
	c.lastUsed = now
	w.removeHolder(u.Target, c.renew(u.Salt))
	c.put(SegmentName{Salt: u.Salt}, u.Unshared)
	// A worker evicts the end of a prompt before its beginning.
	for _, segment := range slices.Backward(u.Segments) {
		name := SegmentName{Salt: u.Salt, ID: segment.ID}
		if c.put(name, segment.Tokens) {
			w.holders[name] = append(w.holders[name], u.Target)
		}
		w.lastUsed[name] = now
	}
	if w.Capacity != nil {
		w.removeHolder(u.Target, c.fit(w.Capacity(u.Target)))
	}
	w.removeStale(now)
}

// removeHolder records that a worker no longer holds some segments. It is called with
// cachesMu held.
func (w *WorkerCaches) removeHolder(target string, names []SegmentName) {
	for _, name := range names {
		list := slices.DeleteFunc(w.holders[name], func(t string) bool { return t == target })
		if w.holders[name] = list; len(list) == 0 {
			delete(w.holders, name)
		}
	}
}

// removeStale removes segments and workers not used within the read window. It is called
// with cachesMu held.
func (w *WorkerCaches) removeStale(now time.Time) {
	if now.Sub(w.lastSweep) < staleCheckInterval {
		return
	}
	w.lastSweep = now
	window := w.readWindow()
	for name, at := range w.lastUsed {
		if now.Sub(at) > window {
			delete(w.lastUsed, name)
		}
	}
	for target, c := range w.caches {
		if now.Sub(c.lastUsed) > window {
			w.removeHolder(target, c.clear())
			delete(w.caches, target)
		}
	}
}

// readWindow returns how long a segment counts as recently read.
func (w *WorkerCaches) readWindow() time.Duration {
	if w.ReadWindow > 0 {
		return w.ReadWindow
	}
	return defaultReadWindow
}

// Holder is a worker estimated to hold a segment.
type Holder struct {
	Target string
	// Depth is the number of tokens that the worker has used since the start of the
	// segment's last use, as a fraction of its capacity: the larger, the likelier the
	// segment has been evicted. It is 0 if the capacity is unknown.
	Depth float64
}

// Find returns the workers estimated to hold a segment, and whether any worker read it
// recently.
func (w *WorkerCaches) Find(name SegmentName, now time.Time) (holders []Holder, read bool) {
	w.cachesMu.Lock()
	defer w.cachesMu.Unlock()
	for _, target := range w.holders[name] {
		h := Holder{Target: target}
		if w.Capacity != nil {
			h.Depth = w.caches[target].depth(name, w.Capacity(target))
		}
		holders = append(holders, h)
	}
	at, ok := w.lastUsed[name]
	return holders, ok && now.Sub(at) <= w.readWindow()
}

// Collect returns the uses not yet sent to peers.
func (w *WorkerCaches) Collect(bool) any {
	w.cachesMu.Lock()
	defer w.cachesMu.Unlock()
	w.sending = len(w.unsent)
	if w.sending == 0 {
		return nil
	}
	return w.unsent
}

// Told removes the uses that the last Collect returned, once a round of heartbeats has sent
// them.
func (w *WorkerCaches) Told() {
	w.cachesMu.Lock()
	defer w.cachesMu.Unlock()
	w.unsent, w.sending = w.unsent[w.sending:], 0
}

// Receive applies the uses that a peer sent.
func (w *WorkerCaches) Receive(_ string, raw []byte) {
	var uses []Use
	if err := msgpack.Unmarshal(raw, &uses); err != nil {
		// The peer runs another version; its uses are ignored.
		return
	}
	now := time.Now()
	w.cachesMu.Lock()
	defer w.cachesMu.Unlock()
	for _, u := range uses {
		w.record(u, now)
	}
}
