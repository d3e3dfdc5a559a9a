package cache

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Where remembers which worker last ran a request with a part, so that later
// ones find the part there, or copy it from there. It is what this daemon and
// its peers did, not what the worker says: workers tell of changes late, and
// following them all costs more than it gains. The zero value is ready.
type Where struct {
	whereMu sync.Mutex
	seen    map[PartName]sighting // guarded by whereMu
	// untold are sightings that peers have not been told. Guarded by whereMu.
	untold []toldPart
	swept  time.Time // guarded by whereMu
}

// sighting is when a worker was last seen to have a part.
type sighting struct {
	target string
	at     time.Time
}

// toldPart is one sighting as peers are told.
type toldPart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Salt     string
	ID       string
	Target   string
}

const (
	// whereLife is how long a worker is believed to hold a part: on the users'
	// sites, requests' own parts push out everything unused within about 14 s.
	whereLife = 9 * time.Second
	// readLife is how long a part counts as read before: the users price reading
	// again only within 20 s of the last use.
	readLife = 20 * time.Second
	// whereSweep is the pause between removals of old sightings.
	whereSweep = 5 * time.Second
	// toldMost bounds the sightings of one heartbeat.
	toldMost = 200
)

// Note records that a worker has the part now.
func (w *Where) Note(name PartName, target string, now time.Time) {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	w.note(name, target, now)
	if len(w.untold) < toldMost {
		w.untold = append(w.untold, toldPart{Salt: name.Salt, ID: name.ID, Target: target})
	}
}

// note is called with whereMu held.
func (w *Where) note(name PartName, target string, now time.Time) {
	if w.seen == nil {
		w.seen = map[PartName]sighting{}
	}
	w.seen[name] = sighting{target, now}
	if now.Sub(w.swept) < whereSweep {
		return
	}
	w.swept = now
	for n, s := range w.seen {
		if now.Sub(s.at) > readLife {
			delete(w.seen, n)
		}
	}
}

// Find returns the worker that is believed to hold a part, or "", and whether
// the part was read lately at all.
func (w *Where) Find(name PartName, now time.Time) (target string, read bool) {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	s, ok := w.seen[name]
	switch age := now.Sub(s.at); {
	case !ok || age > readLife:
		return "", false
	case age > whereLife:
		return "", true
	}
	return s.target, true
}

// Collect returns what peers have not been told yet.
func (w *Where) Collect(bool) any {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	if len(w.untold) == 0 {
		return nil
	}
	return w.untold
}

// Told forgets what a round of heartbeats has told.
func (w *Where) Told() {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	w.untold = nil
}

// Receive takes what a peer tells.
func (w *Where) Receive(_ string, raw []byte) {
	var told []toldPart
	if err := msgpack.Unmarshal(raw, &told); err != nil {
		// A peer of another version; its sightings are not used.
		return
	}
	now := time.Now()
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	for _, t := range told {
		w.note(PartName{t.Salt, t.ID}, t.Target, now)
	}
}
