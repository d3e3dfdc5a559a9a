package cache

import (
	"context"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// SweepOptions configures a Sweeper.
type SweepOptions struct {
	Stores *StoreIndexes
	// Rank returns how many daemons free segments of a store before this one, which does so
	// only if they have not.
	Rank func(address string) int
	// Superseded returns when this daemon learned that newer weights than those of a salt
	// are desired, or false if there are none.
	Superseded func(salt string) (clock.Time, bool)
	// ViewError is by how much a daemon's view of the desired weights may be older than it takes it for.
	ViewError time.Duration
	Log       *event.Log
}

// Sweeper frees the segments of superseded weights in stores, which free nothing by
// themselves.
//
// A segment may be freed only when no transfer of it can still be used. Daemons copy
// segments only while they take their view of the desired weights for at most MaxDesiredAge
// old, and engines discard transfers that take longer than TransferTimeout; the sweeper waits
// for both, and for the error of that age.
type Sweeper struct{ o SweepOptions }

// NewSweeper returns a sweeper.
func NewSweeper(o SweepOptions) *Sweeper { return &Sweeper{o} }

const (
	// sweepInterval is the time between sweeps.
	sweepInterval = 250 * time.Millisecond
	// sweepDelay is the time from newer weights becoming desired until segments of the older
	// ones are freed where ages have no error: MaxDesiredAge for daemons that have not yet
	// received the change, transferTimeout for their last transfers, and a margin for network
	// delay.
	sweepDelay = MaxDesiredAge + transferTimeout + 800*time.Millisecond
	// sweepRankDelay is the extra delay per rank of the daemons that free segments of one
	// store. The event that reports the freeing takes about 0.2 s to arrive.
	sweepRankDelay = 700 * time.Millisecond
	// sweepBatch is the number of segments that one call frees.
	sweepBatch = 400
	// sweepTimeout bounds one call.
	sweepTimeout = time.Second
)

// MaxDesiredAge is the age of a daemon's view of the desired weights up to which it copies
// segments from stores.
const MaxDesiredAge = 2200 * time.Millisecond

// Run frees superseded segments until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, sweepInterval)
		for _, address := range s.o.Stores.Stores() {
			s.sweep(ctx, address)
		}
	}
}

// sweep frees one batch of superseded segments in one store.
func (s *Sweeper) sweep(ctx context.Context, address string) {
	now := clock.Now()
	after := sweepDelay + s.o.ViewError + time.Duration(s.o.Rank(address))*sweepRankDelay
	segments, epoch := s.o.Stores.Outdated(address, sweepBatch, func(salt string) bool {
		since, superseded := s.o.Superseded(salt)
		return !superseded || now.Sub(since) < after
	})
	if len(segments) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if err := s.o.Stores.Free(ctx, address, epoch, segments); err != nil {
		s.o.Log.Emit(event.TargetSuspect, event.Ref{Target: address}, "freeing segments failed: "+err.Error())
	}
}
