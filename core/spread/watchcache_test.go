package spread_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/spread"
	"embertally.dev/core/testip"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Bounds of waits: shortWait for what takes milliseconds, longWait for transfers over a slow link.
// The race detector on a busy box takes a hundred times as long.
const (
	shortWait    = "60s"
	longWait     = "120s"
	pollInterval = "10ms"
)

// Heartbeats of the tests' daemons. At 50 ms, twelve daemons took all the time of the race
// detector.
const (
	heartbeat = 250 * time.Millisecond
	suspect   = 10 * time.Second
)

// member is one daemon of a test, with its fleet and its watch cache of a store.
type member struct {
	fleet      *fleet.Fleet
	watchCache *plat.WatchCache
	cacheSync  *spread.WatchCacheSync
	applied    *spread.AppliedValues
	// shuttingDown holds the incarnations that the member reports as shutting down.
	shuttingDown atomic.Pointer[[]string]
	// seen holds the keys of the changes that the watch cache reported, in their order.
	seenMu sync.Mutex
	seen   []string // guarded by seenMu
}

func (m *member) observe(changes []plat.Change) {
	m.seenMu.Lock()
	defer m.seenMu.Unlock()
	for _, c := range changes {
		m.seen = append(m.seen, c.Key)
	}
}

// changedKeys returns the keys of the reported changes, in their order.
func (m *member) changedKeys() []string {
	m.seenMu.Lock()
	defer m.seenMu.Unlock()
	return append([]string(nil), m.seen...)
}

// holds returns a function that reports whether the watch cache holds a value.
func (m *member) holds(key string, value []byte) func() bool {
	return func() bool {
		p, ok := m.watchCache.Pair(key)
		return ok && bytes.Equal(p.Value, value)
	}
}

// cell runs a sender, which the store responds to, and others that it does not respond to. They
// reach the sender at the address that reach returns for the sender's own one.
func cell(t *testing.T, store *memkv.KV, others int, reach func(address string) string) (*member, []*member) {
	t.Helper()
	seeds, listeners := seedsAndListeners(t, others+1)
	direct := append([]fleet.Peer(nil), seeds...)
	seeds[0].Address = reach(seeds[0].Address)
	all := []*member{run(t, seeds[0].Name, listeners[0], store, direct)}
	for i, l := range listeners[1:] {
		unreachable := &memkv.KV{}
		unreachable.SetDown(true)
		all = append(all, run(t, seeds[i+1].Name, l, unreachable, seeds))
	}
	return all[0], all[1:]
}

// seedsAndListeners returns seeds and listeners for some daemons.
func seedsAndListeners(t *testing.T, daemons int) ([]fleet.Peer, []net.Listener) {
	t.Helper()
	var seeds []fleet.Peer
	var listeners []net.Listener
	for i := range daemons {
		l, err := testip.Listen()
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		seeds = append(seeds, fleet.Peer{Name: fmt.Sprintf("entry-%02d", i), Address: l.Addr().String()})
	}
	return seeds, listeners
}

// run runs one member until the test ends.
func run(t *testing.T, name string, l net.Listener, store plat.Reader, seeds []fleet.Peer) *member {
	m := &member{fleet: fleet.New(fleet.Options{
		Name: name, Incarnation: name + "-1", Seeds: seeds, HeartbeatInterval: heartbeat,
		SuspectAfter: suspect, Log: &event.Log{},
	})}
	m.watchCache = plat.NewWatchCache(store, plat.Prefix("op/"), &event.Log{})
	m.watchCache.Observe(m.observe)
	m.cacheSync = spread.NewWatchCacheSync(m.watchCache, m.fleet, &event.Log{})
	m.applied = spread.NewAppliedValues(m.cacheSync)
	m.shuttingDown.Store(&[]string{})
	m.applied.ShuttingDown = func() []string { return *m.shuttingDown.Load() }
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.fleet.Run(ctx, l) })
	wg.Go(func() { m.watchCache.Run(ctx) })
	wg.Go(func() { m.cacheSync.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return m
}

func put(t *testing.T, store *memkv.KV, key string, value []byte) {
	t.Helper()
	if _, err := store.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// configuration returns a configuration with some routes, as operators write it.
func configuration(version, routes int) []byte {
	var out bytes.Buffer
	random := rand.New(rand.NewPCG(1, 2))
	fmt.Fprintf(&out, `{"Version":%d,"Routes":[`, version)
	for range routes {
		fmt.Fprintf(&out, `{"Name":"r-%x","Host":"h%x.example","PathPrefix":"/p%x/","Kind":"idempotent","TimeoutMs":800,"TargetLatencyMs":120,`+
			`"Priority":2,"Service":"app","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false,"GapAimMs":0},`, random.Uint32(), random.IntN(40), random.Uint32())
	}
	out.WriteString(`{}]}`)
	return out.Bytes()
}

// randomBytes returns bytes that cannot be compressed.
func randomBytes(size int) []byte {
	random := rand.New(rand.NewPCG(3, 4))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(random.Uint32())
	}
	return out
}

// sameAddress is the reach of cell for a direct connection.
func sameAddress(address string) string { return address }

// slowLinkBytesPerSecond is the rate of the slowest link of the users' boxes, one of 10 Mbit/s.
const slowLinkBytesPerSecond = 10_000_000 / 8

// A few daemons send each configuration to many others; they need their links for callers and for
// other changes as well.
func TestSendingALargeConfigurationToACellTakesUnderASecondOfASlowLink(t *testing.T) {
	const others = 11
	g := gomega.NewWithT(t)
	store := &memkv.KV{}
	versions := [][]byte{configuration(13, 2840), configuration(15, 4240), configuration(17, 4240)}
	put(t, store, "op/config", versions[0])
	sender, rest := cell(t, store, others, sameAddress)
	for _, m := range rest {
		g.Eventually(m.holds("op/config", versions[0]), shortWait, pollInterval).Should(gomega.BeTrue())
	}
	before := sender.fleet.Bytes()
	for _, v := range versions[1:] {
		put(t, store, "op/config", v)
		for _, m := range rest {
			g.Eventually(m.holds("op/config", v), shortWait, pollInterval).Should(gomega.BeTrue())
		}
	}
	g.Expect(sender.fleet.Bytes()-before).To(gomega.BeNumerically("<", slowLinkBytesPerSecond),
		"bytes for two versions of %d bytes", len(versions[1]))
}

// Small changes arrive soon, whatever else is being sent, and large ones arrive in the end, however
// long a link takes for them.
func TestALargeValueOnASlowLinkDelaysNoSmallOne(t *testing.T) {
	const rate = 256 << 10
	g := gomega.NewWithT(t)
	store := &memkv.KV{}
	put(t, store, "op/small", []byte("is there"))
	sender, rest := cell(t, store, 1, slowLink(t, rate))
	requester := rest[0]
	g.Eventually(requester.holds("op/small", []byte("is there")), shortWait, pollInterval).Should(gomega.BeTrue())
	large := randomBytes(1 << 20)
	put(t, store, "op/large", large)
	g.Eventually(sender.holds("op/large", large), shortWait, pollInterval).Should(gomega.BeTrue())
	put(t, store, "op/small", []byte("is leaving"))
	g.Eventually(requester.holds("op/small", []byte("is leaving")), shortWait, pollInterval).Should(gomega.BeTrue())
	g.Eventually(requester.holds("op/large", large), longWait, pollInterval).Should(gomega.BeTrue())
	g.Expect(requester.changedKeys()).To(gomega.Equal([]string{"op/small", "op/small", "op/large"}))
}

// slowLink returns the reach of cell for a link that carries rate bytes a second from the daemon,
// over all connections.
func slowLink(t *testing.T, rate int) func(address string) string {
	return func(address string) string {
		l, err := testip.Listen()
		if err != nil {
			t.Fatal(err)
		}
		p := &pipe{to: address, rate: rate, listener: l, open: map[net.Conn]bool{}}
		p.wg.Go(p.run)
		t.Cleanup(p.close)
		return l.Addr().String()
	}
}

// pipe forwards connections to an address, and returns the responses at a limited rate.
type pipe struct {
	to       string
	rate     int
	listener net.Listener
	wg       sync.WaitGroup

	sendMu sync.Mutex // held while the link carries bytes

	openMu sync.Mutex
	open   map[net.Conn]bool // guarded by openMu
	closed bool              // guarded by openMu
}

func (p *pipe) run() {
	for {
		local, err := p.listener.Accept()
		if err != nil {
			return
		}
		remote, err := net.Dial("tcp", p.to)
		if err != nil {
			local.Close()
			continue
		}
		if !p.register(local) || !p.register(remote) {
			local.Close()
			remote.Close()
			return
		}
		p.wg.Go(func() { _, _ = io.Copy(remote, local); remote.Close() })
		p.wg.Go(func() { p.copyBack(local, remote); local.Close() })
	}
}

// copyBack forwards what remote sends, at the rate of the link.
func (p *pipe) copyBack(local, remote net.Conn) {
	chunk := make([]byte, 4<<10)
	for {
		n, err := remote.Read(chunk)
		if err != nil {
			return
		}
		p.sendMu.Lock()
		time.Sleep(time.Duration(n) * time.Second / time.Duration(p.rate))
		p.sendMu.Unlock()
		if _, err := local.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// register adds a connection that is to be closed at the end of the test.
func (p *pipe) register(c net.Conn) bool {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	p.open[c] = true
	return !p.closed
}

func (p *pipe) close() {
	p.listener.Close()
	p.openMu.Lock()
	p.closed = true
	for c := range p.open {
		c.Close()
	}
	p.openMu.Unlock()
	p.wg.Wait()
}
