package roster

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// A target that accepted no connection within the usual time is avoided for a short time, and is
// then on probation: a single request at a time probes it. The evidence is weak, since a lossy link
// loses first packets and a daemon may be slow itself. Hence the times are well below those of
// suspectTime, the number of such targets is bounded, and any response ends it at all daemons.
const (
	// slowOpenTime is how long a target is avoided after a slow connection. It doubles with each
	// probe that fails, up to maxSlowOpenTime.
	slowOpenTime    = 80 * time.Millisecond
	maxSlowOpenTime = 320 * time.Millisecond
	// probationTime is how long probation lasts without a probe, which bounds the effect of lost
	// messages, and maxProbeTime how long a probe excludes others.
	probationTime = time.Second
	maxProbeTime  = time.Second
	// probeStagger is the delay between the daemons that may probe a target, by rank: a probe takes
	// about as long, and its result arrives at the others. maxProbeRank bounds the delay.
	probeStagger = 40 * time.Millisecond
	maxProbeRank = 5
	// maxSlowShare is the largest share of a service's targets that are avoided or on probation.
	maxSlowShare = 1.0 / 3
	// evidenceTime is how long a response or a slow connection of this daemon tells whether its own
	// network works, and minResponsive how many targets must have responded per target with a slow
	// connection for the latter to be reported to other daemons.
	evidenceTime  = 2 * time.Second
	minResponsive = 2
	// evidenceMargin is how much later than a response a slow connection must be to change anything:
	// the times that peers report are inexact by the time of a message.
	evidenceMargin = 30 * time.Millisecond
	// slowReportTime is how long evidence is repeated in heartbeats, in case one is lost. It also
	// bounds the age that a peer may report.
	slowReportTime = 250 * time.Millisecond
)

// SlowStatus is how a target with a slow connection is treated.
type SlowStatus uint8

// Statuses.
const (
	// NotSlow: the target is treated like others.
	NotSlow SlowStatus = iota
	// SlowAvoided: it gets no requests.
	SlowAvoided
	// SlowProbation: a single request may probe it.
	SlowProbation
)

// slowState is what is known of slow connections to a target. The zero value is that of a target
// without any.
type slowState struct {
	// slowAt is the time of the slow connection that started the current period, slowUntil its end,
	// and count the number of consecutive ones. All are zero outside of a period.
	slowAt, slowUntil time.Time
	count             int
	// respondedAt is the time of the last response to any daemon. ownRespondedAt and ownSlowAt are
	// the times of this daemon's last response and slow connection.
	respondedAt, ownRespondedAt, ownSlowAt time.Time
	// probedAt is when this daemon's probe began; zero if there is none.
	probedAt time.Time
}

// recordSlow records a slow connection at a time, and reports whether the target is avoided from now
// on because of it. Evidence from before the last response or the end of the current period changes
// nothing.
func (s *slowState) recordSlow(at, now time.Time) bool {
	if at.Before(s.respondedAt.Add(evidenceMargin)) || at.Before(s.slowUntil) {
		return false
	}
	if !s.active(now) {
		s.count = 0
	}
	s.slowAt = at
	s.slowUntil = at.Add(min(slowOpenTime<<min(s.count, 8), maxSlowOpenTime))
	s.count++
	s.probedAt = time.Time{}
	return true
}

// recordResponse records a sign that the target responds, and reports whether it ends a period.
func (s *slowState) recordResponse(at, now time.Time) bool {
	if at.After(s.respondedAt) {
		s.respondedAt = at
	}
	if !s.active(now) || at.Before(s.slowAt) {
		return false
	}
	s.slowAt, s.slowUntil, s.probedAt, s.count = time.Time{}, time.Time{}, time.Time{}, 0
	return true
}

// active reports whether the target is avoided or on probation.
func (s *slowState) active(now time.Time) bool {
	return !s.slowUntil.IsZero() && now.Before(s.slowUntil.Add(probationTime))
}

// status returns how the target is treated by a daemon of a rank, from 0.
func (s *slowState) status(rank int, now time.Time) SlowStatus {
	switch {
	case !s.active(now):
		return NotSlow
	case now.Before(s.slowUntil.Add(time.Duration(min(rank, maxProbeRank)) * probeStagger)):
		return SlowAvoided
	case !s.probedAt.IsZero() && now.Sub(s.probedAt) < maxProbeTime:
		return SlowAvoided
	}
	return SlowProbation
}

// SlowStatus returns how the target is treated by this daemon, whose rank is that among the daemons
// that may probe the target.
func (t *Target) SlowStatus(rank int, now time.Time) SlowStatus {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return t.slow.status(rank, now)
}

// HasSlowConnections reports whether the target is avoided or on probation.
func (t *Target) HasSlowConnections(now time.Time) bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return t.slow.active(now)
}

// StartProbe makes a request the only probe of this daemon, and reports false if there is another or
// the target is avoided again.
func (t *Target) StartProbe(rank int, now time.Time) bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	switch t.slow.status(rank, now) {
	case SlowProbation:
		t.slow.probedAt = now
	case SlowAvoided:
		return false
	default:
	}
	return true
}

// EndProbe ends a probe that led to no result.
func (t *Target) EndProbe() {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.slow.probedAt = time.Time{}
}

// slowReports holds what this daemon recently observed of slow connections. The zero value is empty.
//
// Lock order: slowMu before a target's targetMu.
type slowReports struct {
	slowMu sync.Mutex
	// byID holds the reports by target. Guarded by slowMu.
	byID map[string]slowReport
}

// slowReport is one observation: a slow connection, or that the target responds.
type slowReport struct {
	at   time.Time
	slow bool
}

// set records an observation. It is called with slowMu held.
func (s *slowReports) set(id string, r slowReport) {
	if s.byID == nil {
		s.byID = map[string]slowReport{}
	}
	s.byID[id] = r
}

// RecordSlowOpen records that a connection took longer than usual to open. It reports whether other
// daemons should be notified at once.
func (r *Roster) RecordSlowOpen(t *Target, now time.Time) bool {
	list := r.ByService(t.Entry().Service)
	r.slow.slowMu.Lock()
	defer r.slow.slowMu.Unlock()
	t.setOwnSlow(now)
	if !t.recordSlow(list, now, now) || !ownNetworkWorks(list, now) {
		return false
	}
	r.slow.set(t.id, slowReport{at: now, slow: true})
	return true
}

// RecordResponsive records that a target responded to this daemon, if only by accepting a
// connection. It reports whether other daemons should be notified at once, because the target was
// avoided or on probation.
func (r *Roster) RecordResponsive(t *Target, now time.Time) bool {
	if !t.recordOwnResponse(now) {
		return false
	}
	r.slow.slowMu.Lock()
	defer r.slow.slowMu.Unlock()
	r.slow.set(t.id, slowReport{at: now})
	return true
}

// setOwnSlow records the time of this daemon's last slow connection.
func (t *Target) setOwnSlow(now time.Time) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.slow.ownSlowAt = now
}

// recordOwnResponse records a response to this daemon, and reports whether it ends a period.
func (t *Target) recordOwnResponse(now time.Time) bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.slow.ownRespondedAt = now
	return t.slow.recordResponse(now, now)
}

// recordPeerResponse records a response to a peer.
func (t *Target) recordPeerResponse(at, now time.Time) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.slow.recordResponse(at, now)
}

// recordSlow records a slow connection unless too many targets of the service, which list holds, had
// one. It reports whether the target is avoided because of it. It is called with slowMu held.
func (t *Target) recordSlow(list []*Target, at, now time.Time) bool {
	if !t.HasSlowConnections(now) {
		slow := 1
		for _, other := range list {
			if other.HasSlowConnections(now) {
				slow++
			}
		}
		if float64(slow) > maxSlowShare*float64(len(list)) {
			return false
		}
	}
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return t.slow.recordSlow(at, now)
}

// ownNetworkWorks reports whether slow connections of this daemon are likely due to the targets: far
// more targets of the service have responded to it recently.
func ownNetworkWorks(list []*Target, now time.Time) bool {
	responsive, slow := 0, 0
	for _, t := range list {
		r, s := t.ownEvidence(now)
		responsive, slow = responsive+r, slow+s
	}
	return responsive >= minResponsive*slow
}

// ownEvidence returns 1 as the first result if the target recently responded to this daemon, or else
// 1 as the second if this daemon's last connection to it was slow.
func (t *Target) ownEvidence(now time.Time) (responsive, slow int) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	switch s := &t.slow; {
	case now.Sub(s.ownSlowAt) < evidenceTime && s.ownSlowAt.After(s.ownRespondedAt):
		return 0, 1
	case now.Sub(s.ownRespondedAt) < evidenceTime:
		return 1, 0
	}
	return 0, 0
}

// SlowPart is the part of heartbeats that carries slow connections to targets.
type SlowPart struct{ *Roster }

// slowBody is the body of a SlowPart. Ages are in milliseconds.
type slowBody struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Slow holds the age of each slow connection, Responsive that of each response after one, by
	// target.
	Slow, Responsive map[string]int64
}

// Collect returns the recent observations of this daemon, or nil.
func (s SlowPart) Collect(bool) any {
	s.slow.slowMu.Lock()
	defer s.slow.slowMu.Unlock()
	now, body := time.Now(), &slowBody{}
	for id, report := range s.slow.byID {
		age := now.Sub(report.at)
		switch {
		case age > slowReportTime:
			delete(s.slow.byID, id)
		case report.slow:
			body.Slow = withAge(body.Slow, id, age)
		default:
			body.Responsive = withAge(body.Responsive, id, age)
		}
	}
	if body.Slow == nil && body.Responsive == nil {
		return nil
	}
	return body
}

// withAge adds an age to a map that may be nil.
func withAge(ages map[string]int64, id string, age time.Duration) map[string]int64 {
	if ages == nil {
		ages = map[string]int64{}
	}
	ages[id] = age.Milliseconds()
	return ages
}

// Receive applies the observations of a peer.
func (s SlowPart) Receive(_ string, raw []byte) {
	var body slowBody
	if err := msgpack.Unmarshal(raw, &body); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	for id, age := range body.Responsive {
		if t := s.Target(id); t != nil && validAge(age) {
			t.recordPeerResponse(now.Add(-time.Duration(age)*time.Millisecond), now)
		}
	}
	for id, age := range body.Slow {
		if t := s.Target(id); t != nil && validAge(age) {
			s.recordPeerSlow(t, now.Add(-time.Duration(age)*time.Millisecond), now)
		}
	}
}

// validAge reports whether an age is within the bounds of what is reported.
func validAge(millis int64) bool { return millis >= 0 && millis <= slowReportTime.Milliseconds() }

// recordPeerSlow records a slow connection of a peer.
func (r *Roster) recordPeerSlow(t *Target, at, now time.Time) {
	list := r.ByService(t.Entry().Service)
	r.slow.slowMu.Lock()
	defer r.slow.slowMu.Unlock()
	t.recordSlow(list, at, now)
}

// SlowCount returns the number of targets that are avoided or on probation for a slow connection.
func (r *Roster) SlowCount(now time.Time) int {
	count := 0
	for _, t := range r.all() {
		if t.HasSlowConnections(now) {
			count++
		}
	}
	return count
}

// all returns all listed targets.
func (r *Roster) all() []*Target {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := make([]*Target, 0, len(r.targets))
	for _, t := range r.targets {
		out = append(out, t)
	}
	return out
}

// AtAddress returns the listed targets whose entries name an address.
func (r *Roster) AtAddress(address string) []*Target {
	return slices.DeleteFunc(r.all(), func(t *Target) bool { return t.Entry().Address != address })
}
