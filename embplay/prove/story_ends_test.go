package prove

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
)

// A prompt ends each engine that begins to run it. Its caller, who gets no answer, sends it
// again, to one daemon after the other. Each try was given to four engines, and each ended,
// until none was left: an end without an answer was laid to the engine, and nobody knew the
// prompt again.
var _ = Describe("A prompt that ends engines", func() {
	It("is given to no more of them after the third", func() {
		const fatal, tries = "this prompt ends engines", 6
		r := site(func(o *fake.SiteOptions) { o.Engines = 8 })
		for _, e := range r.site.Engines {
			e.EndOf(fatal)
		}
		over := func() int {
			n := 0
			for _, e := range r.site.Engines {
				if e.Over() {
					n++
				}
			}
			return n
		}
		last := r.ask(0, orgOne, longText(2)+fatal, 5)
		for n := 1; n < tries; n++ {
			time.Sleep(100 * time.Millisecond)
			last = r.ask(n%len(r.procs), orgOne, longText(2)+fatal, 5)
		}
		Expect(over()).To(BeNumerically(">=", 3))
		Expect(over()).To(BeNumerically("<=", 4))
		Expect(last.Refusal).NotTo(BeNil())
		Expect(last.Refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.Refusal.Ran).To(Equal("notRun"))
		Expect(last.Refusal.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
		prompt := fmt.Sprintf("%s, and no other", longText(2))
		expectWhole(r.ask(1, orgOne, prompt, 30), "v1", prompt, 30)

		// Operators list it at any daemon, and let it go in all.
		var got struct {
			Blocked []struct {
				Asks string `json:"asks"`
			} `json:"blocked"`
		}
		blocked := func(box int) func() (int, error) {
			return func() (int, error) {
				got.Blocked = nil
				_, err := r.operate(r.procs[box], http.MethodGet, "/v1/blocked", nil, &got)
				return len(got.Blocked), err
			}
		}
		for box := range r.procs {
			Eventually(blocked(box)).Should(Equal(1))
		}
		status, err := r.operate(r.procs[0], http.MethodDelete, "/v1/blocked/"+got.Blocked[0].Asks, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		for box := range r.procs {
			Eventually(blocked(box)).Should(BeZero())
		}
	})
})
