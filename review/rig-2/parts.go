package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case, of the deployment cmc-ledger: its machines have 134 MB, and its clients send 369 prompts a second.
const (
	partsMemoryMB = 134
	partsDaemons  = 3
	partsRate     = 45 // prompts a second of the one client, to all daemons together
	partsCount    = 1300
	partsTime     = 75 * time.Second
	partsTokens   = 1300 // of each prompt
)

// partList returns a prompt of n parts, which has the same number of tokens for each n.
func partList(n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:%d", rand.Uint32(), partsTokens/n)
	}
	return b.String()
}

// site is what a case starts.
type site struct {
	store   *store
	daemons []*daemon
	workers []*worker
}

// newSite starts a store, workers of both services, a configuration and daemons, and waits until these are ready.
func newSite(models, apps, daemons, memoryMB int, change func(map[string]any)) *site {
	s := &site{store: newStore("127.0.0.1")}
	for i := range models {
		s.workers = append(s.workers, newWorker(s.store, "127.0.0.2", fmt.Sprintf("i-model-%02d", i), modelService, zones[i%len(zones)]))
	}
	for i := range apps {
		s.workers = append(s.workers, newWorker(s.store, "127.0.0.2", fmt.Sprintf("i-app-%02d", i), callService, zones[i%len(zones)]))
	}
	configure(s.store, 1, change)
	for i := range daemons {
		s.daemons = append(s.daemons, newDaemon(s.store, i, memoryMB))
	}
	awaitReady(s.daemons...)
	time.Sleep(time.Second)
	return s
}

// tally counts how requests ended.
type tally struct{ sent, served, refused, failed, unanswered atomic.Int64 }

// add counts an answer.
func (t *tally) add(a answer) {
	t.sent.Add(1)
	switch {
	case a.err != nil:
		t.unanswered.Add(1)
	case a.status/100 == 2:
		t.served.Add(1)
	case a.status == 503:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

// String returns the counts.
func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed, %d without a whole answer", t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load(), t.unanswered.Load())
}

// every calls f at a rate until end, without waiting for it, and then waits for all calls.
func every(rate int, end time.Time, f func(n int)) {
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-t.C
		wg.Go(func() { f(n) })
	}
	wg.Wait()
}

// runParts: one client sends prompts of many parts, inside the limits of the configuration. The platform kills each
// process that exceeds the memory of its machine, and starts it again.
func runParts(r *recorder, trouble bool) int {
	s := newSite(14, 3, partsDaemons, partsMemoryMB, nil)
	defer s.store.close()
	n := 4
	if trouble {
		n = partsCount
	}
	r.say("prompts of %d parts and %d tokens, a prefix of %d bytes, %d a second; machines of %d MB", n, partsTokens, len(partList(n)), partsRate, partsMemoryMB)
	end := time.Now().Add(partsTime)
	var wg sync.WaitGroup
	ended := make([]atomic.Int64, len(s.daemons))
	for i, d := range s.daemons {
		wg.Go(func() { keepWithinMemory(r, d, &ended[i], end) })
	}
	var many, ordinary tally
	cut := make([]atomic.Int64, len(s.daemons))
	countCut := func(daemon int, a answer) {
		ran := func(w *worker) bool { return w.hasRun(a.id) }
		if a.err != nil && a.kept && !errors.Is(a.err, context.DeadlineExceeded) && slices.ContainsFunc(s.workers, ran) {
			cut[daemon].Add(1)
			r.line("%s has run, and %s closed its kept connection without an answer", a.id, s.daemons[daemon].name)
		}
	}
	prompts, calls := newClient(), newClient()
	wg.Go(func() {
		every(partsRate, end, func(i int) {
			a := prompts.send(s.daemons[i%len(s.daemons)], "POST", pathReview+"2f", "key-1", 6*time.Second, "prompt",
				"Embertally-Model", modelName, "Embertally-Token-Usage", fmt.Sprintf("%d,5", partsTokens), "Embertally-Prompt-Prefix", partList(n))
			many.add(a)
			countCut(i%len(s.daemons), a)
			r.line("prompt %s", a.text())
		})
	})
	wg.Go(func() {
		every(20, end, func(i int) {
			a := calls.send(s.daemons[i%len(s.daemons)], "GET", pathLook+"2f", "key-2", 1500*time.Millisecond, "")
			ordinary.add(a)
			countCut(i%len(s.daemons), a)
			r.line("ordinary call %s", a.text())
		})
	})
	wg.Wait()
	r.say("the client's prompts: %v", &many)
	r.say("ordinary calls of another tenant: %v", &ordinary)
	machines := 0
	for i, d := range s.daemons {
		r.say("%s: most anonymous memory %d MB of %d MB; ended %d times for its memory; closed %d kept connections without an answer to a request that ran", d.name, d.mostMB.Load(), partsMemoryMB, ended[i].Load(), cut[i].Load())
		if ended[i].Load() >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		r.say("BROKEN: on %d machines processes ended three times or more for their memory", machines)
		return exitBroken
	}
	r.say("held")
	return exitHeld
}

// keepWithinMemory kills a daemon's process when it exceeds the memory of its machine, and starts it again after a
// short delay, until end.
func keepWithinMemory(r *recorder, d *daemon, ended *atomic.Int64, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mb := int64(d.status("RssAnon") >> 10)
		d.mostMB.Store(max(d.mostMB.Load(), mb))
		switch {
		case d.ended():
			r.line("%s has ended by itself", d.name)
		case mb > partsMemoryMB:
			ended.Add(1)
			r.line("%s has %d MB of anonymous memory, over %d MB, and is killed", d.name, mb, partsMemoryMB)
			d.kill()
		default:
			continue
		}
		time.Sleep(500 * time.Millisecond)
		d.restart()
		r.line("%s is started again", d.name)
	}
}
