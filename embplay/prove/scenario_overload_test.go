package prove

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/embfake/fake"
)

var _ = Describe("Overload", func() {
	It("refuses early as not executed, keeps priorities and recovers", func() {
		r := startSite(func(o *fake.SiteOptions) { o.Engines, o.Deadline = 2, conf.Seconds(1) })
		path := "/v1/resources/policies/" + orgTwo + "?force=true"
		body := struct {
			Spec json.RawMessage `json:"spec"`
		}{json.RawMessage(`{"organisation":"` + orgTwo + `","deployments":["` + fake.SiteDeployment + `"],"priority":8,"deadline":"1s"}`)}
		_, err := r.callOperatorAPI(r.daemons[0], http.MethodPut, path, body, nil)
		Expect(err).NotTo(HaveOccurred())

		// Two engines compute 40,000 tokens a second. This load is three times
		// that, half of it with high priority.
		const tokens, perSecond, secs = 4000, 30, 5
		var mu sync.Mutex
		answered, refused := map[string]int{}, map[string]int{}
		var wg sync.WaitGroup
		tick := time.NewTicker(time.Second / perSecond)
		defer tick.Stop()
		for n := range perSecond * secs {
			<-tick.C
			org := organisation(n)
			wg.Go(func() {
				prompt := strings.Repeat(fmt.Sprintf("%04d", n), tokens)
				a := r.sendPrompt(n%len(r.daemons), org, prompt, 2)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Complete:
					answered[org]++
				case a.Refusal != nil:
					refused[org]++
					Expect(a.Refusal.Ran).To(Equal("notRun"))
					Expect(a.Refusal.RetryAfterMillis).To(BeNumerically(">", 0))
				default:
					Expect(a.Err).NotTo(HaveOccurred())
				}
			})
		}
		wg.Wait()
		Expect(refused[orgOne]).To(BeNumerically(">", 0), "the load exceeds capacity")
		Expect(answered[orgTwo]).To(BeNumerically(">", answered[orgOne]), "prompts with high priority go first: %v, refused %v", answered, refused)
		retried := r.sumMetric("requestsRetried")
		Eventually(func() bool { return r.sendPrompt(0, orgOne, "quick", 2).Complete }).Should(BeTrue())
		Expect(retried).To(BeNumerically("<=", perSecond*secs/5), "no retry storm")
	})
})
