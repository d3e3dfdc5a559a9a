package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
)

// Times of the test fleet.
const (
	heartbeat    = 50 * time.Millisecond
	suspectAfter = time.Minute
	// maxWait is a generous bound on waits.
	maxWait = 30 * time.Second
)

// testDaemon is one daemon of a test fleet.
type testDaemon struct {
	fleet *fleet.Fleet
	guard *Guard
	cache *plat.WatchCache
	stop  func()
}

// testFleet is a fleet of daemons in one process with an in-memory store. Its targets accept
// connections while alive is set.
type testFleet struct {
	g       *gomega.WithT
	t       *testing.T
	store   *memkv.KV
	seeds   []fleet.Peer
	daemons []*testDaemon
	alive   atomic.Bool
}

func newTestFleet(t *testing.T, daemons int) *testFleet {
	r := &testFleet{g: gomega.NewWithT(t), t: t, store: &memkv.KV{}}
	var listeners []net.Listener
	for i := range daemons {
		l, err := testip.Listen()
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, l)
		r.seeds = append(r.seeds, fleet.Peer{Name: fmt.Sprintf("entry-%03d", i), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		r.daemons = append(r.daemons, r.run(r.seeds[i].Name, l))
	}
	return r
}

// run runs one daemon until the test ends or its stop is called.
func (r *testFleet) run(name string, l net.Listener) *testDaemon {
	m := &testDaemon{fleet: fleet.New(fleet.Options{
		Name: name, Incarnation: name + time.Now().String(), Seeds: r.seeds,
		HeartbeatInterval: heartbeat, SuspectAfter: suspectAfter, Log: &event.Log{},
	})}
	m.cache = plat.NewWatchCache(r.store, plat.Prefix(""), &event.Log{})
	m.guard = New(Options{Fleet: m.fleet, Dial: r.dial, Log: &event.Log{}, Store: r.store, WatchCache: m.cache})
	m.cache.Observe(func(list []plat.Change) {
		for _, c := range list {
			m.guard.Observe(c)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.fleet.Run(ctx, l) })
	wg.Go(func() { m.cache.Run(ctx) })
	wg.Go(func() { m.guard.Run(ctx) })
	m.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	r.t.Cleanup(m.stop)
	return m
}

// dial connects to a target.
func (r *testFleet) dial(context.Context, string, string) error {
	if r.alive.Load() {
		return nil
	}
	return errors.WithStack(syscall.ECONNREFUSED)
}

// digestOf returns the digest of a request with the given body.
func digestOf(text string) Digest {
	return DigestOf(&Request{Organisation: "org", Method: "POST", Body: []byte(text)})
}

// sentOf returns a request that the test organisation sent.
func sentOf(d Digest) Sent { return Sent{Request: d, Organisation: "org"} }

// crash makes an incarnation crash under a request at one daemon.
func (r *testFleet) crash(daemon int, d Digest, incarnation string) {
	r.daemons[daemon%len(r.daemons)].guard.RecordLostConnection(sentOf(d), incarnation, "10.0.0.1:1")
}

// blockedDaemons returns a function that counts the daemons that block a request.
func (r *testFleet) blockedDaemons(d Digest) func() int {
	return func() int {
		n := 0
		for _, m := range r.daemons {
			if _, blocked := m.guard.Blocked(sentOf(d)); blocked {
				n++
			}
		}
		return n
	}
}

// waitForCrashes waits until the crash trackers have counted so many crashes.
func (r *testFleet) waitForCrashes(d Digest, crashes int) {
	r.g.Eventually(func() int {
		n := 0
		for _, m := range r.daemons {
			m.guard.tracker.trackerMu.Lock()
			if s := m.guard.tracker.suspects[d]; s != nil {
				n = max(n, len(s.crashes))
			}
			m.guard.tracker.trackerMu.Unlock()
		}
		return n
	}, maxWait, "5ms").Should(gomega.Equal(crashes))
}

// Each crash is seen by a different daemon, and the third makes all block the request, in fleets of
// one cell and of several, with the store up or down.
func TestTheThirdCrashBlocksARequestEverywhere(t *testing.T) {
	for _, c := range []struct {
		daemons   int
		storeDown bool
	}{{1, false}, {3, false}, {3, true}, {40, false}, {40, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			r := newTestFleet(t, c.daemons)
			r.store.SetDown(c.storeDown)
			d := digestOf("fatal")
			for i := range 2 {
				r.crash(i*c.daemons/2, d, fmt.Sprintf("inc-%d", i))
				r.waitForCrashes(d, i+1)
			}
			r.g.Expect(r.blockedDaemons(d)()).To(gomega.BeZero())
			r.crash(c.daemons-1, d, "inc-2")
			r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(c.daemons))
			r.g.Expect(r.blockedDaemons(digestOf("other"))()).To(gomega.BeZero())
		})
	}
}

// A crash that all daemons with a request in flight there see counts once.
func TestACrashReportedByManyCountsOnce(t *testing.T) {
	r := newTestFleet(t, 5)
	d := digestOf("fatal")
	for i := range 15 {
		r.crash(i, d, "inc-1")
	}
	r.crash(0, d, "inc-2")
	r.waitForCrashes(d, 2)
	r.g.Consistently(r.blockedDaemons(d), 5*heartbeat, "5ms").Should(gomega.BeZero())
}

// A connection that breaks while its target lives is no crash, until the platform's list says so.
func TestABrokenConnectionIsNoCrash(t *testing.T) {
	r := newTestFleet(t, 2)
	r.alive.Store(true)
	d := digestOf("fatal")
	for i := range 4 {
		r.crash(0, d, fmt.Sprintf("inc-%d", i))
	}
	r.g.Consistently(func() int {
		return r.daemons[0].guard.SuspectCount() + r.daemons[1].guard.SuspectCount()
	}, 3*redialDelay, "10ms").Should(gomega.BeZero())
	for i := range 3 {
		r.daemons[0].guard.RecordListedCrash(fmt.Sprintf("inc-%d", i))
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(2))
}

// A request that recently completed well elsewhere is not blocked, whichever daemon saw that.
func TestARequestThatSucceedsElsewhereIsNotBlocked(t *testing.T) {
	r := newTestFleet(t, 3)
	d := digestOf("frequent")
	for i := range 6 {
		r.daemons[i%3].guard.RecordSuccess(sentOf(d), fmt.Sprintf("well-%d", i))
		r.crash(i, d, fmt.Sprintf("inc-%d", i))
	}
	r.g.Consistently(r.blockedDaemons(d), 5*heartbeat, "5ms").Should(gomega.BeZero())
}

// A request that had once been answered well was never blocked, as with targets of a release that it crashes.
func TestAnAnswerFromBeforeAllCrashesThatCountClearsNoRequest(t *testing.T) {
	r := newTestFleet(t, 2)
	d := digestOf("fatal")
	for i := range r.daemons {
		r.daemons[i].guard.RecordSuccess(sentOf(d), "of the former release")
	}
	clock.Suspend(crashWindow + time.Second)
	for i := range 3 {
		r.crash(i, d, fmt.Sprintf("inc-%d", i))
		if i < 2 {
			r.waitForCrashes(d, i+1)
		}
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(2))
}

// A daemon went on taking a request for one that may crash targets, and did not retry it, when its crashes counted no
// longer.
func TestCrashesThatAreReportedCountNoLongerThanCrashes(t *testing.T) {
	r := newTestFleet(t, 2)
	d := digestOf("seldom")
	for i := range 2 {
		r.crash(0, d, fmt.Sprintf("inc-%d", i))
		r.waitForCrashes(d, i+1)
	}
	clock.Suspend(crashWindow / 2)
	r.g.Expect(r.daemons[0].guard.Crashes(d)).To(gomega.BeNumerically(">", 0))
	clock.Suspend(crashWindow/2 + time.Second)
	r.g.Expect(r.daemons[0].guard.Crashes(d)).To(gomega.BeZero())
}

// A target may crash just after its complete answer.
func TestACrashJustAfterAnAnswerCounts(t *testing.T) {
	r := newTestFleet(t, 2)
	d := digestOf("fatal")
	for i := range 3 {
		incarnation := fmt.Sprintf("inc-%d", i)
		r.daemons[0].guard.RecordSuccess(sentOf(d), incarnation)
		r.daemons[0].guard.RecordDialError(incarnation, errors.WithStack(syscall.ECONNREFUSED))
		if i < 2 {
			r.waitForCrashes(d, i+1)
		}
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(2))
}

// A target that crashes may end its response as one that is done: such an end cleared requests that crash
// targets.
func TestAnUnprovenEndClearsNoRequest(t *testing.T) {
	r := newTestFleet(t, 2)
	d := digestOf("fatal")
	for i := range 3 {
		r.daemons[0].guard.RecordUnprovenEnd(sentOf(d), fmt.Sprintf("other-%d", i))
		r.crash(0, d, fmt.Sprintf("inc-%d", i))
		if i < 2 {
			r.waitForCrashes(d, i+1)
		}
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(2))
	r.daemons[1].guard.RecordUnprovenEnd(sentOf(d), "well")
	r.g.Consistently(r.blockedDaemons(d), 5*heartbeat, "5ms").Should(gomega.Equal(2))
}

// The target crashed just after it had closed the connection of a response that nothing marks as whole.
func TestACrashJustAfterAnUnprovenEndCounts(t *testing.T) {
	r := newTestFleet(t, 2)
	d := digestOf("fatal")
	for i := range 3 {
		incarnation := fmt.Sprintf("inc-%d", i)
		r.daemons[0].guard.RecordUnprovenEnd(sentOf(d), incarnation)
		r.daemons[0].guard.RecordDialError(incarnation, errors.WithStack(syscall.ECONNREFUSED))
		if i < 2 {
			r.waitForCrashes(d, i+1)
		}
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(2))
}

// The first crash tracker is stopped before the third crash.
func TestTheCountSurvivesTheLossOfACrashTracker(t *testing.T) {
	r := newTestFleet(t, 5)
	d := digestOf("fatal")
	ranked := fleet.Rank(shortKey(d), r.daemons[0].fleet.View().NotDraining())
	at := map[string]int{}
	for i, s := range r.seeds {
		at[s.Name] = i
	}
	for i := range 2 {
		r.crash(at[ranked[4]], d, fmt.Sprintf("inc-%d", i))
		r.waitForCrashes(d, i+1)
	}
	r.g.Eventually(func() int {
		return r.daemons[at[ranked[1]]].guard.SuspectCount()
	}, maxWait, "5ms").Should(gomega.Equal(1))
	r.daemons[at[ranked[0]]].stop()
	r.crash(at[ranked[3]], d, "inc-2")
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.BeNumerically(">=", 4))
}

// Unresponsive crash trackers do not delay reports: two daemons of the fleet accept connections
// without answering, and many harmless requests were in flight along with the one at fault.
func TestUnresponsiveCrashTrackersDoNotDelayReports(t *testing.T) {
	r := newTestFleet(t, 6)
	for i := range 2 {
		r.daemons[i].stop()
		l, err := net.Listen("tcp", r.seeds[i].Address)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { l.Close() })
	}
	r.daemons = r.daemons[2:]
	d := digestOf("fatal")
	for round := range 3 {
		for i := range 20 {
			r.crash(round, digestOf(fmt.Sprintf("harmless %d, %d", round, i)), fmt.Sprintf("inc-%d", round))
		}
		r.crash(round, d, fmt.Sprintf("inc-%d", round))
		r.waitForCrashes(d, round+1)
		clock.Suspend(simultaneousWindow)
	}
	r.g.Eventually(r.blockedDaemons(d), "3s", "5ms").Should(gomega.Equal(4))
}

// A daemon that starts receives blocks from its peers while the store is down.
func TestADaemonThatStartsReceivesBlocks(t *testing.T) {
	r := newTestFleet(t, 3)
	r.store.SetDown(true)
	d := digestOf("fatal")
	for i := range 3 {
		r.crash(i, d, fmt.Sprintf("inc-%d", i))
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(3))
	r.daemons[2].stop()
	l, err := net.Listen("tcp", r.seeds[2].Address)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.daemons[2] = r.run(r.seeds[2].Name, l)
	r.g.Expect(r.blockedDaemons(d)()).To(gomega.Equal(2))
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(3))
}

// Blocks are written to the store. Removing one there releases it everywhere, and three more
// crashes are needed for the next block.
func TestRemovingTheKeyReleasesABlock(t *testing.T) {
	r := newTestFleet(t, 3)
	d := digestOf("fatal")
	crashThrice := func(round int) {
		for i := range 3 {
			r.crash(i, d, fmt.Sprintf("inc-%d-%d", round, i))
		}
		r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(3))
	}
	crashThrice(0)
	stored := func() bool { _, there := r.daemons[0].cache.Pair(BlockPrefix + d.String()); return there }
	r.g.Eventually(stored, maxWait, "5ms").Should(gomega.BeTrue())
	_, err := r.store.Commit(context.Background(), plat.Txn{Deletes: []string{BlockPrefix + d.String()}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.BeZero())
	r.g.Consistently(r.blockedDaemons(d), 5*heartbeat, "5ms").Should(gomega.BeZero())
	r.crash(0, d, "inc-1-0")
	r.waitForCrashes(d, 1)
	crashThrice(1)
	r.g.Eventually(stored, maxWait, "5ms").Should(gomega.BeTrue())
}

// A store restored from a copy without a block releases nothing, and the block is written to it
// again.
func TestBlockInTheStoreHoldsAtADaemonWhoseTimeOfDayIsWrong(t *testing.T) {
	tests := []struct {
		name string
		// left is for how much longer the block lasts by the daemon's time of day.
		left, want time.Duration
	}{
		{"right", initialBlockTime / 2, initialBlockTime / 2},
		{"ahead", -time.Minute, initialBlockTime},
		{"behind", 3 * initialBlockTime, initialBlockTime},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestFleet(t, 1)
			value, err := json.Marshal(storedBlock{Organisation: "org", Expires: time.Now().Add(tc.left), Stamp: 1, Consecutive: 1})
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			request := Digest{1}
			guard := r.daemons[0].guard
			guard.Observe(plat.Change{Pair: plat.Pair{Key: BlockPrefix + request.String(), Value: value}})
			remaining, blocked := guard.Blocked(Sent{Request: request})
			r.g.Expect(blocked).To(gomega.BeTrue())
			r.g.Expect(remaining).To(gomega.BeNumerically("~", tc.want, time.Minute/2))
		})
	}
}

func TestARestoredStoreReleasesNoBlock(t *testing.T) {
	r := newTestFleet(t, 3)
	d := digestOf("fatal")
	before := r.store.Copy()
	for i := range 3 {
		r.crash(i, d, fmt.Sprintf("inc-%d", i))
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(3))
	stored := func() bool { _, there := r.daemons[0].cache.Pair(BlockPrefix + d.String()); return there }
	r.g.Eventually(stored, maxWait, "5ms").Should(gomega.BeTrue())
	r.store.Restore(before)
	r.g.Eventually(func() bool {
		return r.daemons[0].cache.StoreIncarnation() == 1 && stored()
	}, maxWait, "5ms").Should(gomega.BeTrue())
	r.g.Expect(r.blockedDaemons(d)()).To(gomega.Equal(3))
}

// A block expires, also during a system suspend; one more crash brings it back for longer.
func TestABlockExpiresAndTheNextLastsLonger(t *testing.T) {
	r := newTestFleet(t, 1)
	d := digestOf("fatal")
	for i := range 3 {
		r.crash(0, d, fmt.Sprintf("inc-%d", i))
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(1))
	clock.Suspend(initialBlockTime)
	r.g.Expect(r.blockedDaemons(d)()).To(gomega.BeZero())
	r.crash(0, d, "inc-3")
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(1))
	remaining, _ := r.daemons[0].guard.Blocked(sentOf(d))
	r.g.Expect(remaining).To(gomega.BeNumerically("~", 2*initialBlockTime, time.Minute))
}

// A nil guard blocks nothing.
func TestNilGuardBlocksNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	var none *Guard
	none.RecordLostConnection(sentOf(digestOf("a")), "inc", "10.0.0.1:1")
	none.RecordSuccess(sentOf(digestOf("a")), "inc")
	none.RecordDialError("inc", syscall.ECONNREFUSED)
	none.RecordListedCrash("inc")
	_, blocked := none.Blocked(sentOf(digestOf("a")))
	g.Expect(blocked).To(gomega.BeFalse())
	g.Expect(none.Crashes(digestOf("a"))).To(gomega.BeZero())
}

// Simultaneous crashes have another cause than a request that was at one of them: three of them do
// not block it, and a block is released once the request completes well.
func TestSimultaneousCrashesCountHalf(t *testing.T) {
	r := newTestFleet(t, 2)
	d := digestOf("long")
	crashTwo := func(i int) {
		r.crash(0, d, fmt.Sprintf("inc-%d", i))
		r.crash(0, digestOf(fmt.Sprint("harmless", i)), fmt.Sprintf("other-%d", i))
		r.waitForCrashes(d, i+1)
		clock.Suspend(simultaneousWindow)
	}
	for i := range 3 {
		crashTwo(i)
	}
	// It may be blocked for a moment, until the other crashes show.
	r.g.Eventually(func() int {
		return r.daemons[0].guard.tracker.weightOf(d)
	}, maxWait, "5ms").Should(gomega.Equal(3 * halfWeight))
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.BeZero())
	r.g.Consistently(r.blockedDaemons(d), 5*heartbeat, "5ms").Should(gomega.BeZero())
	for i := 3; i < 6; i++ {
		crashTwo(i)
	}
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.Equal(2))
	r.daemons[1].guard.RecordSuccess(sentOf(d), "well")
	r.g.Eventually(r.blockedDaemons(d), maxWait, "5ms").Should(gomega.BeZero())
}

// Long streams that met three crashes of other causes were blocked.
func TestCrashesUnderRequestsBeingAnsweredCountHalf(t *testing.T) {
	r := newTestFleet(t, 2)
	stream := sentOf(digestOf("long"))
	stream.Answering = true
	for i := range 2*maxCrashes - 1 {
		r.daemons[0].guard.RecordLostConnection(stream, fmt.Sprint("inc-", i), "10.0.0.1:1")
		r.waitForCrashes(stream.Request, i+1)
		clock.Suspend(simultaneousWindow)
	}
	r.g.Consistently(r.blockedDaemons(stream.Request), 5*heartbeat, "5ms").Should(gomega.BeZero())
	r.daemons[0].guard.RecordLostConnection(stream, "inc-last", "10.0.0.1:1")
	r.g.Eventually(r.blockedDaemons(stream.Request), maxWait, "5ms").Should(gomega.Equal(2))
}

// An incarnation that refused connections for a while and responds again has not crashed: a
// connection that breaks there later is probed again.
func TestAnIncarnationThatRespondsAgainHasNotCrashed(t *testing.T) {
	r := newTestFleet(t, 1)
	g := r.daemons[0].guard
	r.crash(0, digestOf("a"), "inc")
	r.waitForCrashes(digestOf("a"), 1)
	g.RecordResponsive("inc")
	r.alive.Store(true)
	r.crash(0, digestOf("b"), "inc")
	r.g.Consistently(g.SuspectCount, 3*redialDelay, "10ms").Should(gomega.Equal(1))
}

// weightOf returns the weight of the crashes under a request.
func (t *crashTracker) weightOf(d Digest) int {
	t.trackerMu.Lock()
	defer t.trackerMu.Unlock()
	if s := t.suspects[d]; s != nil {
		return s.weight()
	}
	return 0
}

// Where a block is released since other incarnations crashed at the same time, the crashes still count half.
func TestAReleaseForSimultaneousCrashesKeepsTheCount(t *testing.T) {
	r := newTestFleet(t, 1)
	g, d := r.daemons[0].guard, digestOf("long")
	for i := range maxCrashes {
		_, err := g.receiveCrash(context.Background(), "", &crashReport{Request: d, Organisation: "org", Incarnation: fmt.Sprint("inc-", i), Alone: true})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	r.g.Expect(r.blockedDaemons(d)()).To(gomega.Equal(1))
	_, err := g.receiveCrash(context.Background(), "", &crashReport{Request: d, Organisation: "org", Incarnation: "inc-0"})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(r.blockedDaemons(d)()).To(gomega.BeZero())
	r.g.Expect(g.tracker.weightOf(d)).To(gomega.Equal(2*fullWeight + halfWeight))
}
