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
	runsMost = 3
	// suspectsMost bounds the requests under suspicion that a daemon keeps the count for:
	// some 0.5 MB. What has the fewest ends gives way, the oldest first; who wants to push
	// out another's must end as many targets.
	suspectsMost = 2048
	// suspectTime is for how long an end counts.
	suspectTime = time.Hour
)

// suspect is what is known of a request that was there when targets ended.
type suspect struct {
	// runs holds when each of the ends became known, by the name of the run.
	runs map[string]clock.Time
	last clock.Time
}

// keeper counts, for the requests that fall to this daemon, under how many runs of targets
// each was there when they ended.
type keeper struct {
	log    *event.Log
	blocks *blocks

	keeperMu sync.Mutex
	suspects map[Fingerprint]*suspect // guarded by keeperMu
}

func newKeeper(log *event.Log, b *blocks) *keeper {
	return &keeper{log: log, blocks: b, suspects: map[Fingerprint]*suspect{}}
}

// count takes one daemon's word that a run ended under a request, and returns how many have,
// and whether that makes it a request to block. A run counts once, whoever saw its end.
func (k *keeper) count(f Fingerprint, organisation, run string) (runs int, over bool) {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	now := clock.Now()
	s := k.suspects[f]
	if s == nil {
		k.makeRoom()
		s = &suspect{runs: map[string]clock.Time{}}
		k.suspects[f] = s
	}
	for name, at := range s.runs {
		if now.Sub(at) > suspectTime {
			delete(s.runs, name)
		}
	}
	if _, known := s.runs[run]; !known {
		s.runs[run], s.last = now, now
	}
	if len(s.runs) == runsMost-1 {
		k.log.Emit(event.RequestSuspected, event.Ref{Organisation: organisation}, "asks "+f.String()+"; ended under it: "+s.names())
	}
	return len(s.runs), len(s.runs) >= runsMost
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
