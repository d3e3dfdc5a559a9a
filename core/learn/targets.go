package learn

import (
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Targets learns how each target differs from the others of its service: how slow
// it is and how often it fails. The zero value knows nothing.
//
// Lock order: targetsMu is taken alone.
type Targets struct {
	targetsMu sync.Mutex
	targets   map[string]*targetState // by target; guarded by targetsMu
	services  map[string]*Mean        // share of failures by service; guarded by targetsMu
	// untold is what peers have not been told, by target. Guarded by targetsMu.
	untold  map[string]targetNews
	telling map[string]targetNews
	swept   time.Time // guarded by targetsMu
	// rejected counts what peers told that could not be true. Guarded by
	// targetsMu.
	rejected int
}

// targetState is what is known of one target.
type targetState struct {
	// slow averages the logarithm of observed over expected times, and faults the
	// failures.
	slow, faults Mean
	last         time.Time
}

// targetNews is what a daemon observed of one target since it told last.
type targetNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Times is how many times were observed, and Slow the sum of the logarithms of
	// each over that expected.
	Times int32
	Slow  float32
	// Answers is how many answers came, and Faults how many of them were bad.
	Answers int32
	Faults  int32
}

const (
	// targetLife is the age at which an answer counts half: a target that was slow
	// or failed is tried again within seconds.
	targetLife = 2 * time.Second
	// targetWeight is how many answers the expectation counts for, and
	// targetSamples how many count at most.
	targetWeight  = 2
	targetSamples = 20
	// serviceLife is the same for the share of failures of a whole service.
	serviceLife = 20 * time.Second
	// serviceFaults is the share of failures expected of a service, with the weight
	// of serviceWeight answers.
	serviceFaults = 0.02
	serviceWeight = 10
	// paceMost bounds one time as a factor either way.
	paceMost = 8
	// forgetTarget is when a target that is not heard of is forgotten.
	forgetTarget = time.Minute
	// toldMost bounds the answers that a peer may tell at once.
	toldMost = 10000
)

// TargetState is what is known of a target.
type TargetState struct {
	// Pace is its time to a first answer over that expected of its service.
	Pace float64
	// Faults is the share of its answers that are bad.
	Faults float64
}

// State returns what is known of a target of a service.
func (t *Targets) State(id, service string, now time.Time) TargetState {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	usual := serviceFaults
	if m := t.services[service]; m != nil {
		usual = m.Value(serviceFaults, serviceWeight, now, serviceLife)
	}
	s := t.targets[id]
	if s == nil {
		return TargetState{Pace: 1, Faults: usual}
	}
	return TargetState{
		Pace:   math.Exp(s.slow.Value(0, targetWeight, now, targetLife)),
		Faults: s.faults.Value(usual, targetWeight, now, targetLife),
	}
}

// Timed records a time over that expected of the service.
func (t *Targets) Timed(id, service string, ratio float64, now time.Time) {
	if !(ratio > 0) || !finite(ratio) {
		return
	}
	log := math.Log(min(max(ratio, 1.0/paceMost), paceMost))
	t.tell(id, targetNews{Service: service, Times: 1, Slow: float32(log)}, now)
}

// Answered records whether an answer was good.
func (t *Targets) Answered(id, service string, good bool, now time.Time) {
	n := targetNews{Service: service, Answers: 1}
	if !good {
		n.Faults = 1
	}
	t.tell(id, n, now)
}

// tell records what was observed here, for peers too.
func (t *Targets) tell(id string, n targetNews, now time.Time) {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	t.take(id, n, now)
	if t.untold == nil {
		t.untold = map[string]targetNews{}
	}
	sum := t.untold[id]
	sum.Service = n.Service
	sum.Times += n.Times
	sum.Slow += n.Slow
	sum.Answers += n.Answers
	sum.Faults += n.Faults
	t.untold[id] = sum
}

// take records what was observed, here or elsewhere. It is called with targetsMu
// held.
func (t *Targets) take(id string, n targetNews, now time.Time) {
	s := t.targets[id]
	if s == nil {
		if t.targets == nil {
			t.targets, t.services = map[string]*targetState{}, map[string]*Mean{}
		}
		s = &targetState{}
		t.targets[id] = s
	}
	s.last = now
	if n.Times > 0 {
		s.slow.Add(float64(n.Slow)/float64(n.Times), float64(n.Times), now, targetLife)
		s.slow.bound(targetSamples)
	}
	if n.Answers > 0 {
		share := float64(n.Faults) / float64(n.Answers)
		s.faults.Add(share, float64(n.Answers), now, targetLife)
		s.faults.bound(targetSamples)
		if t.services[n.Service] == nil {
			t.services[n.Service] = &Mean{}
		}
		t.services[n.Service].Add(share, float64(n.Answers), now, serviceLife)
	}
	t.sweep(now)
}

// sweep forgets targets that were not heard of for long. It is called with
// targetsMu held.
func (t *Targets) sweep(now time.Time) {
	if now.Sub(t.swept) < forgetTarget {
		return
	}
	t.swept = now
	for id, s := range t.targets {
		if now.Sub(s.last) > forgetTarget {
			delete(t.targets, id)
		}
	}
}

// sound reports whether what a peer tells can be true.
func (n *targetNews) sound() bool {
	most := math.Log(paceMost) * float64(n.Times) * 1.01
	return n.Times >= 0 && n.Times <= toldMost && n.Answers >= 0 && n.Answers <= toldMost &&
		n.Faults >= 0 && n.Faults <= n.Answers && math.Abs(float64(n.Slow)) <= most
}

// Collect returns what peers have not been told yet.
func (t *Targets) Collect(bool) any {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	if t.telling == nil {
		t.telling, t.untold = t.untold, nil
	}
	if len(t.telling) == 0 {
		return nil
	}
	return t.telling
}

// Told forgets what a round of heartbeats has told.
func (t *Targets) Told() {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	t.telling = nil
}

// Receive takes what a peer tells.
func (t *Targets) Receive(_ string, raw []byte) {
	var told map[string]targetNews
	if err := msgpack.Unmarshal(raw, &told); err != nil {
		// A peer of another version; what it tells is not used.
		return
	}
	now := time.Now()
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	for id, n := range told {
		if !n.sound() {
			t.rejected++
			continue
		}
		t.take(id, n, now)
	}
}

// Rejected returns how much of what peers told could not be true.
func (t *Targets) Rejected() int {
	t.targetsMu.Lock()
	defer t.targetsMu.Unlock()
	return t.rejected
}
