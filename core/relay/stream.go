package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/target"
)

// eventMost bounds one event of a stream.
const eventMost = 1 << 20

// writeLimit bounds the writing of one event to a slow caller.
const writeLimit = 10 * time.Second

var errEvent = errors.New("an event of the stream is too long")

// rawEvent is one event of a stream, with all its bytes.
type rawEvent struct {
	raw []byte
	id  string
}

// nextEvent reads one event. At the end of the stream it returns io.EOF; bytes
// of an event that is not whole make that io.ErrUnexpectedEOF.
func nextEvent(r *bufio.Reader) (rawEvent, error) {
	var ev rawEvent
	for {
		line, err := r.ReadBytes('\n')
		ev.raw = append(ev.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.raw)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return ev, errors.WithStack(err)
		}
		if len(ev.raw) > eventMost {
			return ev, errors.WithStack(errEvent)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(bytes.TrimSpace(ev.raw)) > 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
	}
}

// stream passes on the events of an answer. Where it breaks, the request may
// be taken up by another worker after the last event that the caller has.
func (p *pass) stream(c *choice, in *target.Incoming, reply *Reply, sent time.Time, onFirst func()) outcome {
	if !reply.Sealed || reply.Encoded {
		in.Spoil()
		p.answered(c, false)
		return broken
	}
	r := bufio.NewReaderSize(in, 2<<10)
	for n := 0; ; n++ {
		ev, err := nextEvent(r)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return p.finished(c, in)
		}
		if err != nil {
			return p.streamBroke(c, err)
		}
		if n == 0 {
			onFirst()
			p.answered(c, true)
			p.firstAnswer(c, sent)
		}
		if !newer(ev.id, p.after) {
			// The caller has this event from the worker before.
			continue
		}
		if err := p.give(in, ev); err != nil {
			in.Spoil()
			return left
		}
	}
}

// newer reports whether an event comes after the last one passed on. Numbers
// rise; they are compared as digits.
func newer(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

// give passes one event on to the caller.
func (p *pass) give(in *target.Incoming, ev rawEvent) error {
	rc := http.NewResponseController(p.w)
	if err := rc.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return errors.WithStack(err)
	}
	if !p.begun {
		(&plainAnswer{in.Status, in.Header, nil}).head(p, -1)
		p.first = time.Now()
		p.relay.o.Stats.First.Update(p.first.Sub(p.began).Seconds())
	}
	if _, err := p.w.Write(ev.raw); err != nil {
		return errors.WithStack(err)
	}
	if ev.id != "" {
		p.after = ev.id
	}
	return errors.WithStack(rc.Flush())
}

// finished ends a stream that the worker ended.
func (p *pass) finished(c *choice, in *target.Incoming) outcome {
	p.ranWell(c)
	if p.begun {
		return done
	}
	// A whole answer without events.
	(&plainAnswer{in.Status, in.Header, nil}).head(p, -1)
	p.answered(c, true)
	return done
}

// streamBroke decides what becomes of a stream that broke.
func (p *pass) streamBroke(c *choice, err error) outcome {
	p.note("%v", errors.Cause(err))
	if gone(p.r.Context()) {
		return left
	}
	now := time.Now()
	p.answered(c, false)
	if !now.Before(p.until) {
		return late
	}
	p.lost(c)
	if p.begun && p.route.Resumable {
		p.relay.o.Stats.Resumed.Inc()
		p.relay.o.Log.Emit(event.StreamResumed, p.ref(), "after event "+p.after+": "+err.Error())
	}
	return broken
}
