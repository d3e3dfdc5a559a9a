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

// unfetchedValue holds the announced revisions of a value that were not applied yet, in ascending order;
// at least one.
type unfetchedValue []announcement

// announcement says that a value has changed.
type announcement struct {
	// revision is the mod revision of the new value.
	revision int64
	// since is when the change was announced to this daemon.
	since clock.Time
	// currentAsOf is the time before which the store acknowledged no newer value than the one that is
	// applied.
	currentAsOf clock.Time
}

// maxAnnouncements bounds the announcements that are kept of one value.
const maxAnnouncements = 16

// latest returns the latest revision that was announced.
func (v unfetchedValue) latest() int64 { return v[len(v)-1].revision }

// withoutLarge returns the change; if its value is large, without the value and marked as unfetched.
func (c Change) withoutLarge() Change {
	if !IsLarge(c.Value) {
		return c
	}
	return Change{Pair: Pair{Key: c.Key, ModRevision: c.ModRevision}, Unfetched: true}
}

// markUnfetched records that a value was announced, unless a later one was. It is called with cacheMu
// held, before cachedAsOf is set for the announcement.
func (w *WatchCache) markUnfetched(key string, revision int64) {
	v := w.unfetched[key]
	switch {
	case len(v) == 0:
	case revision <= v.latest():
		return
	case len(v) == maxAnnouncements:
		// The former announcement also covers the later value.
		v[len(v)-1].revision = revision
		return
	}
	w.unfetched[key] = append(v, announcement{revision: revision, since: clock.Now(), currentAsOf: w.cachedAsOf})
}

// settleUnfetched removes the announcements of a value that a change fulfils. It is called with cacheMu
// held, when the observers have been notified of the change.
func (w *WatchCache) settleUnfetched(c Change) {
	rest := w.unfetched[c.Key]
	for len(rest) > 0 && rest[0].revision <= c.ModRevision {
		rest = rest[1:]
	}
	if len(rest) == 0 {
		delete(w.unfetched, c.Key)
	} else {
		w.unfetched[c.Key] = rest
	}
}

// ApplyFetched applies a value that was fetched separately, unless the key's value is no longer unfetched
// or is as new. The value stays unfetched if a newer one has been announced meanwhile; applying this one
// makes sure that changes which follow each other quickly do not keep out all of them.
func (w *WatchCache) ApplyFetched(p Pair) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.cacheMu.Lock()
	v, pending := w.unfetched[p.Key]
	if !pending || p.ModRevision < v[0].revision {
		w.cacheMu.Unlock()
		return
	}
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
		out = append(out, Pair{Key: key, ModRevision: v.latest()})
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
		if first.IsZero() || v[0].since.Before(first) {
			first = v[0].since
		}
	}
	return first
}
