package relay

import (
	"bufio"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
)

// The box is suspended while a target runs a request whose response then breaks off. The second
// target must be given only what is left of the caller's time.
func TestRetryAfterSystemSuspendGetsRemainingTime(t *testing.T) {
	const suspension = time.Second
	r := newRig(t, nil)
	suspended := func(*bufio.Writer, *http.Request) error {
		clock.Suspend(suspension)
		return hangUp(nil, nil)
	}
	for _, id := range []string{"a", "b"} {
		r.target(id, "plain", func(int) handler {
			if len(r.received()) == 1 {
				return suspended
			}
			return respond(200, "ok")
		})
	}
	got := r.send(http.MethodPost, "/repeatable/", "x", "Deadline", "1800")
	r.g.Expect(got.status).To(gomega.Equal(200))
	received := r.received()
	r.g.Expect(received).To(gomega.HaveLen(2))
	first, _ := strconv.Atoi(received[0].header.Get("Deadline"))
	second, _ := strconv.Atoi(received[1].header.Get("Deadline"))
	r.g.Expect(second).To(gomega.BeNumerically("<=", first-int(suspension.Milliseconds())))
}
