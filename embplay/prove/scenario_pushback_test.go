package prove

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

// Guards against pushback that is ignored. An engine rejects prompts with 503 and a Retry-After of
// ten minutes while others have free capacity. A daemon that does not record the Retry-After keeps
// trying that engine first for prompts placed there: 10 of 20 prompts were sent to it.
var _ = Describe("An engine that sends Retry-After", func() {
	It("gets nothing from the daemon that received it", func() {
		const pushback = 10 * time.Minute
		r := startSite(func(o *fake.SiteOptions) { o.Engines = 3 })
		prompt := longText(1)
		expectAnswer(r.sendPrompt(0, orgOne, prompt, 5), "v1", prompt, 5)
		// The engine with the context in its cache is the first choice for it.
		for _, e := range r.site.Engines {
			if len(e.Executions()) > 0 {
				e.SetPushback(pushback)
			}
		}
		for range 20 {
			expectAnswer(r.sendPrompt(0, orgOne, prompt, 5), "v1", prompt, 5)
		}
		for _, e := range r.site.Engines {
			Expect(e.Rejected()).To(BeNumerically("<=", 1))
		}
		// While all engines are under pushback, callers get a Retry-After.
		for _, e := range r.site.Engines {
			e.SetPushback(pushback)
		}
		var last play.Reply
		for range 6 {
			last = r.sendPrompt(0, orgOne, prompt, 5)
		}
		Expect(last.Refusal).NotTo(BeNil())
		Expect(last.Refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.Refusal.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
	})
})

// The same failure with calls of plain services.
var _ = Describe("A target of a plain service that sends Retry-After", func() {
	It("gets nothing from the daemon that received it", func() {
		const pushback = 10 * time.Minute
		r := startSite(func(o *fake.SiteOptions) { o.Services = 2 })
		rejecting, other := r.site.Services[0], r.site.Services[1]
		rejecting.SetPushback(pushback)
		for n := range 20 {
			r.sendPayment(0, orgOne, "", fmt.Sprintf("m%d", n))
		}
		Expect(rejecting.Rejected()).To(Equal(1))
		Expect(len(other.Executions())).To(BeNumerically(">=", 19))
		other.SetPushback(pushback)
		r.sendPayment(0, orgOne, "", "last but one")
		last := r.sendPayment(0, orgOne, "", "last")
		Expect(last.Refusal).NotTo(BeNil())
		Expect(last.Refusal.Ran).To(Equal("notRun"))
		Expect(last.Refusal.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
	})
})
