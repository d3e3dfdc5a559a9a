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

var _ = Describe("Promise 6: what may not be repeated runs at most once", func() {
	It("with a key, through any daemon, whatever was cut", func() {
		r := site(nil)
		By("answering a repeated call from its record")
		key, mark := newKey(), uuid.NewString()
		first := r.pay(0, orgOne, key, mark)
		Expect(first.Complete).To(BeTrue())
		Eventually(func() bool { return r.pay(1, orgOne, key, mark).Replayed }).Should(BeTrue())
		Expect(r.runsByMark()[mark]).To(HaveLen(1))

		By("refusing the key for another call")
		other := r.pay(2, orgOne, key, uuid.NewString())
		Expect(other.Refusal.Code).To(Equal("keyReused"))
		Expect(ranOf(other)).To(Equal("notRun"))

		By("saying unknown where the answer was cut, and never running again")
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 1)
		}
		key, mark = newKey(), uuid.NewString()
		cutOff := r.pay(0, orgOne, key, mark)
		Expect(ranOf(cutOff)).To(Equal("unknown"))
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 0)
		}
		for box := range r.procs {
			Expect(ranOf(r.pay(box, orgOne, key, mark))).To(Equal("unknown"))
		}
		Expect(r.runsByMark()[mark]).To(HaveLen(1))

		By("settling claim writes whose answers are lost")
		r.site.KeyValue.Set(fake.LoseAnswers, 3)
		key, mark = newKey(), uuid.NewString()
		Eventually(func() bool { return r.pay(1, orgOne, key, mark).Complete }).Should(BeTrue())
		Expect(r.runsByMark()[mark]).To(HaveLen(1))

		By("running nothing while the service is down")
		r.site.KeyValue.Set(fake.Down, 1)
		key, mark = newKey(), uuid.NewString()
		down := r.pay(0, orgOne, key, mark)
		Expect(down.Refusal.Code).To(Equal("claimUnavailable"))
		Expect(r.runsByMark()[mark]).To(BeEmpty())
		r.site.KeyValue.Set(fake.Down, 0)
		Eventually(func() bool { return r.pay(1, orgOne, key, mark).Complete }).Should(BeTrue())
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
			Expect(r.ready(r.procs[0])).To(Succeed(), tc.name)
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
					Expect(ranOf(a)).NotTo(Equal("notRun"), tc.name)
				}
			}
			r.procs[0].wake()
			wg.Wait()
			Expect(len(r.runsByMark()[mark])).To(BeNumerically("<=", 1), tc.name)
		}
	})

	It("with a ticket, also while the service is down", func() {
		r := site(nil)
		r.site.KeyValue.Set(fake.Down, 1)
		const calls = 12
		for n := range calls {
			ticket, mark := r.ticket(n%len(r.procs)), uuid.NewString()
			var tries []play.Reply
			for box := range r.procs {
				tries = append(tries, r.payWith(box, "X-Embertally-Ticket", ticket, mark))
			}
			Expect(tries[0].Complete).To(BeTrue(), "%+v", tries[0].Refusal)
			for _, t := range tries[1:] {
				Expect(t.Replayed || (t.Refusal != nil && t.Refusal.Code == "inProgress")).To(BeTrue())
			}
			Expect(r.runsByMark()[mark]).To(HaveLen(1))
		}

		By("dying with its issuer")
		ticket, mark := r.ticket(1), uuid.NewString()
		r.procs[1].kill()
		Expect(ranOf(r.payWith(0, "X-Embertally-Ticket", ticket, mark))).To(Equal("unknown"))
		Expect(r.procs[1].start()).To(Succeed())
		Expect(r.ready(r.procs[1])).To(Succeed())
		Expect(ranOf(r.payWith(0, "X-Embertally-Ticket", ticket, mark))).To(Equal("unknown"))
		Expect(r.runsByMark()[mark]).To(BeEmpty())
	})

	It("without a key is sent once, and said unknown when cut", func() {
		r := site(nil)
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 1)
		}
		mark := uuid.NewString()
		got := r.pay(0, orgOne, "", mark)
		Expect(ranOf(got)).To(Equal("unknown"))
		Expect(r.runsByMark()[mark]).To(HaveLen(1))
		mark = uuid.NewString()
		for _, s := range r.site.Services {
			s.Set(fake.CutAfter, 0)
			s.Set(fake.CutBefore, 1)
		}
		got = r.pay(0, orgOne, "", mark)
		Expect(ranOf(got)).To(Equal("unknown"), "the daemon cannot know that the target did not run it")
		Expect(r.runsByMark()[mark]).To(BeEmpty())
	})
})

// ranOf returns what a refusal says of the run, or "answered".
func ranOf(a play.Reply) string {
	if a.Refusal == nil {
		return "answered"
	}
	return a.Refusal.Ran
}

// ticket draws a ticket at a daemon.
func (r *rig) ticket(box int) string {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	a := r.caller.Call(ctx, r.procs[box].Callers, r.site.File.CallerKeys[orgOne], http.MethodPost, "/v1/tickets", "",
		[]byte(`{"service":"`+fake.SiteService+`"}`))
	var got struct {
		Ticket string `json:"ticket"`
	}
	Expect(json.Unmarshal(a.Body, &got)).To(Succeed(), "%+v", a)
	return got.Ticket
}

// payWith makes a call with one more header.
func (r *rig) payWith(box int, header, value, mark string) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return r.caller.CallWith(ctx, r.procs[box].Callers, r.site.File.CallerKeys[orgOne], http.MethodPost,
		"/services/"+fake.SiteService+"/renewals", header, value, []byte(`{"mark":"`+mark+`"}`))
}

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
	if a.Refusal == nil {
		return "answered"
	}
	return a.Refusal.Code
}
