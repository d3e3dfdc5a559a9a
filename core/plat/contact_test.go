package plat_test

import (
	"context"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// scriptedReader is a store whose watch reports what the test sends.
type scriptedReader struct{ revisions chan int64 }

func (r *scriptedReader) Range(context.Context, plat.Span) ([]plat.Pair, int64, error) {
	return []plat.Pair{{Key: "a/1", ModRevision: 1}}, 1, nil
}

func (r *scriptedReader) Watch(ctx context.Context, _ plat.Span, _ int64, f func([]plat.Change, int64, clock.Time) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case revision := <-r.revisions:
			change := plat.Change{Pair: plat.Pair{Key: "a/1", ModRevision: revision}}
			if err := f([]plat.Change{change}, revision, clock.Now()); err != nil {
				return err
			}
		}
	}
}

func TestCacheIsNotFreshBeforeTheResponseIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := &scriptedReader{make(chan int64)}
	w := plat.NewWatchCache(reader, plat.Prefix("a/"), &event.Log{})
	busy, release := make(chan struct{}), make(chan struct{})
	w.Observe(func(changes []plat.Change) {
		if changes[0].Key == "a/slow" {
			close(busy)
			<-release
		}
	})
	(&watched{WatchCache: w}).start(t)
	g.Eventually(w.Revision, "10s", "5ms").Should(gomega.Equal(int64(1)))
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	go w.ApplyChanges([]plat.Change{{Pair: plat.Pair{Key: "a/slow", ModRevision: 2}}}, 2, clock.Time{})
	<-busy
	before := w.FreshAsOf()
	reader.revisions <- 3
	g.Consistently(func() bool { return w.FreshAsOf().After(before) && w.Revision() < 3 }, "100ms", "1ms").Should(gomega.BeFalse())
	releaseOnce()
	g.Eventually(w.Revision, "10s", "5ms").Should(gomega.Equal(int64(3)))
	g.Eventually(func() bool { return w.FreshAsOf().After(before) }, "10s", "5ms").Should(gomega.BeTrue())
}
