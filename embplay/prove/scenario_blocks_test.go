package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

// slowEngines slows prefill, so that importing blocks costs less than computing them
// even on a busy machine, where the measured rate of a link is low.
func slowEngines(o *fake.SiteOptions) { o.Engine.PrefillTokensPerSecond = 1500 }

var _ = Describe("Promise 1: freed and partly written blocks are never used for an answer", func() {
	tests := []struct {
		name   string
		inject func(r *testbed)
		// afterExport injects the fault after the export instead of before the first
		// prompt.
		afterExport bool
	}{
		{"freed and written again", func(r *testbed) {
			for _, s := range r.site.Stores {
				s.ReuseAllBlocks()
			}
		}, true},
		{"partly written", func(r *testbed) {
			for _, s := range r.site.Stores {
				s.Set(fake.HalfWrite, 10)
			}
		}, false},
		{"corrupt when read", func(r *testbed) {
			for _, s := range r.site.Stores {
				s.Set(fake.Corrupt, 1000)
			}
		}, true},
		{"lost with the store", func(r *testbed) {
			for _, s := range r.site.Stores {
				s.Reset()
			}
		}, true},
	}
	for _, tc := range tests {
		It("recomputes blocks that were "+tc.name, func() {
			r := startSite(slowEngines)
			if !tc.afterExport {
				tc.inject(r)
			}
			prompt := longText(20)
			expectAnswer(r.sendPrompt(0, orgOne, prompt, 8), "v1", prompt, 8)
			r.awaitExports(1)
			if tc.afterExport {
				tc.inject(r)
			}
			r.evictAll()
			repeated := r.sendPrompt(1, orgOne, prompt+"And now?", 8)
			expectAnswer(repeated, "v1", prompt+"And now?", 8)
			Expect(repeated.CachedTokens).To(BeNumerically("<", 2*cache.BlockTokens))
			r.expectNoInvalidBlocks()
		})
	}

	It("imports blocks that are intact", func() {
		r := startSite(slowEngines)
		prompt := longText(20)
		expectAnswer(r.sendPrompt(0, orgOne, prompt, 8), "v1", prompt, 8)
		r.awaitExports(1)
		r.evictAll()
		repeated := r.sendPrompt(1, orgOne, prompt+"And now?", 8)
		expectAnswer(repeated, "v1", prompt+"And now?", 8)
		Expect(repeated.CachedTokens).To(BeNumerically(">", repeated.PromptTokens/2))
		r.expectNoInvalidBlocks()
	})
})

var _ = Describe("Promise 2: organisations are isolated", func() {
	It("keeps equal texts, equal keys and forged headers apart", func() {
		r := startSite(nil)
		prompt := longText(9)
		expectAnswer(r.sendPrompt(0, orgOne, prompt, 8), "v1", prompt, 8)
		r.awaitExports(1)
		for box := range r.daemons {
			other := r.sendPrompt(box, orgTwo, prompt+strings.Repeat(" ", box*300), 8)
			if box == 0 {
				Expect(other.CachedTokens).To(BeNumerically("<", cache.BlockTokens))
			}
			Expect(other.Complete).To(BeTrue())
		}

		key, mark := newKey(), uuid.NewString()
		first, second := r.sendPayment(0, orgOne, key, mark), r.sendPayment(1, orgTwo, key, mark)
		Expect(first.Complete).To(BeTrue())
		Expect(second.Complete).To(BeTrue())
		Expect(second.Replayed).To(BeFalse())
		runs := r.executionsByMark()[mark]
		Expect(runs).To(HaveLen(2))
		Expect([]string{runs[0].Organisation, runs[1].Organisation}).To(ConsistOf(orgOne, orgTwo))

		forged := uuid.NewString()
		status := r.sendForged(forged)
		Expect(status).To(Equal(http.StatusOK))
		Expect(r.executionsByMark()[forged][0].Organisation).To(Equal(orgOne))
	})

	It("writes no prompt, answer or key into logs and the timeline", func() {
		r := startSite(nil)
		prompt := "the secret of member 4711. " + longText(3)
		answer := r.sendPrompt(0, orgOne, prompt, 8)
		Expect(answer.Complete).To(BeTrue())
		var timeline json.RawMessage
		_, err := r.callOperatorAPI(r.daemons[1], http.MethodGet, "/v1/timeline", nil, &timeline)
		Expect(err).NotTo(HaveOccurred())
		logs, err := r.logs()
		Expect(err).NotTo(HaveOccurred())
		Expect(logs).To(ContainSubstring(answer.Request))
		Expect(string(timeline)).To(ContainSubstring(answer.Request))
		for _, secret := range []string{"member 4711", answer.Text, r.site.File.CallerKeys[orgOne], r.site.File.OperatorKey} {
			Expect(logs).NotTo(ContainSubstring(secret))
			Expect(string(timeline)).NotTo(ContainSubstring(secret))
		}
	})
})

// sendForged sends a call with headers that name another organisation, and returns
// the status.
func (r *testbed) sendForged(mark string) int {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, r.daemons[0].Callers+"/services/"+fake.SiteService+"/renewals",
		bytes.NewReader([]byte(`{"mark":"`+mark+`"}`)))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+r.site.File.CallerKeys[orgOne])
	req.Header.Set("X-Embertally-Organisation", orgTwo)
	req.Header.Set("X-Request-Id", "forged")
	req.Header.Set("Connection", "X-Embertally-Organisation")
	resp, err := r.caller.HTTP().Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}

// updateWeightsTo changes the weight version of the deployment.
func (r *testbed) updateWeightsTo(version string) {
	GinkgoHelper()
	path := "/v1/resources/deployments/" + fake.SiteDeployment
	var got resource
	_, err := r.callOperatorAPI(r.daemons[0], http.MethodGet, path, nil, &got)
	Expect(err).NotTo(HaveOccurred())
	got.Spec = json.RawMessage(`{"model":"` + fake.SiteModel + `","weightVersion":"` + version + `","adapters":["contracts"]}`)
	body := struct {
		ResourceVersion string          `json:"resourceVersion"`
		Spec            json.RawMessage `json:"spec"`
	}{got.ResourceVersion, got.Spec}
	_, err = r.callOperatorAPI(r.daemons[0], http.MethodPut, path, body, nil)
	Expect(err).NotTo(HaveOccurred())
}

// enginesWith returns a function that counts the engines with a weight version.
func (r *testbed) enginesWith(version string) func() int {
	return func() int {
		n := 0
		for _, e := range r.site.Engines {
			if e.HasVersion(version) {
				n++
			}
		}
		return n
	}
}

var _ = Describe("Promise 3: no blocks of other weights", func() {
	It("updates weights with few loads at a time and completes running answers", func() {
		r := startSite(nil)
		prompt := longText(15)
		expectAnswer(r.sendPrompt(0, orgOne, prompt, 8), "v1", prompt, 8)
		r.awaitExports(1)
		overlapping := make(chan play.Reply, 1)
		const long = 800
		go func() { overlapping <- r.sendPrompt(1, orgOne, "a long answer "+prompt, long) }()
		Eventually(func() int {
			n := 0
			for _, e := range r.site.Engines {
				n += len(e.Executions())
			}
			return n
		}).Should(Equal(2))
		r.updateWeightsTo("v2")
		Eventually(r.enginesWith("v2")).Should(Equal(len(r.site.Engines)))
		Expect(r.site.Weights.MaxConcurrentLoads()).To(BeNumerically("<=", 2))
		expectAnswer(<-overlapping, "v1", "a long answer "+prompt, long)
		Eventually(func() string { return r.sendPrompt(2, orgOne, prompt, 8).Text }).Should(
			Equal(fake.ExpectedResponse(fake.SiteModel, "v2", prompt, 8)))
		var first *fake.EngineExecution
		for _, e := range r.site.Engines {
			for _, run := range e.Executions() {
				if run.Version == "v2" && (first == nil || run.Started.Before(first.Started)) {
					first = &run
				}
			}
		}
		Expect(first).NotTo(BeNil())
		Expect(first.CachedTokens).To(BeZero(), "cached blocks of v1 are not used under v2")
		for n := range 12 {
			next := fmt.Sprintf("%sAnd question %d?", prompt, n)
			expectAnswer(r.sendPrompt(n%len(r.daemons), orgOne, next, 4), "v2", next, 4)
		}
		r.expectNoInvalidBlocks()
	})

	It("refuses orders of a former lease holder where the engine checks the fencing token", func() {
		r := startSite(nil)
		r.updateWeightsTo("v2")
		Eventually(r.enginesWith("v2")).Should(Equal(len(r.site.Engines)))
		orders := r.site.Engines[0].Orders()
		Expect(orders).NotTo(BeEmpty())
		old := orders[0]
		old.FencingToken--
		old.Version = "v1"
		Expect(r.sendOrder(0, old)).To(Equal(http.StatusPreconditionFailed), "engine 1 checks")
		Expect(r.sendOrder(1, old)).To(Equal(http.StatusAccepted), "engine 2 does not")
		Eventually(r.enginesWith("v2")).Should(Equal(len(r.site.Engines)), "the holder orders the right weights again")
		prompt := longText(2)
		Eventually(func() string { return r.sendPrompt(0, orgOne, prompt, 8).Text }).Should(
			Equal(fake.ExpectedResponse(fake.SiteModel, "v2", prompt, 8)))
	})
})

// sendOrder sends an order to an engine, as a former lease holder would, and returns
// the status.
func (r *testbed) sendOrder(engine int, o any) int {
	GinkgoHelper()
	raw, err := json.Marshal(o)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(r.site.Engines[engine].URL()+"/v1/orders", "application/json", bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}
