package once

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
	"embertally.dev/core/lease"
	"embertally.dev/core/plat"
)

// KeyRoot is the prefix of everything that claims keep in the service.
const KeyRoot = "embertally/once/"

func shardKey(shard int) string { return KeyRoot + strconv.Itoa(shard) + "/" }

// batch is one key of a shard's log.
type batch struct {
	Entries []entry `msgpack:"e"`
	// MaxMillis is the highest key time in it.
	MaxMillis int64 `msgpack:"m"`
}

// Pace of a shard's writes.
const (
	// claimPace is the least time between two writes with claims.
	claimPace = 40 * time.Millisecond
	// endPace is how long the ends of attempts wait for a write.
	endPace = 400 * time.Millisecond
	// expirePace is the time between two writes that give up old claims.
	expirePace = 30 * time.Second
	// maxBatch bounds the entries of one write, and so its size.
	maxBatch = 256
	// maxPending bounds the entries that wait for a write.
	maxPending = 8192
)

// shard is one share of all claims. Its owner is the only daemon that grants
// them; that it is the owner is proven by each write.
type shard struct {
	n     int
	owner *Once

	shardMu sync.Mutex
	// lease is what this daemon owns the shard by. Guarded by shardMu.
	lease lease.Lease
	// owned tells that table is complete. Guarded by shardMu.
	owned bool
	table table // guarded by shardMu
	// pending are entries that wait for a write, oldest first. Guarded by
	// shardMu.
	pending []pendingEntry
	// logged is the highest key time of each log key, oldest first. Guarded by
	// shardMu.
	logged []loggedBatch
	seq    uint64 // number of the last log key; guarded by shardMu
	// kick wakes run.
	kick chan struct{}
}

type pendingEntry struct {
	entry
	// done receives whether the entry was committed; it has room for that.
	done chan bool
}

type loggedBatch struct {
	seq       uint64
	maxMillis int64
}

func (s *shard) key() string            { return shardKey(s.n) }
func (s *shard) leaseKey() string       { return s.key() + "owner" }
func (s *shard) floorKey() string       { return s.key() + "floor" }
func (s *shard) logPrefix() string      { return s.key() + "log/" }
func (s *shard) logKey(n uint64) string { return fmt.Sprintf("%s%020d", s.logPrefix(), n) }

// run owns the shard while this daemon has the duty.
func (s *shard) run(ctx context.Context) {
	t := time.NewTicker(dutyPause)
	defer t.Stop()
	last := time.Time{}
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.kick:
		}
		if !s.owner.hasDuty(s.n) {
			s.drop()
			continue
		}
		if !s.isOwned() {
			s.take(ctx)
			continue
		}
		if time.Since(expired) > expirePace {
			s.expire(ctx)
			expired = time.Now()
		}
		if !s.wait(ctx, last) {
			continue
		}
		last = time.Now()
		s.flush(ctx)
	}
}

// dutyPause is the time between looks at whether the duty changed.
const dutyPause = 500 * time.Millisecond

// wait keeps the pace of writes; it reports whether there is one to make.
func (s *shard) wait(ctx context.Context, last time.Time) bool {
	claims, ends := s.waiting()
	if claims+ends == 0 {
		return false
	}
	pace := claimPace
	if claims == 0 {
		pace = endPace
	}
	rest := pace - time.Since(last)
	if rest <= 0 {
		return true
	}
	if claims == 0 {
		time.AfterFunc(rest, s.wake)
		return false
	}
	t := time.NewTimer(rest)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (s *shard) waiting() (claims, ends int) {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	for _, p := range s.pending {
		if p.End == 0 {
			claims++
		} else {
			ends++
		}
	}
	return claims, ends
}

func (s *shard) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *shard) isOwned() bool {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	return s.owned
}

// drop ends the ownership; claims that wait are not granted.
func (s *shard) drop() {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	if !s.owned && len(s.pending) == 0 {
		return
	}
	if s.owned {
		s.owner.log.Emit(event.ShardLost, event.Ref{}, strconv.Itoa(s.n))
	}
	s.owned, s.lease, s.table, s.logged = false, lease.Lease{}, table{}, nil
	for _, p := range s.pending {
		p.done <- false
	}
	s.pending = nil
}

// take becomes the owner and reads what former owners wrote.
func (s *shard) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	l, err := lease.Take(ctx, s.owner.kv, s.leaseKey(), s.owner.name)
	if err != nil {
		return
	}
	pairs, _, err := s.owner.kv.Range(ctx, plat.Prefix(s.key()))
	if err != nil {
		return
	}
	if err := s.load(l, pairs); err != nil {
		s.owner.log.Emit(event.ConfUnderived, event.Ref{Resource: s.key()}, err.Error())
		return
	}
	s.owner.log.Emit(event.ShardTaken, event.Ref{}, fmt.Sprintf("%d, epoch %d", s.n, l.Epoch()))
}

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

// claim commits a claim or says why it cannot be granted.
func (s *shard) claim(ctx context.Context, c *Claim) Answer {
	done, ans := s.enqueue(c)
	if ans.State != "" {
		return ans
	}
	s.wake()
	select {
	case ok := <-done:
		if ok {
			return Answer{State: Granted}
		}
		// The shard has passed to another, who knows whether it is committed.
		return Answer{State: notOwner}
	case <-ctx.Done():
		s.settle(&settle{Key: c.Key, Attempt: c.Attempt, End: endNotRun})
		return Answer{State: Unavailable}
	}
}

func (s *shard) enqueue(c *Claim) (chan bool, Answer) {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	if !s.owned {
		return nil, Answer{State: notOwner}
	}
	if len(s.pending) >= maxPending {
		return nil, Answer{State: Unavailable}
	}
	if ans := s.table.check(c, time.Now(), s.owner.window, s.owner.running); ans.State != "" {
		return nil, ans
	}
	e := entry{
		Key: c.Key, KeyMillis: c.KeyMillis, Attempt: c.Attempt, Asker: c.Asker,
		Incarnation: c.Incarnation, Print: c.Print,
	}
	s.table.apply(&e)
	s.table.claims[c.Key].committed = false
	done := make(chan bool, 1)
	s.pending = append(s.pending, pendingEntry{entry: e, done: done})
	return done, Answer{}
}

// settle takes the end of an attempt. The channel receives whether it was
// committed; it is nil if this daemon does not own the shard.
func (s *shard) settle(m *settle) chan bool {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	if !s.owned || len(s.pending) >= maxPending {
		return nil
	}
	done := make(chan bool, 1)
	c := s.table.claims[m.Key]
	if c == nil || c.attempt != m.Attempt || c.end != 0 {
		done <- true
		return done
	}
	e := entry{Key: m.Key, KeyMillis: c.keyMillis, Attempt: m.Attempt, End: m.End, Outcome: m.Outcome}
	s.table.apply(&e)
	s.pending = append(s.pending, pendingEntry{entry: e, done: done})
	s.wake()
	return done
}

// settled takes the end of an attempt and reports whether it was committed.
func (s *shard) settled(ctx context.Context, m *settle) bool {
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

// flush writes what waits. A write whose answer was lost is written again as
// it was: it is guarded by the lease, and writing it twice changes nothing.
func (s *shard) flush(ctx context.Context) {
	s.shardMu.Lock()
	n := min(len(s.pending), maxBatch)
	if !s.owned || n == 0 {
		s.shardMu.Unlock()
		return
	}
	list := s.pending[:n:n]
	seq, guard := s.seq+1, s.lease.Guard()
	s.shardMu.Unlock()

	b := batch{Entries: make([]entry, n)}
	for i, p := range list {
		b.Entries[i] = p.entry
		b.MaxMillis = max(b.MaxMillis, p.KeyMillis)
	}
	raw, err := msgpack.Marshal(b)
	if err != nil {
		return
	}
	txn := plat.Txn{Compares: []plat.Compare{guard}, Puts: []plat.Put{{Key: s.logKey(seq), Value: raw}}}
	held, ok := s.commit(ctx, txn)
	switch {
	case !ok:
	case !held:
		s.drop()
	default:
		s.written(seq, n, b.MaxMillis)
	}
}

// commit writes until the outcome is known, the duty or the daemon ends.
func (s *shard) commit(ctx context.Context, txn plat.Txn) (held, known bool) {
	told := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
		out, err := s.owner.kv.Commit(callCtx, txn)
		cancel()
		if err == nil {
			return out.Succeeded, true
		}
		if !told {
			s.owner.log.Emit(event.ClaimUnsettled, event.Ref{}, fmt.Sprintf("shard %d: %v", s.n, err))
			told = true
		}
		t := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return false, false
		case <-t.C:
		}
		if !s.owner.hasDuty(s.n) {
			return false, true
		}
	}
}

// retryPause spaces the tries of a write.
const retryPause = 200 * time.Millisecond

func (s *shard) written(seq uint64, n int, maxMillis int64) {
	s.shardMu.Lock()
	defer s.shardMu.Unlock()
	s.owner.writes.Add(1)
	if !s.owned || len(s.pending) < n {
		return
	}
	s.seq = seq
	s.logged = append(s.logged, loggedBatch{seq, maxMillis})
	for _, p := range s.pending[:n] {
		if c := s.table.claims[p.Key]; c != nil && c.attempt == p.Attempt {
			c.committed = true
		}
		p.done <- true
	}
	s.pending = append([]pendingEntry(nil), s.pending[n:]...)
	if len(s.pending) > 0 {
		s.wake()
	}
}

// expire gives up claims whose keys are too old, with their log keys.
func (s *shard) expire(ctx context.Context) {
	s.shardMu.Lock()
	s.table.expire(time.Now(), s.owner.window)
	floor, guard := s.table.floor, s.lease.Guard()
	gone := 0
	for gone < len(s.logged) && s.logged[gone].maxMillis <= floor {
		gone++
	}
	if gone == 0 {
		s.shardMu.Unlock()
		return
	}
	upTo := s.logged[gone-1].seq
	s.shardMu.Unlock()
	txn := plat.Txn{
		Compares:    []plat.Compare{guard},
		Puts:        []plat.Put{{Key: s.floorKey(), Value: []byte(strconv.FormatInt(floor, 10))}},
		DeleteRange: &plat.Span{From: s.logKey(0), To: s.logKey(upTo + 1)},
	}
	held, known := s.commit(ctx, txn)
	if known && !held {
		s.drop()
	}
	if known && held {
		s.shardMu.Lock()
		s.logged = append([]loggedBatch(nil), s.logged[min(gone, len(s.logged)):]...)
		s.shardMu.Unlock()
	}
}
