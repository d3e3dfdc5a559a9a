package roster

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Share tells other daemons, in heartbeats, what this one knows of targets
// first, and takes what they tell.
type Share struct{ *Roster }

// shareBody is a part of a heartbeat.
type shareBody struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Loads is the sender's work on its way, by target.
	Loads map[string]Load
	// Ordered says for how many more milliseconds the sender takes a target to
	// be about to change its weights.
	Ordered map[string]int64
	// Learned holds the versions of models that the sender saw targets to hold
	// lately, by target and model.
	Learned map[string]map[string]int64
}

// learnedLife is how long other daemons are told of a version that a target was
// seen to hold: a few heartbeats may be lost.
const learnedLife = 2 * time.Second

// Collect returns this daemon's part of a heartbeat.
func (s Share) Collect(bool) any {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	body := shareBody{Loads: map[string]Load{}}
	for id, t := range s.targets {
		if l := t.Own(); l != (Load{}) {
			body.Loads[id] = l
		}
	}
	now := time.Now()
	body.Ordered = left(s.ordered, now)
	for id, at := range s.learned {
		t := s.targets[id]
		if t == nil || now.Sub(at) > learnedLife {
			delete(s.learned, id)
			continue
		}
		if body.Learned == nil {
			body.Learned = map[string]map[string]int64{}
		}
		body.Learned[id] = t.Entry().Weights
	}
	return &body
}

// left returns for how many more milliseconds each of some times is to come,
// or nil without any.
func left(times map[string]time.Time, now time.Time) map[string]int64 {
	var out map[string]int64
	for id, until := range times {
		if d := until.Sub(now); d > 0 {
			if out == nil {
				out = map[string]int64{}
			}
			out[id] = d.Milliseconds()
		}
	}
	return out
}

// Receive takes a peer's part of a heartbeat.
func (s Share) Receive(peer string, raw []byte) {
	var body shareBody
	if err := msgpack.Unmarshal(raw, &body); err != nil {
		// A peer of another version; its loads are not counted.
		return
	}
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	now := time.Now()
	s.peers[peer] = peerLoads{now, body.Loads}
	delete(s.told, peer)
	for id, ms := range body.Ordered {
		if s.told[peer] == nil {
			s.told[peer] = map[string]time.Time{}
		}
		s.told[peer][id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	for id, weights := range body.Learned {
		for model, version := range weights {
			s.learn(id, model, version)
		}
	}
	s.sum(now)
}

// sum adds up what peers told. It is called with rosterMu held.
func (r *Roster) sum(now time.Time) {
	total := map[string]Load{}
	for peer, told := range r.peers {
		if now.Sub(told.at) > peerLoadLife {
			delete(r.peers, peer)
			continue
		}
		for id, l := range told.loads {
			t := total[id]
			t.add(l, 1)
			total[id] = t
		}
	}
	for id, t := range r.targets {
		t.setOthers(total[id])
	}
}

// Order records that a target is about to change its weights, so that it gets
// no new work until then. Other daemons hear of it until Done.
func (r *Roster) Order(id string, until time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if until.After(r.ordered[id]) {
		r.ordered[id] = until
	}
}

// Done records that a target has changed its weights, or will not.
func (r *Roster) Done(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	delete(r.ordered, id)
	for _, told := range r.told {
		delete(told, id)
	}
}

// Ordered returns the targets that are about to change their weights.
func (r *Roster) Ordered(now time.Time) map[string]bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := map[string]bool{}
	running(r.ordered, now, out)
	for _, told := range r.told {
		running(told, now, out)
	}
	return out
}

// running adds the targets whose time has not come to out, and forgets the
// others.
func running(times map[string]time.Time, now time.Time, out map[string]bool) {
	for id, until := range times {
		if now.Before(until) {
			out[id] = true
		} else {
			delete(times, id)
		}
	}
}
