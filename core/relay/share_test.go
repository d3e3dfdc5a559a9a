package relay

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
)

// listedTargets returns a roster with n targets.
func listedTargets(n int) *roster.Roster {
	r := roster.New(&event.Log{}, nil)
	for i := range n {
		r.Put(roster.Entry{ID: fmt.Sprintf("w-%04d", i), Service: "llm"})
	}
	return r
}

func TestShareCacheFollowsTargetsAndFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	r := listedTargets(4)
	offset, shardVersion, calls := 0, any("one"), 0
	o := &Options{
		OwnTargets:   func(names []string) []string { calls++; return names[offset : offset+len(names)/2] },
		ShardVersion: func() any { return shardVersion },
	}
	var s shareCache
	own := func() []string {
		sh := s.get("llm", r.ByService("llm"), o)
		var names []string
		for _, t := range sh.own {
			names = append(names, t.ID())
		}
		g.Expect(sh.fraction).To(gomega.Equal(0.5))
		return names
	}
	g.Expect(own()).To(gomega.Equal([]string{"w-0000", "w-0001"}))
	g.Expect(own()).To(gomega.Equal([]string{"w-0000", "w-0001"}))
	g.Expect(calls).To(gomega.Equal(1))
	offset, shardVersion = 2, "other"
	g.Expect(own()).To(gomega.Equal([]string{"w-0002", "w-0003"}), "the fleet has changed")
	r.RemoveUnusable("w-0003")
	r.Put(roster.Entry{ID: "w-0009", Service: "llm"})
	g.Expect(own()).To(gomega.Equal([]string{"w-0002", "w-0009"}), "the targets have changed")
	r.Put(roster.Entry{ID: "w-0009", Service: "llm", ShuttingDown: true})
	g.Expect(own()).To(gomega.Equal([]string{"w-0002", "w-0009"}))
	g.Expect(calls).To(gomega.Equal(3))
	o.ShardVersion = nil
	own()
	own()
	g.Expect(calls).To(gomega.Equal(5), "without a shard version nothing is cached")
}

// BenchmarkShare computes a daemon's share of 3,000 targets for each request, and takes the cached
// one.
func BenchmarkShare(b *testing.B) {
	list := listedTargets(3000).ByService("llm")
	o := &Options{OwnTargets: func(names []string) []string { return fleet.Rank(7, names)[:120] }}
	b.Run("each time", func(b *testing.B) {
		for range b.N {
			computeShare(list, o)
		}
	})
	o.ShardVersion = func() any { return "same" }
	var s shareCache
	b.Run("cached", func(b *testing.B) {
		for range b.N {
			s.get("llm", list, o)
		}
	})
}
