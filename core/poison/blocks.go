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

// Limits on blocks.
const (
	// initialBlockTime is how long a request is blocked the first time. The time doubles each time
	// the request crashes a target after its block ended, up to maxBlockTime. Each attempt after a
	// block may crash a target, whose context of some 100,000 tokens is then recomputed, and a bug
	// in a target's software takes days to fix. Whoever has fixed it releases the block.
	initialBlockTime = time.Hour
	maxBlockTime     = 24 * time.Hour
	// maxBlocks bounds the list. A further block replaces the one that expires first among those of
	// the organisation with the most blocks, so that no organisation can evict another's. A full
	// list takes 12 KB in a heartbeat.
	maxBlocks = 256
	// publishTime is how long heartbeats carry the whole list after a change, or after a peer
	// turned out to have a different list. It covers more than three regular heartbeats.
	publishTime = 500 * time.Millisecond
)

// block states that a request must not be sent, or that this was revoked. Of two blocks for the
// same request the one with the higher stamp applies.
type block struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Request      Digest
	Organisation string
	// Released reports that the block was revoked.
	Released bool
	Stamp    int64
	// Consecutive is the number of consecutive blocks of the request.
	Consecutive int
	// Remaining is the time until the block expires, as of when it was sent; negative if it has expired.
	Remaining time.Duration
	// Parts are the IDs of the parts that a request must hold all of to be blocked. If there are any, Request is their
	// digest, and Organisation "" means the requests of all.
	Parts []string
	// expires is when the block expires by the local clock.
	expires clock.Time
}

// combination returns the parts that are blocked, or nil if the block is about one request.
func (b *block) combination() *combination {
	if len(b.Parts) == 0 {
		return nil
	}
	return &combination{b.Organisation, b.Parts}
}

// text returns what is blocked, for log lines.
func (b *block) text() string {
	text := "asks " + b.Request.String()
	if c := b.combination(); c != nil {
		text += ", parts " + c.text()
	}
	return text
}

// isForgotten reports whether a block with this much remaining time is kept no longer.
func (b *block) isForgotten(remaining time.Duration) bool { return remaining < -b.duration() }

// duration returns the total time of a block.
func (b *block) duration() time.Duration {
	return min(initialBlockTime<<max(0, min(b.Consecutive-1, 16)), maxBlockTime)
}

// blockList holds the requests that must not be sent. All daemons replicate it. The zero value is
// not usable; see newBlockList.
type blockList struct {
	log *event.Log
	// notify is called when the peers of the cell must receive a change.
	notify func()
	// released is called for each block that was revoked.
	released func(Digest)

	blocksMu sync.Mutex
	// entries holds active blocks, released ones, and expired ones for as long again as they
	// lasted, so that the next block is longer. Guarded by blocksMu.
	entries map[Digest]block
	// combinations are the digests of the entries that are about parts. Guarded by blocksMu.
	combinations map[Digest]bool
	// publishUntil is the time until which heartbeats carry the whole list. Guarded by blocksMu.
	publishUntil clock.Time
}

func newBlockList(log *event.Log, notify func(), released func(Digest)) *blockList {
	return &blockList{log: log, notify: notify, released: released, entries: map[Digest]block{}, combinations: map[Digest]bool{}}
}

// match returns the block of a request or of parts that it holds, and how much longer it lasts.
func (l *blockList) match(sent *Sent) (Digest, time.Duration, bool) {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	if remaining, blocked := l.remainingLocked(sent.Request); blocked {
		return sent.Request, remaining, true
	}
	for d := range l.combinations {
		if remaining, blocked := l.remainingLocked(d); blocked && l.matchesLocked(d, sent) {
			return d, remaining, true
		}
	}
	return Digest{}, 0, false
}

// text returns what the block with a digest is about, for log lines.
func (l *blockList) text(d Digest) string {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	b := l.entries[d]
	return b.text()
}

// matchesLocked reports whether a request holds the parts of a block. It is called with blocksMu held.
func (l *blockList) matchesLocked(d Digest, sent *Sent) bool {
	b := l.entries[d]
	c := b.combination()
	return c != nil && c.matches(sent)
}

// combinationIn returns the parts of a request that are blocked or, with expired set, were so until recently.
func (l *blockList) combinationIn(sent *Sent) (c *combination, expired, found bool) {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	for d := range l.combinations {
		if b := l.entries[d]; !b.Released && l.matchesLocked(d, sent) {
			return b.combination(), clock.Until(b.expires) <= 0, true
		}
	}
	return nil, false, false
}

// remaining returns how much longer a request is blocked.
func (l *blockList) remaining(d Digest) (time.Duration, bool) {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	return l.remainingLocked(d)
}

// remainingLocked is remaining for callers that hold blocksMu.
func (l *blockList) remainingLocked(d Digest) (time.Duration, bool) {
	b, found := l.entries[d]
	if !found || b.Released {
		return 0, false
	}
	remaining := clock.Until(b.expires)
	return remaining, remaining > 0
}

// previousBlocks returns the number of consecutive blocks of a request, 0 if the last one expired
// long ago or was released.
func (l *blockList) previousBlocks(d Digest) int {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	if b := l.entries[d]; !b.Released {
		return b.Consecutive
	}
	return 0
}

// count returns the number of blocked requests.
func (l *blockList) count() int {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	n := 0
	for _, b := range l.entries {
		if !b.Released && clock.Until(b.expires) > 0 {
			n++
		}
	}
	return n
}

// add blocks a request.
func (l *blockList) add(d Digest, organisation, why string) block {
	return l.addBlock(block{Request: d, Organisation: organisation}, why)
}

// addCombination blocks the requests that hold a combination of parts.
func (l *blockList) addCombination(c *combination, why string) block {
	return l.addBlock(block{Request: c.digest(), Organisation: c.organisation, Parts: c.parts}, why)
}

// addBlock adds a block of which the caller sets what it is about.
func (l *blockList) addBlock(b block, why string) block {
	l.blocksMu.Lock()
	old := l.entries[b.Request]
	if !old.Released && clock.Until(old.expires) > 0 {
		// The other crash tracker was first.
		l.blocksMu.Unlock()
		return old
	}
	b.Stamp, b.Consecutive = max(time.Now().UnixNano(), old.Stamp+1), 1
	if !old.Released {
		b.Consecutive += old.Consecutive
	}
	b.Remaining = b.duration()
	l.blocksMu.Unlock()
	l.merge([]block{b}, why)
	return b
}

// release revokes a block, and returns the update for other daemons if there was one.
func (l *blockList) release(d Digest, why string) (update block, done bool) {
	l.blocksMu.Lock()
	b, found := l.entries[d]
	l.blocksMu.Unlock()
	if !found || b.Released || clock.Until(b.expires) <= 0 {
		return block{}, false
	}
	b.Released, b.Stamp, b.Remaining = true, b.Stamp+1, clock.Until(b.expires)
	return b, l.merge([]block{b}, why)
}

// maxStamp returns the highest stamp that a daemon whose clock is ahead may have given. A block with a higher one could
// not be released any more.
func maxStamp() int64 { return time.Now().Add(maxBlockTime).UnixNano() }

// merge applies blocks that are newer than the recorded ones, and reports whether there were any.
func (l *blockList) merge(list []block, why string) bool {
	var accepted []block
	l.blocksMu.Lock()
	for _, b := range list {
		if old, found := l.entries[b.Request]; (found && old.Stamp >= b.Stamp) || b.Stamp > maxStamp() {
			continue
		}
		if b.isForgotten(b.Remaining) {
			continue
		}
		b.expires = clock.Now().Add(min(b.Remaining, maxBlockTime))
		l.entries[b.Request] = b
		if len(b.Parts) > 0 {
			l.combinations[b.Request] = true
		}
		accepted = append(accepted, b)
	}
	l.evict()
	if len(accepted) > 0 {
		l.publishUntil = clock.Now().Add(publishTime)
	}
	l.blocksMu.Unlock()
	for i := range accepted {
		l.logChange(&accepted[i], why)
		if accepted[i].Released {
			l.released(accepted[i].Request)
		}
	}
	if len(accepted) > 0 {
		l.notify()
	}
	return len(accepted) > 0
}

// logChange logs a new or released block.
func (l *blockList) logChange(b *block, why string) {
	ref := event.Ref{Organisation: b.Organisation}
	if b.Released {
		l.log.Emit(event.RequestReleased, ref, b.text()+"; "+why)
		return
	}
	if b.Remaining <= 0 {
		return
	}
	l.log.Emit(event.RequestBlocked, ref, b.text()+" for "+
		b.Remaining.Round(time.Second).String()+", block "+strconv.Itoa(b.Consecutive)+"; "+why)
}

// evict removes blocks that expired long ago and those beyond maxBlocks. It is called with blocksMu
// held.
func (l *blockList) evict() {
	for d, b := range l.entries {
		if b.isForgotten(clock.Until(b.expires)) {
			l.remove(d)
		}
	}
	for len(l.entries) > maxBlocks {
		l.remove(l.evictionCandidate())
	}
}

// remove removes a block. It is called with blocksMu held.
func (l *blockList) remove(d Digest) {
	delete(l.entries, d)
	delete(l.combinations, d)
}

// evictionCandidate returns the request to evict first. It is called with blocksMu held.
func (l *blockList) evictionCandidate() Digest {
	perOrganisation := map[string]int{}
	for _, b := range l.entries {
		perOrganisation[b.Organisation]++
	}
	var out *block
	for _, b := range l.entries {
		if out == nil || perOrganisation[b.Organisation] > perOrganisation[out.Organisation] ||
			(perOrganisation[b.Organisation] == perOrganisation[out.Organisation] && b.expires.Before(out.expires)) {
			out = &b
		}
	}
	return out.Request
}

// list returns the blocks in the form in which they are sent, released and expired ones included.
func (l *blockList) list() []block {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	return l.listLocked()
}

// listLocked is list for callers that hold blocksMu.
func (l *blockList) listLocked() []block {
	out := make([]block, 0, len(l.entries))
	for _, b := range l.entries {
		b.Remaining = clock.Until(b.expires)
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b block) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return out
}

// checksum differs between lists of different blocks. It is called with blocksMu held.
func (l *blockList) checksum() uint64 {
	var sum uint64
	for d, b := range l.entries {
		if clock.Until(b.expires) <= 0 {
			// Each daemon drops expired blocks in its own time.
			continue
		}
		mixed := uint64(b.Stamp)
		for _, c := range d {
			mixed = mixed*checksumPrime + uint64(c)
		}
		sum ^= mixed
	}
	return sum
}

// checksumPrime is the multiplier of the checksum (the FNV prime).
const checksumPrime = 1099511628211

// blockHeartbeat is the section of a heartbeat about blocks.
type blockHeartbeat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Checksum covers all blocks of the sender.
	Checksum uint64
	// Blocks is the whole list after a change, otherwise empty.
	Blocks []block
}

// Collect returns this daemon's section of a heartbeat: the whole list if it changed recently, a
// peer has a different one, or full is set; otherwise only a checksum, by which a peer that missed
// a change notices.
func (l *blockList) Collect(full bool) any {
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	publish := clock.Until(l.publishUntil) > 0
	if len(l.entries) == 0 && !publish {
		return nil
	}
	out := &blockHeartbeat{Checksum: l.checksum()}
	if full || publish {
		out.Blocks = l.listLocked()
	}
	return out
}

// Receive processes a peer's section of a heartbeat.
func (l *blockList) Receive(peer string, raw []byte) {
	var b blockHeartbeat
	if err := msgpack.Unmarshal(raw, &b); err != nil {
		// Sections from a peer of another version can't be used.
		l.log.Emit(event.PeerNotTold, event.Ref{}, peer+": its blocked requests: "+err.Error())
		return
	}
	l.merge(b.Blocks, "received from "+peer)
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	if l.checksum() != b.Checksum {
		l.publishUntil = clock.Now().Add(publishTime)
	}
}
