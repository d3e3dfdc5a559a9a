package plat

import (
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// recordPeerContact records when the store last answered a peer.
func (m *WatchCache) recordPeerContact(at clock.Time) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if at.After(m.peerContact) {
		m.peerContact = at
		m.wakeWaiters()
	}
}

// FreshAsOf returns when the store last answered this daemon or a peer that this daemon has applied
// the state of.
func (m *WatchCache) FreshAsOf() clock.Time {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if m.peerContact.After(m.lastContact) {
		return m.peerContact
	}
	return m.lastContact
}

// recordContact records a response of the store.
func (m *WatchCache) recordContact() {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	now := clock.Now()
	if gap := now.Sub(m.lastContact); !m.lastContact.IsZero() && (gap > outageAfter || m.down) {
		m.outageEnd, m.outageLength = now, gap
		m.log.Emit(event.ServiceUp, event.Ref{}, "silent for "+gap.Round(time.Millisecond).String())
	}
	m.down = false
	m.lastContact = now
	m.wakeWaiters()
}

// recordFailure records that a read or watch failed, which counts as an outage once the store
// has been silent for outageAfter.
func (m *WatchCache) recordFailure(err error) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if m.down || clock.Since(m.lastContact) < outageAfter {
		return
	}
	m.down = true
	text := "no response"
	if err != nil {
		text = err.Error()
	}
	m.log.Emit(event.ServiceDown, event.Ref{}, text)
}

// peersReport reports whether peers currently pass on what they receive from the store.
func (m *WatchCache) peersReport() bool {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return clock.Since(m.peerContact) < peerReportMaxAge
}

// silentFor returns how long the store has been silent.
func (m *WatchCache) silentFor() time.Duration {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return clock.Since(m.lastContact)
}

// Down reports whether the store is in an outage, as seen by this daemon.
func (m *WatchCache) Down() bool {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.down
}

// LastContact returns when the store last answered this daemon; zero before the first response, and
// while this daemon takes changes from peers.
func (m *WatchCache) LastContact() clock.Time {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.lastContact
}

// LastOutage returns when the last outage ended, and how long it was.
func (m *WatchCache) LastOutage() (clock.Time, time.Duration) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.outageEnd, m.outageLength
}
