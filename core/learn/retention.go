package learn

import (
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Retention estimates how likely a worker still has a prompt segment cached. The
// estimate depends on the segment's depth: the amount of KV-cache memory that the worker
// has used since the segment's last use, divided by its total; it can exceed 1. The zero
// value has no observations.
//
// Lock order: retentionMu is taken alone.
type Retention struct {
	retentionMu sync.Mutex
	// cached holds, by service, the share of segments in each range of depths that
	// were still cached. Guarded by retentionMu.
	cached map[string]*[depthBuckets]Mean
	// unreported holds the observations that have not been sent to peers. Guarded by
	// retentionMu.
	unreported []depthSample
	// collected is the number of leading observations of unreported that are in the
	// heartbeats being sent. Guarded by retentionMu.
	collected int
	// rejected counts the observations with an invalid depth, of this daemon and its
	// peers. Guarded by retentionMu.
	rejected int
}

// depthSample is one observation: whether a segment was still cached.
type depthSample struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	Depth    float32
	Cached   bool
}

const (
	// depthBuckets is the number of equal ranges that depths from 0 to maxDepth are
	// divided into. At maxDepth and beyond no segment is expected to be cached.
	depthBuckets = 13
	maxDepth     = 1.3
	// priorDepth is the depth at which the prior expects half of the segments to be
	// evicted, and priorWidth the scale of its logistic curve. The transition is
	// gradual because running requests occupy memory too and because workers process
	// segments in another order than they were sent.
	priorDepth = 0.85
	priorWidth = 0.07
	// depthPriorWeight is the number of observations that the prior counts for, and
	// maxDepthWeight bounds the total weight of the observations in a range.
	depthPriorWeight = 4
	maxDepthWeight   = 60
	// retentionHalfLife is the half-life of the weight of an observation.
	retentionHalfLife = 30 * time.Second
)

// priorProbability returns the probability that a segment at a depth is cached, by the prior.
func priorProbability(depth float64) float64 {
	return 1 / (1 + math.Exp((depth-priorDepth)/priorWidth))
}

// Probability returns the probability that a worker of a service still has a segment at a
// depth cached.
func (r *Retention) Probability(service string, depth float64, now time.Time) float64 {
	if !finite(depth) || depth >= maxDepth {
		return 0
	}
	depth = max(depth, 0)
	prior := priorProbability(depth)
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	buckets := r.cached[service]
	if buckets == nil {
		return prior
	}
	return buckets[depthBucket(depth)].Value(prior, depthPriorWeight, now, retentionHalfLife)
}

// depthBucket returns the index of the range that a depth is in.
func depthBucket(depth float64) int {
	return min(int(depth/maxDepth*depthBuckets), depthBuckets-1)
}

// Observe records whether a worker of a service still had a segment at a depth cached.
func (r *Retention) Observe(service string, depth float64, cached bool, now time.Time) {
	s := depthSample{Service: service, Depth: float32(depth), Cached: cached}
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	if r.add(s, now) && len(r.unreported) < maxReported {
		r.unreported = append(r.unreported, s)
	}
}

// add adds an observation of this daemon or a peer, and reports whether it is valid. It is
// called with retentionMu held.
func (r *Retention) add(s depthSample, now time.Time) bool {
	if !(s.Depth >= 0 && s.Depth < maxDepth) {
		r.rejected++
		return false
	}
	if r.cached == nil {
		r.cached = map[string]*[depthBuckets]Mean{}
	}
	buckets := r.cached[s.Service]
	if buckets == nil {
		buckets = &[depthBuckets]Mean{}
		r.cached[s.Service] = buckets
	}
	cached := 0.0
	if s.Cached {
		cached = 1
	}
	m := &buckets[depthBucket(float64(s.Depth))]
	m.Add(cached, 1, now, retentionHalfLife)
	m.capWeight(maxDepthWeight)
	return true
}

// Collect returns the unreported observations for a heartbeat, or nil.
func (r *Retention) Collect(bool) any {
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	r.collected = len(r.unreported)
	if r.collected == 0 {
		return nil
	}
	return r.unreported
}

// Told discards what the last Collect returned, once the heartbeats have been sent.
func (r *Retention) Told() {
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	r.unreported, r.collected = r.unreported[r.collected:], 0
}

// Receive adds the observations that a peer reported.
func (r *Retention) Receive(_ string, raw []byte) {
	var report []depthSample
	if err := msgpack.Unmarshal(raw, &report); err != nil {
		// A peer of another version sent it.
		return
	}
	now := time.Now()
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	for _, s := range report {
		r.add(s, now)
	}
}

// Rejected returns the number of observations with an invalid depth.
func (r *Retention) Rejected() int {
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	return r.rejected
}
