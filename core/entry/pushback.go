package entry

import (
	"time"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
)

// recordPushback records that an incarnation of a target rejected a request with Retry-After. Without
// the record, the engine that has a context cached would stay the first choice for it: one under
// pushback got every other one of 20 prompts.
func (s *Server) recordPushback(q *request, name, incarnation string, pushback time.Duration) {
	if s.pushbacks.RecordRejection(name, incarnation, pushback) {
		s.o.Log.Emit(event.TargetRests, q.ref(name), "under pushback for "+pushback.String())
	}
}

// recordAccepted records that a target accepted a request.
func (s *Server) recordAccepted(q *request, name string) {
	if s.pushbacks.RecordAccepted(name) {
		s.o.Log.Emit(event.TargetRested, q.ref(name), "accepts requests after a pushback")
	}
}

// underPushback returns the targets selected by serves that may get no attempt from this daemon now,
// and the time until the first of these may.
func (s *Server) underPushback(snap *conf.Snapshot, serves func(*conf.Target) bool) (names []string, soonest time.Duration) {
	for name, remaining := range s.pushbacks.Remaining(s.o.ContextOwner.Incarnation) {
		if t := snap.Target(name); t == nil || !serves(t) {
			continue
		}
		if names == nil || remaining < soonest {
			soonest = remaining
		}
		names = append(names, name)
	}
	return names, soonest
}
