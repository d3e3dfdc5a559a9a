package target

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/memory"
	"embertally.dev/core/testip"
)

// endlessHeads are forms of bytes that never become a head.
var endlessHeads = []struct{ name, start, repeated string }{
	{"zero bytes", "", "\x00"},
	{"a status line", "HTTP/1.1 200 ", "O"},
	{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"long fields", "HTTP/1.1 200 OK\r\n", "Name: " + strings.Repeat("v", 1000) + "\r\n"},
	{"continuation lines", "HTTP/1.1 200 OK\r\nName: v\r\n", " v\r\n"},
	{"the name of a field", "HTTP/1.1 200 OK\r\n", "n"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"interim responses with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{"empty lines", "", "\r\n"},
}

// limitedLink carries 100 MB a second for all connections together, as much as the link of a box.
type limitedLink struct{ mu sync.Mutex }

// sendEndlessly sends a form until the connection is closed.
func (k *limitedLink) sendEndlessly(c io.Writer, start, repeated string) {
	const perSecond, chunkBytes = 100 << 20, 32 << 10
	_, err := io.WriteString(c, start)
	chunk := bytes.Repeat([]byte(repeated), 1+chunkBytes/len(repeated))
	for err == nil {
		k.mu.Lock()
		time.Sleep(time.Duration(len(chunk)) * time.Second / perSecond)
		k.mu.Unlock()
		_, err = c.Write(chunk)
	}
}

// Guards against a daemon that goes over its memory, and loses all that is in flight there, since a target sends a head
// without end: it was read until the deadline of the request.
func TestEndlessHeadsTakeLittleMemory(t *testing.T) {
	const (
		connections = 40
		heapBound   = 24 << 20 // what a daemon of 134 MB has for heads besides its own 30 MB, several times over
	)
	for _, tc := range endlessHeads {
		t.Run(tc.name, func(t *testing.T) {
			g, link := gomega.NewWithT(t), &limitedLink{}
			l, err := testip.Listen()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							link.sendEndlessly(c, tc.start, tc.repeated)
						}
					}()
				}
			}()
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			pool := &Pool{Memory: &memory.Budget{}}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			for range connections {
				wg.Go(func() {
					_, err := pool.Send(ctx, l.Addr().String(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
					g.Expect(MayHaveArrived(err)).To(gomega.BeTrue(), "%v", err)
				})
			}
			wg.Wait()
			_, most := pool.Memory.Held(memory.Heads)
			g.Expect(most).To(gomega.BeNumerically("<=", connections*(maxHeadBytes+readBufferSize)))
			var after runtime.MemStats
			runtime.ReadMemStats(&after)
			g.Expect(int64(after.HeapSys) - int64(before.HeapSys)).To(gomega.BeNumerically("<", heapBound))
		})
	}
}

// The bound is for what is no head; those that targets send are far shorter, and what follows them is not counted.
func TestLongHeadsAreRead(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		whole      bool
	}{
		{"many fields", strings.Repeat("Name: value\r\n", maxHeadLines-10), true},
		{"a long field", "Name: " + strings.Repeat("v", maxHeadBytes-1<<10) + "\r\n", true},
		{"too many fields", strings.Repeat("Name: value\r\n", 2*maxHeadLines), false},
		{"too long a field", "Name: " + strings.Repeat("v", maxHeadBytes+readBufferSize) + "\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			body := strings.Repeat("line\n", 2*maxHeadLines)
			s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool {
				fmt.Fprintf(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", tc.head, len(body), body)
				return true
			})
			pool := &Pool{Memory: &memory.Budget{}}
			for range 2 {
				got, err := get(pool, s.address)
				if tc.whole {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(got).To(gomega.Equal(body))
				} else {
					g.Expect(errors.Is(err, ErrHeadTooLong)).To(gomega.BeTrue(), "%v", err)
				}
			}
			held, _ := pool.Memory.Held(memory.Heads)
			g.Expect(held).To(gomega.BeZero())
		})
	}
}
