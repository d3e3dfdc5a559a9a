package plat_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// watched is a mirror with what its observer heard.
type watched struct {
	*plat.Mirror
	mu    sync.Mutex
	heard []plat.Change
}

func watch(from plat.Reader) *watched {
	w := &watched{Mirror: plat.NewMirror(from, plat.Prefix("a/"), &event.Log{})}
	w.Observe(func(cs []plat.Change) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.heard = append(w.heard, cs...)
	})
	return w
}

func (w *watched) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func (w *watched) value(key string) func() string {
	return func() string {
		p, _ := w.Pair(key)
		return string(p.Value)
	}
}

func put(t *testing.T, kv *memkv.KV, key, value string) {
	t.Helper()
	_, err := kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: key, Value: []byte(value)}}})
	if err != nil {
		t.Fatal(err)
	}
}

func TestMirrorFollows(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	put(t, kv, "b/1", "other")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))
	put(t, kv, "a/1", "y")
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("y"))
	_, there := m.Pair("b/1")
	g.Expect(there).To(gomega.BeFalse())
	_, err := kv.Commit(context.Background(), plat.Txn{Deletes: []string{"a/1"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.BeEmpty())
	g.Expect(m.Under("a/")).To(gomega.BeEmpty())
}

func TestMirrorKeepsWhatItKnowsInAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))
	kv.SetDown(true)
	put2 := func() { put(t, kv, "a/2", "y") }
	g.Consistently(m.value("a/1"), "50ms", "5ms").Should(gomega.Equal("x"))
	kv.SetDown(false)
	put2()
	g.Eventually(m.value("a/2"), "10s", "5ms").Should(gomega.Equal("y"))
}

// forgetful is a service whose watch finds its history gone once.
type forgetful struct {
	*memkv.KV
	once sync.Once
}

func (f *forgetful) Watch(ctx context.Context, span plat.Span, from int64, h func([]plat.Change, int64) error) error {
	var err error
	f.once.Do(func() {
		_, e := f.Commit(ctx, plat.Txn{Deletes: []string{"a/1"}, Puts: []plat.Put{{Key: "a/2", Value: []byte("y")}}})
		err = errors.WithStack(plat.ErrCompacted)
		if e != nil {
			err = e
		}
	})
	if err != nil {
		return err
	}
	return f.KV.Watch(ctx, span, from, h)
}

func TestMirrorReadsAnewWhenHistoryIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &forgetful{KV: &memkv.KV{}}
	put(t, kv.KV, "a/1", "x")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/2"), "10s", "5ms").Should(gomega.Equal("y"))
	g.Expect(m.value("a/1")()).To(gomega.BeEmpty())
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Expect(m.heard).To(gomega.ContainElement(gomega.HaveField("Deleted", true)))
}

func TestMirrorTakesChangesFromAPeerOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	peer := watch(kv)
	peer.start(t)
	g.Eventually(peer.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))

	cut := watch(kv) // never started: the service does not answer it
	pairs, revision := peer.All()
	now := time.Now()
	cut.TakeAll(pairs, revision, now)
	g.Expect(cut.value("a/1")()).To(gomega.Equal("x"))
	g.Expect(cut.Fresh()).To(gomega.Equal(now))
	g.Expect(cut.Contact().IsZero()).To(gomega.BeTrue())

	put(t, kv, "a/1", "y")
	g.Eventually(peer.value("a/1"), "10s", "5ms").Should(gomega.Equal("y"))
	changes, revision, whole := peer.Since(cut.Revision())
	g.Expect(whole).To(gomega.BeTrue())
	cut.Take(changes, revision, now)
	cut.Take(changes, revision, now)
	g.Expect(cut.heard).To(gomega.HaveLen(2))

	// An older state changes nothing.
	cut.TakeAll(pairs, pairs[0].ModRevision, now)
	g.Expect(cut.value("a/1")()).To(gomega.Equal("y"))
	_, _, whole = peer.Since(-1)
	g.Expect(whole).To(gomega.BeFalse())
}
