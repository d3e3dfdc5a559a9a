package spread

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
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
