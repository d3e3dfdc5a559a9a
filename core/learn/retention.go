package learn

import (
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Retention learns how likely workers still hold a part, by how much of their
// memory was used since its last use. The zero value knows nothing.
//
// Lock order: retentionMu is taken alone.
type Retention struct {
	retentionMu sync.Mutex
	// kept averages whether parts were there, by depth. Guarded by retentionMu.
	kept map[string]*[depthSteps]Mean
	// untold are observations that peers have not been told; the first collected
	// of them are being told. Guarded by retentionMu.
	untold    []depthSample
	collected int // guarded by retentionMu
	rejected  int // guarded by retentionMu
}

// depthSample is one observation.
type depthSample struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	Depth    float32
	Kept     bool
}

const (
	// depthSteps is the resolution of depths from 0 to depthMost.
	depthSteps = 13
	depthMost  = 1.3
	// depthUsual is the depth at which half of the parts are expected to be gone, and
	// depthWidth how sharp that is: memory that running requests hold besides, and
	// parts that are taken up in another order than they were sent, blur it.
	depthUsual = 0.85
	depthWidth = 0.07
	// depthWeight is how many observations the expectation counts for, and
	// depthSamples how many count at most.
	depthWeight  = 4
	depthSamples = 60
	// retentionLife is the age at which an observation counts half.
	retentionLife = 30 * time.Second
)

// expectedKept returns the chance expected before anything was observed.
func expectedKept(depth float64) float64 {
	return 1 / (1 + math.Exp((depth-depthUsual)/depthWidth))
}

// Chance returns how likely a worker of a service still holds a part at a depth.
func (r *Retention) Chance(service string, depth float64, now time.Time) float64 {
	if !finite(depth) || depth >= depthMost {
		return 0
	}
	depth = max(depth, 0)
	usual := expectedKept(depth)
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	steps := r.kept[service]
	if steps == nil {
		return usual
	}
	return steps[depthStep(depth)].Value(usual, depthWeight, now, retentionLife)
}

// depthStep returns the step of a depth.
func depthStep(depth float64) int {
	return min(int(depth/depthMost*depthSteps), depthSteps-1)
}

// Observe records whether a part at a depth was there.
func (r *Retention) Observe(service string, depth float64, kept bool, now time.Time) {
	s := depthSample{Service: service, Depth: float32(depth), Kept: kept}
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	if r.take(s, now) && len(r.untold) < newsMost {
		r.untold = append(r.untold, s)
	}
}

// take records an observation, here or elsewhere, and reports whether it can be
// true. It is called with retentionMu held.
func (r *Retention) take(s depthSample, now time.Time) bool {
	if !(s.Depth >= 0 && s.Depth < depthMost) {
		r.rejected++
		return false
	}
	if r.kept == nil {
		r.kept = map[string]*[depthSteps]Mean{}
	}
	steps := r.kept[s.Service]
	if steps == nil {
		steps = &[depthSteps]Mean{}
		r.kept[s.Service] = steps
	}
	kept := 0.0
	if s.Kept {
		kept = 1
	}
	m := &steps[depthStep(float64(s.Depth))]
	m.Add(kept, 1, now, retentionLife)
	m.bound(depthSamples)
	return true
}

// Collect returns what peers have not been told yet.
func (r *Retention) Collect(bool) any {
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	r.collected = len(r.untold)
	if r.collected == 0 {
		return nil
	}
	return r.untold
}

// Told forgets what a round of heartbeats has told.
func (r *Retention) Told() {
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	r.untold, r.collected = r.untold[r.collected:], 0
}

// Receive takes what a peer tells.
func (r *Retention) Receive(_ string, raw []byte) {
	var told []depthSample
	if err := msgpack.Unmarshal(raw, &told); err != nil {
		// A peer of another version; what it tells is not used.
		return
	}
	now := time.Now()
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	for _, s := range told {
		r.take(s, now)
	}
}

// Rejected returns how many observations could not be true.
func (r *Retention) Rejected() int {
	r.retentionMu.Lock()
	defer r.retentionMu.Unlock()
	return r.rejected
}
