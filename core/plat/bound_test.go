package plat

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/memory"
	"embertally.dev/core/testip"
)

// Guards against a target that answers an order or a request for a report with bytes without end: each response has a bound,
// all together have one, and what is read is given back.
func TestEndlessResponsesToCallsAreBounded(t *testing.T) {
	const calls, limit, largest = 20, 4 << 20, 1 << 20
	for _, tc := range []struct {
		name string
		send func(c *Client, req *http.Request) (*http.Response, error)
	}{
		{"sent once", func(c *Client, req *http.Request) (*http.Response, error) { return c.Do(req) }},
		{"probed", func(c *Client, req *http.Request) (*http.Response, error) {
			return c.DoProbed(req, Probe{After: time.Second, Request: req.Clone(req.Context()), Answers: true})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := testip.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				chunk := []byte(strings.Repeat("x", 32<<10))
				for {
					if _, err := w.Write(chunk); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			c := &Client{Transport: &http.Transport{}, ManyServices: true, MaxResponse: largest, Memory: &memory.Budget{Limit: limit}}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			for range calls {
				wg.Go(func() {
					req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					resp, err := tc.send(c, req)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					read, err := io.Copy(io.Discard, resp.Body)
					g.Expect(err).To(gomega.HaveOccurred())
					g.Expect(read).To(gomega.BeNumerically("<=", largest))
					resp.Body.Close()
				})
			}
			wg.Wait()
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
			now, most := c.Memory.Held(memory.Calls)
			g.Expect(now).To(gomega.BeZero())
			g.Expect(most).To(gomega.BeNumerically("<=", limit+calls*32<<10))
		})
	}
}
