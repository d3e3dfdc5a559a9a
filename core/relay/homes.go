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
	kindPlace           wire.Kind = "relay.place"
	kindPlacementUpdate wire.Kind = "relay.placed"
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
	backoff  wait.Backoff[string]
	sequence atomic.Int64
	// limit bounds the wait for a home's answer.
	timeout time.Duration

	placementsMu sync.Mutex
	// placed are the choices that other daemons made use of, by the name that these
	// gave them. Guarded by placedMu.
	placements map[string]*ownedPlacement
}

// Bounds of asking at home.
const (
	// leastReading is the time that reading the shared parts takes below which a prompt
	// is decided where it came: about ten questions.
	minPrefillTime = 20 * time.Millisecond
	// homeLimit bounds the wait for a home's answer; reading 12,800 tokens takes 0.23 s.
	ownerTimeout = 40 * time.Millisecond
	// homePause spaces the questions of a prompt that waits for a place.
	ownerQueryInterval = 60 * time.Millisecond
	// homeDaemons is how many daemons of a home are asked, one after the other.
	maxOwnerQueries = 2
	// silentTime and silentMost are how long a daemon that did not answer is not asked.
	backoffFirst = 300 * time.Millisecond
	backoffMax   = 5 * time.Second
	// guestAge is how old another cell's list may be where this daemon sends by it: targets that
	// leave get nothing more after a few seconds, two on the strictest of the users' sites.
	maxExternalListAge = 1500 * time.Millisecond
	// newsLimit bounds the sending of news to a home.
	updateTimeout = 500 * time.Millisecond
	// placedSweep is the pause between removals of choices whose end was not told.
	expiryInterval = time.Second
)

// NewHomes makes a relay ask the homes of contexts. It must be called before the fleet
// runs and the relay answers.
func NewHomes(rl *Relay, f *fleet.Fleet) *Homes {
	h := &Homes{
		relay: rl, fleet: f, timeout: ownerTimeout, placements: map[string]*ownedPlacement{},
		backoff: wait.Backoff[string]{First: backoffFirst, Most: backoffMax},
	}
	rl.owners = h
	f.Mux().Register(kindPlace, wire.Handle(h.handlePlace))
	f.Mux().Register(kindPlacementUpdate, wire.Handle(h.handleUpdate))
	return h
}

// placeAsk asks for a worker for a prompt.
type placementRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Route is its name, by which times are learned.
	Route            string
	LatencyObjective time.Duration
	Model            string
	// Wall is the isolated organisation, or "".
	IsolatedOrganisation    string
	Segments                []placementSegment
	PromptTokens, BodyBytes int
	OriginDomain            string
	Elapsed, Remaining      time.Duration
	// Tried are the workers that were sent to before, and those that may get no send from this
	// daemon by their own word: the home may not know of it, and would choose them again.
	Excluded []string
	// Limits are the request rates that the service's targets named, as the asker knows them.
	RateLimits map[string]roster.LimitNews
	// ForToken tells that the asker has no token for the service's targets, so that also the choice
	// of a target that it knows itself is of use.
	NeedsPermit bool
	// Regions bind where it may run.
	Regions regions
	// Side says which versions of the service it may go to.
	Versions canary.Side
}

// placePart is one part of a prompt.
type placementSegment struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Tokens   int
}

// placeAnswer names the worker, or none, and what the decision knew and expects of it.
type placementResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack      struct{} `msgpack:",as_array"`
	Target        string
	WeightVersion int64
	CopyFrom      []string
	CopyDeadline  time.Duration
	StoreTo       []string
	// Own, Before, Beside, Waiting and Crowd are its factors.
	PrefillTokens, QueuedTokens           int
	Occupancy, QueueRatio, MemoryPressure float64
	// Kept, Copied, Running and Held are the candidate's.
	CachedTokens, CopiedTokens, Running, HeldTokens int
	Expected, Baseline                              time.Duration
	OnTimeChance, ServedChance, Gain, Utility       float64
	OnlyCandidate                                   bool
	// Granted tells that the home took a token for the request, where the worker named a request
	// rate.
	PermitHeld bool
	// Entry is what the home's list says of the worker, and Age how old that list is.
	Entry   placementEntry
	ListAge time.Duration
}

// placeEntry is an entry of the list of targets.
type placementEntry struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack              struct{} `msgpack:",as_array"`
	Name, Address, Domain string
	Version               string
	Started               time.Time
	Slots                 int
}

// entry returns it as the roster takes it.
func (r *placementResponse) entry(service, model string) roster.Entry {
	e := &r.Entry
	return roster.Entry{
		ID: r.Target, Name: e.Name, Born: e.Started, Service: service, Address: e.Address, Domain: e.Domain, Version: e.Version, Slots: e.Slots,
		Weights: map[string]int64{model: r.WeightVersion},
	}
}

// answerOf writes a choice as daemons send it.
func newPlacementResponse(c *choice, age time.Duration) *placementResponse {
	f, candidate, judgement, e := &c.factors, &c.candidate, &c.judgement, c.target.Entry()
	return &placementResponse{
		Target: c.attemptMeta.Target, WeightVersion: c.attemptMeta.Weights, CopyFrom: c.attemptMeta.Copy, CopyDeadline: c.attemptMeta.CopyUntil, StoreTo: c.attemptMeta.Keep,
		PrefillTokens: f.Own, QueuedTokens: f.Before, Occupancy: f.Beside, QueueRatio: f.Waiting, MemoryPressure: f.Crowd,
		CachedTokens: candidate.Kept, CopiedTokens: candidate.Copied, Running: candidate.Running, HeldTokens: candidate.Held,
		Expected: judgement.Expected, Baseline: c.baseline, OnTimeChance: judgement.InTime, ServedChance: judgement.Served, Gain: judgement.Gain, Utility: judgement.Worth, OnlyCandidate: c.onlyCandidate, PermitHeld: c.permit.Held,
		Entry: placementEntry{Name: e.Name, Address: e.Address, Domain: e.Domain, Version: e.Version, Started: e.Born, Slots: e.Slots}, ListAge: age,
	}
}

// choice reads it for a prompt of some tokens.
func (r *placementResponse) choice(t *roster.Target, tokens int) *choice {
	return &choice{
		target: t, baseline: r.Baseline, onlyCandidate: r.OnlyCandidate, permit: roster.Token{Held: r.PermitHeld, Far: true},
		attemptMeta: Sending{Target: r.Target, Weights: r.WeightVersion, Copy: r.CopyFrom, CopyUntil: r.CopyDeadline, Keep: r.StoreTo},
		load:        roster.Load{Running: 1, Unread: r.PrefillTokens, Held: tokens},
		judgement:   route.Judgement{Expected: r.Expected, InTime: r.OnTimeChance, Served: r.ServedChance, Gain: r.Gain, Worth: r.Utility},
		factors:     learn.Factors{Own: r.PrefillTokens, Before: r.QueuedTokens, Beside: r.Occupancy, Waiting: r.QueueRatio, Crowd: r.MemoryPressure},
		candidate:   route.Candidate{Kept: r.CachedTokens, Copied: r.CopiedTokens, Running: r.Running, Held: r.HeldTokens, Unread: r.QueuedTokens},
	}
}

// placeNews tells a home what became of a choice.
type placementUpdate struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	// Ask is what was asked and Answer what was answered, where the choice is made use
	// of; later news have neither.
	Request  *placementRequest
	Response *placementResponse
	// First is how long after the send the first event came; 0 where none has yet.
	FirstEvent time.Duration
	// Ended tells that the send has ended, Bad that its answer was bad or broke off,
	// Silent that there was none, and Reloads that the worker refused it while it seemed to
	// change its weights.
	Ended, Bad, NoAnswer, Reloading bool
	// Leaves tells that the worker said that it leaves.
	ShuttingDown bool
}

// chooseAtHome returns the choice of the home of the request's context, where another
// cell is its home and the choice is better than this cell's own; else nil.
func (p *proxiedRequest) chooseByOwner(ctx context.Context, svc *table.Service, local *choice) *choice {
	now := time.Now()
	h := p.relay.owners
	if h == nil || svc.Engine == nil || p.relay.options.Without.ContextOwners || now.Sub(p.ownerQueried) < ownerQueryInterval || !p.worthQuerying(now) {
		return nil
	}
	peers := h.ownersOf(p.service, p.contextHash(), now)
	if len(peers) == 0 {
		return nil
	}
	c := p.chooseByPeers(ctx, svc, peers, now)
	if c == nil || (local != nil && local.judgement.Gain > 0 && local.judgement.Worth > c.judgement.Worth+p.splitCost()) {
		return nil
	}
	return c
}

// chooseElsewhere returns the choice of another cell for a request to a divided service of which
// this cell has no target to use, or nil.
func (p *proxiedRequest) chooseInOtherCell(ctx context.Context, svc *table.Service) *choice {
	now := time.Now()
	h := p.relay.owners
	if h == nil || now.Sub(p.cellsQueried) < ownerQueryInterval {
		return nil
	}
	p.cellsQueried = now
	view := h.fleet.View()
	for _, cell := range view.NextCells() {
		peers := h.responsive(view.Homes(cell, fleet.Key("home/"+view.Self()), maxOwnerQueries), now)
		if c := p.chooseByPeers(ctx, svc, peers, now); c != nil {
			return c
		}
	}
	return nil
}

// chooseByToken returns the choice of another daemon that may have a token for a target which is over
// its limit here, or nil.
func (p *proxiedRequest) chooseByPermit(ctx context.Context, svc *table.Service) *choice {
	now := time.Now()
	h := p.relay.owners
	if h == nil || p.relay.options.Choosers == nil || p.rateLimited == nil || now.Sub(p.permitQueried) < ownerQueryInterval {
		return nil
	}
	p.permitQueried = now
	peers := h.responsive(p.relay.options.Choosers(p.rateLimited, p.relay.options.Roster.Holders(p.rateLimited)), now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxOwnerQueries)] {
		if c := p.chooseByPeers(ctx, svc, []string{peer}, now); c != nil {
			return c
		}
	}
	return nil
}

// chooseAt returns the choice of the first of some daemons of one cell that answers, or nil where
// that has none.
func (p *proxiedRequest) chooseByPeers(ctx context.Context, svc *table.Service, peers []string, now time.Time) *choice {
	h := p.relay.owners
	p.ownerQueried = now
	request := p.newPlacementRequest(now)
	for _, peer := range peers {
		response, err := h.query(ctx, peer, request)
		switch {
		case errors.Is(err, wire.ErrRemote):
			// It has no place for the request now.
			return nil
		case err != nil:
			p.note("home %s: %v", peer, errors.Cause(err))
			continue
		}
		return p.choiceFromResponse(svc, peer, request, response)
	}
	return nil
}

// apart returns what it costs that a context is kept in two cells: its next return has it
// copied, over a connection that is not open.
func (p *proxiedRequest) splitCost() float64 {
	prices := &p.relay.options.Prices
	return prices.Connect + prices.Copied*float64(p.sharedTokens()) + splitLoss*prices.Worth(p.meta.Prompt)
}

// apartShare is the part of an answer's worth that it loses by the time of a copy: a tenth
// for each aim's time, of which a copy of 12,800 tokens between domains takes a tenth.
const splitLoss = 0.01

// worthAsking reports whether a question costs less than reading the shared parts may.
func (p *proxiedRequest) worthQuerying(now time.Time) bool {
	e := p.estimate(now)
	return e.Time(learn.Factors{Own: p.sharedTokens()})-e.Time(learn.Factors{}) >= minPrefillTime
}

// placeAsk returns the question for the request.
func (p *proxiedRequest) newPlacementRequest(now time.Time) *placementRequest {
	request := &placementRequest{
		Service: p.service, Route: p.route.Name, LatencyObjective: p.route.Aim, Model: p.meta.Model, IsolatedOrganisation: p.cacheSalt(0).Wall, PromptTokens: p.meta.Prompt,
		BodyBytes: p.bodyBytes, OriginDomain: p.relay.options.Domain, Elapsed: now.Sub(p.start), Remaining: p.deadline.Sub(now),
		Regions: p.regions, Versions: p.versions, RateLimits: p.relay.options.Roster.Limits(p.service), NeedsPermit: p.rateLimited != nil,
	}
	for _, segment := range p.meta.Parts {
		request.Segments = append(request.Segments, placementSegment{ID: segment.ID, Tokens: segment.Tokens})
	}
	for id := range p.tried {
		request.Excluded = append(request.Excluded, id)
	}
	request.Excluded = append(request.Excluded, p.relay.options.Roster.Stopped(p.service)...)
	return request
}

// orderOf returns a home's answer as a choice, or nil where it names no worker that this
// daemon may send to.
func (p *proxiedRequest) choiceFromResponse(svc *table.Service, peer string, request *placementRequest, response *placementResponse) *choice {
	owners, t := p.relay.owners, p.relay.options.Roster.Target(response.Target)
	if p.relay.sharded(p.service) && response.ListAge <= maxExternalListAge {
		t = p.relay.options.Roster.Guest(response.entry(p.service, p.meta.Model))
	}
	if t == nil || !p.domainAllowed(t.Entry().Domain) || !p.versions.Allows(t.Entry().Version) || (svc.Engine != nil && p.relay.options.Outdated(p.meta.Model, response.WeightVersion)) {
		return nil
	}
	availability := p.relay.options.Roster.Gate(time.Now())
	reason, _ := availability.Stop(t)
	if (reason != roster.Open && reason != roster.Limited) || (availability.Limits(t) && !response.PermitHeld) {
		return nil
	}
	address := t.Entry().Address
	p.limitConnections(svc, address, true)
	if p.relay.options.Pool.Room(address) <= 0 {
		return nil
	}
	c := response.choice(t, p.meta.Prompt)
	if svc.Engine == nil {
		// Nothing is counted at the other cell, which hears nothing more of it.
		c.load = roster.Load{Running: 1}
		return c
	}
	c.report = &ownerReport{owners: owners, peer: peer, name: owners.newPlacementName(), request: request, response: response}
	return c
}

// peers returns the daemons to ask about a context, best first; none where this daemon's
// own cell is its home. A daemon asks the same ones of a cell each time, so that its
// links are as many as there are cells.
func (h *Homes) ownersOf(service string, contextHash uint64, now time.Time) []string {
	view := h.fleet.View()
	if view.Cells() <= 1 {
		return nil
	}
	cell := h.ownerCell(view, service, contextHash)
	if cell == view.Cell() {
		return nil
	}
	return h.responsive(view.Homes(cell, fleet.Key("home/"+view.Self()), maxOwnerQueries), now)
}

// cell returns the cell that a context is at home in. Cells have as many targets of a divided service
// as each other, and of others as many as they have daemons.
func (h *Homes) ownerCell(view *fleet.View, service string, contextHash uint64) int {
	if h.relay.sharded(service) {
		return view.KeyCell(contextHash)
	}
	return view.WeighedCell(contextHash)
}

// open returns those of some daemons that did not fail to answer lately.
func (h *Homes) responsive(names []string, now time.Time) []string {
	return slices.DeleteFunc(names, func(name string) bool { return !h.backoff.Open(name, now) })
}

// ask asks one daemon.
func (h *Homes) query(ctx context.Context, peer string, request *placementRequest) (*placementResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	var response placementResponse
	err := h.fleet.Call(ctx, peer, kindPlace, request, &response)
	if err != nil && !errors.Is(err, wire.ErrRemote) {
		h.backoff.Failed(peer, time.Now())
		return nil, err
	}
	h.backoff.Worked(peer)
	return &response, err
}

// name returns a new name for a choice.
func (h *Homes) newPlacementName() string {
	return h.fleet.View().Self() + "/" + strconv.FormatInt(h.relay.start.UnixNano(), 36) + "/" + strconv.FormatInt(h.sequence.Add(1), 36)
}

// homeOrder is what a daemon tells the home that chose for it. A nil one tells nothing.
// It is used by one goroutine.
type ownerReport struct {
	owners     *Homes
	peer, name string
	request    *placementRequest
	response   *placementResponse
	// bad, silent, reloads and leaves are what is told with the end.
	bad, noAnswer, reloading, shuttingDown bool
}

// tell sends news in the background: what is lost runs out at the home.
func (o *ownerReport) send(update *placementUpdate) {
	update.Name = o.name
	go updateSender{o.owners, o.peer, update}.run()
}

// placed tells that the choice is sent.
func (o *ownerReport) reportSent() {
	o.send(&placementUpdate{Request: o.request, Response: o.response})
}

// first tells how long the first event took.
func (o *ownerReport) reportFirstEvent(took time.Duration) {
	o.send(&placementUpdate{FirstEvent: took})
}

// answered records whether an answer was good.
func (o *ownerReport) recordAnswer(good bool) {
	if o != nil {
		o.bad = o.bad || !good
	}
}

// noAnswer records that there was none.
func (o *ownerReport) recordNoAnswer() {
	if o != nil {
		o.noAnswer = true
	}
}

// refused records that the worker seems to change its weights.
func (o *ownerReport) recordReload() {
	if o != nil {
		o.reloading = true
	}
}

// left records that the worker said that it leaves.
func (o *ownerReport) recordShutdown() {
	if o != nil {
		o.shuttingDown = true
	}
}

// ended tells that the send has ended.
func (o *ownerReport) reportEnd() {
	if o != nil {
		o.send(&placementUpdate{Ended: true, Bad: o.bad, NoAnswer: o.noAnswer, Reloading: o.reloading, ShuttingDown: o.shuttingDown})
	}
}

// teller sends news to a home.
type updateSender struct {
	owners *Homes
	peer   string
	update *placementUpdate
}

func (t updateSender) run() {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	// A home that does not hear of it counts the choice until its time is up.
	_ = t.owners.fleet.Notify(ctx, t.peer, kindPlacementUpdate, t.update)
}
