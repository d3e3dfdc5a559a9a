package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/roster"
	"embertally.dev/core/target"
	"embertally.dev/core/testip"
)

// ending is how a target ends a response: after some bytes of the body it goes on as if nothing
// happened, closes the connection or resets it.
type ending int

const (
	endsWhole ending = iota
	endsClosed
	endsReset
)

// rawTarget adds a target that writes the responses itself and then closes its connection, with a reset
// if respond returns endsReset.
func (r *rig) rawTarget(id, service string, respond func(c net.Conn, req *http.Request) ending) {
	l, err := testip.Listen()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				r.record(receivedRequest{target: id, uri: req.RequestURI, header: req.Header})
				if respond(c, req) == endsReset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	r.roster.Put(roster.Entry{ID: id, Service: service, Address: l.Addr().String(), Slots: 4, Weights: map[string]int64{"m": 1}})
}

// frames encode a body for each framing, without the header lines of every response.
var frames = []struct {
	name string
	// marked reports whether the framing marks the end of the body.
	marked bool
	encode func(body string) (header, framed string)
}{
	{"length", true, func(b string) (string, string) { return "Content-Length: " + strconv.Itoa(len(b)) + "\r\n", b }},
	{"chunks", true, func(b string) (string, string) {
		var out strings.Builder
		for len(b) > 0 {
			n := min(len(b), 7)
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, b[:n])
			b = b[n:]
		}
		return "Transfer-Encoding: chunked\r\n", out.String() + "0\r\n\r\n"
	}},
	{"connection", false, func(b string) (string, string) { return "", b }},
}

// eventsAfter returns the events of a stream of two that follow an event ID.
func eventsAfter(id string) string {
	out := ""
	for _, n := range []string{"1", "2"} {
		if n > id {
			out += "id: " + n + "\ndata: word " + n + "\n\n"
		}
	}
	return out
}

// writeHead writes the header of a response of either kind.
func writeHead(c net.Conn, req *http.Request, status int, lines string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n%s\r\n", status, req.Header.Get("Id"), lines)
}

// canNotTell reports whether nothing on the wire tells a broken response from a whole one.
func canNotTell(service string, marked bool, end ending, sent string) bool {
	return !marked && end == endsClosed && (service == "plain" || strings.HasSuffix(sent, "\n\n"))
}

// brokenCase is a kind of request whose responses break off.
type brokenCase struct {
	name, path, service, body string
	// raced is set if the start of the body is awaited by a hedged attempt.
	raced bool
	// retried is set if the request may be sent to a second target.
	retried bool
}

// play sends a request to a target that ends its response after some bytes, and returns what the caller got and whether
// that target got the request first and before a hedge.
func (tc *brokenCase) play(t *testing.T, lines, sent string, end ending) (got callerAnswer, alone bool) {
	r := newRig(t, nil)
	defer r.front.Close()
	r.relay.options.Disabled.Hedges = !tc.raced
	r.rawTarget("a", tc.service, func(c net.Conn, req *http.Request) ending {
		writeHead(c, req, 200, lines)
		io.WriteString(c, sent)
		return end
	})
	if tc.retried {
		r.rawTarget("b", tc.service, func(c net.Conn, req *http.Request) ending {
			rest := tc.body
			if tc.service == "llm" {
				rest = eventsAfter(req.Header.Get("After"))
			}
			lines, framed := frames[1].encode(rest)
			writeHead(c, req, 200, lines)
			io.WriteString(c, framed)
			return endsWhole
		})
		r.roster.Target("b").AddLoad(roster.Load{Running: hedgeRigLoad[tc.service]})
	}
	got = r.send(http.MethodPost, tc.path, "x", "Model", "m")
	received := r.received()
	return got, r.relay.options.Stats.Hedges.Get() == 0 && len(received) > 0 && received[0].target == "a"
}

// Targets that end a response with its connection and crash closed it after the header or reset it before
// the first byte; the caller got 200 and an empty answer that was framed as complete.
func TestBrokenResponsesNeverLookComplete(t *testing.T) {
	// A target that is slow to answer is hedged against, and one that is slow to connect to is passed over: on a busy machine any.
	const maxRepeats = 20
	whole := eventsAfter("")
	for _, tc := range []brokenCase{
		{"stream", "/stream/x", "llm", whole, false, true},
		{"raced stream", "/stream/x", "llm", whole, true, true},
		{"stream with one attempt", "/single/x", "llm", whole, false, false},
		{"plain", "/read/x", "plain", "0123456789", false, true},
		{"raced plain", "/read/x", "plain", "0123456789", true, true},
		{"plain with one attempt", "/once/x", "plain", "0123456789", false, false},
	} {
		for _, frame := range frames {
			for _, end := range []ending{endsClosed, endsReset} {
				t.Run(fmt.Sprintf("%s, %s, %d", tc.name, frame.name, end), func(t *testing.T) {
					g := gomega.NewWithT(t)
					lines, framed := frame.encode(tc.body)
					for cut := range len(framed) + 1 {
						if cut == len(framed) && (frame.marked || end == endsClosed) {
							continue // this response is whole
						}
						got, alone := tc.play(t, lines, framed[:cut], end)
						for repeats := 1; !alone; repeats++ {
							g.Expect(repeats).To(gomega.BeNumerically("<", maxRepeats))
							if !canNotTell(tc.service, frame.marked, end, framed[:cut]) {
								g.Expect(got.err != nil || got.status != http.StatusOK || got.body == tc.body).To(gomega.BeTrue(), "%q looks complete", got.body)
							}
							got, alone = tc.play(t, lines, framed[:cut], end)
						}
						at := fmt.Sprintf("cut at %d: %d, %q, %v", cut, got.status, got.body, got.err)
						switch {
						case canNotTell(tc.service, frame.marked, end, framed[:cut]):
						case tc.retried:
							g.Expect(got.err).NotTo(gomega.HaveOccurred(), at)
							g.Expect(got.status).To(gomega.Equal(http.StatusOK), at)
							g.Expect(got.body).To(gomega.Equal(tc.body), at)
						default:
							g.Expect(got.err == nil && got.status == http.StatusOK).To(gomega.BeFalse(), at)
						}
					}
				})
			}
		}
	}
}

// Responses whose header alone says that there is no body end with it, in whatever way the connection goes on.
func TestResponsesWithoutBodyAreComplete(t *testing.T) {
	for _, tc := range []struct {
		name, method, path, service, lines string
		status                             int
		length                             string
	}{
		{"HEAD", http.MethodHead, "/read/x", "plain", "Content-Length: 7\r\n", 200, "7"},
		{"HEAD without a length", http.MethodHead, "/read/x", "plain", "", 200, ""},
		{"no content", http.MethodPost, "/read/x", "plain", "", 204, ""},
		{"not modified", http.MethodPost, "/read/x", "plain", "", 304, ""},
		{"stream without content", http.MethodPost, "/stream/x", "llm", "", 204, ""},
		{"empty stream with chunks", http.MethodPost, "/stream/x", "llm", "Transfer-Encoding: chunked\r\n\r\n0\r\n", 200, ""},
		{"empty stream with a length", http.MethodPost, "/stream/x", "llm", "Content-Length: 0\r\n", 200, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.rawTarget("a", tc.service, func(c net.Conn, req *http.Request) ending {
				writeHead(c, req, tc.status, tc.lines)
				return endsClosed
			})
			got := r.send(tc.method, tc.path, "", "Model", "m")
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			r.g.Expect(got.body).To(gomega.BeEmpty())
			if tc.length != "" {
				r.g.Expect(got.header.Get("Content-Length")).To(gomega.Equal(tc.length))
			}
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
		})
	}
}

// otherBox is a box that reaches targets whose addresses this one does not reach.
type otherBox struct {
	addresses sync.Map
	// hidden is the number of hidden targets.
	hidden int
}

func (b *otherBox) Open(_ context.Context, id string) (net.Conn, string, error) {
	address, _ := b.addresses.Load(id)
	to, err := net.Dial("tcp", address.(string))
	if err != nil {
		return nil, "", err
	}
	l, err := testip.Listen()
	if err != nil {
		return nil, "", err
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, "", err
	}
	forwarding, err := l.Accept()
	if err != nil {
		return nil, "", err
	}
	go func() {
		target.ForwardResponses(forwarding, to, &target.Writes{}, nil)
		forwarding.Close()
	}()
	go func() {
		// An error means that the connection has ended.
		_, _ = io.Copy(to, forwarding)
		to.Close()
	}()
	return conn, "box", nil
}

func (*otherBox) Usable(string) bool { return true }

func (*otherBox) RecordLost(string) {}

// hide makes a target reachable only by way of the other box.
func (b *otherBox) hide(r *rig, id string) {
	e := *r.roster.Target(id).Entry()
	b.addresses.Store(id, e.Address)
	// Nothing listens on such a port; one that was closed may be another listener's soon.
	b.hidden++
	e.Address = net.JoinHostPort("127.0.0.1", strconv.Itoa(b.hidden))
	r.roster.Put(e)
}

// The box in between tells how the target's connection ended.
func TestBrokenResponsesByWayOfAnotherBoxNeverLookComplete(t *testing.T) {
	for _, tc := range []struct{ name, path, service, body string }{
		{"stream", "/single/x", "llm", eventsAfter("")},
		{"plain", "/once/x", "plain", "0123456789"},
	} {
		for _, frame := range frames {
			for _, end := range []ending{endsClosed, endsReset} {
				t.Run(fmt.Sprintf("%s, %s, %d", tc.name, frame.name, end), func(t *testing.T) {
					r, box := newRig(t, nil), &otherBox{}
					r.relay.options.Pool.Detour = box
					lines, framed := frame.encode(tc.body)
					var cutAt atomic.Int64
					cutAt.Store(int64(len(framed)))
					r.rawTarget("a", tc.service, func(c net.Conn, req *http.Request) ending {
						cut := int(cutAt.Load())
						writeHead(c, req, 200, lines)
						io.WriteString(c, framed[:cut])
						if cut == len(framed) {
							return endsClosed
						}
						return end
					})
					box.hide(r, "a")
					// The first requests find that the direct path is broken.
					r.g.Eventually(func() int { return r.send(http.MethodPost, tc.path, "x", "Model", "m").status }, "10s", "20ms").
						Should(gomega.Equal(http.StatusOK))
					for cut := range len(framed) {
						cutAt.Store(int64(cut))
						got := r.send(http.MethodPost, tc.path, "x", "Model", "m")
						r.g.Expect(got.err == nil && got.status == http.StatusOK && !canNotTell(tc.service, frame.marked, end, framed[:cut])).To(
							gomega.BeFalse(), "cut at %d: %q looks complete", cut, got.body)
					}
					r.g.Expect(r.relay.options.Stats.DetouredAttempts.Get()).To(gomega.BeNumerically(">", len(framed)/2))
				})
			}
		}
	}
}

// A stream with another status than 200 is passed on as a whole, and retried if it broke off.
func TestCreatedStreamIsPassedOnComplete(t *testing.T) {
	for _, frame := range frames {
		t.Run(frame.name, func(t *testing.T) {
			r := newRig(t, nil)
			lines, framed := frame.encode(eventsAfter(""))
			var answered atomic.Bool
			respond := func(c net.Conn, req *http.Request) ending {
				writeHead(c, req, http.StatusCreated, lines)
				if !answered.Swap(true) {
					io.WriteString(c, framed[:len(framed)/2])
					return endsReset
				}
				io.WriteString(c, framed)
				return endsWhole
			}
			r.rawTarget("a", "llm", respond)
			r.rawTarget("b", "llm", respond)
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.status).To(gomega.Equal(http.StatusCreated))
			r.g.Expect(got.body).To(gomega.Equal(eventsAfter("")))
		})
	}
}

// A worker that resumes a stream whose caller holds the last event has nothing to send: only a framing that
// marks the end makes that a complete answer.
func TestResumedStreamWithoutEvents(t *testing.T) {
	for _, frame := range frames {
		t.Run(frame.name, func(t *testing.T) {
			r := newRig(t, nil)
			lines, framed := frame.encode("")
			r.rawTarget("a", "llm", func(c net.Conn, req *http.Request) ending {
				writeHead(c, req, 200, lines)
				io.WriteString(c, framed)
				return endsClosed
			})
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "After", "2")
			r.g.Expect(got.err == nil && got.status == http.StatusOK).To(gomega.Equal(frame.marked))
		})
	}
}

// The caller of an older protocol version gets no chunks, so that the end of its connection is the end of the
// answer: a stream that was cut off ended as a whole one does.
func TestCutAnswerLooksBrokenToCallersWithoutChunks(t *testing.T) {
	for _, tc := range []struct {
		name, version, lines string
		whole                bool
	}{
		{"cut, HTTP/1.0", "1.0", "", false},
		{"cut, HTTP/1.0 kept alive", "1.0", "Connection: keep-alive\r\n", false},
		{"cut, HTTP/1.1", "1.1", "", false},
		{"cut, HTTP/1.1 to be closed", "1.1", "Connection: close\r\n", false},
		{"whole, HTTP/1.0", "1.0", "", true},
		{"whole, HTTP/1.1 to be closed", "1.1", "Connection: close\r\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("a", "llm", always(stream(tc.whole, "id: 1\ndata: word 1\n\n")))
			c, err := net.Dial("tcp", r.front.Listener.Addr().String())
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			defer c.Close()
			fmt.Fprintf(c, "POST /single/x HTTP/%s\r\nHost: h\r\nId: try-1\r\nKey: secret\r\nModel: m\r\n%sContent-Length: 1\r\n\r\nx", tc.version, tc.lines)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			r.g.Expect(string(body)).To(gomega.Equal("id: 1\ndata: word 1\n\n"))
			r.g.Expect(err == nil).To(gomega.Equal(tc.whole), "%v", err)
		})
	}
}

// Comments that keep a connection in use are no events: a stream that closed after one was taken for whole.
func TestCommentsAreNoEvents(t *testing.T) {
	const comment = ": still here\n\n"
	for _, tc := range []struct{ name, first, want string }{
		{"after the header", comment, eventsAfter("")},
		{"before an event", comment + "id: 1\ndata: word 1\n\n" + comment, comment + "id: 1\ndata: word 1\n\n" + comment},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.rawTarget("a", "llm", func(c net.Conn, req *http.Request) ending {
				writeHead(c, req, 200, "")
				io.WriteString(c, tc.first)
				return endsClosed
			})
			r.target("b", "llm", always(stream(true, eventsAfter(""))))
			r.roster.Target("b").AddLoad(roster.Load{Running: hedgeRigLoad["llm"]})
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.body).To(gomega.Equal(tc.want))
		})
	}
}
