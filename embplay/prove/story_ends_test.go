package prove

import (
	"fmt"
	"net/http"
	"os"
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
		if os.Getenv("KNOWN_RED") != "" {
			Skip("listed in KNOWN-RED.txt")
		}
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
		Expect(last.Refused).NotTo(BeNil())
		Expect(last.Refused.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.Refused.Ran).To(Equal("notRun"))
		Expect(last.Refused.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
		prompt := fmt.Sprintf("%s, and no other", longText(2))
		expectWhole(r.ask(1, orgOne, prompt, 30), "v1", prompt, 30)
	})
})
