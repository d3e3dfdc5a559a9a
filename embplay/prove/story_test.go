package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/plat"
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
	Expect(a.Refused).To(BeNil())
	Expect(a.Whole).To(BeTrue())
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
	seen := r.count("cacheLosses")
	for _, e := range r.site.Engines {
		e.EvictAll()
	}
	Eventually(func() float64 { return r.count("cacheLosses") }).Should(BeNumerically(">", seen))
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
			r := site(nil)
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
		r := site(nil)
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
			Expect(other.Whole).To(BeTrue())
		}

		key, mark := newKey(), uuid.NewString()
		first, second := r.pay(0, orgOne, key, mark), r.pay(1, orgTwo, key, mark)
		Expect(first.Whole).To(BeTrue())
		Expect(second.Whole).To(BeTrue())
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
		Expect(answer.Whole).To(BeTrue())
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

var _ = Describe("Promise 4: every caller gets the whole answer to its own request", func() {
	tests := []struct {
		name string
		harm func(e *fake.Engine)
	}{
		{"a cut stream", func(e *fake.Engine) { e.Set(fake.CutStream, 2) }},
		{"a cut stream that the engine forgot", func(e *fake.Engine) { e.Set(fake.ForgetStream, 1); e.Set(fake.CutStream, 1) }},
		{"a truncated stream", func(e *fake.Engine) { e.Set(fake.Truncate, 1) }},
		{"another request's answer", func(e *fake.Engine) { e.Set(fake.Cross, 1) }},
		{"tokens sent twice", func(e *fake.Engine) { e.Set(fake.Repeat, 1) }},
	}
	for _, tc := range tests {
		It("through "+tc.name, func() {
			r := site(nil)
			// Half of the engines fail: a request is given to four at most.
			for _, e := range r.site.Engines[:2] {
				tc.harm(e)
			}
			for n := range 6 {
				prompt := fmt.Sprintf("%s, number %d", longText(2), n)
				expectWhole(r.ask(n%len(r.procs), orgOne, prompt, 30), "v1", prompt, 30)
			}
		})
	}

	It("goes on elsewhere when an engine dies in the middle", func() {
		r := site(nil)
		prompt := longText(5)
		got := make(chan play.Reply, 1)
		go func() { got <- r.ask(0, orgOne, prompt, 300) }()
		var busy *fake.Engine
		Eventually(func() *fake.Engine {
			for _, e := range r.site.Engines {
				if len(e.Runs()) > 0 {
					busy = e
				}
			}
			return busy
		}).ShouldNot(BeNil())
		busy.Close()
		expectWhole(<-got, "v1", prompt, 300)
	})

	It("ends with an explicit error when nobody can go on", func() {
		r := site(func(o *fake.SiteOptions) { o.Engines = 1 })
		got := make(chan play.Reply, 1)
		go func() { got <- r.ask(0, orgOne, longText(5), 400) }()
		Eventually(func() int { return len(r.site.Engines[0].Runs()) }).Should(Equal(1))
		r.site.Engines[0].Close()
		a := <-got
		Expect(a.Whole).To(BeFalse())
		Expect(a.Refused).NotTo(BeNil())
	})
})

var _ = Describe("Promise 5: not run is true", func() {
	It("in every refusal before a target", func() {
		r := site(nil)
		mark := uuid.NewString()
		body := `{"mark":"` + mark + `"}`
		pay := "/services/" + fake.SiteService + "/renewals"
		good := "Bearer " + r.site.File.CallerKeys[orgOne]
		old := "018f0000-0000-7000-8000-000000000000"
		prompt := func(fields string) string { return `{"model":"` + fake.SiteDeployment + `",` + fields + `}` }
		tests := []struct {
			name, key, idempotency, path, body, code, ran string
		}{
			{"no key", "", "", pay, body, "badKey", "notRun"},
			{"wrong key", "Bearer nobody", "", pay, body, "badKey", "notRun"},
			{"no such path", good, "", "/v2/renewals", body, "notFound", "notRun"},
			{"no such service", good, "", "/services/parking/x", body, "notFound", "notRun"},
			{"path with dots", good, "", "/services/" + fake.SiteService + "/a/%2e%2e/b", body, "badRequest", "notRun"},
			{"body too large", good, "", pay, strings.Repeat("x", 9<<20), "bodyTooLarge", "notRun"},
			{"key of the wrong form", good, "payment-1", pay, body, "badIdempotencyKey", "notRun"},
			{"key that is too old", good, old, pay, body, "keyExpired", "unknown"},
			{"no such model", good, "", "/v1/completions", `{"model":"other","prompt":"x"}`, "notFound", "notRun"},
			{"no such adapter", good, "", "/v1/completions", `{"model":"reader:poems","prompt":"x"}`, "notFound", "notRun"},
			{"unknown field", good, "", "/v1/completions", prompt(`"prompt":"x","logprobs":3`), "badRequest", "notRun"},
			{"several answers", good, "", "/v1/completions", prompt(`"prompt":"x","n":2`), "badRequest", "notRun"},
			{"no JSON", good, "", "/v1/completions", "{", "badRequest", "notRun"},
			{"no messages", good, "", "/v1/chat/completions", prompt(`"messages":[]`), "badRequest", "notRun"},
			{"unknown role", good, "", "/v1/chat/completions", prompt(`"messages":[{"role":"boss","content":"x"}]`), "badRequest", "notRun"},
		}
		for _, tc := range tests {
			refused := r.refused(tc.key, tc.idempotency, tc.path, tc.body)
			Expect(refused.Code).To(Equal(tc.code), tc.name)
			Expect(refused.Ran).To(Equal(tc.ran), tc.name)
		}
		Expect(r.runsByMark()[mark]).To(BeEmpty())
		for _, e := range r.site.Engines {
			Expect(e.Runs()).To(BeEmpty())
		}
	})

	It("when no target can be used or reached", func() {
		r := site(nil)
		for _, s := range r.site.Services {
			s.Close()
		}
		key, mark := newKey(), uuid.NewString()
		got := r.pay(0, orgOne, key, mark)
		Expect(got.Refused).NotTo(BeNil())
		Expect(got.Refused.Code).To(Equal("noTarget"))
		Expect(got.Refused.Ran).To(Equal("notRun"))
		Expect(got.Refused.RetryAfterMillis).To(BeNumerically(">", 0))
		for _, e := range r.site.File.Engines {
			r.listed(e.Name, plat.BoxLeaving)
		}
		Eventually(func() string {
			a := r.ask(0, orgOne, "anyone?", 2)
			if a.Refused == nil {
				return ""
			}
			return a.Refused.Code + " " + a.Refused.Ran
		}).Should(Equal("noTarget notRun"))
	})
})

// refused sends a request that is to be refused and returns its refusal.
func (r *rig) refused(key, idempotency, path, body string) play.Refused {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, r.procs[0].Callers+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	resp, err := r.caller.HTTP().Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var got struct {
		Error play.Refused `json:"error"`
	}
	Expect(json.NewDecoder(resp.Body).Decode(&got)).To(Succeed())
	return got.Error
}

var _ = Describe("Promise 6: what may not be repeated runs at most once", func() {
	It("with a key, through any daemon, whatever was cut", func() {
		r := site(nil)
		By("answering a repeated call from its record")
		key, mark := newKey(), uuid.NewString()
		first := r.pay(0, orgOne, key, mark)
		Expect(first.Whole).To(BeTrue())
		Eventually(func() bool { return r.pay(1, orgOne, key, mark).Replayed }).Should(BeTrue())
		Expect(r.runsByMark()[mark]).To(HaveLen(1))

		By("refusing the key for another call")
		other := r.pay(2, orgOne, key, uuid.NewString())
		Expect(other.Refused.Code).To(Equal("keyReused"))
		Expect(other.Refused.Ran).To(Equal("notRun"))

		By("saying unknown where the answer was cut, and never running again")
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 1)
		}
		key, mark = newKey(), uuid.NewString()
		cutOff := r.pay(0, orgOne, key, mark)
		Expect(cutOff.Refused.Ran).To(Equal("unknown"))
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 0)
		}
		for box := range r.procs {
			Expect(r.pay(box, orgOne, key, mark).Refused.Ran).To(Equal("unknown"))
		}
		Expect(r.runsByMark()[mark]).To(HaveLen(1))

		By("settling claim writes whose answers are lost")
		r.site.KeyValue.Set(fake.LoseAnswers, 3)
		key, mark = newKey(), uuid.NewString()
		Eventually(func() bool { return r.pay(1, orgOne, key, mark).Whole }).Should(BeTrue())
		Expect(r.runsByMark()[mark]).To(HaveLen(1))

		By("running nothing while the service is down")
		r.site.KeyValue.Set(fake.Down, 1)
		key, mark = newKey(), uuid.NewString()
		down := r.pay(0, orgOne, key, mark)
		Expect(down.Refused.Code).To(Equal("claimUnavailable"))
		Expect(r.runsByMark()[mark]).To(BeEmpty())
		r.site.KeyValue.Set(fake.Down, 0)
		Eventually(func() bool { return r.pay(1, orgOne, key, mark).Whole }).Should(BeTrue())
		Expect(r.runsByMark()[mark]).To(HaveLen(1))
	})

	It("across the freeze and death of the daemon that held it", func() {
		r := site(nil)
		const slow = 2500
		for _, s := range r.site.Services {
			s.Set(fake.Slow, slow)
		}
		tests := []struct {
			name string
			harm func(p *proc)
		}{
			{"freeze", func(p *proc) { p.freeze() }},
			{"kill", func(p *proc) { p.kill() }},
		}
		for _, tc := range tests {
			key, mark := newKey(), uuid.NewString()
			var wg sync.WaitGroup
			granted := r.events(codeClaimGranted)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				r.caller.Call(ctx, r.procs[0].Callers, r.site.File.CallerKeys[orgOne], http.MethodPost,
					"/services/"+fake.SiteService+"/renewals", key, []byte(`{"mark":"`+mark+`"}`))
			})
			Eventually(func() int { return r.events(codeClaimGranted) }).Should(BeNumerically(">", granted), tc.name)
			Expect(r.claimState(1, key, mark)).To(Equal("inProgress"), tc.name)
			tc.harm(r.procs[0])
			for range 6 {
				for box := 1; box < len(r.procs); box++ {
					a := r.pay(box, orgOne, key, mark)
					if a.Refused != nil {
						Expect(a.Refused.Ran).NotTo(Equal("notRun"), tc.name)
					}
				}
			}
			r.procs[0].wake()
			wg.Wait()
			Expect(len(r.runsByMark()[mark])).To(BeNumerically("<=", 1), tc.name)
		}
	})

	It("without a key is sent once, and said unknown when cut", func() {
		r := site(nil)
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 1)
		}
		mark := uuid.NewString()
		got := r.pay(0, orgOne, "", mark)
		Expect(got.Refused.Ran).To(Equal("unknown"))
		Expect(r.runsByMark()[mark]).To(HaveLen(1))
		mark = uuid.NewString()
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 0)
			s.Set(fake.CutBefore, 1)
		}
		got = r.pay(0, orgOne, "", mark)
		Expect(got.Refused.Ran).To(Equal("unknown"), "the daemon cannot know that the target did not run it")
		Expect(r.runsByMark()[mark]).To(BeEmpty())
	})
})

const codeClaimGranted = 6001

// events counts the events of a code in the time line.
func (r *rig) events(code int) int {
	GinkgoHelper()
	var got struct {
		Events []struct{} `json:"events"`
	}
	_, err := r.operate(r.procs[1], http.MethodGet, fmt.Sprintf("/v1/timeline?code=%d", code), nil, &got)
	Expect(err).NotTo(HaveOccurred())
	return len(got.Events)
}

// claimState returns the code that a repeated call gets, while it runs.
func (r *rig) claimState(box int, key, mark string) string {
	a := r.pay(box, orgOne, key, mark)
	if a.Refused == nil {
		return "answered"
	}
	return a.Refused.Code
}

var _ = Describe("Promise 7: a leaving target gets no new work", func() {
	It("by operator's order while the service is down, and by the box list", func() {
		r := site(nil)
		r.site.KeyValue.Set(fake.Down, 1)
		body := struct {
			Leaving bool `json:"leaving"`
		}{true}
		drained, left := r.site.File.Services[0].Name, r.site.File.Engines[0].Name
		_, err := r.operate(r.procs[0], http.MethodPost, "/v1/drains/"+drained, body, nil)
		Expect(err).NotTo(HaveOccurred())
		r.listed(left, plat.BoxLeaving)
		for _, p := range r.procs {
			Eventually(func() bool { return r.usable(p, drained) || r.usable(p, left) }).Should(BeFalse(), p.Name)
		}
		services, engines := len(r.site.Services[0].Runs()), len(r.site.Engines[0].Runs())
		for n := range 24 {
			Expect(r.pay(n%len(r.procs), orgOne, "", uuid.NewString()).Whole).To(BeTrue())
			prompt := fmt.Sprintf("quick question %d", n)
			expectWhole(r.ask(n%len(r.procs), orgOne, prompt, 2), "v1", prompt, 2)
		}
		Expect(r.site.Services[0].Runs()).To(HaveLen(services))
		Expect(r.site.Engines[0].Runs()).To(HaveLen(engines))

		By("getting work again once both are taken back")
		body.Leaving = false
		_, err = r.operate(r.procs[1], http.MethodPost, "/v1/drains/"+drained, body, nil)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range r.procs {
			Eventually(func() bool { return r.usable(p, drained) }).Should(BeTrue(), p.Name)
		}
	})
})

// usable reports whether a daemon gives a target new work.
func (r *rig) usable(p *proc, target string) bool {
	var st struct {
		Targets []struct {
			Name   string `json:"name"`
			Usable bool   `json:"usable"`
		} `json:"targets"`
	}
	if _, err := r.operate(p, http.MethodGet, "/v1/status", nil, &st); err != nil {
		return true
	}
	for _, t := range st.Targets {
		if t.Name == target {
			return t.Usable
		}
	}
	return false
}

var _ = Describe("Promise 8: a planned stop cuts no request", func() {
	It("restarts all daemons one after the other under load without a failed request", func() {
		r := site(nil)
		l := r.load(1)
		for i, p := range r.procs {
			p.signal(syscall.SIGTERM)
			Eventually(func() string { return r.notReady(p) }).ShouldNot(BeEmpty())
			l.leaveOut(i, true)
			Expect(p.end()).To(Succeed(), p.Name)
			Expect(p.start()).To(Succeed())
			Expect(r.ready(p)).To(Succeed())
			l.leaveOut(i, false)
		}
		l.end()
		Expect(len(l.asks)).To(BeNumerically(">", 20))
		for _, a := range l.asks {
			Expect(a.reply.Err).NotTo(HaveOccurred())
			Expect(a.reply.Refused).To(BeNil())
			expectWhole(a.reply, "v1", a.prompt, a.tokens)
		}
		runs := r.runsByMark()
		for _, c := range l.calls {
			Expect(runs[c.mark]).To(HaveLen(1), "%+v", c.tries)
		}
	})
})

// notReady returns why a daemon takes no requests, as its own health page says.
func (r *rig) notReady(p *proc) string {
	resp, err := r.caller.HTTP().Get(p.Operators + "/readyz")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return ""
	}
	return resp.Status
}

var _ = Describe("Promise 9: an accepted configuration is in force everywhere and never reverts", func() {
	sequence := func(r *rig, p *proc) func() uint64 {
		return func() uint64 {
			var st struct {
				Sequence uint64 `json:"sequence"`
				NotReady string `json:"notReady"`
			}
			if _, err := r.operate(p, http.MethodGet, "/v1/status", nil, &st); err != nil || st.NotReady != "" {
				return 0
			}
			return st.Sequence
		}
	}
	rewrite := func(r *rig, box int) (status int, version uint64) {
		GinkgoHelper()
		var got, done resource
		path := "/v1/resources/policies/" + orgOne
		_, err := r.operate(r.procs[box], http.MethodGet, path, nil, &got)
		Expect(err).NotTo(HaveOccurred())
		body := struct {
			ResourceVersion string          `json:"resourceVersion"`
			Spec            json.RawMessage `json:"spec"`
		}{got.ResourceVersion, got.Spec}
		status, err = r.operate(r.procs[box], http.MethodPut, path, body, &done)
		if err != nil {
			return status, 0
		}
		_, err = fmt.Sscan(done.ResourceVersion, &version)
		Expect(err).NotTo(HaveOccurred())
		return status, version
	}

	It("through lost answers, a stalled watch and compaction", func() {
		r := site(nil)
		for _, harm := range []func(){
			func() { r.site.KeyValue.Set(fake.LoseAnswers, 1) },
			func() { r.site.KeyValue.Set(fake.StallWatch, 1) },
			func() { r.site.KeyValue.Compact() },
			func() { r.site.KeyValue.Set(fake.StallWatch, 0) },
		} {
			harm()
			status, version := rewrite(r, 1)
			Expect(status).To(Equal(http.StatusOK))
			for _, p := range r.procs {
				Expect(sequence(r, p)()).To(BeNumerically(">=", version), p.Name)
			}
		}
	})

	It("is taken from peers by a daemon that starts while the service is down", func() {
		r := site(nil)
		_, version := rewrite(r, 0)
		r.site.KeyValue.Set(fake.Down, 1)
		r.procs[3].kill()
		Expect(r.procs[3].start()).To(Succeed())
		Eventually(sequence(r, r.procs[3])).Should(BeNumerically(">=", version))
		prompt := "are you there?"
		Eventually(func() string { return r.ask(3, orgOne, prompt, 4).Text }).Should(Equal(fake.Answer(fake.SiteModel, "v1", prompt, 4)))
	})

	It("is pending, by name, while a live daemon is cut off, and accepted once it is back", func() {
		r := site(nil)
		lost := r.procs[2]
		lost.kv.set(cut)
		for _, p := range r.procs {
			if p != lost {
				lost.peers[p.Name].set(cut)
				p.peers[lost.Name].set(cut)
			}
		}
		path := "/v1/resources/policies/" + orgOne
		status, version := rewrite(r, 0)
		Expect(status).To(Equal(http.StatusAccepted))
		var got struct {
			Status struct {
				State    string   `json:"state"`
				NotYetAt []string `json:"notYetAt"`
			} `json:"status"`
		}
		_, err := r.operate(r.procs[0], http.MethodGet, path, nil, &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Status.State).To(Equal("pending"))
		Expect(got.Status.NotYetAt).To(Equal([]string{lost.Name}))
		lost.kv.set(pass)
		for _, p := range r.procs {
			if p != lost {
				lost.peers[p.Name].set(pass)
				p.peers[lost.Name].set(pass)
			}
		}
		Eventually(sequence(r, lost)).Should(BeNumerically(">=", version))
		Eventually(func() string {
			_, err := r.operate(r.procs[0], http.MethodGet, path, nil, &got)
			if err != nil {
				return err.Error()
			}
			return got.Status.State
		}).Should(Equal("accepted"))
	})

	It("is not served under by a daemon that slept until it knows again", func() {
		r := site(nil)
		sleeper := r.procs[1]
		sleeper.freeze()
		status, version := rewrite(r, 0)
		Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusAccepted)))
		Eventually(func() bool { return r.alive(0, sleeper.Name) }).Should(BeFalse())
		sleeper.wake()
		Eventually(sequence(r, sleeper)).Should(BeNumerically(">=", version))
	})
})

// alive reports whether a daemon hears another.
func (r *rig) alive(box int, name string) bool {
	var st struct {
		Daemons []struct {
			Name  string `json:"name"`
			Alive bool   `json:"alive"`
		} `json:"daemons"`
	}
	if _, err := r.operate(r.procs[box], http.MethodGet, "/v1/status", nil, &st); err != nil {
		return true
	}
	for _, d := range st.Daemons {
		if d.Name == name {
			return d.Alive
		}
	}
	return false
}

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
				case a.Whole:
					whole[org]++
				case a.Refused != nil:
					refused[org]++
					Expect(a.Refused.Ran).To(Equal("notRun"))
					Expect(a.Refused.RetryAfterMillis).To(BeNumerically(">", 0))
				default:
					Expect(a.Err).NotTo(HaveOccurred())
				}
			})
		}
		wg.Wait()
		Expect(refused[orgOne]).To(BeNumerically(">", 0), "the load is too much")
		Expect(whole[orgTwo]).To(BeNumerically(">", whole[orgOne]), "urgent prompts go first: %v, refused %v", whole, refused)
		retried := r.count("requestsRetried")
		Eventually(func() bool { return r.ask(0, orgOne, "quick", 2).Whole }).Should(BeTrue())
		Expect(retried).To(BeNumerically("<=", perSecond*secs/5), "no storm of retries")
	})
})
