package poison

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

func newTestBlockList() *blockList { return newBlockList(&event.Log{}, func() {}, func(Digest) {}) }

// exchange carries a heartbeat section from one list to another.
func exchange(g *gomega.WithT, from, to *blockList, full bool) {
	section := from.Collect(full)
	if section == nil {
		return
	}
	raw, err := msgpack.Marshal(section)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	to.Receive("peer", raw)
}

// Lists that received the same blocks agree, in whatever order and however often.
func TestBlockListsAgreeInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		var all []block
		for i := range 40 {
			all = append(all, block{
				Request: digestOf(fmt.Sprint(rng.IntN(8))), Organisation: "org", Stamp: int64(i + 1), Consecutive: 1,
				Released: rng.IntN(3) == 0, Remaining: time.Duration(1+rng.IntN(60)) * time.Minute,
			})
		}
		a, b := newTestBlockList(), newTestBlockList()
		a.merge(all, "")
		for _, i := range rng.Perm(len(all)) {
			b.merge(all[i:i+1], "")
			b.merge(all[i:i+1], "")
		}
		a.blocksMu.Lock()
		b.blocksMu.Lock()
		g.Expect(a.checksum()).To(gomega.Equal(b.checksum()), "seed %d", seed)
		a.blocksMu.Unlock()
		b.blocksMu.Unlock()
		for i := range 8 {
			_, inA := a.remaining(digestOf(fmt.Sprint(i)))
			_, inB := b.remaining(digestOf(fmt.Sprint(i)))
			g.Expect(inA).To(gomega.Equal(inB), "seed %d, request %d", seed, i)
		}
	}
}

// A peer that missed a change notices by the checksum and receives what it lacks; after that
// heartbeats are small again.
func TestAPeerThatMissedAChangeReceivesItAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := newTestBlockList(), newTestBlockList()
	d := digestOf("fatal")
	a.add(d, "org", "test")
	clock.Suspend(2 * publishTime)
	exchange(g, a, b, false)
	_, blocked := b.remaining(d)
	g.Expect(blocked).To(gomega.BeFalse())
	exchange(g, b, a, false)
	exchange(g, a, b, false)
	_, blocked = b.remaining(d)
	g.Expect(blocked).To(gomega.BeTrue())
	clock.Suspend(2 * publishTime)
	g.Expect(a.Collect(false).(*blockHeartbeat).Blocks).To(gomega.BeEmpty())
	g.Expect(a.Collect(true).(*blockHeartbeat).Blocks).To(gomega.HaveLen(1))
}

// One organisation cannot evict the blocks of another.
func TestBlocksAreEvictedWithinTheirOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newTestBlockList()
	d := digestOf("of another")
	l.add(d, "small", "test")
	for i := range maxBlocks + 20 {
		l.add(digestOf(fmt.Sprint(i)), "large", "test")
	}
	_, blocked := l.remaining(d)
	g.Expect(blocked).To(gomega.BeTrue())
	g.Expect(l.count()).To(gomega.Equal(maxBlocks))
}

// Sections that peers of other versions send, and arbitrary bytes, change nothing.
func TestInvalidHeartbeatSectionsChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newTestBlockList()
	for _, raw := range [][]byte{nil, {0xc1}, []byte("text"), {0x92, 0x01, 0x91, 0x90}} {
		l.Receive("peer", raw)
	}
	// The block time that a peer can send is bounded.
	l.merge([]block{{Request: digestOf("a"), Stamp: 1, Consecutive: 1 << 40, Remaining: 1 << 62}}, "")
	remaining, blocked := l.remaining(digestOf("a"))
	g.Expect(blocked).To(gomega.BeTrue())
	g.Expect(remaining).To(gomega.BeNumerically("<=", maxBlockTime))
	g.Expect(l.count()).To(gomega.Equal(1))
}

// Daemons that started after a block had ended took it for one that ends as they hear of it, and told the others so: one
// crash hours later blocked the request again, for longer.
func TestAnExpiredBlockIsForgottenByDaemonsThatHeardOfItLate(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(*blockList, Digest)
	}{
		{"it expired", func(*blockList, Digest) {}},
		{"it was released", func(l *blockList, d Digest) { l.release(d, "test") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := digestOf("fatal")
			lists := []*blockList{newTestBlockList()}
			lists[0].add(d, "org", "test")
			tc.end(lists[0], d)
			const restart = initialBlockTime / 2
			for passed := time.Duration(0); passed <= 6*initialBlockTime; passed += restart {
				for _, from := range lists {
					for _, to := range lists {
						exchange(g, from, to, true)
					}
				}
				for _, l := range lists {
					g.Expect(len(l.list()) > 0).To(gomega.Equal(passed < 2*initialBlockTime), "after %s", passed)
					_, blocked := l.remaining(d)
					g.Expect(blocked && passed >= initialBlockTime).To(gomega.BeFalse(), "after %s", passed)
				}
				lists = append(lists, newTestBlockList())
				for _, from := range lists {
					exchange(g, from, lists[len(lists)-1], true)
				}
				lists = lists[max(0, len(lists)-3):]
				clock.Suspend(restart)
			}
		})
	}
}

// Suspects with the fewest crashes are evicted first.
func TestSuspectsWithFewestCrashesAreEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newCrashTracker(&event.Log{})
	d := digestOf("twice")
	tracker.countCrash(d, "org", "inc-1", fullWeight)
	tracker.countCrash(d, "org", "inc-2", fullWeight)
	for i := range maxSuspects + 10 {
		tracker.countCrash(digestOf(fmt.Sprint(i)), "org", "inc-1", fullWeight)
	}
	g.Expect(tracker.size()).To(gomega.Equal(maxSuspects))
	_, mustBlock := tracker.countCrash(d, "org", "inc-3", fullWeight)
	g.Expect(mustBlock).To(gomega.BeTrue())
}

// A crash counts for an hour.
func TestCrashesExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newCrashTracker(&event.Log{})
	d := digestOf("seldom")
	tracker.countCrash(d, "org", "inc-1", fullWeight)
	tracker.countCrash(d, "org", "inc-2", fullWeight)
	clock.Suspend(crashWindow + time.Second)
	crashes, mustBlock := tracker.countCrash(d, "org", "inc-3", fullWeight)
	g.Expect(crashes).To(gomega.Equal(1))
	g.Expect(mustBlock).To(gomega.BeFalse())
}

// A stamp that no later one exceeds kept a block from being released.
func TestEachBlockCanBeReleased(t *testing.T) {
	for _, tc := range []struct {
		name  string
		stamp int64
		// blocked is set if the block is believed.
		blocked bool
	}{
		{"a stamp of now", time.Now().UnixNano(), true},
		{"a clock that is ahead", time.Now().Add(time.Hour).UnixNano(), true},
		{"the highest stamp", math.MaxInt64, false},
		{"a stamp of another century", time.Now().AddDate(100, 0, 0).UnixNano(), false},
		{"the lowest stamp", math.MinInt64, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, d := newTestBlockList(), digestOf("a")
			l.merge([]block{{Request: d, Organisation: "org", Stamp: tc.stamp, Consecutive: 1, Remaining: time.Hour}}, "")
			_, blocked := l.remaining(d)
			g.Expect(blocked).To(gomega.Equal(tc.blocked))
			l.add(d, "org", "")
			_, blocked = l.remaining(d)
			g.Expect(blocked).To(gomega.BeTrue())
			_, released := l.release(d, "")
			g.Expect(released).To(gomega.BeTrue())
			_, blocked = l.remaining(d)
			g.Expect(blocked).To(gomega.BeFalse())
		})
	}
}
