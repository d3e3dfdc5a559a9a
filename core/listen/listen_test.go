package listen

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/memory"
	"embertally.dev/core/testip"
)

// waitTime is a generous bound for conditions that tests wait for.
const waitTime = "10s"

// testServer is an HTTP server on a Listener.
type testServer struct {
	t        *testing.T
	g        *gomega.WithT
	listener *Listener
	server   *http.Server

	servedMu sync.Mutex
	served   []string // the paths of the requests that a handler got; guarded by servedMu
}

// newServer starts a server. Requests for /wait are answered once release is closed.
func newServer(t *testing.T, options Options, release <-chan struct{}) *testServer {
	s := &testServer{t: t, g: gomega.NewWithT(t)}
	l, err := testip.Listen()
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	options.Heads = true
	s.listener = New(l, options)
	s.server = &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.servedMu.Lock()
		s.served = append(s.served, r.URL.Path)
		s.servedMu.Unlock()
		switch r.URL.Path {
		case "/wait":
			<-release
		case "/long":
			// An error means that the connection has ended.
			_, _ = w.Write(make([]byte, longAnswer))
			return
		case "/early":
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		fmt.Fprint(w, "answer")
	}))}
	Attach(s.server)
	go s.server.Serve(s.listener)
	t.Cleanup(func() { s.server.Close() })
	return s
}

// dial opens a connection and sends a text.
func (s *testServer) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(conn, text)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// status returns the status of the answer that arrives on a connection; 0 if it ends without one.
func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// refused reports whether a request on a new connection gets no answer.
func refused(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, get); err != nil {
		return true
	}
	return status(conn) == 0
}

func (s *testServer) paths() []string {
	s.servedMu.Lock()
	defer s.servedMu.Unlock()
	return append([]string(nil), s.served...)
}

// longAnswer is more bytes than the kernel holds of a connection.
const longAnswer = 32 << 20

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against clients that take all places: the one that has waited longest for something of its client gives way.
func TestNewConnectionTakesThePlaceOfTheLongestWaiting(t *testing.T) {
	const begun, withheld, waiting = "GET / HTTP/1.1\r\nHost: x\r\n", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nbo", "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, tc := range []struct {
		name string
		// sent is what the connections send that are open already, and ended the one of them that is ended, or the number of
		// them for the new one.
		sent   []string
		ended  int
		reason Reason
	}{
		{"nothing sent", []string{"", get, withheld}, 0, Unfinished},
		{"the first of two", []string{begun, ""}, 0, Unfinished},
		{"an unfinished head after an idle one", []string{get, begun, withheld}, 1, Unfinished},
		{"the first idle one", []string{withheld, get, get}, 1, Idle},
		{"a body", []string{waiting, withheld}, 1, NoBody},
		{"all are served", []string{waiting, waiting}, 2, Full},
		{"a body in chunks", []string{waiting, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx"}, 1, NoBody},
		{"a whole body in chunks", []string{"POST /wait HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"}, 1, Full},
		{"a whole body", []string{"POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nbo"}, 1, Full},
	} {
		t.Run(tc.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newServer(t, Options{MaxConnections: len(tc.sent)}, release)
			var conns []net.Conn
			requests := 0
			for n, sent := range tc.sent {
				conn := s.dial(sent)
				conns = append(conns, conn)
				if sent == get {
					s.g.Expect(status(conn)).To(gomega.Equal(http.StatusOK))
				}
				if strings.Contains(sent, "\r\n\r\n") {
					requests++
				}
				s.g.Eventually(func() int { return s.listener.Open() }, waitTime, "1ms").Should(gomega.Equal(n + 1))
				s.g.Eventually(func() int { return len(s.paths()) }, waitTime, "1ms").Should(gomega.Equal(requests))
				// What was sent has been read.
				time.Sleep(20 * time.Millisecond)
			}
			if tc.reason == Full {
				s.g.Expect(refused(s.listener.Addr().String())).To(gomega.BeTrue())
			} else {
				s.g.Expect(status(s.dial(get))).To(gomega.Equal(http.StatusOK))
				s.g.Expect(status(conns[tc.ended])).To(gomega.BeZero())
			}
			for _, reason := range Reasons() {
				want := int64(0)
				if reason == tc.reason {
					want = 1
				}
				s.g.Expect(s.listener.Ended(reason)).To(gomega.Equal(want), reason.String())
			}
			close(release)
			for n, conn := range conns {
				if strings.Contains(tc.sent[n], "/wait") {
					s.g.Expect(status(conn)).To(gomega.Equal(http.StatusOK))
				}
			}
		})
	}
}

// Guards against parsers that hold more of all heads together than the memory, and against limits that a single head within
// them meets. Nothing may stay counted.
func TestHeadsAreCountedBeforeTheyAreParsed(t *testing.T) {
	const limit = 16 << 10
	lines := func(bytes int) string { return strings.Repeat("Ab: c\r\n", bytes/len("Ab: c\r\n")) }
	const start, tail = "GET / HTTP/1.1\r\nHost: x\r\n", "\r\n"
	for _, tc := range []struct {
		name, sent string
		// others is what the heads of others hold.
		others int64
		status int
		reason Reason
	}{
		{"an ordinary head", start + tail, 1 << 20, http.StatusOK, reasons},
		{"a head of short lines", start + lines(limit-100) + tail, 0, http.StatusOK, reasons},
		{"a head of short lines, no memory", start + lines(limit-100) + tail, 1 << 20, http.StatusServiceUnavailable, NoMemory},
		{"a head of short lines without its end, no memory", start + lines(limit-100), 1 << 20, http.StatusServiceUnavailable, NoMemory},
		{"one long line", start + "A: " + strings.Repeat("b", limit-100) + "\r\n" + tail, 0, http.StatusOK, reasons},
		{"a head beyond the limit", start + lines(4*limit) + tail, 0, http.StatusRequestHeaderFieldsTooLarge, HeadTooLong},
		{"a line without end", start + "A: " + strings.Repeat("b", 4*limit), 0, http.StatusRequestHeaderFieldsTooLarge, HeadTooLong},
		{"a request line without end", "GET /" + strings.Repeat("b", 4*limit), 0, http.StatusRequestHeaderFieldsTooLarge, HeadTooLong},
		{"a long body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("a\n", 500000), 0, http.StatusOK, reasons},
		{"empty lines", strings.Repeat("\r\n", 100), 0, http.StatusBadRequest, reasons},
	} {
		t.Run(tc.name, func(t *testing.T) {
			budget := &memory.Budget{Limit: 1 << 20}
			s := newServer(t, Options{Memory: budget, MaxHeadBytes: func() int { return limit }}, nil)
			others := budget.Hold(memory.CallerHeads)
			s.g.Expect(others.Grow(tc.others)).To(gomega.Succeed())
			conn := s.dial(tc.sent)
			s.g.Expect(status(conn)).To(gomega.Equal(tc.status))
			for _, reason := range Reasons() {
				want := int64(0)
				if reason == tc.reason {
					want = 1
				}
				s.g.Expect(s.listener.Ended(reason)).To(gomega.Equal(want), reason.String())
			}
			others.Release()
			s.g.Eventually(func() int64 { now, _ := budget.Held(memory.CallerHeads); return now }, waitTime, "1ms").Should(gomega.BeZero())
			if tc.status == http.StatusOK {
				_, err := io.WriteString(conn, get)
				s.g.Expect(err).NotTo(gomega.HaveOccurred())
				s.g.Expect(status(conn)).To(gomega.Equal(http.StatusOK), "the connection goes on")
				return
			}
			s.g.Expect(s.paths()).To(gomega.BeEmpty())
		})
	}
}

// Guards against heads that are not counted since their beginning is read together with the request before, which is what the
// server keeps in its buffer.
func TestHeadsThatFollowAtOnceAreCounted(t *testing.T) {
	const names = 300
	for _, tc := range []struct{ name, first string }{
		{"without a body", get},
		{"with a body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"},
		{"with a body in chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"after two", get + get},
	} {
		t.Run(tc.name, func(t *testing.T) {
			budget := &memory.Budget{Limit: 1 << 20}
			s := newServer(t, Options{Memory: budget}, nil)
			held := func() int64 { now, _ := budget.Held(memory.CallerHeads); return now }
			var lines bytes.Buffer
			for n := range names {
				fmt.Fprintf(&lines, "A%d:b\r\n", n)
			}
			conn := s.dial(tc.first + "GET /next HTTP/1.1\r\nHost: x\r\n" + lines.String())
			requests := strings.Count(tc.first, "HTTP")
			s.g.Eventually(func() int { return len(s.paths()) }, waitTime, "1ms").Should(gomega.Equal(requests))
			s.g.Eventually(held, waitTime, "1ms").Should(gomega.BeNumerically(">=", names*bytesPerLine))
			_, err := io.WriteString(conn, "\r\n")
			s.g.Expect(err).NotTo(gomega.HaveOccurred())
			s.g.Eventually(s.paths, waitTime, "1ms").Should(gomega.ContainElement("/next"))
			conn.Close()
			s.g.Eventually(held, waitTime, "1ms").Should(gomega.BeZero())
		})
	}
}

// Guards against connections that keep their places for ever since the client does not read the answer or, after it, does not
// send its body.
func TestConnectionsOfClientsThatStandStillEnd(t *testing.T) {
	for _, tc := range []struct {
		name, sent string
		requests   int
	}{
		{"answers not read", strings.Repeat("GET /long HTTP/1.1\r\nHost: x\r\n\r\n", 10), 1},
		{"a body that is not asked for", "POST /early HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nb", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, Options{WriteTimeout: 200 * time.Millisecond}, nil)
			s.dial(tc.sent)
			s.g.Eventually(s.paths, waitTime, "1ms").Should(gomega.HaveLen(tc.requests))
			s.g.Eventually(s.listener.Open, waitTime, "1ms").Should(gomega.BeZero())
			s.g.Expect(s.paths()).To(gomega.HaveLen(tc.requests))
		})
	}
}

// Guards against write timeouts of a handler that do not hold, or that end an answer which its client reads slowly.
func TestSlowClientsGetTheirAnswers(t *testing.T) {
	s := newServer(t, Options{WriteTimeout: 500 * time.Millisecond}, nil)
	conn := s.dial("GET /long HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	got := 0
	b := make([]byte, 2<<20)
	for {
		n, err := io.ReadFull(conn, b)
		got += n
		if err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.g.Expect(got).To(gomega.BeNumerically(">", longAnswer))
}

// Guards against peers that lose their places to connections that have proved no name.
func TestConnectionsInUseKeepTheirPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer inner.Close()
	l := New(inner, Options{MaxConnections: 2})
	accept := func() *Conn {
		client, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { client.Close() })
		c, err := l.Accept()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c.(*Conn)
	}
	peer, unnamed := accept(), accept()
	g.Expect(peer.Serve()).To(gomega.BeTrue())
	later := accept()
	g.Expect(unnamed.Serve()).To(gomega.BeFalse())
	g.Expect(peer.Serve()).To(gomega.BeTrue())
	g.Expect(later.Serve()).To(gomega.BeTrue())
	g.Expect(l.Open()).To(gomega.Equal(2))
	g.Expect(later.Close()).To(gomega.Succeed())
	g.Expect(l.Open()).To(gomega.Equal(1))
}

// busyListener fails with an error that passes, and then accepts.
type busyListener struct {
	net.Listener
	// failures is how often it still fails.
	failures int
}

func (b *busyListener) Accept() (net.Conn, error) {
	if b.failures > 0 {
		b.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return b.Listener.Accept()
}

// Guards against listeners that end, or that keep all their connections, when the process has no descriptor left.
func TestNoDescriptorLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer inner.Close()
	busy := &busyListener{Listener: inner}
	l := New(busy, Options{})
	first, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer first.Close()
	_, err = l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	busy.failures = 1
	_, err = l.Accept()
	// http.Server looks at it in the same way.
	passing, ok := err.(net.Error)
	//lint:ignore SA1019 as in temporary
	g.Expect(ok && passing.Temporary()).To(gomega.BeTrue())
	g.Expect(l.Open()).To(gomega.BeZero())
	g.Expect(l.Ended(Unfinished)).To(gomega.BeEquivalentTo(1))
}

func TestSharesOfSockets(t *testing.T) {
	for _, tc := range []struct {
		sockets    int
		part       float64
		most, want int
	}{
		{4000, 0.5, 10, 10},
		{4000, 0.5, 4000, 2000},
		{1, 0.5, 4000, 1},
	} {
		if got := Share(tc.sockets, tc.part, tc.most); got != tc.want {
			t.Errorf("Share(%d, %v, %d) = %d, want %d", tc.sockets, tc.part, tc.most, got, tc.want)
		}
	}
}

// FuzzHeadScanner compares the scanner with the parser: bytes after the head are not its own, and a head that the parser takes
// for whole may not go on for the scanner unless the parser ends it by a line of spaces.
func FuzzHeadScanner(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\nrest", 3)
	f.Add("\r\n\r\nGET / HTTP/1.1\nHost: x\n\nrest", 1)
	f.Add("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 20)
	f.Fuzz(func(t *testing.T, text string, step int) {
		step = max(step, 1)
		var whole, pieces headScanner
		used, lines, end := whole.scan([]byte(text))
		usedInPieces, linesInPieces, endInPieces := 0, 0, false
		for at := 0; at < len(text) && !endInPieces; at += step {
			u, n, e := pieces.scan([]byte(text[at:min(at+step, len(text))]))
			usedInPieces, linesInPieces, endInPieces = usedInPieces+u, linesInPieces+n, e
		}
		if used != usedInPieces || lines != linesInPieces || end != endInPieces || whole.bytes != used {
			t.Fatalf("%d %d %t at once, %d %d %t in pieces of %d", used, lines, end, usedInPieces, linesInPieces, endInPieces, step)
		}
		if !end {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text[:used-1]))); err == nil {
			// The parser must need the last byte, unless a line of spaces has ended the head.
			if !strings.Contains(text, " ") && !strings.Contains(text, "\t") {
				t.Fatalf("%q is whole without its last byte", text[:used])
			}
		}
	})
}
