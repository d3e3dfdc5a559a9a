package poison

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/clock"
)

// Evidence that blocks a combination of parts.
const (
	// minPartCrashes is the number of crashes, without a success in between, at which a combination is
	// blocked if it explains all of them and no other one does. Each crash that it does not explain raises the
	// number: a prompt may be where targets crash by chance. If several combinations explain as many, the next
	// crashes are waited for. certainPartCrashes, which is one less than the users allow however slowly they
	// come, is the highest number; there the combination that the fewest prompts held is blocked, since it is
	// the least likely to have been there by chance.
	minPartCrashes     = 4
	certainPartCrashes = 7
	// unexplainedWindow is how long before the first crash under a part others count as not explained by it.
	unexplainedWindow = time.Minute
	// minPartRequests is the least number of different requests among those that held a part. One request
	// that is repeated is blocked by its own digest.
	minPartRequests = 2
	// minOtherSuccesses is the least number of prompts that were answered well since the first of the
	// crashes. With fewer the targets may crash of something that all prompts have in common.
	minOtherSuccesses = 3
	// outagePartCrashes is the number of crashes at which a combination is blocked while more prompts are lost
	// than answered: a part may have had no chance to be answered. Crashes then follow each other so fast that
	// there are as many within the time that the users allow.
	outagePartCrashes = 10
)

// Limits on the crashes that a tracker records.
const (
	maxPartCrashRecords  = 64
	maxRequestsPerCrash  = 128
	maxReportedParts     = 32
	maxPartsInQuestion   = 64
	partCrashRecordsTime = crashWindow
)

// partCrash is one crash of an incarnation, with the prompts that were there without having got an answer.
type partCrash struct {
	incarnation string
	at          clock.Time
	requests    []Sent
	// cause is the blocked combination that was in one of the requests; nil if there was none.
	cause *combination
}

// in reports whether a request holds the part.
func (k partKey) in(sent *Sent) bool {
	return (k.organisation == "" || k.organisation == sent.Organisation) && slices.Contains(sent.Parts, k.part)
}

// partTracker finds out from all crashes of the fleet which parts of prompts the crashed targets have in
// common. A part that all of them had at hand and that was answered nowhere meanwhile is at fault. Parts that
// only came together with it can't be told from it, so that the combination is blocked, and prompts that hold
// only some of it are served. A crash that a combination explains is no evidence against other parts.
type partTracker struct {
	partsMu sync.Mutex
	// crashes are ordered by time. Guarded by partsMu.
	crashes []partCrash
	// successes holds when prompts with a part were last answered well anywhere, as far as daemons have
	// reported it. Guarded by partsMu.
	successes map[partKey]clock.Time
	// evaluating is set while an evaluator runs, and again if there is news for it. Guarded by partsMu.
	evaluating, again bool
}

// add records a daemon's report of a crash, and what it told about successes. A crash that several daemons
// report is one.
func (t *partTracker) add(incarnation string, at clock.Time, requests []Sent, cause *combination) {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	now := clock.Now()
	t.crashes = slices.DeleteFunc(t.crashes, func(c partCrash) bool { return now.Sub(c.at) > partCrashRecordsTime })
	i := slices.IndexFunc(t.crashes, func(c partCrash) bool { return c.incarnation == incarnation })
	if i < 0 {
		if len(t.crashes) >= maxPartCrashRecords {
			t.crashes = slices.Delete(t.crashes, 0, 1)
		}
		i, _ = slices.BinarySearchFunc(t.crashes, at, func(c partCrash, at clock.Time) int { return cmp.Compare(c.at.Sub(at), 0) })
		t.crashes = slices.Insert(t.crashes, i, partCrash{incarnation: incarnation, at: at})
	}
	c := &t.crashes[i]
	for _, sent := range requests {
		if len(c.requests) < maxRequestsPerCrash {
			c.requests = append(c.requests, sent)
		}
	}
	if cause != nil {
		c.cause = cause
	}
}

// addSuccess records that a daemon has seen prompts with a part answered well.
func (t *partTracker) addSuccess(k partKey, at clock.Time) {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	if t.successes == nil {
		t.successes = map[partKey]clock.Time{}
	}
	if at.After(t.successes[k]) {
		t.successes[k] = at
	}
}

// partSuspect is a part with enough crashes to be at fault.
type partSuspect struct {
	partKey
	// crashes is the number of crashes since the last success, simultaneous ones counted once, and first
	// the time of the first.
	crashes int
	first   clock.Time
	// prompts is the number of different prompts that held the part.
	prompts int
	// unexplained is the number of crashes about that time without the part.
	unexplained int
}

// tally counts the crashes that count against one part.
type tally struct {
	partSuspect
	// hits are the indices of the crashes, and group is the time of the first one that the last coincided with.
	hits  []int
	group clock.Time
	// requests are those that held the part.
	requests map[Digest]bool
	// news is set if one of the crashes is not explained by a block.
	news bool
}

// add counts the crash with an index, under a request that holds the part.
func (y *tally) add(i int, at clock.Time, request Digest) {
	y.requests[request] = true
	y.prompts = len(y.requests)
	n := len(y.hits)
	if n > 0 && y.hits[n-1] == i {
		return
	}
	y.hits = append(y.hits, i)
	if n > 0 && at.Sub(y.group) < simultaneousWindow {
		return
	}
	y.group = at
	if y.crashes++; y.crashes == 1 {
		y.first = at
	}
}

// suspects returns the parts with enough crashes, those with the most first, and among equals those that the
// fewest prompts held.
func (t *partTracker) suspects() []partSuspect {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	tallies := map[partKey]*tally{}
	for i := range t.crashes {
		c := &t.crashes[i]
		for j := range c.requests {
			c.requests[j].partKeys(func(k partKey) {
				if !t.counts(c, k) {
					return
				}
				if tallies[k] == nil {
					tallies[k] = &tally{partSuspect: partSuspect{partKey: k}, requests: map[Digest]bool{}}
				}
				tallies[k].add(i, c.at, c.requests[j].Request)
				tallies[k].news = tallies[k].news || c.cause == nil
			})
		}
	}
	var out []partSuspect
	for _, y := range tallies {
		if y.news && y.prompts >= minPartRequests && y.crashes >= minPartCrashes && t.suspected(y) {
			out = append(out, y.partSuspect)
		}
	}
	slices.SortFunc(out, func(a, b partSuspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.prompts, b.prompts), cmp.Compare(a.part, b.part), cmp.Compare(a.organisation, b.organisation))
	})
	return out
}

// suspected reports whether a part explains enough crashes for the number of those that it does not explain. It is
// called with partsMu held.
func (t *partTracker) suspected(y *tally) bool {
	y.unexplained = 0
	for i := range t.crashes {
		c := &t.crashes[i]
		near := func(hit int) bool { return c.at.Sub(t.crashes[hit].at).Abs() < simultaneousWindow }
		if c.cause == nil && y.first.Sub(c.at) < unexplainedWindow && !slices.ContainsFunc(y.hits, near) {
			y.unexplained++
		}
	}
	return y.unexplained <= y.crashes && y.crashes >= min(minPartCrashes+y.unexplained, certainPartCrashes)
}

// counts reports whether a crash is evidence against a part that was there. It is called with partsMu held.
func (t *partTracker) counts(c *partCrash, k partKey) bool {
	return (c.cause == nil || slices.Contains(c.cause.parts, k.part)) && c.at.After(t.successes[k])
}

// combine returns a suspect with the parts that came in all of the same requests and were answered nowhere
// since.
func (t *partTracker) combine(s *partSuspect) combination {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	var parts []string
	for i := range t.crashes {
		c := &t.crashes[i]
		if !t.counts(c, s.partKey) {
			continue
		}
		for _, sent := range c.requests {
			switch {
			case !s.in(&sent):
			case parts == nil:
				parts = slices.Clone(sent.Parts)
			default:
				parts = slices.DeleteFunc(parts, func(part string) bool { return !slices.Contains(sent.Parts, part) })
			}
		}
	}
	parts = slices.DeleteFunc(parts, func(part string) bool {
		return part != s.part && t.successes[partKey{s.organisation, part}].After(s.first)
	})
	slices.Sort(parts)
	return combination{s.organisation, parts}
}

// lostSince returns the number of prompts that crashes without a known cause have cost since a time.
func (t *partTracker) lostSince(first clock.Time) int {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	n := 0
	for i := range t.crashes {
		if c := &t.crashes[i]; c.cause == nil && !c.at.Before(first) {
			n += len(c.requests)
		}
	}
	return n
}

// findCause returns the combination to block, if there is one. answered is the number of prompts that were answered
// well since the first crash under a suspect.
func (t *partTracker) findCause(answered int) (*combination, bool) {
	suspects := t.suspects()
	if len(suspects) == 0 || answered < minOtherSuccesses {
		return nil, false
	}
	first := &suspects[0]
	if answered < t.lostSince(first.first) && (first.crashes < outagePartCrashes || 2*first.unexplained > first.crashes) {
		return nil, false
	}
	var out []combination
	for i := range suspects {
		if suspects[i].crashes == suspects[0].crashes {
			out = append(out, t.combine(&suspects[i]))
		}
	}
	out = narrowest(out)
	if len(out) > 1 && suspects[0].crashes < certainPartCrashes {
		return nil, false
	}
	return &out[0], true
}

// narrowest drops the combinations that match all requests that another one matches.
func narrowest(list []combination) []combination {
	var out []combination
	for i := range list {
		wider := func(j int) bool {
			if i == j || (list[i].organisation != "" && list[i].organisation != list[j].organisation) {
				return false
			}
			for _, part := range list[i].parts {
				if !slices.Contains(list[j].parts, part) {
					return false
				}
			}
			same := list[i].organisation == list[j].organisation && len(list[i].parts) == len(list[j].parts)
			return !same || i > j
		}
		drop := false
		for j := range list {
			drop = drop || wider(j)
		}
		if !drop {
			out = append(out, list[i])
		}
	}
	return out
}

// crashedUnder returns the names of the incarnations that crashed under a combination, for the log.
func (t *partTracker) crashedUnder(c *combination) string {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	var names []string
	for i := range t.crashes {
		if slices.ContainsFunc(t.crashes[i].requests, func(sent Sent) bool { return c.matches(&sent) }) {
			names = append(names, t.crashes[i].incarnation)
		}
	}
	return strconv.Itoa(len(names)) + " incarnations, " + strings.Join(names, " ")
}

// explain makes the crashes that a combination explains no evidence against other parts.
func (t *partTracker) explain(by combination) {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	for i := range t.crashes {
		c := &t.crashes[i]
		if slices.ContainsFunc(c.requests, func(sent Sent) bool { return by.matches(&sent) }) {
			c.cause = &by
		}
	}
}

// forget removes the crashes that a combination explains.
func (t *partTracker) forget(d Digest) {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	t.crashes = slices.DeleteFunc(t.crashes, func(c partCrash) bool { return c.cause != nil && c.cause.digest() == d })
}

// begin reports whether an evaluator is to run: there may be suspects, and none runs yet.
func (t *partTracker) begin() bool {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	if len(t.crashes) < minPartCrashes {
		return false
	}
	if t.evaluating {
		t.again = true
		return false
	}
	t.evaluating = true
	return true
}

// end ends an evaluation, and reports whether there has been news meanwhile, so that it must be repeated.
func (t *partTracker) end() (again bool) {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	again = t.again
	t.evaluating, t.again = again, false
	return again
}

// prune drops successes of parts that no recorded crash has.
func (t *partTracker) prune() {
	t.partsMu.Lock()
	defer t.partsMu.Unlock()
	kept := map[partKey]clock.Time{}
	for i := range t.crashes {
		for _, sent := range t.crashes[i].requests {
			sent.partKeys(func(k partKey) {
				if at, found := t.successes[k]; found {
					kept[k] = at
				}
			})
		}
	}
	t.successes = kept
}

// age returns how long ago a time is, for other daemons.
func age(at clock.Time) time.Duration { return max(0, clock.Since(at)) }
