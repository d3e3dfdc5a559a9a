package cache

import (
	"context"
	"fmt"
	"testing"

	"embertally.dev/core/event"
)

// BenchmarkOutdated looks for segments of outdated weights among 13,000 of which none are
// outdated, as each daemon does four times a second. Checking per salt takes 0.12 µs,
// checking per segment 410 µs (one run each on a busy machine, 8 cores).
func BenchmarkOutdated(b *testing.B) {
	indexes := NewStoreIndexes(newFakeStore(), &event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	indexes.Set(ctx, []StoreInfo{{Address: "a", Capacity: 1 << 30}})
	contents := SegmentEvents{Epoch: 1, Next: 1}
	for i := range 13000 {
		contents.Changes = append(contents.Changes,
			SegmentChange{SegmentName{Salt: "v1/m/", ID: fmt.Sprintf("%08x", i)}, 100})
	}
	indexes.replace("a", contents)
	for b.Loop() {
		indexes.Outdated("a", sweepBatch, func(salt string) bool {
			_, _, ok := SaltVersion(salt)
			return ok
		})
	}
}
