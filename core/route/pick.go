package route

import "embertally.dev/core/learn"

// tieMargin is the share of an answer's utility within which candidates count as equal
// and one is selected at random, so that daemons which decide on the same load reports
// do not all select the same target.
const tieMargin = 0.003

// Pick returns the index of the best candidate and its evaluation, or -1 if there are
// no candidates. Candidates whose CallerUtility is not above 0 are selected only if
// that holds for all. random is in [0, 1).
func Pick(req *PickRequest, list []Candidate, e *learn.Estimate, m *CostModel, random float64) (int, Evaluation) {
	if len(list) == 0 {
		return -1, Evaluation{}
	}
	evaluated := make([]Evaluation, len(list))
	best := 0
	for i := range list {
		evaluated[i] = Evaluate(req, &list[i], e, m)
		if better(&evaluated[i], &evaluated[best]) {
			best = i
		}
	}
	threshold := evaluated[best].NetUtility - tieMargin*m.Utility(req.Tokens)
	ties := 0
	for _, ev := range evaluated {
		if ev.NetUtility >= threshold && (ev.CallerUtility > 0 || evaluated[best].CallerUtility <= 0) {
			ties++
		}
	}
	skip := int(random * float64(ties))
	for i, ev := range evaluated {
		if ev.NetUtility < threshold || (ev.CallerUtility <= 0 && evaluated[best].CallerUtility > 0) {
			continue
		}
		if skip == 0 {
			return i, ev
		}
		skip--
	}
	return best, evaluated[best]
}

// better reports whether a is a better choice than b: a positive CallerUtility comes
// first, then the higher NetUtility.
func better(a, b *Evaluation) bool {
	if (a.CallerUtility > 0) != (b.CallerUtility > 0) {
		return a.CallerUtility > 0
	}
	return a.NetUtility > b.NetUtility
}
