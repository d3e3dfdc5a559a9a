package plat

import (
	"strconv"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// enter notes the era of a whole copy. It is called with mirrorMu held.
func (m *Mirror) enter(revision int64) {
	if m.revision > 0 && Era(revision) == Era(m.revision) {
		return
	}
	m.eraSince = clock.Now()
	if m.Entered != nil {
		m.Entered()
	}
	if m.revision > 0 {
		text := "era " + strconv.FormatInt(Era(revision), 10) + ", revision " + strconv.FormatInt(Number(revision), 10) +
			"; known was " + strconv.FormatInt(Number(m.revision), 10) + " of era " + strconv.FormatInt(Era(m.revision), 10)
		m.log.Emit(event.ServiceRestored, event.Ref{}, text)
	}
}

// Era returns the era of the copy; 0 where the service has none, or before the first copy.
func (m *Mirror) Era() int64 { return Era(m.Revision()) }

// EraSince returns when the first copy of the present era was taken; zero before the first copy.
func (m *Mirror) EraSince() clock.Time {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.eraSince
}
