package plat

import (
	"strconv"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// noteIncarnation is called before a snapshot is applied. For the first snapshot of a store
// incarnation it records the time, calls Entered and, unless it is the very first, logs that the
// store was restored. It is called with cacheMu held.
func (m *WatchCache) noteIncarnation(revision int64) {
	if m.revision > 0 && StoreIncarnation(revision) == StoreIncarnation(m.revision) {
		return
	}
	m.incarnationSince = clock.Now()
	if m.OnStoreIncarnation != nil {
		m.OnStoreIncarnation()
	}
	if m.revision > 0 {
		text := "store incarnation " + strconv.FormatInt(StoreIncarnation(revision), 10) + ", revision " + strconv.FormatInt(StoreRevision(revision), 10) +
			"; cached was " + strconv.FormatInt(StoreRevision(m.revision), 10) + " of store incarnation " + strconv.FormatInt(StoreIncarnation(m.revision), 10)
		m.log.Emit(event.ServiceRestored, event.Ref{}, text)
	}
}

// StoreIncarnation returns the store incarnation that the cache is of; 0 where the store has none, or before
// the first snapshot.
func (m *WatchCache) StoreIncarnation() int64 { return StoreIncarnation(m.Revision()) }

// StoreIncarnationSince returns when the first snapshot of the current store incarnation was applied; zero
// before the first snapshot.
func (m *WatchCache) StoreIncarnationSince() clock.Time {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.incarnationSince
}
