package prove

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

func TestScenarios(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "Promises")
}

// startSite starts a testbed that is closed after the scenario.
func startSite(change func(o *fake.SiteOptions)) *testbed {
	GinkgoHelper()
	o := smallSite()
	if change != nil {
		change(&o)
	}
	r, err := newTestbed(GinkgoT().TempDir(), o)
	if r != nil {
		DeferCleanup(r.close)
	}
	Expect(err).NotTo(HaveOccurred())
	return r
}

const (
	orgOne = "org-01"
	orgTwo = "org-02"
)

// sendPrompt sends a prompt through one daemon.
func (r *testbed) sendPrompt(box int, org, prompt string, tokens int) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return r.caller.Prompt(ctx, r.daemons[box].Callers, r.site.File.CallerKeys[org], fake.SiteDeployment, prompt, tokens)
}

// expectAnswer expects the complete and correct answer of a weight version.
func expectAnswer(a play.Reply, version, prompt string, tokens int) {
	GinkgoHelper()
	Expect(a.Err).NotTo(HaveOccurred())
	Expect(a.Refusal).To(BeNil())
	Expect(a.Complete).To(BeTrue())
	Expect(a.Text).To(Equal(fake.ExpectedResponse(fake.SiteModel, version, prompt, tokens)))
}

// sendPayment sends a non-idempotent call through one daemon, with an idempotency
// key unless it is empty.
func (r *testbed) sendPayment(box int, org, key, mark string) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return r.caller.Call(ctx, r.daemons[box].Callers, r.site.File.CallerKeys[org], http.MethodPost,
		"/services/"+fake.SiteService+"/renewals", key, []byte(`{"mark":"`+mark+`"}`))
}

// newKey returns a new idempotency key.
func newKey() string {
	GinkgoHelper()
	id, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return id.String()
}

// awaitExports waits until the KV-cache stores have n contexts.
func (r *testbed) awaitExports(n int) {
	GinkgoHelper()
	Eventually(func() int {
		sum := 0
		for _, s := range r.site.Stores {
			sum += s.Counts().Contexts
		}
		return sum
	}).Should(BeNumerically(">=", n))
}

// evictAll evicts all blocks of all engines and waits until the daemons have recorded
// the loss.
func (r *testbed) evictAll() {
	GinkgoHelper()
	before, loaded := r.sumMetric("cacheLosses"), 0
	for _, e := range r.site.Engines {
		if e.CachedBlocks() > 0 {
			loaded++
		}
		e.EvictAll()
	}
	// Each engine that had blocks reports its loss separately. Until the last one
	// has, a context owner still expects blocks there.
	Eventually(func() float64 { return r.sumMetric("cacheLosses") }).Should(BeNumerically(">=", before+float64(loaded)))
}

// sumMetric returns the sum of one metric over all daemons that respond.
func (r *testbed) sumMetric(metric string) float64 {
	GinkgoHelper()
	sum := 0.0
	for _, p := range r.daemons {
		var all map[string]json.RawMessage
		if _, err := r.callOperatorAPI(p, http.MethodGet, "/debug/vars", nil, &all); err != nil {
			continue
		}
		var v float64
		if json.Unmarshal(all[metric], &v) == nil {
			sum += v
		}
	}
	return sum
}

// expectNoInvalidBlocks expects that no engine used a block that was freed, partly
// written or of another prompt.
func (r *testbed) expectNoInvalidBlocks() {
	GinkgoHelper()
	for _, e := range r.site.Engines {
		for _, run := range e.Executions() {
			Expect(run.Corrupted).To(BeFalse())
		}
	}
}
