package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/roster"
)

// Guards against a request that runs though it was refused with a promise, or that runs twice, under one attempt ID.
func TestAttemptIDIsAdmittedOnceWhereRequestsMayRunOnce(t *testing.T) {
	tests := []struct {
		name, path string
		// handle answers the requests that arrive.
		handle handler
		// first and second are the statuses of two requests with one ID, and arrived is how many of them reach the target.
		first, second, arrived int
	}{
		{"after an answer", "/once/", respond(http.StatusOK, "yes"), http.StatusOK, http.StatusBadRequest, 1},
		{"after a failure", "/once/", respond(http.StatusInternalServerError, "no"), http.StatusInternalServerError, http.StatusBadRequest, 1},
		{"after a rejection", "/once/", reject, http.StatusServiceUnavailable, http.StatusBadRequest, 1},
		{"may be repeated", "/read/", respond(http.StatusOK, "yes"), http.StatusOK, http.StatusOK, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("a", "plain", always(test.handle))
			g := gomega.NewWithT(t)
			g.Expect(r.send(http.MethodPost, test.path, "x", "Id", "one").status).To(gomega.Equal(test.first))
			g.Expect(r.send(http.MethodPost, test.path, "x", "Id", "one").status).To(gomega.Equal(test.second))
			g.Expect(r.received()).To(gomega.HaveLen(test.arrived))
		})
	}
}

// Guards against a promise that a request never runs whose ID is under way.
func TestIDThatIsUnderWayGetsNoPromise(t *testing.T) {
	tests := []struct {
		name   string
		change func(*rig)
		header []string
	}{
		{"late in a stop", func(r *rig) { r.relay.RefuseRequests() }, nil},
		{"overdue configuration", func(r *rig) { r.configOverdue.Store(int64(time.Second)) }, nil},
		{"unknown key, configuration not current", func(r *rig) { r.stale.Store(true) }, []string{"Key", "other"}},
		{"admitted", func(*rig) {}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, nil)
			arrived, release := make(chan struct{}), make(chan struct{})
			r.target("a", "plain", always(func(w *bufio.Writer, req *http.Request) error {
				arrived <- struct{}{}
				<-release
				return respond(http.StatusOK, "yes")(w, req)
			}))
			first := make(chan callerAnswer)
			go func() { first <- r.send(http.MethodPost, "/once/", "x", "Id", "one") }()
			<-arrived
			test.change(r)
			second := r.send(http.MethodPost, "/once/", "x", append([]string{"Id", "one"}, test.header...)...)
			close(release)
			r.g.Expect((<-first).status).To(gomega.Equal(http.StatusOK))
			r.g.Expect(second.status).To(gomega.Equal(http.StatusBadRequest), second.body)
		})
	}
}

// Guards against an ID that is used up by a request of which the body did not arrive.
func TestRequestWhoseBodyBrokeOffDoesNotUseItsID(t *testing.T) {
	r := newRig(t, nil)
	r.target("a", "plain", always(respond(http.StatusOK, "yes")))
	c, err := net.Dial("tcp", r.front.Listener.Addr().String())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: one\r\nKey: secret\r\nContent-Length: 5\r\n\r\nab")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	c.Close()
	r.g.Eventually(func() string { return r.lastLogLine(event.RequestRefused) + r.lastLogLine(event.CallerGone) }, waitTimeout, pollInterval).ShouldNot(gomega.BeEmpty())
	r.g.Expect(r.send(http.MethodPost, "/once/", "abcde", "Id", "one").status).To(gomega.Equal(http.StatusOK))
}

// Guards against two requests with one attempt ID that are admitted at once.
func TestAttemptIDIsAdmittedOnceWhileItIsUnderWay(t *testing.T) {
	var u usedIDs
	var wg sync.WaitGroup
	admitted := make(chan bool, 100)
	for range cap(admitted) {
		wg.Go(func() { admitted <- u.admit("one") })
	}
	wg.Wait()
	close(admitted)
	n := 0
	for ok := range admitted {
		if ok {
			n++
		}
	}
	gomega.NewWithT(t).Expect(n).To(gomega.Equal(1))
}

func TestUsedIDs(t *testing.T) {
	g := gomega.NewWithT(t)
	var u usedIDs
	g.Expect(u.refuse("refused")).To(gomega.BeTrue())
	g.Expect(u.refuse("refused")).To(gomega.BeTrue(), "the promise stays true")
	g.Expect(u.admit("refused")).To(gomega.BeFalse())
	g.Expect(u.admit("admitted")).To(gomega.BeTrue())
	g.Expect(u.refuse("admitted")).To(gomega.BeFalse())
	for i := range 3 * maxUsedIDs {
		g.Expect(u.refuse(strconv.Itoa(i))).To(gomega.BeTrue())
	}
	g.Expect(u.admit("admitted")).To(gomega.BeFalse(), "refusals displace no admitted IDs")
	g.Expect(u.refused.known).To(gomega.HaveLen(maxUsedIDs))
	g.Expect(u.admit(strconv.Itoa(2*maxUsedIDs))).To(gomega.BeFalse(), "the oldest refused one that is remembered")
	g.Expect(u.admit(strconv.Itoa(2*maxUsedIDs-1))).To(gomega.BeTrue(), "one that is not remembered")
}

// Guards against a copy of a rejection that is believed when a request comes to the same process again by another ID.
func TestProcessThatIsListedAgainGetsARequestOnAnotherConnection(t *testing.T) {
	for _, test := range []struct{ path, service string }{{"/attempted/", "plain"}, {"/unresumed/", "llm"}} {
		t.Run(test.service, func(t *testing.T) {
			r := newRig(t, nil)
			var repeated metrics.Counter
			r.relay.options.Pool.Repeated = &repeated
			var ft *fakeTarget
			ft = r.target("i-1", test.service, func(n int) handler {
				if n > 0 && test.service == "llm" {
					return stream(true, "id: 1\ndata: a\n\n")
				} else if n > 0 {
					return respond(http.StatusOK, "yes")
				}
				return func(w *bufio.Writer, req *http.Request) error {
					r.roster.Remove("i-1", clock.Now())
					r.roster.Put(roster.Entry{ID: "i-2", Service: test.service, Address: ft.l.Addr().String(), Slots: 4, Weights: map[string]int64{"m": 1}})
					// It names another process, so that the one at its address may get the request.
					_, err := fmt.Fprintf(w, "HTTP/1.1 421 X\r\nId: %s\r\nRun: other\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
					return err
				}
			})
			got := r.send(http.MethodPost, test.path, "x", "Model", "m", "Parts", "own:80")
			r.g.Expect(got.status).To(gomega.Equal(http.StatusOK), got.body)
			r.g.Expect(r.received()).To(gomega.HaveLen(2))
			r.g.Expect(repeated.Get()).To(gomega.BeZero())
		})
	}
}
