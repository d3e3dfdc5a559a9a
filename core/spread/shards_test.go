package spread_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/spread"
)

// pagedStore returns keys in pages, each of them a billed call.
type pagedStore struct {
	*billedStore
	page int
}

func (s *pagedStore) Pages(ctx context.Context, span plat.Span, f func([]plat.Pair, int64, bool) bool) error {
	all, revision, err := s.KV.Range(ctx, span)
	if err != nil {
		return err
	}
	for from := 0; ; from += s.page {
		if !s.call() {
			return errRejected
		}
		to := min(from+s.page, len(all))
		if !f(all[from:to], revision, to < len(all)) || to == len(all) {
			return nil
		}
	}
}

// entryOf parses the tests' entries, whose keys are op/t/SERVICE/DOMAIN/NAME.
func entryOf(p plat.Pair) (spread.Entry, bool) {
	f := strings.Split(p.Key, "/")
	if len(f) != 5 {
		return spread.Entry{}, false
	}
	return spread.Entry{Service: f[2], Domain: f[3], Name: f[4]}, true
}

// cachedKeys returns the keys of a service's entries that a daemon's watch cache holds.
func (m *domainMember) cachedKeys(service string) []string {
	var out []string
	for _, p := range m.watchCache.WithPrefix("op/t/" + service + "/") {
		out = append(out, p.Key)
	}
	return out
}

// entryKeys puts entries of a service into the store, and returns their keys.
func entryKeys(t *testing.T, store *pagedStore, service string, from, to, domains int) []string {
	var keys []string
	for i := from; i < to; i++ {
		key := fmt.Sprintf("op/t/%s/domain-%d/w-%04d", service, i%domains, i)
		put(t, store.KV, key, []byte("here"))
		keys = append(keys, key)
	}
	return keys
}

// A daemon holds the targets of its own cell, and all targets of a service that has too few to be
// sharded; a change of a target reaches the daemons that hold it.
func TestDaemonsHoldTheTargetsOfTheirCell(t *testing.T) {
	knownRed(t)
	const daemons, domains, large, small = 48, 3, 600, 12
	g := gomega.NewWithT(t)
	store := &pagedStore{billedStore: &billedStore{KV: &memkv.KV{}}, page: 100}
	put(t, store.KV, "op/config", []byte("first"))
	keys := entryKeys(t, store, "large", 0, large, domains)
	entryKeys(t, store, "small", 0, small, domains)
	members := domainFleet(t, store, daemons, domains)
	converged := func() bool {
		daemonsOf, whole := map[string]int{}, 0
		for _, m := range members {
			cached := m.cachedKeys("large")
			if len(cached) == len(keys) {
				whole++
				continue
			}
			if len(m.cachedKeys("small")) != small || !m.cacheSync.Sharded("large") || m.cacheSync.Sharded("small") {
				return false
			}
			for _, key := range cached {
				daemonsOf[key]++
			}
		}
		// The daemons that watch the store hold all entries, the others of a cell those of its
		// shard.
		return whole <= domains && len(daemonsOf) == len(keys)
	}
	g.Eventually(converged, shortWait, pollInterval).Should(gomega.BeTrue())
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte("first")), shortWait, pollInterval).Should(gomega.BeTrue())
		if cached := m.cachedKeys("large"); len(cached) < len(keys) {
			g.Expect(len(cached)).To(gomega.BeNumerically("<", large/2), "four cells")
		}
	}
	key := keys[7]
	put(t, store.KV, key, []byte("changed"))
	put(t, store.KV, "op/config", []byte("second"))
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte("second")), shortWait, pollInterval).Should(gomega.BeTrue())
		if slices.Contains(m.cachedKeys("large"), key) {
			g.Eventually(m.holds(key, []byte("changed")), shortWait, pollInterval).Should(gomega.BeTrue())
		}
	}
	if _, err := store.Commit(context.Background(), plat.Txn{Deletes: []string{key}}); err != nil {
		t.Fatal(err)
	}
	for _, m := range members {
		g.Eventually(func() bool { return slices.Contains(m.cachedKeys("large"), key) }, shortWait, pollInterval).Should(gomega.BeFalse())
	}
}

// Each page is a billed call: a daemon that finds that others watch the store must not read more
// pages than it takes to find out.
func TestStartingDaemonsReadFewPages(t *testing.T) {
	const daemons, domains, large, page = 48, 3, 3000, 100
	g := gomega.NewWithT(t)
	store := &pagedStore{billedStore: &billedStore{KV: &memkv.KV{}}, page: page}
	put(t, store.KV, "op/a/outline", []byte("here"))
	put(t, store.KV, "op/config", []byte("first"))
	entryKeys(t, store, "large", 0, large, domains)
	members := domainFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	calls, _ := store.stats()
	// Each daemon reads one page and those that watch the store read all of them; some do until
	// they receive the others' heartbeats.
	g.Expect(calls).To(gomega.BeNumerically("<", 2*daemons+3*domains*large/page))
}

// A box more or less changes which targets belong to a cell: a daemon requests those that it lacks
// and drops the others, without reading everything again.
func TestAChangedCellRequestsOnlyTheTargetsItLacks(t *testing.T) {
	const daemons, domains, large = 49, 3, 700
	g := gomega.NewWithT(t)
	store := &pagedStore{billedStore: &billedStore{KV: &memkv.KV{}}, page: 100}
	put(t, store.KV, "op/config", []byte("first"))
	keys := entryKeys(t, store, "large", 0, large, domains)
	list := &boxList{}
	members := listedFleet(t, store, daemons, domains, list)
	allHold(g, members, "first")
	inShard := func(m *domainMember) func() bool {
		return func() bool {
			cached, shard := m.cachedKeys("large"), m.fleet.View().Shard()
			if len(cached) == len(keys) {
				return true
			}
			for _, key := range keys {
				e, _ := entryOf(plat.Pair{Key: key})
				if slices.Contains(cached, key) != shard.Contains(e.Name, e.Domain) {
					return false
				}
			}
			return true
		}
	}
	for _, m := range members {
		g.Eventually(inShard(m), shortWait, pollInterval).Should(gomega.BeTrue())
	}
	cells := members[0].fleet.View().Cells()
	bytesSent := func() (sum int64) {
		for _, m := range members {
			sum += m.cacheSync.BytesSent()
		}
		return sum
	}
	before := bytesSent()
	// One box less is one cell less.
	var boxes []plat.Box
	for _, p := range members[daemons-1].fleet.View().Peers() {
		boxes = append(boxes, plat.Box{Name: p.Name, Role: plat.RoleEntry, Address: p.Address, Domain: p.Domain, State: plat.BoxLive})
	}
	members[daemons-1].stop()
	list.set(boxes)
	for _, m := range members[:daemons-1] {
		g.Eventually(func() int { return m.fleet.View().Cells() }, shortWait, pollInterval).Should(gomega.Equal(cells - 1))
		g.Eventually(inShard(m), shortWait, pollInterval).Should(gomega.BeTrue())
	}
	put(t, store.KV, "op/config", []byte("second"))
	allHold(g, members[:daemons-1], "second")
	g.Expect(bytesSent() - before).To(gomega.BeNumerically("<", 10*daemons*len("second")+daemons*large*len("here")/4))
}

// With as many targets for each daemon as in the users' whole fleet, neither the targets that a
// daemon holds nor its peers increase as the fleet grows.
func TestTargetsOfADaemonDoNotGrowWithTheFleet(t *testing.T) {
	const domains, each = 6, 10
	for _, daemons := range []int{300, 986, 1972} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var seeds []fleet.Peer
			for i := range daemons {
				seeds = append(seeds, fleet.Peer{Name: fmt.Sprintf("box-%04d", i), Address: "10.0.0.1:1", Domain: fmt.Sprint("domain-", i%domains)})
			}
			for _, at := range []int{0, daemons / 2, daemons - 1} {
				view := fleet.New(fleet.Options{Name: seeds[at].Name, Domain: seeds[at].Domain, Seeds: seeds, Log: &event.Log{}}).View()
				cached, peers := 0, 0
				for i := range daemons * each {
					if view.Shard().Contains(fmt.Sprintf("w-%05d", i), fmt.Sprint("domain-", i%domains)) {
						cached++
					}
				}
				for _, p := range view.Peers() {
					if p.Cell == view.Cell() {
						peers++
					}
				}
				t.Logf("%d of %d targets, %d peers in %d cells", cached, daemons*each, peers, view.Cells())
				g.Expect(cached).To(gomega.BeNumerically("<", 200))
				g.Expect(peers).To(gomega.BeNumerically("<", 30))
			}
		})
	}
}

// If all daemons read a large value from the store, each change costs a billed call of each of
// them.
func TestFewDaemonsReadALargeValueFromTheStore(t *testing.T) {
	const daemons, domains = 48, 3
	g := gomega.NewWithT(t)
	store := &billedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", configuration(1, 200))
	members := domainFleet(t, store, daemons, domains)
	allHold(g, members, string(configuration(1, 200)))
	ranges := store.rangeCalls()
	second := configuration(2, 200)
	g.Expect(plat.IsLarge(second)).To(gomega.BeTrue())
	put(t, store.KV, "op/config", second)
	allHold(g, members, string(second))
	g.Expect(store.rangeCalls() - ranges).To(gomega.BeNumerically("<", daemons/4))
}

// In a starting fleet the list of targets grows while the daemons run: once a service is sharded
// they drop the targets of other cells, and read nothing again.
func TestAServiceThatBecomesShardedIsNotReadAgain(t *testing.T) {
	const daemons, domains, few, large = 48, 3, 400, 600
	g := gomega.NewWithT(t)
	store := &pagedStore{billedStore: &billedStore{KV: &memkv.KV{}}, page: 100}
	put(t, store.KV, "op/config", []byte("first"))
	keys := entryKeys(t, store, "large", 0, few, domains)
	members := domainFleet(t, store, daemons, domains)
	for _, m := range members {
		g.Eventually(func() int { return len(m.cachedKeys("large")) }, shortWait, pollInterval).Should(gomega.Equal(few))
	}
	before := int64(0)
	for _, m := range members {
		before += m.cacheSync.BytesSent()
	}
	keys = append(keys, entryKeys(t, store, "large", few, large, domains)...)
	for _, m := range members {
		g.Eventually(func() bool { return m.cacheSync.Sharded("large") }, shortWait, pollInterval).Should(gomega.BeTrue())
		g.Eventually(func() bool { n := len(m.cachedKeys("large")); return n == len(keys) || n < large/2 }, shortWait, pollInterval).Should(gomega.BeTrue())
	}
	after := int64(0)
	for _, m := range members {
		after += m.cacheSync.BytesSent()
	}
	// At most each new entry is sent once to each daemon, and no entry that it had.
	g.Expect(after - before).To(gomega.BeNumerically("<=", daemons*(large-few)*len("here")))
}
