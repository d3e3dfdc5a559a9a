package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

func newTestBlocks() *blocks { return newBlocks(&event.Log{}, func() {}) }

// told carries a part of a heartbeat from one list to another.
func told(g *gomega.WithT, from, to *blocks, full bool) {
	part := from.Collect(full)
	if part == nil {
		return
	}
	raw, err := msgpack.Marshal(part)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	to.Receive("peer", raw)
}

// Whatever comes first, and however often, lists that were told the same agree.
func TestListsOfBlocksAgreeInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		draw := rand.New(rand.NewPCG(seed, 1))
		var all []block
		for i := range 40 {
			all = append(all, block{
				Request: asks(fmt.Sprint(draw.IntN(8))), Organisation: "org", Stamp: int64(i + 1), Times: 1,
				Released: draw.IntN(3) == 0, Left: time.Duration(1+draw.IntN(60)) * time.Minute,
			})
		}
		a, b := newTestBlocks(), newTestBlocks()
		a.merge(all, "")
		for _, i := range draw.Perm(len(all)) {
			b.merge(all[i:i+1], "")
			b.merge(all[i:i+1], "")
		}
		a.blocksMu.Lock()
		b.blocksMu.Lock()
		g.Expect(a.digest()).To(gomega.Equal(b.digest()), "seed %d", seed)
		a.blocksMu.Unlock()
		b.blocksMu.Unlock()
		for i := range 8 {
			_, onA := a.left(asks(fmt.Sprint(i)))
			_, onB := b.left(asks(fmt.Sprint(i)))
			g.Expect(onA).To(gomega.Equal(onB), "seed %d, request %d", seed, i)
		}
	}
}

// A peer that missed a change finds out by the digest, and gets what it lacks; then
// heartbeats are small again.
func TestAPeerThatMissedAChangeIsToldAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := newTestBlocks(), newTestBlocks()
	f := asks("fatal")
	a.add(f, "org", "test")
	clock.Suspend(2 * tellTime)
	told(g, a, b, false)
	_, on := b.left(f)
	g.Expect(on).To(gomega.BeFalse())
	told(g, b, a, false)
	told(g, a, b, false)
	_, on = b.left(f)
	g.Expect(on).To(gomega.BeTrue())
	clock.Suspend(2 * tellTime)
	g.Expect(a.Collect(false).(*blockBeat).Blocks).To(gomega.BeEmpty())
	g.Expect(a.Collect(true).(*blockBeat).Blocks).To(gomega.HaveLen(1))
}

// One organisation cannot push out what others are protected from.
func TestBlocksGiveWayWithinTheirOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newTestBlocks()
	f := asks("of another")
	l.add(f, "small", "test")
	for i := range blocksMost + 20 {
		l.add(asks(fmt.Sprint(i)), "large", "test")
	}
	_, on := l.left(f)
	g.Expect(on).To(gomega.BeTrue())
	g.Expect(l.count()).To(gomega.Equal(blocksMost))
}

// What peers of other versions or foreign bytes say changes nothing.
func TestUnreadablePartsChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newTestBlocks()
	for _, raw := range [][]byte{nil, {0xc1}, []byte("text"), {0x92, 0x01, 0x91, 0x90}} {
		l.Receive("peer", raw)
	}
	// The longest time that a peer can name is bounded.
	l.merge([]block{{Request: asks("a"), Stamp: 1, Times: 1 << 40, Left: 1 << 62}}, "")
	left, on := l.left(asks("a"))
	g.Expect(on).To(gomega.BeTrue())
	g.Expect(left).To(gomega.BeNumerically("<=", blockMost))
	g.Expect(l.count()).To(gomega.Equal(1))
}

// Suspects with the fewest ends give way first.
func TestSuspectsGiveWayByTheirEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newKeeper(&event.Log{})
	f := asks("twice")
	k.count(f, "org", "run-1", whole)
	k.count(f, "org", "run-2", whole)
	for i := range suspectsMost + 10 {
		k.count(asks(fmt.Sprint(i)), "org", "run-1", whole)
	}
	g.Expect(k.size()).To(gomega.Equal(suspectsMost))
	_, over := k.count(f, "org", "run-3", whole)
	g.Expect(over).To(gomega.BeTrue())
}

// An end counts for an hour.
func TestEndsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newKeeper(&event.Log{})
	f := asks("seldom")
	k.count(f, "org", "run-1", whole)
	k.count(f, "org", "run-2", whole)
	clock.Suspend(suspectTime + time.Second)
	runs, over := k.count(f, "org", "run-3", whole)
	g.Expect(runs).To(gomega.Equal(1))
	g.Expect(over).To(gomega.BeFalse())
}
