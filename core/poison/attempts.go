package poison

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/clock"
)

// Bounds of what a daemon keeps of its own sends.
const (
	// lossTime is for how long a connection's end waits for the word that the run ended:
	// entries lapse after three of the users' heartbeats of 1.2 s, and word of it takes up
	// to a second more.
	lossTime = 6 * time.Second
	// tailTime is how long before the end of a run a request may have ended well and still be
	// what ended it: some faults strike as a target cleans up after an answer.
	tailTime = 150 * time.Millisecond
	// goodProof is how often in a row a request must have ended well at a run to be no reason for the
	// run's end soon after: as often as it takes ends to block one.
	goodProof = runsMost
	// goodMost bounds the requests that are remembered to have ended well, in each of two
	// generations; 2,048 are the last 35 s at least of a daemon with 60 requests a second.
	goodMost = 2048
	// endedTime is for how long a run is known to have ended.
	endedTime = time.Minute
	// togetherTime is the time within which runs that end are taken to have ended of the same
	// thing: a power supply, a rack, a change of many. Ends of runs that one request brought
	// down in turn lie as far apart as it takes to run it.
	togetherTime = 50 * time.Millisecond
)

// sent names a request that was sent, for whoever counts.
type sent struct {
	request      Fingerprint
	organisation string
}

// loss is one request that was under way at a run when its connection ended.
type loss struct {
	sent
	at clock.Time
}

// end is one end of a run, and what was there.
type end struct {
	run  string
	at   clock.Time
	sent []sent
}

// good is the last good end of a request.
type good struct {
	run string
	at  clock.Time
	sent
	// times is how often in a row it ended well at the run.
	times int
}

// sends remembers what became of this daemon's own sends: those whose connection ended, by
// run, until it is known whether the run ended, and those that ended well. The zero value is
// ready.
type sends struct {
	sendsMu sync.Mutex
	losses  map[string][]loss     // by run; guarded by sendsMu
	ended   map[string]clock.Time // runs that ended; guarded by sendsMu
	ends    []end                 // the latest ends; guarded by sendsMu
	// young and old are two generations of good ends. Guarded by sendsMu.
	young, old map[uint64]good
}

// key shortens a fingerprint where a mistake costs little.
func key(f Fingerprint) uint64 { return binary.BigEndian.Uint64(f[:]) }

// lost records that a connection ended under a request. ended tells that the run is known to
// have ended, first that it is the first loss of the run, so that it is to be found out.
func (s *sends) lost(run string, who sent) (ended, first bool) {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	now := clock.Now()
	s.forget(now)
	if _, known := s.ended[run]; known {
		return true, false
	}
	if s.losses == nil {
		s.losses = map[string][]loss{}
	}
	s.losses[run] = append(s.losses[run], loss{who, now})
	return false, len(s.losses[run]) == 1
}

// forget drops what is too old. It is called with sendsMu held.
func (s *sends) forget(now clock.Time) {
	for run, list := range s.losses {
		if now.Sub(list[len(list)-1].at) > lossTime {
			delete(s.losses, run)
		}
	}
	for run, at := range s.ended {
		if now.Sub(at) > endedTime {
			delete(s.ended, run)
		}
	}
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return now.Sub(e.at) > lossTime })
}

// answers records that a run answers, so that it has not ended: a target may refuse
// connections for a while.
func (s *sends) answers(run string) {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	delete(s.ended, run)
}

// lives reports whether a run is not known to have ended.
func (s *sends) lives(run string) bool {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	_, known := s.ended[run]
	return !known
}

// alone reports whether no other run ended together with one. Those where the request was too
// don't count: it may have ended them in turn.
func (s *sends) alone(run string, f Fingerprint) bool {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	at := slices.IndexFunc(s.ends, func(e end) bool { return e.run == run })
	if at < 0 {
		return true
	}
	for _, e := range s.ends {
		apart := e.at.Sub(s.ends[at].at).Abs()
		there := e.run == run || slices.ContainsFunc(e.sent, func(who sent) bool { return who.request == f })
		if apart < togetherTime && !there {
			return false
		}
	}
	return true
}

// end records that a run ended, and returns what was under way there or ended well just
// before. seen tells that it refused a connection, so that it ended a moment ago.
func (s *sends) end(run string, seen bool) []sent {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	now := clock.Now()
	s.forget(now)
	if _, known := s.ended[run]; known {
		return nil
	}
	if s.ended == nil {
		s.ended = map[string]clock.Time{}
	}
	s.ended[run] = now
	list := s.losses[run]
	delete(s.losses, run)
	var out []sent
	for _, l := range list {
		out = append(out, l.sent)
	}
	at := now
	switch {
	case len(list) > 0:
		at = list[0].at
		out = append(out, s.tail(run, at)...)
	case seen:
		out = s.tail(run, now)
	}
	if len(out) > 0 {
		s.ends = append(s.ends, end{run, at, out})
	}
	return out
}

// tail takes away the good ends at a run just before its own. It is called with sendsMu held.
func (s *sends) tail(run string, at clock.Time) []sent {
	var out []sent
	for _, generation := range []map[uint64]good{s.young, s.old} {
		for k, g := range generation {
			if g.run == run && at.Sub(g.at) < tailTime && g.times < goodProof {
				out = append(out, g.sent)
				delete(generation, k)
			}
		}
	}
	return out
}

// good records that a request ended well at a run.
func (s *sends) good(run string, who sent) {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	if len(s.young) >= goodMost || s.young == nil {
		s.young, s.old = map[uint64]good{}, s.young
	}
	k := key(who.request)
	last, found := s.young[k]
	if !found {
		last = s.old[k]
	}
	times := 1
	if last.run == run && last.request == who.request {
		times = min(last.times+1, goodProof)
	}
	s.young[k] = good{run: run, at: clock.Now(), sent: who, times: times}
}

// wasGood reports whether a request ended well lately, at a run that did not end just after.
func (s *sends) wasGood(f Fingerprint) bool {
	s.sendsMu.Lock()
	defer s.sendsMu.Unlock()
	for _, generation := range []map[uint64]good{s.young, s.old} {
		if g, found := generation[key(f)]; found && g.request == f {
			return true
		}
	}
	return false
}
