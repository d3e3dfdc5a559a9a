package poison

import (
	"crypto/sha256"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/clock"
)

// Limits on what a daemon records of the parts of prompts.
const (
	// maxPartSuccesses bounds the parts recorded as answered, in each of two generations; 4,096 cover at
	// least the last 20 s of a daemon with 60 prompts of three shared parts a second.
	maxPartSuccesses = 4096
	// maxRecentPrompts is how many of the last answered prompts are recorded with their time.
	maxRecentPrompts = 128
)

// partKey names a part in the prompts of one organisation, or with organisation "" in those of all.
type partKey struct{ organisation, part string }

// partKeys calls f with the keys of all parts of a request.
func (s Sent) partKeys(f func(partKey)) {
	for _, part := range s.Parts {
		f(partKey{"", part})
		if s.Organisation != "" {
			f(partKey{s.Organisation, part})
		}
	}
}

// combination is a set of parts that crashes targets in the prompts that hold all of them.
type combination struct {
	// organisation is the one whose prompts are meant; "" means all.
	organisation string
	// parts are the IDs, sorted.
	parts []string
}

// matches reports whether a request holds all parts.
func (c *combination) matches(sent *Sent) bool {
	if len(c.parts) == 0 || (c.organisation != "" && c.organisation != sent.Organisation) {
		return false
	}
	for _, part := range c.parts {
		if !slices.Contains(sent.Parts, part) {
			return false
		}
	}
	return true
}

// text returns the parts as log lines and operators see them.
func (c *combination) text() string { return strings.Join(c.parts, ",") }

// digest identifies the combination among blocks.
func (c *combination) digest() Digest {
	h := sha256.New()
	for _, s := range append([]string{"parts", c.organisation}, c.parts...) {
		writeField(h, len(s))
		// Writing to a hash never fails.
		_, _ = io.WriteString(h, s)
	}
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0]))
}

// partSuccess is one answer to a prompt with a part.
type partSuccess struct {
	incarnation string
	at          clock.Time
}

// partHistory are the last answers to prompts with a part, the latest first. There are several since an
// incarnation that crashes takes back the answers that it has just given.
type partHistory [4]partSuccess

// successInterval is the least time between the recorded answers of one incarnation, so that they cover
// delayedCrashWindow.
const successInterval = delayedCrashWindow / time.Duration(len(partHistory{})-1)

// add records an answer.
func (h *partHistory) add(s partSuccess) {
	if h[0].incarnation == s.incarnation && s.at.Sub(h[0].at) < successInterval {
		return
	}
	copy(h[1:], h[:])
	h[0] = s
}

// withdraw removes the answers that an incarnation gave just before it crashed.
func (h *partHistory) withdraw(incarnation string, crashed clock.Time) {
	kept := partHistory{}
	n := 0
	for _, s := range h {
		if s.incarnation != incarnation || crashed.Sub(s.at) >= delayedCrashWindow {
			kept[n] = s
			n++
		}
	}
	*h = kept
}

// partSuccesses records which parts this daemon's targets recently answered prompts with. The zero value is
// ready for use.
type partSuccesses struct {
	successesMu sync.Mutex
	// current and previous are two generations. Guarded by successesMu.
	current, previous map[partKey]partHistory
	// recent are the times of the last prompts that were answered, in no order, and next is the index of
	// the oldest. Guarded by successesMu.
	recent [maxRecentPrompts]clock.Time
	next   int
}

// record records that an incarnation answered a prompt well, or has been answering it for some time.
func (s *partSuccesses) record(sent Sent, incarnation string) {
	if len(sent.Parts) == 0 {
		return
	}
	s.successesMu.Lock()
	defer s.successesMu.Unlock()
	now := clock.Now()
	if len(s.current) >= maxPartSuccesses || s.current == nil {
		s.current, s.previous = map[partKey]partHistory{}, s.current
	}
	sent.partKeys(func(k partKey) {
		history := s.find(k)
		history.add(partSuccess{incarnation, now})
		s.current[k] = history
	})
	s.recent[s.next] = now
	s.next = (s.next + 1) % len(s.recent)
}

// find returns the history of a part. It is called with successesMu held.
func (s *partSuccesses) find(k partKey) partHistory {
	if history, found := s.current[k]; found {
		return history
	}
	return s.previous[k]
}

// withdraw takes back the answers that an incarnation completed just before it crashed: one of them may have
// caused that.
func (s *partSuccesses) withdraw(incarnation string, crashed clock.Time) {
	s.successesMu.Lock()
	defer s.successesMu.Unlock()
	for _, generation := range []map[partKey]partHistory{s.current, s.previous} {
		for k, history := range generation {
			history.withdraw(incarnation, crashed)
			generation[k] = history
		}
	}
}

// last returns when prompts with a part were last answered well, if that is recorded.
func (s *partSuccesses) last(k partKey) (clock.Time, bool) {
	s.successesMu.Lock()
	defer s.successesMu.Unlock()
	at := s.find(k)[0].at
	return at, !at.IsZero()
}

// answeredSince returns how many prompts were answered well after a time, maxRecentPrompts at most.
func (s *partSuccesses) answeredSince(t clock.Time) int {
	s.successesMu.Lock()
	defer s.successesMu.Unlock()
	n := 0
	for _, at := range s.recent {
		if at.After(t) {
			n++
		}
	}
	return n
}
