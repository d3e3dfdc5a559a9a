package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// streamLength is the number of events of the streams of a failing target.
const streamLength = 5

// streamAnswer is how a target answers one request for a stream.
type streamAnswer struct {
	// status is that of the response; only 200 has events.
	status int
	// anew is set if the target begins again at the first event, and frame is the index of its framing.
	anew  bool
	frame int
	// comments is set if comments stand between the events.
	comments bool
	// cut is the share of the response after which it ends early, in percent; 100 for a whole one.
	cut int
	end ending
}

// drawStreamAnswer draws an answer. A response without a mark of its end is reset, since nothing tells a closed one from a whole one.
func drawStreamAnswer(t *rapid.T) streamAnswer {
	a := streamAnswer{
		status: rapid.SampledFrom([]int{200, 200, 200, 200, 400, 404, 500}).Draw(t, "status"), anew: rapid.Bool().Draw(t, "anew"),
		frame: rapid.IntRange(0, len(frames)-1).Draw(t, "frame"), comments: rapid.Bool().Draw(t, "comments"),
		cut: rapid.SampledFrom([]int{100, 0, 10, 30, 50, 70, 90, 99}).Draw(t, "cut"), end: rapid.SampledFrom([]ending{endsClosed, endsReset}).Draw(t, "end"),
	}
	if !frames[a.frame].marked {
		a.end = endsReset
	}
	if a.cut == 100 {
		a.end = endsWhole
	}
	return a
}

// events returns the events of an answer.
func (a *streamAnswer) events(after string) string {
	from, _ := strconv.Atoi(after)
	if a.anew {
		from = 0
	}
	var out strings.Builder
	for n := from + 1; n <= streamLength; n++ {
		if a.comments {
			out.WriteString(": still here\n\n")
		}
		fmt.Fprintf(&out, "id: %d\ndata: word %d\n\n", n, n)
	}
	return out.String()
}

// write sends the answer.
func (a *streamAnswer) write(c net.Conn, req *http.Request) ending {
	body := "no such thing"
	if a.status == http.StatusOK {
		body = a.events(req.Header.Get("After"))
	}
	lines, framed := frames[a.frame].encode(body)
	writeHead(c, req, a.status, lines)
	// An error means that the daemon has closed the connection.
	_, _ = io.WriteString(c, framed[:len(framed)*a.cut/100])
	return a.end
}

var numberedEvent = regexp.MustCompile(`id: (\d+)\ndata: word (\d+)\n\n`)

// Guards against events that are absent, come twice or out of order, and against streams that look complete before their last event.
func TestStreamsAreWholeOrBreakOffWhateverTheirTargetsDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		answers := rapid.SliceOfN(rapid.Custom(drawStreamAnswer), 1, 9).Draw(rt, "answers")
		closes := rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(rt, "half-closed")
		r := newRig(t, nil)
		defer r.front.Close()
		var mu sync.Mutex
		for i := range 3 {
			r.rawTarget(string(rune('a'+i)), "llm", func(c net.Conn, req *http.Request) ending {
				mu.Lock()
				a := &answers[0]
				if len(answers) > 1 {
					answers = answers[1:]
				}
				mu.Unlock()
				return a.write(c, req)
			})
		}
		last := 0
		for i, halfClosed := range closes {
			headers := []string{"Model", "m", "Id", fmt.Sprintf("try-%d", i), "Deadline", "1000"}
			if last > 0 {
				headers = append(headers, "After", strconv.Itoa(last), "Resumes", "try-0")
			}
			var got callerAnswer
			if halfClosed {
				got = r.sendAndCloseWrite("HTTP/1.1", "/raced/x", time.Millisecond, headerLines(headers)...)
			} else {
				got = r.send(http.MethodPost, "/raced/x", "x", headers...)
			}
			if got.status != http.StatusOK {
				continue
			}
			for _, m := range numberedEvent.FindAllStringSubmatch(got.body, -1) {
				n, _ := strconv.Atoi(m[1])
				gomega.NewWithT(rt).Expect(n).To(gomega.Equal(last+1), "after event %d of %q", last, got.body)
				last = n
			}
			rest := numberedEvent.ReplaceAllString(strings.ReplaceAll(got.body, ": still here\n\n", ""), "")
			gomega.NewWithT(rt).Expect(got.err != nil || rest == "").To(gomega.BeTrue(), "%q holds no event", rest)
			if got.err == nil {
				gomega.NewWithT(rt).Expect(last).To(gomega.Equal(streamLength), "%q looks complete", got.body)
				return
			}
		}
	})
}

// headerLines returns names and values as lines of a header.
func headerLines(pairs []string) []string {
	out := []string{"Key: secret"}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] != "Model" && pairs[i] != "Id" {
			out = append(out, pairs[i]+": "+pairs[i+1])
		}
	}
	return out
}
