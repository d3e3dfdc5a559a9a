package prove

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/core/plat"
	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

var _ = Describe("Promise 4: every caller gets the complete answer to its own request", func() {
	tests := []struct {
		name   string
		inject func(e *fake.Engine)
	}{
		{"a cut stream", func(e *fake.Engine) { e.Set(fake.CutStream, 2) }},
		{"a cut stream that the engine forgot", func(e *fake.Engine) { e.Set(fake.ForgetStream, 1); e.Set(fake.CutStream, 1) }},
		{"a truncated stream", func(e *fake.Engine) { e.Set(fake.Truncate, 1) }},
		{"another request's answer", func(e *fake.Engine) { e.Set(fake.WrongRequestID, 1) }},
		{"tokens sent twice", func(e *fake.Engine) { e.Set(fake.Repeat, 1) }},
	}
	for _, tc := range tests {
		It("through "+tc.name, func() {
			r := startSite(nil)
			// Half of the engines fail: a request is attempted at four at most.
			for _, e := range r.site.Engines[:2] {
				tc.inject(e)
			}
			for n := range 6 {
				prompt := fmt.Sprintf("%s, number %d", longText(2), n)
				expectAnswer(r.sendPrompt(n%len(r.daemons), orgOne, prompt, 30), "v1", prompt, 30)
			}
		})
	}

	It("continues at another engine after a crash in mid-answer, past the deadline for the first token", func() {
		r := startSite(func(o *fake.SiteOptions) { o.Deadline = conf.Seconds(1) })
		prompt := longText(5)
		const long, pastDeadline = 600, 50000
		got := make(chan play.Reply, 1)
		go func() { got <- r.sendPrompt(0, orgOne, prompt, long) }()
		var busy *fake.Engine
		Eventually(func() *fake.Engine {
			for _, e := range r.site.Engines {
				if len(e.Executions()) > 0 {
					busy = e
				}
			}
			return busy
		}).ShouldNot(BeNil())
		Eventually(func() float64 { return r.sumMetric("relayedBytes") }).Should(BeNumerically(">", pastDeadline))
		busy.Close()
		expectAnswer(<-got, "v1", prompt, long)
	})

	It("or one that breaks off, after the caller has closed the sending half of its connection", func() {
		r := startSite(nil)
		const tokens = 200
		var cut []string
		executions := func() (n int) {
			for _, e := range r.site.Engines {
				n += len(e.Executions())
			}
			return n
		}
		for _, tc := range []struct {
			name   string
			stream bool
			// begun is set if the caller closes when an engine has begun, and not with its request.
			begun bool
		}{
			{"stream, with the request", true, false},
			{"stream, after its beginning", true, true},
			{"whole answer, with the request", false, false},
			{"whole answer, while it is made", false, true},
		} {
			before := executions()
			status, body, err := r.sendAndCloseWrite(tc.stream, tokens, func() {
				if tc.begun {
					Eventually(executions).Should(BeNumerically(">", before))
				}
			})
			last := `"finish_reason":"`
			if tc.stream {
				last = "data: [DONE]\n\n"
			}
			if err == nil && status == http.StatusOK && !strings.Contains(body, last) {
				cut = append(cut, tc.name)
			}
		}
		Expect(cut).To(BeEmpty(), "cut, and complete as far as the caller can tell")
	})

	It("ends with an explicit error when no engine can continue", func() {
		r := startSite(func(o *fake.SiteOptions) { o.Engines = 1 })
		got := make(chan play.Reply, 1)
		go func() { got <- r.sendPrompt(0, orgOne, longText(5), 400) }()
		Eventually(func() int { return len(r.site.Engines[0].Executions()) }).Should(Equal(1))
		r.site.Engines[0].Close()
		a := <-got
		Expect(a.Complete).To(BeFalse())
		Expect(a.Refusal).NotTo(BeNil())
	})
})

var _ = Describe("Promise 5: a request reported as not executed was not executed", func() {
	It("in every refusal before an attempt", func() {
		r := startSite(nil)
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
			refused := r.refusalOf(tc.key, tc.idempotency, tc.path, tc.body)
			Expect(refused.Code).To(Equal(tc.code), tc.name)
			Expect(refused.Ran).To(Equal(tc.ran), tc.name)
		}
		Expect(r.executionsByMark()[mark]).To(BeEmpty())
		for _, e := range r.site.Engines {
			Expect(e.Executions()).To(BeEmpty())
		}
	})

	It("when no target is available or reachable", func() {
		r := startSite(nil)
		for _, s := range r.site.Services {
			s.Close()
		}
		key, mark := newKey(), uuid.NewString()
		got := r.sendPayment(0, orgOne, key, mark)
		Expect(got.Refusal).NotTo(BeNil())
		Expect(got.Refusal.Code).To(Equal("noTarget"))
		Expect(got.Refusal.Ran).To(Equal("notRun"))
		Expect(got.Refusal.RetryAfterMillis).To(BeNumerically(">", 0))
		for _, e := range r.site.File.Engines {
			r.setBoxState(e.Name, plat.BoxLeaving)
		}
		Eventually(func() string {
			a := r.sendPrompt(0, orgOne, "anyone?", 2)
			if a.Refusal == nil {
				return ""
			}
			return a.Refusal.Code + " " + a.Refusal.Ran
		}).Should(Equal("noTarget notRun"))
	})
})

// sendAndCloseWrite sends a prompt on a connection of its own, whose sending half it closes when wait returns, and returns
// the answer.
func (r *testbed) sendAndCloseWrite(stream bool, tokens int, wait func()) (status int, body string, err error) {
	GinkgoHelper()
	box, err := url.Parse(r.daemons[0].Callers)
	Expect(err).NotTo(HaveOccurred())
	c, err := tls.Dial("tcp", box.Host, r.caller.HTTP().Transport.(*http.Transport).TLSClientConfig)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	prompt := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, fake.SiteDeployment, longText(2), tokens, stream)
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		box.Host, r.site.File.CallerKeys[orgOne], len(prompt), prompt)
	Expect(err).NotTo(HaveOccurred())
	wait()
	Expect(c.CloseWrite()).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// refusalOf sends a request that must be refused and returns its refusal.
func (r *testbed) refusalOf(key, idempotency, path, body string) play.Refusal {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, r.daemons[0].Callers+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	resp, err := r.caller.HTTP().Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var got struct {
		Error play.Refusal `json:"error"`
	}
	Expect(json.NewDecoder(resp.Body).Decode(&got)).To(Succeed())
	return got.Error
}
