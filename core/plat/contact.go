package plat

import (
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// hearVia records when the service had answered a peer.
func (m *Mirror) hearVia(heard clock.Time) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if heard.After(m.via) {
		m.via = heard
		m.wake()
	}
}

// Fresh returns when the service last answered this daemon, or a peer whose
// state this daemon has taken.
func (m *Mirror) Fresh() clock.Time {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if m.via.After(m.contact) {
		return m.via
	}
	return m.contact
}

// heard records an answer of the service.
func (m *Mirror) heard() {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	now := clock.Now()
	if gap := now.Sub(m.contact); !m.contact.IsZero() && (gap > downAfter || m.down) {
		m.regained, m.silence = now, gap
		m.log.Emit(event.ServiceUp, event.Ref{}, "silent for "+gap.Round(time.Millisecond).String())
	}
	m.down = false
	m.contact = now
	m.wake()
}

// lost records that the service broke off.
func (m *Mirror) lost(err error) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if m.down || clock.Since(m.contact) < downAfter {
		return
	}
	m.down = true
	text := "nothing was heard"
	if err != nil {
		text = err.Error()
	}
	m.log.Emit(event.ServiceDown, event.Ref{}, text)
}

// told reports whether peers tell what the service says.
func (m *Mirror) told() bool {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return clock.Since(m.via) < toldFresh
}

// since returns how long the service has been silent.
func (m *Mirror) since() time.Duration {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return clock.Since(m.contact)
}

// Down reports whether the service was found not to answer.
func (m *Mirror) Down() bool {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.down
}

// Contact returns when the service last answered; zero before the first time.
func (m *Mirror) Contact() clock.Time {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.contact
}

// Regained returns when the last outage ended, and how long it was.
func (m *Mirror) Regained() (clock.Time, time.Duration) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.regained, m.silence
}
