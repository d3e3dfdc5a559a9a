package poison

import (
	"context"
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
)

// Times of the rig.
const (
	beat    = 50 * time.Millisecond
	silence = time.Minute
	// most is a generous bound for what tests wait for.
	most = 30 * time.Second
)

// member is one daemon of a rig.
type member struct {
	fleet  *fleet.Fleet
	guard  *Guard
	mirror *plat.Mirror
	stop   func()
}

// rig is a fleet of daemons in one process, before a store in memory. Its targets take
// connections or do not.
type rig struct {
	g       *gomega.WithT
	t       *testing.T
	store   *memkv.KV
	seeds   []fleet.Peer
	members []*member
	alive   atomic.Bool
}

func newRig(t *testing.T, daemons int) *rig {
	r := &rig{g: gomega.NewWithT(t), t: t, store: &memkv.KV{}}
	var listeners []net.Listener
	for i := range daemons {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, l)
		r.seeds = append(r.seeds, fleet.Peer{Name: fmt.Sprintf("entry-%03d", i), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		r.members = append(r.members, r.run(r.seeds[i].Name, l))
	}
	return r
}

// run runs one daemon until the test or its stop ends it.
func (r *rig) run(name string, l net.Listener) *member {
	m := &member{fleet: fleet.New(fleet.Options{Name: name, Incarnation: name + time.Now().String(), Seeds: r.seeds, Heartbeat: beat, Suspect: silence, Log: &event.Log{}})}
	m.mirror = plat.NewMirror(r.store, plat.Prefix(""), &event.Log{})
	m.guard = New(Options{Fleet: m.fleet, Try: r.try, Log: &event.Log{}, Store: r.store, Mirror: m.mirror})
	m.mirror.Observe(func(list []plat.Change) {
		for _, c := range list {
			m.guard.Observe(c)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.fleet.Run(ctx, l) })
	wg.Go(func() { m.mirror.Run(ctx) })
	wg.Go(func() { m.guard.Run(ctx) })
	m.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	r.t.Cleanup(m.stop)
	return m
}

// try is a connection to a target.
func (r *rig) try(context.Context, string) error {
	if r.alive.Load() {
		return nil
	}
	return errors.WithStack(syscall.ECONNREFUSED)
}

// asks is the fingerprint of a request with a text.
func asks(text string) Fingerprint {
	return Of(&Request{Organisation: "org", Method: "POST", Body: []byte(text)})
}

// ends makes a run end under a request at one daemon.
func (r *rig) ends(at int, f Fingerprint, run string) {
	r.members[at%len(r.members)].guard.Lost(f, "org", run, "10.0.0.1:1")
}

// blocked returns how many daemons refuse a request.
func (r *rig) blocked(f Fingerprint) func() int {
	return func() int {
		n := 0
		for _, m := range r.members {
			if _, on := m.guard.Blocked(f); on {
				n++
			}
		}
		return n
	}
}

// counted waits until the keepers have counted so many ends.
func (r *rig) counted(f Fingerprint, ends int) {
	r.g.Eventually(func() int {
		n := 0
		for _, m := range r.members {
			m.guard.keeper.keeperMu.Lock()
			if s := m.guard.keeper.suspects[f]; s != nil {
				n = max(n, len(s.runs))
			}
			m.guard.keeper.keeperMu.Unlock()
		}
		return n
	}, most, "5ms").Should(gomega.Equal(ends))
}

// Each end is seen by another daemon, and the third makes all refuse the request, in fleets
// of one cell and of several, with the store there or away.
func TestTheThirdEndBlocksARequestEverywhere(t *testing.T) {
	for _, c := range []struct {
		daemons int
		away    bool
	}{{1, false}, {3, false}, {3, true}, {40, false}, {40, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			r := newRig(t, c.daemons)
			r.store.SetDown(c.away)
			f := asks("fatal")
			for i := range 2 {
				r.ends(i*c.daemons/2, f, fmt.Sprintf("run-%d", i))
				r.counted(f, i+1)
			}
			r.g.Expect(r.blocked(f)()).To(gomega.BeZero())
			r.ends(c.daemons-1, f, "run-2")
			r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(c.daemons))
			r.g.Expect(r.blocked(asks("other"))()).To(gomega.BeZero())
		})
	}
}

// A run that ends is seen by all daemons that had a request there; it is one end.
func TestAnEndThatManySawCountsOnce(t *testing.T) {
	r := newRig(t, 5)
	f := asks("fatal")
	for i := range 15 {
		r.ends(i, f, "run-1")
	}
	r.ends(0, f, "run-2")
	r.counted(f, 2)
	r.g.Consistently(r.blocked(f), 5*beat, "5ms").Should(gomega.BeZero())
}

// A connection that ends while its target lives is no end of a run, until the list says so.
func TestACutConnectionIsNoEnd(t *testing.T) {
	r := newRig(t, 2)
	r.alive.Store(true)
	f := asks("fatal")
	for i := range 4 {
		r.ends(0, f, fmt.Sprintf("run-%d", i))
	}
	r.g.Consistently(func() int { return r.members[0].guard.Suspects() + r.members[1].guard.Suspects() }, 3*tryAgain, "10ms").Should(gomega.BeZero())
	for i := range 3 {
		r.members[0].guard.Ended(fmt.Sprintf("run-%d", i))
	}
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(2))
}

// Requests that ran well elsewhere lately are not at fault, at whatever daemon that was.
func TestWhatRanWellElsewhereIsNotBlocked(t *testing.T) {
	r := newRig(t, 3)
	f := asks("frequent")
	for i := range 6 {
		r.members[i%3].guard.Good(f, "org", fmt.Sprintf("well-%d", i))
		r.ends(i, f, fmt.Sprintf("run-%d", i))
	}
	r.g.Consistently(r.blocked(f), 5*beat, "5ms").Should(gomega.BeZero())
}

// A target may end just after its whole answer.
func TestARunThatEndsJustAfterAnAnswerCounts(t *testing.T) {
	r := newRig(t, 2)
	f := asks("fatal")
	for i := range 3 {
		run := fmt.Sprintf("run-%d", i)
		r.members[0].guard.Good(f, "org", run)
		r.members[0].guard.Refused(run, errors.WithStack(syscall.ECONNREFUSED))
		if i < 2 {
			r.counted(f, i+1)
		}
	}
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(2))
}

// The two daemons that keep the count are gone before the third end.
func TestTheCountOutlivesOneOfItsKeepers(t *testing.T) {
	r := newRig(t, 5)
	f := asks("fatal")
	ranked := fleet.Rank(key(f), r.members[0].fleet.View().Listed())
	at := map[string]int{}
	for i, s := range r.seeds {
		at[s.Name] = i
	}
	for i := range 2 {
		r.ends(at[ranked[4]], f, fmt.Sprintf("run-%d", i))
		r.counted(f, i+1)
	}
	r.g.Eventually(func() int { return r.members[at[ranked[1]]].guard.Suspects() }, most, "5ms").Should(gomega.Equal(1))
	r.members[at[ranked[0]]].stop()
	r.ends(at[ranked[3]], f, "run-2")
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.BeNumerically(">=", 4))
}

// Daemons that are silent do not hold up the word: two of the fleet are frozen, and many proper
// requests were there beside the one at fault.
func TestSilentKeepersDoNotHoldUpTheWord(t *testing.T) {
	r := newRig(t, 6)
	for i := range 2 {
		r.members[i].stop()
		l, err := net.Listen("tcp", r.seeds[i].Address)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { l.Close() })
	}
	r.members = r.members[2:]
	f := asks("fatal")
	for run := range 3 {
		for i := range 20 {
			r.ends(run, asks(fmt.Sprintf("beside %d, %d", run, i)), fmt.Sprintf("run-%d", run))
		}
		r.ends(run, f, fmt.Sprintf("run-%d", run))
		r.counted(f, run+1)
		clock.Suspend(togetherTime)
	}
	r.g.Eventually(r.blocked(f), "3s", "5ms").Should(gomega.Equal(4))
}

// A daemon that starts hears of blocks from its peers, where the store is away.
func TestADaemonThatStartsHearsOfBlocks(t *testing.T) {
	r := newRig(t, 3)
	r.store.SetDown(true)
	f := asks("fatal")
	for i := range 3 {
		r.ends(i, f, fmt.Sprintf("run-%d", i))
	}
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(3))
	r.members[2].stop()
	l, err := net.Listen("tcp", r.seeds[2].Address)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.members[2] = r.run(r.seeds[2].Name, l)
	r.g.Expect(r.blocked(f)()).To(gomega.Equal(2))
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(3))
}

// Blocks stand in the platform's store; who removes one there takes it back everywhere, and
// three more ends are needed.
func TestABlockIsTakenBackByRemovingItsKey(t *testing.T) {
	r := newRig(t, 3)
	f := asks("fatal")
	end := func(round int) {
		for i := range 3 {
			r.ends(i, f, fmt.Sprintf("run-%d-%d", round, i))
		}
		r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(3))
	}
	end(0)
	stored := func() bool { _, there := r.members[0].mirror.Pair(KeyBlocks + f.String()); return there }
	r.g.Eventually(stored, most, "5ms").Should(gomega.BeTrue())
	_, err := r.store.Commit(context.Background(), plat.Txn{Deletes: []string{KeyBlocks + f.String()}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.BeZero())
	r.g.Consistently(r.blocked(f), 5*beat, "5ms").Should(gomega.BeZero())
	r.ends(0, f, "run-1-0")
	r.counted(f, 1)
	end(1)
	r.g.Eventually(stored, most, "5ms").Should(gomega.BeTrue())
}

// A store that comes back without a block releases nothing, and is told of it again.
func TestABlockThatARestoredStoreLacksStays(t *testing.T) {
	r := newRig(t, 3)
	f := asks("fatal")
	before := r.store.Copy()
	for i := range 3 {
		r.ends(i, f, fmt.Sprintf("run-%d", i))
	}
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(3))
	stored := func() bool { _, there := r.members[0].mirror.Pair(KeyBlocks + f.String()); return there }
	r.g.Eventually(stored, most, "5ms").Should(gomega.BeTrue())
	r.store.Restore(before)
	r.g.Eventually(func() bool { return r.members[0].mirror.Era() == 1 && stored() }, most, "5ms").Should(gomega.BeTrue())
	r.g.Expect(r.blocked(f)()).To(gomega.Equal(3))
}

// A block ends with time, also while the machine is suspended; one more end brings it back
// for longer.
func TestABlockEndsAndComesBackForLonger(t *testing.T) {
	r := newRig(t, 1)
	f := asks("fatal")
	for i := range 3 {
		r.ends(0, f, fmt.Sprintf("run-%d", i))
	}
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(1))
	clock.Suspend(blockTime)
	r.g.Expect(r.blocked(f)()).To(gomega.BeZero())
	r.ends(0, f, "run-3")
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(1))
	left, _ := r.members[0].guard.Blocked(f)
	r.g.Expect(left).To(gomega.BeNumerically("~", 2*blockTime, time.Minute))
}

// A nil guard lets everything pass.
func TestNoGuard(t *testing.T) {
	g := gomega.NewWithT(t)
	var none *Guard
	none.Lost(asks("a"), "org", "run", "10.0.0.1:1")
	none.Good(asks("a"), "org", "run")
	none.Refused("run", syscall.ECONNREFUSED)
	none.Ended("run")
	_, blocked := none.Blocked(asks("a"))
	g.Expect(blocked).To(gomega.BeFalse())
	g.Expect(none.Ends(asks("a"))).To(gomega.BeZero())
}

// Runs that end together end of something else than a request that was at one of them; three
// such ends do not block it, and what ended well is let go where it was blocked.
func TestEndsTogetherCountHalf(t *testing.T) {
	r := newRig(t, 2)
	f := asks("long")
	wave := func(i int) {
		r.ends(0, f, fmt.Sprintf("run-%d", i))
		r.ends(0, asks(fmt.Sprint("beside", i)), fmt.Sprintf("other-%d", i))
		r.counted(f, i+1)
		clock.Suspend(togetherTime)
	}
	for i := range 3 {
		wave(i)
	}
	// Until it shows that others ended as well it may be blocked, for a moment.
	r.g.Eventually(func() int { return r.members[0].guard.keeper.weightOf(f) }, most, "5ms").Should(gomega.Equal(3 * half))
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.BeZero())
	r.g.Consistently(r.blocked(f), 5*beat, "5ms").Should(gomega.BeZero())
	for i := 3; i < 6; i++ {
		wave(i)
	}
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.Equal(2))
	r.members[1].guard.Good(f, "org", "well")
	r.g.Eventually(r.blocked(f), most, "5ms").Should(gomega.BeZero())
}

// A run that refused connections for a while and answers again has not ended: what breaks off
// there later is found out anew.
func TestARunThatAnswersAgainHasNotEnded(t *testing.T) {
	r := newRig(t, 1)
	g := r.members[0].guard
	r.ends(0, asks("a"), "run")
	r.counted(asks("a"), 1)
	g.Answers("run")
	r.alive.Store(true)
	r.ends(0, asks("b"), "run")
	r.g.Consistently(g.Suspects, 3*tryAgain, "10ms").Should(gomega.Equal(1))
}

// weightOf returns how much the ends under a request weigh.
func (k *keeper) weightOf(f Fingerprint) int {
	k.keeperMu.Lock()
	defer k.keeperMu.Unlock()
	if s := k.suspects[f]; s != nil {
		return s.weight()
	}
	return 0
}
