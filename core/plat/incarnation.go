package plat

import (
	"strconv"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// recordIncarnation is called before a snapshot is applied. For the first snapshot of a store
// incarnation it records the time, calls OnStoreIncarnation and, unless it is the first ever, logs
// that the store was restored. It is called with cacheMu held.
func (w *WatchCache) recordIncarnation(revision int64) {
	if w.revision > 0 && StoreIncarnation(revision) == StoreIncarnation(w.revision) {
		return
	}
	w.incarnationSince = clock.Now()
	if w.OnStoreIncarnation != nil {
		w.OnStoreIncarnation()
	}
	if w.revision > 0 {
		text := "store incarnation " + strconv.FormatInt(StoreIncarnation(revision), 10) + ", revision " + strconv.FormatInt(StoreRevision(revision), 10) +
			"; cached was " + strconv.FormatInt(StoreRevision(w.revision), 10) + " of store incarnation " + strconv.FormatInt(StoreIncarnation(w.revision), 10)
		w.log.Emit(event.ServiceRestored, event.Ref{}, text)
	}
}

// StoreIncarnation returns the store incarnation that the cache is of; 0 where the store has none,
// or before the first snapshot.
func (w *WatchCache) StoreIncarnation() int64 { return StoreIncarnation(w.Revision()) }

// StoreIncarnationSince returns when the first snapshot of the current store incarnation was
// applied; zero before the first snapshot.
func (w *WatchCache) StoreIncarnationSince() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.incarnationSince
}
