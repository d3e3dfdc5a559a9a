package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/testip"
)

// A connection reports a reset once and an ordinary end afterwards; whoever read again took a broken answer
// for a whole one.
func TestReadErrorIsReturnedAgain(t *testing.T) {
	for _, tc := range []struct {
		name, lines, sent string
		reset             bool
	}{
		{"length, closed", "Content-Length: 4\r\n", "", false},
		{"length, reset", "Content-Length: 4\r\n", "", true},
		{"length, closed partway", "Content-Length: 4\r\n", "ab", false},
		{"chunks, closed", "Transfer-Encoding: chunked\r\n", "", false},
		{"chunks, reset partway", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n", true},
		{"connection, reset", "", "", true},
		{"connection, reset partway", "", "ab", true},
	} {
		for _, awaited := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				l, err := testip.Listen()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer l.Close()
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tc.lines+"\r\n"+tc.sent)
					if tc.reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				}()
				resp, err := (&Pool{}).Send(context.Background(), l.Addr().String(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer resp.Close()
				if awaited {
					g.Expect(resp.AwaitBody() == nil).To(gomega.Equal(tc.sent != ""))
				}
				_, err = io.ReadAll(resp)
				g.Expect(err).To(gomega.HaveOccurred())
				for range 2 {
					_, again := resp.Read(make([]byte, 8))
					g.Expect(errors.Is(again, io.EOF) && !errors.Is(again, io.ErrUnexpectedEOF)).To(gomega.BeFalse(), "%v after %v", again, err)
				}
			})
		}
	}
}

// listenAsOnALink listens for connections with the segments of a link between boxes and small windows. On the loopback
// interface the kernel would take a long request into its buffers at once.
func listenAsOnALink(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without the options the test shows less.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", testip.IP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against half of an answer as a whole one: the write of a long request took the error of the reset, and the
// read got an ordinary end.
func TestResetUnderARequestIsNoEnd(t *testing.T) {
	const half = "half of the answer"
	readOn := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	for _, tc := range []struct {
		name string
		// body is the size of the request's body.
		body int
		// end ends the connection after the response.
		end func(c *net.TCPConn)
		// whole is set if the end counts as one.
		whole bool
	}{
		{"closed with a part of the request unread", 1 << 20, func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); c.Close() }, false},
		{"reset", 1 << 20, func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0); c.Close() }, false},
		{"sending side closed, then reset", 1 << 20, func(c *net.TCPConn) { c.CloseWrite(); time.Sleep(20 * time.Millisecond); c.Close() }, false},
		{"sending side closed, reads on", 1 << 20, func(c *net.TCPConn) { c.CloseWrite(); time.Sleep(20 * time.Millisecond); readOn(c) }, true},
		{"closed after reading the request", 1 << 20, func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 1<<19); c.CloseWrite(); readOn(c) }, true},
		{"a short request, closed with it unread", 2 << 10, func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); c.Close() }, false},
		{"no body", 0, func(c *net.TCPConn) { c.Close() }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := listenAsOnALink(t)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						// Only the head is read: one byte at a time, so that no buffer takes more.
						for last := ""; !strings.HasSuffix(last, "\r\n\r\n"); {
							var b [1]byte
							if _, err := c.Read(b[:]); err != nil {
								return
							}
							last += string(b[:])
						}
						io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+half)
						tc.end(c.(*net.TCPConn))
					}()
				}
			}()
			for range 20 {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				resp, err := (&Pool{}).Send(ctx, l.Addr().String(), &Request{
					Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte{'x'}, tc.body),
				})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				got, err := readAllOf(resp)
				g.Expect(string(got)).To(gomega.Equal(half))
				g.Expect(IsEnd(err)).To(gomega.Equal(tc.whole), "%v", err)
				resp.Close()
				cancel()
			}
		})
	}
}

// readAllOf reads a body and returns the error that ended it, whichever that was.
func readAllOf(r io.Reader) ([]byte, error) {
	var out []byte
	buffer := make([]byte, 512)
	for {
		n, err := r.Read(buffer)
		out = append(out, buffer[:n]...)
		if err != nil {
			return out, err
		}
	}
}
