package poison

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/clock"
)

// Limits on what a daemon records of its own attempts.
const (
	// lossWindow is how long a broken connection waits for a notice that the incarnation crashed:
	// entries lapse after three of the users' heartbeats of 1.2 s, and notice of it takes up to a
	// second more.
	lossWindow = 6 * time.Second
	// delayedCrashWindow is how long before a crash a request may have completed and still have
	// caused it: some bugs take effect as a target cleans up after a response.
	delayedCrashWindow = 150 * time.Millisecond
	// minSuccesses is how many consecutive times a request must have completed well at an
	// incarnation to be ruled out as the cause of a crash soon after: as many as the crashes that
	// block a request.
	minSuccesses = maxCrashes
	// maxSuccesses bounds the requests recorded as completed well, in each of two generations;
	// 2,048 cover at least the last 35 s of a daemon with 60 requests a second.
	maxSuccesses = 2048
	// crashedTTL is how long an incarnation is recorded as crashed.
	crashedTTL = time.Minute
	// maxLoggedParts bounds the parts of one request in a log line.
	maxLoggedParts = 16
	// simultaneousWindow is the time within which crashes are attributed to a common cause: a power
	// supply, a rack, a change of many targets. Crashes that one request causes in turn are at
	// least as far apart as the request takes to run.
	simultaneousWindow = 50 * time.Millisecond
)

// Sent describes a request that was sent to a target.
type Sent struct {
	// Request is the request digest.
	Request Digest
	// Organisation is the caller's, or "" if the service admits any caller.
	Organisation string
	// Parts are the IDs of the parts of its prompt that other requests may share, without duplicates.
	Parts []string
	// Answering states that its target had been answering it for ProofTime or longer when the connection broke.
	Answering bool
}

// String returns the text by which log lines name the request.
func (s Sent) String() string {
	text := "asks " + s.Request.String()
	if s.Organisation != "" {
		text += " of " + s.Organisation
	}
	if len(s.Parts) > 0 {
		text += " parts " + strings.Join(s.Parts[:min(len(s.Parts), maxLoggedParts)], ",")
	}
	return text
}

// connectionLoss is a request that was in flight at an incarnation when its connection broke.
type connectionLoss struct {
	Sent
	at clock.Time
}

// crash is one crash of an incarnation, with the requests that were there.
type crash struct {
	incarnation string
	at          clock.Time
	requests    []Sent
}

// success is the last time a request completed, as far as that is known.
type success struct {
	incarnation string
	at          clock.Time
	Sent
	// consecutive is how many times in a row it is known to have completed well at the incarnation; 0 if
	// nothing tells that it did.
	consecutive int
}

// attempts records the outcomes of this daemon's own attempts: broken connections by incarnation,
// until it is known whether the incarnation crashed, and attempts that completed well. The zero
// value is ready for use.
type attempts struct {
	attemptsMu    sync.Mutex
	losses        map[string][]connectionLoss // by incarnation; guarded by attemptsMu
	crashed       map[string]clock.Time       // incarnations that crashed; guarded by attemptsMu
	recentCrashes []crash                     // guarded by attemptsMu
	// current and previous are two generations of successes. Guarded by attemptsMu.
	current, previous map[uint64]success
}

// shortKey shortens a digest for uses where a collision costs little.
func shortKey(d Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }

// recordLoss records that a connection broke under a request. crashed reports that the incarnation
// is recorded as crashed, first that this is its first broken connection within lossWindow, so that
// it must be probed.
func (s *attempts) recordLoss(incarnation string, sent Sent) (crashed, first bool) {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	now := clock.Now()
	s.expire(now)
	if _, recorded := s.crashed[incarnation]; recorded {
		return true, false
	}
	if s.losses == nil {
		s.losses = map[string][]connectionLoss{}
	}
	s.losses[incarnation] = append(s.losses[incarnation], connectionLoss{sent, now})
	return false, len(s.losses[incarnation]) == 1
}

// expire drops entries that are too old. It is called with attemptsMu held.
func (s *attempts) expire(now clock.Time) {
	for incarnation, list := range s.losses {
		list = slices.DeleteFunc(list, func(l connectionLoss) bool { return now.Sub(l.at) > lossWindow })
		if s.losses[incarnation] = list; len(list) == 0 {
			delete(s.losses, incarnation)
		}
	}
	for incarnation, at := range s.crashed {
		if now.Sub(at) > crashedTTL {
			delete(s.crashed, incarnation)
		}
	}
	s.recentCrashes = slices.DeleteFunc(s.recentCrashes, func(c crash) bool { return now.Sub(c.at) > lossWindow })
}

// markResponsive records that an incarnation responds, so that it has not crashed: a target may
// reject connections for a while.
func (s *attempts) markResponsive(incarnation string) {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	delete(s.crashed, incarnation)
}

// isAlive reports whether an incarnation is not recorded as crashed.
func (s *attempts) isAlive(incarnation string) bool {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	_, recorded := s.crashed[incarnation]
	return !recorded
}

// crashedAlone reports whether no other incarnation crashed at the same time. Those that had the
// request in flight too don't count: it may have crashed them in turn.
func (s *attempts) crashedAlone(incarnation string, d Digest) bool {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	i := slices.IndexFunc(s.recentCrashes, func(c crash) bool { return c.incarnation == incarnation })
	if i < 0 {
		return true
	}
	for _, c := range s.recentCrashes {
		distance := c.at.Sub(s.recentCrashes[i].at).Abs()
		sawRequest := c.incarnation == incarnation ||
			slices.ContainsFunc(c.requests, func(sent Sent) bool { return sent.Request == d })
		if distance < simultaneousWindow && !sawRequest {
			return false
		}
	}
	return true
}

// recordCrash records that an incarnation crashed, and returns the requests that were in flight
// there or completed well just before, the time of the crash, and whether it was not recorded yet. refused
// states that it refused a connection, so that it crashed a moment ago.
func (s *attempts) recordCrash(incarnation string, refused bool) (requests []Sent, at clock.Time, first bool) {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	now := clock.Now()
	s.expire(now)
	if at, recorded := s.crashed[incarnation]; recorded {
		return nil, at, false
	}
	if s.crashed == nil {
		s.crashed = map[string]clock.Time{}
	}
	s.crashed[incarnation] = now
	list := s.losses[incarnation]
	delete(s.losses, incarnation)
	var out []Sent
	for _, l := range list {
		out = append(out, l.Sent)
	}
	at = now
	switch {
	case len(list) > 0:
		at = list[0].at
		out = append(out, s.takeRecentSuccesses(incarnation, at)...)
	case refused:
		out = s.takeRecentSuccesses(incarnation, now)
	}
	if len(out) > 0 {
		s.recentCrashes = append(s.recentCrashes, crash{incarnation, at, out})
	}
	return out, at, true
}

// takeRecentSuccesses removes and returns the requests that completed well at an incarnation just
// before it crashed. It is called with attemptsMu held.
func (s *attempts) takeRecentSuccesses(incarnation string, at clock.Time) []Sent {
	var out []Sent
	for _, generation := range []map[uint64]success{s.current, s.previous} {
		for k, last := range generation {
			if last.incarnation == incarnation && at.Sub(last.at) < delayedCrashWindow && last.consecutive < minSuccesses {
				out = append(out, last.Sent)
				delete(generation, k)
			}
		}
	}
	return out
}

// recordEnd records that a request ended at an incarnation. proven states that it completed well.
func (s *attempts) recordEnd(incarnation string, sent Sent, proven bool) {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	if len(s.current) >= maxSuccesses || s.current == nil {
		s.current, s.previous = map[uint64]success{}, s.current
	}
	k := shortKey(sent.Request)
	last, found := s.current[k]
	if !found {
		last = s.previous[k]
	}
	consecutive := 0
	if last.incarnation == incarnation && last.Request == sent.Request {
		consecutive = last.consecutive
	}
	if proven {
		consecutive = min(consecutive+1, minSuccesses)
	}
	s.current[k] = success{incarnation: incarnation, at: clock.Now(), Sent: sent, consecutive: consecutive}
}

// recentlySucceeded reports whether a request completed well at an incarnation that did not crash
// just after. If that is longer ago than any crash that counts, it says nothing about these.
func (s *attempts) recentlySucceeded(d Digest) bool {
	s.attemptsMu.Lock()
	defer s.attemptsMu.Unlock()
	now := clock.Now()
	for _, generation := range []map[uint64]success{s.current, s.previous} {
		last, found := generation[shortKey(d)]
		if found && last.Request == d && last.consecutive > 0 && now.Sub(last.at) <= crashWindow {
			return true
		}
	}
	return false
}
