package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/roster"
)

// beginPlay is a request to a target that does not begin it in time.
type beginPlay struct {
	// arrived is when the target received the request; nil before that.
	arrived atomic.Pointer[time.Time]
	// passedOn is set once the caller has received the first event.
	passedOn atomic.Bool
}

// wait returns for how long the request has been at the target.
func (b *beginPlay) wait() time.Duration {
	if arrived := b.arrived.Load(); arrived != nil {
		return time.Since(*arrived)
	}
	return 0
}

// receive records that the target has received the request, and responds.
func (b *beginPlay) receive(respond handler) handler {
	return func(w *bufio.Writer, req *http.Request) error {
		now := time.Now()
		b.arrived.CompareAndSwap(nil, &now)
		return respond(w, req)
	}
}

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
	passing := func(b *beginPlay) time.Duration { return bound - b.wait() }
	for _, tc := range []struct {
		name, path string
		first      handler
		// usableFor returns for how much longer requests may begin.
		usableFor func(b *beginPlay) time.Duration
		hedges    bool
		// want is the targets that get the request.
		want []string
	}{
		{"silent", "/stream/x", begin(false, ""), passing, false, []string{"a", "b"}},
		{"silent, hedges allowed", "/raced/x", begin(false, ""), func(b *beginPlay) time.Duration { return bound/10 - b.wait() }, true, []string{"a", "b"}},
		{"head without an event", "/stream/x", begin(true, ""), passing, false, []string{"a", "b"}},
		{"has begun", "/stream/x", begin(true, event), func(b *beginPlay) time.Duration {
			if !b.passedOn.Load() {
				return bound / 10
			}
			return 0
		}, false, []string{"a"}},
		{"may not be repeated", "/unresumed/x", begin(false, ""), passing, false, []string{"a"}},
		{"not replaced", "/stream/x", begin(false, ""), func(*beginPlay) time.Duration { return bound }, false, []string{"a"}},
		{"replaced while it waits", "/stream/x", begin(false, ""), func(b *beginPlay) time.Duration {
			if b.wait() < bound/2 {
				return bound / 2
			}
			return bound - b.wait()
		}, false, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for plays := 1; ; plays++ {
				r := newRig(t, nil)
				r.relay.options.Disabled.Hedges = !tc.hedges
				// A connection that is slow to open would go to the other target at once.
				r.relay.options.Disabled.OpenRace = true
				b := &beginPlay{}
				r.target("a", "llm", always(b.receive(tc.first)))
				r.target("b", "llm", always(stream(true, eventsAfter(""))))
				other := *r.roster.Target("b").Entry()
				other.Weights = map[string]int64{"m": 2}
				r.roster.Put(other)
				r.roster.Target("b").AddLoad(roster.Load{Running: hedgeRigLoad["llm"]})
				r.relay.options.WeightsUsableFor = func(_ string, version int64) time.Duration {
					if version == 2 {
						return time.Hour
					}
					return tc.usableFor(b)
				}
				stop := standstill()
				body, err := r.sendWatched(tc.path, event, &b.passedOn)
				took, stood := b.wait(), stop()
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
				r.g.Expect(body).To(gomega.Equal(eventsAfter("")))
				if stood > mayStandStill && took >= late && plays < maxPlays {
					continue
				}
				var targets []string
				for _, req := range r.received() {
					targets = append(targets, req.target)
				}
				r.g.Expect(targets).To(gomega.Equal(tc.want))
				if len(tc.want) > 1 {
					r.g.Expect(took).To(gomega.BeNumerically("<", late))
				}
				// The target has not crashed.
				for _, began := range []bool{false, true} {
					r.g.Expect(r.relay.options.Stats.Disconnects[began].Get()).To(gomega.BeZero())
				}
				return
			}
		})
	}
}

// sendWatched sends a request, sets passedOn once the first event has come, and returns the body of the answer.
func (r *rig) sendWatched(path, event string, passedOn *atomic.Bool) (string, error) {
	req, err := http.NewRequest(http.MethodPost, r.front.URL+path, strings.NewReader("x"))
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	req.Header = http.Header{"Id": {"try-1"}, "Key": {"secret"}, "Model": {"m"}}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	r.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	first := make([]byte, len(event))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return string(first), err
	}
	passedOn.Store(true)
	rest, err := io.ReadAll(resp.Body)
	return string(first) + string(rest), err
}
