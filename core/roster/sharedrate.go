package roster

import (
	"math"
	"time"

	"embertally.dev/core/clock"
)

// sharedRate is a rate that one incarnation of a target states in its responses, for all daemons
// together, as known by this daemon. The zero value means that it states none.
type sharedRate struct {
	active    bool
	perSecond float64
	// seq orders the changes of all daemons: each change gets the highest number that its daemon
	// has seen, plus 1.
	seq uint64
	// changed is when this daemon received the last change, or a peer last sent it a rate that has
	// ended. lastStated is when it last received a response that states the rate. A response to a
	// request that was sent before either of them does not supersede the rate.
	changed, lastStated clock.Time
	// lastLogged is when the last log line about the rate was written.
	lastLogged clock.Time
}

// observe returns the update that a response brings, if it brings one. sent and executed are as in
// RecordLimit.
func (s *sharedRate) observe(stated RateLimit, sent, now clock.Time, executed bool) (RateLimitUpdate, bool) {
	switch {
	case stated.Stated && s.active && stated.PerSecond > s.perSecond && sent.Before(s.changed):
		// The response may be older than the one that stated the lower rate.
	case stated.Stated:
		s.lastStated = now
		return RateLimitUpdate{Active: true, PerSecond: stated.PerSecond, Seq: s.seq + 1}, true
	case executed && stated.Invalid == "" && s.active && sent.After(s.lastStated) && sent.After(s.changed):
		return RateLimitUpdate{Seq: s.seq + 1}, true
	}
	return RateLimitUpdate{}, false
}

// accepts reports whether an update of another daemon is newer. An older one shows that the other daemon
// has missed the end of the rate.
func (s *sharedRate) accepts(update RateLimitUpdate) bool {
	switch {
	case update.Seq > s.seq:
		return true
	case update.Seq == s.seq:
		// Two daemons received two changes at the same time: the lower rate is the safer one.
		return update.Active && (!s.active || update.PerSecond < s.perSecond)
	case !s.active:
		s.changed = clock.Now()
	}
	return false
}

// limitLogInterval is the minimum time between log lines about one rate of one target.
const limitLogInterval = time.Second

// mayLog reports whether a log line about the rate may be written, and counts it.
func (s *sharedRate) mayLog(now clock.Time) bool {
	if !s.lastLogged.IsZero() && now.Sub(s.lastLogged) < limitLogInterval {
		return false
	}
	s.lastLogged = now
	return true
}

// limitEndNotifyTime is how long other daemons are notified that a rate has ended. A daemon that
// missed this keeps sending the old rate and is then notified again.
const limitEndNotifyTime = 2 * time.Second

// sharedUpdates returns the updates for other daemons about one of the rates of each target. It is
// called with rosterMu held.
func (r *Roster) sharedUpdates(rate func(*selfReport) *sharedRate) map[string]RateLimitUpdate {
	var out map[string]RateLimitUpdate
	now := clock.Now()
	for id, report := range r.selfReports {
		state := rate(report)
		if state.seq == 0 || (!state.active && now.Sub(state.changed) > limitEndNotifyTime) {
			continue
		}
		if out == nil {
			out = map[string]RateLimitUpdate{}
		}
		out[id] = RateLimitUpdate{Active: state.active, PerSecond: state.perSecond, Seq: state.seq}
	}
	return out
}

// usable reports whether another daemon's update is valid and about a known target: the first response
// of an unknown one will state its rates. It is called with rosterMu held.
func (r *Roster) usable(id string, update RateLimitUpdate) bool {
	return r.find(id) != nil && update.Seq != 0 && !math.IsNaN(update.PerSecond) && update.PerSecond >= 0
}
