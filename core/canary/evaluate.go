package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Evidence holds all daemons' statistics, by route.
type Evidence map[string]Pair

// add adds one daemon's statistics.
func (e Evidence) add(routes map[string]Pair) {
	for route, p := range routes {
		sum := e[route]
		sum.New.add(p.New)
		sum.Old.add(p.Old)
		e[route] = sum
	}
}

// answers returns the number of answers of the new version.
func (e Evidence) answers() int {
	n := 0
	for _, p := range e {
		n += p.New.Answers
	}
	return n
}

// Thresholds of the evaluation. A version may fail on one kind of request only, so each kind is
// evaluated separately, against the old version at the same time and under the same load.
const (
	// failureDeviations is how many standard deviations the failures must exceed the old version's
	// rate by, and failureMargin how many further failures are needed: one or two of a few answers
	// may fail.
	failureDeviations = 3
	failureMargin     = 2
	// minTimings is the least number of times needed of either version.
	minTimings = 8
	// slowFactor is the least factor by which a bad version is slower, at a confidence of
	// slowDeviations standard errors. Bad versions are slower by several times.
	slowFactor     = 1.5
	slowDeviations = 3
)

// FailureReason returns the evidence that the new version is bad, or "".
func (e Evidence) FailureReason() string {
	for _, route := range slices.Sorted(maps.Keys(e)) {
		p := e[route]
		if p.failsMore() {
			return fmt.Sprintf("%d of %d answers of %s failed, of the old version %d of %d", p.New.Bad, p.New.Answers, route, p.Old.Bad, p.Old.Answers)
		}
		if factor, slow := p.slower(); slow {
			return fmt.Sprintf("answers of %s take %.1f times as long (%d and %d times known)", route, factor, p.New.Times, p.Old.Times)
		}
	}
	return ""
}

// failsMore reports whether the new version fails significantly more often.
func (p *Pair) failsMore() bool {
	oldRate := (float64(p.Old.Bad) + 1) / (float64(p.Old.Answers) + 2)
	if p.Old.Answers == 0 {
		oldRate = 0
	}
	expected := oldRate * float64(p.New.Answers)
	return float64(p.New.Bad) > expected+failureDeviations*math.Sqrt(expected+1)+failureMargin
}

// slower returns the factor by which the new version is slower, and whether it is significantly too
// slow.
func (p *Pair) slower() (float64, bool) {
	if p.New.Times < minTimings || p.Old.Times < minTimings {
		return 1, false
	}
	newMean, newError := p.New.mean()
	oldMean, oldError := p.Old.mean()
	difference := newMean - oldMean
	return math.Exp(difference), difference-slowDeviations*math.Hypot(newError, oldError) > math.Log(slowFactor)
}

// mean returns the mean of the logarithms of the times, and its standard error.
func (s *Sum) mean() (mean, standardError float64) {
	n := float64(s.Times)
	mean = s.Log / n
	variance := max(0, s.Square/n-mean*mean)
	return mean, math.Sqrt(variance / n)
}

const (
	// moveAfter is the share of its time after which a rollout moves all requests. Faults that show
	// late or only under load occur before then, and the old targets need the remaining time to
	// finish their requests.
	moveAfter = 0.7
	// minAnswers is the number of answers needed to trust a new version.
	minAnswers = 10
	// decideAfter is the share of its time at which a rollout is decided on the evidence available.
	decideAfter = 0.92
)

// Rollout holds the inputs to the choice of the next phase.
type Rollout struct {
	Phase Phase
	// Elapsed is the time since the order, and Duration the time that the order allows.
	Elapsed, Duration time.Duration
	Evidence          Evidence
	// OldIdle reports that no daemon has requests in flight on old targets, and that all daemons
	// that have reported apply the phase.
	OldIdle bool
}

// Next returns the next phase and the reason; the same phase if nothing is to be done.
func (r *Rollout) Next() (Phase, string) {
	if r.Phase.Decided() {
		return r.Phase, ""
	}
	if bad := r.Evidence.FailureReason(); bad != "" {
		return RolledBack, bad
	}
	elapsedShare := r.Elapsed.Seconds() / max(r.Duration.Seconds(), math.SmallestNonzeroFloat64)
	switch {
	case r.Phase == Trying && elapsedShare >= moveAfter && r.Evidence.answers() >= minAnswers:
		return Moving, fmt.Sprintf("%d answers are as good as those of the old version", r.Evidence.answers())
	case r.Phase == Trying && elapsedShare >= decideAfter:
		return RolledBack, fmt.Sprintf("%d answers are too few to trust it", r.Evidence.answers())
	case r.Phase == Moving && r.OldIdle:
		return Completed, "nothing runs at old targets any more"
	case r.Phase == Moving && elapsedShare >= decideAfter:
		return Completed, "its time is up"
	}
	return r.Phase, ""
}
