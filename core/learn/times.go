package learn

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/caio/go-tdigest/v4"
	"gonum.org/v1/gonum/mat"
)

// Factors is what the time to a first answer depends on. The zero value is an
// idle target that is asked for nothing but its fixed time.
type Factors struct {
	// Own is how many prompt tokens of the request itself are read.
	Own int
	// Before is how many tokens of others are read first.
	Before int
	// Beside is how many requests run at the target, over those that it runs at a
	// time; at most 1.
	Beside float64
	// Waiting is how many requests wait for a place, over those that run at a
	// time.
	Waiting float64
	// Crowd is how likely the target's memory is to be full when it is the
	// request's turn, 0 to 1; above 1 the requests there do not fit.
	Crowd float64
}

// factors is how many coefficients a time has: the fixed time and one for each
// field of Factors.
const factors = 6

// perThousand makes coefficients of tokens of about the size of the others.
const perThousand = 1000

// vector returns the factors as the coefficients multiply them.
func (f Factors) vector() [factors]float64 {
	return [factors]float64{
		1, float64(f.Own) / perThousand, float64(f.Before) / perThousand, f.Beside, f.Waiting, f.Crowd,
	}
}

// Prior is what is expected of a time before anything was observed, and how many
// observations it counts for.
type Prior struct {
	Fixed time.Duration
	// Own and Before are the times of a thousand tokens.
	Own, Before time.Duration
	// Beside is what a target that runs all it can adds, and Waiting what as many
	// waiting requests again do.
	Beside, Waiting time.Duration
	// Crowd is how long a request waits for memory where there is none.
	Crowd time.Duration
	// Spread is the standard deviation of the logarithm of observed over expected
	// times.
	Spread float64
	// Weight is how many observations the prior counts for.
	Weight float64
}

// vector returns the coefficients that the prior expects, in seconds.
func (p *Prior) vector() [factors]float64 {
	return [factors]float64{
		p.Fixed.Seconds(), p.Own.Seconds(), p.Before.Seconds(), p.Beside.Seconds(), p.Waiting.Seconds(), p.Crowd.Seconds(),
	}
}

// usual is how large each factor commonly is: it says how firmly a prior holds its
// coefficient.
var usual = [factors]float64{1, 3, 3, 0.3, 0.3, 0.3}

// Estimate is what is known of the times to first answers of one kind of request.
// It never changes.
type Estimate struct {
	coefficients [factors]float64
	// ratios are quantiles of observed over expected times, at even steps from 0
	// to 1; they do not fall.
	ratios [ratioSteps + 1]float64
	count  float64
}

// ratioSteps is the resolution of an estimate's distribution.
const ratioSteps = 64

// Time returns the expected time.
func (e *Estimate) Time(f Factors) time.Duration {
	x := f.vector()
	sum := 0.0
	for i, c := range e.coefficients {
		sum += c * x[i]
	}
	return max(seconds(sum), shortest)
}

// Parts returns the expected time in two parts: what goes by before the request's
// own turn, and the rest.
func (e *Estimate) Parts(f Factors) (before, own time.Duration) {
	own = e.Time(Factors{Own: f.Own, Beside: f.Beside})
	return e.Time(f) - own, own
}

// Chance returns how likely a time is at most ratio times that expected.
func (e *Estimate) Chance(ratio float64) float64 {
	i, found := slices.BinarySearch(e.ratios[:], ratio)
	switch {
	case found:
		return float64(i) / ratioSteps
	case i == 0:
		return 0
	case i > ratioSteps:
		return 1
	}
	low, high := e.ratios[i-1], e.ratios[i]
	return (float64(i-1) + (ratio-low)/(high-low)) / ratioSteps
}

// Quantile returns the ratio of observed to expected times that a share of the
// times does not exceed.
func (e *Estimate) Quantile(share float64) float64 {
	at := min(max(share, 0), 1) * ratioSteps
	i := min(int(at), ratioSteps-1)
	return e.ratios[i] + (e.ratios[i+1]-e.ratios[i])*(at-float64(i))
}

// Count returns how many observations the estimate rests on, faded with age.
func (e *Estimate) Count() float64 { return e.count }

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Times learns the times to first answers by kind of request. The zero value is
// not usable; see NewTimes.
//
// Lock order: timesMu is taken alone.
type Times struct {
	timesMu sync.Mutex
	models  map[string]*timeModel // by kind; guarded by timesMu
	// rejected counts what was observed or told that could not be true. Guarded by
	// timesMu.
	rejected int
}

// NewTimes returns estimates that know nothing.
func NewTimes() *Times { return &Times{models: map[string]*timeModel{}} }

// timeModel is what is known of one kind of request.
type timeModel struct {
	prior Prior
	own   sums
	// peers are the sums that other daemons told, by name.
	peers map[string]sums
	// spread holds ratios of observed to expected times; every spreadSize of them
	// a new one begins, and last is the one before.
	spread, last *tdigest.TDigest
	estimate     *Estimate
	// made is when estimate was worked out, and stale that there is news since.
	made  time.Time
	stale bool
}

// sums are what a least-squares fit needs of the observations, each divided by the
// square of its expected time so that long and short times count alike.
type sums struct {
	// square holds the products of the factors, row by row, and times those with
	// the observed times.
	square [factors * factors]float64
	times  [factors]float64
	count  float64
	at     time.Time
}

const (
	// timesLife is the age at which an observation counts half.
	timesLife = 30 * time.Second
	// timesMost bounds how many observations count, so that a change of the
	// targets is learned.
	timesMost = 200
	// outlier bounds an observation as a multiple of the time expected: what was
	// not the target's doing, such as a cut link, teaches little.
	outlier = 4
	// remake is the least time between two fits.
	remake = 200 * time.Millisecond
	// spreadSize is how many ratios one digest takes.
	spreadSize = 300
	// spreadDetail is the compression of the digests: about that many values are
	// kept.
	spreadDetail = 50
	// shortest and longest bound times: nothing answers sooner over a network, and
	// nobody waits longer.
	shortest = time.Millisecond
	longest  = time.Minute
)

// age fades the observations.
func (s *sums) age(now time.Time) {
	if left := fade(now.Sub(s.at), timesLife); left < 1 {
		s.scale(left)
	}
	if now.After(s.at) {
		s.at = now
	}
}

// scale makes the observations count for a part.
func (s *sums) scale(by float64) {
	for i := range s.square {
		s.square[i] *= by
	}
	for i := range s.times {
		s.times[i] *= by
	}
	s.count *= by
}

// add takes an observation; expected divides it.
func (s *sums) add(x [factors]float64, took, expected float64) {
	weight := 1 / (expected * expected)
	for i := range factors {
		for j := range factors {
			s.square[i*factors+j] += weight * x[i] * x[j]
		}
		s.times[i] += weight * x[i] * took
	}
	s.count++
	if s.count > timesMost {
		s.scale(timesMost / s.count)
	}
}

// merge adds other observations.
func (s *sums) merge(o *sums) {
	for i := range s.square {
		s.square[i] += o.square[i]
	}
	for i := range s.times {
		s.times[i] += o.times[i]
	}
	s.count += o.count
}

// Estimate returns what is known of a kind of request; prior counts where the kind
// is new.
func (t *Times) Estimate(kind string, prior *Prior, now time.Time) *Estimate {
	t.timesMu.Lock()
	defer t.timesMu.Unlock()
	return t.model(kind, prior).current(now)
}

// model returns the model of a kind. It is called with timesMu held.
func (t *Times) model(kind string, prior *Prior) *timeModel {
	m := t.models[kind]
	if m == nil {
		m = &timeModel{prior: *prior, peers: map[string]sums{}, stale: true}
		m.restart()
		t.models[kind] = m
	}
	return m
}

// restart begins a new digest.
func (m *timeModel) restart() {
	m.last = m.spread
	// The only options are sound ones, so that this cannot fail.
	m.spread, _ = tdigest.New(tdigest.Compression(spreadDetail), tdigest.LocalRandomNumberGenerator(1))
}

// Observe records the time to a first answer.
func (t *Times) Observe(kind string, prior *Prior, f Factors, took time.Duration, now time.Time) {
	t.timesMu.Lock()
	defer t.timesMu.Unlock()
	if took <= 0 || took > longest {
		t.rejected++
		return
	}
	m := t.model(kind, prior)
	expected := m.current(now).Time(f).Seconds()
	ratio := took.Seconds() / expected
	// The ratio is a number above 0, which a digest always takes.
	_ = m.spread.Add(ratio)
	if m.spread.Count() >= spreadSize {
		m.restart()
	}
	m.own.age(now)
	m.own.add(f.vector(), min(took.Seconds(), outlier*expected), expected)
	m.stale = true
}

// current returns the estimate, worked out anew where there is news.
func (m *timeModel) current(now time.Time) *Estimate {
	if m.estimate != nil && (!m.stale || now.Sub(m.made) < remake) {
		return m.estimate
	}
	m.made, m.stale = now, false
	total := m.own
	total.age(now)
	for _, s := range m.peers {
		s.age(now)
		total.merge(&s)
	}
	m.estimate = &Estimate{coefficients: m.fit(&total), ratios: m.ratios(), count: total.count}
	return m.estimate
}

// fit returns the coefficients that explain the observations best, with the prior
// as some more of them. None is below 0.
func (m *timeModel) fit(s *sums) [factors]float64 {
	expected := m.prior.vector()
	typical := 0.0
	for i, c := range expected {
		typical += c * usual[i] / 2
	}
	square := mat.NewSymDense(factors, nil)
	times := mat.NewVecDense(factors, nil)
	for i := range factors {
		firm := m.prior.Weight * usual[i] * usual[i] / (typical * typical)
		for j := i; j < factors; j++ {
			square.SetSym(i, j, s.square[i*factors+j])
		}
		square.SetSym(i, i, s.square[i*factors+i]+firm)
		times.SetVec(i, s.times[i]+firm*expected[i])
	}
	var chol mat.Cholesky
	var solved mat.VecDense
	if !chol.Factorize(square) || chol.SolveVecTo(&solved, times) != nil {
		return expected
	}
	var out [factors]float64
	for i := range factors {
		out[i] = max(0, solved.AtVec(i))
		if !finite(out[i]) {
			return expected
		}
	}
	return out
}

// ratios returns the quantiles of observed over expected times, with the prior as
// some more observations.
func (m *timeModel) ratios() [ratioSteps + 1]float64 {
	all, _ := tdigest.New(tdigest.Compression(spreadDetail), tdigest.LocalRandomNumberGenerator(1))
	for i := range priorRatios {
		// Evenly spaced quantiles of a logarithmic normal distribution.
		share := (float64(i) + 0.5) / priorRatios
		_ = all.AddWeighted(math.Exp(m.prior.Spread*math.Sqrt2*math.Erfinv(2*share-1)), 1)
	}
	for _, d := range []*tdigest.TDigest{m.spread, m.last} {
		if d != nil && d.Count() > 0 {
			_ = all.Merge(d)
		}
	}
	var out [ratioSteps + 1]float64
	for i := range out {
		out[i] = all.Quantile(float64(i) / ratioSteps)
		if i > 0 {
			out[i] = max(out[i], out[i-1])
		}
	}
	return out
}

// priorRatios is how many ratios the prior's spread counts for.
const priorRatios = 12

// Rejected returns how much could not be true.
func (t *Times) Rejected() int {
	t.timesMu.Lock()
	defer t.timesMu.Unlock()
	return t.rejected
}

// Patience returns how long an answer is worth waiting for before the request is
// sent to another target, which is expected to take next: from then on the chance
// that the other one answers within a limit is the larger by margin. It is the
// limit where that never comes.
func (e *Estimate) Patience(limit, expected, next time.Duration, margin float64) time.Duration {
	inTime := e.Chance(limit.Seconds() / expected.Seconds())
	for i := 1; i < ratioSteps; i++ {
		waited := seconds(e.ratios[i] * expected.Seconds())
		if waited >= limit {
			break
		}
		gone := float64(i) / ratioSteps
		still := (inTime - gone) / (1 - gone)
		if e.Chance((limit-waited).Seconds()/next.Seconds()) > still+margin {
			return waited
		}
	}
	return limit
}
