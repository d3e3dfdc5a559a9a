package fake

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
)

// newKeyValue starts a coordination store and returns it with a client.
func newKeyValue(t *testing.T) (*KeyValue, *plat.KV) {
	t.Helper()
	k, err := NewKeyValue(testip.IP() + ":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k, plat.NewKV([]string{k.URL()}, &plat.Client{})
}

func TestKeyValueProtocol(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	_, kv := newKeyValue(t)
	put := func(key string, revision int64) (plat.Outcome, error) {
		return kv.Commit(ctx, plat.Txn{
			Compares: []plat.Compare{{Key: key, ModRevision: revision}},
			Puts:     []plat.Put{{Key: key, Value: []byte("v")}},
		})
	}
	first, err := put("a/1", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Succeeded).To(gomega.BeTrue())
	again, err := put("a/1", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Succeeded).To(gomega.BeFalse(), "the key exists already")
	_, err = put("a/2", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pairs, revision, err := kv.Range(ctx, plat.Prefix("a/"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(pairs).To(gomega.HaveLen(2))
	g.Expect(pairs[0].ModRevision).To(gomega.Equal(first.Revision))
	_, err = kv.Commit(ctx, plat.Txn{DeleteRange: &plat.Span{From: "a/", To: "a/2"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	removed, err := kv.Read(ctx, "a/1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(removed).To(gomega.BeNil())

	var seen []plat.Change
	enough := errors.New("enough")
	err = kv.Watch(ctx, plat.Prefix("a/"), revision+1, func(list []plat.Change, _ int64, _ clock.Time) error {
		if seen = append(seen, list...); len(seen) > 0 {
			return enough
		}
		return nil
	})
	g.Expect(errors.Is(err, enough)).To(gomega.BeTrue())
	g.Expect(seen[0].Deleted).To(gomega.BeTrue())
	g.Expect(seen[0].Key).To(gomega.Equal("a/1"))
}

func TestKeyValueFaultsReachTheClient(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	k, kv := newKeyValue(t)
	write := plat.Txn{Puts: []plat.Put{{Key: "k", Value: []byte("v")}}}
	k.Set(LoseResponses, 1)
	_, err := kv.Commit(ctx, write)
	g.Expect(errors.Is(err, plat.ErrOutcomeUnknown)).To(gomega.BeTrue())
	stored, err := kv.Read(ctx, "k")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stored).NotTo(gomega.BeNil(), "the write took effect")
	for _, down := range []float64{1, 2} {
		k.Set(Down, down)
		_, err = kv.Read(ctx, "k")
		g.Expect(err).To(gomega.HaveOccurred())
		_, err = kv.Commit(ctx, write)
		g.Expect(errors.Is(err, plat.ErrOutcomeUnknown)).To(gomega.BeTrue())
	}
	k.Set(Down, 0)
	_, err = kv.Commit(ctx, write)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	k.Compact()
	err = kv.Watch(ctx, plat.Prefix("k"), 1, func([]plat.Change, int64, clock.Time) error { return nil })
	g.Expect(errors.Is(err, plat.ErrCompacted)).To(gomega.BeTrue())
}

func TestBoxListReportsOnlyChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := NewBoxes(testip.IP() + ":0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer b.Close()
	list := plat.NewBoxList(b.URL()+"/v1/boxes", &plat.Client{})
	read := func() (n int, changed bool) {
		boxes, changed, err := list.Read(context.Background())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return len(boxes), changed
	}
	b.Put(plat.Box{Name: "a", State: plat.BoxLive})
	steps := []struct {
		name    string
		do      func()
		boxes   int
		changed bool
	}{
		{"first", func() {}, 1, true},
		{"no change", func() {}, 0, false},
		{"leaving", func() { b.SetState("a", plat.BoxLeaving) }, 1, true},
		{"removed", func() { b.Remove("a") }, 0, true},
	}
	for _, s := range steps {
		s.do()
		n, changed := read()
		g.Expect(n).To(gomega.Equal(s.boxes), s.name)
		g.Expect(changed).To(gomega.Equal(s.changed), s.name)
	}
}

// A response that is resumed from the text so far must end as the uninterrupted one does.
// Otherwise tests could not verify resumed responses.
func TestResumedAnswerMatchesWholeAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := ExpectedResponse("m", "v1", "text", 10)
	start := ExpectedResponse("m", "v1", "text", 4)
	g.Expect(whole).To(gomega.HavePrefix(start))
	g.Expect(start + ExpectedResponse("m", "v1", "text"+start, 6)).To(gomega.Equal(whole))
	g.Expect(ExpectedResponse("m", "v2", "text", 10)).NotTo(gomega.Equal(whole))
}

func TestWeightStoreCountsConcurrentLoads(t *testing.T) {
	g := gomega.NewWithT(t)
	w, err := NewWeightStore(testip.IP()+":0", 2, 10*time.Millisecond)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer w.Close()
	done := make(chan error, 3)
	for range 3 {
		go func() {
			resp, err := http.Get(w.URL() + "/v1/weights/m/v1")
			if err == nil {
				err = resp.Body.Close()
			}
			done <- err
		}()
	}
	for range 3 {
		g.Expect(<-done).To(gomega.Succeed())
	}
	g.Expect(w.MaxConcurrentLoads()).To(gomega.BeNumerically(">=", 1))
	g.Expect(w.MaxConcurrentLoads()).To(gomega.BeNumerically("<=", 3))
}
