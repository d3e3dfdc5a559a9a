package poison

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

const (
	// trackersPerRequest is how many daemons count the crashes of a request, so that one may be
	// lost, and maxTrackersTried how many are called if some do not respond.
	trackersPerRequest = 2
	maxTrackersTried   = 6
	// receiversPerCell is how many daemons of each other cell receive a block, and
	// maxReceiversTried how many are called if some do not respond.
	receiversPerCell  = 2
	maxReceiversTried = 5
	// callTimeout bounds one message.
	callTimeout = 500 * time.Millisecond
	// maxCrashCounts bounds the counts that a daemon caches from the responses of crash trackers.
	maxCrashCounts = 1024
)

// crashReport reports to a crash tracker that an incarnation of a target crashed under a request.
type crashReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Request      Digest
	Organisation string
	Incarnation  string
	// Succeeded states that the same request recently completed well at another incarnation, and
	// Alone that no other incarnation crashed at the same time as this one, and that this one had not been
	// answering the request for some time.
	Succeeded, Alone bool
}

// crashResponse is a crash tracker's response.
type crashResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Crashes is the number of incarnations of targets that crashed under the request.
	Crashes int
}

// crashReporter reports the requests that were in flight when an incarnation crashed.
type crashReporter struct {
	guard       *Guard
	incarnation string
	requests    []Sent
}

// run reports all requests in parallel: a crash tracker that does not respond must not delay the
// report of the one request that caused the crash.
func (t crashReporter) run() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, sent := range t.requests {
		wg.Go(func() { t.report(sent) })
	}
}

// report reports one request. Whether other incarnations crashed at the same time only shows a
// moment later and is reported then. Waiting for it would cost targets: a caller that retried at
// once crashed four more in this time.
func (t crashReporter) report(sent Sent) {
	if !t.reportNow(sent) {
		return
	}
	time.Sleep(simultaneousWindow)
	if !t.guard.attempts.crashedAlone(t.incarnation, sent.Request) {
		t.reportNow(sent)
	}
}

// reportNow reports what is recorded so far of one request, and returns whether the incarnation
// crashed alone.
func (t crashReporter) reportNow(sent Sent) bool {
	r := &crashReport{
		Request: sent.Request, Organisation: sent.Organisation, Incarnation: t.incarnation,
		Succeeded: t.guard.attempts.recentlySucceeded(sent.Request), Alone: !sent.Answering && t.guard.attempts.crashedAlone(t.incarnation, sent.Request),
	}
	t.guard.reportCrash(r)
	return r.Alone
}

// reportCrash reports to the crash trackers of a request: the first two that respond.
func (g *Guard) reportCrash(r *crashReport) {
	view := g.o.Fleet.View()
	ranked := fleet.Rank(shortKey(r.Request), view.NotLost())
	acknowledged, crashes := 0, 0
	for _, name := range ranked[:min(len(ranked), maxTrackersTried)] {
		response, err := g.reportTo(view.Self(), name, r)
		if err != nil {
			g.o.Log.Emit(event.PeerNotTold, event.Ref{Target: r.Incarnation}, name+": report of a crash: "+err.Error())
			continue
		}
		crashes = max(crashes, response.Crashes)
		if acknowledged++; acknowledged == trackersPerRequest {
			break
		}
	}
	g.cacheCount(r.Request, crashes)
}

// reportTo reports to one daemon, which may be this one.
func (g *Guard) reportTo(self, name string, r *crashReport) (*crashResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if name == self {
		return g.receiveCrash(ctx, self, r)
	}
	var response crashResponse
	err := g.o.Fleet.Call(ctx, name, kindCrash, r, &response)
	return &response, err
}

// cacheCount caches how many incarnations crashed under a request.
func (g *Guard) cacheCount(d Digest, crashes int) {
	g.countsMu.Lock()
	defer g.countsMu.Unlock()
	if len(g.crashCounts) >= maxCrashCounts {
		clear(g.crashCounts)
	}
	g.crashCounts[d] = crashCount{crashes, clock.Now()}
}

// receiveCrash counts a crash reported to this daemon as a crash tracker.
func (g *Guard) receiveCrash(_ context.Context, from string, r *crashReport) (*crashResponse, error) {
	if _, blocked := g.blocks.remaining(r.Request); blocked {
		if !r.Alone && g.tracker.halveCrash(r.Request, r.Incarnation) {
			g.release(r.Request, "other incarnations crashed at the same time as "+r.Incarnation)
		}
		return &crashResponse{Crashes: maxCrashes}, nil
	}
	if r.Succeeded || g.attempts.recentlySucceeded(r.Request) {
		// Other incarnations complete it well: it merely happens to be in flight whenever one
		// crashes.
		g.tracker.forget(r.Request)
		return &crashResponse{}, nil
	}
	weight := halfWeight
	if r.Alone {
		weight = fullWeight
	}
	crashes, mustBlock := g.tracker.countCrash(r.Request, r.Organisation, r.Incarnation, weight)
	if mustBlock || g.blocks.previousBlocks(r.Request) > 0 {
		b := g.blocks.add(r.Request, r.Organisation, "crashed under it: "+g.tracker.names(r.Request)+"; last reported by "+from)
		g.sendToCells(b)
	}
	return &crashResponse{Crashes: crashes}, nil
}

// release revokes a block and notifies the other cells; it reports whether there was one.
func (g *Guard) release(d Digest, why string) bool {
	b, released := g.blocks.release(d, why)
	if released {
		g.sendToCells(b)
	}
	return released
}

// sendToCells sends a block to the other cells; heartbeats carry it within this one.
func (g *Guard) sendToCells(b block) {
	view := g.o.Fleet.View()
	for cell := range view.Cells() {
		if cell != view.Cell() {
			go cellSender{g, view, cell, b}.run()
		}
	}
}

// cellSender sends a block to one cell.
type cellSender struct {
	guard *Guard
	view  *fleet.View
	cell  int
	block block
}

func (t cellSender) run() {
	acknowledged := 0
	for _, name := range t.view.Owners(t.cell, shortKey(t.block.Request), maxReceiversTried) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := t.guard.o.Fleet.Call(ctx, name, kindBlock, &blockUpdate{Blocks: []block{t.block}}, &struct{}{})
		cancel()
		if err != nil && !errors.Is(err, wire.ErrRemote) {
			t.guard.o.Log.Emit(event.PeerNotTold, event.Ref{}, name+": a blocked request: "+err.Error())
			continue
		}
		if acknowledged++; acknowledged == receiversPerCell {
			return
		}
	}
}

// blockUpdate carries blocks to another cell.
type blockUpdate struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Blocks   []block
}

// receiveBlocks merges blocks from another cell; this daemon's heartbeats pass them on within its
// own.
func (g *Guard) receiveBlocks(_ context.Context, from string, u *blockUpdate) (struct{}, error) {
	g.blocks.merge(u.Blocks, "received from "+from)
	return struct{}{}, nil
}
