package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
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
				l, err := net.Listen("tcp", "127.0.0.1:0")
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
