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

// chaos brings about faults, singly, together and twice, while a load runs.
type chaos struct {
	r   *rig
	l   *load
	rnd *rand.Rand
	vs  *verdicts

	chaosMu sync.Mutex
	// busy are the daemons that a fault has in hand. Guarded by chaosMu.
	busy map[int]bool
	// accepted is the highest sequence that was said to be in force
	// everywhere, and when. Guarded by chaosMu.
	accepted []acceptedAt
	// leaving are the spans in which targets were to get no new work. Guarded
	// by chaosMu.
	leaving []leavingSpan
	version int // last weight version; guarded by chaosMu
	work    sync.WaitGroup
}

type acceptedAt struct {
	seq uint64
	at  time.Time
}

type leavingSpan struct {
	target   string
	from, to time.Time
}

func newChaos(r *rig, l *load, rnd *rand.Rand, vs *verdicts) *chaos {
	return &chaos{r: r, l: l, rnd: rnd, vs: vs, busy: map[int]bool{}, version: 1}
}

func (c *chaos) intn(n int) int {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	return c.rnd.IntN(n)
}

func (c *chaos) span(least, most time.Duration) time.Duration {
	return least + time.Duration(c.intn(int(most-least)))
}

// daemon takes a daemon that no other fault has in hand, or -1: at most a
// third of them at a time.
func (c *chaos) daemon() int {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	if len(c.busy) >= len(c.r.procs)/3 {
		return -1
	}
	i := c.rnd.IntN(len(c.r.procs))
	if c.busy[i] {
		return -1
	}
	c.busy[i] = true
	return i
}

func (c *chaos) free(i int) {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	delete(c.busy, i)
}

// run brings about faults until the end, then heals everything.
func (c *chaos) run(end time.Time) {
	faults := []func(){
		c.killDaemon, c.freezeDaemon, c.stopDaemon, c.cutPeers, c.cutService, c.serviceDown, c.serviceSlow,
		c.loseAnswers, c.stallWatch, c.compact, c.engineDown, c.cutStreams, c.crossAnswers, c.truncate,
		c.repeatTokens, c.dropEvents, c.storeDown, c.storeReset, c.storeFreed, c.corrupt, c.halfWrite, c.slowLink,
		c.cutCalls, c.drainTarget, c.boxLeaves, c.swap, c.rewrite, c.rewrite, c.rewrite, c.evict,
	}
	stop := make(chan struct{})
	c.work.Go(func() { watcher{c}.run(stop) })
	order := c.rnd.Perm(len(faults))
	for n := 0; time.Now().Before(end); n++ {
		f := faults[order[n%len(order)]]
		c.work.Go(func() {
			c.vs.faultAll()
			f()
		})
		time.Sleep(c.span(300*time.Millisecond, 1500*time.Millisecond))
	}
	close(stop)
	c.work.Wait()
}

// killDaemon kills a daemon and starts it again, as a replaced box.
func (c *chaos) killDaemon() {
	i := c.daemon()
	if i < 0 {
		return
	}
	defer c.free(i)
	p := c.r.procs[i]
	p.kill()
	time.Sleep(c.span(500*time.Millisecond, 3*time.Second))
	if err := p.start(); err != nil {
		c.vs[8].check(false, "%s could not be started again: %v", p.Name, err)
	}
	time.Sleep(time.Second)
}

// freezeDaemon stops a daemon's process for longer than peers may be silent.
func (c *chaos) freezeDaemon() {
	i := c.daemon()
	if i < 0 {
		return
	}
	defer c.free(i)
	c.r.procs[i].freeze()
	time.Sleep(c.span(2*time.Second, 6*time.Second))
	c.r.procs[i].wake()
}

// stopDaemon stops a daemon as planned, while the balancer leads to it until
// the daemon says that it is not ready.
func (c *chaos) stopDaemon() {
	i := c.daemon()
	if i < 0 {
		return
	}
	defer c.free(i)
	p := c.r.procs[i]
	p.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	c.l.leaveOut(i, true)
	err := p.end()
	c.vs[8].check(err == nil, "%s did not stop as planned: %v", p.Name, err)
	if err := p.start(); err != nil {
		c.vs[8].check(false, "%s could not be started again: %v", p.Name, err)
	}
	time.Sleep(time.Second)
	c.l.leaveOut(i, false)
}

// cutPeers cuts one direction between two daemons, or holds back one side.
func (c *chaos) cutPeers() {
	a, b := c.intn(len(c.r.procs)), c.intn(len(c.r.procs))
	if a == b {
		return
	}
	link := c.r.procs[a].peers[c.r.procs[b].Name]
	link.set([]flow{cut, hang, hangAnswers}[c.intn(3)])
	time.Sleep(c.span(time.Second, 6*time.Second))
	link.set(pass)
}

func (c *chaos) cutService() {
	p := c.r.procs[c.intn(len(c.r.procs))]
	p.kv.set([]flow{cut, hang, hangAnswers}[c.intn(3)])
	time.Sleep(c.span(time.Second, 5*time.Second))
	p.kv.set(pass)
}

func (c *chaos) serviceDown() {
	c.r.site.KeyValue.Set(fake.Down, float64(1+c.intn(2)))
	time.Sleep(c.span(time.Second, 6*time.Second))
	c.r.site.KeyValue.Set(fake.Down, 0)
}

func (c *chaos) serviceSlow() {
	c.r.site.KeyValue.Set(fake.Slow, 300)
	time.Sleep(c.span(time.Second, 4*time.Second))
	c.r.site.KeyValue.Set(fake.Slow, 0)
}

func (c *chaos) loseAnswers() { c.r.site.KeyValue.Set(fake.LoseAnswers, float64(1+c.intn(6))) }

func (c *chaos) stallWatch() {
	c.r.site.KeyValue.Set(fake.StallWatch, 1)
	time.Sleep(c.span(time.Second, 8*time.Second))
	c.r.site.KeyValue.Set(fake.StallWatch, 0)
}

func (c *chaos) compact() { c.r.site.KeyValue.Compact() }

func (c *chaos) engine() *fake.Engine { return c.r.site.Engines[c.intn(len(c.r.site.Engines))] }
func (c *chaos) store() *fake.Store   { return c.r.site.Stores[c.intn(len(c.r.site.Stores))] }

func (c *chaos) engineDown() {
	e := c.engine()
	e.Set(fake.Down, float64(1+c.intn(2)))
	time.Sleep(c.span(time.Second, 4*time.Second))
	e.Set(fake.Down, 0)
}

func (c *chaos) cutStreams() {
	e := c.engine()
	if c.intn(2) == 0 {
		e.Set(fake.ForgetStream, 1)
	}
	e.Set(fake.CutStream, float64(1+c.intn(3)))
}

func (c *chaos) crossAnswers() {
	c.engine().Set(fake.Cross, 1)
	c.r.site.Services[c.intn(len(c.r.site.Services))].Set(fake.Cross, 1)
}

func (c *chaos) truncate() { c.engine().Set(fake.Truncate, 1) }

func (c *chaos) repeatTokens() {
	e := c.engine()
	e.Set(fake.Repeat, 1)
	time.Sleep(c.span(time.Second, 4*time.Second))
	e.Set(fake.Repeat, 0)
}

func (c *chaos) dropEvents() { c.engine().Set(fake.DropEvents, float64(1+c.intn(8))) }

func (c *chaos) storeDown() {
	s := c.store()
	s.Set(fake.Down, float64(1+c.intn(2)))
	time.Sleep(c.span(time.Second, 4*time.Second))
	s.Set(fake.Down, 0)
}

func (c *chaos) storeReset() { c.store().Reset() }
func (c *chaos) storeFreed() { c.store().FreeAll() }
func (c *chaos) corrupt()    { c.store().Set(fake.Corrupt, float64(1+c.intn(40))) }
func (c *chaos) halfWrite()  { c.store().Set(fake.HalfWrite, float64(1+c.intn(20))) }
func (c *chaos) evict()      { c.engine().EvictAll() }

func (c *chaos) slowLink() {
	s := c.store()
	s.SetLink(5e6)
	time.Sleep(c.span(time.Second, 3*time.Second))
	s.SetLink(100e6)
}

func (c *chaos) cutCalls() {
	s := c.r.site.Services[c.intn(len(c.r.site.Services))]
	s.Set(fake.CutBefore, 1)
	s.Set(fake.CutAfter, 2)
}

// leaveGrace is the few seconds after which a leaving target gets no new work.
const leaveGrace = 4 * time.Second

func (c *chaos) left(target string, from time.Time) {
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	c.leaving = append(c.leaving, leavingSpan{target, from.Add(leaveGrace), time.Now()})
}

// targets are the names of engines and services, of which a few may leave.
func (c *chaos) target() string {
	if c.intn(2) == 0 {
		return c.r.site.File.Services[c.intn(len(c.r.site.File.Services))].Name
	}
	return c.r.site.File.Engines[c.intn(len(c.r.site.File.Engines))].Name
}

const leaveFor = 8 * time.Second

// drainTarget gives an operator's order through one daemon.
func (c *chaos) drainTarget() {
	target := c.target()
	body := struct {
		Leaving bool `json:"leaving"`
	}{true}
	if _, err := c.anyDaemon(http.MethodPost, "/v1/drains/"+target, body, nil); err != nil {
		return
	}
	from := time.Now()
	time.Sleep(leaveFor)
	c.left(target, from)
	body.Leaving = false
	for range 20 {
		if _, err := c.anyDaemon(http.MethodPost, "/v1/drains/"+target, body, nil); err == nil {
			return
		}
	}
}

// boxLeaves makes the box list say that a target's box is leaving.
func (c *chaos) boxLeaves() {
	target := c.target()
	c.r.listed(target, plat.BoxLeaving)
	from := time.Now()
	time.Sleep(leaveFor)
	c.left(target, from)
	c.r.listed(target, plat.BoxLive)
}

// anyDaemon sends an operator's request to a daemon that no fault has in hand.
func (c *chaos) anyDaemon(method, path string, body, reply any) (int, error) {
	i := c.intn(len(c.r.procs))
	c.chaosMu.Lock()
	for n := 0; c.busy[i] && n < len(c.r.procs); n++ {
		i = (i + 1) % len(c.r.procs)
	}
	c.chaosMu.Unlock()
	return c.r.operate(c.r.procs[i], method, path, body, reply)
}

// write changes a resource and writes down when it was said to be accepted.
func (c *chaos) write(path string, change func(spec []byte) []byte) {
	var got resource
	if _, err := c.anyDaemon(http.MethodGet, path, nil, &got); err != nil {
		return
	}
	body := struct {
		ResourceVersion string          `json:"resourceVersion"`
		Spec            json.RawMessage `json:"spec"`
	}{got.ResourceVersion, change(got.Spec)}
	var done resource
	status, err := c.anyDaemon(http.MethodPut, path, body, &done)
	if err != nil || status != http.StatusOK {
		return
	}
	seq, err := strconv.ParseUint(done.ResourceVersion, 10, 64)
	if err != nil {
		c.vs[9].check(false, "accepted with version %q", done.ResourceVersion)
		return
	}
	c.chaosMu.Lock()
	defer c.chaosMu.Unlock()
	c.accepted = append(c.accepted, acceptedAt{seq, time.Now()})
}

// rewrite races two writers for the same policy.
func (c *chaos) rewrite() {
	path := "/v1/resources/policies/" + organisation(c.intn(2))
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { c.write(path, func(spec []byte) []byte { return spec }) })
	}
	wg.Wait()
}

// swap gives the deployment the next weights.
func (c *chaos) swap() {
	c.chaosMu.Lock()
	if c.version >= 4 {
		c.chaosMu.Unlock()
		return
	}
	c.version++
	next := fmt.Sprintf("v%d", c.version)
	c.chaosMu.Unlock()
	c.write("/v1/resources/deployments/"+fake.SiteDeployment, func(spec []byte) []byte {
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

// watcher reads what each daemon has in force, as a caller of its API would.
type watcher struct{ c *chaos }

func (w watcher) run(stop <-chan struct{}) {
	last := make([]uint64, len(w.c.r.procs))
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for i := range w.c.r.procs {
			last[i] = w.look(i, last[i])
		}
	}
}

// look judges that a ready daemon has everything in force that was accepted
// before it was asked, and that it never goes back.
func (w watcher) look(i int, last uint64) uint64 {
	w.c.chaosMu.Lock()
	busy := w.c.busy[i]
	var must uint64
	for _, a := range w.c.accepted {
		must = max(must, a.seq)
	}
	w.c.chaosMu.Unlock()
	if busy {
		// It may be restarted in between; what it says then is judged later.
		return last
	}
	var st struct {
		NotReady string `json:"notReady"`
		Sequence uint64 `json:"sequence"`
	}
	if _, err := w.c.r.operate(w.c.r.procs[i], http.MethodGet, "/v1/status", nil, &st); err != nil || st.NotReady != "" {
		return last
	}
	name := w.c.r.procs[i].Name
	w.c.vs[9].check(st.Sequence >= must, "%s serves under %d although %d was accepted", name, st.Sequence, must)
	w.c.vs[9].check(st.Sequence >= last, "%s went back from %d to %d", name, last, st.Sequence)
	return max(last, st.Sequence)
}

// judge judges what only the schedule knows: leaving targets, planned stops,
// weights and the end of all faults.
func (c *chaos) judge() {
	for _, s := range c.leaving {
		for _, at := range c.workAt(s.target) {
			c.vs[7].check(!(at.After(s.from) && at.Before(s.to)), "%s got new work %v after it was to get none", s.target, at.Sub(s.from)+leaveGrace)
		}
		c.vs[7].check(true, "")
	}
	for _, a := range c.l.asks {
		stopped := a.reply.Refusal != nil && a.reply.Refusal.Code == "notReady"
		c.vs[8].check(!stopped || a.reply.Text == "", "a stopping daemon cut an answer")
	}
	logs, err := c.r.logs()
	c.vs[2].check(err == nil && !strings.Contains(logs, "clause by clause"), "a log holds a prompt")
	for _, key := range c.r.site.File.CallerKeys {
		c.vs[2].check(!strings.Contains(logs, key), "a log holds a caller's key")
	}
	c.vs[2].check(!strings.Contains(logs, c.r.site.File.OperatorKey), "a log holds an operator's key")
	c.vs[9].check(len(c.accepted) > 0, "no change was accepted at all")
	err = c.r.allReady()
	c.vs[9].check(err == nil, "not all daemons are ready after the faults: %v", err)
}

// workAt returns when a target got work.
func (c *chaos) workAt(target string) []time.Time {
	var out []time.Time
	for i, t := range c.r.site.File.Engines {
		if t.Name == target {
			for _, run := range c.r.site.Engines[i].Runs() {
				out = append(out, run.Arrived)
			}
		}
	}
	for i, t := range c.r.site.File.Services {
		if t.Name == target {
			for _, run := range c.r.site.Services[i].Runs() {
				out = append(out, run.At)
			}
		}
	}
	return out
}
