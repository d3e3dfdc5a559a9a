package spread

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

// slowStore is a KV-cache store whose responses are under way for a while after the time to wait.
type slowStore struct {
	cache.StoreClient
	underWay time.Duration
}

func (s slowStore) Events(_ context.Context, _ string, since int64, wait time.Duration) (cache.SegmentEvents, error) {
	time.Sleep(wait + s.underWay)
	return cache.SegmentEvents{Next: since, Clock: time.Minute}, nil
}

// A store's response that was long under way is not as fresh as its arrival: copies on the basis of data
// that looks fresher than it is name segments that the store no longer holds.
func TestIndexOfAStoreAgesOnItsWay(t *testing.T) {
	const wait, underWay = 50 * time.Millisecond, 200 * time.Millisecond
	g := gomega.NewWithT(t)
	log := &event.Log{}
	s := NewStoreIndexes(slowStore{underWay: underWay}, fleet.New(fleet.Options{Name: "me", Log: log}))
	s.Serve(cache.NewStoreIndexes(s, log))
	ev, err := s.Events(t.Context(), "store", 0, wait)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ev.Age).To(gomega.BeNumerically(">=", underWay))
	g.Expect(ev.Clock-ev.Age).To(gomega.Equal(time.Minute), "the store's clock at the time of its report")
}

// The same where the index comes from a peer. Contents of several pages are complete as of the first one.
func TestIndexFromAPeerAgesOnItsWay(t *testing.T) {
	const wait, underWay = 50 * time.Millisecond, 100 * time.Millisecond
	tests := []struct {
		name string
		get  func(s *StoreIndexes, ctx context.Context) (cache.SegmentEvents, error)
		// age is the least age of what is received.
		age time.Duration
	}{
		{"changes", func(s *StoreIndexes, ctx context.Context) (cache.SegmentEvents, error) {
			return s.eventsFrom(ctx, "other", &indexRequest{Address: "store", WaitMillis: wait.Milliseconds()})
		}, underWay},
		{"contents of two pages", func(s *StoreIndexes, ctx context.Context) (cache.SegmentEvents, error) {
			return s.fetchContents(ctx, "other", "store")
		}, 2 * underWay},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			asker, _ := twoDaemons(t, func(other *wire.Mux) {
				other.Register(kindStoreIndex, wire.Handle(func(_ context.Context, _ string, req *indexRequest) (*indexResponse, error) {
					time.Sleep(time.Duration(req.WaitMillis)*time.Millisecond + underWay)
					first := req.PageAfter == indexedSegment{}
					return &indexResponse{Next: 1, Segments: []indexedSegment{{ID: "s", Tokens: 1}}, More: req.All && first, ClockMillis: time.Minute.Milliseconds()}, nil
				}))
			})
			s := NewStoreIndexes(slowStore{}, asker.fleet)
			var ev cache.SegmentEvents
			g.Eventually(func() (err error) { ev, err = tc.get(s, t.Context()); return err }, "20s", "10ms").Should(gomega.Succeed())
			g.Expect(ev.Age).To(gomega.BeNumerically(">=", tc.age))
			g.Expect(ev.Clock-ev.Age).To(gomega.Equal(time.Minute), "the store's clock at the time of its report")
		})
	}
}
