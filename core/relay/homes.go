package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/canary"
	"embertally.dev/core/fleet"
	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const (
	kindPlace  wire.Kind = "relay.place"
	kindPlaced wire.Kind = "relay.placed"
)

// Homes asks the cells where contexts are at home, and answers for this daemon's own.
//
// In a large fleet each cell has a share of the workers and knows what these hold. A
// prompt that is decided in the cell that its caller happened to reach would find its context
// in a worker once in as many returns as there are cells. So the daemons of one cell decide for all returns of a context, and the daemon
// that has the prompt sends it.
type Homes struct {
	relay *Relay
	fleet *fleet.Fleet
	// silent are the daemons that did not answer.
	silent wait.Backoff[string]
	turn   atomic.Int64
	// limit bounds the wait for a home's answer.
	limit time.Duration

	placedMu sync.Mutex
	// placed are the choices that other daemons made use of, by the name that these
	// gave them. Guarded by placedMu.
	placed map[string]*placement
}

// Bounds of asking at home.
const (
	// leastReading is the time that reading the shared parts takes below which a prompt
	// is decided where it came: about ten questions.
	leastReading = 20 * time.Millisecond
	// homeLimit bounds the wait for a home's answer; reading 12,800 tokens takes 0.23 s.
	homeLimit = 40 * time.Millisecond
	// homePause spaces the questions of a prompt that waits for a place.
	homePause = 60 * time.Millisecond
	// homeDaemons is how many daemons of a home are asked, one after the other.
	homeDaemons = 2
	// silentTime and silentMost are how long a daemon that did not answer is not asked.
	silentTime = 300 * time.Millisecond
	silentMost = 5 * time.Second
	// guestAge is how old another cell's list may be where this daemon sends by it: targets that
	// leave get nothing more after a few seconds, two on the strictest of the users' sites.
	guestAge = 1500 * time.Millisecond
	// newsLimit bounds the sending of news to a home.
	newsLimit = 500 * time.Millisecond
	// placedSweep is the pause between removals of choices whose end was not told.
	placedSweep = time.Second
)

// NewHomes makes a relay ask the homes of contexts. It must be called before the fleet
// runs and the relay answers.
func NewHomes(rl *Relay, f *fleet.Fleet) *Homes {
	h := &Homes{
		relay: rl, fleet: f, limit: homeLimit, placed: map[string]*placement{},
		silent: wait.Backoff[string]{First: silentTime, Most: silentMost},
	}
	rl.homes = h
	f.Mux().Register(kindPlace, wire.Handle(h.place))
	f.Mux().Register(kindPlaced, wire.Handle(h.news))
	return h
}

// placeAsk asks for a worker for a prompt.
type placeAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Route is its name, by which times are learned.
	Route string
	Aim   time.Duration
	Model string
	// Wall is the isolated organisation, or "".
	Wall         string
	Parts        []placePart
	Prompt, Size int
	Domain       string
	Spent, Left  time.Duration
	// Tried are the workers that were sent to before, and those that may get no send from this
	// daemon by their own word: the home may not know of it, and would choose them again.
	Tried []string
	// Limits are the request rates that the service's targets named, as the asker knows them.
	Limits map[string]roster.LimitNews
	// ForToken tells that the asker has no token for the service's targets, so that also the choice
	// of a target that it knows itself is of use.
	ForToken bool
	// Regions bind where it may run.
	Regions regions
	// Side says which versions of the service it may go to.
	Side canary.Side
}

// placePart is one part of a prompt.
type placePart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Tokens   int
}

// placeAnswer names the worker, or none, and what the decision knew and expects of it.
type placeAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack  struct{} `msgpack:",as_array"`
	Target    string
	Weights   int64
	Copy      []string
	CopyUntil time.Duration
	Keep      []string
	// Own, Before, Beside, Waiting and Crowd are its factors.
	Own, Before            int
	Beside, Waiting, Crowd float64
	// Kept, Copied, Running and Held are the candidate's.
	Kept, Copied, Running, Held int
	Expected, Usual             time.Duration
	InTime, Served, Gain, Worth float64
	Alone                       bool
	// Granted tells that the home took a token for the request, where the worker named a request
	// rate.
	Granted bool
	// Entry is what the home's list says of the worker, and Age how old that list is.
	Entry placeEntry
	Age   time.Duration
}

// placeEntry is an entry of the list of targets.
type placeEntry struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack              struct{} `msgpack:",as_array"`
	Name, Address, Domain string
	Version               string
	Born                  time.Time
	Slots                 int
}

// entry returns it as the roster takes it.
func (a *placeAnswer) entry(service, model string) roster.Entry {
	e := &a.Entry
	return roster.Entry{
		ID: a.Target, Name: e.Name, Born: e.Born, Service: service, Address: e.Address, Domain: e.Domain, Version: e.Version, Slots: e.Slots,
		Weights: map[string]int64{model: a.Weights},
	}
}

// answerOf writes a choice as daemons send it.
func answerOf(c *choice, age time.Duration) *placeAnswer {
	f, known, j, e := &c.factors, &c.candidate, &c.judged, c.target.Entry()
	return &placeAnswer{
		Target: c.sending.Target, Weights: c.sending.Weights, Copy: c.sending.Copy, CopyUntil: c.sending.CopyUntil, Keep: c.sending.Keep,
		Own: f.Own, Before: f.Before, Beside: f.Beside, Waiting: f.Waiting, Crowd: f.Crowd,
		Kept: known.Kept, Copied: known.Copied, Running: known.Running, Held: known.Held,
		Expected: j.Expected, Usual: c.usual, InTime: j.InTime, Served: j.Served, Gain: j.Gain, Worth: j.Worth, Alone: c.alone, Granted: c.token.Held,
		Entry: placeEntry{Name: e.Name, Address: e.Address, Domain: e.Domain, Version: e.Version, Born: e.Born, Slots: e.Slots}, Age: age,
	}
}

// choice reads it for a prompt of some tokens.
func (a *placeAnswer) choice(t *roster.Target, tokens int) *choice {
	return &choice{
		target: t, usual: a.Usual, alone: a.Alone, token: roster.Token{Held: a.Granted, Far: true},
		sending:   Sending{Target: a.Target, Weights: a.Weights, Copy: a.Copy, CopyUntil: a.CopyUntil, Keep: a.Keep},
		load:      roster.Load{Running: 1, Unread: a.Own, Held: tokens},
		judged:    route.Judgement{Expected: a.Expected, InTime: a.InTime, Served: a.Served, Gain: a.Gain, Worth: a.Worth},
		factors:   learn.Factors{Own: a.Own, Before: a.Before, Beside: a.Beside, Waiting: a.Waiting, Crowd: a.Crowd},
		candidate: route.Candidate{Kept: a.Kept, Copied: a.Copied, Running: a.Running, Held: a.Held, Unread: a.Before},
	}
}

// placeNews tells a home what became of a choice.
type placeNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	// Ask is what was asked and Answer what was answered, where the choice is made use
	// of; later news have neither.
	Ask    *placeAsk
	Answer *placeAnswer
	// First is how long after the send the first event came; 0 where none has yet.
	First time.Duration
	// Ended tells that the send has ended, Bad that its answer was bad or broke off,
	// Silent that there was none, and Reloads that the worker refused it while it seemed to
	// change its weights.
	Ended, Bad, Silent, Reloads bool
	// Leaves tells that the worker said that it leaves.
	Leaves bool
}

// chooseAtHome returns the choice of the home of the request's context, where another
// cell is its home and the choice is better than this cell's own; else nil.
func (p *pass) chooseAtHome(ctx context.Context, svc *table.Service, own *choice) *choice {
	now := time.Now()
	h := p.relay.homes
	if h == nil || svc.Engine == nil || p.relay.o.Without.Homes || now.Sub(p.homeAsked) < homePause || !p.worthAsking(now) {
		return nil
	}
	peers := h.peers(p.service, p.context(), now)
	if len(peers) == 0 {
		return nil
	}
	c := p.chooseAt(ctx, svc, peers, now)
	if c == nil || (own != nil && own.judged.Gain > 0 && own.judged.Worth > c.judged.Worth+p.apart()) {
		return nil
	}
	return c
}

// chooseElsewhere returns the choice of another cell for a request to a divided service of which
// this cell has no target to use, or nil.
func (p *pass) chooseElsewhere(ctx context.Context, svc *table.Service) *choice {
	now := time.Now()
	h := p.relay.homes
	if h == nil || now.Sub(p.elsewhereAsked) < homePause {
		return nil
	}
	p.elsewhereAsked = now
	view := h.fleet.View()
	for _, cell := range view.NextCells() {
		peers := h.open(view.Homes(cell, fleet.Key("home/"+view.Self()), homeDaemons), now)
		if c := p.chooseAt(ctx, svc, peers, now); c != nil {
			return c
		}
	}
	return nil
}

// chooseByToken returns the choice of another daemon that may have a token for a target which is over
// its limit here, or nil.
func (p *pass) chooseByToken(ctx context.Context, svc *table.Service) *choice {
	now := time.Now()
	h := p.relay.homes
	if h == nil || p.relay.o.Choosers == nil || p.over == nil || now.Sub(p.tokenAsked) < homePause {
		return nil
	}
	p.tokenAsked = now
	peers := h.open(p.relay.o.Choosers(p.over, p.relay.o.Roster.Holders(p.over)), now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), homeDaemons)] {
		if c := p.chooseAt(ctx, svc, []string{peer}, now); c != nil {
			return c
		}
	}
	return nil
}

// chooseAt returns the choice of the first of some daemons of one cell that answers, or nil where
// that has none.
func (p *pass) chooseAt(ctx context.Context, svc *table.Service, peers []string, now time.Time) *choice {
	h := p.relay.homes
	p.homeAsked = now
	ask := p.placeAsk(now)
	for _, peer := range peers {
		got, err := h.ask(ctx, peer, ask)
		switch {
		case errors.Is(err, wire.ErrRemote):
			// It has no place for the request now.
			return nil
		case err != nil:
			p.note("home %s: %v", peer, errors.Cause(err))
			continue
		}
		return p.orderOf(svc, peer, ask, got)
	}
	return nil
}

// apart returns what it costs that a context is kept in two cells: its next return has it
// copied, over a connection that is not open.
func (p *pass) apart() float64 {
	prices := &p.relay.o.Prices
	return prices.Connect + prices.Copied*float64(p.shared()) + apartShare*prices.Worth(p.ask.Prompt)
}

// apartShare is the part of an answer's worth that it loses by the time of a copy: a tenth
// for each aim's time, of which a copy of 12,800 tokens between domains takes a tenth.
const apartShare = 0.01

// worthAsking reports whether a question costs less than reading the shared parts may.
func (p *pass) worthAsking(now time.Time) bool {
	e := p.estimate(now)
	return e.Time(learn.Factors{Own: p.shared()})-e.Time(learn.Factors{}) >= leastReading
}

// placeAsk returns the question for the request.
func (p *pass) placeAsk(now time.Time) *placeAsk {
	ask := &placeAsk{
		Service: p.service, Route: p.route.Name, Aim: p.route.Aim, Model: p.ask.Model, Wall: p.salt(0).Wall, Prompt: p.ask.Prompt,
		Size: p.size, Domain: p.relay.o.Domain, Spent: now.Sub(p.began), Left: p.until.Sub(now),
		Regions: p.regions, Side: p.side, Limits: p.relay.o.Roster.Limits(p.service), ForToken: p.over != nil,
	}
	for _, part := range p.ask.Parts {
		ask.Parts = append(ask.Parts, placePart{ID: part.ID, Tokens: part.Tokens})
	}
	for id := range p.tried {
		ask.Tried = append(ask.Tried, id)
	}
	ask.Tried = append(ask.Tried, p.relay.o.Roster.Stopped(p.service)...)
	return ask
}

// orderOf returns a home's answer as a choice, or nil where it names no worker that this
// daemon may send to.
func (p *pass) orderOf(svc *table.Service, peer string, ask *placeAsk, got *placeAnswer) *choice {
	h, t := p.relay.homes, p.relay.o.Roster.Target(got.Target)
	if p.relay.divided(p.service) && got.Age <= guestAge {
		t = p.relay.o.Roster.Guest(got.entry(p.service, p.ask.Model))
	}
	if t == nil || !p.allowed(t.Entry().Domain) || !p.side.Allows(t.Entry().Version) || (svc.Engine != nil && p.relay.o.Outdated(p.ask.Model, got.Weights)) {
		return nil
	}
	gate := p.relay.o.Roster.Gate(time.Now())
	stop, _ := gate.Stop(t)
	if (stop != roster.Open && stop != roster.Limited) || (gate.Limits(t) && !got.Granted) {
		return nil
	}
	address := t.Entry().Address
	p.bound(svc, address, true)
	if p.relay.o.Pool.Room(address) <= 0 {
		return nil
	}
	c := got.choice(t, p.ask.Prompt)
	if svc.Engine == nil {
		// Nothing is counted at the other cell, which hears nothing more of it.
		c.load = roster.Load{Running: 1}
		return c
	}
	c.order = &homeOrder{homes: h, peer: peer, name: h.name(), ask: ask, answer: got}
	return c
}

// peers returns the daemons to ask about a context, best first; none where this daemon's
// own cell is its home. A daemon asks the same ones of a cell each time, so that its
// links are as many as there are cells.
func (h *Homes) peers(service string, root uint64, now time.Time) []string {
	view := h.fleet.View()
	if view.Cells() <= 1 {
		return nil
	}
	cell := h.cell(view, service, root)
	if cell == view.Cell() {
		return nil
	}
	return h.open(view.Homes(cell, fleet.Key("home/"+view.Self()), homeDaemons), now)
}

// cell returns the cell that a context is at home in. Cells have as many targets of a divided service
// as each other, and of others as many as they have daemons.
func (h *Homes) cell(view *fleet.View, service string, root uint64) int {
	if h.relay.divided(service) {
		return view.KeyCell(root)
	}
	return view.WeighedCell(root)
}

// open returns those of some daemons that did not fail to answer lately.
func (h *Homes) open(names []string, now time.Time) []string {
	return slices.DeleteFunc(names, func(name string) bool { return !h.silent.Open(name, now) })
}

// ask asks one daemon.
func (h *Homes) ask(ctx context.Context, peer string, ask *placeAsk) (*placeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.limit)
	defer cancel()
	var got placeAnswer
	err := h.fleet.Call(ctx, peer, kindPlace, ask, &got)
	if err != nil && !errors.Is(err, wire.ErrRemote) {
		h.silent.Failed(peer, time.Now())
		return nil, err
	}
	h.silent.Worked(peer)
	return &got, err
}

// name returns a new name for a choice.
func (h *Homes) name() string {
	return h.fleet.View().Self() + "/" + strconv.FormatInt(h.relay.began.UnixNano(), 36) + "/" + strconv.FormatInt(h.turn.Add(1), 36)
}

// homeOrder is what a daemon tells the home that chose for it. A nil one tells nothing.
// It is used by one goroutine.
type homeOrder struct {
	homes      *Homes
	peer, name string
	ask        *placeAsk
	answer     *placeAnswer
	// bad, silent, reloads and leaves are what is told with the end.
	bad, silent, reloads, leaves bool
}

// tell sends news in the background: what is lost runs out at the home.
func (o *homeOrder) tell(n *placeNews) {
	n.Name = o.name
	go teller{o.homes, o.peer, n}.run()
}

// placed tells that the choice is sent.
func (o *homeOrder) placed() { o.tell(&placeNews{Ask: o.ask, Answer: o.answer}) }

// first tells how long the first event took.
func (o *homeOrder) first(took time.Duration) { o.tell(&placeNews{First: took}) }

// answered records whether an answer was good.
func (o *homeOrder) answered(good bool) {
	if o != nil {
		o.bad = o.bad || !good
	}
}

// noAnswer records that there was none.
func (o *homeOrder) noAnswer() {
	if o != nil {
		o.silent = true
	}
}

// refused records that the worker seems to change its weights.
func (o *homeOrder) refused() {
	if o != nil {
		o.reloads = true
	}
}

// left records that the worker said that it leaves.
func (o *homeOrder) left() {
	if o != nil {
		o.leaves = true
	}
}

// ended tells that the send has ended.
func (o *homeOrder) ended() {
	if o != nil {
		o.tell(&placeNews{Ended: true, Bad: o.bad, Silent: o.silent, Reloads: o.reloads, Leaves: o.leaves})
	}
}

// teller sends news to a home.
type teller struct {
	homes *Homes
	peer  string
	news  *placeNews
}

func (t teller) run() {
	ctx, cancel := context.WithTimeout(context.Background(), newsLimit)
	defer cancel()
	// A home that does not hear of it counts the choice until its time is up.
	_ = t.homes.fleet.Notify(ctx, t.peer, kindPlaced, t.news)
}
