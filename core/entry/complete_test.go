package entry

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
)

// newTestServer returns a server whose only organisation has the key "secret".
func newTestServer(t *testing.T) *Server {
	t.Helper()
	events := &event.Log{}
	store := conf.NewStore(events)
	spec := fmt.Sprintf(`{"keyHashes":[%q]}`, conf.HashKey("secret"))
	store.Replace(conf.Full{Seq: 1, Resources: []conf.Change{{Seq: 1, Kind: conf.KindOrganisation, Name: "one", Spec: []byte(spec)}}})
	return New(Options{
		Conf: store, Fleet: fleet.New(fleet.Options{Name: "box", Log: events}), Log: events, MaxRunningPerOrganisation: 1,
		NotReadyReason: func() string { return "" },
	})
}

// Guards against handlers that end without a whole answer, by a panic or because the caller seems to have left, after which the answer looks complete.
func TestAnswersThatAreNotPassedOnToTheirEndNeverLookComplete(t *testing.T) {
	begin := func(c echo.Context) {
		c.Response().WriteHeader(http.StatusOK)
		io.WriteString(c.Response(), "begun")
		c.Response().Flush()
	}
	refusal := refuse(http.StatusBadGateway, CodeTargetFailed, Unknown, "no target gave an answer")
	for _, connection := range []struct {
		protocol string
		secure   bool
	}{{"HTTP/1.1", false}, {"HTTP/1.0", false}, {"HTTP/1.1", true}, {"HTTP/1.0", true}} {
		for _, tc := range []struct {
			name, key string
			handler   func(s *Server, c echo.Context, q *request) *Refusal
			// status is that of a whole answer; 0 if there is none.
			status int
		}{
			{"whole", "secret", func(s *Server, c echo.Context, q *request) *Refusal {
				s.recordWritten(q, c.String(http.StatusOK, "whole"))
				return nil
			}, http.StatusOK},
			{"large", "secret", func(s *Server, c echo.Context, q *request) *Refusal {
				s.recordWritten(q, c.String(http.StatusOK, strings.Repeat("x", 1<<20)))
				return nil
			}, http.StatusOK},
			{"refused for its key", "nobody", nil, http.StatusUnauthorized},
			{"refused", "secret", func(*Server, echo.Context, *request) *Refusal { return refusal }, http.StatusBadGateway},
			{"refused after its beginning", "secret", func(_ *Server, c echo.Context, _ *request) *Refusal { begin(c); return refusal }, 0},
			{"panic", "secret", func(*Server, echo.Context, *request) *Refusal { panic("a broken invariant") }, http.StatusInternalServerError},
			{"panic after the beginning", "secret", func(_ *Server, c echo.Context, _ *request) *Refusal { begin(c); panic("a broken invariant") }, 0},
			{"server closed after the beginning", "secret", func(_ *Server, c echo.Context, _ *request) *Refusal {
				begin(c)
				_ = CloseServer(c.Request().Context().Value(http.ServerContextKey).(*http.Server))
				return nil
			}, 0},
			{"connection closed by the handler", "secret", func(_ *Server, c echo.Context, q *request) *Refusal {
				conn, _, err := c.Response().Hijack()
				if err == nil {
					conn.Close()
				}
				q.complete = true
				return nil
			}, 0},
			{"caller left", "secret", func(*Server, echo.Context, *request) *Refusal { return nil }, 0},
			{"caller left after the beginning", "secret", func(_ *Server, c echo.Context, _ *request) *Refusal { begin(c); return nil }, 0},
		} {
			name := connection.protocol + ", " + tc.name
			if connection.secure {
				name = "TLS, " + name
			}
			t.Run(name, func(t *testing.T) {
				g, s := gomega.NewWithT(t), newTestServer(t)
				e := echo.New()
				e.GET("/", s.handle(func(c echo.Context, q *request) *Refusal { return tc.handler(s, c, q) }))
				server := httptest.NewUnstartedServer(MarkEnds(e))
				server.Config.ConnContext = ConnContext
				var serverLog bytes.Buffer
				server.Config.ErrorLog = log.New(&serverLog, "", 0)
				dial := net.Dial
				if connection.secure {
					server.StartTLS()
					dial = func(network, address string) (net.Conn, error) {
						return tls.Dial(network, address, server.Client().Transport.(*http.Transport).TLSClientConfig)
					}
				} else {
					server.Start()
				}
				t.Cleanup(func() {
					server.Close()
					g.Expect(serverLog.String()).To(gomega.BeEmpty())
				})
				c, err := dial("tcp", server.Listener.Addr().String())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer c.Close()
				fmt.Fprintf(c, "GET / %s\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", connection.protocol, tc.key)
				status, body := 0, []byte(nil)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					defer resp.Body.Close()
					status = resp.StatusCode
					body, err = io.ReadAll(resp.Body)
				}
				if tc.status == 0 {
					g.Expect(err).To(gomega.HaveOccurred(), "%d %q looks complete", status, body)
					return
				}
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(tc.status))
			})
		}
	}
}
