package relay

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"embertally.dev/core/entry"
	"embertally.dev/core/event"
)

// end gives the final answer where there is none yet, and writes the log line.
func (p *pass) end(r *entry.Refusal) {
	st := p.relay.o.Stats
	took := time.Since(p.began)
	switch {
	case gone(p.r.Context()):
		st.Gone.Inc()
		p.log(event.CallerGone, took)
	case r != nil:
		if r.Ran == entry.NotRun {
			st.Refused.Inc()
		} else {
			st.Failed.Inc()
		}
		p.relay.o.Dialect.Refusal(p.w.Header(), p.ask.ID, r.RetryAfter)
		p.note("%s", r.Error())
		if err := r.Write(p.w, p.ask.ID); err != nil {
			p.note("the caller has gone: %v", err)
		}
		p.log(event.RequestRefused, took)
	case p.aborted:
		st.Cut.Inc()
		p.log(event.StreamBroken, took)
		// The connection is reset, so that the answer does not look whole.
		panic(http.ErrAbortHandler)
	default:
		st.Done.Inc()
		st.Whole.Update(took.Seconds())
		p.log(event.RequestDone, took)
	}
}

// note records a decision for the log line.
func (p *pass) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf(format, args...))
}

// noteWords records which targets a choice passed over by what they said.
func (p *pass) noteWords() {
	if len(p.words) > 0 {
		p.note("passed over: %s", strings.Join(p.words, ", "))
		p.words = nil
	}
}

// ref returns what the log lines of the request refer to.
func (p *pass) ref() event.Ref {
	ref := event.Ref{Request: p.ask.ID}
	if p.last != nil {
		ref.Target = p.last.ID()
	}
	if p.organisation != nil {
		ref.Organisation = p.organisation.Name
	}
	if p.route != nil {
		ref.Resource = p.route.Name
	}
	return ref
}

// log writes the log line of a request that took so long.
func (p *pass) log(code event.Code, took time.Duration) {
	first := ""
	if !p.first.IsZero() {
		first = " first " + p.first.Sub(p.began).Round(time.Millisecond).String()
	}
	var version int64
	if p.table != nil {
		version = p.table.Version()
	}
	text := fmt.Sprintf("took %s%s, asks %s, configuration %d known %s ago, sends %d, runs %d; %s",
		took.Round(time.Millisecond), first, p.asks, version, p.relay.o.Age().Round(10*time.Millisecond), p.sends, p.runs, strings.Join(p.notes, "; "))
	if p.forecast != nil {
		p.forecast.Sends = p.sends
	}
	p.relay.o.Log.EmitForecast(code, p.ref(), text, p.forecast)
}

// expect records what is expected of the first send.
func (p *pass) expect(c *choice) {
	if p.forecast != nil {
		return
	}
	p.forecast = &event.Forecast{
		Service: p.service, Target: c.target.ID(), ExpectedMillis: event.Millis(c.judged.Expected),
		InTime: c.judged.InTime, Served: c.judged.Served, AimMillis: event.Millis(p.route.Aim - time.Since(p.began)),
	}
}
