package entry

import (
	"time"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
)

// turned records that a run of a target turned a request away and asked for rest. An engine that
// holds a context is the first choice for it, and got every other one of 20 prompts in a rest.
func (s *Server) turned(q *request, name, run string, rest time.Duration) {
	if s.rests.RecordRejection(name, run, rest) {
		s.o.Log.Emit(event.TargetRests, q.ref(name), "asked for "+rest.String())
	}
}

// took records that a target has taken a request.
func (s *Server) took(q *request, name string) {
	if s.rests.RecordAccepted(name) {
		s.o.Log.Emit(event.TargetRested, q.ref(name), "takes requests again")
	}
}

// resting returns the targets of one purpose that may get nothing from this daemon now, and when the
// first of them may again.
func (s *Server) resting(snap *conf.Snapshot, serves func(*conf.Target) bool) (names []string, first time.Duration) {
	for name, left := range s.rests.Remaining(s.o.Home.Incarnation) {
		if t := snap.Target(name); t == nil || !serves(t) {
			continue
		}
		if names == nil || left < first {
			first = left
		}
		names = append(names, name)
	}
	return names, first
}
