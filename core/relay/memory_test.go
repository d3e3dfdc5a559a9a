package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/memory"
	"embertally.dev/core/table"
)

// Guards against a daemon that holds more than its memory of what callers send and targets answer: a request that finds no
// room is refused at once, not run, and an answer is passed on without being kept for a retry.
func TestNoRoomForRequestsAndAnswers(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, tc := range []struct {
		name, body string
		// held is what others hold.
		held   int64
		status int
		ran    int
	}{
		{"a usual request", "x", 1 << 20, http.StatusOK, 1},
		{"a long request", long, 1 << 20, http.StatusServiceUnavailable, 0},
		{"a long request, room again", long, 0, http.StatusOK, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			budget := &memory.Budget{Limit: 1 << 20}
			r.relay.options.Pool.Memory = budget
			r.target("a", "plain", always(respond(200, long)))
			others := budget.Hold(memory.Events)
			r.g.Expect(others.Grow(tc.held)).To(gomega.Succeed())
			got := r.send(http.MethodPost, "/once/", tc.body)
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			r.g.Expect(r.received()).To(gomega.HaveLen(tc.ran))
			if tc.ran > 0 {
				r.g.Expect(got.body).To(gomega.Equal(long))
			} else {
				r.g.Expect(got.body).To(gomega.ContainSubstring(`"ran":"notRun"`))
				r.g.Expect(got.header.Get("Come-Back")).NotTo(gomega.BeEmpty())
			}
			for _, kind := range memory.Kinds() {
				if kind != memory.Events {
					r.g.Eventually(func() int64 { now, _ := budget.Held(kind); return now }, "5s", "5ms").Should(gomega.BeZero(), kind.String())
				}
			}
		})
	}
}

// Guards against callers' header fields beyond the configured limit, which was not applied.
func TestHeadersAreBounded(t *testing.T) {
	const limit = 16 << 10
	for _, tc := range []struct {
		name         string
		limit, field int
		status       int
	}{
		{"within", limit, limit - 1000, http.StatusOK},
		{"beyond", limit, limit, http.StatusRequestHeaderFieldsTooLarge},
		{"without a limit", 0, limit, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.SetTable(table.New(table.Spec{
				Version: 2, Routes: testRoutes, Services: []table.Service{{Name: "plain"}},
				Organisations: []table.Organisation{{Name: "org", Keys: []string{"secret"}}},
				Limits:        table.Limits{MaxHeaderBytes: tc.limit},
			}))
			r.target("a", "plain", always(respond(200, "")))
			got := r.send(http.MethodPost, "/once/", "x", "Padding", strings.Repeat("x", tc.field))
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			if tc.status != http.StatusOK {
				r.g.Expect(got.body).To(gomega.ContainSubstring(`"ran":"notRun"`))
				r.g.Expect(r.received()).To(gomega.BeEmpty())
			}
		})
	}
}

// Guards against refusals that are lost in a reset: the connection was closed with a part of the body unread.
func TestRefusalsReachCallersThatCloseTheirConnection(t *testing.T) {
	const tries = 20
	long := strings.Repeat("x", 1<<20)
	for _, tc := range []struct {
		name, path, key string
		status          int
	}{
		{"unknown key", "/once/", "unknown", http.StatusUnauthorized},
		{"unknown path", "/nowhere/", "secret", http.StatusNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			for range tries {
				got := r.send(http.MethodPost, tc.path, long, "Key", tc.key)
				r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
				r.g.Expect(got.status).To(gomega.Equal(tc.status))
			}
		})
	}
}
