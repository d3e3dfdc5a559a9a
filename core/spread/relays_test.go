package spread_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/spread"
)

// domainMember is one daemon of a fleet with failure domains.
type domainMember struct {
	*member
	domain string
	stop   context.CancelFunc
}

// boxList is the platform's list of boxes; the zero value lists none.
type boxList struct {
	listMu   sync.Mutex
	boxes    []plat.Box // guarded by listMu
	revision int        // counts the changes; guarded by listMu
}

// set changes the list.
func (l *boxList) set(boxes []plat.Box) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.boxes = boxes
	l.revision++
}

// reader reads the list for one daemon.
type reader struct {
	list     *boxList
	revision int
}

func (r *reader) Read(context.Context) ([]plat.Box, bool, error) {
	r.list.listMu.Lock()
	defer r.list.listMu.Unlock()
	changed := r.revision != r.list.revision
	r.revision = r.list.revision
	return r.list.boxes, changed, nil
}

// domainFleet runs daemons of several failure domains with one store.
func domainFleet(t *testing.T, store plat.Reader, daemons, domains int) []*domainMember {
	return listedFleet(t, store, daemons, domains, &boxList{})
}

// listedFleet is domainFleet with a list of boxes that changes.
func listedFleet(t *testing.T, store plat.Reader, daemons, domains int, list *boxList) []*domainMember {
	seeds, listeners := seedsAndListeners(t, daemons)
	for i := range seeds {
		seeds[i].Domain = fmt.Sprintf("domain-%d", i%domains)
	}
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	var out []*domainMember
	for i, seed := range seeds {
		f := fleet.New(fleet.Options{
			Name: seed.Name, Incarnation: seed.Name + "-1", Domain: seed.Domain, Seeds: seeds,
			HeartbeatInterval: heartbeat, SuspectAfter: suspect, Log: &event.Log{},
			Boxes: &reader{list: list}, BoxPollInterval: 50 * time.Millisecond,
		})
		m := &domainMember{member: &member{fleet: f}, domain: seed.Domain}
		m.watchCache = plat.NewWatchCache(store, plat.Prefix("op/"), &event.Log{})
		m.watchCache.FirstPrefix = "op/a/"
		m.cacheSync = spread.NewWatchCacheSync(m.watchCache, f, &event.Log{})
		m.cacheSync.EntryParser = entryOf
		ctx, cancel := context.WithCancel(context.Background())
		m.stop = cancel
		t.Cleanup(cancel)
		wg.Go(func() { f.Run(ctx, listeners[i]) })
		wg.Go(func() { m.watchCache.Run(ctx) })
		wg.Go(func() { m.cacheSync.Run(ctx) })
		out = append(out, m)
	}
	return out
}

// allHold waits until all daemons hold a value of op/config.
func allHold(g *gomega.WithT, members []*domainMember, value string) {
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte(value)), shortWait, pollInterval).Should(gomega.BeTrue())
	}
}

// When two daemons of each of 25 cells watched the store, they made thousands of billed calls in a
// day.
func TestOneDaemonOfEachDomainWatchesTheStore(t *testing.T) {
	const daemons, domains = 48, 3
	g := gomega.NewWithT(t)
	store := &billedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := domainFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	g.Eventually(func() int { _, n := store.stats(); return n }, shortWait, pollInterval).Should(gomega.BeNumerically("<=", domains))
	for _, value := range []string{"second", "third"} {
		put(t, store.KV, "op/config", []byte(value))
		allHold(g, members, value)
	}
}

// The daemons that watch the store may be lost; the others must still receive changes.
func TestAFleetWithoutItsWatchRelaysReceivesChanges(t *testing.T) {
	const daemons, domains = 48, 3
	g := gomega.NewWithT(t)
	store := &billedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := domainFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	names := members[0].fleet.View().DaemonsByDomain()
	var rest []*domainMember
	for _, m := range members {
		if fleet.First(fleet.Key("root"), names[m.domain]) == m.fleet.View().Self() {
			m.stop()
		} else {
			rest = append(rest, m)
		}
	}
	put(t, store.KV, "op/config", []byte("second"))
	allHold(g, rest, "second")
}

// Requests are refused, and KV-cache segments copied, by the age of a daemon's cache: it must never
// take it for younger than it is.
func TestNoCacheIsTakenForYoungerThanItIs(t *testing.T) {
	const daemons, domains, outage = 48, 3, 3 * time.Second
	g := gomega.NewWithT(t)
	store := &billedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := domainFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	g.Eventually(func() bool { takenAt, _ := store.quiet(); return !takenAt.IsZero() }, shortWait, pollInterval).Should(gomega.BeTrue())
	store.setDown(true)
	// Requests that the store already holds still get a response.
	g.Eventually(func() bool { _, quiet := store.quiet(); return quiet }, shortWait, pollInterval).Should(gomega.BeTrue())
	last, _ := store.quiet()
	for start := time.Now(); time.Since(start) < outage; {
		for _, m := range members {
			g.Expect(m.watchCache.FreshAsOf().After(last)).To(gomega.BeFalse())
		}
		time.Sleep(100 * time.Millisecond)
	}
}
