package cache

import (
	"context"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// SweepOptions of a sweeper.
type SweepOptions struct {
	Kept *Kept
	// Rank says how many daemons free parts of a store before this one, which
	// takes part where they do not.
	Rank func(address string) int
	// Superseded returns since when this daemon knows that newer weights than
	// those of a salt are named; false where there are none.
	Superseded func(salt string) (clock.Time, bool)
	Log        *event.Log
}

// Sweeper frees the parts of superseded weights in stores that free nothing by
// themselves.
//
// A part may be freed only when no transfer of it can still count: daemons
// copy parts only while they know which weights are named, engines throw away
// transfers that take longer than CopyLimit, and the sweeper waits for both.
type Sweeper struct{ o SweepOptions }

// NewSweeper returns a sweeper.
func NewSweeper(o SweepOptions) *Sweeper { return &Sweeper{o} }

const (
	// sweepLook is the pause between looks.
	sweepLook = 250 * time.Millisecond
	// sweepAfter is how long after newer weights were named parts of the older
	// are freed: CopyFresh for daemons that have not heard of it yet, copyLimit
	// for their last transfers, and a margin for the time on the way.
	sweepAfter = CopyFresh + copyLimit + 800*time.Millisecond
	// sweepRank spaces the daemons that free parts of one store; an event that
	// says so takes about 0.2 s.
	sweepRank = 700 * time.Millisecond
	// sweepMost is how many parts one call frees.
	sweepMost = 400
	// sweepLimit bounds one call.
	sweepLimit = time.Second
)

// CopyFresh is the age of a daemon's knowledge of the named weights up to which
// it copies parts from stores.
const CopyFresh = 2200 * time.Millisecond

// Run frees parts until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, sweepLook)
		for _, address := range s.o.Kept.Stores() {
			s.sweep(ctx, address)
		}
	}
}

// sweep frees what may be freed in one store, a call's worth of it.
func (s *Sweeper) sweep(ctx context.Context, address string) {
	now := clock.Now()
	after := sweepAfter + time.Duration(s.o.Rank(address))*sweepRank
	parts, epoch := s.o.Kept.Outdated(address, sweepMost, func(salt string) bool {
		since, superseded := s.o.Superseded(salt)
		return !superseded || now.Sub(since) < after
	})
	if len(parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepLimit)
	defer cancel()
	if err := s.o.Kept.Free(ctx, address, epoch, parts); err != nil {
		s.o.Log.Emit(event.TargetSuspect, event.Ref{Target: address}, "parts were not freed: "+err.Error())
	}
}
