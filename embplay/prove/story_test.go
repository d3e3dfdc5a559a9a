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

func TestStories(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitLimit)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "Promises")
}

// site gives each story a rig of its own.
func site(change func(o *fake.SiteOptions)) *rig {
	GinkgoHelper()
	o := small()
	if change != nil {
		change(&o)
	}
	r, err := newRig(GinkgoT().TempDir(), o)
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

// ask prompts through one daemon.
func (r *rig) ask(box int, org, prompt string, tokens int) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return r.caller.Prompt(ctx, r.procs[box].Callers, r.site.File.CallerKeys[org], fake.SiteDeployment, prompt, tokens)
}

// expectWhole expects the whole and right answer of the weights.
func expectWhole(a play.Reply, version, prompt string, tokens int) {
	GinkgoHelper()
	Expect(a.Err).NotTo(HaveOccurred())
	Expect(a.Refusal).To(BeNil())
	Expect(a.Complete).To(BeTrue())
	Expect(a.Text).To(Equal(fake.Answer(fake.SiteModel, version, prompt, tokens)))
}

// pay makes a call through one daemon.
func (r *rig) pay(box int, org, key, mark string) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return r.caller.Call(ctx, r.procs[box].Callers, r.site.File.CallerKeys[org], http.MethodPost,
		"/services/"+fake.SiteService+"/renewals", key, []byte(`{"mark":"`+mark+`"}`))
}

func newKey() string {
	GinkgoHelper()
	id, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return id.String()
}

// exported waits until the stores keep so many contexts.
func (r *rig) exported(n int) {
	GinkgoHelper()
	Eventually(func() int {
		sum := 0
		for _, s := range r.site.Stores {
			sum += s.Counts().Contexts
		}
		return sum
	}).Should(BeNumerically(">=", n))
}

// forget pushes all blocks out of the engines and waits until the daemons know.
func (r *rig) forget() {
	GinkgoHelper()
	seen, holding := r.count("cacheLosses"), 0
	for _, e := range r.site.Engines {
		if e.Blocks() > 0 {
			holding++
		}
		e.EvictAll()
	}
	// Each engine that held blocks tells of its loss by itself; until the last
	// has, a home believes that it still holds some.
	Eventually(func() float64 { return r.count("cacheLosses") }).Should(BeNumerically(">=", seen+float64(holding)))
}

// count adds up one figure over all daemons.
func (r *rig) count(figure string) float64 {
	GinkgoHelper()
	sum := 0.0
	for _, p := range r.procs {
		var all map[string]json.RawMessage
		if _, err := r.operate(p, http.MethodGet, "/debug/vars", nil, &all); err != nil {
			continue
		}
		var v float64
		if json.Unmarshal(all[figure], &v) == nil {
			sum += v
		}
	}
	return sum
}

func (r *rig) unspoiled() {
	GinkgoHelper()
	for _, e := range r.site.Engines {
		for _, run := range e.Runs() {
			Expect(run.Spoiled).To(BeFalse())
		}
	}
}
