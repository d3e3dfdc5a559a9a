package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// The daemons together must not use more of a brittle target's slots than it has, however many they are.
func TestSharesOfABrittleTargetAddUpToItsSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, daemons := range []int{1, 2, 3, 8, 59, 300, 986} {
		for _, slots := range []int{1, 2, 6, 16, 64, 500} {
			sum, least, most := 0, slots, 0
			for rank := range daemons {
				b := brittleState{rank: rank, daemons: daemons}
				share := b.share(slots)
				sum, least, most = sum+share, min(least, share), max(most, share)
			}
			g.Expect(sum).To(gomega.Equal(slots), "%d daemons", daemons)
			g.Expect(most - least).To(gomega.BeNumerically("<=", 1))
		}
	}
}

func TestRejectionLimitOfAService(t *testing.T) {
	g := gomega.NewWithT(t)
	r, peer := New(&event.Log{}, nil), New(&event.Log{}, nil)
	for _, x := range []*Roster{r, peer} {
		for _, id := range []string{"a-1", "a-2", "b-1"} {
			x.Put(Entry{ID: id, Service: id[:1], Slots: 6})
		}
		x.Rank = func(*Target) (int, int) { return 2, 4 }
	}
	room := func(x *Roster, id string) int {
		n, limited := x.Availability(time.Now()).Room(x.Target(id))
		if !limited {
			return -1
		}
		return n
	}
	tell := func() {
		raw, err := msgpack.Marshal(HeartbeatPart{r}.Collect(true))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		HeartbeatPart{peer}.Receive("r", raw)
	}
	g.Expect(room(r, "a-1")).To(gomega.Equal(-1))
	g.Expect(r.RecordRejectionLimit("a-1", RateLimit{Stated: true, PerSecond: 3}, clock.Now(), true)).To(gomega.BeTrue())
	tell()
	for _, x := range []*Roster{r, peer} {
		g.Expect(room(x, "a-1")).To(gomega.Equal(1))
		g.Expect(room(x, "a-2")).To(gomega.Equal(1), "it may just have restarted")
		g.Expect(room(x, "b-1")).To(gomega.Equal(-1))
	}
	// A response without the limit ends it only if the request was executed, and sent since.
	g.Expect(r.RecordRejectionLimit("a-1", RateLimit{}, clock.Time{}, true)).To(gomega.BeFalse())
	g.Expect(r.RecordRejectionLimit("a-1", RateLimit{}, clock.Now(), false)).To(gomega.BeFalse())
	g.Expect(r.RecordRejectionLimit("a-1", RateLimit{Invalid: "many"}, clock.Now(), true)).To(gomega.BeFalse())
	time.Sleep(time.Millisecond)
	g.Expect(r.RecordRejectionLimit("a-1", RateLimit{}, clock.Now(), true)).To(gomega.BeTrue())
	tell()
	g.Expect(room(r, "a-1")).To(gomega.Equal(-1))
	g.Expect(room(peer, "a-1")).To(gomega.Equal(-1))
}
