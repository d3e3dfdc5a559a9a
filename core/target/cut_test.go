package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/testip"
)

// cutForms are forms of a response with the body "0123456789".
var cutForms = []struct {
	name, head, body string
	// unmarked is set if the body ends with its connection.
	unmarked bool
	// everyWay is set if the form is sent by every way, not only directly.
	everyWay bool
}{
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: 1\r\n\r\n", "0123456789", false, true},
	{"length last", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\n", "0123456789", false, false},
	{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", false, false},
	{"chunks with extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a;n=v\r\n0123456789\r\n0;n\r\n\r\n", false, false},
	{"trailers", "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n0\r\nSum: 45\r\nOther: x\r\n\r\n", false, true},
	{"chunks and length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\n", false, false},
	{"connection", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "0123456789", true, true},
	{"connection to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "0123456789", true, false},
	{"older protocol version", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", "0123456789", true, false},
	{"older protocol version, length", "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\n", "0123456789", false, false},
	{"no reason", "HTTP/1.1 200\r\nContent-Length: 10\r\n\r\n", "0123456789", false, false},
	{"no fields", "HTTP/1.1 200 OK\r\n\r\n", "0123456789", true, false},
	{"line feeds", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 10\n\n", "0123456789", false, false},
	{"line feeds, connection", "HTTP/1.1 200 OK\nId: 1\n\n", "0123456789", true, false},
	{"folded chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\n", false, true},
	{"folded length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n  10\r\nId: 1\r\n  2\r\n\r\n", "0123456789", false, false},
	{"continue", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "0123456789", false, false},
	{"interim heads", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 4\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\n", false, true},
	{"interim head, connection", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "0123456789", true, false},
}

// cutEndings are the ways in which a connection ends.
var cutEndings = []struct {
	name string
	// closed is set if the connection is closed in order, so that nothing tells its end from that of an unmarked body.
	closed bool
	end    func(c *net.TCPConn)
}{
	{"closed", true, func(*net.TCPConn) {}},
	{"sending side closed", true, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }},
	{"reset", false, func(c *net.TCPConn) { _ = c.SetLinger(0) }},
}

// cutTarget is a target that sends the start of a response.
type cutTarget struct {
	address string
	// before is the number of requests on each connection that get a whole response first.
	before int
	// box is the box that responses come by way of.
	box string
	// cut is what is sent, and end ends the connection then.
	cut atomic.Value
	end atomic.Pointer[func(c *net.TCPConn)]
	// received is the number of requests that got the start of a response.
	received atomic.Int64
}

func newCutTarget(t *testing.T, before int) *cutTarget {
	l, err := testip.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &cutTarget{address: l.Addr().String(), before: before}
	go s.loop(l)
	return s
}

func (s *cutTarget) loop(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.run(c.(*net.TCPConn))
	}
}

func (s *cutTarget) run(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if n < s.before {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		s.received.Add(1)
		io.WriteString(c, s.cut.Load().(string))
		(*s.end.Load())(c)
		return
	}
}

// exchange sends a request and returns the body and how it ended.
func (s *cutTarget) exchange(pool *Pool, address string, awaited bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	resp, err := pool.Send(ctx, address, &Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("x"), Target: s.address,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	if resp.Box() != s.box {
		return "", errors.Errorf("by way of %q", resp.Box())
	}
	if awaited {
		// Read returns the error again.
		_ = resp.AwaitBody()
	}
	var b strings.Builder
	buffer := make([]byte, 64)
	for {
		n, err := resp.Read(buffer)
		b.Write(buffer[:n])
		if err != nil {
			return b.String(), err
		}
	}
}

// maxExchanges is how often a request is sent that does not arrive: a connection does not open in time, or is not kept, if the
// process stands still.
const maxExchanges = 20

// exchangeSent is exchange, again where the request was not sent.
func (s *cutTarget) exchangeSent(pool *Pool, address string, awaited bool) (body string, err error) {
	for range maxExchanges {
		if body, err = s.exchange(pool, address, awaited); !notSent(err) {
			break
		}
	}
	return body, err
}

// notSent reports whether a request failed before it was sent.
func notSent(err error) bool {
	var s *SendError
	return errors.As(err, &s) && !s.MayHaveArrived
}

// Guards against a response that ends in its head, or anywhere before its end, and is taken for a whole one.
func TestCutResponsesAreNoWholeOnes(t *testing.T) {
	for _, way := range []struct {
		name string
		// pool returns a pool that reaches the target as the way says, and the address by which it does.
		pool func(s *cutTarget) (*Pool, string)
		// before is the number of whole responses on the connection before the cut one.
		before  int
		awaited bool
		// box is the box in between.
		box string
	}{
		{"direct", func(s *cutTarget) (*Pool, string) { return &Pool{}, s.address }, 0, false, ""},
		{"awaited", func(s *cutTarget) (*Pool, string) { return &Pool{}, s.address }, 0, true, ""},
		{"kept connection", func(s *cutTarget) (*Pool, string) { return &Pool{}, s.address }, 2, false, ""},
		{"by way of another box", func(*cutTarget) (*Pool, string) {
			p := &Pool{Detour: &fakeDetour{}}
			// The path to an address on which nothing listens is known to have failed.
			address := "127.0.0.1:1"
			p.poolMu.Lock()
			p.state(address).path.failedAt = time.Now()
			p.poolMu.Unlock()
			return p, address
		}, 0, false, "box"},
		{"borrowed", func(s *cutTarget) (*Pool, string) {
			p := &Pool{Lender: forwardingLender{}, Detour: &fakeDetour{}}
			p.SetMaxConns(s.address, 1)
			p.state(s.address).open = 1
			return p, s.address
		}, 0, false, "box"},
	} {
		for _, form := range cutForms {
			if way.name != "direct" && !form.everyWay {
				continue
			}
			for _, end := range cutEndings {
				t.Run(way.name+", "+form.name+", "+end.name, func(t *testing.T) {
					g, s := gomega.NewWithT(t), newCutTarget(t, way.before)
					s.box = way.box
					s.end.Store(&end.end)
					whole := form.head + form.body
					for cut := range len(whole) + 1 {
						s.cut.Store(whole[:cut])
						pool, address := way.pool(s)
						for range way.before {
							body, err := s.exchangeSent(pool, address, way.awaited)
							g.Expect(errors.Is(err, io.EOF)).To(gomega.BeTrue(), "%v", err)
							g.Expect(body).To(gomega.Equal("ok"))
						}
						before := s.received.Load()
						body, err := s.exchange(pool, address, way.awaited)
						for range maxExchanges {
							// A connection that was not kept is replaced by one that gets whole responses first.
							isReplaced := way.before > 0 && errors.Is(err, io.EOF) && body == "ok"
							if s.received.Load() != before || !isReplaced && !notSent(err) {
								break
							}
							body, err = s.exchange(pool, address, way.awaited)
						}
						at := fmt.Sprintf("cut after %q: %q, %v", whole[:cut], body, err)
						g.Expect(s.received.Load()).To(gomega.Equal(before+1), at)
						g.Expect(err).To(gomega.HaveOccurred(), at)
						switch {
						case cut == len(whole) && !form.unmarked && end.closed:
							g.Expect(errors.Is(err, io.EOF)).To(gomega.BeTrue(), at)
							g.Expect(body).To(gomega.Equal("0123456789"), at)
						case cut == len(whole) && !form.unmarked:
							// The reset may overtake what was sent before it.
						case cut < len(form.head):
							g.Expect(MayHaveArrived(err)).To(gomega.BeTrue(), at)
							g.Expect(IsEnd(err)).To(gomega.BeFalse(), at)
						case form.unmarked && end.closed:
							g.Expect(errors.Is(err, ErrUnmarkedEnd)).To(gomega.BeTrue(), at)
							g.Expect(body).To(gomega.Equal(whole[len(form.head):cut]), at)
						default:
							g.Expect(IsEnd(err)).To(gomega.BeFalse(), at)
						}
					}
				})
			}
		}
	}
}

// forwardingLender lends connections that another box forwards. Each is one of a box without a record of failed connections: a
// process that stands still leaves such a record.
type forwardingLender struct{}

// Borrow implements Lender.
func (forwardingLender) Borrow(ctx context.Context, target string) (net.Conn, string, error) {
	conn, release, err := (&Pool{}).Lend(ctx, target, 0)
	if err != nil {
		return nil, "", err
	}
	defer release()
	conn.Close()
	return (&fakeDetour{}).Open(ctx, target)
}

// A target may be slow in the middle of a head.
func TestResponseThatPausesInItsHeadIsRead(t *testing.T) {
	for _, form := range cutForms {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			whole := form.head + form.body
			s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool {
				half := len(form.head) / 2
				io.WriteString(c, whole[:half])
				time.Sleep(500 * time.Millisecond)
				io.WriteString(c, whole[half:])
				return false
			})
			body, err := (&cutTarget{address: s.address}).exchange(&Pool{}, s.address, false)
			g.Expect(IsEnd(err)).To(gomega.BeTrue(), "%v", err)
			g.Expect(body).To(gomega.Equal("0123456789"))
		})
	}
}

// What a target sends after a whole response, at once or later, must not be taken for the start of the next one.
func TestHeadAfterAWholeResponseAnswersNothing(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nId: extra\r\nContent-Length: 5\r\n\r\nextra"
	for _, tc := range []struct {
		// pause is the time between the response and what follows, of which each step'th byte is the last.
		pause time.Duration
		step  int
	}{{0, 1}, {20 * time.Millisecond, 6}} {
		t.Run(tc.pause.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var sent atomic.Value
			// written receives once what follows a response is on its way.
			written := make(chan struct{}, 1)
			s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool {
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				if tc.pause == 0 {
					io.WriteString(c, answer+sent.Load().(string))
					return true
				}
				io.WriteString(c, answer)
				time.Sleep(tc.pause)
				io.WriteString(c, sent.Load().(string))
				written <- struct{}{}
				return true
			})
			pool := &Pool{}
			sends := 0
			for cut := 1; cut <= len(extra); cut += tc.step {
				sent.Store(extra[:cut])
				for range 2 {
					sends++
					body, err := get(pool, s.address)
					g.Expect(err).NotTo(gomega.HaveOccurred(), "after %q", extra[:cut])
					g.Expect(body).To(gomega.Equal("ok"), "after %q", extra[:cut])
					if tc.pause > 0 {
						<-written
						time.Sleep(tc.pause)
					}
				}
			}
			g.Expect(s.conns.Load()).To(gomega.BeNumerically("==", sends))
		})
	}
}
