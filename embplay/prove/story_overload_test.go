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
	It("sheds early and truthfully, keeps priorities and recovers", func() {
		r := site(func(o *fake.SiteOptions) { o.Engines, o.Deadline = 2, conf.Seconds(1) })
		path := "/v1/resources/policies/" + orgTwo + "?force=true"
		body := struct {
			Spec json.RawMessage `json:"spec"`
		}{json.RawMessage(`{"organisation":"` + orgTwo + `","deployments":["` + fake.SiteDeployment + `"],"priority":8,"deadline":"1s"}`)}
		_, err := r.operate(r.procs[0], http.MethodPut, path, body, nil)
		Expect(err).NotTo(HaveOccurred())

		// Two engines compute 40,000 tokens a second; this asks for three times
		// that, half of it urgent.
		const tokens, perSecond, secs = 4000, 30, 5
		var mu sync.Mutex
		whole, refused := map[string]int{}, map[string]int{}
		var wg sync.WaitGroup
		tick := time.NewTicker(time.Second / perSecond)
		defer tick.Stop()
		for n := range perSecond * secs {
			<-tick.C
			org := organisation(n)
			wg.Go(func() {
				prompt := strings.Repeat(fmt.Sprintf("%04d", n), tokens)
				a := r.ask(n%len(r.procs), org, prompt, 2)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Complete:
					whole[org]++
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
		Expect(refused[orgOne]).To(BeNumerically(">", 0), "the load is too much")
		Expect(whole[orgTwo]).To(BeNumerically(">", whole[orgOne]), "urgent prompts go first: %v, refused %v", whole, refused)
		retried := r.count("requestsRetried")
		Eventually(func() bool { return r.ask(0, orgOne, "quick", 2).Complete }).Should(BeTrue())
		Expect(retried).To(BeNumerically("<=", perSecond*secs/5), "no storm of retries")
	})
})
