package once

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
	"embertally.dev/core/lease"
	"embertally.dev/core/plat"
)

// KeyPrefix is the prefix of all keys of claims in the coordination store.
const KeyPrefix = "embertally/once/"

func shardKey(shard int) string { return KeyPrefix + strconv.Itoa(shard) + "/" }

// batch is the value of one key of a shard's log.
type batch struct {
	Entries []entry `msgpack:"e"`
	// MaxMillis is the highest time of its entries' idempotency keys, in Unix milliseconds.
	MaxMillis int64 `msgpack:"m"`
}

// Intervals and bounds of a shard's writes.
const (
	// claimInterval is the minimum time between two writes with claims.
	claimInterval = 40 * time.Millisecond
	// resultInterval is the minimum time between two writes that only hold results of attempts.
	resultInterval = 400 * time.Millisecond
	// expireInterval is the minimum time between two writes that remove expired claims.
	expireInterval = 30 * time.Second
	// maxBatch bounds the entries of one write and thereby its size.
	maxBatch = 256
	// maxPending bounds the entries that wait for a write.
	maxPending = 8192
)

// shard is one partition of the claims. Only the daemon that owns it grants them; each write is
// guarded by the owner's leadership lease.
type shard struct {
	// n is the number of the shard.
	n    int
	once *Once

	shardMu sync.Mutex
	// lease is this daemon's leadership lease for the shard. Guarded by shardMu.
	lease lease.Lease
	// owned reports whether this daemon owns the shard and table is complete. Guarded by shardMu.
	owned bool
	table table // guarded by shardMu
	// pending holds the entries that wait for a write, oldest first. Guarded by shardMu.
	pending []pendingEntry
	// logged lists the batches in the coordination store, oldest first. Guarded by shardMu.
	logged []loggedBatch
	seq    uint64 // number of the last log key; guarded by shardMu
	// released holds the key times, by attempt, of claims that were released before they arrived. They are kept until
	// their keys expire, maxClaims at most. Guarded by shardMu.
	released map[string]int64
	// wakeup wakes run.
	wakeup chan struct{}
}

type pendingEntry struct {
	entry
	// waiting receive whether the entry was committed; their buffers hold that value.
	waiting []chan bool
}

// end reports whether the entry was committed.
func (p *pendingEntry) end(committed bool) {
	for _, done := range p.waiting {
		done <- committed
	}
}

// loggedBatch is a committed batch: the number of its log key and its MaxMillis.
type loggedBatch struct {
	seq       uint64
	maxMillis int64
}

func (s *shard) key() string            { return shardKey(s.n) }
func (s *shard) leaseKey() string       { return s.key() + "owner" }
func (s *shard) floorKey() string       { return s.key() + "floor" }
func (s *shard) logPrefix() string      { return s.key() + "log/" }
func (s *shard) logKey(n uint64) string { return fmt.Sprintf("%s%020d", s.logPrefix(), n) }

// run acquires and writes the shard while it is assigned to this daemon, until ctx ends.
func (s *shard) run(ctx context.Context) {
	t := time.NewTicker(assignmentInterval)
	defer t.Stop()
	lastWrite := time.Time{}
	lastExpire := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wakeup:
		}
		if !s.once.isAssigned(s.n) {
			s.loseOwnership()
			continue
		}
		if !s.isOwned() {
			s.acquire(ctx)
			continue
		}
		if time.Since(lastExpire) > expireInterval {
			s.expire(ctx)
			lastExpire = time.Now()
		}
		if !s.awaitInterval(ctx, lastWrite) {
			continue
		}
		lastWrite = time.Now()
		s.flush(ctx)
	}
}

// assignmentInterval is how often the shard's assignment is checked.
const assignmentInterval = 500 * time.Millisecond

// awaitInterval waits until the next write is due after lastWrite, and reports whether there is
// one to make. If only results are pending, it doesn't block but schedules a wakeup.
func (s *shard) awaitInterval(ctx context.Context, lastWrite time.Time) bool {
	claims, results := s.countPending()
	if claims+results == 0 {
		return false
	}
	interval := claimInterval
	if claims == 0 {
		interval = resultInterval
	}
	remaining := interval - time.Since(lastWrite)
	if remaining <= 0 {
		return true
	}
	if claims == 0 {
		time.AfterFunc(remaining, s.wake)
		return false
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// countPending returns how many claims and results wait for a write.
func (s *shard) countPending() (claims, results int) {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	for _, p := range s.pending {
		if p.Result == 0 {
			claims++
		} else {
			results++
		}
	}
	return claims, results
}

func (s *shard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *shard) isOwned() bool {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	return s.owned
}

// loseOwnership ends the ownership of the shard; pending claims are not granted.
func (s *shard) loseOwnership() {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	if !s.owned && len(s.pending) == 0 {
		return
	}
	if s.owned {
		s.once.log.Emit(event.ShardLost, event.Ref{}, strconv.Itoa(s.n))
	}
	s.owned, s.lease, s.table, s.logged = false, lease.Lease{}, table{}, nil
	for i := range s.pending {
		s.pending[i].end(false)
	}
	s.pending = nil
}

// acquire takes the leadership lease and loads what former owners committed.
func (s *shard) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	l, err := lease.Take(ctx, s.once.kv, s.leaseKey(), s.once.name)
	if err != nil {
		return
	}
	pairs, _, err := s.once.kv.Range(ctx, plat.Prefix(s.key()))
	if err != nil {
		return
	}
	if err := s.load(l, pairs); err != nil {
		s.once.log.Emit(event.ConfUnderived, event.Ref{Resource: s.key()}, err.Error())
		return
	}
	s.once.log.Emit(event.ShardTaken, event.Ref{}, fmt.Sprintf("%d, epoch %d", s.n, l.Epoch()))
}

// load fills the table from the stored floor and log, and makes this daemon the owner.
func (s *shard) load(l lease.Lease, pairs []plat.Pair) error {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	s.table, s.logged, s.seq = table{}, nil, 0
	for _, p := range pairs {
		switch {
		case p.Key == s.floorKey():
			if err := json.Unmarshal(p.Value, &s.table.floor); err != nil {
				return errors.Wrap(err, p.Key)
			}
		case len(p.Key) > len(s.logPrefix()) && p.Key[:len(s.logPrefix())] == s.logPrefix():
			if err := s.replay(p); err != nil {
				return err
			}
		}
	}
	s.lease, s.owned = l, true
	return nil
}

// replay applies one batch of the log to the table.
func (s *shard) replay(p plat.Pair) error {
	var b batch
	if err := msgpack.Unmarshal(p.Value, &b); err != nil {
		return errors.Wrap(err, p.Key)
	}
	n, err := strconv.ParseUint(p.Key[len(s.logPrefix()):], 10, 64)
	if err != nil {
		return errors.Wrap(err, p.Key)
	}
	for i := range b.Entries {
		s.table.apply(&b.Entries[i])
	}
	s.seq = max(s.seq, n)
	s.logged = append(s.logged, loggedBatch{n, b.MaxMillis})
	return nil
}

// claim commits a claim, or returns the state for which it is not granted.
func (s *shard) claim(ctx context.Context, c *Claim) ClaimResponse {
	done, ans := s.enqueue(c)
	if ans.State != "" {
		return ans
	}
	s.wake()
	select {
	case ok := <-done:
		if ok {
			return ClaimResponse{State: Granted}
		}
		// Another daemon owns the shard now, and has loaded whether the claim was committed.
		return ClaimResponse{State: notOwner}
	case <-ctx.Done():
		s.settle(&settlement{Key: c.Key, Attempt: c.Attempt, Result: resultNotRun})
		return ClaimResponse{State: Unavailable}
	}
}

// enqueue checks a claim and adds it to the pending entries. If the returned response has a state, the
// claim was not added.
func (s *shard) enqueue(c *Claim) (chan bool, ClaimResponse) {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	if !s.owned {
		return nil, ClaimResponse{State: notOwner}
	}
	if len(s.pending) >= maxPending {
		return nil, ClaimResponse{State: Unavailable}
	}
	if _, released := s.released[c.Attempt]; released {
		return nil, ClaimResponse{State: Unavailable}
	}
	if ans := s.table.check(c, time.Now(), s.once.window, s.once.running); ans.State != "" {
		return nil, ans
	}
	e := entry{
		Key: c.Key, KeyMillis: c.KeyMillis, Attempt: c.Attempt, Requester: c.Requester,
		Incarnation: c.Incarnation, Digest: c.Digest,
	}
	s.table.apply(&e)
	s.table.claims[c.Key].committed = false
	done := make(chan bool, 1)
	s.pending = append(s.pending, pendingEntry{e, []chan bool{done}})
	return done, ClaimResponse{}
}

// settle adds the result of an attempt to the pending entries, unless it is among them. The channel receives whether it
// was committed; it is nil if this daemon doesn't own the shard or too many entries are pending.
func (s *shard) settle(m *settlement) chan bool {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	if !s.owned {
		return nil
	}
	done := make(chan bool, 1)
	c := s.table.claims[m.Key]
	if c == nil || c.attempt != m.Attempt || c.result != 0 {
		if p := s.pendingResult(m); p != nil {
			p.waiting = append(p.waiting, done)
			return done
		}
		if m.Result == resultNotRun && (c == nil || c.attempt != m.Attempt) {
			s.recordReleased(m)
		}
		done <- true
		return done
	}
	if len(s.pending) >= maxPending {
		return nil
	}
	e := entry{Key: m.Key, KeyMillis: c.keyMillis, Attempt: m.Attempt, Result: m.Result, Outcome: m.Outcome}
	s.table.apply(&e)
	s.pending = append(s.pending, pendingEntry{e, []chan bool{done}})
	s.wake()
	return done
}

// recordReleased records that a claim which has not arrived must not be granted: its requester has given it up, and it
// may still be under way. It is called with shardMu held.
func (s *shard) recordReleased(m *settlement) {
	if s.released == nil {
		s.released = map[string]int64{}
	}
	if len(s.released) < maxClaims {
		s.released[m.Attempt] = m.KeyMillis
	}
}

// pendingResult returns the pending entry with the result of an attempt, or nil. It is called with shardMu held.
func (s *shard) pendingResult(m *settlement) *pendingEntry {
	for i := range s.pending {
		if p := &s.pending[i]; p.Key == m.Key && p.Attempt == m.Attempt && p.Result != 0 {
			return p
		}
	}
	return nil
}

// settleAndWait adds the result of an attempt and reports whether it was committed.
func (s *shard) settleAndWait(ctx context.Context, m *settlement) bool {
	done := s.settle(m)
	if done == nil {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// flush writes up to maxBatch pending entries. A write whose response was lost is repeated
// unchanged: it is guarded by the lease and idempotent.
func (s *shard) flush(ctx context.Context) {
	s.shardMu.Lock()
	n := min(len(s.pending), maxBatch)
	if !s.owned || n == 0 {
		s.shardMu.Unlock()
		return
	}
	seq, guard := s.seq+1, s.lease.Guard()
	b := batch{Entries: make([]entry, n)}
	for i := range b.Entries {
		b.Entries[i] = s.pending[i].entry
		b.MaxMillis = max(b.MaxMillis, s.pending[i].KeyMillis)
	}
	s.shardMu.Unlock()

	raw, err := msgpack.Marshal(b)
	if err != nil {
		return
	}
	txn := plat.Txn{Compares: []plat.Compare{guard}, Puts: []plat.Put{{Key: s.logKey(seq), Value: raw}}}
	guardHeld, ok := s.commit(ctx, txn)
	switch {
	case !ok:
	case !guardHeld:
		s.loseOwnership()
	default:
		s.written(seq, n, b.MaxMillis)
	}
}

// commit repeats a write until its outcome is known, the shard is assigned elsewhere or ctx ends.
// guardHeld reports whether the write was applied, and is false for a shard that is assigned
// elsewhere; known is false if ctx ended first.
func (s *shard) commit(ctx context.Context, txn plat.Txn) (guardHeld, known bool) {
	reported := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
		out, err := s.once.kv.Commit(callCtx, txn)
		cancel()
		if err == nil {
			return out.Succeeded, true
		}
		if !reported {
			s.once.log.Emit(event.ClaimUnsettled, event.Ref{}, fmt.Sprintf("shard %d: %v", s.n, err))
			reported = true
		}
		t := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return false, false
		case <-t.C:
		}
		if !s.once.isAssigned(s.n) {
			return false, true
		}
	}
}

// retryInterval is the delay between attempts of a write, and between deliveries of a result.
const retryInterval = 200 * time.Millisecond

// written records that the first n pending entries were committed under log key seq.
func (s *shard) written(seq uint64, n int, maxMillis int64) {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	s.once.committedBatches.Add(1)
	if !s.owned || len(s.pending) < n {
		return
	}
	s.seq = seq
	s.logged = append(s.logged, loggedBatch{seq, maxMillis})
	for i := range s.pending[:n] {
		p := &s.pending[i]
		if c := s.table.claims[p.Key]; c != nil && c.attempt == p.Attempt {
			c.committed = true
		}
		p.end(true)
	}
	s.pending = append([]pendingEntry(nil), s.pending[n:]...)
	if len(s.pending) > 0 {
		s.wake()
	}
}

// expire removes claims whose keys are too old, and the log keys that hold no others.
func (s *shard) expire(ctx context.Context) {
	s.shardMu.Lock()
	s.table.expire(time.Now(), s.once.window)
	floor, guard := s.table.floor, s.lease.Guard()
	maps.DeleteFunc(s.released, func(_ string, keyMillis int64) bool { return keyMillis <= floor })
	expired := 0
	for expired < len(s.logged) && s.logged[expired].maxMillis <= floor {
		expired++
	}
	if expired == 0 {
		s.shardMu.Unlock()
		return
	}
	upTo := s.logged[expired-1].seq
	s.shardMu.Unlock()
	txn := plat.Txn{
		Compares:    []plat.Compare{guard},
		Puts:        []plat.Put{{Key: s.floorKey(), Value: []byte(strconv.FormatInt(floor, 10))}},
		DeleteRange: &plat.Span{From: s.logKey(0), To: s.logKey(upTo + 1)},
	}
	guardHeld, known := s.commit(ctx, txn)
	if known && !guardHeld {
		s.loseOwnership()
	}
	if known && guardHeld {
		s.shardMu.Lock()
		s.logged = append([]loggedBatch(nil), s.logged[min(expired, len(s.logged)):]...)
		s.shardMu.Unlock()
	}
}
