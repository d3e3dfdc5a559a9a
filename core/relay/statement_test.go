package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/roster"
)

// headRig is a relay before two targets. The one that gets a request first answers with what the test gives for it, and the
// other one with an ordinary answer.
type headRig struct {
	*rig
	headMu sync.Mutex
	// heads holds the bytes of the first response by the ID of the request, and sent how often each request arrived.
	// Guarded by headMu.
	heads map[string]string
	sent  map[string]int
}

// newHeadRig returns a relay that may retry as often as a test sends requests.
func newHeadRig(t *testing.T) *headRig {
	h := &headRig{rig: newRig(t, nil), heads: map[string]string{}, sent: map[string]int{}}
	h.relay.options.RetryExtra = 1e9
	for _, service := range []string{"plain", "llm"} {
		for _, id := range []string{"a", "b"} {
			h.target(service+"-"+id, service, always(h.respond))
		}
	}
	return h
}

// respond answers a request, and closes the connection after a response that does not tell its end. A connection that is
// closed after others may have been chosen for the next request, which then has no response.
func (h *headRig) respond(w *bufio.Writer, r *http.Request) error {
	id := r.Header.Get("Id")
	h.headMu.Lock()
	head, n := h.heads[id], h.sent[id]
	h.sent[id]++
	h.headMu.Unlock()
	if n > 0 {
		if r.Header.Get("Model") != "" {
			return stream(true, "id: 1\ndata: a\n\n")(w, r)
		}
		return respond(http.StatusOK, "yes")(w, r)
	}
	fmt.Fprint(w, head)
	if strings.HasSuffix(head, "0\r\n\r\n") || strings.HasSuffix(head, "Not-Run: 1\r\n\r\n") {
		return nil
	}
	return io.EOF
}

// play sends a request whose first response are the given bytes, and returns the answer and how often the request arrived.
func (h *headRig) play(path, id, head string) (callerAnswer, int) {
	for _, t := range []string{"plain-a", "plain-b", "llm-a", "llm-b"} {
		// What earlier responses did to its health is forgotten.
		h.relay.recordReachable(h.roster.Target(t).Entry().Address)
	}
	h.headMu.Lock()
	h.heads[id] = head
	h.headMu.Unlock()
	extra := []string{"Id", id}
	if strings.HasPrefix(path, "/single/") || strings.HasPrefix(path, "/unresumed/") {
		extra = append(extra, "Model", "m", "Parts", "p:10")
	}
	a := h.send(http.MethodPost, path, "x", extra...)
	h.headMu.Lock()
	defer h.headMu.Unlock()
	return a, h.sent[id]
}

// rejects reports whether a response says that the request with an ID was not executed, read in another way than the relay does.
func rejects(response, id string) bool {
	resp, err := finalHead(response)
	if err != nil || !slices.Equal(resp.Header["Id"], []string{id}) || resp.StatusCode < 400 && resp.StatusCode != http.StatusMisdirectedRequest {
		return false
	}
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get("Not-Run") != ""
}

// finalHead returns the head of a response after the interim ones.
func finalHead(response string) (*http.Response, error) {
	r := bufio.NewReader(strings.NewReader(response))
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// check checks the answer to a request that may run once: if a target executed it, it is neither refused nor sent again, and
// if not, it is sent to the other one.
func check(id, head string, a callerAnswer, sent int) string {
	switch executed := !rejects(head, id); {
	case sent == 0:
		return "the request was not sent"
	case executed && sent > 1:
		return "a request that was executed was sent again"
	case executed && a.err == nil && (isPromise(a.status) || strings.Contains(a.body, "notRun")):
		return fmt.Sprintf("a request that was executed was refused: %d %s", a.status, a.body)
	case !executed && (sent != 2 || a.status != http.StatusOK):
		return fmt.Sprintf("a request that was rejected was sent %d times and answered %d", sent, a.status)
	}
	return ""
}

// Guards against REFUSED and TWICE: responses that say or seem to say that a request was not executed.
func TestOnlyProvenRejectionsAreBelieved(t *testing.T) {
	statuses := []int{200, 204, 302, 400, 401, 404, 408, 413, 421, 425, 429, 500, 502, 503, 504}
	ids := []string{"", "Id: %s\r\n", "Id: other\r\n", "Id: %s\r\nId: other\r\n", "Id: other\r\nId: %s\r\n", "Id: %s\r\nid: %s\r\n", "Id: \r\n"}
	marks := []string{"", "Not-Run: 1\r\n"}
	seals := []string{"", "Seal: s\r\n"}
	before := []string{"", "HTTP/1.1 103 X\r\nId: %s\r\nNot-Run: 1\r\n\r\n"}
	framings := []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\nNot-Run: 1\r\n\r\n", "Connection: close\r\n\r\n", "Content-Length: 9\r\n\r\nx"}
	for _, path := range []string{"/attempted/", "/unresumed/"} {
		for _, status := range statuses {
			for _, id := range ids {
				t.Run(fmt.Sprintf("%s,%d,%q", path, status, id), func(t *testing.T) {
					// A new relay has not learned that its targets fail.
					h, n := newHeadRig(t), 0
					for _, mark := range marks {
						for _, seal := range seals {
							for _, interim := range before {
								for _, framing := range framings {
									n++
									name := "r" + strconv.Itoa(n)
									head := strings.ReplaceAll(interim+"HTTP/1.1 "+strconv.Itoa(status)+" X\r\n"+id+mark+seal+framing, "%s", name)
									a, sent := h.play(path, name, head)
									if text := check(name, head, a, sent); text != "" {
										t.Errorf("%q: %s", head, text)
									}
								}
							}
						}
					}
				})
			}
		}
	}
}

// Guards against REFUSED and TWICE, with any bytes in place of a response.
func FuzzResponseHeads(f *testing.F) {
	for _, head := range []string{
		"", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 421 X\r\nId: %s\r\n\r\n", "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nNot-Run: 1\r\n\r\n",
		"HTTP/1.1 429 X\r\nId: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 X\r\nNot-Run: 1\r\n\r\nHTTP/1.1 503 X\r\nId: %s\r\n\r\n",
		"HTTP/1.1 503 X\r\nId: %s\r\n Not-Run: 1\r\n\r\n", "HTTP/1.1 503 X\r\nId: %s, other\r\nNot-Run: 1\r\n\r\n", "HTTP/1.0 503 X\nid:%s\nnot-run:1\n\n", "HTTP/1.1 100\r\n\ro",
	} {
		f.Add([]byte(head), false)
		f.Add([]byte(head), true)
	}
	n := 0
	f.Fuzz(func(t *testing.T, text []byte, streams bool) {
		if bytes.Count(text, []byte{'\n'}) > 100 {
			return
		}
		h, path, id := newHeadRig(t), "/attempted/", "r"+strconv.Itoa(n)
		if n++; streams {
			path = "/unresumed/"
		}
		head := strings.ReplaceAll(string(text), "%s", id)
		a, sent := h.play(path, id, head)
		if text := check(id, head, a, sent); text != "" && !rejects(head, id) {
			t.Errorf("%s, %q: %s", path, head, text)
		}
	})
}

// A request without an ID is refused at once, since no response could be told to be for it.
func TestRequestsWithoutAnIDAreNotSent(t *testing.T) {
	r := newRig(t, nil)
	r.target("a", "plain", always(respond(http.StatusBadRequest, "", "Not-Run: 1")))
	a := r.send(http.MethodPost, "/once/", "x", "Id", "")
	r.g.Expect(a.status).To(gomega.Equal(http.StatusBadRequest))
	r.g.Expect(a.body).To(gomega.ContainSubstring("notRun"))
	r.g.Expect(r.received()).To(gomega.BeEmpty())
}

// Guards against LOST: at the end of a shutdown requests that wait, or were sent, ended without an answer.
func TestRequestsThatAreLeftAtTheEndOfAShutdownAreAnswered(t *testing.T) {
	r := newRig(t, nil)
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	defer close(release)
	r.target("a", "plain", always(func(*bufio.Writer, *http.Request) error {
		arrived <- struct{}{}
		<-release
		return io.EOF
	}))
	r.relay.options.Pool.SetMaxConns(r.roster.Target("a").Entry().Address, 1)
	answers := map[string]chan callerAnswer{"sent": make(chan callerAnswer, 1), "waiting": make(chan callerAnswer, 1)}
	send := func(id string) { answers[id] <- r.send(http.MethodPost, "/once/", "x", "Id", id) }
	go send("sent")
	<-arrived
	go send("waiting")
	r.g.Eventually(r.relay.Waiting, waitTimeout, "1ms").Should(gomega.Equal(int64(1)))
	r.relay.EndRequests()
	r.g.Expect((<-answers["sent"]).status).To(gomega.Equal(http.StatusBadGateway))
	a := <-answers["waiting"]
	r.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable), a.body)
	r.g.Expect(r.received()).To(gomega.HaveLen(1))
}

// Guards against TWICE: an attempt of a request that may run once after one that may have run.
func TestAttemptAfterOneThatMayHaveRunIsNotSent(t *testing.T) {
	tests := []struct {
		name, path string
		executions int
		want       outcome
	}{
		{"may run once", "/attempted/", 1, outcomeInvalid},
		{"may run once, the first attempt", "/attempted/", 0, outcomeDone},
		{"may be repeated", "/read/", 1, outcomeDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("a", "plain", always(respond(http.StatusOK, "yes")))
			p := r.request(http.MethodPost, test.path)
			p.w, p.executions = httptest.NewRecorder(), test.executions
			p.meta.AttemptID = "one"
			p.r.Header.Set("Id", "one")
			out, _ := p.attempt(p.r.Context(), &choice{target: r.roster.Target("a"), load: roster.Load{Running: 1}})
			r.g.Expect(out).To(gomega.Equal(test.want))
			r.g.Expect(r.received()).To(gomega.HaveLen(map[bool]int{true: 0, false: 1}[test.want == outcomeInvalid]))
		})
	}
}
