package relay

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/listen"
	"embertally.dev/core/table"
)

// finish answers the request if that has not been done, ends the answer, and writes the log line. An answer that was not
// passed on to its end must not look complete, whatever the reason.
func (p *proxiedRequest) finish(refusal *entry.Refusal) {
	if refusal != nil {
		p.refuse(refusal)
	}
	took := time.Since(p.start)
	p.writeLog(p.countEnd(refusal, took), took)
	if !p.complete {
		p.abort()
	}
}

// refuse answers the request with a refusal. One that tells that the request was not executed needs the proof for each
// attempt.
func (p *proxiedRequest) refuse(refusal *entry.Refusal) {
	if p.executions > 0 && (isPromise(refusal.Status) || refusal.Ran == entry.NotRun) {
		p.relay.options.Log.Emit(event.InvariantBroken, p.ref(), "refused as not run after it was sent: "+refusal.Error())
		*refusal = *p.outcomeUnknown()
	}
	if isPromise(refusal.Status) && !p.mayPromise() {
		p.note("another request with its ID may run: %s", refusal.Error())
		*refusal = *p.refuseID()
	}
	p.relay.options.Dialect.WriteRefusal(p.w.Header(), p.meta.AttemptID, refusal.RetryAfter)
	p.note("%s", refusal.Error())
	if err := refusal.Write(p.w, p.meta.AttemptID); err != nil {
		p.note("the caller disconnected: %v", err)
		return
	}
	p.complete = true
}

// countEnd counts how the request ended, and returns the code of its log line.
func (p *proxiedRequest) countEnd(refusal *entry.Refusal, took time.Duration) event.Code {
	stats := p.relay.options.Stats
	switch {
	case callerDisconnected(p.r.Context()):
		stats.CallersDisconnected.Inc()
		p.noteLeft()
		return event.CallerGone
	case refusal != nil:
		if refusal.Ran == entry.NotRun {
			stats.Refused.Inc()
		} else {
			stats.Failed.Inc()
		}
		return event.RequestRefused
	case !p.complete:
		stats.AnswersTruncated.Inc()
		return event.StreamBroken
	}
	stats.Completed.Inc()
	stats.TotalSeconds.Update(took.Seconds())
	return event.RequestDone
}

// noteLeft records what the caller had of the answer when it closed its connection or the sending half of it, after which
// it may still read.
func (p *proxiedRequest) noteLeft() {
	switch {
	case p.complete:
		p.note("left after the end")
		return
	case p.headerSent && p.route.Kind == table.Stream:
		p.note("left after event %q", p.lastEventID)
	case p.headerSent:
		p.note("left after the header")
	default:
		p.note("left before the header")
	}
	if p.headerSent {
		p.relay.options.Stats.AnswersLeft.Inc()
	}
}

// abort ends the caller's connection so that the answer does not look complete. With chunks or a length it is
// enough to close it.
func (p *proxiedRequest) abort() {
	if p.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(p.w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp := listen.TCP(conn); tcp != nil {
		// An error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// note records a decision for the log line.
func (p *proxiedRequest) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf(format, args...))
}

// noteSkipped records the targets that a choice skipped for their self-reported state.
func (p *proxiedRequest) noteSkipped() {
	if len(p.skipped) > 0 {
		p.note("skipped: %s", strings.Join(p.skipped, ", "))
		p.skipped = nil
	}
}

// ref returns the references of the request's log lines.
func (p *proxiedRequest) ref() event.Ref {
	ref := event.Ref{Request: p.meta.AttemptID}
	if p.lastTarget != nil {
		ref.Target = p.lastTarget.ID()
	}
	if p.organisation != nil {
		ref.Organisation = p.organisation.Name
	}
	if p.route != nil {
		ref.Resource = p.route.Name
	}
	return ref
}

// writeLog writes the log line of a request. took is its total time.
func (p *proxiedRequest) writeLog(code event.Code, took time.Duration) {
	first := ""
	if !p.firstAt.IsZero() {
		first = " first " + p.firstAt.Sub(p.start).Round(time.Millisecond).String()
	}
	var version int64
	if p.table != nil {
		version = p.table.Version()
	}
	text := fmt.Sprintf("took %s%s, %s, configuration %d%s, attempts %d, executions %d; %s",
		took.Round(time.Millisecond), first, p.sent, version, p.relay.knowledge(), p.attempts, p.executions, strings.Join(p.notes, "; "))
	if p.forecast != nil {
		p.forecast.Sends = p.attempts
	}
	p.relay.options.Log.EmitForecast(code, p.ref(), text, p.forecast)
}

// knowledge returns by what this daemon takes its configuration and its list of targets for current, to be appended to
// the text of a log line.
func (rl *Relay) knowledge() string {
	if rl.options.Knowledge == nil {
		return ""
	}
	return ", " + rl.options.Knowledge()
}

// recordForecast records what is expected of the first attempt.
func (p *proxiedRequest) recordForecast(c *choice) {
	if p.forecast != nil {
		return
	}
	p.forecast = &event.Forecast{
		Service: p.service, Target: c.target.ID(), ExpectedMillis: event.Millis(c.evaluation.Expected),
		InTime: c.evaluation.WithinObjective, Served: c.evaluation.BeforeDeadline,
		AimMillis: event.Millis(p.route.LatencyObjective - time.Since(p.start)),
	}
}
