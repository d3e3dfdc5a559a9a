package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// sendAndCloseWrite sends a request, closes the sending half of its connection after a delay, and reads on.
func (r *rig) sendAndCloseWrite(protocol, path string, delay time.Duration, headers ...string) callerAnswer {
	c, err := net.Dial("tcp", r.front.Listener.Addr().String())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	r.g.Expect(c.SetDeadline(time.Now().Add(8 * time.Second))).To(gomega.Succeed())
	fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nId: try-1\r\nModel: m\r\n%sContent-Length: 1\r\n\r\nx", path, protocol, strings.Join(append(headers, ""), "\r\n"))
	if delay > 0 {
		time.Sleep(delay)
	}
	r.g.Expect(c.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return callerAnswer{resp.StatusCode, resp.Header, string(raw), err}
}

// inPieces responds with chunks of a body, with a pause before each.
func inPieces(pause time.Duration, pieces ...string) handler {
	return func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, piece := range pieces {
			time.Sleep(pause)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece)
			if err := w.Flush(); err != nil {
				return err
			}
		}
		fmt.Fprint(w, "0\r\n\r\n")
		return nil
	}
}

// Guards against a cut or empty answer that reaches a caller as a whole one after the caller has closed the sending half of its connection.
func TestCutAnswersOfHalfClosedConnectionsNeverLookComplete(t *testing.T) {
	const pause = 100 * time.Millisecond
	events := []string{event1, event2, "id: 3\ndata: word 3\n\n", "id: 4\ndata: word 4\n\n"}
	// More than is buffered before a plain answer is passed on.
	large := strings.Repeat("x", maxBufferedBytes)
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, tc := range []struct {
			name, path, key string
			delay           time.Duration
			whole           string
		}{
			{"stream, with the request", "/stream/x", "secret", 0, strings.Join(events, "")},
			{"stream, before its first event", "/stream/x", "secret", pause / 2, strings.Join(events, "")},
			{"stream, after its first event", "/stream/x", "secret", 3 * pause / 2, strings.Join(events, "")},
			{"stream with one attempt, after its first event", "/single/x", "secret", 3 * pause / 2, strings.Join(events, "")},
			{"stream, after its end", "/stream/x", "secret", 6 * pause, strings.Join(events, "")},
			{"plain, before its body", "/read/x", "secret", pause / 2, large + large + large},
			{"plain, after the start of its body", "/read/x", "secret", 5 * pause / 2, large + large + large},
			{"plain that may be sent once", "/once/x", "secret", pause / 2, large + large + large},
			{"refused for its key", "/read/x", "nobody", 0, ""},
		} {
			t.Run(protocol+", "+tc.name, func(t *testing.T) {
				r := newRig(t, nil)
				r.target("a", "llm", always(inPieces(pause, events...)))
				r.target("b", "plain", always(inPieces(pause, large, large, large)))
				got := r.sendAndCloseWrite(protocol, tc.path, tc.delay, "Key: "+tc.key)
				if got.err != nil || got.status != http.StatusOK {
					return
				}
				r.g.Expect(len(got.body)).To(gomega.Equal(len(tc.whole)), "%.100q, of %.100q", got.body, tc.whole)
				r.g.Expect(got.body).To(gomega.Equal(tc.whole))
			})
		}
	}
}
