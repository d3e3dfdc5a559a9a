package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/target"
	"embertally.dev/core/testip"
)

// lateService answers calls with their paths. On a connection that it has used before, an answer to another call comes first.
type lateService struct {
	l net.Listener
	// ids holds the header lines of its answers about the request, in which %s stands for its ID, and late those of the
	// answers to other calls.
	ids, late string
}

// loop accepts connections.
func (s *lateService) loop() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.run(c)
	}
}

// run answers the calls on a connection.
func (s *lateService) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	answer := func(lines, body string) {
		// An error means that the daemon has closed the connection.
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
	}
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n > 0 {
			answer(s.late, "/another")
		}
		lines := s.ids
		if lines != "" {
			lines = fmt.Sprintf(lines, req.Header.Get(HeaderRequestID))
		}
		answer(lines, req.URL.Path)
	}
}

// Guards against callers that get the answer to another call, which came late on a connection that is used again.
func TestLateAnswerIsNotThatOfTheNextCall(t *testing.T) {
	const id = HeaderRequestID + ": %s\r\n"
	for _, tc := range []struct{ name, ids, late string }{
		{"answers without ID", "", ""},
		{"only late answers without ID", id, ""},
		{"late answers of another ID", id, HeaderRequestID + ": other\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := testip.Listen()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			go (&lateService{l: l, ids: tc.ids, late: tc.late}).loop()
			events := &event.Log{}
			resources := []conf.Change{
				{Kind: conf.KindOrganisation, Name: "one", Spec: fmt.Appendf(nil, `{"keyHashes":[%q]}`, conf.HashKey("secret"))},
				{Kind: conf.KindService, Name: "s", Spec: []byte(`{"routes":[{"path":"/","repeatable":true}]}`)},
				{Kind: conf.KindPolicy, Name: "p", Spec: []byte(`{"organisation":"one","services":["s"]}`)},
				{Kind: conf.KindTarget, Name: "t", Spec: fmt.Appendf(nil, `{"type":"service","url":"http://%s","service":"s"}`, l.Addr())},
			}
			for i := range resources {
				resources[i].Seq = uint64(i + 1)
			}
			store := conf.NewStore(events)
			store.Replace(conf.Full{Seq: uint64(len(resources)), Resources: resources})
			e := echo.New()
			New(Options{
				Conf: store, Fleet: fleet.New(fleet.Options{Name: "box", Log: events}), Log: events, MaxBodyBytes: 1 << 20, MaxRunningPerOrganisation: 4,
				RepeatableClient: &http.Client{Transport: target.NewTransport()}, OnceClient: &http.Client{Transport: target.NewTransportWithoutReuse()},
				NotReadyReason: func() string { return "" },
			}).Register(e)
			server := httptest.NewServer(MarkEnds(e))
			defer server.Close()
			served := 0
			for n := range 6 {
				path := fmt.Sprintf("/call/%d", n)
				req, err := http.NewRequest(http.MethodGet, server.URL+"/services/s"+path, http.NoBody)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				req.Header.Set("Authorization", "Bearer secret")
				resp, err := server.Client().Do(req)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if resp.StatusCode == http.StatusOK {
					g.Expect(string(body)).To(gomega.Equal(path))
					served++
				}
			}
			g.Expect(served).To(gomega.BeNumerically(">=", 5))
		})
	}
}
