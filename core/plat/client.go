package plat

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// ErrSilent means that nothing was received on a connection while the service responded on a new one.
// Whether it received the request is unknown.
var ErrSilent = errors.New("the connection carries nothing any more")

// Client is an HTTP client for a service of the platform, or for the control calls of targets. It
// finds connections that carry nothing any more although nobody has closed them. The zero value uses
// the standard transport.
type Client struct {
	// Transport opens the connections; if nil, the standard one does. It is set before use.
	Transport *http.Transport
	// Alone, if set, sends the calls of DoAlone. If nil, a copy of the transport in use does, which lacks the protocols that
	// were registered with it. It is set before use.
	Alone *http.Transport
	// ManyServices means that the calls go to several services, so that a silent connection to one
	// says nothing of the connections to the others. It is set before use.
	ManyServices bool
	// OnReplaced, if set, is called when a connection was found silent. It is set before use.
	OnReplaced func()
	// MaxResponse bounds the body of a response, in bytes; 0 means no bound. What is read of bodies counts in Memory
	// until they are closed, if it is set. Both are set before use.
	MaxResponse int64
	Memory      *memory.Budget
	// unheardCalls counts the calls on reused connections that ended without any response, replaced
	// the connections that were found silent.
	unheardCalls, replaced atomic.Int64

	clientMu sync.Mutex
	// current is the transport in use; nil stands for Transport. Guarded by clientMu.
	current *http.Transport
}

// Probe says how to find out whether a request went out on a connection that carries nothing any more.
type Probe struct {
	// After is how long nothing may be received before the probe is sent. A new connection is not
	// probed.
	After time.Duration
	// Request is sent on a new connection. It must not change anything, or nothing that matters.
	Request *http.Request
	// Answers means that the response to Request is one to the probed request as well.
	Answers bool
	// Pause, if not 0, is how long a response that has begun may pause before PauseRequest is sent on a new
	// connection, to find out whether the response's one is silent; then reading it fails with ErrSilent.
	// PauseRequest must change nothing.
	Pause        time.Duration
	PauseRequest *http.Request
}

// UnheardCalls returns the number of calls on reused connections that ended without any response.
func (c *Client) UnheardCalls() int64 { return c.unheardCalls.Load() }

// Replaced returns the number of connections that were found silent.
func (c *Client) Replaced() int64 { return c.replaced.Load() }

// Do sends a request, exactly once.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	e := newExchange(c, c.transport(), req)
	e.run()
	return c.bound(e.resp), e.err
}

// DoAlone is Do on a connection of its own, on which nothing that arrives can be about another request.
func (c *Client) DoAlone(req *http.Request) (*http.Response, error) {
	alone := c.Alone
	if alone == nil {
		alone = c.transport().Clone()
		alone.DisableKeepAlives = true
	}
	e := newExchange(c, alone, req)
	e.run()
	return c.bound(e.resp), e.err
}

// bound bounds the body of a response, which may be nil.
func (c *Client) bound(resp *http.Response) *http.Response {
	if resp == nil || (c.MaxResponse == 0 && c.Memory == nil) {
		return resp
	}
	held := c.Memory.Hold(memory.Calls)
	resp.Body = &boundBody{ReadCloser: resp.Body, held: held, counted: held.Reader(resp.Body), max: c.MaxResponse}
	return resp
}

// boundBody is the body of a response with a bound.
type boundBody struct {
	io.ReadCloser
	held    *memory.Holding
	counted io.Reader
	max     int64
	read    int64
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.counted.Read(p)
	if b.read += int64(n); b.max > 0 && b.read > b.max {
		return 0, errors.Errorf("the response is longer than %d bytes", b.max)
	}
	// The error may be io.EOF, which readers compare.
	return n, err
}

// Close implements io.Closer.
func (b *boundBody) Close() error {
	b.held.Release()
	return errors.WithStack(b.ReadCloser.Close())
}

// DoProbed sends a request whose response is checked as p says. If nothing is received on its connection
// and the service responds to the probe on a new one, the former is given up. Unless ManyServices is set,
// all idle connections are given up with it: they are as old. The result is then the probe's response, if
// that answers the request, and else ErrSilent.
func (c *Client) DoProbed(req *http.Request, p Probe) (*http.Response, error) {
	resp, err := c.doProbed(req, p)
	if err != nil || p.Pause == 0 {
		return c.bound(resp), err
	}
	body := newProbedBody(c, resp.Body, p)
	go body.run()
	resp.Body = body
	return c.bound(resp), nil
}

// doProbed is DoProbed until the response begins.
func (c *Client) doProbed(req *http.Request, p Probe) (*http.Response, error) {
	t := c.transport()
	first := newExchange(c, t, req)
	go first.run()
	timer := time.NewTimer(p.After)
	defer timer.Stop()
	select {
	case <-first.done:
		return first.resp, first.err
	case <-timer.C:
	}
	if !first.reused.Load() || first.isDone() {
		// Where both are ready, the select may have taken the timer.
		<-first.done
		return first.resp, first.err
	}
	fresh := t.Clone()
	// Where the transport does not stay in use, its connection must not stay open.
	fresh.DisableKeepAlives = c.ManyServices
	second := newExchange(c, fresh, p.Request)
	go second.run()
	select {
	case <-first.done:
	case <-second.done:
		if second.err == nil {
			return c.giveUp(first, second, fresh, p.Answers)
		}
		// The service responds on no connection.
		<-first.done
	}
	second.abandon()
	fresh.CloseIdleConnections()
	return first.resp, first.err
}

// giveUp gives up the connection of an exchange, since that of another one works, and returns the
// result.
func (c *Client) giveUp(silent, working *exchange, fresh *http.Transport, answers bool) (*http.Response, error) {
	c.replaced.Add(1)
	silent.abandon()
	if !c.ManyServices {
		c.use(fresh, silent.transport)
	}
	if c.OnReplaced != nil {
		c.OnReplaced()
	}
	if answers {
		return working.resp, nil
	}
	working.abandon()
	return nil, errors.WithStack(ErrSilent)
}

// transport returns the transport in use.
func (c *Client) transport() *http.Transport {
	c.clientMu.Lock()
	defer c.clientMu.Unlock()
	if c.current == nil {
		c.current = c.Transport
	}
	if c.current == nil {
		c.current = http.DefaultTransport.(*http.Transport)
	}
	return c.current
}

// use replaces the transport in use, unless another call has done so.
func (c *Client) use(fresh, former *http.Transport) {
	c.clientMu.Lock()
	if c.current == former {
		c.current = fresh
	}
	c.clientMu.Unlock()
	former.CloseIdleConnections()
}

// exchange is one request and its response.
type exchange struct {
	client    *Client
	transport *http.Transport
	req       *http.Request
	cancel    context.CancelFunc
	// reused is set once the request has a connection that was used before.
	reused atomic.Bool
	// abandoned is set when nobody uses the response.
	abandoned atomic.Bool
	// done is closed when resp and err are set.
	done chan struct{}
	resp *http.Response
	err  error
}

func newExchange(c *Client, t *http.Transport, req *http.Request) *exchange {
	e := &exchange{client: c, transport: t, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(req.Context())
	e.cancel = cancel
	e.req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { e.reused.Store(info.Reused) },
	}))
	return e
}

// run sends the request and waits for the header of the response.
func (e *exchange) run() {
	resp, err := (&http.Client{Transport: e.transport}).Do(e.req)
	e.err = errors.WithStack(err)
	if err != nil {
		if e.reused.Load() && e.req.Context().Err() != nil {
			e.client.unheardCalls.Add(1)
		}
		e.cancel()
	} else {
		resp.Body = &exchangeBody{resp.Body, e.cancel}
		e.resp = resp
	}
	close(e.done)
	if e.abandoned.Load() {
		e.close()
	}
}

// isDone reports whether the response has begun or the exchange has failed.
func (e *exchange) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// abandon ends the exchange; its response is not used.
func (e *exchange) abandon() {
	e.abandoned.Store(true)
	e.cancel()
	if e.isDone() {
		e.close()
	}
	// Otherwise run closes it.
}

// close closes the response, if there is one. It is called once done is closed.
func (e *exchange) close() {
	if e.resp != nil {
		// Nothing more is read from it.
		_ = e.resp.Body.Close()
	}
}

// exchangeBody is the body of a response, whose end ends the exchange.
type exchangeBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body.
func (b *exchangeBody) Close() error {
	defer b.cancel()
	return errors.WithStack(b.ReadCloser.Close())
}
