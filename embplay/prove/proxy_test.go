package prove

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is how a proxy treats its connections; forward is the normal mode.
type proxyMode int32

const (
	forward proxyMode = iota
	// cutOff closes connections and refuses new ones.
	cutOff
	// stall accepts connections and forwards nothing.
	stall
	// stallResponses forwards requests and holds back responses.
	stallResponses
)

// proxy forwards TCP connections to an address and can cut, stall or delay them.
type proxy struct {
	l     net.Listener
	to    string
	mode  atomic.Int32
	delay atomic.Int64

	connsMu sync.Mutex
	conns   map[net.Conn]bool // guarded by connsMu
	// proxied are the open connections. Guarded by connsMu.
	proxied map[*proxiedConn]bool
}

// newProxy starts a proxy that listens at an IP address.
func newProxy(ip, to string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &proxy{l: l, to: to, conns: map[net.Conn]bool{}, proxied: map[*proxiedConn]bool{}}
	go r.run()
	return r, nil
}

func (r *proxy) address() string { return r.l.Addr().String() }

func (r *proxy) set(f proxyMode) {
	r.mode.Store(int32(f))
	if f == cutOff || f == forward {
		// Stalled connections break in the end, as in a real network.
		r.closeAll()
	}
}

// silence makes the open connections silent for good, in one direction or both: what is sent on them is
// discarded, and their ends do not learn that the other one has closed. New connections work.
func (r *proxy) silence(requests, responses bool) {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	for c := range r.proxied {
		if requests {
			c.silentRequests.Store(true)
		}
		if responses {
			c.silentResponses.Store(true)
		}
	}
}

func (r *proxy) closeAll() {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *proxy) close() {
	r.l.Close()
	r.closeAll()
}

func (r *proxy) run() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		if proxyMode(r.mode.Load()) == cutOff {
			c.Close()
			continue
		}
		go (&proxiedConn{r: r, in: c}).run()
	}
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	r  *proxy
	in net.Conn
	// silentRequests and silentResponses mean that the direction carries nothing any more.
	silentRequests, silentResponses atomic.Bool
}

func (c *proxiedConn) run() {
	out, err := net.Dial("tcp", c.r.to)
	if err != nil {
		c.in.Close()
		return
	}
	c.r.connsMu.Lock()
	c.r.conns[c.in], c.r.conns[out], c.r.proxied[c] = true, true, true
	c.r.connsMu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(out, c.in, false) })
	wg.Go(func() { c.copy(c.in, out, true) })
	wg.Wait()
	c.r.connsMu.Lock()
	delete(c.r.conns, c.in)
	delete(c.r.conns, out)
	delete(c.r.proxied, c)
	c.r.connsMu.Unlock()
}

const (
	copyBuffer        = 32 << 10
	stallPollInterval = 20 * time.Millisecond
)

// copy forwards one direction. It closes both connections when it ends, unless the direction is silent by
// then: the receiver must not learn of it.
func (c *proxiedConn) copy(to io.WriteCloser, from net.Conn, responses bool) {
	silent, reverse := &c.silentRequests, &c.silentResponses
	if responses {
		silent, reverse = reverse, silent
	}
	defer func() {
		from.Close()
		if !silent.Load() {
			to.Close()
		}
	}()
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for c.stalled(responses) {
			time.Sleep(stallPollInterval)
		}
		if d := c.r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			if !reverse.Load() {
				return
			}
			silent.Store(true)
		}
	}
}

// stalled reports whether the mode holds back responses or requests now.
func (c *proxiedConn) stalled(responses bool) bool {
	switch proxyMode(c.r.mode.Load()) {
	case stall:
		return true
	case stallResponses:
		return responses
	}
	return false
}
