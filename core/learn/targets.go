package learn

import (
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Targets estimates how each target differs from the others of its service: how slow
// it is and how often it fails. The zero value has no observations.
//
// Lock order: targetsMu is taken alone.
type Targets struct {
	targetsMu sync.Mutex
	targets   map[string]*targetModel // by target; guarded by targetsMu
	services  map[string]*Mean        // share of failures by service; guarded by targetsMu
	// unreported holds the observations that no Collect has returned, by target, and
	// reporting those that are in the heartbeats being sent. Guarded by targetsMu.
	unreported map[string]targetReport
	reporting  map[string]targetReport
	sweptAt    time.Time // last removal of old targets; guarded by targetsMu
	// rejected counts the invalid reports of peers. Guarded by targetsMu.
	rejected int
}

// targetModel holds the observations of one target.
type targetModel struct {
	// logSlowdown is the mean of the logarithm of observed over expected times, and
	// failures the share of failed responses.
	logSlowdown, failures Mean
	// updatedAt is the time of the last observation.
	updatedAt time.Time
}

// targetReport sums up the observations of one target by one daemon between two
// heartbeats.
type targetReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Times is the number of observed times, and LogSlowdown the sum of the logarithms
	// of observed over expected times.
	Times       int32
	LogSlowdown float32
	// Responses is the number of outcomes, and Failures the number of failures among them.
	Responses int32
	Failures  int32
}

const (
	// targetHalfLife is the half-life of the weight of an observation of a target: one
	// that was slow or failed is tried again within seconds.
	targetHalfLife = 2 * time.Second
	// targetPriorWeight is the number of observations that the prior counts for, and
	// maxTargetWeight bounds the total weight of the observations.
	targetPriorWeight = 2
	maxTargetWeight   = 20
	// serviceHalfLife is the half-life of the weight of a response in the share of
	// failures of a whole service.
	serviceHalfLife = 20 * time.Second
	// priorFailures is the share of failures that is expected of a service by the
	// prior, which counts as failuresPriorWeight responses.
	priorFailures       = 0.02
	failuresPriorWeight = 10
	// maxTargetSlowdown bounds the slowdown of one observation, and its inverse.
	maxTargetSlowdown = 8
	// targetExpiry is the time after which a target without observations is removed.
	targetExpiry = time.Minute
	// maxReportCount bounds each count in a peer's report of a target.
	maxReportCount = 10000
)

// TargetState is the estimated state of a target.
type TargetState struct {
	// Slowdown is the target's time to the first answer divided by that
	// expected of its service. Above 1 the target is slower.
	Slowdown float64
	// FailureShare is the share of the target's responses that are failures, 0 to 1.
	FailureShare float64
}

// State returns the estimated state of a target of a service. The prior is the speed of
// its service and the service's share of failures.
func (t *Targets) State(id, service string, now time.Time) TargetState {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	serviceFailures := priorFailures
	if s := t.services[service]; s != nil {
		serviceFailures = s.Value(priorFailures, failuresPriorWeight, now, serviceHalfLife)
	}
	m := t.targets[id]
	if m == nil {
		return TargetState{Slowdown: 1, FailureShare: serviceFailures}
	}
	return TargetState{
		Slowdown:     math.Exp(m.logSlowdown.Value(0, targetPriorWeight, now, targetHalfLife)),
		FailureShare: m.failures.Value(serviceFailures, targetPriorWeight, now, targetHalfLife),
	}
}

// ObserveTime records a target's time to the first answer, divided by that expected of its
// service. A ratio that is not positive and finite is ignored.
func (t *Targets) ObserveTime(id, service string, ratio float64, now time.Time) {
	if !(ratio > 0) || !finite(ratio) {
		return
	}
	logRatio := math.Log(min(max(ratio, 1.0/maxTargetSlowdown), maxTargetSlowdown))
	t.observe(id, targetReport{Service: service, Times: 1, LogSlowdown: float32(logRatio)}, now)
}

// ObserveResponse records the outcome of an attempt at a target: good is false for failures.
func (t *Targets) ObserveResponse(id, service string, good bool, now time.Time) {
	r := targetReport{Service: service, Responses: 1}
	if !good {
		r.Failures = 1
	}
	t.observe(id, r, now)
}

// observe adds an observation of this daemon, also to the next report to peers.
func (t *Targets) observe(id string, r targetReport, now time.Time) {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	t.add(id, r, now)
	if t.unreported == nil {
		t.unreported = map[string]targetReport{}
	}
	sum := t.unreported[id]
	sum.Service = r.Service
	sum.Times += r.Times
	sum.LogSlowdown += r.LogSlowdown
	sum.Responses += r.Responses
	sum.Failures += r.Failures
	t.unreported[id] = sum
}

// add adds observations of this daemon or a peer. It is called with targetsMu held.
func (t *Targets) add(id string, r targetReport, now time.Time) {
	m := t.targets[id]
	if m == nil {
		if t.targets == nil {
			t.targets, t.services = map[string]*targetModel{}, map[string]*Mean{}
		}
		m = &targetModel{}
		t.targets[id] = m
	}
	m.updatedAt = now
	if r.Times > 0 {
		m.logSlowdown.Add(float64(r.LogSlowdown)/float64(r.Times), float64(r.Times), now, targetHalfLife)
		m.logSlowdown.capWeight(maxTargetWeight)
	}
	if r.Responses > 0 {
		share := float64(r.Failures) / float64(r.Responses)
		m.failures.Add(share, float64(r.Responses), now, targetHalfLife)
		m.failures.capWeight(maxTargetWeight)
		if t.services[r.Service] == nil {
			t.services[r.Service] = &Mean{}
		}
		t.services[r.Service].Add(share, float64(r.Responses), now, serviceHalfLife)
	}
	t.sweep(now)
}

// sweep removes targets without observations for targetExpiry. It is called with
// targetsMu held.
func (t *Targets) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < targetExpiry {
		return
	}
	t.sweptAt = now
	for id, m := range t.targets {
		if now.Sub(m.updatedAt) > targetExpiry {
			delete(t.targets, id)
		}
	}
}

// valid reports whether a peer's report is within the possible ranges.
func (r *targetReport) valid() bool {
	limit := math.Log(maxTargetSlowdown) * float64(r.Times) * 1.01
	return r.Times >= 0 && r.Times <= maxReportCount && r.Responses >= 0 && r.Responses <= maxReportCount &&
		r.Failures >= 0 && r.Failures <= r.Responses && math.Abs(float64(r.LogSlowdown)) <= limit
}

// Collect returns the unreported observations for a heartbeat, or nil. It returns the same
// ones until Told is called.
func (t *Targets) Collect(bool) any {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	if t.reporting == nil {
		t.reporting, t.unreported = t.unreported, nil
	}
	if len(t.reporting) == 0 {
		return nil
	}
	return t.reporting
}

// Told discards what the last Collect returned, once the heartbeats have been sent.
func (t *Targets) Told() {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	t.reporting = nil
}

// Receive adds the observations that a peer reported.
func (t *Targets) Receive(_ string, raw []byte) {
	var reports map[string]targetReport
	if err := msgpack.Unmarshal(raw, &reports); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	for id, r := range reports {
		if !r.valid() {
			t.rejected++
			continue
		}
		t.add(id, r, now)
	}
}

// Rejected returns the number of invalid reports that peers sent.
func (t *Targets) Rejected() int {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	return t.rejected
}
