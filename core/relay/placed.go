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

// placement is a choice of this daemon that another one sends.
type placement struct {
	pass *pass
	// choice is nil where its end was told before its begin.
	choice *choice
	// load is what is still counted of it, and until is when it is given up.
	load  roster.Load
	until time.Time
}

var errNotHome = errors.New("this daemon cannot decide about the prompt")

// place answers what to do with a prompt that another daemon has.
func (h *Homes) place(_ context.Context, _ string, ask *placeAsk) (*placeAnswer, error) {
	p, svc := h.passOf(ask)
	if svc == nil || (svc.Engine == nil && !h.relay.divided(ask.Service) && !ask.ForToken) {
		return nil, errors.WithStack(errNotHome)
	}
	h.relay.o.Roster.MergeLimits(ask.Limits)
	for {
		c, why := p.chooseOwn(svc, time.Now())
		// The asker tells when it makes use of it.
		c.release()
		if c == nil || c.judged.Gain <= 0 {
			return nil, errors.Wrap(errNotHome, why)
		}
		if p.spend(c, time.Now()) {
			return answerOf(c, h.relay.o.Age()), nil
		}
	}
}

// passOf returns a request of another daemon as decisions see it.
func (h *Homes) passOf(ask *placeAsk) (*pass, *table.Service) {
	now, t := time.Now(), h.relay.Table()
	if t == nil {
		return nil, nil
	}
	p := &pass{
		relay: h.relay, began: now.Add(-ask.Spent), until: now.Add(ask.Left), table: t, service: ask.Service, tried: map[string]int{},
		ask: Ask{Model: ask.Model, Prompt: ask.Prompt}, route: &table.Route{Name: ask.Route, Aim: ask.Aim}, size: ask.Size, domain: ask.Domain, far: true, regions: ask.Regions, side: ask.Side,
	}
	if ask.Wall != "" {
		p.organisation = &table.Organisation{Name: ask.Wall, Isolated: true}
	}
	for _, part := range ask.Parts {
		p.ask.Parts = append(p.ask.Parts, cache.Part{ID: part.ID, Tokens: part.Tokens})
	}
	for _, id := range ask.Tried {
		p.tried[id]++
	}
	return p, t.Service(ask.Service)
}

// news takes what became of a choice.
func (h *Homes) news(_ context.Context, _ string, n *placeNews) (struct{}, error) {
	now := time.Now()
	h.placedMu.Lock()
	defer h.placedMu.Unlock()
	pl := h.placed[n.Name]
	if n.Ask != nil && n.Answer != nil {
		if pl == nil {
			h.put(n, now)
		} else {
			// Its end overtook it.
			delete(h.placed, n.Name)
		}
		return struct{}{}, nil
	}
	if pl == nil {
		if n.Ended {
			h.placed[n.Name] = &placement{until: now.Add(placedSweep)}
		}
		return struct{}{}, nil
	}
	if pl.choice != nil {
		pl.learn(n, now)
	}
	if n.Ended {
		delete(h.placed, n.Name)
	}
	return struct{}{}, nil
}

// put counts a choice that is sent. It is called with placedMu held.
func (h *Homes) put(n *placeNews, now time.Time) {
	t := h.relay.o.Roster.Target(n.Answer.Target)
	p, svc := h.passOf(n.Ask)
	if t == nil || svc == nil || svc.Engine == nil {
		return
	}
	c := n.Answer.choice(t, n.Ask.Prompt)
	c.option = option{target: t, entry: t.Entry(), version: n.Answer.Weights}
	c.plan = p.plan(svc, c.option, p.find(c.option.version, now), now)
	if len(n.Answer.Copy) == 0 {
		c.plan.copied, c.plan.time = 0, 0
	}
	p.occupy(c, now)
	t.Begin(c.load)
	h.placed[n.Name] = &placement{pass: p, choice: c, load: c.load, until: p.until}
	h.relay.o.Placed()
}

// learn takes what came of the choice, and ends what is counted of it.
func (pl *placement) learn(n *placeNews, now time.Time) {
	c := pl.choice
	if n.Leaves {
		pl.pass.relay.o.Roster.Leaves(c.target.ID(), roster.ByPeer)
	}
	switch {
	case n.Reloads:
		pl.pass.reloads(c)
	case n.Silent:
		pl.pass.silent(c)
	case n.Bad:
		pl.pass.answered(c, false)
	case n.First > 0:
		pl.pass.answered(c, true)
		pl.pass.learnFirst(c, n.First, now)
	}
	done := roster.Load{Unread: pl.load.Unread}
	if n.Ended {
		done = pl.load
	}
	pl.end(done)
}

// end takes back part of what is counted.
func (pl *placement) end(l roster.Load) {
	if pl.choice != nil {
		pl.choice.target.End(l)
	}
	pl.load.Running -= l.Running
	pl.load.Unread -= l.Unread
	pl.load.Held -= l.Held
}

// Run gives up choices whose end was not told, until ctx ends.
func (h *Homes) Run(ctx context.Context) {
	wait.Every(ctx, placedSweep, func() { h.sweep(time.Now()) })
}

// sweep gives up choices whose end was not told.
func (h *Homes) sweep(now time.Time) {
	h.placedMu.Lock()
	defer h.placedMu.Unlock()
	for name, pl := range h.placed {
		if now.After(pl.until.Add(placedSweep)) {
			pl.end(pl.load)
			delete(h.placed, name)
		}
	}
}
