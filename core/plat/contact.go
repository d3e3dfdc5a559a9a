package plat

import (
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// recordPeerContact records when the store last answered a peer.
func (w *WatchCache) recordPeerContact(at clock.Time) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	if at.After(w.peerContact) {
		w.peerContact = at
		w.wakeWaiters()
	}
}

// raiseAsOf records that the cache reflects the store as of a time. It is called with cacheMu held,
// together with the changes that prove it.
func (w *WatchCache) raiseAsOf(asOf clock.Time) {
	if asOf.After(w.cachedAsOf) {
		w.cachedAsOf = asOf
		w.wakeWaiters()
	}
}

// CachedAsOf returns the time before which all that the store acknowledged is cached, or announced. Peers
// that are sent the cache's content may rely on it.
func (w *WatchCache) CachedAsOf() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.cachedAsOf
}

// FreshAsOf returns the time before which the observers have been notified of all that the store
// acknowledged, except for unfetched values.
func (w *WatchCache) FreshAsOf() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.appliedAsOf
}

// CurrentAsOf returns the time before which the observers have been notified of all that the store
// acknowledged, unfetched values included.
func (w *WatchCache) CurrentAsOf() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	out := w.appliedAsOf
	for _, v := range w.unfetched {
		if v[0].currentAsOf.Before(out) {
			out = v[0].currentAsOf
		}
	}
	return out
}

// recordContact records that the store has answered this daemon. It is called with cacheMu held.
func (w *WatchCache) recordContact() {
	now := clock.Now()
	if gap := now.Sub(w.lastContact); !w.lastContact.IsZero() && (gap > outageAfter || w.down) {
		w.outageEnd, w.outageLength = now, gap
		w.log.Emit(event.ServiceUp, event.Ref{}, "silent for "+gap.Round(time.Millisecond).String())
	}
	w.down = false
	w.lastContact = now
	w.wakeWaiters()
}

// RecordReach records that data of the store has arrived at this daemon, whatever it was.
func (w *WatchCache) RecordReach() {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	now := clock.Now()
	if now.Sub(w.reachedAt) > outageAfter {
		w.reachedSince = now
	}
	w.reachedAt = now
}

// SteadyReachTime is how long the store must have been reachable to count as such: after an outage the changes
// made meanwhile take some time to arrive.
const SteadyReachTime = 1500 * time.Millisecond

// SteadyReach returns when data of the store last arrived at this daemon; zero if the store has become
// reachable less than SteadyReachTime before that.
func (w *WatchCache) SteadyReach() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	if w.reachedAt.Sub(w.reachedSince) < SteadyReachTime {
		return clock.Time{}
	}
	return w.reachedAt
}

// recordFailure records that a read or watch failed, which counts as an outage once the store has
// not answered for outageAfter.
func (w *WatchCache) recordFailure(err error) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	if w.down || clock.Since(w.lastContact) < outageAfter {
		return
	}
	w.down = true
	text := "no response"
	if err != nil {
		text = err.Error()
	}
	w.log.Emit(event.ServiceDown, event.Ref{}, text)
}

// peersReport reports whether peers currently forward what they receive from the store.
func (w *WatchCache) peersReport() bool {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return clock.Since(w.peerContact) < peerReportMaxAge
}

// sinceContact returns the time since the store last answered this daemon.
func (w *WatchCache) sinceContact() time.Duration {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return clock.Since(w.lastContact)
}

// Down reports whether the store is in an outage, as seen by this daemon.
func (w *WatchCache) Down() bool {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.down
}

// LastContact returns when the store last answered this daemon; zero before the first response
// and while this daemon takes changes from peers.
func (w *WatchCache) LastContact() clock.Time {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.lastContact
}

// LastOutage returns when the last outage ended, and how long it was, as seen by this daemon. One that lasts ends now:
// peers may be answered again earlier.
func (w *WatchCache) LastOutage() (clock.Time, time.Duration) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	now := clock.Now()
	if silent := now.Sub(w.lastContact); !w.lastContact.IsZero() && silent > outageAfter {
		return now, silent
	}
	return w.outageEnd, w.outageLength
}
