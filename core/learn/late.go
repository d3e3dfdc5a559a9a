package learn

import (
	"maps"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// LateCopies estimates how likely a copy of cached context over a link arrives after the
// time limit that its request set, so that the worker discards it. The zero value has no
// observations.
//
// Links learns speeds from copies that arrive. A link with more copies queued than it can
// deliver makes all of them late, whatever their size, which a speed does not express.
//
// Lock order: lateMu is taken alone.
type LateCopies struct {
	lateMu sync.Mutex
	// links holds the share of late copies by address of a store or worker. Guarded by
	// lateMu.
	links map[string]*Mean
	// unreported holds the observations that have not been sent to peers. Guarded by
	// lateMu.
	unreported []lateSample
	// collected is the number of leading observations of unreported that are in the
	// heartbeats being sent. Guarded by lateMu.
	collected int
	// unreportedSince is the time of the first observation in unreported. Guarded by lateMu.
	unreportedSince time.Time
	sweptAt         time.Time // last removal of links; guarded by lateMu
	// rejected counts the invalid observations of peers. Guarded by lateMu.
	rejected int
}

// lateSample is the observation of one copy.
type lateSample struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	From, To string
	Late     bool
	// Weight is how informative the sample is, 0 to 1.
	Weight float32
}

const (
	// lateHalfLife is the half-life of the weight of an observation: slow periods of links
	// last for seconds.
	lateHalfLife = 1500 * time.Millisecond
	// priorLateShare is the share of late copies that is expected by the prior, which
	// counts for latePriorWeight observations: one late copy is enough to doubt a link.
	priorLateShare  = 0.01
	latePriorWeight = 0.5
	// maxLateWeight bounds the total weight of the observations, so that a link which has
	// recovered is used again after a few copies on time.
	maxLateWeight = 3
	// lateDestinationShare is the share of a late copy that is attributed to the link of
	// its destination.
	lateDestinationShare = 1 - sourceShare
)

// Probability returns the probability that a copy from one address to another is late.
func (l *LateCopies) Probability(from, to string, now time.Time) float64 {
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	return 1 - (1-l.share(from, now))*(1-l.share(to, now))
}

// share returns the share of late copies over one link. It is called with lateMu held.
func (l *LateCopies) share(address string, now time.Time) float64 {
	m := l.links[address]
	if m == nil {
		return priorLateShare
	}
	return m.Value(priorLateShare, latePriorWeight, now, lateHalfLife)
}

// Observe records whether a copy was late. weight is how informative that is, 0 to 1: a
// first event that waited for something else as well shows little.
func (l *LateCopies) Observe(from, to string, late bool, weight float64, now time.Time) {
	s := lateSample{From: from, To: to, Late: late, Weight: float32(weight)}
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	if !l.add(s, now) {
		return
	}
	if len(l.unreported) == 0 {
		l.unreportedSince = now
	} else if now.Sub(l.unreportedSince) > maxUnreportedAge {
		// Without peers nothing is sent. Peers would take old observations for new ones.
		l.unreported, l.collected, l.unreportedSince = nil, 0, now
	}
	if len(l.unreported) < maxReported {
		l.unreported = append(l.unreported, s)
	}
}

// add adds an observation of this daemon or a peer, and reports whether it is valid. It is
// called with lateMu held.
func (l *LateCopies) add(s lateSample, now time.Time) bool {
	if !(s.Weight >= 0 && s.Weight <= 1) {
		l.rejected++
		return false
	}
	late, sourceWeight, destinationWeight := 0.0, float64(s.Weight), float64(s.Weight)
	if s.Late {
		late, sourceWeight, destinationWeight = 1, sourceShare*sourceWeight, lateDestinationShare*destinationWeight
	}
	l.addTo(s.From, late, sourceWeight, now)
	l.addTo(s.To, late, destinationWeight, now)
	l.sweep(now)
	return true
}

// addTo adds an observation to one link. It is called with lateMu held.
func (l *LateCopies) addTo(address string, late, weight float64, now time.Time) {
	if l.links == nil {
		l.links = map[string]*Mean{}
	}
	m := l.links[address]
	if m == nil {
		m = &Mean{}
		l.links[address] = m
	}
	m.Add(late, weight, now, lateHalfLife)
	m.capWeight(maxLateWeight)
}

// sweep removes links without observations for targetExpiry. It is called with lateMu held.
func (l *LateCopies) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < targetExpiry {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.links, func(_ string, m *Mean) bool { return now.Sub(m.decayedAt) > targetExpiry })
}

// Rejected returns the number of invalid observations.
func (l *LateCopies) Rejected() int {
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	return l.rejected
}

// Collect returns the unreported observations for a heartbeat, or nil.
func (l *LateCopies) Collect(bool) any {
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	l.collected = len(l.unreported)
	if l.collected == 0 {
		return nil
	}
	return l.unreported[:l.collected:l.collected]
}

// Told discards what the last Collect returned, once the heartbeats have been sent.
func (l *LateCopies) Told() {
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	if l.collected == 0 {
		return
	}
	l.unreported = l.unreported[l.collected:]
	l.collected, l.unreportedSince = 0, time.Now()
}

// Receive adds the observations that a peer reported.
func (l *LateCopies) Receive(_ string, raw []byte) {
	var report []lateSample
	if err := msgpack.Unmarshal(raw, &report); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	for _, s := range report {
		l.add(s, now)
	}
}
