package prove

import (
	"fmt"
	"net/http"
	"syscall"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

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
			Expect(r.pay(n%len(r.procs), orgOne, "", uuid.NewString()).Complete).To(BeTrue())
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
		// Longer than the closing of a listener waits by itself.
		const long = 1500
		lasting := make(chan play.Reply, 1)
		go func() { lasting <- r.ask(0, orgOne, "a lasting answer", long) }()
		Eventually(func() int { return r.running(r.procs[0]) }).Should(BeNumerically(">", 0))
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
		expectWhole(<-lasting, "v1", "a lasting answer", long)
		Expect(len(l.asks)).To(BeNumerically(">", 20))
		for _, a := range l.asks {
			Expect(a.reply.Err).NotTo(HaveOccurred())
			Expect(a.reply.Refusal).To(BeNil())
			expectWhole(a.reply, "v1", a.prompt, a.tokens)
		}
		runs := r.runsByMark()
		for _, c := range l.calls {
			Expect(runs[c.mark]).To(HaveLen(1), "%+v", c.tries)
		}
	})
})

// running returns how many requests a daemon has in hand.
func (r *rig) running(p *proc) int {
	var st struct {
		Running int `json:"running"`
	}
	if _, err := r.operate(p, http.MethodGet, "/v1/status", nil, &st); err != nil {
		return 0
	}
	return st.Running
}

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
