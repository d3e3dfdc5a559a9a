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

// slowEngines makes an import the right choice also on a busy machine, where
// the measured rate of a link is low.
func slowEngines(o *fake.SiteOptions) { o.Engine.PrefillTokensPerSecond = 1500 }

var _ = Describe("Promise 1: freed and partly written blocks are never read into an answer", func() {
	tests := []struct {
		name string
		harm func(r *rig)
		// whole tells that the harm comes after the export.
		after bool
	}{
		{"freed and written again", func(r *rig) {
			for _, s := range r.site.Stores {
				s.FreeAll()
			}
		}, true},
		{"partly written", func(r *rig) {
			for _, s := range r.site.Stores {
				s.Set(fake.HalfWrite, 10)
			}
		}, false},
		{"corrupt when read", func(r *rig) {
			for _, s := range r.site.Stores {
				s.Set(fake.Corrupt, 1000)
			}
		}, true},
		{"lost with the store", func(r *rig) {
			for _, s := range r.site.Stores {
				s.Reset()
			}
		}, true},
	}
	for _, tc := range tests {
		It("computes blocks again that were "+tc.name, func() {
			r := site(slowEngines)
			if !tc.after {
				tc.harm(r)
			}
			prompt := longText(20)
			expectWhole(r.ask(0, orgOne, prompt, 8), "v1", prompt, 8)
			r.exported(1)
			if tc.after {
				tc.harm(r)
			}
			r.forget()
			back := r.ask(1, orgOne, prompt+"And now?", 8)
			expectWhole(back, "v1", prompt+"And now?", 8)
			Expect(back.CachedTokens).To(BeNumerically("<", 2*cache.BlockTokens))
			r.unspoiled()
		})
	}

	It("imports what is as it was written", func() {
		r := site(slowEngines)
		prompt := longText(20)
		expectWhole(r.ask(0, orgOne, prompt, 8), "v1", prompt, 8)
		r.exported(1)
		r.forget()
		back := r.ask(1, orgOne, prompt+"And now?", 8)
		expectWhole(back, "v1", prompt+"And now?", 8)
		Expect(back.CachedTokens).To(BeNumerically(">", back.PromptTokens/2))
		r.unspoiled()
	})
})

var _ = Describe("Promise 2: organisations never meet", func() {
	It("keeps equal texts, equal keys and forged headers apart", func() {
		r := site(nil)
		prompt := longText(9)
		expectWhole(r.ask(0, orgOne, prompt, 8), "v1", prompt, 8)
		r.exported(1)
		for box := range r.procs {
			other := r.ask(box, orgTwo, prompt+strings.Repeat(" ", box*300), 8)
			if box == 0 {
				Expect(other.CachedTokens).To(BeNumerically("<", cache.BlockTokens))
			}
			Expect(other.Complete).To(BeTrue())
		}

		key, mark := newKey(), uuid.NewString()
		first, second := r.pay(0, orgOne, key, mark), r.pay(1, orgTwo, key, mark)
		Expect(first.Complete).To(BeTrue())
		Expect(second.Complete).To(BeTrue())
		Expect(second.Replayed).To(BeFalse())
		runs := r.runsByMark()[mark]
		Expect(runs).To(HaveLen(2))
		Expect([]string{runs[0].Organisation, runs[1].Organisation}).To(ConsistOf(orgOne, orgTwo))

		forged := uuid.NewString()
		status := r.forge(forged)
		Expect(status).To(Equal(http.StatusOK))
		Expect(r.runsByMark()[forged][0].Organisation).To(Equal(orgOne))
	})

	It("writes no prompt, answer or key into logs and the time line", func() {
		r := site(nil)
		prompt := "the secret of member 4711. " + longText(3)
		answer := r.ask(0, orgOne, prompt, 8)
		Expect(answer.Complete).To(BeTrue())
		var line json.RawMessage
		_, err := r.operate(r.procs[1], http.MethodGet, "/v1/timeline", nil, &line)
		Expect(err).NotTo(HaveOccurred())
		logs, err := r.logs()
		Expect(err).NotTo(HaveOccurred())
		Expect(logs).To(ContainSubstring(answer.Request))
		Expect(string(line)).To(ContainSubstring(answer.Request))
		for _, secret := range []string{"member 4711", answer.Text, r.site.File.CallerKeys[orgOne], r.site.File.OperatorKey} {
			Expect(logs).NotTo(ContainSubstring(secret))
			Expect(string(line)).NotTo(ContainSubstring(secret))
		}
	})
})

// forge calls with headers that say another organisation.
func (r *rig) forge(mark string) int {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, r.procs[0].Callers+"/services/"+fake.SiteService+"/renewals",
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

// swapTo gives the deployment other weights and waits until all engines hold
// them.
func (r *rig) swapTo(version string) {
	GinkgoHelper()
	path := "/v1/resources/deployments/" + fake.SiteDeployment
	var got resource
	_, err := r.operate(r.procs[0], http.MethodGet, path, nil, &got)
	Expect(err).NotTo(HaveOccurred())
	got.Spec = json.RawMessage(`{"model":"` + fake.SiteModel + `","weightVersion":"` + version + `","adapters":["contracts"]}`)
	body := struct {
		ResourceVersion string          `json:"resourceVersion"`
		Spec            json.RawMessage `json:"spec"`
	}{got.ResourceVersion, got.Spec}
	_, err = r.operate(r.procs[0], http.MethodPut, path, body, nil)
	Expect(err).NotTo(HaveOccurred())
}

func (r *rig) holding(version string) func() int {
	return func() int {
		n := 0
		for _, e := range r.site.Engines {
			if e.Holds(version) {
				n++
			}
		}
		return n
	}
}

var _ = Describe("Promise 3: no blocks of other weights", func() {
	It("rolls a swap with few loads at a time and keeps running answers whole", func() {
		r := site(nil)
		prompt := longText(15)
		expectWhole(r.ask(0, orgOne, prompt, 8), "v1", prompt, 8)
		r.exported(1)
		spanning := make(chan play.Reply, 1)
		const long = 800
		go func() { spanning <- r.ask(1, orgOne, "a long answer "+prompt, long) }()
		Eventually(func() int {
			n := 0
			for _, e := range r.site.Engines {
				n += len(e.Runs())
			}
			return n
		}).Should(Equal(2))
		r.swapTo("v2")
		Eventually(r.holding("v2")).Should(Equal(len(r.site.Engines)))
		Expect(r.site.Weights.Most()).To(BeNumerically("<=", 2))
		expectWhole(<-spanning, "v1", "a long answer "+prompt, long)
		Eventually(func() string { return r.ask(2, orgOne, prompt, 8).Text }).Should(
			Equal(fake.Answer(fake.SiteModel, "v2", prompt, 8)))
		var first *fake.EngineRun
		for _, e := range r.site.Engines {
			for _, run := range e.Runs() {
				if run.Version == "v2" && (first == nil || run.Began.Before(first.Began)) {
					first = &run
				}
			}
		}
		Expect(first).NotTo(BeNil())
		Expect(first.Cached).To(BeZero(), "kept blocks of v1 are not used under v2")
		for n := range 12 {
			again := fmt.Sprintf("%sAnd question %d?", prompt, n)
			expectWhole(r.ask(n%len(r.procs), orgOne, again, 4), "v2", again, 4)
		}
		r.unspoiled()
	})

	It("refuses orders of a former holder where the engine checks the fence", func() {
		r := site(nil)
		r.swapTo("v2")
		Eventually(r.holding("v2")).Should(Equal(len(r.site.Engines)))
		orders := r.site.Engines[0].Orders()
		Expect(orders).NotTo(BeEmpty())
		old := orders[0]
		old.Fence--
		old.Version = "v1"
		Expect(r.order(0, old)).To(Equal(http.StatusPreconditionFailed), "engine 1 checks")
		Expect(r.order(1, old)).To(Equal(http.StatusAccepted), "engine 2 does not")
		Eventually(r.holding("v2")).Should(Equal(len(r.site.Engines)), "the holder orders the right weights again")
		prompt := longText(2)
		Eventually(func() string { return r.ask(0, orgOne, prompt, 8).Text }).Should(
			Equal(fake.Answer(fake.SiteModel, "v2", prompt, 8)))
	})
})

// order sends an order to an engine as a former holder would.
func (r *rig) order(engine int, o any) int {
	GinkgoHelper()
	raw, err := json.Marshal(o)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(r.site.Engines[engine].URL()+"/v1/orders", "application/json", bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}
