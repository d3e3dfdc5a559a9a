package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Evidence is what all daemons know of the answers, by kind of request.
type Evidence map[string]Pair

// add adds what one daemon knows.
func (e Evidence) add(routes map[string]Pair) {
	for route, p := range routes {
		sum := e[route]
		sum.New.add(p.New)
		sum.Old.add(p.Old)
		e[route] = sum
	}
}

// answers returns how many answers of the new version are known.
func (e Evidence) answers() int {
	n := 0
	for _, p := range e {
		n += p.New.Answers
	}
	return n
}

// Bounds of the judgement. A version may fail on one kind of request only, so each is judged by
// itself, at the same time and under the same load as the old version.
const (
	// badDeviations is by how many standard deviations there must be more failures than the old
	// version makes, and badMore how many more beside: of a few answers one or two may fail.
	badDeviations = 3
	badMore       = 2
	// slowLeast is how many times must be known of either version.
	slowLeast = 8
	// slowFactor is how many times as long the new version must surely take; it is sure of what is
	// slowDeviations standard errors away. Bad versions take several times as long.
	slowFactor     = 1.5
	slowDeviations = 3
)

// Bad says what shows that the new version is bad, or "".
func (e Evidence) Bad() string {
	for _, route := range slices.Sorted(maps.Keys(e)) {
		p := e[route]
		if p.fails() {
			return fmt.Sprintf("%d of %d answers of %s failed, of the old version %d of %d", p.New.Bad, p.New.Answers, route, p.Old.Bad, p.Old.Answers)
		}
		if factor, slow := p.slow(); slow {
			return fmt.Sprintf("answers of %s take %.1f times as long (%d and %d times known)", route, factor, p.New.Times, p.Old.Times)
		}
	}
	return ""
}

// fails reports whether the new version surely fails more often.
func (p *Pair) fails() bool {
	usual := (float64(p.Old.Bad) + 1) / (float64(p.Old.Answers) + 2)
	if p.Old.Answers == 0 {
		usual = 0
	}
	expected := usual * float64(p.New.Answers)
	return float64(p.New.Bad) > expected+badDeviations*math.Sqrt(expected+1)+badMore
}

// slow returns how many times as long the new version takes, and whether that is surely too long.
func (p *Pair) slow() (float64, bool) {
	if p.New.Times < slowLeast || p.Old.Times < slowLeast {
		return 1, false
	}
	newMean, newError := p.New.mean()
	oldMean, oldError := p.Old.mean()
	longer := newMean - oldMean
	return math.Exp(longer), longer-slowDeviations*math.Hypot(newError, oldError) > math.Log(slowFactor)
}

// mean returns the mean of the logarithms of times, and its standard error.
func (s *Sum) mean() (mean, standardError float64) {
	n := float64(s.Times)
	mean = s.Log / n
	variance := max(0, s.Square/n-mean*mean)
	return mean, math.Sqrt(variance / n)
}

const (
	// moveShare is the part of its time after which a roll-out moves all requests: what fails later
	// or under load only is met before, and the old targets need the rest to end what they have.
	moveShare = 0.7
	// leastAnswers is how many answers of a new version are needed to trust it.
	leastAnswers = 10
	// lastShare is the part of its time at which it is decided whatever is known.
	lastShare = 0.92
)

// Course is what decides the next phase.
type Course struct {
	Phase Phase
	// Elapsed is the time since the order, Lasts the time that it gives.
	Elapsed, Lasts time.Duration
	Evidence       Evidence
	// Idle tells that no daemon has requests on their way to old targets any more, and that all
	// that were heard lately go by the phase.
	Idle bool
}

// Next returns the next phase, and why; the same phase where nothing is to be done.
func (c *Course) Next() (Phase, string) {
	if c.Phase.Over() {
		return c.Phase, ""
	}
	if bad := c.Evidence.Bad(); bad != "" {
		return RolledBack, bad
	}
	passed := c.Elapsed.Seconds() / max(c.Lasts.Seconds(), math.SmallestNonzeroFloat64)
	switch {
	case c.Phase == Trying && passed >= moveShare && c.Evidence.answers() >= leastAnswers:
		return Moving, fmt.Sprintf("%d answers are as good as those of the old version", c.Evidence.answers())
	case c.Phase == Trying && passed >= lastShare:
		return RolledBack, fmt.Sprintf("%d answers are too few to trust it", c.Evidence.answers())
	case c.Phase == Moving && c.Idle:
		return Completed, "nothing runs at old targets any more"
	case c.Phase == Moving && passed >= lastShare:
		return Completed, "its time is up"
	}
	return c.Phase, ""
}
