package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/roster"
)

// answerForms are forms of an answer's head. Fields are those of the rig's dialect.
var answerForms = []struct {
	name string
	// marked reports whether the framing marks the end of the body.
	marked bool
	encode func(fields, body string) (head, framed string)
}{
	{"length", true, func(f, b string) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + f + "Content-Length: " + strconv.Itoa(len(b)) + "\r\n\r\n", b
	}},
	{"chunks", true, func(f, b string) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + f + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(b), b)
	}},
	{"folded chunks and trailers", true, func(f, b string) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + f + "Transfer-Encoding:\r\n chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nSum: 1\r\n\r\n", len(b), b)
	}},
	{"connection", false, func(f, b string) (string, string) { return "HTTP/1.1 200 OK\r\n" + f + "\r\n", b }},
	{"early hints", true, func(f, b string) (string, string) {
		return "HTTP/1.1 103 X\r\nLink: </a>\r\n" + f + "\r\nHTTP/1.1 200 OK\r\n" + f + "Content-Length: " + strconv.Itoa(len(b)) + "\r\n\r\n", b
	}},
}

// answerFields are the fields of an answer to a request of either kind.
const answerFields = "Id: " + ownID + "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"

// writeRest writes a whole answer, of a stream with what its caller lacks of the body.
func writeRest(c net.Conn, req *http.Request, service, body string) {
	if service == "llm" {
		body = eventsAfter(req.Header.Get("After"))
	}
	lines, framed := frames[1].encode(body)
	writeHead(c, req, http.StatusOK, lines)
	io.WriteString(c, framed)
}

// wholeTarget adds a target that answers whole, and is chosen second.
func (r *rig) wholeTarget(id, service, body string) {
	r.rawTarget(id, service, func(c net.Conn, req *http.Request) ending {
		writeRest(c, req, service, body)
		return endsWhole
	})
	r.roster.Target(id).AddLoad(roster.Load{Running: hedgeRigLoad[service]})
}

// sendToNew sends a request to new targets, of which nothing has been learned: one sends the start of an answer and, with
// retried, another one answers whole. isFirst is set if the former got the request first; its connection may be slow to open.
func (r *rig) sendToNew(n int, path, service, body, sent string, end ending, retried bool) (got callerAnswer, isFirst bool) {
	a, b := fmt.Sprintf("a-%d", n), fmt.Sprintf("b-%d", n)
	r.rawTarget(a, service, func(c net.Conn, req *http.Request) ending {
		io.WriteString(c, withOwnID(sent, req))
		return end
	})
	defer r.roster.Remove(a, clock.Now())
	if retried {
		r.wholeTarget(b, service, body)
		defer r.roster.Remove(b, clock.Now())
	}
	before := len(r.received())
	got = r.send(http.MethodPost, path, "x", "Model", "m")
	received := r.received()[before:]
	return got, len(received) > 0 && received[0].target == a
}

// cutsPerRig is how many cut answers a rig's budget of retries is enough for.
const cutsPerRig = 10

// Guards against an answer that ends in its head and reaches its caller as 200, or as a refusal that says that the request
// did not run.
func TestAnswersCutInTheirHeadAreNoAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, path, service, body string
		// retried is set if the request may be sent to a second target.
		retried bool
		step    int
	}{
		{"stream", "/stream/x", "llm", eventsAfter(""), true, 3},
		{"plain", "/read/x", "plain", "0123456789", true, 3},
		{"stream with one attempt", "/single/x", "llm", eventsAfter(""), false, 1},
		{"plain with one attempt", "/once/x", "plain", "0123456789", false, 1},
	} {
		for _, form := range answerForms {
			for _, end := range []ending{endsClosed, endsReset} {
				t.Run(fmt.Sprintf("%s, %s, %d", tc.name, form.name, end), func(t *testing.T) {
					head, framed := form.encode(answerFields, tc.body)
					var r *rig
					sends := 0
					for cut := len(head); cut >= 0; cut -= tc.step {
						var got callerAnswer
						for isFirst := false; !isFirst; sends++ {
							if sends%cutsPerRig == 0 {
								r = newRig(t, nil)
							}
							r.g.Expect(sends).To(gomega.BeNumerically("<", 2*len(head)))
							got, isFirst = r.sendToNew(sends, tc.path, tc.service, tc.body, (head + framed)[:cut], end, tc.retried)
						}
						at := fmt.Sprintf("cut after %q: %d, %q, %v", (head + framed)[:cut], got.status, got.body, got.err)
						switch {
						case cut == len(head) && canNotTell(tc.service, form.marked, end, ""):
						case tc.retried:
							r.g.Expect(got.err).NotTo(gomega.HaveOccurred(), at)
							r.g.Expect([]any{got.status, got.body}).To(gomega.Equal([]any{http.StatusOK, tc.body}), at)
						default:
							r.g.Expect(got.err != nil || got.status == http.StatusBadGateway).To(gomega.BeTrue(), at)
						}
					}
				})
			}
		}
	}
}

// cutHedge sends a request whose first attempt gets the start of an answer after a second one has been sent, which is
// answered then. line is that of the request. cut is not set if there was no second attempt in time.
func cutHedge(t *testing.T, path, service, body, sent string, end ending) (got callerAnswer, line string, cut bool) {
	r := newRig(t, nil)
	second, ended := make(chan struct{}), make(chan struct{})
	var attempts atomic.Int64
	var wasSent atomic.Bool
	endOnce := sync.OnceFunc(func() { close(ended) })
	r.rawTarget("a", service, func(c net.Conn, req *http.Request) ending {
		select {
		case <-second:
		case <-time.After(time.Second):
			endOnce()
			return endsReset
		}
		wasSent.Store(true)
		io.WriteString(c, withOwnID(sent, req))
		time.AfterFunc(50*time.Millisecond, endOnce)
		return end
	})
	r.rawTarget("b", service, func(c net.Conn, req *http.Request) ending {
		if attempts.Add(1) == 1 {
			close(second)
			select {
			case <-ended:
			case <-time.After(time.Second):
			}
		}
		writeRest(c, req, service, body)
		return endsWhole
	})
	r.roster.Target("b").AddLoad(roster.Load{Running: 3})
	if service == "plain" {
		r.roster.Target("b").AddLoad(roster.Load{Running: 12})
	}
	defer r.front.Close()
	got = r.send(http.MethodPost, path, "x", "Model", "m")
	return got, r.lastLogLine(event.RequestDone), wasSent.Load()
}

// Guards against a cut answer that is preferred to the whole one of the other attempt.
func TestCutAnswerDoesNotEndTheOtherAttempt(t *testing.T) {
	for _, tc := range []struct{ name, path, service, body string }{
		{"stream", "/stream/x", "llm", eventsAfter("")},
		{"plain", "/read/x", "plain", "0123456789"},
	} {
		for _, form := range answerForms {
			for _, end := range []ending{endsClosed, endsReset} {
				t.Run(fmt.Sprintf("%s, %s, %d", tc.name, form.name, end), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					head, framed := form.encode(answerFields, tc.body)
					whole := head + framed
					// Before and in each line of the head, and in the body.
					cuts := []int{0, 9, 15, len(head) - 1, len(head), len(head) + 1, len(whole) - 1}
					for cut := 25; cut < len(head)-1; cut += 23 {
						cuts = append(cuts, cut)
					}
					answers, lines, done := make([]callerAnswer, len(cuts)), make([]string, len(cuts)), make([]bool, len(cuts))
					var wg sync.WaitGroup
					for i, cut := range cuts {
						wg.Go(func() {
							for range 10 {
								if answers[i], lines[i], done[i] = cutHedge(t, tc.path, tc.service, tc.body, whole[:cut], end); done[i] {
									return
								}
							}
						})
					}
					wg.Wait()
					for i, cut := range cuts {
						got := answers[i]
						at := fmt.Sprintf("cut after %q: %d, %q, %v; %s", whole[:cut], got.status, got.body, got.err, lines[i])
						g.Expect(done[i]).To(gomega.BeTrue(), at)
						switch {
						case canNotTell(tc.service, form.marked, end, framed[:max(0, cut-len(head))]) && cut >= len(head):
						case cut <= len(head):
							g.Expect(got.err).NotTo(gomega.HaveOccurred(), at)
							g.Expect([]any{got.status, got.body}).To(gomega.Equal([]any{http.StatusOK, tc.body}), at)
						case got.err == nil && got.status == http.StatusOK:
							g.Expect(got.body).To(gomega.Equal(tc.body), at)
						default:
							g.Expect(got.err != nil || got.status == http.StatusBadGateway).To(gomega.BeTrue(), at)
						}
					}
				})
			}
		}
	}
}
