package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/testip"
)

// callerConnection is a connection of a caller who keeps it between requests.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

// write sends a request, or a part of one.
func (c *callerConnection) write(g *gomega.WithT, text string) {
	g.THelper()
	_, err := io.WriteString(c, text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// read reads a whole response and returns its status, and whether it says that the connection is closed after it.
func (c *callerConnection) read(g *gomega.WithT) (int, bool) {
	g.THelper()
	resp, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the connection was closed under a request")
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return resp.StatusCode, resp.Close
}

// Guards against connections that are closed without notice when a shutdown begins: a request that a caller has just sent
// on one is lost, and the caller cannot tell whether it ran.
func TestNoConnectionIsClosedWithoutNoticeWhenAShutdownBegins(t *testing.T) {
	g := gomega.NewWithT(t)
	ip := testip.IP()
	settings, err := ParseSettings([]byte(strings.ReplaceAll(validSettings, "127.0.0.1", ip)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d, err := New(settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	spec := fmt.Sprintf(`{"keyHashes":[%q]}`, conf.HashKey("secret"))
	g.Expect(d.config.Replace(conf.Full{Seq: 1, HeadRevision: 1, Resources: []conf.Change{
		{Seq: 1, Kind: conf.KindOrganisation, Name: "one", Spec: []byte(spec)},
	}})).To(gomega.BeTrue())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() { stop(); g.Expect(<-ended).To(gomega.Succeed()) })
	g.Eventually(func() bool { return emitted(d.log, event.DaemonStarted) }, "60s", "5ms").Should(gomega.BeTrue())
	dial := func() *callerConnection {
		conn, err := net.Dial("tcp", settings.Callers.Address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		g.Expect(conn.SetDeadline(time.Now().Add(time.Minute))).To(gomega.Succeed())
		return &callerConnection{conn, bufio.NewReader(conn)}
	}
	const models = "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n"
	idle, probes := dial(), dial()
	for c, request := range map[*callerConnection]string{idle: models, probes: "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c.write(g, request)
		status, closed := c.read(g)
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(closed).To(gomega.BeFalse())
	}
	// A request whose body has not arrived keeps the daemon from closing its listeners.
	running := dial()
	running.write(g, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 1\r\n\r\n")
	g.Eventually(d.entry.Running, "60s", "5ms").Should(gomega.BeEquivalentTo(1))

	stop()
	g.Eventually(func() bool { return emitted(d.log, event.DaemonDraining) }, "60s", "5ms").Should(gomega.BeTrue())
	for _, tc := range []struct {
		name    string
		caller  *callerConnection
		request string
		status  int
	}{
		{"idle", idle, models, http.StatusServiceUnavailable},
		{"idle, of probes", probes, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusOK},
		{"new", dial(), models, http.StatusServiceUnavailable},
		{"with a running request", running, "x", http.StatusBadRequest},
	} {
		tc.caller.write(g, tc.request)
		status, closed := tc.caller.read(g)
		g.Expect(status).To(gomega.Equal(tc.status), tc.name)
		g.Expect(closed).To(gomega.BeTrue(), "%s: the response does not say that its connection is closed", tc.name)
	}
}

// Guards against answers that look complete because the daemon closes its connections while they run: over HTTP/1.0 the end of
// TLS ends an answer.
func TestAnswersThatOutlastAShutdownDoNotLookComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	k := issuedKeys(t, t.TempDir(), "entry-01")
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var served sync.WaitGroup
	unblock := make(chan struct{})
	d := &Daemon{}
	srv := d.serve(&served, tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{k.current.Load().cert}}),
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "begun")
			w.(http.Flusher).Flush()
			<-unblock
		}))
	defer func() { close(unblock); served.Wait() }()
	conn, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	d.closeServer(srv)
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).To(gomega.HaveOccurred(), "%q looks complete", body)
}
