package learn

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/caio/go-tdigest/v4"
	"gonum.org/v1/gonum/mat"
)

// Factors are the inputs of the linear model of the time to the first answer: the first
// event of a prompt's answer, or the whole answer of a plain call. The zero value is a
// request without prompt tokens at an idle target.
type Factors struct {
	// OwnTokens is the number of prompt tokens of the request that are prefilled.
	OwnTokens int
	// QueuedTokens is the number of tokens of other requests that are prefilled first.
	QueuedTokens int
	// Utilisation is the number of requests that run at the target, divided by the number
	// that it runs concurrently; at most 1.
	Utilisation float64
	// QueuedPerSlot is the number of requests that are queued at the target, divided by the
	// number that it runs concurrently.
	QueuedPerSlot float64
	// MemoryPressure is the probability that the target's memory is full when the request's turn
	// comes, 0 to 1; above 1 the requests there do not fit.
	MemoryPressure float64
}

// numFactors is the number of coefficients of the model: the fixed time and one for each
// field of Factors.
const numFactors = 6

// tokenUnit is the number of tokens that a coefficient is for. It gives the coefficients
// of tokens about the magnitude of the others.
const tokenUnit = 1000

// vector returns the values that the coefficients are multiplied by.
func (f Factors) vector() [numFactors]float64 {
	return [numFactors]float64{
		1, float64(f.OwnTokens) / tokenUnit, float64(f.QueuedTokens) / tokenUnit, f.Utilisation,
		f.QueuedPerSlot, f.MemoryPressure,
	}
}

// Prior holds the coefficients that are expected before any observation, and the number of
// observations that they count for.
type Prior struct {
	// Fixed is the time at an idle target without the prefill.
	Fixed time.Duration
	// PerThousandOwn and PerThousandQueued are the times to prefill a thousand tokens of the
	// request and of the requests before it.
	PerThousandOwn, PerThousandQueued time.Duration
	// Utilisation is the time added if the target runs as many requests as it can, and
	// QueuedPerSlot the time added for each multiple of that number in its queue.
	Utilisation, QueuedPerSlot time.Duration
	// MemoryPressure is the time that a request waits for memory if it is full.
	MemoryPressure time.Duration
	// LogStdDev is the standard deviation of the logarithm of observed over expected
	// times.
	LogStdDev float64
	// Observations is the number of observations that the prior counts for.
	Observations float64
}

// vector returns the coefficients of the prior in seconds.
func (p *Prior) vector() [numFactors]float64 {
	return [numFactors]float64{
		p.Fixed.Seconds(), p.PerThousandOwn.Seconds(), p.PerThousandQueued.Seconds(),
		p.Utilisation.Seconds(), p.QueuedPerSlot.Seconds(), p.MemoryPressure.Seconds(),
	}
}

// typicalFactors holds the typical magnitude of each factor. It determines how strongly
// the prior constrains each coefficient.
var typicalFactors = [numFactors]float64{1, 3, 3, 0.3, 0.3, 0.3}

// Estimate is the distribution of the time to the first answer for one kind of request. It
// is immutable.
type Estimate struct {
	// coefficients are in seconds.
	coefficients [numFactors]float64
	// ratios holds the quantiles of observed over expected times, evenly spaced from 0
	// to 1, in non-decreasing order.
	ratios [ratioSteps + 1]float64
	// count is the decayed number of observations.
	count float64
}

// ratioSteps is the number of steps between the quantiles of an estimate.
const ratioSteps = 64

// Time returns the expected time to the first answer.
func (e *Estimate) Time(f Factors) time.Duration {
	x := f.vector()
	sum := 0.0
	for i, c := range e.coefficients {
		sum += c * x[i]
	}
	return max(seconds(sum), minTime)
}

// Components returns the two components of the expected time: that before the request's turn,
// by QueuedTokens, QueuedPerSlot and MemoryPressure, and that from its turn to the first answer.
func (e *Estimate) Components(f Factors) (queueing, service time.Duration) {
	service = e.Time(Factors{OwnTokens: f.OwnTokens, Utilisation: f.Utilisation})
	return e.Time(f) - service, service
}

// PrefillTime returns the time to prefill some tokens of the request.
func (e *Estimate) PrefillTime(tokens int) time.Duration {
	return seconds(e.coefficients[1] * float64(tokens) / tokenUnit)
}

// Probability returns the probability that a time is at most ratio times the expected one.
func (e *Estimate) Probability(ratio float64) float64 {
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

// Quantile returns the ratio of observed to expected time that the given share of the
// times does not exceed.
func (e *Estimate) Quantile(share float64) float64 {
	position := min(max(share, 0), 1) * ratioSteps
	i := min(int(position), ratioSteps-1)
	return e.ratios[i] + (e.ratios[i+1]-e.ratios[i])*(position-float64(i))
}

// Count returns the number of observations behind the estimate, decayed with age.
func (e *Estimate) Count() float64 { return e.count }

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Times estimates the time to the first answer by kind of request. The zero value is not
// usable; see NewTimes.
//
// Lock order: timesMu is taken alone.
type Times struct {
	timesMu sync.Mutex
	models  map[string]*timeModel // by kind; guarded by timesMu
	// rejected counts the observations that are out of range. Guarded by timesMu.
	rejected int
}

// NewTimes returns Times without observations.
func NewTimes() *Times { return &Times{models: map[string]*timeModel{}} }

// timeModel is the model of one kind of request.
type timeModel struct {
	prior Prior
	// local holds the observations of this daemon.
	local normalEquations
	// peers holds the observations of other daemons, by name. It stays empty, as
	// daemons do not exchange times.
	peers map[string]normalEquations
	// digest holds the latest ratios of observed to expected times. After digestSize of
	// them it becomes previous and a new one is started.
	digest, previous *tdigest.TDigest
	// estimate is the last fit, made at fittedAt. stale is set if there are later
	// observations.
	estimate *Estimate
	fittedAt time.Time
	stale    bool
}

// normalEquations holds the normal equations of a weighted least-squares fit. Each
// observation is weighted by the inverse square of its expected time, so that relative
// errors of long and short times count equally.
type normalEquations struct {
	// xtx is the matrix of the products of the factors, by rows, and xty the vector of
	// the products of the factors and the observed times.
	xtx [numFactors * numFactors]float64
	xty [numFactors]float64
	// count is the decayed number of observations.
	count float64
	// decayedAt is the time up to which the decay is applied.
	decayedAt time.Time
}

const (
	// timesHalfLife is the half-life of the weight of an observation.
	timesHalfLife = 30 * time.Second
	// maxTimesCount bounds the number of observations that count, so that the model
	// follows changes of the targets.
	maxTimesCount = 200
	// maxFitRatio bounds an observation in the fit, as a multiple of the expected time:
	// delays that the target did not cause, such as those of a broken link, have little
	// influence.
	maxFitRatio = 4
	// minFitInterval is the minimum time between two fits.
	minFitInterval = 200 * time.Millisecond
	// digestSize is the number of ratios in one digest.
	digestSize = 300
	// digestCompression is the compression of the digests: about the number of centroids
	// that they hold.
	digestCompression = 50
	// minTime is the lower bound of expected times: no target answers sooner over a
	// network.
	minTime = time.Millisecond
	// maxTime is the upper bound of observed times: no caller waits longer.
	maxTime = time.Minute
)

// decayTo applies the decay up to now.
func (n *normalEquations) decayTo(now time.Time) {
	if factor := decay(now.Sub(n.decayedAt), timesHalfLife); factor < 1 {
		n.scale(factor)
	}
	if now.After(n.decayedAt) {
		n.decayedAt = now
	}
}

// scale multiplies the weight of all observations by a factor.
func (n *normalEquations) scale(factor float64) {
	for i := range n.xtx {
		n.xtx[i] *= factor
	}
	for i := range n.xty {
		n.xty[i] *= factor
	}
	n.count *= factor
}

// add adds an observation of factors x and a time. took and expected are in seconds.
func (n *normalEquations) add(x [numFactors]float64, took, expected float64) {
	weight := 1 / (expected * expected)
	for i := range numFactors {
		for j := range numFactors {
			n.xtx[i*numFactors+j] += weight * x[i] * x[j]
		}
		n.xty[i] += weight * x[i] * took
	}
	n.count++
	if n.count > maxTimesCount {
		n.scale(maxTimesCount / n.count)
	}
}

// merge adds the observations of o.
func (n *normalEquations) merge(o *normalEquations) {
	for i := range n.xtx {
		n.xtx[i] += o.xtx[i]
	}
	for i := range n.xty {
		n.xty[i] += o.xty[i]
	}
	n.count += o.count
}

// Estimate returns the estimate for a kind of request. prior is used if the kind is new.
func (t *Times) Estimate(kind string, prior *Prior, now time.Time) *Estimate {
	t.timesMu.Lock()
	defer t.timesMu.Unlock()
	return t.model(kind, prior).current(now)
}

// model returns the model of a kind, adding it if needed. It is called with timesMu held.
func (t *Times) model(kind string, prior *Prior) *timeModel {
	m := t.models[kind]
	if m == nil {
		m = &timeModel{prior: *prior, peers: map[string]normalEquations{}, stale: true}
		m.rotateDigest()
		t.models[kind] = m
	}
	return m
}

// rotateDigest starts a new digest.
func (m *timeModel) rotateDigest() {
	m.previous = m.digest
	// New fails only for invalid options.
	m.digest, _ = tdigest.New(tdigest.Compression(digestCompression), tdigest.LocalRandomNumberGenerator(1))
}

// Observe records a time to the first answer for a kind of request. It ignores times that
// are not positive or exceed maxTime. prior is used if the kind is new.
func (t *Times) Observe(kind string, prior *Prior, f Factors, took time.Duration, now time.Time) {
	t.timesMu.Lock()
	defer t.timesMu.Unlock()
	if took <= 0 || took > maxTime {
		t.rejected++
		return
	}
	m := t.model(kind, prior)
	expected := m.current(now).Time(f).Seconds()
	ratio := took.Seconds() / expected
	// Add accepts any positive number.
	_ = m.digest.Add(ratio)
	if m.digest.Count() >= digestSize {
		m.rotateDigest()
	}
	m.local.decayTo(now)
	m.local.add(f.vector(), min(took.Seconds(), maxFitRatio*expected), expected)
	m.stale = true
}

// current returns the estimate. It fits the model again if there are new observations and
// the last fit is at least minFitInterval old.
func (m *timeModel) current(now time.Time) *Estimate {
	if m.estimate != nil && (!m.stale || now.Sub(m.fittedAt) < minFitInterval) {
		return m.estimate
	}
	m.fittedAt, m.stale = now, false
	total := m.local
	total.decayTo(now)
	for _, n := range m.peers {
		n.decayTo(now)
		total.merge(&n)
	}
	m.estimate = &Estimate{coefficients: m.fit(&total), ratios: m.quantiles(), count: total.count}
	return m.estimate
}

// fit returns the coefficients of a ridge regression towards the prior's coefficients, or
// the latter if it has no solution. Negative coefficients are set to 0.
func (m *timeModel) fit(n *normalEquations) [numFactors]float64 {
	expected := m.prior.vector()
	typicalTime := 0.0
	for i, c := range expected {
		typicalTime += c * typicalFactors[i] / 2
	}
	xtx := mat.NewSymDense(numFactors, nil)
	xty := mat.NewVecDense(numFactors, nil)
	for i := range numFactors {
		ridge := m.prior.Observations * typicalFactors[i] * typicalFactors[i] / (typicalTime * typicalTime)
		for j := i; j < numFactors; j++ {
			xtx.SetSym(i, j, n.xtx[i*numFactors+j])
		}
		xtx.SetSym(i, i, n.xtx[i*numFactors+i]+ridge)
		xty.SetVec(i, n.xty[i]+ridge*expected[i])
	}
	var chol mat.Cholesky
	var solved mat.VecDense
	if !chol.Factorize(xtx) || chol.SolveVecTo(&solved, xty) != nil {
		return expected
	}
	var out [numFactors]float64
	for i := range numFactors {
		out[i] = max(0, solved.AtVec(i))
		if !finite(out[i]) {
			return expected
		}
	}
	return out
}

// quantiles returns the quantiles of observed over expected times. The prior's distribution
// counts as priorRatios observations.
func (m *timeModel) quantiles() [ratioSteps + 1]float64 {
	all, _ := tdigest.New(tdigest.Compression(digestCompression), tdigest.LocalRandomNumberGenerator(1))
	for i := range priorRatios {
		// Evenly spaced quantiles of a log-normal distribution.
		share := (float64(i) + 0.5) / priorRatios
		_ = all.AddWeighted(math.Exp(m.prior.LogStdDev*math.Sqrt2*math.Erfinv(2*share-1)), 1)
	}
	for _, d := range []*tdigest.TDigest{m.digest, m.previous} {
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

// priorRatios is the number of ratios that the prior's LogStdDev counts for.
const priorRatios = 12

// Rejected returns the number of observations that were out of range.
func (t *Times) Rejected() int {
	t.timesMu.Lock()
	defer t.timesMu.Unlock()
	return t.rejected
}

// WaitBudget returns the wait budget of an attempt: how long to wait for its answer before
// the request is sent to another target. It is the shortest wait after which an answer of
// the other target within limit is more probable, by more than margin, than one of this
// target is then; limit if there is none. expected and next are the expected times to the
// first answer of this and the other target.
func (e *Estimate) WaitBudget(limit, expected, next time.Duration, margin float64) time.Duration {
	withinLimit := e.Probability(limit.Seconds() / expected.Seconds())
	for i := 1; i < ratioSteps; i++ {
		waited := seconds(e.ratios[i] * expected.Seconds())
		if waited >= limit {
			break
		}
		answered := float64(i) / ratioSteps
		pending := (withinLimit - answered) / (1 - answered)
		if e.Probability((limit-waited).Seconds()/next.Seconds()) > pending+margin {
			return waited
		}
	}
	return limit
}
