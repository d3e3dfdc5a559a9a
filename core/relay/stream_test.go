package relay

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// repeating reads one text again and again, and counts what was read.
type repeating struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *repeating) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(b)
	return len(b), nil
}

// Guards against a daemon that goes over its memory since a target sends an event without end: its size was compared with
// the bound only after a whole line.
func TestEndlessEventsAreBounded(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"a line without end", "x"},
		{"a field without end", "data: " + strings.Repeat("x", 1<<20)},
		{"lines without an empty one", "data: word\n"},
		{"comments without an empty line", ": still here\n"},
		{"empty lines", "\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			const most = 8 << 20
			source := &repeating{text: tc.text}
			budget := &memory.Budget{}
			held := budget.Hold(memory.Events)
			_, err := nextEvent(bufio.NewReaderSize(io.LimitReader(source, most), 2<<10), held)
			g.Expect(errors.Is(err, errEventTooLong)).To(gomega.BeTrue(), "%v after %d bytes", err, source.read)
			g.Expect(source.read).To(gomega.BeNumerically("<=", maxEventBytes+4<<10))
			_, counted := budget.Held(memory.Events)
			g.Expect(counted).To(gomega.BeNumerically("<=", maxEventBytes+4<<10))
		})
	}
}

// The longest events are read, whatever their lines.
func TestLongEventsAreRead(t *testing.T) {
	for _, tc := range []struct{ name, event string }{
		{"one line", "data: " + strings.Repeat("x", maxEventBytes-16) + "\n\n"},
		{"many lines", strings.Repeat("data: x\n", maxEventBytes/8-1) + "\n"},
		{"a line as long as the buffer", "data: " + strings.Repeat("x", 2<<10-7) + "\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := bufio.NewReaderSize(strings.NewReader("id: 7\n"+tc.event+"id: 8\n\n"), 2<<10)
			for _, want := range []string{"7", "8"} {
				ev, err := nextEvent(r, (*memory.Budget)(nil).Hold(memory.Events))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(ev.id).To(gomega.Equal(want))
			}
		})
	}
}

// Guards against a stream that goes on with the body of another target's failure, and ends as a whole one.
func TestStreamIsNotContinuedByAPlainResponse(t *testing.T) {
	for _, status := range []int{201, 204, 301, 400, 404, 429, 500, 503} {
		for _, body := range []string{"", "no such thing", strings.Repeat("x", maxBufferedBytes+1)} {
			if status == http.StatusNoContent && body != "" {
				continue
			}
			t.Run(strconv.Itoa(status)+" with "+strconv.Itoa(len(body))+" bytes", func(t *testing.T) {
				r := newRig(t, nil)
				r.relay.options.Disabled.Hedges = true
				r.worker("a", "v1", 0, stream(false, event1))
				r.worker("b", "v1", 3, respond(status, body))
				got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
				r.g.Expect(r.targetsInOrder()).To(gomega.Equal("a b"))
				r.g.Expect(got.body).To(gomega.Equal(event1))
				r.g.Expect(got.err).To(gomega.HaveOccurred(), "it looks complete")
			})
		}
	}
}

// Guards against a stream that ends as a whole one when another target runs the request anew and makes less than the caller has.
func TestStreamDoesNotEndBeforeWhatTheCallerHas(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   handler
		second  handler
		headers []string
		body    string
		whole   bool
	}{
		{"fewer events", stream(false, event1, event2), stream(true, event1), nil, event1 + event2, false},
		{"as many events", stream(false, event1, event2), stream(true, event1, event2), nil, event1 + event2, true},
		{"no event after the last one", stream(false, event1, event2), stream(true), nil, event1 + event2, true},
		{"fewer than a caller has that takes the stream up", stream(true, event1), stream(true, event1), []string{"After", "2"}, "", false},
		{"as many as such a caller has", stream(true, event1, event2), stream(true), []string{"After", "2"}, "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.worker("a", "v1", 0, tc.first)
			r.worker("b", "v1", 3, tc.second)
			got := r.send(http.MethodPost, "/stream/x", "x", append([]string{"Model", "m"}, tc.headers...)...)
			if tc.whole {
				r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
				r.g.Expect(got.status).To(gomega.Equal(http.StatusOK))
				r.g.Expect(got.body).To(gomega.Equal(tc.body))
				return
			}
			r.g.Expect(got.err != nil || got.status != http.StatusOK).To(gomega.BeTrue(), "%q looks complete", got.body)
			r.g.Expect(got.status != http.StatusOK || got.body == tc.body).To(gomega.BeTrue(), "%q", got.body)
		})
	}
}

// Guards against events that are left out of a stream since their IDs do not rise as decimal numbers.
func TestEventsOfOneResponseArePassedOnWhateverTheirIDs(t *testing.T) {
	event := func(id, data string) string { return "id: " + id + "\ndata: " + data + "\n\n" }
	for _, tc := range []struct {
		name   string
		events []string
	}{
		{"falling", []string{event("9", "a"), event("8", "b"), event("7", "c")}},
		{"repeated", []string{event("1", "a"), event("1", "b"), event("1", "c")}},
		{"no numbers", []string{event("f3", "a"), event("07", "b"), event("zz", "c")}},
		{"some without", []string{event("5", "a"), "data: b\n\n", event("2", "c")}},
		{"counted from 0 again", []string{event("98", "a"), event("99", "b"), event("0", "c")}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.worker("a", "v1", 0, stream(true, tc.events...))
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.body).To(gomega.Equal(strings.Join(tc.events, "")))
			r.g.Expect(r.relay.options.Stats.EventsUnordered.Get()).NotTo(gomega.BeZero())
		})
	}
}

// Guards against events that come twice, or not at all, where a stream is continued although no ID tells what the caller has of it.
func TestStreamIsContinuedOnlyAfterAnEventThatItsIDTells(t *testing.T) {
	const noID, ping = "data: word\n\n", "event: ping\ndata: {}\n\n"
	for _, tc := range []struct {
		name string
		sent []string
		want bool
	}{
		{"no IDs", []string{noID, noID}, false},
		{"none in the last event", []string{event1, noID}, false},
		{"none in an event before the last one", []string{event1, ping, event2}, true},
		{"falling", []string{event2, event1}, false},
		{"repeated", []string{event1, event1}, false},
		{"rising again", []string{event2, event1, "id: 3\ndata: x\n\n"}, false},
		{"rising", []string{event1, event2}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			last := "id: 4\ndata: word 4\n\n"
			r.worker("a", "v1", 0, stream(false, tc.sent...))
			r.worker("b", "v1", 3, func(w *bufio.Writer, req *http.Request) error {
				if req.Header.Get("After") == "" {
					return stream(true, append(tc.sent, last)...)(w, req)
				}
				return stream(true, last)(w, req)
			})
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
			begun := strings.Join(tc.sent, "")
			if tc.want {
				r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
				r.g.Expect(got.body).To(gomega.Equal(begun + last))
				return
			}
			r.g.Expect(got.err).To(gomega.HaveOccurred(), "it looks complete: %q", got.body)
			r.g.Expect(got.body).To(gomega.Equal(begun))
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal("a"))
		})
	}
}

// Guards against events that are left out, or a refusal, where a caller names a last event on a route whose streams may not be resumed.
func TestEventsAreLeftOutOnlyWhereStreamsMayBeResumed(t *testing.T) {
	events := event1 + event2 + "id: 3\ndata: word 3\n\n"
	for _, path := range []string{"/unresumed/x", "/single/x"} {
		for _, after := range []string{"1", "2", "3", "20", "0", "-1", "007", "abc"} {
			t.Run(path+" after "+after, func(t *testing.T) {
				r := newRig(t, nil)
				r.worker("a", "v1", 0, stream(true, events))
				got := r.send(http.MethodPost, path, "x", "Model", "m", "After", after)
				r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
				r.g.Expect(got.status).To(gomega.Equal(http.StatusOK))
				r.g.Expect(got.body).To(gomega.Equal(events))
			})
		}
	}
}

// Guards against events that come twice where the response that continues a stream begins anew and some of its events have no ID.
func TestEventsWithoutAnIDDoNotShowWhatTheCallerLacks(t *testing.T) {
	const ping, done, event3 = "event: ping\ndata: {}\n\n", "data: done\n\n", "id: 3\ndata: word 3\n\n"
	for _, tc := range []struct {
		name string
		// second continues the stream after event 2.
		second []string
		// want is what follows event 2, and whole whether the answer is complete after it.
		want  string
		whole bool
	}{
		{"anew, between known events", []string{event1, ping, event2, event3}, event3, true},
		{"anew, before the first new event", []string{event1, event2, ping, event3}, ping + event3, true},
		{"anew, after the first new event", []string{event1, event2, event3, ping}, event3 + ping, true},
		{"anew, at the beginning", []string{ping, event1, event2, event3}, ping + event3, true},
		{"anew, it ends too early", []string{ping, event1}, ping, false},
		{"anew, it ends too early with such an event", []string{event1, done}, "", false},
		{"anew, only the end is new", []string{event1, event2, done}, done, true},
		{"resumed", []string{ping, event3}, ping + event3, true},
		{"resumed, only the end is new", []string{done}, done, true},
	} {
		for _, byCaller := range []bool{false, true} {
			t.Run(tc.name+map[bool]string{true: ", by the caller"}[byCaller], func(t *testing.T) {
				r := newRig(t, nil)
				r.relay.options.Disabled.Hedges = true
				got, begun := callerAnswer{}, ""
				if byCaller {
					r.worker("b", "v1", 0, stream(true, tc.second...))
					got = r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "After", "2")
				} else {
					begun = event1 + event2
					r.worker("a", "v1", 0, stream(false, event1, event2))
					r.worker("b", "v1", 3, stream(true, tc.second...))
					got = r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
				}
				complete := got.err == nil && got.status == http.StatusOK
				r.g.Expect(complete).To(gomega.Equal(tc.whole), "%d %v %q", got.status, got.err, got.body)
				if complete || !byCaller {
					r.g.Expect(got.body).To(gomega.Equal(begun + tc.want))
				}
			})
		}
	}
}

// Guards against events that are left out after a last event whose ID is written in another way than the target's, or is no number.
func TestEventsAreComparedByTheNumberOfTheirID(t *testing.T) {
	event := func(id string) string { return "id: " + id + "\ndata: word\n\n" }
	for _, tc := range []struct {
		name, after string
		sent, want  []string
	}{
		{"leading zeros", "007", []string{"8", "9", "10"}, []string{"8", "9", "10"}},
		{"leading zeros, anew", "007", []string{"6", "7", "8", "10"}, []string{"8", "10"}},
		{"leading zeros at the target", "7", []string{"006", "007", "008"}, []string{"008"}},
		{"0", "0", []string{"0", "1", "2"}, []string{"1", "2"}},
		{"zeros", "000", []string{"1", "2"}, []string{"1", "2"}},
		{"negative", "-1", []string{"8", "9", "10"}, []string{"8", "9", "10"}},
		{"a sign", "+7", []string{"8", "9", "10"}, []string{"8", "9", "10"}},
		{"text", "abc", []string{"98", "99", "100", "1000"}, []string{"98", "99", "100", "1000"}},
		{"a fraction", "7.5", []string{"8", "9", "10"}, []string{"8", "9", "10"}},
		{"long", "18446744073709551615", []string{"18446744073709551615", "18446744073709551616"}, []string{"18446744073709551616"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			sent, want := "", ""
			for _, id := range tc.sent {
				sent += event(id)
			}
			for _, id := range tc.want {
				want += event(id)
			}
			r.worker("a", "v1", 0, stream(true, sent))
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "After", tc.after)
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.status).To(gomega.Equal(http.StatusOK))
			r.g.Expect(got.body).To(gomega.Equal(want))
		})
	}
}

// Guards against streams that are continued after an ID that is no number, so that nothing tells whether the next one follows it.
func TestStreamIsNotContinuedAfterAnIDThatIsNoNumber(t *testing.T) {
	event := func(id string) string { return "id: " + id + "\ndata: word\n\n" }
	for _, ids := range [][]string{{"a1"}, {"a1", "c9"}, {"1", "2a"}, {"1", "22a"}, {"-3"}, {"1.1", "1.2"}} {
		t.Run(strings.Join(ids, " "), func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			begun := ""
			for _, id := range ids {
				begun += event(id)
			}
			r.worker("a", "v1", 0, stream(false, begun))
			r.worker("b", "v1", 3, stream(true, event("b4"), event("d0"), event("999")))
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m")
			r.g.Expect(got.err).To(gomega.HaveOccurred(), "it looks complete: %q", got.body)
			r.g.Expect(got.body).To(gomega.Equal(begun))
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal("a"))
		})
	}
}
