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
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"embertally.dev/core/testip"
)

// server responds to each request on each connection by a function.
type server struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

func serve(t *testing.T, respond func(c net.Conn, n int64, r *http.Request) bool) *server {
	l, err := testip.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.run(c, respond)
		}
	}()
	return s
}

func (s *server) run(c net.Conn, respond func(c net.Conn, n int64, r *http.Request) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !respond(c, s.requests.Add(1), req) {
			return
		}
	}
}

func writeResponse(c net.Conn, text string, extra string) bool {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(text), text)
	return true
}

func get(p *Pool, address string) (string, error) {
	in, err := p.Send(context.Background(), address,
		&Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer in.Close()
	raw, err := io.ReadAll(in)
	return string(raw), err
}

func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ int64, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		return writeResponse(c, "yes", "")
	})
	p := &Pool{}
	for range 5 {
		text, err := get(p, s.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(text).To(gomega.Equal("yes"))
	}
	g.Expect(s.conns.Load()).To(gomega.Equal(int64(1)))
	p.CloseIdle(s.address)
	_, err := get(p, s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.conns.Load()).To(gomega.Equal(int64(2)))
}

func TestConnectionsNotReused(t *testing.T) {
	tests := []struct {
		name    string
		respond func(c net.Conn) bool
		// end, if not nil, is the error that ends the body.
		end error
	}{
		{"Connection: close", func(c net.Conn) bool { return writeResponse(c, "yes", "Connection: close\r\n") }, nil},
		{"keep-alive time of zero", func(c net.Conn) bool { return writeResponse(c, "yes", "Keep-Alive: timeout=0\r\n") }, nil},
		{"bytes after the response", func(c net.Conn) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			return true
		}, nil},
		{"no length", func(c net.Conn) bool { fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nyes"); return false }, ErrUnmarkedEnd},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { return tc.respond(c) })
			p := &Pool{}
			for range 3 {
				text, err := get(p, s.address)
				if tc.end == nil {
					g.Expect(err).NotTo(gomega.HaveOccurred())
				} else {
					g.Expect(errors.Is(err, tc.end)).To(gomega.BeTrue(), "%v", err)
				}
				g.Expect(text).To(gomega.Equal("yes"))
			}
			g.Expect(s.conns.Load()).To(gomega.Equal(int64(3)))
		})
	}
}

func TestRequestIsNeverSentTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, n int64, _ *http.Request) bool {
		if n == 2 {
			return false // a reused connection that is closed during a request
		}
		return writeResponse(c, "yes", "")
	})
	p := &Pool{}
	_, err := get(p, s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = get(p, s.address)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MayHaveArrived(err)).To(gomega.BeTrue())
	g.Expect(s.requests.Load()).To(gomega.Equal(int64(2)))
}

func TestUnsentRequestIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := l.Addr().String()
	l.Close()
	_, err = get(&Pool{}, address)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MayHaveArrived(err)).To(gomega.BeFalse())
}

func TestTruncatedResponsesFail(t *testing.T) {
	tests := []struct{ name, raw string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"},
		{"chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nyes"},
		{"last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n"},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nyes\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { fmt.Fprint(c, tc.raw); return false })
			_, err := get(&Pool{}, s.address)
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		})
	}
}

func TestResponseBeforeBodyIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { return writeResponse(c, "no", "") })
	p := &Pool{}
	body := []byte(strings.Repeat("x", 64<<20)) // more than the sockets' buffers hold
	for range 2 {
		in, err := p.Send(context.Background(), s.address,
			&Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		raw, err := io.ReadAll(in)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(raw)).To(gomega.Equal("no"))
		in.Close()
	}
	g.Expect(s.conns.Load()).To(gomega.Equal(int64(2)))
}

func TestConnectionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { <-release; return writeResponse(c, "yes", "") })
	p := &Pool{}
	p.SetMaxConns(s.address, 1)
	done := make(chan error, 1)
	go func() { _, err := get(p, s.address); done <- err }()
	g.Eventually(func() int { return p.FreeCapacity(s.address) }, "10s", "1ms").Should(gomega.BeZero())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := p.Send(ctx, s.address, &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).To(gomega.MatchError(ErrFull))
	g.Expect(MayHaveArrived(err)).To(gomega.BeFalse())
	close(release)
	g.Expect(<-done).NotTo(gomega.HaveOccurred())
	g.Expect(p.FreeCapacity(s.address)).To(gomega.Equal(1))
}

// A connection that the target closed while a request was on its way ends within a round trip; one
// that it closes after it received the request takes longer. The round trip is the kernel's
// measurement or, without one, the time to open a connection.
func TestRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	var p Pool
	address := l.Addr().String()
	conn, err := p.open(context.Background(), address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	openTime := p.state(address).roundTrip
	g.Expect(openTime).To(gomega.BeNumerically(">", 0))
	g.Expect(conn.minRoundTrip()).To(gomega.BeNumerically(">", 0))
	g.Expect(p.roundTrip(conn)).To(gomega.Equal(conn.minRoundTrip()))
	conn.tcp.Close()
	g.Expect(p.roundTrip(conn)).To(gomega.Equal(openTime))
	p.recordOpen(address, openTime/2, nil)
	p.recordOpen(address, 2*openTime, nil)
	g.Expect(p.roundTrip(conn)).To(gomega.Equal(openTime / 2))
}

// A caller that disconnects while its request gets a connection must not make a target run it.
func TestNothingIsSentForEndedContext(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { return writeResponse(c, "yes", "") })
	p := &Pool{}
	_, err := get(p, s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	admitted := 0
	_, err = p.Send(ctx, s.address, &Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
		BeforeWrite: func() error { admitted++; return nil },
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(MayHaveArrived(err)).To(gomega.BeFalse())
	g.Expect(admitted).To(gomega.BeZero())
	_, err = get(p, s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect([]int64{s.conns.Load(), s.requests.Load()}).To(gomega.Equal([]int64{1, 2}), "the connection is kept")
}

// TCP_USER_TIMEOUT, where it is set, decides when keep-alive probes give up, whatever their number.
func TestSocketOptionsOutlastASilentSecond(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	conn, err := dialer().Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	option := func(name int) (value int) {
		controlErr := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) })
		g.Expect(controlErr).NotTo(gomega.HaveOccurred())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return value
	}
	const longestSilence, longestSearch = 1500 * time.Millisecond, 4 * time.Second
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	firstProbe := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	g.Expect(userTimeout).To(gomega.BeNumerically(">", longestSilence))
	g.Expect(firstProbe + userTimeout).To(gomega.BeNumerically("<=", longestSearch))
	g.Expect(time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second).To(gomega.BeNumerically("<=", userTimeout))
}
