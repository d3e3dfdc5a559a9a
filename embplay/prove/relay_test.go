package prove

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// flow says what a relay does with the bytes of one direction or both.
type flow int32

const (
	pass flow = iota
	// cut closes connections and refuses new ones.
	cut
	// hang takes connections and moves nothing.
	hang
	// hangAnswers moves requests and holds answers back.
	hangAnswers
)

// relay stands between two parties and can cut or slow what they say.
type relay struct {
	l     net.Listener
	to    string
	flow  atomic.Int32
	delay atomic.Int64

	connsMu sync.Mutex
	conns   map[net.Conn]bool // guarded by connsMu
}

func newRelay(to string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{l: l, to: to, conns: map[net.Conn]bool{}}
	go r.run()
	return r, nil
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) set(f flow) {
	r.flow.Store(int32(f))
	if f == cut || f == pass {
		// What hung is cut, as a network does in the end.
		r.closeAll()
	}
}

func (r *relay) closeAll() {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *relay) close() {
	r.l.Close()
	r.closeAll()
}

func (r *relay) run() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		if flow(r.flow.Load()) == cut {
			c.Close()
			continue
		}
		go (&relayed{r, c}).run()
	}
}

// relayed is one connection through a relay.
type relayed struct {
	r  *relay
	in net.Conn
}

func (c *relayed) run() {
	out, err := net.Dial("tcp", c.r.to)
	if err != nil {
		c.in.Close()
		return
	}
	for _, conn := range []net.Conn{c.in, out} {
		c.r.connsMu.Lock()
		c.r.conns[conn] = true
		c.r.connsMu.Unlock()
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.move(out, c.in, false) })
	wg.Go(func() { c.move(c.in, out, true) })
	wg.Wait()
	c.r.connsMu.Lock()
	delete(c.r.conns, c.in)
	delete(c.r.conns, out)
	c.r.connsMu.Unlock()
}

const (
	moveBuffer = 32 << 10
	hangLook   = 20 * time.Millisecond
)

// move copies one direction and closes both ends when it ends.
func (c *relayed) move(to io.WriteCloser, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, moveBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for c.held(answers) {
			time.Sleep(hangLook)
		}
		if d := c.r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *relayed) held(answers bool) bool {
	switch flow(c.r.flow.Load()) {
	case hang:
		return true
	case hangAnswers:
		return answers
	}
	return false
}
