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
	// Ordered says for how many more milliseconds a target is about to change
	// its weights.
	Ordered map[string]int64
}

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
	for id, until := range s.ordered {
		if left := until.Sub(now); left > 0 {
			if body.Ordered == nil {
				body.Ordered = map[string]int64{}
			}
			body.Ordered[id] = left.Milliseconds()
		}
	}
	return &body
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
	for id, left := range body.Ordered {
		s.order(id, now.Add(time.Duration(left)*time.Millisecond))
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
// no new work until then.
func (r *Roster) Order(id string, until time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.order(id, until)
}

// order is called with rosterMu held.
func (r *Roster) order(id string, until time.Time) {
	if until.After(r.ordered[id]) {
		r.ordered[id] = until
	}
}

// Done records that a target has changed its weights.
func (r *Roster) Done(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	delete(r.ordered, id)
}

// Ordered returns the targets that are about to change their weights.
func (r *Roster) Ordered(now time.Time) map[string]bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := map[string]bool{}
	for id, until := range r.ordered {
		if now.Before(until) {
			out[id] = true
		} else {
			delete(r.ordered, id)
		}
	}
	return out
}
