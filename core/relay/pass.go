package relay

import (
	"context"
	"net/http"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
)

// pass is one request on its way. It is used by one goroutine.
type pass struct {
	relay *Relay
	w     http.ResponseWriter
	r     *http.Request
	began time.Time
	until time.Time
	awake awake

	ask          Ask
	route        *table.Route
	organisation *table.Organisation
	table        *table.Table
	regions      regions
	body         []byte
	// asks is the fingerprint of the request; zero until its body is read.
	asks    poison.Fingerprint
	service string
	// size is that of the body, and domain where it comes from.
	size   int
	domain string
	// side says which versions of the service it may go to.
	side canary.Side
	// far tells that another daemon sends the request: this one only decides.
	far bool
	// homeAsked is when the home of the request's context was asked last.
	homeAsked time.Time
	// elsewhereAsked is when other cells were asked for a target last.
	elsewhereAsked time.Time
	// tokenAsked is when another daemon was last asked for a target that is over its limit here.
	tokenAsked time.Time

	// tried counts the sends to each target.
	tried map[string]int
	// sends counts the sends that arrived or may have, runs those of them that
	// may have run.
	sends, runs int
	// last is the target of the last send.
	last *roster.Target
	// begun tells that the head of the answer was passed on.
	begun bool
	// after is the last event that the caller has.
	after string
	first time.Time
	// words are targets that the last choice passed over by what they said, and why.
	words []string
	// over is a target that the last choice passed over for its limit, or nil.
	over *roster.Target
	// line is how long the best target was last expected to take.
	line time.Duration
	// forecast is what was expected of the first send; nil before.
	forecast *event.Forecast
	// aborted tells that the answer was cut.
	aborted bool
	// notes are the decisions, for the log.
	notes []string
}

// lateMargin is how long after the limit the target's own last word is still
// waited for; the users' rules allow half a second.
const lateMargin = 60 * time.Millisecond

// run sends the request until it is answered, or says why not.
func (p *pass) run() *entry.Refusal {
	p.service = p.route.Service(draw())
	p.side = p.relay.o.Canary.Choose(p.service)
	p.relay.earn(p.service, p.relay.o.Prices.Worth(p.ask.Prompt), p.began)
	p.after = p.ask.After
	ctx, cancel := context.WithDeadline(p.r.Context(), p.until.Add(lateMargin))
	defer cancel()
	var kept *plainAnswer
	unsent := 0
	for {
		c, why := p.chooseSoon(ctx)
		if c == nil {
			return p.giveUp(kept, why)
		}
		p.last = c.target
		p.expect(c)
		p.tried[c.target.ID()]++
		out, ans := p.attempt(ctx, c)
		p.note("%s=%s", c.target.ID(), out)
		if ans != nil {
			kept = ans
		}
		switch out {
		case done, left, cut:
			return nil
		case late:
			return p.giveUp(kept, "the time is up")
		case stopped:
			// It is chosen no more as long as that holds.
			p.untry(c.target.ID())
		case notSent:
			// The target got nothing; another one may get the request.
			if unsent++; unsent >= unsentMost {
				return p.giveUp(kept, "no target can be reached")
			}
		case refused, broken, bad:
			if !p.again(out) {
				return p.giveUp(kept, "it may not be sent again")
			}
			p.side = p.side.Aside()
		}
	}
}

// untry takes back that a target was sent to.
func (p *pass) untry(id string) {
	if p.tried[id]--; p.tried[id] <= 0 {
		delete(p.tried, id)
	}
}

// endsTargets says that targets end of a request.
const endsTargets = "targets end of it"

// holdLook is the pause between looks for a place.
const holdLook = 15 * time.Millisecond

// chooseSoon chooses a target. Where none is worth taking now the request waits,
// as long as it could still be answered in time.
func (p *pass) chooseSoon(ctx context.Context) (*choice, string) {
	alone := false
	defer func() {
		if alone {
			p.relay.waiters.leave(p.service)
		}
	}()
	for {
		p.wake()
		if _, blocked := p.relay.o.Poison.Blocked(p.asks); blocked {
			// It has waited, or has just ended one more target.
			return nil, endsTargets
		}
		c, why := p.choose(ctx)
		if c != nil {
			p.line = c.judged.Expected
		}
		if c != nil && (c.judged.Gain > 0 || p.relay.o.Without.Refusals) {
			if !p.spend(c, time.Now()) {
				c.release()
				continue
			}
			p.noteWords()
			p.take(c, time.Now())
			return c, why
		}
		c.release()
		switch {
		case c == nil && why == allRest && p.hopeful(p.line):
			// The first rest ends soon enough.
		case c == nil && why == allLimited && p.hopeful(p.line) && p.waitAlone(&alone):
			// The first token comes soon enough, and no other request waits for it.
		case c == nil && why != allFull:
			return nil, why
		case p.relay.o.Without.Waiting, !p.hopeful(0):
			return nil, allFull
		}
		if !wait.For(ctx, holdLook) {
			return nil, why
		}
	}
}

// hopefulChance is the chance of an answer in time below which a request waits no
// longer for a place.
const hopefulChance = 0.5

// hopeful reports whether an answer is likely to come in time if a target takes
// the request some time from now.
func (p *pass) hopeful(in time.Duration) bool {
	now := time.Now().Add(in)
	e := p.estimate(now)
	expected := e.Time(learn.Factors{Own: p.ask.Prompt - p.shared()})
	return e.Chance((p.route.Aim-now.Sub(p.began)).Seconds()/expected.Seconds()) >= hopefulChance
}

// Bounds on sends of one request.
const (
	// refusedMost is how many targets may refuse a request before it is given
	// up: more would only add to an overload.
	refusedMost = 2
	// unsentMost is how many targets may be unreachable.
	unsentMost = 4
	// shortest is the time below which a send is not worth while: a target
	// would only throw the request away.
	shortest = 20 * time.Millisecond
	// endsMost is how many runs of targets may have ended under a request before the
	// daemons repeat it no more of themselves: its caller may, once.
	endsMost = 2
)

// again reports whether the request may be sent once more, and takes the send
// out of what is allowed.
func (p *pass) again(out outcome) bool {
	p.wake()
	switch {
	case time.Until(p.until) < shortest:
		return false
	case out != refused && !p.route.MayRepeat():
		return false
	case p.runs >= p.route.Attempts:
		return false
	case p.sends-p.runs > refusedMost, p.relay.o.Without.Repeats:
		return false
	case out == broken && p.relay.o.Poison.Ends(p.asks) >= endsMost:
		p.note("it may be what targets end of")
		return false
	}
	if !p.relay.mayRepeat(p.service) {
		p.note("retries are used up")
		return false
	}
	p.relay.o.Stats.Repeated.Inc()
	return true
}

// giveUp is the final answer of a request that got none from a target.
func (p *pass) giveUp(kept *plainAnswer, why string) *entry.Refusal {
	p.noteWords()
	p.note("given up: %s", why)
	switch {
	case p.begun:
		p.aborted = true
		return nil
	case kept != nil:
		kept.write(p)
		return nil
	case p.runs == 0:
		if refusal := p.blocked(); refusal != nil {
			return refusal
		}
		// Where it was blocked, that was taken back just now.
		if later(why) {
			return p.notBefore(entry.CodeNoTarget, "no target takes the request now: "+why, p.line)
		}
		return p.notNow(entry.CodeNoTarget, "no target takes the request now: "+why, p.line)
	case !time.Now().Before(p.until):
		return entry.NewRefusal(http.StatusGatewayTimeout, entry.CodeTimeout, entry.Unknown, "no answer came in time", 0)
	}
	return entry.NewRefusal(http.StatusBadGateway, entry.CodeOutcomeUnknown, entry.Unknown, "the target gave no answer; whether it ran is not known", 0)
}

// salt returns the name under which the parts of a request are kept by a
// worker with a version of the weights.
func (p *pass) salt(version int64) cache.PartSalt {
	s := cache.PartSalt{Model: p.ask.Model, Version: version}
	if p.organisation != nil && p.organisation.Isolated {
		s.Wall = p.organisation.Name
	}
	return s
}
