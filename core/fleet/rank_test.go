package fleet

import (
	"math"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
)

func TestSelfRankAgreesAcrossDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	names := []string{"a", "b", "c", "d", "e"}
	view := func(self string, boxesLoaded bool) *View {
		v := &View{self: self, boxesLoaded: boxesLoaded, cells: 2}
		for i, n := range names {
			if n == self {
				v.cell = i % 2
			} else {
				v.peers = append(v.peers, Peer{Name: n, Cell: i % 2})
			}
		}
		return v
	}
	const key = 7
	fleetRanks, cellRanks := map[int]bool{}, map[int]map[int]bool{0: {}, 1: {}}
	for i, n := range names {
		rank, count := view(n, true).SelfRank(key, false)
		g.Expect(count).To(gomega.Equal(5), "peers without a heartbeat count")
		fleetRanks[rank] = true
		rank, count = view(n, true).SelfRank(key, true)
		g.Expect(count).To(gomega.Equal(3 - i%2))
		cellRanks[i%2][rank] = true
		rank, count = view(n, false).SelfRank(key, false)
		g.Expect([]int{rank, count}).To(gomega.Equal([]int{0, 0}), "the box list was not read yet")
	}
	g.Expect(fleetRanks).To(gomega.HaveLen(5), "all agree on the order")
	g.Expect(cellRanks[0]).To(gomega.HaveLen(3))
	g.Expect(cellRanks[1]).To(gomega.HaveLen(2))
}

func TestCellCacheFollowsThePlan(t *testing.T) {
	g := gomega.NewWithT(t)
	var c cellCache
	for _, count := range []int{1, 5, 25, 5} {
		c.set(sharedCells(count))
		for range 2 {
			for _, name := range []string{"a", "b", "box-17"} {
				g.Expect(c.of(name, "")).To(gomega.Equal(sharedCells(count).rank(Key(name), 1)[0]))
			}
		}
	}
}

// The number of slots that a target states was room reserved in memory.
func TestRankFirstNeedsNoMoreRoomThanThereAreNames(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, tc := range []struct{ n, want int }{{0, 0}, {1, 1}, {3, 3}, {4, 3}, {1 << 40, 3}, {math.MaxInt, 3}} {
		t.Run(strconv.Itoa(tc.n), func(t *testing.T) {
			got := RankFirst(7, names, tc.n)
			gomega.NewWithT(t).Expect(got).To(gomega.HaveLen(tc.want))
			gomega.NewWithT(t).Expect(RankFirst(7, names, len(names))[:tc.want]).To(gomega.Equal(got))
		})
	}
}
