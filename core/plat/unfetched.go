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

// unfetchedValue describes a value that is known to exist and was not received yet.
type unfetchedValue struct {
	// revision is the lowest mod revision that the value must have.
	revision int64
	// since is when the cached value was first found to be outdated.
	since clock.Time
}

// withoutLarge returns the change with its value removed and marked as late if it is large.
func (c Change) withoutLarge() Change {
	if !IsLarge(c.Value) {
		return c
	}
	return Change{Pair: Pair{Key: c.Key, ModRevision: c.ModRevision}, Unfetched: true}
}

// markUnfetched records that a value was not received yet. It is called with cacheMu held.
func (m *WatchCache) markUnfetched(key string, revision int64) {
	v, waiting := m.unfetched[key]
	if !waiting {
		v.since = clock.Now()
	}
	v.revision = revision
	m.unfetched[key] = v
}

// ApplyFetched applies a value that was fetched separately. It does nothing if the value is older than
// required or the key no longer waits for one.
func (m *WatchCache) ApplyFetched(p Pair) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.cacheMu.Lock()
	wanted, waiting := m.unfetched[p.Key]
	if !waiting || p.ModRevision < wanted.revision {
		m.cacheMu.Unlock()
		return
	}
	delete(m.unfetched, p.Key)
	m.pairs[p.Key] = p
	m.cacheMu.Unlock()
	m.notify([]Change{{Pair: p}})
}

// Fetch reads one key from the store. It returns false if the key does not exist.
func (m *WatchCache) Fetch(ctx context.Context, key string) (Pair, bool, error) {
	pairs, _, err := m.reader.Range(ctx, Prefix(key))
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

// HasUnfetched reports whether a value is missing that is known to exist.
func (m *WatchCache) HasUnfetched() bool {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return len(m.unfetched) > 0
}

// Unfetched returns the keys whose values were not received yet, without values; each revision is the
// lowest that the value must have.
func (m *WatchCache) Unfetched() []Pair {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	var out []Pair
	for key, v := range m.unfetched {
		out = append(out, Pair{Key: key, ModRevision: v.revision})
	}
	return out
}

// UnfetchedSince returns since when a value has been missing; zero where none is.
func (m *WatchCache) UnfetchedSince() clock.Time {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	var first clock.Time
	for _, v := range m.unfetched {
		if first.IsZero() || v.since.Before(first) {
			first = v.since
		}
	}
	return first
}
