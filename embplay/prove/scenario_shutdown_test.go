package prove

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

var _ = Describe("Promise 7: a target that is shutting down gets no new work", func() {
	It("after a drain while the coordination store is down, and after a change of the box list", func() {
		r := startSite(nil)
		r.site.KeyValue.Set(fake.Down, 1)
		body := struct {
			Leaving bool `json:"leaving"`
		}{true}
		drained, shuttingDown := r.site.File.Services[0].Name, r.site.File.Engines[0].Name
		_, err := r.callOperatorAPI(r.daemons[0], http.MethodPost, "/v1/drains/"+drained, body, nil)
		Expect(err).NotTo(HaveOccurred())
		r.setBoxState(shuttingDown, plat.BoxLeaving)
		for _, p := range r.daemons {
			Eventually(func() bool { return r.usable(p, drained) || r.usable(p, shuttingDown) }).Should(BeFalse(), p.Name)
		}
		services, engines := len(r.site.Services[0].Executions()), len(r.site.Engines[0].Executions())
		for n := range 24 {
			Expect(r.sendPayment(n%len(r.daemons), orgOne, "", uuid.NewString()).Complete).To(BeTrue())
			prompt := fmt.Sprintf("quick question %d", n)
			expectAnswer(r.sendPrompt(n%len(r.daemons), orgOne, prompt, 2), "v1", prompt, 2)
		}
		Expect(r.site.Services[0].Executions()).To(HaveLen(services))
		Expect(r.site.Engines[0].Executions()).To(HaveLen(engines))

		By("getting work again after the drain is withdrawn")
		body.Leaving = false
		_, err = r.callOperatorAPI(r.daemons[1], http.MethodPost, "/v1/drains/"+drained, body, nil)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range r.daemons {
			Eventually(func() bool { return r.usable(p, drained) }).Should(BeTrue(), p.Name)
		}
	})
})

// usable reports whether a daemon lists a target as usable for new work. It returns
// true if the daemon cannot be asked.
func (r *testbed) usable(p *daemonProcess, target string) bool {
	var st struct {
		Targets []struct {
			Name   string `json:"name"`
			Usable bool   `json:"usable"`
		} `json:"targets"`
	}
	if _, err := r.callOperatorAPI(p, http.MethodGet, "/v1/status", nil, &st); err != nil {
		return true
	}
	for _, t := range st.Targets {
		if t.Name == target {
			return t.Usable
		}
	}
	return false
}

var _ = Describe("Promise 8: a graceful shutdown cuts no request", func() {
	It("restarts all daemons one after the other under load without a failed request", func() {
		r := startSite(nil)
		l := r.load(1)
		// The answer takes longer than closing a listener waits for requests by itself.
		const long = 1500
		running := make(chan play.Reply, 1)
		go func() { running <- r.sendPrompt(0, orgOne, "a lasting answer", long) }()
		Eventually(func() int { return r.requestsRunning(r.daemons[0]) }).Should(BeNumerically(">", 0))
		signalled := make([]time.Time, len(r.daemons))
		for i, p := range r.daemons {
			signalled[i] = time.Now()
			p.signal(syscall.SIGTERM)
			Eventually(func() string { return r.readinessError(p) }).ShouldNot(BeEmpty())
			l.exclude(i, true)
			Expect(p.awaitExit()).To(Succeed(), p.Name)
			Expect(p.start()).To(Succeed())
			Expect(r.awaitDaemonReady(p)).To(Succeed())
			l.exclude(i, false)
		}
		l.finish()
		expectAnswer(<-running, "v1", "a lasting answer", long)
		Expect(len(l.prompts)).To(BeNumerically(">", 20))
		for _, a := range l.prompts {
			where := fmt.Sprintf("request %q to %s, sent %v after its signal, ended after %v: %+v", a.reply.Request, r.daemons[a.box].Name,
				a.sentAt.Sub(signalled[a.box]), a.reply.Elapsed, a.reply.Refusal)
			Expect(a.reply.Err).NotTo(HaveOccurred(), where)
			Expect(a.reply.Refusal).To(BeNil(), where)
			expectAnswer(a.reply, "v1", a.prompt, a.tokens)
		}
		runs := r.executionsByMark()
		for _, c := range l.calls {
			Expect(runs[c.mark]).To(HaveLen(1), "%+v", c.attempts)
		}
	})
})

// requestsRunning returns the number of requests that a daemon is serving.
func (r *testbed) requestsRunning(p *daemonProcess) int {
	var st struct {
		Running int `json:"running"`
	}
	if _, err := r.callOperatorAPI(p, http.MethodGet, "/v1/status", nil, &st); err != nil {
		return 0
	}
	return st.Running
}

// readinessError returns why the readiness probe of a daemon fails, or "" if it
// succeeds.
func (r *testbed) readinessError(p *daemonProcess) string {
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
