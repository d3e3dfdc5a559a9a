package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/roster"
)

// Guards against a request that waits in a target's queue and begins there on weights that were replaced too long ago.
func TestRequestThatHasNotBegunInTimeGoesToAnotherTarget(t *testing.T) {
	const bound = 300 * time.Millisecond
	const late = 700 * time.Millisecond
	// begin answers late with a stream of which the head and the first bytes, if any, are sent at once.
	begin := func(headAtOnce bool, first string) handler {
		return func(w *bufio.Writer, req *http.Request) error {
			if !headAtOnce {
				time.Sleep(late)
			}
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", req.Header.Get("Id"), first)
			w.Flush()
			if headAtOnce {
				time.Sleep(late)
			}
			fmt.Fprint(w, eventsAfter("")[len(first):])
			w.Flush()
			return http.ErrAbortHandler
		}
	}
	event := eventsAfter("")[:len(eventsAfter("1"))]
	passing := func(after time.Duration) time.Duration { return bound - after }
	for _, tc := range []struct {
		name, path string
		first      handler
		// usableFor returns for how much longer requests may begin some time after the request was sent.
		usableFor func(after time.Duration) time.Duration
		hedges    bool
		// want is the targets that get the request.
		want []string
	}{
		{"silent", "/stream/x", begin(false, ""), passing, false, []string{"a", "b"}},
		{"silent, hedges allowed", "/raced/x", begin(false, ""), func(after time.Duration) time.Duration { return bound/10 - after }, true, []string{"a", "b"}},
		{"head without an event", "/stream/x", begin(true, ""), passing, false, []string{"a", "b"}},
		{"has begun", "/stream/x", begin(true, event), passing, false, []string{"a"}},
		{"may not be repeated", "/unresumed/x", begin(false, ""), passing, false, []string{"a"}},
		{"not replaced", "/stream/x", begin(false, ""), func(time.Duration) time.Duration { return bound }, false, []string{"a"}},
		{"replaced while it waits", "/stream/x", begin(false, ""), func(after time.Duration) time.Duration {
			if after < bound/2 {
				return bound / 2
			}
			return bound - after
		}, false, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = !tc.hedges
			r.target("a", "llm", always(tc.first))
			r.target("b", "llm", always(stream(true, eventsAfter(""))))
			other := *r.roster.Target("b").Entry()
			other.Weights = map[string]int64{"m": 2}
			r.roster.Put(other)
			r.roster.Target("b").AddLoad(roster.Load{Running: hedgeRigLoad["llm"]})
			start := time.Now()
			r.relay.options.WeightsUsableFor = func(_ string, version int64) time.Duration {
				if version == 2 {
					return time.Hour
				}
				return tc.usableFor(time.Since(start))
			}
			got := r.send(http.MethodPost, tc.path, "x", "Model", "m")
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect([]any{got.status, got.body}).To(gomega.Equal([]any{http.StatusOK, eventsAfter("")}))
			var targets []string
			for _, req := range r.received() {
				targets = append(targets, req.target)
			}
			r.g.Expect(targets).To(gomega.Equal(tc.want))
			if len(tc.want) > 1 {
				r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", late))
			}
			// The target has not crashed.
			for _, began := range []bool{false, true} {
				r.g.Expect(r.relay.options.Stats.Disconnects[began].Get()).To(gomega.BeZero())
			}
		})
	}
}
