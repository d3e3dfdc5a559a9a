package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/memory"
	"embertally.dev/core/poison"
	"embertally.dev/core/target"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// writeTimeout bounds the time for writing one event to a slow caller.
const writeTimeout = 10 * time.Second

var errEventTooLong = errors.New("an event of the stream is too long")

// eventTooLongError is errEventTooLong with what was read.
type eventTooLongError struct{ bytes int }

// Error returns what was read.
func (e *eventTooLongError) Error() string {
	return fmt.Sprintf("%v: %d bytes without its end", errEventTooLong, e.bytes)
}

// Is reports whether the other error is errEventTooLong.
func (*eventTooLongError) Is(other error) bool { return other == errEventTooLong }

// rawEvent is one event of a stream, with all its bytes.
type rawEvent struct {
	raw []byte
	id  string
	// comment means that it has no field, as the comments that keep a connection in use.
	comment bool
}

// nextEvent reads one event, whose bytes it adds to held. At the end of the stream it returns io.EOF or target.ErrUnmarkedEnd, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func nextEvent(r *bufio.Reader, held *memory.Holding) (rawEvent, error) {
	ev := rawEvent{comment: true}
	line := 0        // where the current line begins
	content := false // there is something besides white space
	for {
		part, err := r.ReadSlice('\n')
		if full := held.Grow(int64(len(part))); full != nil {
			return ev, full
		}
		ev.raw = append(ev.raw, part...)
		content = content || len(bytes.TrimSpace(part)) > 0
		switch {
		case len(ev.raw) > maxEventBytes:
			return ev, errors.WithStack(&eventTooLongError{len(ev.raw)})
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			if target.IsEnd(err) && content {
				err = io.ErrUnexpectedEOF
			}
			return ev, errors.WithStack(err)
		}
		text := bytes.TrimRight(ev.raw[line:], "\r\n")
		line = len(ev.raw)
		if len(text) == 0 && content {
			return ev, nil
		}
		ev.comment = ev.comment && (len(text) == 0 || text[0] == ':')
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
	}
}

// passOnStream passes on the events of a response. If the stream breaks, another worker may resume
// the request after the last event that the caller has received.
func (p *proxiedRequest) passOnStream(f *flight, respMeta *ResponseMeta) outcome {
	c, resp := f.c, f.resp
	if !respMeta.Signed || respMeta.Encoded {
		resp.Discard()
		p.recordResponse(c, false)
		return outcomeIncomplete
	}
	r := bufio.NewReaderSize(resp, 2<<10)
	st, held := &responseStream{gaps: p.newGapObserver(c)}, p.hold(memory.Events)
	for {
		if len(st.comments) == 0 {
			held.Release()
		}
		ev, err := nextEvent(r, held)
		if target.IsEnd(err) {
			return p.endStream(c, resp, st, err)
		}
		if err != nil {
			if st.events == 0 && errors.Is(context.Cause(f.ctx), errLateBegin) {
				p.note("%v", errLateBegin)
				p.recordResponse(c, false)
				return outcomeIncomplete
			}
			return p.classifyBrokenStream(c, st, err)
		}
		if ev.comment && !p.headerSent {
			if st.comments = append(st.comments, ev.raw...); len(st.comments) > maxEventBytes {
				return p.classifyBrokenStream(c, st, errors.WithStack(&eventTooLongError{len(st.comments)}))
			}
			continue
		}
		if !ev.comment {
			if st.events++; st.events == 1 {
				f.recordFirst()
				p.recordResponse(c, true)
				p.recordFirstAnswer(c, f.sent)
				st.firstAt = time.Now()
			} else if !st.proven && st.begun() >= poison.ProofTime {
				st.proven = true
				p.relay.options.Poison.RecordProgress(p.sent, c.target.ID())
			}
			st.gaps.received()
			p.noteOrder(st, ev.id)
			if p.skipsEvent(st, ev.id) {
				continue
			}
		}
		ev.raw, st.comments = append(st.comments, ev.raw...), nil
		if !ev.comment && !p.bindToStream(c) {
			resp.Discard()
			return outcomeIncomplete
		}
		if err := p.writeEvent(resp, ev); err != nil {
			resp.Discard()
			return outcomeCallerDisconnected
		}
		st.gaps.passedOn()
	}
}

// responseStream is what has been read of one response that is a stream.
type responseStream struct {
	gaps *gapObserver
	// events is the number of events, without comments, and firstAt when the first arrived.
	events  int
	firstAt time.Time
	// proven is set once the stream has gone on for long enough to show that it does not crash its target.
	proven bool
	// caughtUp is set once an event came that the caller did not have before this response, or the last one
	// that it had.
	caughtUp bool
	// continued is set once an event came that the caller did not have before this response. What follows is passed on
	// whatever its ID.
	continued bool
	// numbered is set once an event with an ID came.
	numbered bool
	// lastID is the ID of the last event, and unordered is set once one had none or one that was not higher.
	lastID    string
	unordered bool
	// comments precede the first event that is passed on. A response that breaks off after them is replaced
	// like one without any event.
	comments []byte
}

// skipsEvent reports whether the caller has received an event from the target that served the stream before. On a route
// whose streams may not be resumed it has none, whatever it names as the last one.
func (p *proxiedRequest) skipsEvent(st *responseStream, id string) bool {
	switch {
	case st.continued:
		return false
	case id == "" && p.lastEventID != "" && p.route.Resumable:
		// It is at the place of the event before, and is also passed on if it is the first one, which shows none.
		return st.numbered && !st.caughtUp
	case p.route.Resumable && !isNewerEvent(id, p.lastEventID):
		st.numbered, st.caughtUp = true, st.caughtUp || !isNewerEvent(p.lastEventID, id)
		return true
	}
	st.continued, st.caughtUp = true, true
	return false
}

// noteOrder records an event whose ID does not tell its place in the stream.
func (p *proxiedRequest) noteOrder(st *responseStream, id string) {
	if !isNextEvent(id, st.lastID) {
		p.relay.options.Stats.EventsUnordered.Inc()
		if !st.unordered {
			st.unordered = true
			p.note("event %d has ID %q after %q", st.events, id, st.lastID)
		}
	}
	st.lastID = id
}

// begun returns how long ago the first event arrived, or 0 if there is none yet.
func (st *responseStream) begun() time.Duration {
	if st.events == 0 {
		return 0
	}
	return time.Since(st.firstAt)
}

// endStream returns the outcome of a stream that ended between two events; err is the kind of its end.
func (p *proxiedRequest) endStream(c *choice, resp *target.Response, st *responseStream, err error) outcome {
	if st.events == 0 {
		p.note("no event")
		p.relay.options.Stats.StreamsWithoutEvents.Inc()
	}
	if p.answersByOtherVersion(c) {
		// Where another version's run has ended says nothing of this stream.
		p.recordResponse(c, true)
		return outcomeIncomplete
	}
	if !st.caughtUp && st.numbered {
		p.note("ended before event %q, which the caller has", p.lastEventID)
		p.recordResponse(c, false)
		return outcomeIncomplete
	}
	if errors.Is(err, target.ErrUnmarkedEnd) && !st.caughtUp && st.events == 0 {
		return p.classifyBrokenStream(c, st, err)
	}
	st.gaps.finished()
	p.recordEnd(c, resp, true)
	if p.headerSent {
		return outcomeDone
	}
	// A complete response without events.
	(&bufferedResponse{resp.Status, resp.Header, nil}).writeHeader(p, -1)
	p.recordResponse(c, true)
	if _, err := p.w.Write(st.comments); err != nil {
		return outcomeCallerDisconnected
	}
	return outcomeDone
}

// eventNumber returns the digits of an event's ID without leading zeros, and whether it is a decimal number.
func eventNumber(id string) (string, bool) {
	for _, b := range []byte(id) {
		if b < '0' || b > '9' {
			return "", false
		}
	}
	return strings.TrimLeft(id, "0"), id != ""
}

// isNewerEvent reports whether an event comes after the last one passed on, by the numbers of any length that their IDs are.
// After an ID that is no number all events count as newer.
func isNewerEvent(id, last string) bool {
	lastNumber, known := eventNumber(last)
	if id == "" || !known {
		return true
	}
	number, ok := eventNumber(id)
	if !ok || len(number) != len(lastNumber) {
		return ok && len(number) > len(lastNumber)
	}
	return number > lastNumber
}

// isNextEvent reports whether the ID of an event tells that it comes after the last one.
func isNextEvent(id, last string) bool {
	_, ok := eventNumber(id)
	return ok && isNewerEvent(id, last)
}

// writeEvent passes one event on to the caller.
func (p *proxiedRequest) writeEvent(resp *target.Response, ev rawEvent) error {
	rc := http.NewResponseController(p.w)
	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	if !p.headerSent {
		(&bufferedResponse{resp.Status, resp.Header, nil}).writeHeader(p, -1)
		p.firstAt = time.Now()
		p.relay.options.Stats.FirstSeconds.Update(p.firstAt.Sub(p.start).Seconds())
	}
	if _, err := p.w.Write(ev.raw); err != nil {
		return errors.WithStack(err)
	}
	if !ev.comment {
		p.unnumbered = ev.id == ""
		p.unordered = p.unordered || ev.id != "" && !isNextEvent(ev.id, p.lastEventID)
	}
	if ev.id != "" {
		p.lastEventID = ev.id
	}
	return errors.WithStack(rc.Flush())
}

// classifyBrokenStream records a stream that broke and returns the outcome.
func (p *proxiedRequest) classifyBrokenStream(c *choice, st *responseStream, err error) outcome {
	p.note("%v", errors.Cause(err))
	switch {
	case callerDisconnected(p.r.Context()):
		return outcomeCallerDisconnected
	case p.relay.isEnded():
		return outcomeStopped
	}
	now := time.Now()
	if !errors.Is(err, target.ErrDetourLost) {
		p.recordResponse(c, false)
	}
	if !now.Before(p.deadline) {
		return outcomeTimedOut
	}
	p.recordDisconnect(c, err, st.begun())
	if p.headerSent && p.route.Resumable {
		p.relay.options.Stats.StreamsResumed.Inc()
		p.relay.options.Log.Emit(event.StreamResumed, p.ref(),
			fmt.Sprintf("after event %s of version %q: %v", p.lastEventID, p.versions.Only, err))
	}
	return outcomeIncomplete
}
