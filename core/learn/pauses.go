package learn

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Pauses estimates, by kind of request, how likely a stream keeps its gap objective at a given prefill
// load that was expected of its worker, and what work the kind's requests cause. It also holds the
// prefill load of each target. The zero value has no observations.
//
// Lock order: pausesMu is taken alone.
type Pauses struct {
	pausesMu sync.Mutex
	services map[string]map[string]*pauseModel // by service and route; guarded by pausesMu
	prefill  prefillSums                       // guarded by pausesMu
	// unreported holds the observations that no Collect has returned, and reporting those that are
	// in the heartbeats being sent. Guarded by pausesMu.
	unreported, reporting *pauseReport
	// unreportedSince is the time of the first observation in unreported. Guarded by pausesMu.
	unreportedSince time.Time
	sweptAt         time.Time // last removal of kinds; guarded by pausesMu
	// rejected counts the invalid observations and reports. Guarded by pausesMu.
	rejected int
}

// pauseModel holds the observations of one kind of request.
type pauseModel struct {
	// kept is the share of streams that kept their gap objective, by node of loadNodes.
	kept [loadNodeCount]Mean
	// duration and events are the means of the streams' durations, in seconds, and events.
	duration, events Mean
	// requests, prefill and tokens are the requests sent, their prefill seconds and their prompt tokens.
	requests, prefill, tokens decayingSum
	// updatedAt is the time of the last observation.
	updatedAt time.Time
}

// decayingSum is a sum of amounts whose weights decay exponentially with age. The zero value is
// empty.
type decayingSum struct {
	sum                  float64
	updatedAt, startedAt time.Time
}

// add adds an amount.
func (s *decayingSum) add(amount float64, now time.Time, halfLife time.Duration) {
	if s.startedAt.IsZero() {
		s.startedAt, s.updatedAt = now, now
	}
	s.sum = s.sum*decay(now.Sub(s.updatedAt), halfLife) + amount
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
}

// perSecond returns the amount per second. Only the time since the first amount counts, so that the
// rate of a new sum is not underestimated; it counts as at least a half-life divided by minRateShare.
func (s *decayingSum) perSecond(now time.Time, halfLife time.Duration) float64 {
	if s.startedAt.IsZero() {
		return 0
	}
	covered := 1 - decay(max(now.Sub(s.startedAt), halfLife/minRateShare), halfLife)
	return s.sum * decay(now.Sub(s.updatedAt), halfLife) * math.Ln2 / halfLife.Seconds() / covered
}

const (
	// keptHalfLife is the half-life of the weight of a stream in the probability that the gap
	// objective is kept. Where workers are divided, few streams run beside much prefill: with 10 s, the
	// reason for a division was forgotten within a minute.
	keptHalfLife = 30 * time.Second
	// demandHalfLife is the half-life of the weight of a request in the demand: long enough that bursts
	// of seconds hardly change the mix of kinds.
	demandHalfLife = 10 * time.Second
	// prefillHalfLife is the half-life of prefill sent to a target; the mean age of what counts is
	// then one second, about the duration of a stream.
	prefillHalfLife = 700 * time.Millisecond
	// keptPriorWeight is the number of streams that the prior of each node counts for, and
	// maxKeptWeight bounds the weight of the observations of a node.
	keptPriorWeight = 2
	maxKeptWeight   = 200
	// missedPriorWeight is the number of streams that kept their objective which are assumed in the share
	// of missed ones, so that single streams do not matter.
	missedPriorWeight = 20
	// minRateShare is the number of parts of a half-life of which one is the least time that a rate
	// is taken over.
	minRateShare = 10
	// maxStreamTime bounds the duration of a stream in reports: no caller waits longer.
	maxStreamTime = 10 * time.Minute
	// maxPromptTokens bounds the mean prompt of a kind in reports.
	maxPromptTokens = 1 << 24
	// maxReportPrefill bounds the prefill seconds in a report.
	maxReportPrefill = 10000
	// maxUnreportedAge is the age at which observations are no longer reported: a daemon without peers
	// would otherwise collect them without bound.
	maxUnreportedAge = 5 * time.Second
	// maxPrefillAge is the age at which the sums of prefill are scaled down and targets whose sum is below
	// idlePrefill are forgotten. Until then, weights rise by 2^60 at most.
	maxPrefillAge = 60 * prefillHalfLife
	idlePrefill   = 1e-4
)

// loadNodes are the prefill loads at which the probability of keeping the gap objective is learned.
var loadNodes = [loadNodeCount]float64{0, 0.05, 0.1, 0.2, 0.3, 0.45, 0.65, 0.9}

const loadNodeCount = 8

// loadNode returns the index of the node closest to a load.
func loadNode(load float64) int {
	i := 0
	for i+1 < loadNodeCount && load > (loadNodes[i]+loadNodes[i+1])/2 {
		i++
	}
	return i
}

// KeptCurve is the probability that a stream keeps its gap objective at each node of the prefill
// load, in non-increasing order. The zero value means unknown.
type KeptCurve [loadNodeCount]float64

// At returns the probability at a prefill load, or 0 if it is unknown.
func (c *KeptCurve) At(load float64) float64 {
	i := 1
	for i < loadNodeCount-1 && load > loadNodes[i] {
		i++
	}
	position := (load - loadNodes[i-1]) / (loadNodes[i] - loadNodes[i-1])
	return c[i-1] + (c[i]-c[i-1])*min(max(position, 0), 1)
}

// Drop returns by how much the probability is lower at the highest prefill load than without prefill.
func (c *KeptCurve) Drop() float64 { return c[0] - c[loadNodeCount-1] }

// StreamDemand is what is known of one kind of request of a service.
type StreamDemand struct {
	// Route is the route of the requests.
	Route string
	// Requests is the number of requests per second that all daemons of the cell send, Prefill the
	// seconds of prefill per second that they cause, and Streams the number of their streams that run
	// at a time.
	Requests, Prefill, Streams float64
	// Tokens is the mean length of the prompts.
	Tokens float64
	// Kept is the probability that a stream keeps its gap objective, and Observations the decayed
	// number of streams behind it; 0 if the route has no gap objective.
	Kept         KeptCurve
	Observations float64
	// Missed is the share of the streams that did not keep it.
	Missed float64
}

// StreamSample is the observation of one complete stream.
type StreamSample struct {
	Service, Route string
	// Events is the number of events, and Duration the time from the first event to the end.
	Events   int
	Duration time.Duration
	// Judged is set if the stream has a gap objective and its pauses were caused by its target. Load is
	// the prefill load that was expected when the target was chosen, and Kept reports whether the stream
	// kept the objective. The load during the stream would be a poor label: a single prompt raises it, so
	// that streams of hardly loaded targets would count as kept beside much prefill.
	Judged bool
	Load   float64
	Kept   bool
}

// pauseReport sums up the observations of one daemon between two heartbeats.
type pauseReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Kinds    []kindReport
	// Prefill holds the prefill seconds sent to each target.
	Prefill map[string]float32
}

// kindReport is the part of a report on one kind of request.
type kindReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack       struct{} `msgpack:",as_array"`
	Service, Route string
	// Requests is the number of requests sent, Prefill the sum of their prefill seconds and Tokens that
	// of their prompt tokens.
	Requests        int32
	Prefill, Tokens float32
	// Streams is the number of complete streams, Seconds and Events the sums of their durations and
	// events.
	Streams         int32
	Seconds, Events float32
	// Judged and Kept count the streams with a gap objective and those of them that kept it, by node
	// of the prefill load.
	Judged, Kept [loadNodeCount]int32
}

// valid reports whether a report is within the possible ranges.
func (r *kindReport) valid() bool {
	within := func(sum float32, count int32, limit float64) bool {
		return sum >= 0 && float64(sum) <= limit*float64(count)
	}
	if r.Requests < 0 || r.Requests > maxReportCount || r.Streams < 0 || r.Streams > maxReportCount ||
		!(r.Prefill >= 0 && r.Prefill <= maxReportPrefill) || !within(r.Tokens, r.Requests, maxPromptTokens) ||
		!within(r.Seconds, r.Streams, maxStreamTime.Seconds()) || !within(r.Events, r.Streams, maxPromptTokens) {
		return false
	}
	for i, judged := range r.Judged {
		if judged < 0 || judged > r.Streams || r.Kept[i] < 0 || r.Kept[i] > judged {
			return false
		}
	}
	return true
}

// RecordSend records that a prompt of some tokens is sent to a target, which prefills for some time.
func (p *Pauses) RecordSend(service, route, target string, tokens int, prefill time.Duration, now time.Time) {
	r := kindReport{Service: service, Route: route, Requests: 1, Prefill: float32(prefill.Seconds()), Tokens: float32(tokens)}
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	if !r.valid() {
		p.rejected++
		return
	}
	p.observe(&r, now)
	p.prefill.add(target, float64(r.Prefill), now)
	if p.unreported.Prefill == nil {
		p.unreported.Prefill = map[string]float32{}
	}
	p.unreported.Prefill[target] += r.Prefill
}

// ObserveStream records a complete stream.
func (p *Pauses) ObserveStream(s StreamSample, now time.Time) {
	r := kindReport{Service: s.Service, Route: s.Route, Streams: 1, Seconds: float32(s.Duration.Seconds()), Events: float32(s.Events)}
	if s.Judged {
		node := loadNode(s.Load)
		r.Judged[node] = 1
		if s.Kept {
			r.Kept[node] = 1
		}
	}
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	if !r.valid() || !finite(s.Load) {
		p.rejected++
		return
	}
	p.observe(&r, now)
}

// observe adds an observation of this daemon, also to the next report. It is called with pausesMu held.
func (p *Pauses) observe(r *kindReport, now time.Time) {
	p.add(r, now)
	if p.unreported == nil || now.Sub(p.unreportedSince) > maxUnreportedAge {
		p.unreported, p.unreportedSince = &pauseReport{}, now
	}
	at := slices.IndexFunc(p.unreported.Kinds, func(k kindReport) bool { return k.Service == r.Service && k.Route == r.Route })
	if at < 0 {
		p.unreported.Kinds = append(p.unreported.Kinds, *r)
		return
	}
	sum := &p.unreported.Kinds[at]
	sum.Requests += r.Requests
	sum.Prefill += r.Prefill
	sum.Tokens += r.Tokens
	sum.Streams += r.Streams
	sum.Seconds += r.Seconds
	sum.Events += r.Events
	for i := range sum.Judged {
		sum.Judged[i] += r.Judged[i]
		sum.Kept[i] += r.Kept[i]
	}
}

// add adds observations of this daemon or a peer. It is called with pausesMu held.
func (p *Pauses) add(r *kindReport, now time.Time) {
	routes := p.services[r.Service]
	if routes == nil {
		if p.services == nil {
			p.services = map[string]map[string]*pauseModel{}
		}
		routes = map[string]*pauseModel{}
		p.services[r.Service] = routes
	}
	m := routes[r.Route]
	if m == nil {
		m = &pauseModel{}
		routes[r.Route] = m
	}
	m.updatedAt = now
	if r.Requests > 0 {
		m.requests.add(float64(r.Requests), now, demandHalfLife)
		m.prefill.add(float64(r.Prefill), now, demandHalfLife)
		m.tokens.add(float64(r.Tokens), now, demandHalfLife)
	}
	if r.Streams > 0 {
		count := float64(r.Streams)
		m.duration.Add(float64(r.Seconds)/count, count, now, keptHalfLife)
		m.events.Add(float64(r.Events)/count, count, now, keptHalfLife)
	}
	for i, judged := range r.Judged {
		if judged > 0 {
			m.kept[i].Add(float64(r.Kept[i])/float64(judged), float64(judged), now, keptHalfLife)
			m.kept[i].capWeight(maxKeptWeight)
		}
	}
	p.sweep(now)
}

// sweep removes kinds without observations for targetExpiry. It is called with pausesMu held.
func (p *Pauses) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < targetExpiry {
		return
	}
	p.sweptAt = now
	for service, routes := range p.services {
		maps.DeleteFunc(routes, func(_ string, m *pauseModel) bool { return now.Sub(m.updatedAt) > targetExpiry })
		if len(routes) == 0 {
			delete(p.services, service)
		}
	}
}

// prefillSums holds the prefill seconds sent to each target. Instead of decaying each sum, later amounts
// get a larger weight, so that one exponential is enough for the loads of all targets.
type prefillSums struct {
	// weighted holds the sums by target, and reference is the time at which the weight is 1.
	weighted  map[string]float64
	reference time.Time
}

// add adds an amount.
func (s *prefillSums) add(target string, amount float64, now time.Time) {
	if s.weighted == nil {
		s.weighted, s.reference = map[string]float64{}, now
	}
	if now.Sub(s.reference) > maxPrefillAge {
		weight := s.weight(now)
		s.reference = now
		for id := range s.weighted {
			if s.weighted[id] /= weight; s.weighted[id] < idlePrefill {
				delete(s.weighted, id)
			}
		}
	}
	s.weighted[target] += amount * s.weight(now)
}

// weight returns the weight of an amount.
func (s *prefillSums) weight(now time.Time) float64 {
	return 1 / decay(now.Sub(s.reference), prefillHalfLife)
}

// PrefillLoads sets the prefill loads of targets, whose IDs are returned by target: the share of time that
// each spends on prefill. It exceeds 1 if the target gets more prompts than it can prefill.
func (p *Pauses) PrefillLoads(loads []float64, target func(i int) string, now time.Time) {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	unit := math.Ln2 / prefillHalfLife.Seconds() / p.prefill.weight(now)
	for i := range loads {
		loads[i] = p.prefill.weighted[target(i)] * unit
	}
}

// PrefillLoad returns the prefill load of a target.
func (p *Pauses) PrefillLoad(target string, now time.Time) float64 {
	var load [1]float64
	p.PrefillLoads(load[:], func(int) string { return target }, now)
	return load[0]
}

// Demand returns what is known of the kinds of requests of a service, ordered by route.
func (p *Pauses) Demand(service string, now time.Time) []StreamDemand {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	var out []StreamDemand
	for route, m := range p.services[service] {
		d := StreamDemand{
			Route: route, Requests: m.requests.perSecond(now, demandHalfLife),
			Prefill: m.prefill.perSecond(now, demandHalfLife),
		}
		d.Streams = d.Requests * m.duration.Value(0, 0.01, now, keptHalfLife)
		if m.requests.sum > 0 {
			d.Tokens = m.tokens.sum / m.requests.sum
		}
		d.Kept, d.Observations, d.Missed = m.curve(now)
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b StreamDemand) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// curve returns the probability of keeping the gap objective, the number of observations and the share
// of them that did not keep it. The prior is that the objective is kept. Nodes out of order are pooled:
// more prefill beside a stream does not shorten its pauses.
func (m *pauseModel) curve(now time.Time) (out KeptCurve, observations, missed float64) {
	type block struct {
		value, weight float64
		nodes         int
	}
	var blocks []block
	for i := range m.kept {
		factor := decay(now.Sub(m.kept[i].decayedAt), keptHalfLife)
		weight := m.kept[i].weight * factor
		observations += weight
		missed += weight - m.kept[i].sum*factor
		b := block{m.kept[i].Value(1, keptPriorWeight, now, keptHalfLife), keptPriorWeight + weight, 1}
		for len(blocks) > 0 && blocks[len(blocks)-1].value < b.value {
			last := blocks[len(blocks)-1]
			blocks = blocks[:len(blocks)-1]
			total := last.weight + b.weight
			b = block{(last.value*last.weight + b.value*b.weight) / total, total, last.nodes + b.nodes}
		}
		blocks = append(blocks, b)
	}
	i := 0
	for _, b := range blocks {
		for range b.nodes {
			out[i] = b.value
			i++
		}
	}
	return out, observations, missed / (observations + missedPriorWeight)
}

// Collect returns the unreported observations for a heartbeat, or nil. It returns the same ones until
// Told is called.
func (p *Pauses) Collect(bool) any {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	if p.reporting == nil {
		p.reporting, p.unreported = p.unreported, nil
	}
	if p.reporting == nil {
		return nil
	}
	return p.reporting
}

// Told discards what the last Collect returned, once the heartbeats have been sent.
func (p *Pauses) Told() {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	p.reporting = nil
}

// Receive adds the observations that a peer reported.
func (p *Pauses) Receive(_ string, raw []byte) {
	var report pauseReport
	if err := msgpack.Unmarshal(raw, &report); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	for i := range report.Kinds {
		if !report.Kinds[i].valid() {
			p.rejected++
			continue
		}
		p.add(&report.Kinds[i], now)
	}
	for target, amount := range report.Prefill {
		if !(amount >= 0 && amount <= maxReportPrefill) {
			p.rejected++
			continue
		}
		p.prefill.add(target, float64(amount), now)
	}
}

// Rejected returns the number of invalid observations and reports.
func (p *Pauses) Rejected() int {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	return p.rejected
}
