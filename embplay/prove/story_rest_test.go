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

// An engine turns prompts away with 503 and asks for rest; the others have room. Each prompt that
// was placed there was sent there first. What the refusal asks for was not read, and no state of the
// daemon took it up: 10 of 20 prompts went to the engine that had asked the first one for ten
// minutes of rest.
var _ = Describe("An engine that asks for rest", func() {
	It("gets nothing from a daemon that it told so", func() {
		const rest = 10 * time.Minute
		r := site(func(o *fake.SiteOptions) { o.Engines = 3 })
		prompt := longText(1)
		expectWhole(r.ask(0, orgOne, prompt, 5), "v1", prompt, 5)
		// The one that holds the context is the first choice for it.
		for _, e := range r.site.Engines {
			if len(e.Runs()) > 0 {
				e.AskRest(rest)
			}
		}
		for range 20 {
			expectWhole(r.ask(0, orgOne, prompt, 5), "v1", prompt, 5)
		}
		for _, e := range r.site.Engines {
			Expect(e.TurnedAway()).To(BeNumerically("<=", 1))
		}
		// Where all rest, callers are told until when.
		for _, e := range r.site.Engines {
			e.AskRest(rest)
		}
		var last play.Reply
		for range 6 {
			last = r.ask(0, orgOne, prompt, 5)
		}
		Expect(last.Refusal).NotTo(BeNil())
		Expect(last.Refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.Refusal.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
	})
})

// The same for calls of plain services.
var _ = Describe("A target of a plain service that asks for rest", func() {
	It("gets nothing from a daemon that it told so", func() {
		const rest = 10 * time.Minute
		r := site(func(o *fake.SiteOptions) { o.Services = 2 })
		resting, other := r.site.Services[0], r.site.Services[1]
		resting.AskRest(rest)
		for n := range 20 {
			r.pay(0, orgOne, "", fmt.Sprintf("m%d", n))
		}
		Expect(resting.TurnedAway()).To(Equal(1))
		Expect(len(other.Runs())).To(BeNumerically(">=", 19))
		other.AskRest(rest)
		r.pay(0, orgOne, "", "last but one")
		last := r.pay(0, orgOne, "", "last")
		Expect(last.Refusal).NotTo(BeNil())
		Expect(last.Refusal.Ran).To(Equal("notRun"))
		Expect(last.Refusal.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
	})
})
