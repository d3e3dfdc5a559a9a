package host

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// keyAttempts holds the longest time of attempts at streams that may still be resumed, by any configuration: daemons that
// start, or that skip a configuration, know only the latest one.
const keyAttempts = "embertally/attempts"

const (
	// attemptsInterval is the time between checks of what the store holds, and attemptsRankDelay for how long a daemon
	// leaves a write to each of those that rank before it.
	attemptsInterval  = time.Second
	attemptsRankDelay = 2 * time.Second
	// attemptsTimeout bounds one write.
	attemptsTimeout = time.Second
)

// storedAttempts is the value of keyAttempts.
type storedAttempts struct {
	// LongestMillis is -1 if there is no bound.
	LongestMillis int64 `json:"longestMs"`
}

// unboundedMillis stands for noBound.
const unboundedMillis = -1

// storedBound knows what the store holds under keyAttempts.
type storedBound struct {
	storedMu sync.Mutex
	// longest is 0 where the store has no such key, and modRevision the revision of the key's last write, or 0. Guarded by
	// storedMu.
	longest     time.Duration
	modRevision int64
	// differsSince is since when another value is to be written; zero if none is. Guarded by storedMu.
	differsSince clock.Time
}

// set records what the store holds.
func (s *storedBound) set(longest time.Duration, modRevision int64) {
	s.storedMu.Lock()
	defer s.storedMu.Unlock()
	s.longest, s.modRevision = longest, modRevision
}

// decodeAttempts returns the bound that a value of keyAttempts states.
func decodeAttempts(value []byte) (time.Duration, error) {
	var stored storedAttempts
	if err := json.Unmarshal(value, &stored); err != nil {
		return 0, errors.WithStack(err)
	}
	switch millis := stored.LongestMillis; {
	case millis < unboundedMillis:
		return 0, errors.Errorf("longestMs is %d", millis)
	case millis == unboundedMillis, millis > noBound.Milliseconds():
		return noBound, nil
	default:
		return time.Duration(millis) * time.Millisecond, nil
	}
}

// write returns what is to be written where a is known, and since when; false if nothing is. A bound that was read raises
// nothing: another daemon may have lowered it, which knows since when no such attempt begins.
func (s *storedBound) write(a *attemptBound, now clock.Time) (txn plat.Txn, since clock.Time, differs bool) {
	applied, longest := ceilMillis(a.appliedLongest(now)), ceilMillis(a.longest(now))
	s.storedMu.Lock()
	defer s.storedMu.Unlock()
	next := s.longest
	switch {
	case applied > s.longest:
		next = applied
	case longest < s.longest:
		next = longest
	}
	if next == s.longest {
		s.differsSince = clock.Time{}
		return plat.Txn{}, clock.Time{}, false
	}
	if s.differsSince.IsZero() {
		s.differsSince = now
	}
	stored := storedAttempts{next.Milliseconds()}
	if next == noBound {
		stored.LongestMillis = unboundedMillis
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return plat.Txn{}, clock.Time{}, false
	}
	return plat.Txn{
		Compares: []plat.Compare{{Key: keyAttempts, ModRevision: s.modRevision}},
		Puts:     []plat.Put{{Key: keyAttempts, Value: value}},
	}, s.differsSince, true
}

// ceilMillis rounds a bound up to what the store can hold.
func ceilMillis(bound time.Duration) time.Duration {
	if bound > noBound-time.Millisecond {
		return noBound
	}
	return (bound + time.Millisecond - 1).Truncate(time.Millisecond)
}

// observeAttempts records a change of the store; it ignores other keys.
func (h *Host) observeAttempts(c plat.Change) {
	if c.Key != keyAttempts {
		return
	}
	if c.Deleted {
		h.storedBound.set(0, 0)
		if !c.DeletedByRestore {
			// Operators say that no attempt by a former configuration goes on: without a bound none ends by itself.
			h.attemptBound.forgetFormer()
		}
		return
	}
	longest, err := decodeAttempts(c.Value)
	if err != nil {
		h.log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, err.Error())
	}
	h.storedBound.set(longest, c.ModRevision)
	h.attemptBound.addRead(longest)
}

// keepAttempts keeps the longest time of attempts in the store until ctx ends.
func (h *Host) keepAttempts(ctx context.Context) {
	wait.Every(ctx, attemptsInterval, func() { h.saveAttempts(ctx) })
}

// saveAttempts writes the longest time of attempts if the store holds another one and this daemon is to write it.
func (h *Host) saveAttempts(ctx context.Context) {
	now := clock.Now()
	txn, since, differs := h.storedBound.write(&h.attemptBound, now)
	if !differs || h.watchCache.Down() || h.viewAge() > versionMaxViewAge {
		return
	}
	view := h.fleet.View()
	rank := fleet.RankOf(fleet.Key(keyAttempts), view.NotDraining(), view.Self())
	if now.Sub(since) < time.Duration(rank)*attemptsRankDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptsTimeout)
	defer cancel()
	// If another daemon has written it, the next check sees that.
	if _, err := h.store.Commit(ctx, txn); err != nil {
		h.log.Emit(event.ConfUnknown, event.Ref{Resource: keyAttempts}, err.Error())
	}
}
