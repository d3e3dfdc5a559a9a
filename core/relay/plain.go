package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/entry"
	"embertally.dev/core/target"
)

// plainMost is how much of an answer is read before any of it is passed on, so
// that one that breaks off can be replaced.
const plainMost = 256 << 10

// plainAnswer is a whole answer of a target.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// plain passes on an answer that is not a stream.
func (p *pass) plain(c *choice, in *target.Incoming, reply *Reply, sent time.Time) (outcome, *plainAnswer) {
	body, err := readAll(nil, io.LimitReader(in, plainMost))
	if err != nil {
		return p.brokenOff(c, err), nil
	}
	ans := &plainAnswer{in.Status, in.Header, body}
	good := in.Status < http.StatusInternalServerError
	if (in.Status/100 == 2 && !reply.Sealed) || reply.Encoded {
		in.Spoil()
		p.answered(c, false)
		p.note("the answer is not signed")
		return broken, nil
	}
	p.answered(c, good)
	if good {
		p.ranWell(c)
	}
	p.firstAnswer(c, sent)
	if !good && p.route.MayRepeat() && len(body) < plainMost {
		return bad, ans
	}
	p.first = time.Now()
	if len(body) < plainMost {
		ans.write(p)
		return done, nil
	}
	return p.long(ans, in), nil
}

// long passes on an answer that is too large to be kept whole.
func (p *pass) long(ans *plainAnswer, in *target.Incoming) outcome {
	ans.head(p, in.Length)
	if _, err := p.w.Write(ans.body); err != nil {
		return left
	}
	if _, err := io.Copy(p.w, in); err != nil {
		p.aborted = true
		return cut
	}
	return done
}

// brokenOff records an answer that broke off while it was read.
func (p *pass) brokenOff(c *choice, err error) outcome {
	p.note("%v", errors.Cause(err))
	now := time.Now()
	p.answered(c, false)
	switch {
	case gone(p.r.Context()):
		return left
	case !now.Before(p.until):
		return late
	}
	p.lost(c)
	return broken
}

// head passes on the head of the answer; a length below 0 is left open.
func (a *plainAnswer) head(p *pass, length int64) {
	h := p.w.Header()
	for name, values := range a.header {
		if !entry.HopHeader(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if p.relay.closing.Load() {
		h.Set("Connection", "close")
	}
	p.begun = true
	p.w.WriteHeader(a.status)
}

// write passes on the whole answer.
func (a *plainAnswer) write(p *pass) {
	if p.r.Method == http.MethodHead {
		// The length is that of the body which a GET would get.
		length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
		if err != nil {
			length = -1
		}
		a.head(p, length)
		return
	}
	a.head(p, int64(len(a.body)))
	if _, err := p.w.Write(a.body); err != nil {
		p.note("the caller has gone: %v", err)
	}
}
