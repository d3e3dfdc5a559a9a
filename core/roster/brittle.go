package roster

import (
	"strconv"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// A target may state that it fails if it has to reject more than a number of requests a second for want
// of room, whichever daemons sent them. No daemon can count the rejections of the others in time, so the
// daemons divide the target's slots among themselves by rank, and none relies on the target letting
// requests wait. A daemon whose slots are taken asks others to choose for it while the target has free ones.
// The daemon that chose counts the request among its own until its end is reported, so that no slot is used
// twice.

// brittleState is the rejection limit of one incarnation of a target and this daemon's share of its
// slots. The zero value limits nothing.
type brittleState struct {
	sharedRate

	// rank is this daemon's rank among the daemons that may use the target, and daemons is their
	// number, both computed at rankedAt.
	rank, daemons int
	rankedAt      clock.Time
}

// share returns how many of a target's slots are this daemon's.
func (b *brittleState) share(slots int) int {
	share := slots / max(1, b.daemons)
	if b.rank < slots%max(1, b.daemons) {
		share++
	}
	return share
}

// RecordRejectionLimit records the rejection limit that a response of an incarnation states, or that it
// states none, as RecordLimit does for a rate limit.
func (r *Roster) RecordRejectionLimit(id string, stated RateLimit, sent clock.Time, executed bool) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	report := r.selfReports[id]
	if stated == (RateLimit{}) && (report == nil || !report.brittle.active) {
		return false
	}
	report, now := r.selfReportOf(id), clock.Now()
	if stated.Invalid != "" {
		r.logInvalid(id, report, "invalid rejection limit "+stated.Invalid)
	}
	update, found := report.brittle.observe(stated, sent, now, executed)
	return found && r.setBrittle(id, &report.brittle, update, ByResponse)
}

// setBrittle applies an update and reports whether it is a change. It is called with rosterMu held.
func (r *Roster) setBrittle(id string, state *brittleState, update RateLimitUpdate, source Source) bool {
	now := clock.Now()
	if update.Active == state.active && (!update.Active || update.PerSecond == state.perSecond) {
		return false
	}
	state.active, state.perSecond, state.seq, state.changed = update.Active, update.PerSecond, update.Seq, now
	if !state.mayLog(now) {
		return true
	}
	if update.Active {
		r.log.Emit(event.TargetBrittle, event.Ref{Target: id},
			strconv.FormatFloat(update.PerSecond, 'g', -1, 64)+" rejections a second, reported by "+string(source))
	} else {
		r.log.Emit(event.TargetNotBrittle, event.Ref{Target: id}, "reported by "+string(source))
	}
	return true
}

// brittleUpdates returns the rejection limits for other daemons. It is called with rosterMu held.
func (r *Roster) brittleUpdates() map[string]RateLimitUpdate {
	return r.sharedUpdates(func(report *selfReport) *sharedRate { return &report.brittle.sharedRate })
}

// mergeBrittle applies the updates of another daemon. It is called with rosterMu held.
func (r *Roster) mergeBrittle(updates map[string]RateLimitUpdate) {
	for id, update := range updates {
		if !r.usable(id, update) {
			continue
		}
		state := &r.selfReportOf(id).brittle
		if state.accepts(update) {
			r.setBrittle(id, state, update, ByPeer)
			state.seq = update.Seq
		}
	}
}

// brittleServices returns the services with a target that states a rejection limit. It is called with
// rosterMu held.
func (r *Roster) brittleServices() map[string]bool {
	var out map[string]bool
	for id, report := range r.selfReports {
		if t := r.find(id); report.brittle.active && t != nil {
			if out == nil {
				out = map[string]bool{}
			}
			out[t.Entry().Service] = true
		}
	}
	return out
}

// Room returns how many requests this daemon may have at a target at a time, as far as that is bounded by
// a rejection limit, and whether it is. A target that has stated nothing yet is taken to be like the
// others of its service: it may just have restarted.
func (a *Availability) Room(t *Target) (int, bool) {
	if !a.brittle[t.Entry().Service] {
		return 0, false
	}
	return a.roster.room(t), true
}

// room is Room for a target of a brittle service.
func (r *Roster) room(t *Target) int {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	state, now := &r.selfReportOf(t.id).brittle, clock.Now()
	if state.rankedAt.IsZero() || now.Sub(state.rankedAt) >= rankTTL {
		state.rank, state.daemons, state.rankedAt = 0, 1, now
		if r.Rank != nil {
			state.rank, state.daemons = r.Rank(t)
		}
	}
	return state.share(max(1, t.Entry().Slots))
}

// BrittleTargets returns the number of listed targets that state a rejection limit.
func (r *Roster) BrittleTargets() int {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	n := 0
	for id, report := range r.selfReports {
		if report.brittle.active && r.targets[id] != nil {
			n++
		}
	}
	return n
}
