package learn

import (
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Links estimates how long copies of cached context take over the links of KV-cache
// stores and workers. Each link carries one copy at a time. Links learns how much
// slower than configured a link is, and tracks the copies that are queued for it. The
// zero value has no observations.
//
// Lock order: linksMu is taken alone.
type Links struct {
	linksMu sync.Mutex
	links   map[string]*linkModel // by address; guarded by linksMu
	// unreported holds the copies and samples that have not been sent to peers.
	// Guarded by linksMu.
	unreported linkReport
	// collected is the number of leading copies and samples of unreported that are in
	// the heartbeats being sent. Guarded by linksMu.
	collected struct{ copies, samples int }
	// rejected counts the invalid copies and samples. Guarded by linksMu.
	rejected int
}

// linkModel is the state of the link of one store or worker.
type linkModel struct {
	// logSlowdown is the mean of the logarithm of the observed over the configured
	// time of copies.
	logSlowdown Mean
	// busyUntil is when the recorded copies are expected to be finished.
	busyUntil time.Time
}

// linkReport is what Links adds to a heartbeat.
type linkReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Copies   []linkCopy
	Samples  []linkSample
}

// linkCopy is a copy that was started, between two addresses. Micros is its expected
// duration in microseconds.
type linkCopy struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	From, To string
	Micros   int64
}

// linkSample is the observation of a link by one copy.
type linkSample struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Address  string
	// LogSlowdown is the logarithm of the observed over the configured time.
	LogSlowdown float32
	// Weight is how informative the sample is, 0 to 1.
	Weight float32
}

const (
	// slowdownHalfLife is the half-life of the weight of a sample. Slow periods of
	// links start and end within seconds, and a link that is avoided must be tried
	// again.
	slowdownHalfLife = 1500 * time.Millisecond
	// slowdownPriorWeight is the number of samples that the configured rate counts
	// for.
	slowdownPriorWeight = 0.5
	// maxSlowdownWeight bounds the total weight of the samples, so that a link which
	// has recovered is soon recognised.
	maxSlowdownWeight = 6
	// maxLinkSlowdown bounds the slowdown of one sample, and its inverse.
	maxLinkSlowdown = 16
	// maxBusy bounds how far into the future a link is assumed to be busy.
	maxBusy = 5 * time.Second
	// maxReported bounds the unreported copies, and the unreported samples.
	maxReported = 200
)

// LinkState is the estimated state of a link.
type LinkState struct {
	// Slowdown is the estimated time of a copy divided by the configured one.
	Slowdown float64
	// Wait is how long a new copy waits for the copies before it.
	Wait time.Duration
}

// State returns the estimated state of the link at an address.
func (l *Links) State(address string, now time.Time) LinkState {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	m := l.links[address]
	if m == nil {
		return LinkState{Slowdown: 1}
	}
	return LinkState{
		Slowdown: math.Exp(m.logSlowdown.Value(0, slowdownPriorWeight, now, slowdownHalfLife)),
		Wait:     max(0, m.busyUntil.Sub(now)),
	}
}

// Begin records the start of a copy from one address to another. duration is its
// expected time, without the wait for earlier copies.
func (l *Links) Begin(from, to string, duration time.Duration, now time.Time) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	l.addCopy(from, to, duration, now)
	if len(l.unreported.Copies) < maxReported {
		l.unreported.Copies = append(l.unreported.Copies,
			linkCopy{From: from, To: to, Micros: duration.Microseconds()})
	}
}

// addCopy extends the busy time of both links of a copy. It is called with linksMu held.
func (l *Links) addCopy(from, to string, duration time.Duration, now time.Time) {
	for _, address := range [...]string{from, to} {
		m := l.link(address)
		if m.busyUntil.Before(now) {
			m.busyUntil = now
		}
		m.busyUntil = m.busyUntil.Add(duration)
		if limit := now.Add(maxBusy); m.busyUntil.After(limit) {
			m.busyUntil = limit
		}
	}
}

// link returns the link at an address, adding it if needed. It is called with linksMu
// held.
func (l *Links) link(address string) *linkModel {
	if l.links == nil {
		l.links = map[string]*linkModel{}
	}
	m := l.links[address]
	if m == nil {
		m = &linkModel{}
		l.links[address] = m
	}
	return m
}

// Sample records that a copy took ratio times as long as expected from the states of
// its two links. The logarithm of ratio is divided between them by sourceShare. weight
// is how informative the observation is, 0 to 1. A ratio that is not positive and finite
// is ignored.
func (l *Links) Sample(from, to string, ratio, weight float64, now time.Time) {
	if !(ratio > 0) || !finite(ratio) {
		return
	}
	logRatio := math.Log(min(max(ratio, 1.0/maxLinkSlowdown), maxLinkSlowdown))
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for _, s := range [...]linkSample{
		{Address: from, LogSlowdown: float32(l.meanLogSlowdown(from, now) + logRatio*sourceShare), Weight: float32(weight)},
		{Address: to, LogSlowdown: float32(l.meanLogSlowdown(to, now) + logRatio*(1-sourceShare)), Weight: float32(weight)},
	} {
		l.addSample(s, now)
		if len(l.unreported.Samples) < maxReported {
			l.unreported.Samples = append(l.unreported.Samples, s)
		}
	}
}

// sourceShare is the share of a deviation that is attributed to the link of the copy's
// source: stores are few and serve all workers, so that their links are more likely to be
// slow.
const sourceShare = 0.75

// meanLogSlowdown returns the logarithm of a link's estimated slowdown. It is called with
// linksMu held.
func (l *Links) meanLogSlowdown(address string, now time.Time) float64 {
	return l.link(address).logSlowdown.Value(0, slowdownPriorWeight, now, slowdownHalfLife)
}

// addSample adds a sample to its link, or counts it as rejected. It is called with linksMu
// held.
func (l *Links) addSample(s linkSample, now time.Time) {
	limit := math.Log(maxLinkSlowdown)
	if !finite(float64(s.LogSlowdown)) || s.Weight < 0 || s.Weight > 1 {
		l.rejected++
		return
	}
	m := l.link(s.Address)
	m.logSlowdown.Add(min(max(float64(s.LogSlowdown), -limit), limit), float64(s.Weight), now, slowdownHalfLife)
	m.logSlowdown.capWeight(maxSlowdownWeight)
}

// Rejected returns the number of invalid copies and samples.
func (l *Links) Rejected() int {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	return l.rejected
}

// Collect returns the unreported copies and samples for a heartbeat, or nil.
func (l *Links) Collect(bool) any {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	l.collected.copies, l.collected.samples = len(l.unreported.Copies), len(l.unreported.Samples)
	if l.collected.copies == 0 && l.collected.samples == 0 {
		return nil
	}
	report := l.unreported
	return &report
}

// Told discards what the last Collect returned, once the heartbeats have been sent.
func (l *Links) Told() {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	l.unreported.Copies = l.unreported.Copies[l.collected.copies:]
	l.unreported.Samples = l.unreported.Samples[l.collected.samples:]
	l.collected.copies, l.collected.samples = 0, 0
}

// Receive adds the copies and samples that a peer reported.
func (l *Links) Receive(_ string, raw []byte) {
	var report linkReport
	if err := msgpack.Unmarshal(raw, &report); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for _, c := range report.Copies {
		duration := time.Duration(c.Micros) * time.Microsecond
		if duration < 0 || duration > maxBusy {
			l.rejected++
			continue
		}
		l.addCopy(c.From, c.To, duration, now)
	}
	for _, s := range report.Samples {
		l.addSample(s, now)
	}
}
