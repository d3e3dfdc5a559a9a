package route

import "embertally.dev/core/learn"

// nearPick is the difference, as a part of what an answer is worth, that is left
// to chance, so that daemons which decide on the same reports do not all take the
// same target.
const nearPick = 0.003

// Pick returns the index of the candidate to take and what is expected there, or
// -1 without candidates. chance is drawn from [0, 1).
func Pick(a *Asked, list []Candidate, e *learn.Estimate, p *Prices, chance float64) (int, Judgement) {
	if len(list) == 0 {
		return -1, Judgement{}
	}
	judged := make([]Judgement, len(list))
	best := 0
	for i := range list {
		judged[i] = Judge(a, &list[i], e, p)
		if better(&judged[i], &judged[best]) {
			best = i
		}
	}
	least := judged[best].Worth - nearPick*p.Worth(a.Tokens)
	near := 0
	for _, j := range judged {
		if j.Worth >= least && (j.Gain > 0 || judged[best].Gain <= 0) {
			near++
		}
	}
	at := int(chance * float64(near))
	for i, j := range judged {
		if j.Worth < least || (j.Gain <= 0 && judged[best].Gain > 0) {
			continue
		}
		if at == 0 {
			return i, j
		}
		at--
	}
	return best, judged[best]
}

// better reports whether a is the better choice than b: callers gain by it, and it
// is worth more.
func better(a, b *Judgement) bool {
	if (a.Gain > 0) != (b.Gain > 0) {
		return a.Gain > 0
	}
	return a.Worth > b.Worth
}
