package prove

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
)

// Guards against one prompt that crashes every engine. Its caller retries through one daemon
// after the other, and each retry is attempted at up to four engines. If crashes are attributed
// to the engines alone and the prompt is not recognised, no engine is left.
var _ = Describe("A prompt that crashes engines", func() {
	It("is blocked after the third crash", func() {
		const crashing, attempts = "this prompt ends engines", 6
		r := startSite(func(o *fake.SiteOptions) { o.Engines = 8 })
		for _, e := range r.site.Engines {
			e.CrashOn(crashing)
		}
		crashed := func() int {
			n := 0
			for _, e := range r.site.Engines {
				if e.Crashed() {
					n++
				}
			}
			return n
		}
		last := r.sendPrompt(0, orgOne, longText(2)+crashing, 5)
		for n := 1; n < attempts; n++ {
			time.Sleep(100 * time.Millisecond)
			last = r.sendPrompt(n%len(r.daemons), orgOne, longText(2)+crashing, 5)
		}
		Expect(crashed()).To(BeNumerically(">=", 3))
		Expect(crashed()).To(BeNumerically("<=", 4))
		Expect(last.Refusal).NotTo(BeNil())
		Expect(last.Refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.Refusal.Ran).To(Equal("notRun"))
		Expect(last.Refusal.RetryAfterMillis).To(BeNumerically(">", time.Minute.Milliseconds()))
		prompt := fmt.Sprintf("%s, and no other", longText(2))
		expectAnswer(r.sendPrompt(1, orgOne, prompt, 30), "v1", prompt, 30)

		// Operators see it at any daemon, and unblock it in all through one.
		var got struct {
			Blocked []struct {
				Asks string `json:"asks"`
			} `json:"blocked"`
		}
		blocked := func(box int) func() (int, error) {
			return func() (int, error) {
				got.Blocked = nil
				_, err := r.callOperatorAPI(r.daemons[box], http.MethodGet, "/v1/blocked", nil, &got)
				return len(got.Blocked), err
			}
		}
		for box := range r.daemons {
			Eventually(blocked(box)).Should(Equal(1))
		}
		status, err := r.callOperatorAPI(r.daemons[0], http.MethodDelete, "/v1/blocked/"+got.Blocked[0].Asks, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		for box := range r.daemons {
			Eventually(blocked(box)).Should(BeZero())
		}
	})
})
