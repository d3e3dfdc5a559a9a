package poison

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

const (
	// maxCrashes is the number of crashes at which a request is blocked. Harmless requests meet
	// crashes that others cause: with 12 workers of which one crashes each second, 2 in 100
	// requests of 0.25 s do, and 1 in 100,000 three times in a row. The users' rule counts from the
	// third as well.
	//
	// A crash counts half if other incarnations crashed at the same time. With all crashes weighted
	// alike, two harmless prompts that take seconds were blocked on a day on which two or three of
	// 18 workers crashed together every two seconds.
	maxCrashes = 3
	// fullWeight and halfWeight are the weights of crashes; a request is blocked at blockWeight.
	fullWeight, halfWeight = 2, 1
	blockWeight            = maxCrashes * fullWeight
	// maxSuspects bounds the suspected requests that a daemon counts crashes for, some 0.5 MB. The
	// one with the fewest crashes is evicted first, the oldest among equals, so that evicting
	// another organisation's suspect takes crashing as many targets.
	maxSuspects = 2048
	// crashWindow is how long a crash counts.
	crashWindow = time.Hour
)

// suspect is a request that was in flight when targets crashed.
type suspect struct {
	// crashes holds the crashes, by incarnation.
	crashes   map[string]countedCrash
	lastCrash clock.Time
}

// countedCrash is a crash that counts: when it was recorded, and its weight.
type countedCrash struct {
	at     clock.Time
	weight int
}

// weight returns the sum of the weights of all crashes.
func (s *suspect) weight() int {
	sum := 0
	for _, c := range s.crashes {
		sum += c.weight
	}
	return sum
}

// add counts the crash of an incarnation, and reports whether it is a new one.
func (s *suspect) add(incarnation string, weight int, now clock.Time) bool {
	if c, found := s.crashes[incarnation]; found {
		c.weight = min(c.weight, weight)
		s.crashes[incarnation] = c
		return false
	}
	s.crashes[incarnation], s.lastCrash = countedCrash{now, weight}, now
	return true
}

// crashTracker counts the incarnations of targets that crashed under each request assigned to this
// daemon.
type crashTracker struct {
	log *event.Log

	trackerMu sync.Mutex
	suspects  map[Digest]*suspect // guarded by trackerMu
}

func newCrashTracker(log *event.Log) *crashTracker {
	return &crashTracker{log: log, suspects: map[Digest]*suspect{}}
}

// countCrash records one daemon's report that an incarnation crashed under a request. It returns
// the number of crashes, and whether the request is to be blocked. An incarnation counts once,
// whichever daemons report it.
func (t *crashTracker) countCrash(d Digest, organisation, incarnation string, weight int) (crashes int, mustBlock bool) {
	t.trackerMu.Lock()
	defer t.trackerMu.Unlock()
	now := clock.Now()
	s := t.suspects[d]
	if s == nil {
		t.evictOne()
		s = &suspect{crashes: map[string]countedCrash{}}
		t.suspects[d] = s
	}
	for name, c := range s.crashes {
		if now.Sub(c.at) > crashWindow {
			delete(s.crashes, name)
		}
	}
	if s.add(incarnation, weight, now) && len(s.crashes) == maxCrashes-1 {
		t.log.Emit(event.RequestSuspected, event.Ref{Organisation: organisation},
			"asks "+d.String()+"; crashed under it: "+s.names())
	}
	return len(s.crashes), s.weight() >= blockWeight
}

// halveCrash makes a crash that coincided with others count half, and reports whether the request
// thereby falls below the weight for a block.
func (t *crashTracker) halveCrash(d Digest, incarnation string) bool {
	t.trackerMu.Lock()
	defer t.trackerMu.Unlock()
	s := t.suspects[d]
	if s == nil {
		return false
	}
	mustBlock := s.weight() >= blockWeight
	s.add(incarnation, halfWeight, clock.Now())
	return mustBlock && s.weight() < blockWeight
}

// forget removes the crashes attributed to a request.
func (t *crashTracker) forget(d Digest) {
	t.trackerMu.Lock()
	defer t.trackerMu.Unlock()
	delete(t.suspects, d)
}

// names returns the incarnations that crashed under a request, for the log.
func (t *crashTracker) names(d Digest) string {
	t.trackerMu.Lock()
	defer t.trackerMu.Unlock()
	if s := t.suspects[d]; s != nil {
		return s.names()
	}
	return ""
}

// size returns the number of suspected requests.
func (t *crashTracker) size() int {
	t.trackerMu.Lock()
	defer t.trackerMu.Unlock()
	return len(t.suspects)
}

// evictOne evicts one suspect if there are too many. It is called with trackerMu held.
func (t *crashTracker) evictOne() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var digest Digest
	var found *suspect
	for d, s := range t.suspects {
		if found == nil || len(s.crashes) < len(found.crashes) || (len(s.crashes) == len(found.crashes) && s.lastCrash.Before(found.lastCrash)) {
			digest, found = d, s
		}
	}
	delete(t.suspects, digest)
}

// names returns the number and names of the incarnations that crashed.
func (s *suspect) names() string {
	list := make([]string, 0, len(s.crashes))
	for name := range s.crashes {
		list = append(list, name)
	}
	return strconv.Itoa(len(list)) + " incarnations, " + strings.Join(list, " ")
}
