package plat

import (
	"context"

	"embertally.dev/core/clock"
)

// largeValue is the size in bytes from which a value is sent to peers separately, so that
// smaller values never wait behind larger ones. On a link of 10 Mbit/s, the slowest of the
// users' boxes, a value of this size takes 26 ms and the largest that the users' store allows
// 840 ms, and a daemon sends to up to 19 others. Entries of targets have some 200 bytes,
// configurations 5 KB to 1 MB, most of them less than largeValue.
const largeValue = 32 << 10

// IsLarge reports whether a value is sent to peers separately.
func IsLarge(value []byte) bool { return len(value) >= largeValue }

// unfetchedValue describes a changed value that was not received yet.
type unfetchedValue struct {
	// revision is the lowest mod revision that the value must have.
	revision int64
	// since is when the cached value was first found to be outdated.
	since clock.Time
}

// withoutLarge returns the change; if its value is large, without the value and marked as unfetched.
func (c Change) withoutLarge() Change {
	if !IsLarge(c.Value) {
		return c
	}
	return Change{Pair: Pair{Key: c.Key, ModRevision: c.ModRevision}, Unfetched: true}
}

// markUnfetched records that a value was not received yet. It is called with cacheMu held.
func (w *WatchCache) markUnfetched(key string, revision int64) {
	v, pending := w.unfetched[key]
	if !pending {
		v.since = clock.Now()
	}
	v.revision = revision
	w.unfetched[key] = v
}

// ApplyFetched applies a value that was fetched separately. It does nothing if the value is older
// than required or the key's value is no longer unfetched.
func (w *WatchCache) ApplyFetched(p Pair) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.cacheMu.Lock()
	wanted, pending := w.unfetched[p.Key]
	if !pending || p.ModRevision < wanted.revision {
		w.cacheMu.Unlock()
		return
	}
	delete(w.unfetched, p.Key)
	w.pairs[p.Key] = p
	w.cacheMu.Unlock()
	w.notify([]Change{{Pair: p}})
}

// Fetch reads one key from the store. It returns false if the key does not exist.
func (w *WatchCache) Fetch(ctx context.Context, key string) (Pair, bool, error) {
	pairs, _, err := w.reader.Range(ctx, Prefix(key))
	if err != nil {
		return Pair{}, false, err
	}
	for _, p := range pairs {
		if p.Key == key {
			return p, true, nil
		}
	}
	return Pair{}, false, nil
}

// HasUnfetched reports whether any changed value was not received yet.
func (w *WatchCache) HasUnfetched() bool {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return len(w.unfetched) > 0
}

// Unfetched returns the keys whose values were not received yet, without values; each revision is
// the lowest that the value must have.
func (w *WatchCache) Unfetched() []Pair {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	var out []Pair
	for key, v := range w.unfetched {
		out = append(out, Pair{Key: key, ModRevision: v.revision})
	}
	return out
}

// UnfetchedSince returns since when a cached value has been outdated because the new one was not
// received yet; zero if there is none.
func (w *WatchCache) UnfetchedSince() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	var first clock.Time
	for _, v := range w.unfetched {
		if first.IsZero() || v.since.Before(first) {
			first = v.since
		}
	}
	return first
}
