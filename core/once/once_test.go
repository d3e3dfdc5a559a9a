package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/wire"
)

// mesh connects several Once without a network. owner is the daemon to which all shards are
// assigned in the local view of each node.
type mesh struct {
	mu    sync.Mutex
	nodes map[string]*Once
	owner map[string]string
	dead  map[string]bool
}

type meshPeers struct {
	m    *mesh
	name string
}

func (p meshPeers) Owner(int) string {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	return p.m.owner[p.name]
}

func (p meshPeers) Running(name, _ string) bool {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	return !p.m.dead[name]
}

func (p meshPeers) Call(ctx context.Context, peer string, _ wire.Kind, req, resp any) error {
	p.m.mu.Lock()
	n := p.m.nodes[peer]
	dead := p.m.dead[peer]
	p.m.mu.Unlock()
	if n == nil || dead {
		return errors.New("no response")
	}
	switch m := req.(type) {
	case *Claim:
		*resp.(*ClaimResponse) = n.shards[m.Key.shard()].claim(ctx, m)
	case *settlement:
		if m.issuer != "" {
			n.tickets.settle(m)
			*resp.(*bool) = true
			return nil
		}
		*resp.(*bool) = n.shards[m.Key.shard()].settleAndWait(ctx, m)
	case *ticketClaim:
		*resp.(*ClaimResponse) = n.grantTicket(m)
	}
	return nil
}

// assign assigns all shards to owner in the view of every node.
func (m *mesh) assign(owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.nodes {
		m.owner[name] = owner
	}
}

// setDead sets whether a node responds to the others.
func (m *mesh) setDead(name string, dead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead[name] = dead
}

func newMesh(kv kv, names ...string) *mesh {
	m := &mesh{nodes: map[string]*Once{}, owner: map[string]string{}, dead: map[string]bool{}}
	for _, n := range names {
		m.nodes[n] = newOnce(Options{Name: n, Incarnation: n + "-1", KV: kv, Log: &event.Log{}}, meshPeers{m, n})
		m.nodes[n].claimTimeout = 200 * time.Millisecond
		m.owner[n] = names[0]
	}
	return m
}

func (m *mesh) start(t interface{ Cleanup(func()) }) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(func() { n.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func newIdempotencyKey(t *testing.T) (string, time.Time) {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	at, err := KeyTime(id.String())
	if err != nil {
		t.Fatal(err)
	}
	return id.String(), at
}

// claimUntilAvailable repeats a claim until its state is not Unavailable.
func claimUntilAvailable(g *gomega.WithT, c *Once, key Key, at time.Time, digest uint64) (a *Attempt, ans ClaimResponse) {
	g.Eventually(func() State {
		a, ans = c.Claim(context.Background(), key, at, digest)
		return ans.State
	}, "20s", "20ms").ShouldNot(gomega.Equal(Unavailable))
	return a, ans
}

func TestClaimIsGrantedOnceAndItsOutcomeAnswersRepeats(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(&memkv.KV{}, "a", "b")
	m.start(t)
	id, at := newIdempotencyKey(t)
	key := NewKey("org", "pay", id)
	first, ans := claimUntilAvailable(g, m.nodes["b"], key, at, 7)
	g.Expect(ans.State).To(gomega.Equal(Granted))
	_, ans = claimUntilAvailable(g, m.nodes["a"], key, at, 7)
	g.Expect(ans.State).To(gomega.Equal(Running))
	_, ans = claimUntilAvailable(g, m.nodes["a"], key, at, 8)
	g.Expect(ans.State).To(gomega.Equal(Mismatch))
	first.RecordOutcome(Outcome{Status: 200, Body: []byte("paid")})
	g.Eventually(func() ClaimResponse {
		_, ans := m.nodes["a"].Claim(context.Background(), key, at, 7)
		return ans
	}, "20s", "20ms").Should(gomega.Equal(ClaimResponse{State: Ran, Outcome: Outcome{Status: 200, Body: []byte("paid")}}))
}

func TestClaimSurvivesItsOwner(t *testing.T) {
	tests := []struct {
		name   string
		finish func(a *Attempt)
		want   State
	}{
		{"ran", func(a *Attempt) { a.RecordOutcome(Outcome{Status: 201}) }, Ran},
		{"unknown", func(a *Attempt) { a.RecordUnknown() }, Unknown},
		{"released", func(a *Attempt) { a.Release() }, Granted},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := newMesh(&memkv.KV{}, "a", "b", "c")
			m.start(t)
			id, at := newIdempotencyKey(t)
			key := NewKey("org", "pay", id)
			a, ans := claimUntilAvailable(g, m.nodes["c"], key, at, 1)
			g.Expect(ans.State).To(gomega.Equal(Granted))
			tc.finish(a)
			g.Eventually(func() int { return len(m.nodes["c"].settlements) }, "20s").Should(gomega.BeZero())
			m.assign("b")
			g.Eventually(func() State {
				_, ans := m.nodes["c"].Claim(context.Background(), key, at, 1)
				return ans.State
			}, "20s", "50ms").Should(gomega.Equal(tc.want))
		})
	}
}

func TestClaimOfStoppedRequesterIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(&memkv.KV{}, "a", "b")
	m.start(t)
	id, at := newIdempotencyKey(t)
	key := NewKey("org", "pay", id)
	_, ans := claimUntilAvailable(g, m.nodes["b"], key, at, 1)
	g.Expect(ans.State).To(gomega.Equal(Granted))
	m.mu.Lock()
	m.dead["b"] = true
	m.mu.Unlock()
	_, ans = claimUntilAvailable(g, m.nodes["a"], key, at, 1)
	g.Expect(ans.State).To(gomega.Equal(Unknown))
}

func TestClaimsAreUnavailableWhileTheStoreIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	m := newMesh(kv, "a")
	m.start(t)
	id, at := newIdempotencyKey(t)
	key := NewKey("org", "pay", id)
	other, otherAt := newIdempotencyKey(t)
	claimUntilAvailable(g, m.nodes["a"], NewKey("org", "pay", other), otherAt, 1)
	kv.SetDown(true)
	_, ans := m.nodes["a"].Claim(context.Background(), key, at, 1)
	g.Expect(ans.State).To(gomega.Equal(Unavailable))
	kv.SetDown(false)
	_, ans = claimUntilAvailable(g, m.nodes["a"], key, at, 1)
	g.Expect(ans.State).To(gomega.Equal(Granted))
}

// The outcome of a call that ended in an outage was given up after a while, so that the call counted as running until its
// key expired: its caller could neither learn of the outcome nor run it.
func TestOutcomesOutliveAnOutageThatTheirKeysOutlive(t *testing.T) {
	const outage = 22 * time.Second
	tests := []struct {
		name string
		// begin and end are those of the outage.
		begin, end func(m *mesh, store *memkv.KV)
		settle     func(*Attempt)
		want       State
	}{
		{
			"the store is down, the call ran", func(_ *mesh, store *memkv.KV) { store.SetDown(true) },
			func(_ *mesh, store *memkv.KV) { store.SetDown(false) },
			func(a *Attempt) { a.RecordOutcome(Outcome{Status: 201}) }, Ran,
		},
		{
			"the owner is cut off, the call ran", func(m *mesh, _ *memkv.KV) { m.setDead("a", true) },
			func(m *mesh, _ *memkv.KV) { m.setDead("a", false) },
			func(a *Attempt) { a.RecordOutcome(Outcome{Status: 201}) }, Ran,
		},
		{
			"the store is down, then the owner is lost, the call ran", func(_ *mesh, store *memkv.KV) { store.SetDown(true) },
			func(m *mesh, store *memkv.KV) {
				m.assign("c")
				for m.nodes["a"].OwnedShards() > 0 {
					time.Sleep(time.Millisecond)
				}
				store.SetDown(false)
			},
			func(a *Attempt) { a.RecordOutcome(Outcome{Status: 201}) }, Ran,
		},
		{
			"the owner is cut off, nothing was sent", func(m *mesh, _ *memkv.KV) { m.setDead("a", true) },
			func(m *mesh, _ *memkv.KV) { m.setDead("a", false) },
			func(a *Attempt) { a.Release() }, Granted,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			store := &memkv.KV{}
			m := newMesh(store, "a", "b", "c")
			m.start(t)
			id, at := newIdempotencyKey(t)
			key := NewKey("org", "pay", id)
			attempt, ans := claimUntilAvailable(g, m.nodes["b"], key, at, 1)
			g.Expect(ans.State).To(gomega.Equal(Granted))
			tc.begin(m, store)
			tc.settle(attempt)
			time.Sleep(outage)
			tc.end(m, store)
			g.Eventually(func() State {
				_, ans = m.nodes["c"].Claim(context.Background(), key, at, 1)
				return ans.State
			}, "10s", "20ms").Should(gomega.Equal(tc.want))
			if tc.want == Ran {
				g.Expect(ans.Outcome.Status).To(gomega.Equal(201))
			}
		})
	}
}

// The owner read a claim only after its requester had given it up: it was granted to nobody, and the key could not be
// used any more.
func TestAClaimThatIsReadAfterItsReleaseIsNotGranted(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(&memkv.KV{}, "a")
	m.start(t)
	firstID, at := newIdempotencyKey(t)
	claimUntilAvailable(g, m.nodes["a"], NewKey("org", "pay", firstID), at, 1)
	id, at := newIdempotencyKey(t)
	key := NewKey("org", "pay", id)
	owner := m.nodes["a"].shards[key.shard()]
	late := &Claim{Key: key, KeyMillis: at.UnixMilli(), Attempt: "late", Requester: "b", Incarnation: "b-1", Digest: 1}
	g.Eventually(func() bool {
		return owner.settleAndWait(context.Background(), &settlement{Key: key, KeyMillis: late.KeyMillis, Attempt: late.Attempt, Result: resultNotRun})
	}, "10s", "20ms").Should(gomega.BeTrue())
	g.Expect(owner.claim(context.Background(), late).State).To(gomega.Equal(Unavailable))
	_, ans := claimUntilAvailable(g, m.nodes["a"], key, at, 1)
	g.Expect(ans.State).To(gomega.Equal(Granted), "to another attempt")
}

// A pending claim is answered even if its shard changes its owner meanwhile.
func TestPendingClaimSurvivesAChangeOfOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(&memkv.KV{}, "a", "b")
	for _, n := range m.nodes {
		n.claimTimeout = 20 * time.Second
	}
	m.start(t)
	const claims = 40
	states := make(chan State, claims)
	for i := range claims {
		id, at := newIdempotencyKey(t)
		go func() {
			_, ans := m.nodes["b"].Claim(context.Background(), NewKey("org", "pay", id), at, 1)
			states <- ans.State
		}()
		m.assign([]string{"a", "b"}[i/10%2])
	}
	for range claims {
		g.Eventually(states, "30s").Should(gomega.Receive(gomega.Equal(Granted)))
	}
}

func TestKeyTime(t *testing.T) {
	now, nowAt := newIdempotencyKey(t)
	tests := []struct {
		name, key string
		ok        bool
	}{
		{"version 7", now, true},
		{"version 4", uuid.NewString(), false},
		{"no UUID", "payment-17", false},
		{"empty", "", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			at, err := KeyTime(tc.key)
			g.Expect(err == nil).To(gomega.Equal(tc.ok))
			if tc.ok {
				g.Expect(at).To(gomega.Equal(nowAt))
			}
		})
	}
}

func TestOldAndFutureKeysAreRefused(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		at   time.Time
		want State
	}{
		{"now", now, ""},
		{"just inside", now.Add(-DefaultWindow + time.Second), ""},
		{"too old", now.Add(-DefaultWindow - time.Second), Expired},
		{"from the future", now.Add(2 * maxClockSkew), Expired},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var tb table
			ans := tb.check(&Claim{KeyMillis: tc.at.UnixMilli()}, now, DefaultWindow, nil)
			gomega.NewWithT(t).Expect(ans.State).To(gomega.Equal(tc.want))
		})
	}
}

// An expired key is never granted again, whatever the clock of a later owner shows.
func TestExpiredKeysAreRefusedUnderAnyClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.UnixMilli(1_700_000_000_000)
		clock := func(label string) time.Time {
			return base.Add(time.Duration(rapid.IntRange(-3600, 3600).Draw(t, label)) * time.Second)
		}
		var tb table
		at := clock("key")
		c := &Claim{KeyMillis: at.UnixMilli(), Attempt: "1"}
		if tb.check(c, clock("granting"), DefaultWindow, nil).State != "" {
			return
		}
		tb.apply(&entry{KeyMillis: c.KeyMillis, Attempt: "1"})
		tb.expire(clock("expiring"), DefaultWindow)
		second := tb.check(c, clock("later"), DefaultWindow, func(string, string) bool { return true })
		if second.State == "" {
			t.Fatalf("a key was granted twice; floor %d, key %d", tb.floor, c.KeyMillis)
		}
	})
}

// No key is granted twice when responses of the store are lost and shards are reassigned often,
// also to several daemons at a time.
func TestNoKeyIsGrantedTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			kv := &memkv.KV{}
			faults := []memkv.Fault{
				memkv.NoFault, memkv.NoFault, memkv.NoFault, memkv.LostResponse, memkv.LostRequest, memkv.Delayed,
			}
			kv.SetFault(func() memkv.Fault { return faults[rng.IntN(len(faults))] })
			names := []string{"a", "b", "c"}
			m := newMesh(kv, names...)
			m.start(t)
			const keys, tries, interval = 24, 40, 25 * time.Millisecond
			granted := make([]int, keys)
			var mu sync.Mutex
			id := make([]string, keys)
			at := make([]time.Time, keys)
			for i := range keys {
				id[i], at[i] = newIdempotencyKey(t)
			}
			var wg sync.WaitGroup
			for i := range keys {
				for _, n := range names {
					wg.Go(func() {
						for range tries {
							_, ans := m.nodes[n].Claim(context.Background(), NewKey("org", "pay", id[i]), at[i], 1)
							if ans.State == Granted {
								mu.Lock()
								granted[i]++
								mu.Unlock()
							}
							<-time.After(interval)
						}
					})
				}
			}
			stop := make(chan struct{})
			reassigned := make(chan struct{})
			go func() {
				defer close(reassigned)
				for step := 0; ; step++ {
					select {
					case <-stop:
						return
					case <-time.After(30 * time.Millisecond):
					}
					m.mu.Lock()
					m.owner[names[step%3]] = names[(step/3)%3]
					m.mu.Unlock()
				}
			}()
			wg.Wait()
			close(stop)
			<-reassigned
			for i, n := range granted {
				g.Expect(n).To(gomega.BeNumerically("<=", 1), "key %d", i)
			}
			g.Expect(slices.Max(granted)).To(gomega.Equal(1), "at least one key was granted at all")
		})
	}
}

// The number of writes depends on shards and intervals, not on the number of claims.
func TestClaimsAreBatched(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	m := newMesh(kv, "a")
	m.start(t)
	firstID, at := newIdempotencyKey(t)
	claimUntilAvailable(g, m.nodes["a"], NewKey("org", "pay", firstID), at, 1)
	const claims = 400
	var wg sync.WaitGroup
	for range claims {
		id, at := newIdempotencyKey(t)
		wg.Go(func() { m.nodes["a"].Claim(context.Background(), NewKey("org", "pay", id), at, 1) })
	}
	wg.Wait()
	g.Expect(kv.Writes()).To(gomega.BeNumerically("<", claims/4))
}

// A ticket is granted once, through any daemon, without the coordination store, and never after its
// issuer's incarnation has ended.
func TestTickets(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	kv.SetDown(true)
	m := newMesh(kv, "a", "b", "c")
	m.start(t)
	claim := func(node, org, ticket string, digest uint64) (*Attempt, State) {
		a, ans, err := m.nodes[node].ClaimTicket(context.Background(), org, "pay", ticket, digest)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return a, ans.State
	}
	first := m.nodes["a"].NewTicket("org", "pay")
	tests := []struct {
		name, node, org string
		digest          uint64
		want            State
	}{
		{"another organisation", "b", "rival", 1, Mismatch},
		{"first use, through another daemon", "b", "org", 1, Granted},
		{"second use", "c", "org", 1, Running},
		{"second use, through the issuer", "a", "org", 1, Running},
		{"another call", "a", "org", 2, Mismatch},
	}
	var granted *Attempt
	for _, tc := range tests {
		a, state := claim(tc.node, tc.org, first, tc.digest)
		g.Expect(state).To(gomega.Equal(tc.want), tc.name)
		if a != nil {
			granted = a
		}
	}
	granted.RecordOutcome(Outcome{Status: 200})
	g.Eventually(func() State { _, s := claim("c", "org", first, 1); return s }, "20s", "10ms").Should(gomega.Equal(Ran))

	second := m.nodes["a"].NewTicket("org", "pay")
	m.mu.Lock()
	m.nodes["a"].incarnation = "a-2"
	m.mu.Unlock()
	_, state := claim("b", "org", second, 1)
	g.Expect(state).To(gomega.Equal(Unknown), "the issuer was restarted")
	m.mu.Lock()
	m.dead["a"] = true
	m.mu.Unlock()
	_, state = claim("b", "org", second, 1)
	g.Expect(state).To(gomega.Equal(Unavailable), "the issuer is down")
	_, _, err := m.nodes["b"].ClaimTicket(context.Background(), "org", "pay", "no ticket", 1)
	g.Expect(err).To(gomega.HaveOccurred())
}
