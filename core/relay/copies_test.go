package relay

import (
	"bufio"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
)

// lateCopy responds after the limit of the copies that a request asks for, as a worker does whose
// copies do not arrive: it discards them and prefills the prompt.
func lateCopy(limit time.Duration) handler {
	return func(w *bufio.Writer, r *http.Request) error {
		if r.Header.Get("Copy") != "" {
			time.Sleep(limit)
		}
		return stream(true, "id: 1\ndata: a\n\n")(w, r)
	}
}

// Without a limit by its own objective, a request waits as long as the store may keep the segment,
// and the next request waits for the same link again.
func TestLateCopiesAreLimitedByTheObjective(t *testing.T) {
	salt := sharedSalt
	stored := []cache.SegmentChange{
		{SegmentName: cache.SegmentName{Salt: salt, ID: "text"}, Tokens: 400},
		{SegmentName: cache.SegmentName{Salt: salt, ID: "other"}, Tokens: 400},
	}
	tests := []struct {
		name         string
		disabled     bool
		longestCopy  time.Duration
		secondCopies string
	}{
		{"with limits", false, time.Second - 50*time.Millisecond, ""},
		{"switched off", true, cache.TransferTimeout(), "store:1,"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, fakeStores{stored})
			r.relay.options.Disabled.CopyLimits = tc.disabled
			// A link that is known to be slow is avoided as well.
			r.relay.options.Disabled.LinkSpeeds = true
			// The second request is not among the few that probe a doubted link.
			r.relay.options.Random = func() float64 { return 0.5 }
			r.target("t1", "llm", always(lateCopy(tc.longestCopy)))
			storeSegment(r, salt, "text")
			for _, segment := range []string{"text", "other"} {
				r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", segment+":400 own:80")
			}
			received := r.received()
			r.g.Expect(received).To(gomega.HaveLen(2))
			r.g.Expect(received[0].header.Get("Copy")).To(gomega.Equal("store:1,"))
			until, err := strconv.ParseInt(received[0].header.Get("Copy-Until"), 10, 64)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			// The store's clock showed one minute when it was read.
			r.g.Expect(time.Duration(until)*time.Millisecond - time.Minute).To(
				gomega.BeNumerically("~", tc.longestCopy, 250*time.Millisecond))
			r.g.Expect(received[1].header.Get("Copy")).To(gomega.Equal(tc.secondCopies))
		})
	}
}
