package cache

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Where knows what the workers' memories hold, from the requests that this
// daemon and its peers sent: a worker keeps what it read until newer requests
// push it out, the longest unused first. It does not ask the workers, which tell
// of changes late, and following them all costs more than it gains. The zero
// value is ready.
//
// Lock order: whereMu is taken alone.
type Where struct {
	// Room returns how many tokens of context a worker holds, or 0 where that is
	// not known. It is called with whereMu held. Set before use; nil stands for not
	// known.
	Room func(target string) int
	// ReadLife is how long a part counts as read lately after its last use; 0
	// stands for readLife. Set before use.
	ReadLife time.Duration

	whereMu sync.Mutex
	// memories holds what each worker is believed to hold. Guarded by whereMu.
	memories map[string]*memory
	// holders names the workers that are believed to hold a part. No list is
	// empty. Guarded by whereMu.
	holders map[PartName][]string
	// used is when any worker last got a part. Guarded by whereMu.
	used map[PartName]time.Time
	// untold are uses that peers have not been told; the first collected of them
	// are being told. Guarded by whereMu.
	untold    []Use
	collected int       // guarded by whereMu
	swept     time.Time // guarded by whereMu
}

// Use is one request sent to a worker, by what it leaves in its memory.
type Use struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Salt     string
	// Parts are those that other requests have as well, in the order of the
	// prompt.
	Parts []UsedPart
	// Rest is how many more tokens the request brings, which nobody asks for
	// again.
	Rest int
}

// UsedPart is one part of a Use.
type UsedPart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Tokens   int
}

const (
	// readLife is how long a part counts as read lately where no setting says.
	readLife = 20 * time.Second
	// whereSweep is the pause between removals of what was used long ago.
	whereSweep = 5 * time.Second
	// untoldMost bounds the uses of one heartbeat.
	untoldMost = 200
)

// Note records that a request is sent to a worker.
func (w *Where) Note(u Use, now time.Time) {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	w.note(u, now)
	if len(w.untold) < untoldMost {
		w.untold = append(w.untold, u)
	}
}

// note is called with whereMu held.
func (w *Where) note(u Use, now time.Time) {
	if w.memories == nil {
		w.memories, w.holders, w.used = map[string]*memory{}, map[PartName][]string{}, map[PartName]time.Time{}
	}
	m := w.memories[u.Target]
	if m == nil {
		m = &memory{}
		w.memories[u.Target] = m
	}
	m.last = now
	w.drop(u.Target, m.renew(u.Salt))
	m.put(PartName{Salt: u.Salt}, u.Rest)
	// A worker gives up the end of a prompt before its begin.
	for _, p := range slices.Backward(u.Parts) {
		name := PartName{Salt: u.Salt, ID: p.ID}
		if m.put(name, p.Tokens) {
			w.holders[name] = append(w.holders[name], u.Target)
		}
		w.used[name] = now
	}
	if w.Room != nil {
		w.drop(u.Target, m.fit(w.Room(u.Target)))
	}
	w.sweep(now)
}

// drop records that a worker holds some parts no longer. It is called with
// whereMu held.
func (w *Where) drop(target string, names []PartName) {
	for _, name := range names {
		list := slices.DeleteFunc(w.holders[name], func(t string) bool { return t == target })
		if w.holders[name] = list; len(list) == 0 {
			delete(w.holders, name)
		}
	}
}

// sweep forgets what was used long ago. It is called with whereMu held.
func (w *Where) sweep(now time.Time) {
	if now.Sub(w.swept) < whereSweep {
		return
	}
	w.swept = now
	life := w.readLife()
	for name, at := range w.used {
		if now.Sub(at) > life {
			delete(w.used, name)
		}
	}
	for target, m := range w.memories {
		if now.Sub(m.last) > life {
			w.drop(target, m.clear())
			delete(w.memories, target)
		}
	}
}

// readLife returns how long a part counts as read lately.
func (w *Where) readLife() time.Duration {
	if w.ReadLife > 0 {
		return w.ReadLife
	}
	return readLife
}

// Holder is a worker that is believed to hold a part.
type Holder struct {
	Target string
	// Depth says how much the worker has used since the part, over the room it
	// has: the deeper a part lies the likelier it was pushed out. It is 0 where the
	// room is not known.
	Depth float64
}

// Find returns the workers that are believed to hold a part, and whether the
// part was read lately at all.
func (w *Where) Find(name PartName, now time.Time) (holders []Holder, read bool) {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	for _, target := range w.holders[name] {
		h := Holder{Target: target}
		if w.Room != nil {
			h.Depth = w.memories[target].depth(name, w.Room(target))
		}
		holders = append(holders, h)
	}
	at, ok := w.used[name]
	return holders, ok && now.Sub(at) <= w.readLife()
}

// Collect returns what peers have not been told yet.
func (w *Where) Collect(bool) any {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	w.collected = len(w.untold)
	if w.collected == 0 {
		return nil
	}
	return w.untold
}

// Told forgets what a round of heartbeats has told.
func (w *Where) Told() {
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	w.untold, w.collected = w.untold[w.collected:], 0
}

// Receive takes what a peer tells.
func (w *Where) Receive(_ string, raw []byte) {
	var told []Use
	if err := msgpack.Unmarshal(raw, &told); err != nil {
		// A peer of another version; what it tells is not used.
		return
	}
	now := time.Now()
	w.whereMu.Lock()
	defer w.whereMu.Unlock()
	for _, u := range told {
		w.note(u, now)
	}
}
