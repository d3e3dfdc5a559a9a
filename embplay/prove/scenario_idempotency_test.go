package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

var _ = Describe("Promise 6: a non-idempotent call is executed at most once", func() {
	It("with a key, through any daemon, whatever connection was cut", func() {
		r := startSite(nil)
		By("answering a repeated call from its record")
		key, mark := newKey(), uuid.NewString()
		first := r.sendPayment(0, orgOne, key, mark)
		Expect(first.Complete).To(BeTrue())
		Eventually(func() bool { return r.sendPayment(1, orgOne, key, mark).Replayed }).Should(BeTrue())
		Expect(r.executionsByMark()[mark]).To(HaveLen(1))

		By("refusing the key for another call")
		other := r.sendPayment(2, orgOne, key, uuid.NewString())
		Expect(other.Refusal.Code).To(Equal("keyReused"))
		Expect(executionState(other)).To(Equal("notRun"))

		By("reporting unknown where the answer was cut, and never executing again")
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 1)
		}
		key, mark = newKey(), uuid.NewString()
		cutReply := r.sendPayment(0, orgOne, key, mark)
		Expect(executionState(cutReply)).To(Equal("unknown"))
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 0)
		}
		for box := range r.daemons {
			Expect(executionState(r.sendPayment(box, orgOne, key, mark))).To(Equal("unknown"))
		}
		Expect(r.executionsByMark()[mark]).To(HaveLen(1))

		By("settling claims whose write responses are lost")
		r.site.KeyValue.Set(fake.LoseResponses, 3)
		key, mark = newKey(), uuid.NewString()
		Eventually(func() bool { return r.sendPayment(1, orgOne, key, mark).Complete }).Should(BeTrue())
		Expect(r.executionsByMark()[mark]).To(HaveLen(1))

		By("executing nothing while the coordination store is down")
		r.site.KeyValue.Set(fake.Down, 1)
		key, mark = newKey(), uuid.NewString()
		down := r.sendPayment(0, orgOne, key, mark)
		Expect(down.Refusal.Code).To(Equal("claimUnavailable"))
		Expect(r.executionsByMark()[mark]).To(BeEmpty())
		r.site.KeyValue.Set(fake.Down, 0)
		Eventually(func() bool { return r.sendPayment(1, orgOne, key, mark).Complete }).Should(BeTrue())
		Expect(r.executionsByMark()[mark]).To(HaveLen(1))
	})

	It("although the daemon with the claim is suspended or killed", func() {
		r := startSite(nil)
		const slow = 2500
		for _, s := range r.site.Services {
			s.Set(fake.Slow, slow)
		}
		tests := []struct {
			name   string
			inject func(p *daemonProcess)
		}{
			{"suspend", func(p *daemonProcess) { p.suspend() }},
			{"kill", func(p *daemonProcess) { p.kill() }},
		}
		for _, tc := range tests {
			key, mark := newKey(), uuid.NewString()
			var wg sync.WaitGroup
			Expect(r.awaitDaemonReady(r.daemons[0])).To(Succeed(), tc.name)
			granted := r.countEvents(eventClaimGranted)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				r.caller.Call(ctx, r.daemons[0].Callers, r.site.File.CallerKeys[orgOne], http.MethodPost,
					"/services/"+fake.SiteService+"/renewals", key, []byte(`{"mark":"`+mark+`"}`))
			})
			Eventually(func() int { return r.countEvents(eventClaimGranted) }).Should(BeNumerically(">", granted), tc.name)
			Expect(r.claimState(1, key, mark)).To(Equal("inProgress"), tc.name)
			tc.inject(r.daemons[0])
			for range 6 {
				for box := 1; box < len(r.daemons); box++ {
					a := r.sendPayment(box, orgOne, key, mark)
					Expect(executionState(a)).NotTo(Equal("notRun"), tc.name)
				}
			}
			r.daemons[0].resume()
			wg.Wait()
			Expect(len(r.executionsByMark()[mark])).To(BeNumerically("<=", 1), tc.name)
		}
	})

	It("with a ticket, also while the coordination store is down", func() {
		r := startSite(nil)
		r.site.KeyValue.Set(fake.Down, 1)
		const calls = 12
		for n := range calls {
			ticket, mark := r.issueTicket(n%len(r.daemons)), uuid.NewString()
			var attempts []play.Reply
			for box := range r.daemons {
				attempts = append(attempts, r.sendPaymentWith(box, "X-Embertally-Ticket", ticket, mark))
			}
			Expect(attempts[0].Complete).To(BeTrue(), "%+v", attempts[0].Refusal)
			for _, t := range attempts[1:] {
				Expect(t.Replayed || (t.Refusal != nil && t.Refusal.Code == "inProgress")).To(BeTrue())
			}
			Expect(r.executionsByMark()[mark]).To(HaveLen(1))
		}

		By("losing the ticket with the daemon that issued it")
		ticket, mark := r.issueTicket(1), uuid.NewString()
		r.daemons[1].kill()
		Expect(executionState(r.sendPaymentWith(0, "X-Embertally-Ticket", ticket, mark))).To(Equal("unknown"))
		Expect(r.daemons[1].start()).To(Succeed())
		Expect(r.awaitDaemonReady(r.daemons[1])).To(Succeed())
		Expect(executionState(r.sendPaymentWith(0, "X-Embertally-Ticket", ticket, mark))).To(Equal("unknown"))
		Expect(r.executionsByMark()[mark]).To(BeEmpty())
	})

	It("without a key is sent once, and reported as unknown when cut", func() {
		r := startSite(nil)
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 1)
		}
		mark := uuid.NewString()
		got := r.sendPayment(0, orgOne, "", mark)
		Expect(executionState(got)).To(Equal("unknown"))
		Expect(r.executionsByMark()[mark]).To(HaveLen(1))
		mark = uuid.NewString()
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 0)
			s.Set(fake.CutBefore, 1)
		}
		got = r.sendPayment(0, orgOne, "", mark)
		Expect(executionState(got)).To(Equal("unknown"), "the daemon cannot tell that the target did not execute it")
		Expect(r.executionsByMark()[mark]).To(BeEmpty())
	})
})

// executionState returns the "ran" field of a refusal, or "answered".
func executionState(a play.Reply) string {
	if a.Refusal == nil {
		return "answered"
	}
	return a.Refusal.Ran
}

// issueTicket requests a ticket from a daemon.
func (r *testbed) issueTicket(box int) string {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	a := r.caller.Call(ctx, r.daemons[box].Callers, r.site.File.CallerKeys[orgOne], http.MethodPost, "/v1/tickets", "",
		[]byte(`{"service":"`+fake.SiteService+`"}`))
	var got struct {
		Ticket string `json:"ticket"`
	}
	Expect(json.Unmarshal(a.Body, &got)).To(Succeed(), "%+v", a)
	return got.Ticket
}

// sendPaymentWith sends a call with an additional header.
func (r *testbed) sendPaymentWith(box int, header, value, mark string) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return r.caller.CallWith(ctx, r.daemons[box].Callers, r.site.File.CallerKeys[orgOne], http.MethodPost,
		"/services/"+fake.SiteService+"/renewals", header, value, []byte(`{"mark":"`+mark+`"}`))
}

const eventClaimGranted = 6001

// countEvents returns the number of events with a code in the timeline.
func (r *testbed) countEvents(code int) int {
	GinkgoHelper()
	var got struct {
		Events []struct{} `json:"events"`
	}
	_, err := r.callOperatorAPI(r.daemons[1], http.MethodGet, fmt.Sprintf("/v1/timeline?code=%d", code), nil, &got)
	Expect(err).NotTo(HaveOccurred())
	return len(got.Events)
}

// claimState repeats a call and returns the code of its refusal, or "answered".
func (r *testbed) claimState(box int, key, mark string) string {
	a := r.sendPayment(box, orgOne, key, mark)
	if a.Refusal == nil {
		return "answered"
	}
	return a.Refusal.Code
}
