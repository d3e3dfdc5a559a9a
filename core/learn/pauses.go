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

// Pauses estimates, by kind of request, how many streams miss their gap objective on workers that are
// reserved for them and on others, and what work the kind's requests cause. The zero value has no
// observations.
//
// Lock order: pausesMu is taken alone.
type Pauses struct {
	pausesMu sync.Mutex
	services map[string]map[string]*pauseModel // by service and route; guarded by pausesMu
	// unreported holds the observations that no Collect has returned, and reporting those that are
	// in the heartbeats being sent. Guarded by pausesMu.
	unreported, reporting []kindReport
	// unreportedSince is the time of the first observation in unreported, zero if there is none.
	// Guarded by pausesMu.
	unreportedSince time.Time
	sweptAt         time.Time // last removal of kinds; guarded by pausesMu
	// rejected counts the invalid observations and reports. Guarded by pausesMu.
	rejected int
}

// pauseModel holds the observations of one kind of request.
type pauseModel struct {
	// reserved and other are the shares of streams that missed their gap objective, on workers that were
	// reserved for the kind and on others.
	reserved, other Mean
	// duration is the mean of the streams' durations in seconds.
	duration Mean
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
	// missedHalfLife is the half-life of the weight of a stream in the share that missed the gap
	// objective: a few times the length of a burst.
	missedHalfLife = 10 * time.Second
	// demandHalfLife is the half-life of the weight of a request in the demand: long enough that bursts
	// of seconds hardly change the mix of kinds.
	demandHalfLife = 10 * time.Second
	// missedPriorWeight is the number of streams that kept their objective which are assumed in the share
	// of missed ones, so that single streams do not matter. maxMissedWeight bounds the weight of the
	// observed ones.
	missedPriorWeight = 10
	maxMissedWeight   = 400
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
)

// MissedShare is the share of the streams that missed their gap objective on one side of a division.
type MissedShare struct {
	Missed float64
	// Observations is the decayed number of streams behind it.
	Observations float64
}

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
	// Reserved and Other are the shares of streams that missed their gap objective, on workers that were
	// reserved for the kind and on others. They have no observations if the route has no gap objective.
	Reserved, Other MissedShare
}

// StreamSample is the observation of one complete stream.
type StreamSample struct {
	Service, Route string
	// Duration is the time from the first event to the end.
	Duration time.Duration
	// Judged is set if the stream has a gap objective and its pauses were caused by its target. Kept
	// reports whether it kept the objective, and Reserved whether its worker was reserved for its kind.
	Judged, Kept, Reserved bool
}

// kindReport sums up the observations of one kind of request by one daemon between two heartbeats.
type kindReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack       struct{} `msgpack:",as_array"`
	Service, Route string
	// Requests is the number of requests sent, Prefill the sum of their prefill seconds and Tokens that
	// of their prompt tokens.
	Requests        int32
	Prefill, Tokens float32
	// Streams is the number of complete streams, and Seconds the sum of their durations.
	Streams int32
	Seconds float32
	// The others count the streams with a gap objective and those of them that missed it, on reserved
	// workers and on others.
	ReservedJudged, ReservedMissed, OtherJudged, OtherMissed int32
}

// valid reports whether a report is within the possible ranges.
func (r *kindReport) valid() bool {
	within := func(sum float32, count int32, limit float64) bool {
		return sum >= 0 && float64(sum) <= limit*float64(count)
	}
	counts := func(part, whole int32) bool { return part >= 0 && part <= whole }
	return counts(r.Requests, maxReportCount) && counts(r.Streams, maxReportCount) &&
		r.Prefill >= 0 && r.Prefill <= maxReportPrefill && within(r.Tokens, r.Requests, maxPromptTokens) &&
		within(r.Seconds, r.Streams, maxStreamTime.Seconds()) &&
		counts(r.ReservedJudged, r.Streams) && counts(r.OtherJudged, r.Streams) &&
		counts(r.ReservedMissed, r.ReservedJudged) && counts(r.OtherMissed, r.OtherJudged)
}

// merge adds the observations of o, which is of the same kind.
func (r *kindReport) merge(o *kindReport) {
	r.Requests += o.Requests
	r.Prefill += o.Prefill
	r.Tokens += o.Tokens
	r.Streams += o.Streams
	r.Seconds += o.Seconds
	r.ReservedJudged += o.ReservedJudged
	r.ReservedMissed += o.ReservedMissed
	r.OtherJudged += o.OtherJudged
	r.OtherMissed += o.OtherMissed
}

// RecordSend records that a prompt of some tokens is sent to a worker, which prefills for some time.
func (p *Pauses) RecordSend(service, route string, tokens int, prefill time.Duration, now time.Time) {
	p.observe(&kindReport{
		Service: service, Route: route, Requests: 1, Prefill: float32(prefill.Seconds()), Tokens: float32(tokens),
	}, now)
}

// ObserveStream records a complete stream.
func (p *Pauses) ObserveStream(s StreamSample, now time.Time) {
	r := kindReport{Service: s.Service, Route: s.Route, Streams: 1, Seconds: float32(s.Duration.Seconds())}
	missed := int32(1)
	if s.Kept {
		missed = 0
	}
	switch {
	case s.Judged && s.Reserved:
		r.ReservedJudged, r.ReservedMissed = 1, missed
	case s.Judged:
		r.OtherJudged, r.OtherMissed = 1, missed
	}
	p.observe(&r, now)
}

// observe adds an observation of this daemon, also to the next report.
func (p *Pauses) observe(r *kindReport, now time.Time) {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	if !r.valid() {
		p.rejected++
		return
	}
	p.add(r, now)
	if now.Sub(p.unreportedSince) > maxUnreportedAge {
		p.unreported, p.unreportedSince = nil, now
	}
	at := slices.IndexFunc(p.unreported, func(k kindReport) bool { return k.Service == r.Service && k.Route == r.Route })
	if at < 0 {
		p.unreported = append(p.unreported, *r)
		return
	}
	p.unreported[at].merge(r)
}

// add adds observations of this daemon or a peer. It is called with pausesMu held.
func (p *Pauses) add(r *kindReport, now time.Time) {
	m := p.model(r.Service, r.Route)
	m.updatedAt = now
	if r.Requests > 0 {
		m.requests.add(float64(r.Requests), now, demandHalfLife)
		m.prefill.add(float64(r.Prefill), now, demandHalfLife)
		m.tokens.add(float64(r.Tokens), now, demandHalfLife)
	}
	if r.Streams > 0 {
		m.duration.Add(float64(r.Seconds)/float64(r.Streams), float64(r.Streams), now, missedHalfLife)
	}
	addMissed(&m.reserved, r.ReservedJudged, r.ReservedMissed, now)
	addMissed(&m.other, r.OtherJudged, r.OtherMissed, now)
	p.sweep(now)
}

// addMissed adds streams to the share of those that missed their gap objective.
func addMissed(m *Mean, judged, missed int32, now time.Time) {
	if judged > 0 {
		m.Add(float64(missed)/float64(judged), float64(judged), now, missedHalfLife)
		m.capWeight(maxMissedWeight)
	}
}

// model returns the model of a kind, adding it if needed. It is called with pausesMu held.
func (p *Pauses) model(service, route string) *pauseModel {
	routes := p.services[service]
	if routes == nil {
		if p.services == nil {
			p.services = map[string]map[string]*pauseModel{}
		}
		routes = map[string]*pauseModel{}
		p.services[service] = routes
	}
	m := routes[route]
	if m == nil {
		m = &pauseModel{}
		routes[route] = m
	}
	return m
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

// Demand returns what is known of the kinds of requests of a service, ordered by route.
func (p *Pauses) Demand(service string, now time.Time) []StreamDemand {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	var out []StreamDemand
	for route, m := range p.services[service] {
		d := StreamDemand{
			Route: route, Requests: m.requests.perSecond(now, demandHalfLife),
			Prefill:  m.prefill.perSecond(now, demandHalfLife),
			Reserved: missedShare(&m.reserved, now), Other: missedShare(&m.other, now),
		}
		d.Streams = d.Requests * m.duration.Value(0, 0.01, now, missedHalfLife)
		if m.requests.sum > 0 {
			d.Tokens = m.tokens.sum / m.requests.sum
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b StreamDemand) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// missedShare returns the share of streams that missed their gap objective. The prior is that they keep it.
func missedShare(m *Mean, now time.Time) MissedShare {
	return MissedShare{
		Missed:       m.Value(0, missedPriorWeight, now, missedHalfLife),
		Observations: m.weight * decay(now.Sub(m.decayedAt), missedHalfLife),
	}
}

// Collect returns the unreported observations for a heartbeat, or nil. It returns the same ones until
// Told is called.
func (p *Pauses) Collect(bool) any {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	if len(p.reporting) == 0 {
		p.reporting, p.unreported, p.unreportedSince = p.unreported, nil, time.Time{}
	}
	if len(p.reporting) == 0 {
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
	var reports []kindReport
	if err := msgpack.Unmarshal(raw, &reports); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	for i := range reports {
		if !reports[i].valid() {
			p.rejected++
			continue
		}
		p.add(&reports[i], now)
	}
}

// Rejected returns the number of invalid observations and reports.
func (p *Pauses) Rejected() int {
	p.pausesMu.Lock()
	defer p.pausesMu.Unlock()
	return p.rejected
}
