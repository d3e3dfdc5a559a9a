package target

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Detour opens connections to targets by way of another box, for a box whose own path to a target is
// broken.
type Detour interface {
	// Open opens a connection to a target and returns the name of the box that it leads through. The
	// error tells about the target only if it wraps ErrTargetRefused or ErrTargetSilent, which say that
	// a box whose network works found so. It wraps ErrNoDetour if there is no other box.
	Open(ctx context.Context, target string) (conn net.Conn, box string, err error)
	// Usable reports whether open connections through a box may carry further requests.
	Usable(box string) bool
	// RecordLost records that a connection through a box broke, or that the box acknowledges nothing.
	RecordLost(box string)
}

var (
	// ErrNoDetour means that there is no other box to open connections through.
	ErrNoDetour = errors.New("there is no other box to reach the target through")
	// ErrTargetRefused means that a target refuses connections at a box whose network works.
	ErrTargetRefused = errors.New("the target refuses connections")
	// ErrTargetSilent means that a target does not answer at all at a box whose network works.
	ErrTargetSilent = errors.New("the target does not answer")
	// ErrDetourLost means that a connection through another box broke on the way to that box, so that
	// nothing is known about the target.
	ErrDetourLost = errors.New("the connection to the box in between broke")
)

// The bytes from a target are sent to the other box in chunks, each after its length, so that the end
// of the target's connection can be told from that of the connection between the boxes.
const (
	chunkHeader = 2
	// maxChunk is the largest chunk. chunkEnd and chunkReset take the place of a length: the target
	// closed or reset the connection.
	maxChunk   = 8 << 10
	chunkEnd   = 0
	chunkReset = 0xffff
)

// DetourReader reads what the target sends on a connection through another box.
type DetourReader struct {
	// r is empty whenever nothing more has been received.
	r *bufio.Reader
	// left is the number of bytes that are left of the current chunk.
	left int
	err  error
}

// NewDetourReader returns a reader of a connection to the box in between.
func NewDetourReader(r io.Reader) *DetourReader {
	return &DetourReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// Read reads what the target sent. It returns io.EOF only if the target closed the connection.
func (d *DetourReader) Read(b []byte) (int, error) {
	for d.left == 0 {
		if d.err != nil {
			return 0, d.err
		}
		d.readHeader()
	}
	n, err := d.r.Read(b[:min(len(b), d.left)])
	d.left -= n
	if err != nil && n == 0 {
		d.left, d.err = 0, detourError(err)
		return 0, d.err
	}
	return n, nil
}

// readHeader reads the length of the next chunk, or the end.
func (d *DetourReader) readHeader() {
	var header [chunkHeader]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		d.err = detourError(err)
		return
	}
	switch n := binary.BigEndian.Uint16(header[:]); n {
	case chunkEnd:
		d.err = io.EOF
	case chunkReset:
		d.err = errors.WithStack(syscall.ECONNRESET)
	default:
		d.left = int(n)
	}
}

// Buffered returns the number of bytes that were received and not read.
func (d *DetourReader) Buffered() int { return d.r.Buffered() + d.left }

// detourError returns the error for a failure to read from the box in between.
func detourError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// The request's time is up.
		return errors.WithStack(err)
	}
	return errors.Wrap(ErrDetourLost, err.Error())
}

// ForwardResponses sends what a target sends on a connection to another box until either closes. writes are those on the
// connection to the target, and done is closed when the other box has closed its own.
func ForwardResponses(to io.Writer, from net.Conn, writes *Writes, done <-chan struct{}) {
	buffer := make([]byte, chunkHeader+maxChunk)
	for {
		n, err := from.Read(buffer[chunkHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := to.Write(buffer[:chunkHeader+n]); err != nil {
				return
			}
		}
		if err != nil {
			end := uint16(chunkReset)
			if errors.Is(err, io.EOF) && VerifyEnd(from, writes, done) == nil {
				end = chunkEnd
			}
			binary.BigEndian.PutUint16(buffer, end)
			// A failure means that the other box has closed the connection.
			_, _ = to.Write(buffer[:chunkHeader])
			return
		}
	}
}

// hasDetour reports whether connections to a request's target may be opened through another box.
func (p *Pool) hasDetour(req *Request) bool { return p.Detour != nil && req.Target != "" }

// openDetour opens a connection through another box. reserve or reserveExtra has counted it.
func (p *Pool) openDetour(ctx context.Context, address, target string) (*poolConn, error) {
	conn, box, err := p.Detour.Open(ctx, target)
	p.poolMu.Lock()
	state := p.state(address)
	state.opening--
	if err != nil {
		state.open--
		p.forget(address, state)
	}
	p.poolMu.Unlock()
	if err != nil {
		return nil, err
	}
	return p.throughBox(address, conn, box), nil
}

// throughBox returns a connection to a target that leads through another box.
func (p *Pool) throughBox(address string, conn net.Conn, box string) *poolConn {
	c := &poolConn{pool: p, address: address, number: p.connections.Add(1), stream: conn, tcp: rawConn(conn), box: box}
	c.detour = NewDetourReader(conn)
	c.head = &headReader{r: c.detour}
	c.r = bufio.NewReaderSize(c.head, readBufferSize)
	return c
}

// rawConn returns the TCP connection under a connection to another box.
func rawConn(conn net.Conn) *net.TCPConn {
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = c.NetConn()
	}
	return conn.(*net.TCPConn)
}

// reserveExtra counts a connection in place of one that failed to open.
func (p *Pool) reserveExtra(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(address)
	state.open++
	state.opening++
}

// aboutTarget reports whether a failure of a detour tells about the target itself.
func aboutTarget(err error) bool {
	return errors.Is(err, ErrTargetRefused) || errors.Is(err, ErrTargetSilent)
}

// joinErrors returns the error of a connection that opened neither directly nor through another box.
// What a box whose network works found is the verdict; if no other box could tell, nothing is known
// about the target, so that a connection refused here does not count as refused.
func joinErrors(direct, detour error) error {
	switch {
	case errors.Is(detour, ErrNoDetour):
		return direct
	case errors.Is(detour, ErrTargetRefused):
		return errors.Wrap(syscall.ECONNREFUSED, detour.Error())
	}
	return errors.WithStack(detour)
}

// verifier finds out through another box whether the target or this box's path to it has failed.
type verifier struct {
	pool            *Pool
	address, target string
	// direct is the error of the direct connection.
	direct    error
	onVerdict func(err error)
}

// verifyTimeout bounds a verification.
const verifyTimeout = 2 * time.Second

// run keeps the connection for the next request if one opens.
func (v verifier) run() {
	defer v.pool.endVerification(v.address)
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	v.pool.reserveExtra(v.address)
	conn, err := v.pool.openDetour(ctx, v.address, v.target)
	if err == nil {
		v.pool.putUnused(conn)
	}
	if err != nil && !aboutTarget(err) && !errors.Is(err, ErrNoDetour) {
		return
	}
	if err != nil {
		err = joinErrors(v.direct, err)
	}
	if v.onVerdict != nil {
		v.onVerdict(err)
	}
}

// verify starts a verification after a direct connection failed, unless one runs.
func (p *Pool) verify(address string, req *Request, direct error) {
	p.poolMu.Lock()
	state := p.state(address)
	busy := state.verifying
	state.verifying = true
	p.poolMu.Unlock()
	if !busy {
		go verifier{p, address, req.Target, direct, req.OnVerdict}.run()
	}
}

// endVerification allows the next verification.
func (p *Pool) endVerification(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if state := p.addresses[address]; state != nil {
		state.verifying = false
	}
}
