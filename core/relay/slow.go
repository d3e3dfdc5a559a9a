package relay

import (
	"sync"
	"time"
)

// Figures of slow stores.
const (
	// slowShare is the part of the aim from which a short prompt that had parts
	// copied was late because of the copies: without them it takes a sixth of
	// its aim on the users' sites.
	slowShare = 0.5
	// slowTime is how long nothing small is copied from a slow store. Links are
	// slow for five seconds and more on the users' sites.
	slowTime = 2 * time.Second
)

// slowStores remembers which stores made short prompts late, so that what is
// quickly read is not copied from them. The zero value is ready.
type slowStores struct {
	slowMu sync.Mutex
	until  map[string]time.Time // by address; guarded by slowMu
}

// is reports whether a store is taken to be slow.
func (s *slowStores) is(address string, now time.Time) bool {
	s.slowMu.Lock()
	defer s.slowMu.Unlock()
	return now.Before(s.until[address])
}

// note records that copies from some stores, where named, made an answer late.
func (s *slowStores) note(addresses []string, now time.Time) {
	s.slowMu.Lock()
	defer s.slowMu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	for _, a := range addresses {
		if a != "" {
			s.until[a] = now.Add(slowTime)
		}
	}
}

// heard looks at the time that a short prompt with copied parts took.
func (p *pass) heard(c *choice, took time.Duration) {
	if c.moving > 0 && p.small() && p.route.Aim > 0 && took > time.Duration(slowShare*float64(p.route.Aim)) {
		p.relay.slow.note(c.sending.Copy, time.Now())
	}
}

// small reports whether all shared parts are small.
func (p *pass) small() bool {
	for _, part := range p.sharedParts() {
		if part.Tokens >= copyFrom {
			return false
		}
	}
	return true
}
