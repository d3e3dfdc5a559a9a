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

// rooted is one daemon of a fleet with failure domains.
type rooted struct {
	*member
	domain string
	stop   context.CancelFunc
}

// boxList is the platform's list of boxes; the zero value lists none.
type boxList struct {
	listMu sync.Mutex
	boxes  []plat.Box // guarded by listMu
	turn   int        // counts the changes; guarded by listMu
}

// set changes the list.
func (l *boxList) set(boxes []plat.Box) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	l.boxes = boxes
	l.turn++
}

// reader reads a list for one daemon.
type reader struct {
	list *boxList
	turn int
}

func (r *reader) Read(context.Context) ([]plat.Box, bool, error) {
	r.list.listMu.Lock()
	defer r.list.listMu.Unlock()
	changed := r.turn != r.list.turn
	r.turn = r.list.turn
	return r.list.boxes, changed, nil
}

// rootedFleet runs daemons of several failure domains before one store.
func rootedFleet(t *testing.T, store plat.Reader, daemons, domains int) []*rooted {
	return listedFleet(t, store, daemons, domains, &boxList{})
}

// listedFleet is rootedFleet with a list of boxes that changes.
func listedFleet(t *testing.T, store plat.Reader, daemons, domains int, list *boxList) []*rooted {
	seeds, listeners := addresses(t, daemons)
	for i := range seeds {
		seeds[i].Domain = fmt.Sprintf("domain-%d", i%domains)
	}
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	var out []*rooted
	for i, seed := range seeds {
		f := fleet.New(fleet.Options{
			Name: seed.Name, Incarnation: seed.Name + "-1", Domain: seed.Domain, Seeds: seeds, Heartbeat: beat, Suspect: suspect, Log: &event.Log{},
			Boxes: &reader{list: list}, BoxPause: 50 * time.Millisecond,
		})
		m := &rooted{member: &member{fleet: f}, domain: seed.Domain}
		m.mirror = plat.NewMirror(store, plat.Prefix("op/"), &event.Log{})
		m.mirror.Outline = "op/a/"
		m.mirrors = spread.NewMirrors(m.mirror, f, &event.Log{})
		m.mirrors.Entry = entryOf
		ctx, cancel := context.WithCancel(context.Background())
		m.stop = cancel
		t.Cleanup(cancel)
		wg.Go(func() { f.Run(ctx, listeners[i]) })
		wg.Go(func() { m.mirror.Run(ctx) })
		wg.Go(func() { m.mirrors.Run(ctx) })
		out = append(out, m)
	}
	return out
}

// allHold waits until all daemons hold a value.
func allHold(g *gomega.WithT, members []*rooted, value string) {
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte(value)), soon, look).Should(gomega.BeTrue())
	}
}

// Two daemons of each of 25 cells made thousands of priced calls in a day.
func TestOneDaemonOfEachDomainWatchesTheStore(t *testing.T) {
	const daemons, domains = 48, 3
	g := gomega.NewWithT(t)
	store := &pricedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := rootedFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	g.Eventually(func() int { _, n := store.figures(); return n }, soon, look).Should(gomega.BeNumerically("<=", domains))
	for _, value := range []string{"second", "third"} {
		put(t, store.KV, "op/config", []byte(value))
		allHold(g, members, value)
	}
}

// Who watched the store may be gone; the others hear of changes all the same.
func TestAFleetWithoutItsRootsHearsOfChanges(t *testing.T) {
	const daemons, domains = 48, 3
	g := gomega.NewWithT(t)
	store := &pricedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := rootedFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	names := members[0].fleet.View().Domains()
	var rest []*rooted
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

// Nobody may believe that what it knows is younger than it is: requests are refused, and
// parts copied, by that age.
func TestNoDaemonBelievesItsCopyYoungerThanItIs(t *testing.T) {
	const daemons, domains, outage = 48, 3, 3 * time.Second
	g := gomega.NewWithT(t)
	store := &pricedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := rootedFleet(t, store, daemons, domains)
	allHold(g, members, "first")
	g.Eventually(func() bool { taken, _ := store.quiet(); return !taken.IsZero() }, soon, look).Should(gomega.BeTrue())
	store.setDown(true)
	// Questions that the store holds are still answered.
	g.Eventually(func() bool { _, quiet := store.quiet(); return quiet }, soon, look).Should(gomega.BeTrue())
	last, _ := store.quiet()
	for began := time.Now(); time.Since(began) < outage; {
		for _, m := range members {
			g.Expect(m.mirror.Fresh().After(last)).To(gomega.BeFalse())
		}
		time.Sleep(100 * time.Millisecond)
	}
}
