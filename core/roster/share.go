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
	// Reloading says for how many more milliseconds the sender passes over a target that
	// refused work while its weights were older than named.
	Reloading map[string]int64
	// Leaving are the runs that lately said in their answers that they leave.
	Leaving []string
	// Limits are the request rates that runs named, and those that ended lately.
	Limits map[string]LimitNews
}

// mostReloading bounds the milliseconds that a peer may tell of a target that reloads.
const mostReloading = 2000

// Collect returns this daemon's part of a heartbeat.
func (s Share) Collect(bool) any {
	body := shareBody{Loads: s.busy.loads()}
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	now := time.Now()
	body.Ordered = millisLeft(s.ordered, now)
	body.Reloading = millisLeft(s.reloading, now)
	body.Leaving = s.leavingLately()
	body.Limits = s.limitNews()
	body.Learned = s.learnedLately(now)
	return &body
}

// millisLeft returns for how many more milliseconds each of some times is to come,
// or nil without any.
func millisLeft(times map[string]time.Time, now time.Time) map[string]int64 {
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
	s.setPeerOrdered(peer, body.Ordered, now)
	for id, millis := range body.Reloading {
		if until := now.Add(time.Duration(min(max(0, millis), mostReloading)) * time.Millisecond); until.After(s.peerReloading[id]) {
			s.peerReloading[id] = until
		}
	}
	for _, id := range body.Leaving {
		// What is not listed here yet is not taken from a peer: its first answer will say so.
		if s.targets[id] != nil {
			s.leaves(id, ByPeer)
		}
	}
	s.mergeLimits(body.Limits)
	for id, weights := range body.Learned {
		for model, version := range weights {
			s.learn(id, model, version)
		}
	}
	s.sum(now)
}

// sum adds up what peers told. It looks only at targets that somebody has work at. It is called with
// rosterMu held.
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
	for id := range r.loaded {
		if _, still := total[id]; !still {
			r.setOthers(id, Load{})
			delete(r.loaded, id)
		}
	}
	for id, l := range total {
		r.setOthers(id, l)
		r.loaded[id] = true
	}
}

// setOthers is called with rosterMu held.
func (r *Roster) setOthers(id string, l Load) {
	if t := r.targets[id]; t != nil {
		t.setOthers(l)
	}
}
