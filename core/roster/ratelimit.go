package roster

import (
	"math"
	"strconv"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// RateLimit is the rate limit that a response of a target states. The zero value states none.
type RateLimit struct {
	// Stated means that the response states a rate.
	Stated bool
	// PerSecond is the number of requests a second from all daemons together.
	PerSecond float64
	// Invalid is an unreadable value, or "".
	Invalid string
}

// Each daemon that sends to a rate-limited target has a token bucket of one permit, which starts
// empty and fills at an equal share of the rate. The buckets of h daemons let through at most h +
// rate*window requests. h is bounded by the rate, independently of the fleet's size, so that the
// full buckets of a large fleet add up to no more than those of a small one.
const (
	// minSenders is the minimum number of daemons that send to a rate-limited target, if there are
	// as many. Each request a second adds one.
	minSenders = 4
	// minRate is the lowest rate that is applied. Without any request, this daemon would not learn
	// that the target accepts more again.
	minRate = 0.1
	// rankTTL is how long this daemon's rank among those that may use a target is cached, because
	// computing it takes a hash for each daemon.
	rankTTL = 200 * time.Millisecond
)

// senderCount returns how many of the daemons send to a target with the given rate.
func senderCount(perSecond float64, daemons int) int {
	return int(min(float64(daemons), minSenders+math.Floor(perSecond)))
}

// limitState is the rate limit of one incarnation of a target and this daemon's bucket. The zero
// value limits nothing.
type limitState struct {
	sharedRate

	// rank is this daemon's rank among the daemons that may use the target, and daemons is their
	// number, both computed at rankedAt.
	rank, daemons int
	rankedAt      clock.Time
	// sends means that this daemon sends to the target. nextPermit is when its bucket is full.
	sends      bool
	nextPermit clock.Time
}

// rate returns the applied rate in requests a second.
func (l *limitState) rate() float64 { return max(l.perSecond, minRate) }

// period returns how long this daemon's bucket takes to fill.
func (l *limitState) period() time.Duration {
	return time.Duration(float64(senderCount(l.rate(), l.daemons)) / l.rate() * float64(time.Second))
}

// set applies a rate, or with active false ends the limit, and reports whether that is a change.
func (l *limitState) set(active bool, perSecond float64, now clock.Time) bool {
	if active == l.active && (!active || perSecond == l.perSecond) {
		return false
	}
	if oldRate := l.rate(); l.active && active && now.Before(l.nextPermit) {
		// The bucket keeps its fill level.
		remaining := float64(l.nextPermit.Sub(now)) * oldRate / max(perSecond, minRate)
		l.nextPermit = now.Add(time.Duration(remaining))
	}
	if !active {
		l.sends = false
	}
	l.active, l.perSecond, l.changed = active, perSecond, now
	return true
}

// setRank applies this daemon's rank among those that may use the target.
func (l *limitState) setRank(rank, daemons int, now clock.Time) {
	l.rank, l.daemons, l.rankedAt = rank, daemons, now
	sends := rank < senderCount(l.rate(), daemons)
	if sends && !l.sends {
		// The first permits of the daemons are spread over one period.
		l.nextPermit = now.Add(time.Duration(float64(rank+1) / l.rate() * float64(time.Second)))
	}
	l.sends = sends
}

// wait returns how long this daemon must not send; 0 if it may. For a daemon that does not send to
// the target it is the mean interval between requests of the others.
func (l *limitState) wait(now clock.Time) time.Duration {
	switch {
	case !l.active:
		return 0
	case !l.sends:
		return time.Duration(float64(time.Second) / l.rate())
	}
	return max(0, l.nextPermit.Sub(now))
}

// takePermit empties the bucket.
func (l *limitState) takePermit(now clock.Time) { l.nextPermit = now.Add(l.period()) }

// text formats the rate for log lines.
func (l *limitState) text() string {
	return strconv.FormatFloat(l.perSecond, 'g', -1, 64) + " requests a second"
}

// Permit is a permit to send one request to a target. The zero value belongs to a request whose
// target had no rate limit when it was chosen.
type Permit struct {
	// Taken means that a permit was taken. Remote means that another daemon chose the target, and
	// so decided about the permit.
	Taken, Remote bool
	// seq is the limit's seq when the permit was taken here; 0 if it was taken elsewhere.
	seq uint64
}

// limitFor returns an incarnation's rate limit with this daemon's rank up to date, or nil if it has
// none. It is called with rosterMu held.
func (r *Roster) limitFor(t *Target, now clock.Time) *limitState {
	report := r.selfReports[t.id]
	if report == nil || !report.limit.active {
		return nil
	}
	l := &report.limit
	if l.rankedAt.IsZero() || now.Sub(l.rankedAt) >= rankTTL {
		rank, daemons := 0, 1
		if r.Rank != nil {
			rank, daemons = r.Rank(t)
		}
		l.setRank(rank, daemons, now)
	}
	return l
}

// Senders returns how many daemons send to a rate-limited target; 0 if it has no rate limit.
func (r *Roster) Senders(t *Target) int {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	l := r.limitFor(t, clock.Now())
	if l == nil {
		return 0
	}
	return senderCount(l.rate(), l.daemons)
}

// TakePermit takes a permit for a request to a target that was chosen here, and reports whether the
// request may be sent.
func (r *Roster) TakePermit(t *Target) (Permit, bool) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	now := clock.Now()
	l := r.limitFor(t, now)
	if l == nil {
		return Permit{}, true
	}
	if l.wait(now) > 0 {
		return Permit{}, false
	}
	l.takePermit(now)
	return Permit{Taken: true, seq: l.seq}, true
}

// ReturnPermit returns the permit of a request that was not sent.
func (r *Roster) ReturnPermit(t *Target, permit Permit) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	report := r.selfReports[t.id]
	if !permit.Taken || permit.seq == 0 || report == nil || !report.limit.active || report.limit.seq != permit.seq {
		return
	}
	report.limit.nextPermit = clock.Now()
}

// RecordLimit records the rate limit that a response of an incarnation states, or that it states
// none. sent is when the request was sent. executed means that the incarnation accepted the request
// and signed the response: any other response without a rate does not end a limit. It reports
// whether other daemons need to be notified.
func (r *Roster) RecordLimit(id string, stated RateLimit, sent clock.Time, executed bool) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	report := r.selfReports[id]
	if stated == (RateLimit{}) && (report == nil || !report.limit.active) {
		return false
	}
	report, now := r.selfReportOf(id), clock.Now()
	if stated.Invalid != "" {
		r.logInvalid(id, report, "invalid rate limit "+stated.Invalid)
	}
	update, found := report.limit.observe(stated, sent, now, executed)
	return found && r.setLimit(id, &report.limit, update, ByResponse)
}

// setLimit applies an update and reports whether it is a change. It is called with rosterMu held.
func (r *Roster) setLimit(id string, state *limitState, update RateLimitUpdate, source Source) bool {
	now, oldText := clock.Now(), state.text()
	if !state.set(update.Active, update.PerSecond, now) {
		return false
	}
	state.seq, state.rankedAt = update.Seq, clock.Time{}
	if !state.mayLog(now) {
		return true
	}
	if update.Active {
		r.log.Emit(event.TargetLimits, event.Ref{Target: id}, state.text()+", reported by "+string(source))
	} else {
		r.log.Emit(event.TargetUnlimited, event.Ref{Target: id}, "no longer "+oldText+", reported by "+string(source))
	}
	return true
}

// RateLimitUpdate is the update about an incarnation's rate limit that daemons send each other.
type RateLimitUpdate struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Active means that there is a rate limit, and PerSecond is its rate.
	Active    bool
	PerSecond float64
	// Seq orders the changes; see limitState.
	Seq uint64
}

// limitUpdates returns the rate limit updates for other daemons. It is called with rosterMu held.
func (r *Roster) limitUpdates() map[string]RateLimitUpdate {
	return r.sharedUpdates(func(report *selfReport) *sharedRate { return &report.limit.sharedRate })
}

// mergeLimits applies the updates of another daemon. It is called with rosterMu held.
func (r *Roster) mergeLimits(updates map[string]RateLimitUpdate) {
	for id, update := range updates {
		if !r.usable(id, update) {
			continue
		}
		state := &r.selfReportOf(id).limit
		if state.accepts(update) {
			r.setLimit(id, state, update, ByPeer)
			state.seq = update.Seq
		}
	}
}

// RateLimits returns the rate limits applied here to a service's targets, for another daemon that
// chooses among them.
func (r *Roster) RateLimits(service string) map[string]RateLimitUpdate {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := r.limitUpdates()
	for id, update := range out {
		t := r.find(id)
		if !update.Active || t == nil || t.Entry().Service != service {
			delete(out, id)
		}
	}
	return out
}

// MergeRateLimits applies rate limit updates of another daemon.
func (r *Roster) MergeRateLimits(updates map[string]RateLimitUpdate) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.mergeLimits(updates)
}

// RateLimitedTarget is a rate-limited target.
type RateLimitedTarget struct {
	ID        string
	PerSecond float64
	// Age is how long ago this daemon received the last change of the limit.
	Age time.Duration
	// Sends means that this daemon sends to the target.
	Sends bool
}

// RateLimitedTargets returns the listed targets that have a rate limit, in no order.
func (r *Roster) RateLimitedTargets() []RateLimitedTarget {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	var out []RateLimitedTarget
	now := clock.Now()
	for id, report := range r.selfReports {
		if report.limit.active && r.targets[id] != nil {
			out = append(out, RateLimitedTarget{
				id, report.limit.perSecond, now.Sub(report.limit.changed), report.limit.sends,
			})
		}
	}
	return out
}
