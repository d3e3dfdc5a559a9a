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

// Kinds of messages between daemons: a placementRequest and a placementUpdate.
const (
	kindPlacementRequest wire.Kind = "relay.place"
	kindPlacementUpdate  wire.Kind = "relay.placed"
)

// ContextOwners queries the owners of contexts in other cells, and decides as an owner for this
// daemon's own cell.
//
// In a large fleet each cell uses a share of the workers and records which contexts these have
// cached. If each prompt were decided in the cell that its caller happens to reach, only one in as
// many requests for a context as there are cells would find it cached. So the daemons of one cell,
// the context's owners, decide for all its requests, and the daemon that received the request sends
// it.
type ContextOwners struct {
	relay *Relay
	fleet *fleet.Fleet
	// backoff holds the daemons that did not respond lately.
	backoff wait.Backoff[string]
	// sequence numbers the names of placements.
	sequence atomic.Int64
	// timeout bounds a query to an owner.
	timeout time.Duration

	placementsMu sync.Mutex
	// placements holds the choices of this daemon that other daemons use, by the name that those
	// gave them. Guarded by placementsMu.
	placements map[string]*ownedPlacement
}

// Bounds of queries to owners.
const (
	// minPrefillTime is the prefill time of the shared segments below which a request is decided
	// locally: about ten times that of a query.
	minPrefillTime = 20 * time.Millisecond
	// ownerTimeout bounds a query to an owner; the prefill of 12,800 tokens takes 0.23 s.
	ownerTimeout = 40 * time.Millisecond
	// ownerQueryInterval is the least time between the queries of a request that waits for a
	// target.
	ownerQueryInterval = 60 * time.Millisecond
	// maxOwnerQueries is how many daemons of a cell are queried, one after the other.
	maxOwnerQueries = 2
	// backoffFirst and backoffMax bound how long a daemon that did not respond is not queried.
	backoffFirst = 300 * time.Millisecond
	backoffMax   = 5 * time.Second
	// maxExternalListAge is how old another cell's target list may be for this daemon to send by
	// it: targets that are shutting down must get nothing more after a few seconds, two in the
	// strictest deployment.
	maxExternalListAge = 1500 * time.Millisecond
	// updateTimeout bounds the sending of an update to an owner.
	updateTimeout = 500 * time.Millisecond
	// expiryInterval is the interval for removing placements whose end was not reported.
	expiryInterval = time.Second
)

// NewContextOwners makes a relay query the owners of contexts. It must be called before the fleet
// runs and the relay serves.
func NewContextOwners(rl *Relay, f *fleet.Fleet) *ContextOwners {
	co := &ContextOwners{
		relay: rl, fleet: f, timeout: ownerTimeout, placements: map[string]*ownedPlacement{},
		backoff: wait.Backoff[string]{Initial: backoffFirst, Max: backoffMax},
	}
	rl.owners = co
	f.Mux().Register(kindPlacementRequest, wire.Handle(co.handlePlacementRequest))
	f.Mux().Register(kindPlacementUpdate, wire.Handle(co.handlePlacementUpdate))
	return co
}

// placementRequest requests that another daemon choose a target for a request.
type placementRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Route is the route's name, by which response times are learned.
	Route            string
	LatencyObjective time.Duration
	Model            string
	// Scope names the callers that share cached segments with the request's.
	Scope                   table.Scope
	Segments                []placementSegment
	PromptTokens, BodyBytes int
	// OriginDomain is the sender's failure domain.
	OriginDomain string
	// Elapsed and Remaining are the times since the request arrived and until its deadline.
	Elapsed, Remaining time.Duration
	// Excluded are the targets of earlier attempts, and those that are unavailable to the sender by
	// their self-reported state: the owner may not have received that and would choose them again.
	Excluded []string
	// RateLimits are the rate limits of the service's targets that the sender has recorded.
	RateLimits map[string]roster.RateLimitUpdate
	// NeedsPermit is set if the sender has no permit for the service's targets. Then a choice is
	// useful even among targets that the sender uses itself.
	NeedsPermit bool
	// CountAs is the name under which the responder counts the choice until its end is reported, because
	// the sender has no slots of the service's targets; otherwise "".
	CountAs string
	// Regions restrict where the request may run.
	Regions regions
	// Versions restricts the target versions that the request may go to.
	Versions canary.VersionFilter
	// Resumable means that the request is for a stream that callers may resume.
	Resumable bool
}

// placementSegment is one segment of a prompt.
type placementSegment struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Tokens   int
}

// placementResponse is a choice, with the inputs and the result of the decision.
type placementResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack      struct{} `msgpack:",as_array"`
	Target        string
	WeightVersion int64
	CopyFrom      []string
	CopyDeadline  time.Duration
	StoreTo       []string
	// The factors of the expected time; see learn.Factors.
	OwnTokens, QueuedTokens                    int
	Utilisation, QueuedPerSlot, MemoryPressure float64
	// The candidate's state and what is expected of it; see route.Candidate and route.Evaluation.
	CachedTokens, CopiedTokens, Running, OccupiedTokens        int
	Expected, Baseline                                         time.Duration
	WithinObjective, BeforeDeadline, CallerUtility, NetUtility float64
	OnlyCandidate                                              bool
	// PermitHeld is set if the responder took a permit for the request, for a target with a rate
	// limit.
	PermitHeld bool
	// Entry is the target's entry in the responder's list, and ListAge the age of that list.
	Entry   placementEntry
	ListAge time.Duration
}

// placementEntry is an entry of the target list.
type placementEntry struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack              struct{} `msgpack:",as_array"`
	Name, Address, Domain string
	Version               string
	Started               time.Time
	Slots                 int
}

// entry returns the entry in the roster's form.
func (r *placementResponse) entry(service, model string) roster.Entry {
	e := &r.Entry
	return roster.Entry{
		ID: r.Target, Name: e.Name, Started: e.Started, Service: service, Address: e.Address,
		Domain: e.Domain, Version: e.Version, Slots: e.Slots,
		Weights: map[string]int64{model: r.WeightVersion},
	}
}

// newPlacementResponse returns a choice as it is sent to other daemons.
func newPlacementResponse(c *choice, age time.Duration) *placementResponse {
	f, candidate, evaluation, e := &c.factors, &c.candidate, &c.evaluation, c.target.Entry()
	return &placementResponse{
		Target: c.target.ID(), WeightVersion: c.weightVersion,
		CopyFrom: c.transfers.copyFrom, CopyDeadline: c.transfers.copyDeadline, StoreTo: c.transfers.storeTo,
		OwnTokens: f.OwnTokens, QueuedTokens: f.QueuedTokens, Utilisation: f.Utilisation,
		QueuedPerSlot: f.QueuedPerSlot, MemoryPressure: f.MemoryPressure,
		CachedTokens: candidate.CachedTokens, CopiedTokens: candidate.CopiedTokens,
		Running: candidate.Running, OccupiedTokens: candidate.OccupiedTokens,
		Expected: evaluation.Expected, Baseline: c.baseline,
		WithinObjective: evaluation.WithinObjective, BeforeDeadline: evaluation.BeforeDeadline,
		CallerUtility: evaluation.CallerUtility, NetUtility: evaluation.NetUtility,
		OnlyCandidate: c.onlyCandidate, PermitHeld: c.permit.Taken,
		Entry: placementEntry{
			Name: e.Name, Address: e.Address, Domain: e.Domain, Version: e.Version,
			Started: e.Started, Slots: e.Slots,
		}, ListAge: age,
	}
}

// choice returns the choice for a prompt of some tokens.
func (r *placementResponse) choice(t *roster.Target, tokens int) *choice {
	return &choice{
		target: t, baseline: r.Baseline, onlyCandidate: r.OnlyCandidate,
		permit:        roster.Permit{Taken: r.PermitHeld, Remote: true},
		weightVersion: r.WeightVersion,
		transfers:     transfers{copyFrom: r.CopyFrom, copyDeadline: r.CopyDeadline, storeTo: r.StoreTo},
		load:          roster.Load{Running: 1, QueuedTokens: r.OwnTokens, OccupiedTokens: tokens},
		evaluation: route.Evaluation{
			Expected: r.Expected, WithinObjective: r.WithinObjective,
			BeforeDeadline: r.BeforeDeadline, CallerUtility: r.CallerUtility,
			NetUtility: r.NetUtility,
		},
		factors: learn.Factors{
			OwnTokens: r.OwnTokens, QueuedTokens: r.QueuedTokens, Utilisation: r.Utilisation,
			QueuedPerSlot: r.QueuedPerSlot, MemoryPressure: r.MemoryPressure,
		},
		candidate: route.Candidate{
			CachedTokens: r.CachedTokens, CopiedTokens: r.CopiedTokens, Running: r.Running,
			OccupiedTokens: r.OccupiedTokens, QueuedTokens: r.QueuedTokens,
		},
	}
}

// placementUpdate reports to an owner what became of its choice.
type placementUpdate struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	// Request and Response are set in the first update, which reports that the choice is used. If the owner counts
	// the choice already, that update has only the name.
	Request  *placementRequest
	Response *placementResponse
	// FirstEvent is the time from sending to the first event; 0 if there has been none yet.
	FirstEvent time.Duration
	// Ended is set once the attempt has ended, Bad if its response was an error or was
	// truncated, NoResponse if there was none, and Reloading if the worker rejected it and appears
	// to be changing its weights.
	Ended, Bad, NoResponse, Reloading bool
	// ShuttingDown is set if the worker reported that it is shutting down.
	ShuttingDown bool
}

// chooseByOwner returns the choice of the owner of the request's context if that is another cell
// and its choice is better than the local one, or else nil.
func (p *proxiedRequest) chooseByOwner(ctx context.Context, svc *table.Service, local *choice) *choice {
	now := time.Now()
	co := p.relay.owners
	if co == nil || svc.Engine == nil || p.relay.options.Disabled.ContextOwners ||
		now.Sub(p.ownerQueried) < ownerQueryInterval || !p.worthQuerying(now) {
		return nil
	}
	peers := co.ownersOf(p.service, p.contextHash(), now)
	if len(peers) == 0 {
		return nil
	}
	c := p.chooseByPeers(ctx, svc, peers, now)
	if c == nil || (local != nil && local.evaluation.CallerUtility > 0 &&
		local.evaluation.NetUtility > c.evaluation.NetUtility+p.splitCost()) {
		return nil
	}
	return c
}

// chooseInOtherCell returns another cell's choice for a request to a sharded service if this cell
// has no target for it, or nil.
func (p *proxiedRequest) chooseInOtherCell(ctx context.Context, svc *table.Service) *choice {
	now := time.Now()
	co := p.relay.owners
	if co == nil || now.Sub(p.cellsQueried) < ownerQueryInterval {
		return nil
	}
	p.cellsQueried = now
	view := co.fleet.View()
	for _, cell := range view.FallbackCells() {
		peers := co.responsive(view.Owners(cell, fleet.Key("home/"+view.Self()), maxOwnerQueries), now)
		if c := p.chooseByPeers(ctx, svc, peers, now); c != nil {
			return c
		}
	}
	return nil
}

// chooseByPermit returns the choice of another daemon that may have a permit for a target that is
// rate-limited here, or nil.
func (p *proxiedRequest) chooseByPermit(ctx context.Context, svc *table.Service) *choice {
	if p.rateLimited == nil {
		return nil
	}
	return p.chooseByRanked(ctx, svc, p.rateLimited, p.relay.options.Roster.Senders(p.rateLimited))
}

// chooseByShare returns the choice of another daemon that has slots of a target of which this one has
// none, or nil. That daemon counts the request among its own.
func (p *proxiedRequest) chooseByShare(ctx context.Context, svc *table.Service) *choice {
	return p.chooseByRanked(ctx, svc, p.sharedTarget, max(1, p.sharedTarget.Entry().Slots))
}

// chooseByRanked returns the choice of one of the n daemons that rank first for a target, or nil.
func (p *proxiedRequest) chooseByRanked(ctx context.Context, svc *table.Service, t *roster.Target, n int) *choice {
	now := time.Now()
	co := p.relay.owners
	if co == nil || p.relay.options.RankedDaemons == nil || now.Sub(p.permitQueried) < ownerQueryInterval {
		return nil
	}
	p.permitQueried = now
	peers := co.responsive(p.relay.options.RankedDaemons(t, n), now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxOwnerQueries)] {
		if c := p.chooseByPeers(ctx, svc, []string{peer}, now); c != nil {
			return c
		}
	}
	return nil
}

// chooseByPeers returns the choice of the first of some daemons that responds, or nil if that has
// none. The daemons belong to one cell.
func (p *proxiedRequest) chooseByPeers(ctx context.Context, svc *table.Service, peers []string, now time.Time) *choice {
	co := p.relay.owners
	p.ownerQueried = now
	request := p.newPlacementRequest(now)
	for _, peer := range peers {
		response, err := co.query(ctx, peer, request)
		switch {
		case errors.Is(err, wire.ErrRemote):
			// It has no target for the request now.
			return nil
		case err != nil:
			p.note("query to %s: %v", peer, errors.Cause(err))
			co.countedReport(peer, request).reportEnd()
			continue
		}
		c := p.choiceFromResponse(svc, peer, request, response)
		if c == nil {
			co.countedReport(peer, request).reportEnd()
		}
		return c
	}
	return nil
}

// countedReport returns the report on a choice that a peer counts, or nil if it counts none.
func (co *ContextOwners) countedReport(peer string, request *placementRequest) *ownerReport {
	if request.CountAs == "" {
		return nil
	}
	return &ownerReport{owners: co, peer: peer, name: request.CountAs, counted: true}
}

// splitCost returns the cost of caching a context in two cells: for its next request it is copied,
// over a connection that is not yet open.
func (p *proxiedRequest) splitCost() float64 {
	costs := &p.relay.options.Costs
	return costs.NewConnectionCost + costs.CopyPerToken*float64(p.sharedTokens()) + splitLoss*costs.Utility(p.meta.PromptTokens)
}

// splitLoss is the fraction of an answer's utility that is lost by the time of a copy: an answer
// loses a tenth per latency objective, and copying 12,800 tokens across domains takes a tenth of
// that time.
const splitLoss = 0.01

// worthQuerying reports whether prefilling the shared segments takes long enough to justify a
// query.
func (p *proxiedRequest) worthQuerying(now time.Time) bool {
	e := p.estimate(now)
	return e.Time(learn.Factors{OwnTokens: p.sharedTokens()})-e.Time(learn.Factors{}) >= minPrefillTime
}

// newPlacementRequest returns the query for the request.
func (p *proxiedRequest) newPlacementRequest(now time.Time) *placementRequest {
	request := &placementRequest{
		Service: p.service, Route: p.route.Name, LatencyObjective: p.route.LatencyObjective,
		Model: p.meta.Model, Scope: p.scope,
		PromptTokens: p.meta.PromptTokens,
		BodyBytes:    p.bodyBytes, OriginDomain: p.relay.options.Domain, Elapsed: now.Sub(p.start),
		Remaining: p.deadline.Sub(now),
		Regions:   p.regions, Versions: p.versions, Resumable: p.route.Kind == table.Stream && p.route.Resumable,
		RateLimits: p.relay.options.Roster.RateLimits(p.service), NeedsPermit: p.rateLimited != nil,
	}
	if p.sharedTarget != nil {
		request.CountAs = p.relay.owners.newPlacementName()
	}
	for _, segment := range p.meta.Segments {
		request.Segments = append(request.Segments, placementSegment{ID: segment.ID, Tokens: segment.Tokens})
	}
	for id := range p.tried {
		request.Excluded = append(request.Excluded, id)
	}
	request.Excluded = append(request.Excluded, p.relay.options.Roster.SelfUnavailable(p.service)...)
	return request
}

// choiceFromResponse returns a response as a choice, or nil if this daemon may not send to the
// target that it names.
func (p *proxiedRequest) choiceFromResponse(svc *table.Service, peer string, request *placementRequest, response *placementResponse) *choice {
	co, t := p.relay.owners, p.relay.options.Roster.Target(response.Target)
	if p.relay.sharded(p.service) && response.ListAge <= maxExternalListAge {
		t = p.relay.options.Roster.AddExternal(response.entry(p.service, p.meta.Model))
	}
	if t == nil || p.attempted(t, t.Entry().Address) || !p.domainAllowed(t.Entry().Domain) || !p.versions.Allows(t.Entry().Version) || p.untilRouteSettled(p.service) > 0 ||
		p.untilSettled(t.Entry().Version) > 0 ||
		(svc.Engine != nil && response.WeightVersion <= 0) || p.weightsOutdated(response.WeightVersion) > 0 {
		return nil
	}
	availability := p.relay.options.Roster.Availability(time.Now())
	reason, _ := availability.Reason(t)
	if (reason != roster.Available && reason != roster.RateLimited) ||
		(availability.RateLimited(t) && !response.PermitHeld) {
		return nil
	}
	address := t.Entry().Address
	p.limitConnections(svc, address, true)
	if p.relay.options.Pool.FreeCapacity(address) <= 0 {
		return nil
	}
	c := response.choice(t, p.meta.PromptTokens)
	if c.report = co.countedReport(peer, request); c.report != nil {
		// The peer counts it among its own.
		c.load = roster.Load{}
		return c
	}
	if svc.Engine == nil {
		// The other cell counts no load and gets no updates for it.
		c.load = roster.Load{Running: 1}
		return c
	}
	c.report = &ownerReport{
		owners: co, peer: peer, name: co.newPlacementName(), request: request,
		response: response,
	}
	return c
}

// ownersOf returns the daemons to query for a context, best first, or none if this daemon's own
// cell is its owner. A daemon always queries the same daemons of a cell, so that it needs only one
// link per cell.
func (co *ContextOwners) ownersOf(service string, contextHash uint64, now time.Time) []string {
	view := co.fleet.View()
	if view.Cells() <= 1 {
		return nil
	}
	cell := co.ownerCell(view, service, contextHash)
	if cell == view.Cell() {
		return nil
	}
	return co.responsive(view.Owners(cell, fleet.Key("home/"+view.Self()), maxOwnerQueries), now)
}

// ownerCell returns the cell that owns a context. Each cell has about the same number of targets of
// a sharded service; of other services, it has targets in proportion to its daemons.
func (co *ContextOwners) ownerCell(view *fleet.View, service string, contextHash uint64) int {
	if co.relay.sharded(service) {
		return view.KeyCell(contextHash)
	}
	return view.WeightedCell(contextHash)
}

// responsive returns those of some daemons that are not in backoff.
func (co *ContextOwners) responsive(names []string, now time.Time) []string {
	return slices.DeleteFunc(names, func(name string) bool { return !co.backoff.Ready(name, now) })
}

// query queries one daemon.
func (co *ContextOwners) query(ctx context.Context, peer string, request *placementRequest) (*placementResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, co.timeout)
	defer cancel()
	var response placementResponse
	began := time.Now()
	err := co.fleet.Call(ctx, peer, kindPlacementRequest, request, &response)
	if err != nil && !errors.Is(err, wire.ErrRemote) {
		co.backoff.RecordFailure(peer, began, time.Now())
		return nil, err
	}
	co.backoff.RecordSuccess(peer, time.Now())
	return &response, err
}

// newPlacementName returns a new name for a choice, unique in the fleet.
func (co *ContextOwners) newPlacementName() string {
	return co.fleet.View().Self() + "/" + strconv.FormatInt(co.relay.start.UnixNano(), 36) +
		"/" + strconv.FormatInt(co.sequence.Add(1), 36)
}

// ownerReport collects and sends the updates for a choice to the daemon that made it. A nil report
// does nothing. It is used by one goroutine.
type ownerReport struct {
	owners     *ContextOwners
	peer, name string
	request    *placementRequest
	response   *placementResponse
	// counted is set if the peer counts the choice already.
	counted bool
	// bad, noResponse, reloading and shuttingDown are sent with the final update.
	bad, noResponse, reloading, shuttingDown bool
}

// send sends an update in the background. If it is lost, the placement expires at the owner.
func (o *ownerReport) send(update *placementUpdate) {
	update.Name = o.name
	go updateSender{o.owners, o.peer, update}.run()
}

// reportSent reports that the choice is used.
func (o *ownerReport) reportSent() {
	if o.counted {
		o.send(&placementUpdate{})
		return
	}
	o.send(&placementUpdate{Request: o.request, Response: o.response})
}

// reportFirstEvent reports the time to the first event.
func (o *ownerReport) reportFirstEvent(took time.Duration) {
	o.send(&placementUpdate{FirstEvent: took})
}

// recordResponse records whether a response was good.
func (o *ownerReport) recordResponse(good bool) {
	if o != nil {
		o.bad = o.bad || !good
	}
}

// recordNoResponse records that there was no response.
func (o *ownerReport) recordNoResponse() {
	if o != nil {
		o.noResponse = true
	}
}

// recordReload records that the worker appears to be changing its weights.
func (o *ownerReport) recordReload() {
	if o != nil {
		o.reloading = true
	}
}

// recordShutdown records that the worker reported that it is shutting down.
func (o *ownerReport) recordShutdown() {
	if o != nil {
		o.shuttingDown = true
	}
}

// reportEnd reports that the attempt has ended.
func (o *ownerReport) reportEnd() {
	if o != nil {
		o.send(&placementUpdate{
			Ended: true, Bad: o.bad, NoResponse: o.noResponse, Reloading: o.reloading,
			ShuttingDown: o.shuttingDown,
		})
	}
}

// updateSender sends one update to an owner.
type updateSender struct {
	owners *ContextOwners
	peer   string
	update *placementUpdate
}

func (t updateSender) run() {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	// An owner that does not receive it counts the placement until that expires.
	_ = t.owners.fleet.Notify(ctx, t.peer, kindPlacementUpdate, t.update)
}
