package roster

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// HeartbeatPart is the roster's part of heartbeats: it sends other daemons what this one learns
// first about targets, and receives the same from them.
type HeartbeatPart struct{ *Roster }

// heartbeatBody is the roster's part of a heartbeat.
type heartbeatBody struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Loads is the sender's work in flight, by target.
	Loads map[string]Load
	// Updating is for how many more milliseconds each target has a weight update pending that the
	// sender recorded.
	Updating map[string]int64
	// Versions holds the weights versions that the sender recently saw, by target and model.
	Versions map[string]map[string]int64
	// Reloading is for how many more milliseconds the sender passes over a target that rejected
	// work while its weights were older than desired.
	Reloading map[string]int64
	// ShuttingDown holds the incarnations that recently reported shutting down.
	ShuttingDown []string
	// RateLimits holds the rate limits of incarnations, including those that ended recently.
	RateLimits map[string]RateLimitUpdate
	// RejectionLimits holds the rejection limits of incarnations, including those that ended recently.
	RejectionLimits map[string]RateLimitUpdate
	// Full means that the heartbeat is a full one. Only then SoftwareVersions is set: the versions of the targets'
	// software that the sender knows.
	Full             bool
	SoftwareVersions []versionAge
}

// maxReloadingMillis bounds the milliseconds that a peer may report for a reloading target.
const maxReloadingMillis = 2000

// Collect returns this daemon's part of a heartbeat.
func (s HeartbeatPart) Collect(full bool) any {
	body, memory := heartbeatBody{Loads: s.busy.loads()}, s.versionMemory()
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	now := time.Now()
	body.Updating = millisRemaining(s.updating, now)
	body.Reloading = millisRemaining(s.reloading, now)
	body.ShuttingDown = s.recentShutdowns()
	body.RateLimits = s.limitUpdates()
	body.RejectionLimits = s.brittleUpdates()
	body.Versions = s.recentVersions(now)
	if body.Full = full; full {
		body.SoftwareVersions = s.versionAges(memory)
	}
	return &body
}

// millisRemaining returns the milliseconds until each future deadline, or nil if there is none.
func millisRemaining(deadlines map[string]time.Time, now time.Time) map[string]int64 {
	var out map[string]int64
	for id, until := range deadlines {
		if d := until.Sub(now); d > 0 {
			if out == nil {
				out = map[string]int64{}
			}
			out[id] = d.Milliseconds()
		}
	}
	return out
}

// Receive applies a peer's part of a heartbeat.
func (s HeartbeatPart) Receive(peer string, raw []byte) {
	var body heartbeatBody
	if err := msgpack.Unmarshal(raw, &body); err != nil {
		// A peer of another version; its loads are not counted.
		return
	}
	defer s.notifyCapacity()
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	now := time.Now()
	s.peers[peer] = peerLoads{now, body.Loads}
	s.setPeerUpdating(peer, body.Updating, now)
	for id, millis := range body.Reloading {
		if until := now.Add(time.Duration(min(max(0, millis), maxReloadingMillis)) * time.Millisecond); until.After(s.peerReloading[id]) {
			s.peerReloading[id] = until
		}
	}
	for _, id := range body.ShuttingDown {
		// The report of a target that is not listed here yet is ignored: the target's first
		// response will state it.
		if s.targets[id] != nil {
			s.recordShutdown(id, ByPeer)
		}
	}
	s.mergeLimits(body.RateLimits)
	s.mergeBrittle(body.RejectionLimits)
	for id, weights := range body.Versions {
		for model, version := range weights {
			s.recordVersion(id, model, version)
		}
	}
	if body.Full {
		s.mergeVersionAges(peer, body.SoftwareVersions)
	}
	s.sumPeerLoads(now)
}

// sumPeerLoads adds up the loads that peers reported. It visits only targets at which a peer has
// work. It is called with rosterMu held.
func (r *Roster) sumPeerLoads(now time.Time) {
	total := map[string]Load{}
	for peer, report := range r.peers {
		if now.Sub(report.at) > peerLoadTTL {
			delete(r.peers, peer)
			continue
		}
		for id, l := range report.loads {
			t := total[id]
			t.add(l, 1)
			total[id] = t
		}
	}
	for id := range r.peerLoaded {
		if _, exists := total[id]; !exists {
			r.setRemoteLoad(id, Load{})
			delete(r.peerLoaded, id)
		}
	}
	for id, l := range total {
		r.setRemoteLoad(id, l)
		r.peerLoaded[id] = true
	}
}

// setRemoteLoad sets a target's load from other daemons. It is called with rosterMu held.
func (r *Roster) setRemoteLoad(id string, l Load) {
	if t := r.targets[id]; t != nil {
		t.setRemoteLoad(l)
	}
}
