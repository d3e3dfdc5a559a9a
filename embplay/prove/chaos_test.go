package prove

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"embertally.dev/core/plat"
	"embertally.dev/embfake/fake"
)

// chaos injects faults, one or several at a time and repeatedly, while a load runs.
type chaos struct {
	r   *testbed
	l   *load
	rnd *rand.Rand
	vs  *verdicts

	chaosMu sync.Mutex
	// busy has the daemons that a running fault affects. Guarded by chaosMu.
	busy map[int]bool
	// converged has the configuration sequences that were reported as applied in
	// all live daemons. Guarded by chaosMu.
	converged []convergedAt
	// shutdowns has the periods in which targets must get no new work. Guarded by
	// chaosMu.
	shutdowns []shutdownSpan
	version   int // last weight version; guarded by chaosMu
	work      sync.WaitGroup
}

type convergedAt struct {
	seq uint64
	at  time.Time
}

type shutdownSpan struct {
	target   string
	from, to time.Time
}

func newChaos(r *testbed, l *load, rnd *rand.Rand, vs *verdicts) *chaos {
	return &chaos{r: r, l: l, rnd: rnd, vs: vs, busy: map[int]bool{}, version: 1}
}

func (c *chaos) intn(n int) int {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	return c.rnd.IntN(n)
}

func (c *chaos) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(c.intn(int(maximum-minimum)))
}

// acquireDaemon returns a random daemon that no other fault affects and marks it as
// busy, or -1 if it is busy or a third of all daemons are.
func (c *chaos) acquireDaemon() int {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	if len(c.busy) >= len(c.r.daemons)/3 {
		return -1
	}
	i := c.rnd.IntN(len(c.r.daemons))
	if c.busy[i] {
		return -1
	}
	c.busy[i] = true
	return i
}

func (c *chaos) releaseDaemon(i int) {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	delete(c.busy, i)
}

// run injects faults until end, then waits until all have been reverted.
func (c *chaos) run(end time.Time) {
	faults := []func(){
		c.killDaemon, c.suspendDaemon, c.stopDaemon, c.cutPeerLink, c.cutCoordinationStore, c.coordinationStoreDown, c.coordinationStoreSlow,
		c.loseStoreResponses, c.stallWatch, c.compactStore, c.engineDown, c.cutStreams, c.swapAnswers, c.truncateStream,
		c.repeatTokens, c.dropEvents, c.storeDown, c.storeReset, c.storeFreed, c.corruptBlocks, c.writePartially, c.slowLink,
		c.cutCalls, c.drainTarget, c.markShuttingDown, c.updateWeights, c.rewrite, c.rewrite, c.rewrite, c.evictBlocks,
		c.silenceConnections, c.silenceConnections,
	}
	stop := make(chan struct{})
	c.work.Go(func() { configWatcher{c}.run(stop) })
	order := c.rnd.Perm(len(faults))
	for n := 0; time.Now().Before(end); n++ {
		fault := faults[order[n%len(order)]]
		c.work.Go(func() {
			c.vs.countFaultForAll()
			fault()
		})
		time.Sleep(c.randomDuration(300*time.Millisecond, 1500*time.Millisecond))
	}
	close(stop)
	c.work.Wait()
}

// killDaemon kills a daemon and restarts it, as when a box is replaced.
func (c *chaos) killDaemon() {
	i := c.acquireDaemon()
	if i < 0 {
		return
	}
	defer c.releaseDaemon(i)
	p := c.r.daemons[i]
	p.kill()
	time.Sleep(c.randomDuration(500*time.Millisecond, 3*time.Second))
	if err := p.start(); err != nil {
		c.vs[8].check(false, "%s could not be restarted: %v", p.Name, err)
	}
	time.Sleep(time.Second)
}

// suspendDaemon suspends a daemon until its peers regard it as unreachable, or longer.
func (c *chaos) suspendDaemon() {
	i := c.acquireDaemon()
	if i < 0 {
		return
	}
	defer c.releaseDaemon(i)
	c.r.daemons[i].suspend()
	time.Sleep(c.randomDuration(2*time.Second, 6*time.Second))
	c.r.daemons[i].resume()
}

// stopDaemon shuts a daemon down gracefully and restarts it. The load balancer
// excludes it only after 200 ms, so that requests arrive while it shuts down.
func (c *chaos) stopDaemon() {
	i := c.acquireDaemon()
	if i < 0 {
		return
	}
	defer c.releaseDaemon(i)
	p := c.r.daemons[i]
	p.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	c.l.exclude(i, true)
	err := p.awaitExit()
	c.vs[8].check(err == nil, "%s did not shut down gracefully: %v", p.Name, err)
	if err := p.start(); err != nil {
		c.vs[8].check(false, "%s could not be restarted: %v", p.Name, err)
	}
	time.Sleep(time.Second)
	c.l.exclude(i, false)
}

// cutPeerLink cuts or stalls the connections from one daemon to another, or stalls
// the responses only.
func (c *chaos) cutPeerLink() {
	a, b := c.intn(len(c.r.daemons)), c.intn(len(c.r.daemons))
	if a == b {
		return
	}
	link := c.r.daemons[a].peerProxies[c.r.daemons[b].Name]
	link.set([]proxyMode{cutOff, stall, stallResponses}[c.intn(3)])
	time.Sleep(c.randomDuration(time.Second, 6*time.Second))
	link.set(forward)
}

func (c *chaos) cutCoordinationStore() {
	p := c.r.daemons[c.intn(len(c.r.daemons))]
	p.storeProxy.set([]proxyMode{cutOff, stall, stallResponses}[c.intn(3)])
	time.Sleep(c.randomDuration(time.Second, 5*time.Second))
	p.storeProxy.set(forward)
}

// silenceConnections makes open connections silent for good, in one direction or both: those between
// daemons, those to the coordination store, or all.
func (c *chaos) silenceConnections() {
	direction, scope := c.intn(3), c.intn(3)
	requests, responses := direction != 1, direction != 0
	for _, d := range c.r.daemons {
		if scope != 0 {
			d.storeProxy.silence(requests, responses)
		}
		if scope != 1 {
			for _, p := range d.peerProxies {
				p.silence(requests, responses)
			}
		}
	}
}

func (c *chaos) coordinationStoreDown() {
	c.r.site.KeyValue.Set(fake.Down, float64(1+c.intn(2)))
	time.Sleep(c.randomDuration(time.Second, 6*time.Second))
	c.r.site.KeyValue.Set(fake.Down, 0)
}

func (c *chaos) coordinationStoreSlow() {
	c.r.site.KeyValue.Set(fake.Slow, 300)
	time.Sleep(c.randomDuration(time.Second, 4*time.Second))
	c.r.site.KeyValue.Set(fake.Slow, 0)
}

func (c *chaos) loseStoreResponses() { c.r.site.KeyValue.Set(fake.LoseResponses, float64(1+c.intn(6))) }

func (c *chaos) stallWatch() {
	c.r.site.KeyValue.Set(fake.StallWatch, 1)
	time.Sleep(c.randomDuration(time.Second, 8*time.Second))
	c.r.site.KeyValue.Set(fake.StallWatch, 0)
}

func (c *chaos) compactStore() { c.r.site.KeyValue.Compact() }

func (c *chaos) randomEngine() *fake.Engine { return c.r.site.Engines[c.intn(len(c.r.site.Engines))] }
func (c *chaos) randomStore() *fake.Store   { return c.r.site.Stores[c.intn(len(c.r.site.Stores))] }

func (c *chaos) engineDown() {
	e := c.randomEngine()
	e.Set(fake.Down, float64(1+c.intn(2)))
	time.Sleep(c.randomDuration(time.Second, 4*time.Second))
	e.Set(fake.Down, 0)
}

func (c *chaos) cutStreams() {
	e := c.randomEngine()
	if c.intn(2) == 0 {
		e.Set(fake.ForgetStream, 1)
	}
	e.Set(fake.CutStream, float64(1+c.intn(3)))
}

func (c *chaos) swapAnswers() {
	c.randomEngine().Set(fake.WrongRequestID, 1)
	c.r.site.Services[c.intn(len(c.r.site.Services))].Set(fake.WrongRequestID, 1)
}

func (c *chaos) truncateStream() { c.randomEngine().Set(fake.Truncate, 1) }

func (c *chaos) repeatTokens() {
	e := c.randomEngine()
	e.Set(fake.Repeat, 1)
	time.Sleep(c.randomDuration(time.Second, 4*time.Second))
	e.Set(fake.Repeat, 0)
}

func (c *chaos) dropEvents() { c.randomEngine().Set(fake.DropEvents, float64(1+c.intn(8))) }

func (c *chaos) storeDown() {
	s := c.randomStore()
	s.Set(fake.Down, float64(1+c.intn(2)))
	time.Sleep(c.randomDuration(time.Second, 4*time.Second))
	s.Set(fake.Down, 0)
}

func (c *chaos) storeReset()     { c.randomStore().Reset() }
func (c *chaos) storeFreed()     { c.randomStore().ReuseAllBlocks() }
func (c *chaos) corruptBlocks()  { c.randomStore().Set(fake.Corrupt, float64(1+c.intn(40))) }
func (c *chaos) writePartially() { c.randomStore().Set(fake.HalfWrite, float64(1+c.intn(20))) }
func (c *chaos) evictBlocks()    { c.randomEngine().EvictAll() }

func (c *chaos) slowLink() {
	s := c.randomStore()
	s.SetLinkBandwidth(5e6)
	time.Sleep(c.randomDuration(time.Second, 3*time.Second))
	s.SetLinkBandwidth(100e6)
}

func (c *chaos) cutCalls() {
	s := c.r.site.Services[c.intn(len(c.r.site.Services))]
	s.Set(fake.CutBefore, 1)
	s.Set(fake.CutAfter, 2)
}

// shutdownGrace is the time after which a target that is shutting down must get no
// new work.
const shutdownGrace = 4 * time.Second

// addShutdown records that a target was shutting down from a time until now.
func (c *chaos) addShutdown(target string, from time.Time) {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	c.shutdowns = append(c.shutdowns, shutdownSpan{target, from.Add(shutdownGrace), time.Now()})
}

// randomTarget returns the name of a random engine or service target.
func (c *chaos) randomTarget() string {
	if c.intn(2) == 0 {
		return c.r.site.File.Services[c.intn(len(c.r.site.File.Services))].Name
	}
	return c.r.site.File.Engines[c.intn(len(c.r.site.File.Engines))].Name
}

const shutdownDuration = 8 * time.Second

// drainTarget drains a target through one daemon for shutdownDuration.
func (c *chaos) drainTarget() {
	target := c.randomTarget()
	body := struct {
		Leaving bool `json:"leaving"`
	}{true}
	if _, err := c.callAnyDaemon(http.MethodPost, "/v1/drains/"+target, body, nil); err != nil {
		return
	}
	from := time.Now()
	time.Sleep(shutdownDuration)
	c.addShutdown(target, from)
	body.Leaving = false
	for range 20 {
		if _, err := c.callAnyDaemon(http.MethodPost, "/v1/drains/"+target, body, nil); err == nil {
			return
		}
	}
}

// markShuttingDown marks a target's box as shutting down in all box lists for
// shutdownDuration.
func (c *chaos) markShuttingDown() {
	target := c.randomTarget()
	c.r.setBoxState(target, plat.BoxLeaving)
	from := time.Now()
	time.Sleep(shutdownDuration)
	c.addShutdown(target, from)
	c.r.setBoxState(target, plat.BoxLive)
}

// callAnyDaemon sends an operator's request to a daemon that no fault affects.
func (c *chaos) callAnyDaemon(method, path string, body, reply any) (int, error) {
	i := c.intn(len(c.r.daemons))
	c.chaosMu.Lock()
	for n := 0; c.busy[i] && n < len(c.r.daemons); n++ {
		i = (i + 1) % len(c.r.daemons)
	}
	c.chaosMu.Unlock()
	return c.r.callOperatorAPI(c.r.daemons[i], method, path, body, reply)
}

// changeResource changes a resource and records its sequence once the change is
// reported as applied in all live daemons.
func (c *chaos) changeResource(path string, change func(spec []byte) []byte) {
	var got resource
	if _, err := c.callAnyDaemon(http.MethodGet, path, nil, &got); err != nil {
		return
	}
	body := struct {
		ResourceVersion string          `json:"resourceVersion"`
		Spec            json.RawMessage `json:"spec"`
	}{got.ResourceVersion, change(got.Spec)}
	var done resource
	status, err := c.callAnyDaemon(http.MethodPut, path, body, &done)
	if err != nil || status != http.StatusOK {
		return
	}
	seq, err := strconv.ParseUint(done.ResourceVersion, 10, 64)
	if err != nil {
		c.vs[9].check(false, "converged with version %q", done.ResourceVersion)
		return
	}
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	c.converged = append(c.converged, convergedAt{seq, time.Now()})
}

// rewrite starts two concurrent writes of the same policy.
func (c *chaos) rewrite() {
	path := "/v1/resources/policies/" + organisation(c.intn(2))
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { c.changeResource(path, func(spec []byte) []byte { return spec }) })
	}
	wg.Wait()
}

// updateWeights changes the deployment to the next weight version.
func (c *chaos) updateWeights() {
	c.chaosMu.Lock()
	if c.version >= 4 {
		c.chaosMu.Unlock()
		return
	}
	c.version++
	next := fmt.Sprintf("v%d", c.version)
	c.chaosMu.Unlock()
	c.changeResource("/v1/resources/deployments/"+fake.SiteDeployment, func(spec []byte) []byte {
		var d struct {
			Model         string   `json:"model"`
			WeightVersion string   `json:"weightVersion"`
			Adapters      []string `json:"adapters"`
		}
		if json.Unmarshal(spec, &d) != nil {
			return spec
		}
		if strings.Compare(d.WeightVersion, next) < 0 {
			d.WeightVersion = next
		}
		raw, err := json.Marshal(d)
		if err != nil {
			return spec
		}
		return raw
	})
}

// configWatcher polls the configuration sequence that each daemon has applied, from
// its operator API.
type configWatcher struct{ c *chaos }

func (w configWatcher) run(stop <-chan struct{}) {
	last := make([]uint64, len(w.c.r.daemons))
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for i := range w.c.r.daemons {
			last[i] = w.checkConfig(i, last[i])
		}
	}
}

// checkConfig checks that a ready daemon has applied every change that had converged
// before the request, and that its sequence never decreases.
func (w configWatcher) checkConfig(i int, last uint64) uint64 {
	w.c.chaosMu.Lock()
	busy := w.c.busy[i]
	var required uint64
	for _, a := range w.c.converged {
		required = max(required, a.seq)
	}
	w.c.chaosMu.Unlock()
	if busy {
		// It may restart during the request; it is checked again later.
		return last
	}
	var st struct {
		NotReady string `json:"notReady"`
		Sequence uint64 `json:"sequence"`
	}
	if _, err := w.c.r.callOperatorAPI(w.c.r.daemons[i], http.MethodGet, "/v1/status", nil, &st); err != nil || st.NotReady != "" {
		return last
	}
	name := w.c.r.daemons[i].Name
	w.c.vs[9].check(st.Sequence >= required, "%s serves under sequence %d although %d had converged", name, st.Sequence, required)
	w.c.vs[9].check(st.Sequence >= last, "%s reverted from sequence %d to %d", name, last, st.Sequence)
	return max(last, st.Sequence)
}

// evaluate checks what depends on the schedule: targets that were shutting down,
// graceful shutdowns, secrets in logs, and readiness after all faults.
func (c *chaos) evaluate() {
	for _, s := range c.shutdowns {
		for _, at := range c.workTimes(s.target) {
			c.vs[7].check(!(at.After(s.from) && at.Before(s.to)), "%s got new work %v after it began to shut down", s.target, at.Sub(s.from)+shutdownGrace)
		}
		c.vs[7].check(true, "")
	}
	for _, a := range c.l.prompts {
		stopped := a.reply.Refusal != nil && a.reply.Refusal.Code == "notReady"
		c.vs[8].check(!stopped || a.reply.Text == "", "a daemon that was shutting down cut an answer")
	}
	logs, err := c.r.logs()
	c.vs[2].check(err == nil && !strings.Contains(logs, "clause by clause"), "a log contains a prompt")
	for _, key := range c.r.site.File.CallerKeys {
		c.vs[2].check(!strings.Contains(logs, key), "a log contains a caller's key")
	}
	c.vs[2].check(!strings.Contains(logs, c.r.site.File.OperatorKey), "a log contains an operator's key")
	c.vs[9].check(len(c.converged) > 0, "no change converged")
	err = c.r.awaitReady()
	c.vs[9].check(err == nil, "not all daemons are ready after the faults: %v", err)
}

// workTimes returns the times at which a target got requests.
func (c *chaos) workTimes(target string) []time.Time {
	var out []time.Time
	for i, t := range c.r.site.File.Engines {
		if t.Name == target {
			for _, run := range c.r.site.Engines[i].Executions() {
				out = append(out, run.Arrived)
			}
		}
	}
	for i, t := range c.r.site.File.Services {
		if t.Name == target {
			for _, run := range c.r.site.Services[i].Executions() {
				out = append(out, run.At)
			}
		}
	}
	return out
}
