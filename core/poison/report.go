package poison

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

const (
	// keepers is how many daemons count the ends of a request, so that one may be lost, and
	// keepersTried how many are asked where some do not answer.
	keepers      = 2
	keepersTried = 6
	// audience is how many daemons of each other cell hear of a block, and audienceTried how
	// many are tried where some do not answer.
	audience      = 2
	audienceTried = 5
	// tellLimit bounds one message.
	tellLimit = 500 * time.Millisecond
	// knownMost bounds the counts that a daemon keeps of what keepers answered.
	knownMost = 1024
)

// endNews tells a keeper that a run of a target ended under a request.
type endNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Request      Fingerprint
	Organisation string
	Run          string
	// Good tells that the same request ended well lately at another run, and Alone that no
	// other run ended together with this one.
	Good, Alone bool
}

// endCount is a keeper's answer.
type endCount struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Runs is how many runs of targets have ended under the request.
	Runs int
}

// teller tells the keepers what was there when a run ended.
type teller struct {
	guard *Guard
	name  string
	sent  []sent
}

// run tells of all at once: a keeper that does not answer must not hold up the word of the
// one request that is at fault.
func (t teller) run() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, who := range t.sent {
		wg.Go(func() { t.tell(who) })
	}
}

// tell tells the keepers of one request. Whether other runs ended together with this one shows
// a moment later and is told then. Waiting for it would cost targets: a caller that repeats
// at once ended four more in this time.
func (t teller) tell(who sent) {
	if !t.say(who) {
		return
	}
	time.Sleep(togetherTime)
	if !t.guard.sends.alone(t.name, who.request) {
		t.say(who)
	}
}

// say tells the keepers of one request what is known now, and reports whether the run ended
// alone.
func (t teller) say(who sent) bool {
	n := &endNews{
		Request: who.request, Organisation: who.organisation, Run: t.name,
		Good: t.guard.sends.wasGood(who.request), Alone: t.guard.sends.alone(t.name, who.request),
	}
	t.guard.tellKeepers(n)
	return n.Alone
}

// tellKeepers tells the keepers of a request, the first that answer.
func (g *Guard) tellKeepers(n *endNews) {
	view := g.o.Fleet.View()
	ranked := fleet.Rank(key(n.Request), view.Living())
	told, most := 0, 0
	for _, name := range ranked[:min(len(ranked), keepersTried)] {
		got, err := g.tellKeeper(view.Self(), name, n)
		if err != nil {
			g.o.Log.Emit(event.PeerNotTold, event.Ref{Target: n.Run}, name+": the end of a run: "+err.Error())
			continue
		}
		most = max(most, got.Runs)
		if told++; told == keepers {
			break
		}
	}
	g.learn(n.Request, most)
}

// tellKeeper tells one daemon, which may be this one.
func (g *Guard) tellKeeper(self, name string, n *endNews) (*endCount, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	defer cancel()
	if name == self {
		return g.hearEnd(ctx, self, n)
	}
	var got endCount
	err := g.o.Fleet.Call(ctx, name, kindEnd, n, &got)
	return &got, err
}

// learn remembers how many runs ended under a request.
func (g *Guard) learn(f Fingerprint, runs int) {
	g.knownMu.Lock()
	defer g.knownMu.Unlock()
	if len(g.known) >= knownMost {
		clear(g.known)
	}
	g.known[f] = runs
}

// hearEnd counts what a daemon tells this one, a keeper.
func (g *Guard) hearEnd(_ context.Context, from string, n *endNews) (*endCount, error) {
	if _, blocked := g.blocks.left(n.Request); blocked {
		if !n.Alone && g.keeper.lower(n.Request, n.Run) {
			g.release(n.Request, "runs of others ended together with "+n.Run)
		}
		return &endCount{Runs: runsMost}, nil
	}
	if n.Good || g.sends.wasGood(n.Request) {
		// It is there whenever something ends, and runs well elsewhere.
		g.keeper.clear(n.Request)
		return &endCount{}, nil
	}
	weight := half
	if n.Alone {
		weight = whole
	}
	runs, over := g.keeper.count(n.Request, n.Organisation, n.Run, weight)
	if over || g.blocks.former(n.Request) > 0 {
		b := g.blocks.add(n.Request, n.Organisation, "ended under it: "+g.keeper.names(n.Request)+"; last told by "+from)
		g.tellCells(b)
	}
	return &endCount{Runs: runs}, nil
}

// release takes a block back and tells the other cells; it reports whether there was one.
func (g *Guard) release(f Fingerprint, why string) bool {
	b, done := g.blocks.release(f, why)
	if done {
		g.tellCells(b)
	}
	return done
}

// tellCells tells the other cells of a block; heartbeats tell this one.
func (g *Guard) tellCells(b block) {
	view := g.o.Fleet.View()
	for cell := range view.Cells() {
		if cell != view.Cell() {
			go cellTeller{g, view, cell, b}.run()
		}
	}
}

// cellTeller tells one cell of a block.
type cellTeller struct {
	guard *Guard
	view  *fleet.View
	cell  int
	block block
}

func (t cellTeller) run() {
	told := 0
	for _, name := range t.view.Homes(t.cell, key(t.block.Request), audienceTried) {
		ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
		err := t.guard.o.Fleet.Call(ctx, name, kindBlock, &blockNews{Blocks: []block{t.block}}, &struct{}{})
		cancel()
		if err != nil && !errors.Is(err, wire.ErrRemote) {
			t.guard.o.Log.Emit(event.PeerNotTold, event.Ref{}, name+": a blocked request: "+err.Error())
			continue
		}
		if told++; told == audience {
			return
		}
	}
}

// blockNews tells another cell of blocks.
type blockNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Blocks   []block
}

// hearBlocks takes blocks from another cell; this daemon's heartbeats tell its own.
func (g *Guard) hearBlocks(_ context.Context, from string, n *blockNews) (struct{}, error) {
	g.blocks.merge(n.Blocks, "told by "+from)
	return struct{}{}, nil
}
