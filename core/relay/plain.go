package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/entry"
	"embertally.dev/core/memory"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// maxBufferedBytes is how much of a response is read before any of it is passed on, so that a
// truncated one can be replaced by a retry.
const maxBufferedBytes = 256 << 10

// minBufferedBytes is the first size of the buffer.
const minBufferedBytes = 1 << 10

// bufferedResponse is the buffered start of a response, or all of it.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// passOnPlain passes on a response that is not a stream.
func (p *proxiedRequest) passOnPlain(c *choice, resp *target.Response, respMeta *ResponseMeta, sent time.Time) (outcome, *bufferedResponse) {
	if p.headerSent {
		// Only events can follow the events that the caller has.
		p.note("status %d after event %q", resp.Status, p.lastEventID)
		resp.Discard()
		p.recordResponse(c, resp.Status < http.StatusInternalServerError)
		return outcomeFailed, nil
	}
	began := time.Now()
	body, whole, err := p.readStart(resp)
	if err != nil {
		return p.classifyReadError(c, err, time.Since(began)), nil
	}
	answer := &bufferedResponse{resp.Status, resp.Header, body}
	good := resp.Status < http.StatusInternalServerError
	if (resp.Status/100 == 2 && !respMeta.Signed) || respMeta.Encoded {
		resp.Discard()
		p.recordResponse(c, false)
		p.note("the response is not signed")
		return outcomeIncomplete, nil
	}
	if whole {
		p.recordEnd(c, resp, good)
	}
	p.recordResponse(c, good)
	p.recordFirstAnswer(c, sent)
	if isPromise(resp.Status) && !p.route.MayRepeat() {
		// To callers the status is the promise that the request has not been executed.
		p.relay.options.Stats.PromisesWithheld.Inc()
		if !whole {
			resp.Discard()
		}
		return outcomeIncomplete, nil
	}
	if !good && p.route.MayRepeat() && whole {
		return outcomeFailed, answer
	}
	if resp.Status/100 == 2 && p.route.Kind == table.Stream && !p.bindToStream(c) {
		resp.Discard()
		return outcomeIncomplete, nil
	}
	p.firstAt = time.Now()
	if whole {
		answer.write(p)
		return outcomeDone, nil
	}
	return p.passOnRest(c, answer, resp, good), nil
}

// readStart reads a response until its end, or until it holds maxBufferedBytes or as much as there is room for. whole is
// set if it was read to its end.
func (p *proxiedRequest) readStart(resp *target.Response) (body []byte, whole bool, err error) {
	held := p.hold(memory.Bodies)
	for len(body) < maxBufferedBytes {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), minBufferedBytes), maxBufferedBytes)
			if full := held.Grow(int64(size - cap(body))); full != nil {
				p.note("passed on from byte %d on: %v", len(body), full)
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case target.IsEnd(err):
			return body, true, nil
		case err != nil:
			return nil, false, errors.WithStack(err)
		}
	}
	return body, false, nil
}

// passOnRest passes on a response that is too large to be buffered completely.
func (p *proxiedRequest) passOnRest(c *choice, answer *bufferedResponse, resp *target.Response, good bool) outcome {
	answer.writeHeader(p, resp.Length)
	if _, err := p.w.Write(answer.body); err != nil {
		return outcomeCallerDisconnected
	}
	if _, err := io.Copy(p.w, resp); err != nil && !target.IsEnd(err) {
		p.note("%v", errors.Cause(err))
		return outcomeTruncated
	}
	p.recordEnd(c, resp, good)
	return outcomeDone
}

// recordEnd records the end of a response that was read without an error: what told it and, if the response
// was good, that the target completed the request.
func (p *proxiedRequest) recordEnd(c *choice, resp *target.Response, good bool) {
	if good {
		p.recordSuccess(c, resp)
	}
	framing := resp.Framing()
	p.relay.options.Stats.AnswersByFraming[framing].Inc()
	if framing == target.FramingConnection {
		p.note("ended with its connection: %s", resp.DescribeEnd())
	}
}

// classifyReadError records a response that ended early and returns the outcome. begun is how long ago it began.
func (p *proxiedRequest) classifyReadError(c *choice, err error, begun time.Duration) outcome {
	p.note("%v", errors.Cause(err))
	if p.relay.isEnded() {
		return outcomeStopped
	}
	now := time.Now()
	if !errors.Is(err, target.ErrDetourLost) {
		p.recordResponse(c, false)
	}
	switch {
	case callerDisconnected(p.r.Context()):
		return outcomeCallerDisconnected
	case !now.Before(p.deadline):
		return outcomeTimedOut
	}
	p.recordDisconnect(c, err, begun)
	return outcomeIncomplete
}

// writeHeader passes on the status and header. A negative length sets no Content-Length.
func (a *bufferedResponse) writeHeader(p *proxiedRequest, length int64) {
	h := p.w.Header()
	for name, values := range a.header {
		if !entry.HopHeader(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if p.relay.stopping() {
		h.Set("Connection", "close")
	}
	p.headerSent = true
	p.w.WriteHeader(a.status)
}

// write passes on the complete response.
func (a *bufferedResponse) write(p *proxiedRequest) {
	if p.r.Method == http.MethodHead {
		// The length is that of the body that a GET would return.
		length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
		if err != nil {
			length = -1
		}
		a.writeHeader(p, length)
		return
	}
	a.writeHeader(p, int64(len(a.body)))
	if _, err := p.w.Write(a.body); err != nil {
		p.note("the caller disconnected: %v", err)
	}
}
