package poison

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// Bounds of blocks.
const (
	// blockTime is for how long a request is blocked at first, blockMost at most: it
	// doubles each time the request ends a target after its block. Each try afterwards may
	// end a target, whose context of some 100,000 tokens is read anew, and a fault of a
	// target's software is mended in days; who has mended it takes the block back.
	blockTime = time.Hour
	blockMost = 24 * time.Hour
	// blocksMost bounds the blocks kept. One more takes the place of that which ends first
	// among those of the organisation that has the most, so that nobody can push out
	// another's. Full, they are 12 KB in a heartbeat.
	blocksMost = 256
	// tellTime is for how long heartbeats carry all blocks after a change, or after a peer
	// turned out to have others: three regular heartbeats and more.
	tellTime = 500 * time.Millisecond
)

// block says of one request that it must not be sent, or that this was taken back. Of two
// of the same request the one with the higher stamp counts.
type block struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Request      Fingerprint
	Organisation string
	// Released tells that the block was taken back.
	Released bool
	Stamp    int64
	// Times counts the blocks of the request in a row.
	Times int
	// Left is for how long it goes on, where it is told.
	Left time.Duration
	// until is its end here.
	until clock.Time
}

// lasts returns how long a block lasts in all.
func (b *block) lasts() time.Duration {
	return min(blockTime<<max(0, min(b.Times-1, 16)), blockMost)
}

// blocks are the requests that must not be sent, as all daemons tell each other. The zero
// value is not usable; see newBlocks.
type blocks struct {
	log *event.Log
	// changed hears that there is something to tell the peers of the cell.
	changed func()

	blocksMu sync.Mutex
	// known holds blocks in force, those taken back, and those that ended for as long
	// again as they lasted, so that the next one is longer. Guarded by blocksMu.
	known map[Fingerprint]block
	// tellUntil is until when heartbeats carry all blocks. Guarded by blocksMu.
	tellUntil clock.Time
}

func newBlocks(log *event.Log, changed func()) *blocks {
	return &blocks{log: log, changed: changed, known: map[Fingerprint]block{}}
}

// left returns for how much longer a request is blocked.
func (l *blocks) left(f Fingerprint) (time.Duration, bool) {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	b, found := l.known[f]
	if !found || b.Released {
		return 0, false
	}
	left := clock.Until(b.until)
	return left, left > 0
}

// former returns how often a request was blocked before, where that is not long ago.
func (l *blocks) former(f Fingerprint) int {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	if b := l.known[f]; !b.Released {
		return b.Times
	}
	return 0
}

// count returns how many requests are blocked.
func (l *blocks) count() int {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	n := 0
	for _, b := range l.known {
		if !b.Released && clock.Until(b.until) > 0 {
			n++
		}
	}
	return n
}

// add blocks a request.
func (l *blocks) add(f Fingerprint, organisation, why string) block {
	l.blocksMu.Lock()
	old := l.known[f]
	if !old.Released && clock.Until(old.until) > 0 {
		// The other keeper was first.
		l.blocksMu.Unlock()
		return old
	}
	b := block{Request: f, Organisation: organisation, Stamp: max(time.Now().UnixNano(), old.Stamp+1), Times: 1}
	if !old.Released {
		b.Times += old.Times
	}
	b.Left = b.lasts()
	l.blocksMu.Unlock()
	l.merge([]block{b}, why)
	return b
}

// release takes a block back, and returns what others are to be told where there was one.
func (l *blocks) release(f Fingerprint, why string) (told block, done bool) {
	l.blocksMu.Lock()
	b, found := l.known[f]
	l.blocksMu.Unlock()
	if !found || b.Released || clock.Until(b.until) <= 0 {
		return block{}, false
	}
	b.Released, b.Stamp, b.Left = true, b.Stamp+1, clock.Until(b.until)
	return b, l.merge([]block{b}, why)
}

// merge takes blocks that are newer than those known, and reports whether there were any.
func (l *blocks) merge(list []block, why string) bool {
	var taken []block
	l.blocksMu.Lock()
	for _, b := range list {
		if old, found := l.known[b.Request]; found && old.Stamp >= b.Stamp {
			continue
		}
		b.until = clock.Now().Add(min(max(0, b.Left), blockMost))
		l.known[b.Request] = b
		taken = append(taken, b)
	}
	l.trim()
	if len(taken) > 0 {
		l.tellUntil = clock.Now().Add(tellTime)
	}
	l.blocksMu.Unlock()
	for i := range taken {
		l.logged(&taken[i], why)
	}
	if len(taken) > 0 {
		l.changed()
	}
	return len(taken) > 0
}

// logged writes the line of a change.
func (l *blocks) logged(b *block, why string) {
	ref := event.Ref{Organisation: b.Organisation}
	if b.Released {
		l.log.Emit(event.RequestReleased, ref, "asks "+b.Request.String()+"; "+why)
		return
	}
	l.log.Emit(event.RequestBlocked, ref, "asks "+b.Request.String()+" for "+b.Left.Round(time.Second).String()+", time "+strconv.Itoa(b.Times)+"; "+why)
}

// trim forgets what ended long ago and what is too much. It is called with blocksMu held.
func (l *blocks) trim() {
	for f, b := range l.known {
		if -clock.Until(b.until) > b.lasts() {
			delete(l.known, f)
		}
	}
	for len(l.known) > blocksMost {
		delete(l.known, l.least())
	}
}

// least returns the request to forget first. It is called with blocksMu held.
func (l *blocks) least() Fingerprint {
	held := map[string]int{}
	for _, b := range l.known {
		held[b.Organisation]++
	}
	var out *block
	for _, b := range l.known {
		if out == nil || held[b.Organisation] > held[out.Organisation] || (held[b.Organisation] == held[out.Organisation] && b.until.Before(out.until)) {
			out = &b
		}
	}
	return out.Request
}

// list returns the blocks as they are told, those that were taken back or ended included.
func (l *blocks) list() []block {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	return l.all()
}

// all returns the blocks as they are told. It is called with blocksMu held.
func (l *blocks) all() []block {
	out := make([]block, 0, len(l.known))
	for _, b := range l.known {
		b.Left = max(0, clock.Until(b.until))
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b block) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return out
}

// digest tells two lists of blocks apart. It is called with blocksMu held.
func (l *blocks) digest() uint64 {
	var sum uint64
	for f, b := range l.known {
		if clock.Until(b.until) <= 0 {
			// Daemons forget what has ended each in their own time.
			continue
		}
		part := uint64(b.Stamp)
		for _, c := range f {
			part = part*digestPrime + uint64(c)
		}
		sum ^= part
	}
	return sum
}

// digestPrime mixes what a digest is made of (FNV's).
const digestPrime = 1099511628211

// blockBeat is a part of a heartbeat.
type blockBeat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Digest is that of all blocks of the sender.
	Digest uint64
	// Blocks are all of them where something changed, else none.
	Blocks []block
}

// Collect returns this daemon's part of a heartbeat: what was changed lately or peers lack,
// and else only a digest, by which a peer that missed it finds out.
func (l *blocks) Collect(full bool) any {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	tell := clock.Until(l.tellUntil) > 0
	if len(l.known) == 0 && !tell {
		return nil
	}
	out := &blockBeat{Digest: l.digest()}
	if full || tell {
		out.Blocks = l.all()
	}
	return out
}

// Receive takes a peer's part of a heartbeat.
func (l *blocks) Receive(peer string, raw []byte) {
	var b blockBeat
	if err := msgpack.Unmarshal(raw, &b); err != nil {
		// A peer of another version tells nothing that can be used.
		l.log.Emit(event.PeerNotTold, event.Ref{}, peer+": its blocked requests: "+err.Error())
		return
	}
	l.merge(b.Blocks, "told by "+peer)
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	if l.digest() != b.Digest {
		l.tellUntil = clock.Now().Add(tellTime)
	}
}
