package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
)

// ownedPlacement is a choice of this daemon that another daemon sends.
type ownedPlacement struct {
	request *proxiedRequest
	// choice is nil if the end was reported before the start.
	choice *choice
	// load is the load still counted for it, and deadline when it may be removed.
	load     roster.Load
	deadline time.Time
	// isUsed is set once the other daemon has reported that it uses the choice.
	isUsed bool
}

var errCannotPlace = errors.New("this daemon cannot place the request")

// handlePlacementRequest chooses a target for another daemon's request.
func (co *ContextOwners) handlePlacementRequest(_ context.Context, _ string, request *placementRequest) (*placementResponse, error) {
	p, svc := co.requestOf(request)
	if svc == nil || request.Scope == "" || (svc.Engine == nil && !co.relay.sharded(request.Service) && !request.NeedsPermit && request.CountAs == "") {
		return nil, errors.WithStack(errCannotPlace)
	}
	co.relay.options.Roster.MergeRateLimits(request.RateLimits)
	for {
		c, reason := p.chooseLocal(svc, time.Now())
		if c == nil || c.evaluation.CallerUtility <= 0 {
			c.releaseLoad()
			return nil, errors.Wrap(errCannotPlace, reason)
		}
		if request.CountAs == "" {
			// The other daemon reports if it uses the choice.
			c.releaseLoad()
		}
		if p.acquire(c, time.Now()) {
			co.count(request.CountAs, p, c)
			return newPlacementResponse(c, co.relay.options.ViewAge()), nil
		}
		c.releaseLoad()
	}
}

// count counts a choice that another daemon uses, under a name, until its end is reported. Its load was
// added when it was chosen.
func (co *ContextOwners) count(name string, p *proxiedRequest, c *choice) {
	if name == "" {
		return
	}
	co.placementsMu.Lock()
	defer co.placementsMu.Unlock()
	if co.placements[name] != nil {
		// The report of its end arrived first: the other daemon did not wait.
		delete(co.placements, name)
		c.releaseLoad()
		return
	}
	co.placements[name] = &ownedPlacement{request: p, choice: c, load: c.load, deadline: p.deadline}
}

// requestOf returns another daemon's request in the form that decisions use.
func (co *ContextOwners) requestOf(request *placementRequest) (*proxiedRequest, *table.Service) {
	now, t := time.Now(), co.relay.Table()
	if t == nil {
		return nil, nil
	}
	p := &proxiedRequest{
		relay: co.relay, start: now.Add(-request.Elapsed), deadline: now.Add(request.Remaining),
		table: t, service: request.Service, tried: map[string]int{},
		meta:      RequestMeta{Model: request.Model, PromptTokens: request.PromptTokens},
		route:     &table.Route{Name: request.Route, LatencyObjective: request.LatencyObjective},
		bodyBytes: request.BodyBytes, originDomain: request.OriginDomain, remote: true,
		regions: request.Regions, versions: request.Versions, scope: request.Scope,
	}
	if request.Resumable {
		p.route.Kind, p.route.Resumable = table.Stream, true
	}
	for _, segment := range request.Segments {
		p.meta.Segments = append(p.meta.Segments, cache.Segment{ID: segment.ID, Tokens: segment.Tokens})
	}
	for _, id := range request.Excluded {
		p.tried[id]++
	}
	return p, t.Service(request.Service)
}

// handlePlacementUpdate processes an update on a choice.
func (co *ContextOwners) handlePlacementUpdate(_ context.Context, _ string, update *placementUpdate) (struct{}, error) {
	now := time.Now()
	co.placementsMu.Lock()
	defer co.placementsMu.Unlock()
	pl := co.placements[update.Name]
	if update.Request != nil && update.Response != nil {
		if pl == nil {
			co.addPlacement(update, now)
		} else {
			// The report of its end arrived first.
			delete(co.placements, update.Name)
		}
		return struct{}{}, nil
	}
	if pl == nil {
		if update.Ended {
			co.placements[update.Name] = &ownedPlacement{deadline: now.Add(expiryInterval)}
		}
		return struct{}{}, nil
	}
	switch {
	case pl.choice == nil:
	case *update == placementUpdate{Name: update.Name}:
		pl.recordUse(now)
	default:
		pl.apply(update, now)
	}
	if update.Ended {
		delete(co.placements, update.Name)
	}
	return struct{}{}, nil
}

// addPlacement counts the load of a choice that is used. It is called with placementsMu held.
func (co *ContextOwners) addPlacement(update *placementUpdate, now time.Time) {
	t := co.relay.options.Roster.Target(update.Response.Target)
	p, svc := co.requestOf(update.Request)
	if t == nil || svc == nil || svc.Engine == nil {
		return
	}
	c := update.Response.choice(t, update.Request.PromptTokens)
	c.eligible = eligibleTarget{target: t, entry: t.Entry(), weightVersion: update.Response.WeightVersion}
	c.plan = p.planSegments(svc, c.eligible, p.findSegments(c.eligible.weightVersion, now), now)
	if len(update.Response.CopyFrom) == 0 {
		c.plan.copyCount, c.plan.copyTime = 0, 0
	}
	pl := &ownedPlacement{request: p, choice: c, load: c.load, deadline: p.deadline}
	pl.recordUse(now)
	t.AddLoad(c.load)
	co.placements[update.Name] = pl
	co.relay.options.PublishState()
}

// recordUse records that the other daemon uses the choice.
func (pl *ownedPlacement) recordUse(now time.Time) {
	if pl.isUsed || !pl.request.isPrompt() {
		return
	}
	pl.isUsed = true
	pl.request.recordUse(pl.choice, now)
	pl.request.recordPrefill(pl.choice, now)
}

// apply records the result of the choice and releases its load.
func (pl *ownedPlacement) apply(update *placementUpdate, now time.Time) {
	c := pl.choice
	if update.ShuttingDown {
		pl.request.relay.options.Roster.RecordShutdown(c.target.ID(), roster.ByPeer)
	}
	switch {
	case update.Reloading:
		pl.request.recordReload(c)
	case update.NoResponse:
		pl.request.recordNoResponse(c)
	case update.Bad:
		pl.request.recordResponse(c, false)
	case update.FirstEvent > 0:
		pl.request.recordResponse(c, true)
		pl.request.learnFromFirstAnswer(c, update.FirstEvent, now)
	}
	released := roster.Load{QueuedTokens: pl.load.QueuedTokens}
	if update.Ended {
		released = pl.load
	}
	pl.releaseLoad(released)
}

// releaseLoad releases part of the counted load.
func (pl *ownedPlacement) releaseLoad(l roster.Load) {
	if pl.choice != nil {
		pl.choice.target.RemoveLoad(l)
		pl.request.relay.loadRemoved()
	}
	pl.load.Running -= l.Running
	pl.load.QueuedTokens -= l.QueuedTokens
	pl.load.OccupiedTokens -= l.OccupiedTokens
}

// Run removes placements whose end was not reported, until ctx ends.
func (co *ContextOwners) Run(ctx context.Context) {
	wait.Every(ctx, expiryInterval, func() { co.removeExpired(time.Now()) })
}

// removeExpired removes placements whose end was not reported.
func (co *ContextOwners) removeExpired(now time.Time) {
	co.placementsMu.Lock()
	defer co.placementsMu.Unlock()
	for name, pl := range co.placements {
		if now.After(pl.deadline.Add(expiryInterval)) {
			pl.releaseLoad(pl.load)
			delete(co.placements, name)
		}
	}
}
