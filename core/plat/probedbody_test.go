package plat_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
)

// A connection that goes silent within a response must not keep the reader until the response's time
// limit: the rest of it never arrives.
func TestClientGivesUpConnectionsThatGoSilentWithinAResponse(t *testing.T) {
	const pause = 50 * time.Millisecond
	half := strings.Repeat("x", 1000)
	tests := []struct {
		name string
		// resumes makes the service send the rest of the response after the first probe.
		resumes bool
		// hangs makes the service respond to no probe until the rest was sent.
		hangs    bool
		replaced int64
	}{
		{"the rest never comes", false, false, 1},
		{"the service hangs as a whole", true, true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			probed, resume := make(chan struct{}, 10), make(chan struct{})
			srv := testip.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/probe" {
					probed <- struct{}{}
					if tc.hangs {
						<-resume
					}
					return
				}
				io.WriteString(w, half)
				w.(http.Flusher).Flush()
				select {
				case <-resume:
					io.WriteString(w, half)
				case <-r.Context().Done():
				}
			}))
			t.Cleanup(srv.Close)
			client := &plat.Client{Transport: &http.Transport{}}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			request := func(path string) *http.Request {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+path, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return req
			}
			resp, err := client.DoProbed(request("/"), plat.Probe{After: 10 * time.Second, Request: request("/"), Pause: pause, PauseRequest: request("/probe")})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Body.Close()
			go func() {
				<-probed
				if tc.resumes {
					close(resume)
				}
			}()
			body, err := io.ReadAll(resp.Body)
			if tc.resumes {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.HaveLen(2 * len(half)))
			} else {
				g.Expect(err).To(gomega.MatchError(plat.ErrSilent))
			}
			g.Expect(client.Replaced()).To(gomega.Equal(tc.replaced))
		})
	}
}
