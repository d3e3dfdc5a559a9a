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
	// runsMost is how many runs of targets may end under a request before it is blocked. A
	// proper request meets ends of others': with 12 workers of which one ends each second,
	// 2 in 100 requests of 0.25 s do, and 1 in 100,000 three times in a row; the users' rule
	// counts from the third as well.
	//
	// An end counts half where other runs ended together with it. On a day on which two or
	// three of 18 workers end at a time, every two seconds, two proper prompts that run for
	// seconds were blocked with all ends counted alike.
	runsMost = 3
	// whole and half are the weights of ends, and weightMost that at which a request is
	// blocked.
	whole, half = 2, 1
	weightMost  = runsMost * whole
	// suspectsMost bounds the requests under suspicion that a daemon keeps the count for:
	// some 0.5 MB. What has the fewest ends gives way, the oldest first; who wants to push
	// out another's must end as many targets.
	suspectsMost = 2048
	// suspectTime is for how long an end counts.
	suspectTime = time.Hour
)

// suspect is what is known of a request that was there when targets ended.
type suspect struct {
	// runs holds the ends, by the name of the run.
	runs map[string]counted
	last clock.Time
}

// counted is one end that counts: when it became known, and how much it weighs.
type counted struct {
	at     clock.Time
	weight int
}

// weight returns how much all ends weigh.
func (s *suspect) weight() int {
	sum := 0
	for _, c := range s.runs {
		sum += c.weight
	}
	return sum
}

// add counts the end of a run, and reports whether it is a new one.
func (s *suspect) add(run string, weight int, now clock.Time) bool {
	if c, known := s.runs[run]; known {
		c.weight = min(c.weight, weight)
		s.runs[run] = c
		return false
	}
	s.runs[run], s.last = counted{now, weight}, now
	return true
}

// keeper counts, for the requests that fall to this daemon, under how many runs of targets
// each was there when they ended.
type keeper struct {
	log *event.Log

	keeperMu sync.Mutex
	suspects map[Fingerprint]*suspect // guarded by keeperMu
}

func newKeeper(log *event.Log) *keeper {
	return &keeper{log: log, suspects: map[Fingerprint]*suspect{}}
}

// count takes one daemon's word that a run ended under a request, and returns how many have,
// and whether that makes it a request to block. A run counts once, whoever saw its end.
func (k *keeper) count(f Fingerprint, organisation, run string, weight int) (runs int, over bool) {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	now := clock.Now()
	s := k.suspects[f]
	if s == nil {
		k.makeRoom()
		s = &suspect{runs: map[string]counted{}}
		k.suspects[f] = s
	}
	for name, c := range s.runs {
		if now.Sub(c.at) > suspectTime {
			delete(s.runs, name)
		}
	}
	if s.add(run, weight, now) && len(s.runs) == runsMost-1 {
		k.log.Emit(event.RequestSuspected, event.Ref{Organisation: organisation}, "asks "+f.String()+"; ended under it: "+s.names())
	}
	return len(s.runs), s.weight() >= weightMost
}

// lower makes the end of a run count half, where others ended together with it, and reports
// whether the request is no longer one to block by that.
func (k *keeper) lower(f Fingerprint, run string) bool {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	s := k.suspects[f]
	if s == nil {
		return false
	}
	over := s.weight() >= weightMost
	s.add(run, half, clock.Now())
	return over && s.weight() < weightMost
}

// clear forgets the ends that were laid to a request.
func (k *keeper) clear(f Fingerprint) {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	delete(k.suspects, f)
}

// names returns the runs that ended under a request, for the log.
func (k *keeper) names(f Fingerprint) string {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	if s := k.suspects[f]; s != nil {
		return s.names()
	}
	return ""
}

// size returns how many requests are under suspicion here.
func (k *keeper) size() int {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	return len(k.suspects)
}

// makeRoom forgets one suspect where there are too many. It is called with keeperMu held.
func (k *keeper) makeRoom() {
	if len(k.suspects) < suspectsMost {
		return
	}
	var least Fingerprint
	var found *suspect
	for f, s := range k.suspects {
		if found == nil || len(s.runs) < len(found.runs) || (len(s.runs) == len(found.runs) && s.last.Before(found.last)) {
			least, found = f, s
		}
	}
	delete(k.suspects, least)
}

// names returns the runs that ended.
func (s *suspect) names() string {
	list := make([]string, 0, len(s.runs))
	for name := range s.runs {
		list = append(list, name)
	}
	return strconv.Itoa(len(list)) + " runs, " + strings.Join(list, " ")
}
