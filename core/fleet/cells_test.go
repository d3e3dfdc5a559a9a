package fleet

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// boxesIn returns live entry boxes, as many as each in each domain.
func boxesIn(domains, each int) []plat.Box {
	var out []plat.Box
	for d := range domains {
		for i := range each {
			out = append(out, plat.Box{
				Name: fmt.Sprintf("box-%d-%03d", d, i), Role: plat.RoleEntry, Address: "10.0.0.1:1",
				Domain: fmt.Sprintf("domain-%d", d), State: plat.BoxLive,
			})
		}
	}
	return out
}

// viewOf returns the view of the daemon on box at of a list.
func viewOf(list []plat.Box, at int) *View {
	f := New(Options{Name: list[at].Name, Domain: list[at].Domain, Log: &event.Log{}})
	boxReader{f}.apply(list)
	return f.View()
}

func TestCellsOfLargeFleetsLieWithinDomains(t *testing.T) {
	tests := []struct {
		name          string
		domains, each int
		within        bool
	}{
		{"small", 4, 2, false},
		{"a few cells a domain", 4, 74, false},
		{"many cells a domain", 6, 164, true},
		{"twice as many", 6, 328, true},
		{"one domain", 1, 300, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			list := boxesIn(tc.domains, tc.each)
			view := viewOf(list, 0)
			domains, largest := map[int]map[string]bool{}, map[int]int{}
			add := func(cell int, domain string) {
				if domains[cell] == nil {
					domains[cell] = map[string]bool{}
				}
				domains[cell][domain] = true
				largest[cell]++
			}
			add(view.Cell(), list[0].Domain)
			for _, p := range view.Peers() {
				add(p.Cell, p.Domain)
			}
			for cell, of := range domains {
				g.Expect(largest[cell]).To(gomega.BeNumerically("<=", 30))
				if tc.within {
					g.Expect(of).To(gomega.HaveLen(1), "cell %d", cell)
				}
			}
			if !tc.within {
				g.Expect(view.Cells()).To(gomega.Equal(cellCount(tc.domains * tc.each)))
			}
			remote := viewOf(list, len(list)/2)
			for _, p := range view.Peers() {
				if p.Name == remote.Self() {
					g.Expect(remote.Cell()).To(gomega.Equal(p.Cell), "daemons agree on cells")
				}
			}
		})
	}
}

// Each target falls to exactly one cell, and all daemons of a cell have the same shard.
func TestEachTargetFallsToOneShard(t *testing.T) {
	tests := []struct {
		name          string
		domains, each int
		// targets are the failure domains that targets lie in.
		targets []string
	}{
		{"shared cells", 4, 25, []string{"domain-0", "domain-3"}},
		{"cells within domains", 3, 100, []string{"domain-0", "domain-1", "domain-2"}},
		{"targets of a domain without boxes", 3, 100, []string{"domain-1", "elsewhere"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			list := boxesIn(tc.domains, tc.each)
			shards := map[int]*Shard{}
			for at := range list {
				if v := viewOf(list, at); shards[v.Cell()] == nil {
					shards[v.Cell()] = v.Shard()
				} else {
					g.Expect(v.Shard().ID()).To(gomega.Equal(shards[v.Cell()].ID()))
				}
			}
			view := viewOf(list, 0)
			for i := range 300 {
				name, domain := fmt.Sprint("target ", i), tc.targets[i%len(tc.targets)]
				for cell, s := range shards {
					g.Expect(s.Contains(name, domain)).To(gomega.Equal(cell == view.TargetCell(name, domain)), "%s in %s, cell %d", name, domain, cell)
				}
			}
		})
	}
}

// Adding a box moves few contexts and targets to other cells.
func TestAddedBoxMovesFewKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	list := boxesIn(6, 156)
	before, after := viewOf(list, 0), viewOf(append(list, boxesIn(6, 157)[156]), 0)
	g.Expect(after.Cells()).To(gomega.Equal(before.Cells() + 1))
	label := func(v *View, cell int) string { return v.label(cell) }
	movedTargets, movedContexts := 0, 0
	for i := range 2000 {
		target, domain := fmt.Sprint("target ", i), fmt.Sprint("domain-", i%6)
		if label(before, before.TargetCell(target, domain)) != label(after, after.TargetCell(target, domain)) {
			movedTargets++
		}
		if key := Key(fmt.Sprint("context ", i)); label(before, before.WeightedCell(key)) != label(after, after.WeightedCell(key)) {
			movedContexts++
		}
	}
	g.Expect(movedTargets).To(gomega.BeNumerically("<=", 2000/6/13*2))
	// The other cells of the domain give the new cell its daemons, and contexts in that
	// proportion.
	_, cells := after.plan.rangeOf("domain-0")
	g.Expect(movedContexts).To(gomega.BeNumerically("<=", 2000/6/cells*4))
}

func TestRankFirstMatchesRank(t *testing.T) {
	g := gomega.NewWithT(t)
	list := names(100)
	for key := range uint64(20) {
		g.Expect(RankFirst(key, list, 6)).To(gomega.Equal(Rank(key, list)[:6]))
	}
	g.Expect(RankFirst(1, list[:2], 6)).To(gomega.HaveLen(2))
}
