package queue

import (
	"maps"
	"slices"
)

// lowRankShare is the share of the admitted work that the lower ranks get together while any of
// them waits.
const lowRankShare = 0.1

// creditBound bounds the credit of lower ranks, as a multiple of the largest first request among
// them: capacity that they could not use must not be made up for later at the expense of others.
const creditBound = 2

// maxOrganisations is the number of organisations of a rank above which those without recent work
// are removed.
const maxOrganisations = 1024

// rankState is what was admitted of one rank. Start-time fair queueing divides a rank's capacity
// among its organisations: each admission advances the organisation's virtual time by its work, and
// the organisation that is furthest behind comes first. One that had no work starts at the present
// virtual time, so that it saves up nothing.
type rankState struct {
	// virtual is the virtual start time of the request admitted last.
	virtual float64
	// finish is the virtual time at which the work of each organisation ends.
	finish map[string]float64
	// credit is the work that lower ranks may do before this one.
	credit float64
}

// rank returns the state of a rank.
func (q *Queue) rank(rank int) *rankState {
	s := q.ranks[rank]
	if s == nil {
		s = &rankState{finish: map[string]float64{}}
		q.ranks[rank] = s
	}
	return s
}

// start returns the virtual time at which the next request of an organisation starts.
func (s *rankState) start(organisation string) float64 {
	return max(s.virtual, s.finish[organisation])
}

// charge records that a request was admitted.
func (q *Queue) charge(r *Request) {
	s := q.rank(r.Rank)
	start := s.start(r.Organisation)
	s.virtual, s.finish[r.Organisation] = start, start+r.Work
	if len(s.finish) > maxOrganisations {
		maps.DeleteFunc(s.finish, func(_ string, f float64) bool { return f <= s.virtual })
	}
	q.addCredit(r.Rank, r.Work)
	for rank, higher := range q.ranks {
		if rank < r.Rank {
			higher.credit = max(0, higher.credit-r.Work)
		}
	}
}

// addCredit gives lower ranks their share of work that was admitted of a rank.
func (q *Queue) addCredit(rank int, work float64) {
	largest := 0.0
	for key, g := range q.groups {
		if key.rank > rank {
			largest = max(largest, g.first().Work)
		}
	}
	s := q.rank(rank)
	s.credit = min(s.credit+work*lowRankShare/(1-lowRankShare), creditBound*largest)
}

// pickRank returns the first of the given requests, the first ones of their ranks: that of the
// highest rank, unless lower ranks have the credit for theirs.
func (q *Queue) pickRank(firstOfRank map[int]*Request) *Request {
	var picked *Request
	// From the lowest rank up, each rank comes before what was picked of the lower ones, or not.
	for _, rank := range slices.Backward(slices.Sorted(maps.Keys(firstOfRank))) {
		if picked == nil || q.rank(rank).credit < picked.Work {
			picked = firstOfRank[rank]
		}
	}
	return picked
}
