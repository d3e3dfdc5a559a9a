package canary

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
	"embertally.dev/core/wait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Bounds of waits, for a busy machine.
const (
	maxWait      = "30s"
	pollInterval = "10ms"
)

// fakeLeadership is a lease that one daemon of a test holds at a time.
type fakeLeadership struct {
	holder *atomic.Pointer[string]
	name   string
}

func (h fakeLeadership) Held() bool          { return *h.holder.Load() == h.name }
func (h fakeLeadership) Act() (uint64, bool) { return 1, h.Held() }

// daemon is one daemon of a test.
type daemon struct {
	guard *Guard
	cache *plat.WatchCache
	stop  context.CancelFunc
}

// testRollout runs daemons that carry out a rollout of a service.
type testRollout struct {
	g       *gomega.WithT
	store   *memkv.KV
	holder  atomic.Pointer[string]
	daemons []*daemon
}

const orderKey = "op/rollout/s"

func newTestRollout(t *testing.T, daemons int) *testRollout {
	tr := &testRollout{g: gomega.NewWithT(t), store: &memkv.KV{}}
	var seeds []fleet.Peer
	var listeners []net.Listener
	for i := range daemons {
		l, err := testip.Listen()
		tr.g.Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, l)
		seeds = append(seeds, fleet.Peer{Name: fmt.Sprintf("entry-%d", i), Address: l.Addr().String()})
	}
	tr.setHolder(0)
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	for i, seed := range seeds {
		log := &event.Log{}
		f := fleet.New(fleet.Options{
			Name: seed.Name, Incarnation: "1", Seeds: seeds,
			HeartbeatInterval: 100 * time.Millisecond, SuspectAfter: 10 * time.Second, Log: log,
		})
		guard := &Guard{CanaryShare: 0.1}
		cache := plat.NewWatchCache(tr.store, plat.Prefix(""), log)
		c := NewController(Options{
			Guard: guard, Fleet: f, Incarnation: seed.Name + "/1",
			Leadership: fakeLeadership{&tr.holder, seed.Name}, Store: tr.store, WatchCache: cache,
			Holder: func() string { return *tr.holder.Load() },
			Status: func(service string, st State) plat.Put {
				return plat.Put{Key: "status/" + service, Value: []byte(string(st.Phase) + " " + st.Version)}
			},
			Log: log,
		})
		cache.Observe(func(changes []plat.Change) {
			for _, change := range changes {
				c.Observe(change)
				if change.Key == orderKey {
					guard.SetOrder(Order{Service: "s", Version: string(change.Value), Lasts: 4 * time.Second, Revision: change.ModRevision})
				}
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		wg.Go(func() { f.Run(ctx, listeners[i]) })
		wg.Go(func() { cache.Run(ctx) })
		wg.Go(func() { c.Run(ctx) })
		tr.daemons = append(tr.daemons, &daemon{guard, cache, cancel})
	}
	return tr
}

// setHolder gives the lease to a daemon.
func (tr *testRollout) setHolder(daemon int) {
	name := fmt.Sprintf("entry-%d", daemon)
	tr.holder.Store(&name)
}

// order orders a version.
func (tr *testRollout) order(version string) {
	_, err := tr.store.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: orderKey, Value: []byte(version)}}})
	tr.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// status returns the status published to operators.
func (tr *testRollout) status() string {
	p, err := tr.store.Read(context.Background(), "status/s")
	if err != nil || p == nil {
		return ""
	}
	return string(p.Value)
}

// serve sends requests through all daemons until ctx ends; if bad is set, the answers of the new
// version are failures.
func (tr *testRollout) serve(ctx context.Context, version string, bad bool) {
	for ctx.Err() == nil {
		for _, d := range tr.daemons {
			filter := d.guard.Choose("s")
			to := "v1"
			if filter.Preferred != "" {
				to = filter.Preferred
			}
			d.guard.RequestStarted("s", to)
			d.guard.RecordAnswer("s", "r", to, !(bad && to == version))
			d.guard.RequestEnded("s", to)
		}
		wait.For(ctx, time.Millisecond)
	}
}

// A rollout is decided by the quality of the version's answers, whichever daemon decides, and is
// never reopened.
func TestARolloutIsDecidedByItsAnswers(t *testing.T) {
	tests := []struct {
		name string
		bad  bool
		// lost reports that the daemon that decides is lost after its first step.
		lost bool
		want string
	}{
		{"good", false, false, "completed v2"},
		{"bad", true, false, "rolledBack v2"},
		{"good, the deciding daemon is lost", false, true, "completed v2"},
		{"bad, the deciding daemon is lost", true, true, "rolledBack v2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tr := newTestRollout(t, 3)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			tr.order("v2")
			tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal("trying v2"))
			if tc.lost {
				tr.daemons[0].stop()
				tr.setHolder(1)
			}
			go func() { defer close(done); tr.serve(ctx, "v2", tc.bad) }()
			tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal(tc.want))
			cancel()
			<-done
			for _, d := range tr.daemons[1:] {
				tr.g.Eventually(d.guard.AllDecided, maxWait, pollInterval).Should(gomega.BeTrue())
				tr.g.Expect(d.guard.Choose("s").Preferred == "v2").To(gomega.Equal(!tc.bad))
			}
		})
	}
}

// An order that replaces an undecided one is decided by its own answers, and the former version
// gets no more requests.
func TestAnOrderReplacesAnother(t *testing.T) {
	tr := newTestRollout(t, 2)
	tr.order("v2")
	tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal("trying v2"))
	tr.order("v3")
	tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal("trying v3"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); tr.serve(ctx, "v3", false) }()
	tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal("completed v3"))
	cancel()
	<-done
	for _, d := range tr.daemons {
		filter := d.guard.Choose("s")
		tr.g.Expect(filter.Allows("v2")).To(gomega.BeFalse())
	}
}

// A store restored from before the decision reinstates a rolled-back version at no daemon, and the
// decision is written to it again. The order is the same one under another revision.
func TestARolledBackVersionStaysRolledBackAfterAStoreRestore(t *testing.T) {
	tests := []struct {
		name string
		// copied is the status at which the copy is made, "" for before the first state.
		copied string
	}{
		{"before the first state", ""},
		{"while trying", "trying v2"},
		{"after the decision", "rolledBack v2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tr := newTestRollout(t, 2)
			tr.order("v2")
			before := tr.store.Copy()
			tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal("trying v2"))
			if tc.copied == "trying v2" {
				before = tr.store.Copy()
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); tr.serve(ctx, "v2", true) }()
			tr.g.Eventually(tr.status, maxWait, pollInterval).Should(gomega.Equal("rolledBack v2"))
			cancel()
			<-done
			if tc.copied == "rolledBack v2" {
				before = tr.store.Copy()
			}
			for _, d := range tr.daemons {
				tr.g.Eventually(d.guard.AllDecided, maxWait, pollInterval).Should(gomega.BeTrue())
			}
			tr.store.Restore(before)
			preferred := 0
			tr.g.Eventually(func() bool {
				restored := tr.status() == "rolledBack v2"
				for _, d := range tr.daemons {
					for range 100 {
						if d.guard.Choose("s").Preferred == "v2" {
							preferred++
						}
					}
					restored = restored && d.cache.StoreIncarnation() == 1 && d.guard.AllDecided()
				}
				return restored
			}, maxWait, pollInterval).Should(gomega.BeTrue())
			tr.g.Expect(preferred).To(gomega.BeZero(), "requests that were to go to the version")
		})
	}
}

// A state that no daemon wrote took off the limit on requests to a version on trial, or was newer than all later ones.
func TestStatesThatNoDaemonWroteAreIgnored(t *testing.T) {
	const written = 9
	trial := State{Order: 5, Version: "v2", Phase: Trying, Blocked: []string{"v0"}}
	for _, tc := range []struct{ name, value string }{
		{"an unknown phase", `{"order":5,"version":"v2","phase":"paused"}`},
		{"no phase", `{"order":5,"version":"v2"}`},
		{"an order that comes later", `{"order":10,"version":"v3","phase":"completed"}`},
		{"the highest order", `{"order":9223372036854775807,"version":"v3","phase":"completed"}`},
		{"no order", `{}`},
		{"a negative order", `{"order":-1,"version":"v2","phase":"completed"}`},
		{"null", `null`},
		{"nothing", ``},
		{"a number beyond all numbers", `{"order":1e999}`},
		{"nested beyond the decoder's limit", strings.Repeat("[", 10_001)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var guard Guard
			c := &Controller{o: Options{Guard: &guard, Log: &event.Log{}}}
			raw, err := json.Marshal(trial)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, value := range []string{string(raw), tc.value} {
				c.Observe(plat.Change{Pair: plat.Pair{Key: StatePrefix + "s", Value: []byte(value), ModRevision: written}})
			}
			g.Expect(guard.services["s"].state).To(gomega.Equal(trial))
		})
	}
}

// A daemon that had been silent for two seconds, stopped or cut off, counted as having no requests at old targets, so that
// a rollout was completed and its streams were lost with these.
func TestARolloutWaitsForRequestsOfDaemonsThatAreSilent(t *testing.T) {
	report := func(phase Phase, running int) []Report {
		return []Report{{Service: "s", Order: 1, Phase: phase, RunningOnOld: running}}
	}
	tests := []struct {
		name  string
		after func(c *Controller) // what happens after daemon b has last reported two requests
		want  bool
	}{
		{"it reports none", func(c *Controller) { c.storeReports("b", "b/1", report(Moving, 0)) }, true},
		{"it goes on", func(*Controller) {}, false},
		{"it is silent", func(*Controller) { clock.Suspend(time.Minute) }, false},
		{"it is silent since the phase before", func(c *Controller) {
			c.storeReports("b", "b/1", report(Trying, 0))
			clock.Suspend(time.Minute)
		}, false},
		{"it was silent and reports again", func(c *Controller) {
			clock.Suspend(time.Minute)
			c.storeReports("b", "b/1", report(Moving, 0))
		}, true},
		{"it starts again", func(c *Controller) { c.storeReports("b", "b/2", report(Moving, 0)) }, true},
		{"it starts again and has requests", func(c *Controller) { c.storeReports("b", "b/2", report(Moving, 1)) }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := NewController(Options{Fleet: fleet.New(fleet.Options{Name: "a", Log: &event.Log{}})})
			c.storeReports("b", "b/1", report(Moving, 2))
			tc.after(c)
			c.storeReports("a", "a/1", report(Moving, 0))
			_, idle := c.evidence(&Order{Service: "s", Revision: 1}, Moving)
			gomega.NewWithT(t).Expect(idle).To(gomega.Equal(tc.want))
		})
	}
}
