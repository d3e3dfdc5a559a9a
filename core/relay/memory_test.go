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

// Guards against heads within the limit that are refused since spaces are counted that were not sent.
func TestHeaderLimitCountsWhatWasSent(t *testing.T) {
	const limit = 16 << 10
	for _, tc := range []struct {
		name, line string
		// bytes is the length of all fields.
		bytes  int
		status int
	}{
		{"short lines without spaces", "A:b\r\n", limit, http.StatusOK},
		{"short lines with spaces", "A: b\r\n", limit, http.StatusOK},
		{"short lines without spaces, beyond", "A:b\r\n", limit + 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.SetTable(table.New(table.Spec{
				Version: 2, Routes: testRoutes, Services: []table.Service{{Name: "plain"}},
				Organisations: []table.Organisation{{Name: "org", Keys: []string{"secret"}}},
				Limits:        table.Limits{MaxHeaderBytes: limit},
			}))
			r.target("a", "plain", always(respond(200, "")))
			fields := "Host:h\r\nId:try-1\r\nKey:secret\r\nContent-Length:0\r\n"
			const last = "B:%s\r\n"
			fields += strings.Repeat(tc.line, (tc.bytes-len(fields)-len(last))/len(tc.line))
			fields += fmt.Sprintf(last, strings.Repeat("x", tc.bytes-len(fields)-len("B:\r\n")))
			conn, err := net.Dial("tcp", r.front.Listener.Addr().String())
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\n"+fields+"\r\n")
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Body.Close()
			r.g.Expect(resp.StatusCode).To(gomega.Equal(tc.status))
		})
	}
}

// Guards against requests that go on for ever since their body does not arrive.
func TestRequestsWhoseBodiesDoNotArriveEnd(t *testing.T) {
	const head = "POST /once/ HTTP/1.1\r\nHost: h\r\nId: try-1\r\nKey: secret\r\nDeadline: 300\r\n"
	for _, tc := range []struct {
		name, sent string
		status     int
		ran        int
	}{
		{"a body that does not arrive", head + "Content-Length: 10\r\n\r\nbod", http.StatusRequestTimeout, 0},
		{"chunks that do not end", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n", http.StatusRequestTimeout, 0},
		{"a whole body", head + "Content-Length: 4\r\n\r\nbody", http.StatusOK, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("a", "plain", always(respond(200, "")))
			conn, err := net.Dial("tcp", r.front.Listener.Addr().String())
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(30 * time.Second))
			_, err = io.WriteString(conn, tc.sent)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Body.Close()
			r.g.Expect(resp.StatusCode).To(gomega.Equal(tc.status))
			r.g.Eventually(func() int { return len(r.received()) }, "10s", "5ms").Should(gomega.Equal(tc.ran))
			r.g.Eventually(func() int { return int(r.relay.Running()) }, "30s", "5ms").Should(gomega.BeZero())
			r.g.Expect(r.received()).To(gomega.HaveLen(tc.ran))
		})
	}
}
