package relay

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/onsi/gomega"
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

// Guards against two requests with one attempt ID that are admitted at once.
func TestAttemptIDIsAdmittedOnceWhileItIsUnderWay(t *testing.T) {
	var u usedIDs
	var wg sync.WaitGroup
	admitted := make(chan bool, 100)
	for range cap(admitted) {
		wg.Go(func() { admitted <- u.use("one") })
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

func TestUsedIDsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var u usedIDs
	for i := range 3 * maxUsedIDs {
		g.Expect(u.use(strconv.Itoa(i))).To(gomega.BeTrue())
	}
	g.Expect(u.known).To(gomega.HaveLen(maxUsedIDs))
	g.Expect(u.use(strconv.Itoa(2*maxUsedIDs))).To(gomega.BeFalse(), "the oldest that is remembered")
	g.Expect(u.use(strconv.Itoa(2*maxUsedIDs-1))).To(gomega.BeTrue(), "one that is not remembered")
}
