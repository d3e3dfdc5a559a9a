package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// pushbackAt is a pushback of a duration, received at a time.
type pushbackAt struct{ at, duration time.Duration }

func TestPushbackDuration(t *testing.T) {
	tests := []struct {
		name      string
		pushbacks []pushbackAt
		at        time.Duration
		want      time.Duration
	}{
		{"none", nil, 0, 0},
		{"one", []pushbackAt{{0, 3 * time.Second}}, time.Second, 2 * time.Second},
		{"over", []pushbackAt{{0, 3 * time.Second}}, 3 * time.Second, 0},
		{"two at once", []pushbackAt{{0, 3 * time.Second}, {0, 3 * time.Second}}, time.Second, 2 * time.Second},
		{"a shorter one later", []pushbackAt{{0, 3 * time.Second}, {time.Second, time.Second}}, time.Second, 2 * time.Second},
		{"a longer one later", []pushbackAt{{0, time.Second}, {500 * time.Millisecond, 3 * time.Second}}, time.Second, 2500 * time.Millisecond},
		{"one after the other", []pushbackAt{{0, time.Second}, {2 * time.Second, time.Second}}, 2500 * time.Millisecond, 500 * time.Millisecond},
		{"the longest that is honoured", []pushbackAt{{0, MaxPushback}}, 0, MaxPushback},
		{"one beyond the bound", []pushbackAt{{0, 1e9 * time.Second}}, 0, MaxPushback},
		{"a tenth of a millisecond", []pushbackAt{{0, 100 * time.Microsecond}}, 0, 100 * time.Microsecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			start := clock.Now()
			var p pushback
			for _, a := range tc.pushbacks {
				p.extend(a.duration, start.Add(a.at))
			}
			g.Expect(p.remaining(start.Add(tc.at))).To(gomega.Equal(tc.want))
		})
	}
}

// After a pushback one attempt is allowed, then one more each rampStep, until one is accepted or
// the ramp is over. If one is rejected again, the next pushback starts.
func TestRampAfterPushback(t *testing.T) {
	g := gomega.NewWithT(t)
	start := clock.Now()
	end := start.Add(time.Second)
	var p pushback
	g.Expect(p.extend(time.Second, start)).To(gomega.BeTrue())
	g.Expect(p.allowAttempt(start.Add(999 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(p.allowAttempt(end)).To(gomega.BeTrue())
	g.Expect(p.allowAttempt(end)).To(gomega.BeFalse())
	g.Expect(p.remaining(end)).To(gomega.Equal(rampStep))
	sent := 1
	for at := time.Duration(0); at < rampSteps*rampStep; at += rampStep / 10 {
		if p.allowAttempt(end.Add(at)) {
			sent++
		}
	}
	g.Expect(sent).To(gomega.Equal(rampSteps))
	g.Expect(p.remaining(end.Add(rampSteps * rampStep))).To(gomega.BeZero())

	g.Expect(p.extend(time.Second, end)).To(gomega.BeTrue())
	g.Expect(p.remaining(end)).To(gomega.Equal(time.Second))
	g.Expect(p.endRamp(end)).To(gomega.BeFalse(), "accepting an earlier request does not end a pushback")
	g.Expect(p.allowAttempt(end.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.endRamp(end.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.allowAttempt(end.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.allowAttempt(end.Add(time.Second))).To(gomega.BeTrue())
}

// A pushback belongs to the incarnation that sent it, and time in system suspend counts.
func TestPushbackIsPerIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(incarnationEntry("a@1000", 1000))
	target := r.Target("a@1000")
	r.RecordRejection("a@1000", Pushback{})
	r.RecordRejection("a@1000", Pushback{Invalid: "x"})
	g.Expect(r.Admit(target, Permit{})).To(gomega.Equal(Available), "no pushback, or an unreadable one")
	r.RecordRejection("a@1000", Pushback{Duration: time.Minute})
	g.Expect(r.Admit(target, Permit{})).To(gomega.Equal(UnderPushback))
	g.Expect(r.SelfUnavailable(target.Entry().Service)).To(gomega.Equal([]string{"a@1000"}))
	reason, wait := r.Availability(time.Now()).Reason(target)
	g.Expect(reason).To(gomega.Equal(UnderPushback))
	g.Expect(wait).To(gomega.BeNumerically("~", time.Minute, 5*time.Second))
	r.Put(incarnationEntry("a@1000", 1000))
	g.Expect(r.Admit(r.Target("a@1000"), Permit{})).To(gomega.Equal(UnderPushback), "its entry shows ready")
	r.Put(incarnationEntry("a@2000", 2000))
	g.Expect(r.Admit(r.Target("a@2000"), Permit{})).To(gomega.Equal(Available),
		"the next incarnation sent no pushback")

	r.RecordRejection("a@2000", Pushback{Duration: time.Minute})
	clock.Suspend(time.Minute)
	g.Expect(r.Admit(r.Target("a@2000"), Permit{})).To(gomega.Equal(Available))
	g.Expect(r.Admit(r.Target("a@2000"), Permit{})).To(gomega.Equal(UnderPushback),
		"the ramp allows one attempt at first")
	r.RecordAccepted("a@2000")
	g.Expect(r.Admit(r.Target("a@2000"), Permit{})).To(gomega.Equal(Available))
}

// A pushback is meant for one daemon, so peers are not notified.
func TestPushbackIsNotSentToPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(entry("a"))
	r.RecordRejection("a", Pushback{Duration: time.Minute})
	body := HeartbeatPart{r}.Collect(true).(*heartbeatBody)
	g.Expect(body.ShuttingDown).To(gomega.BeEmpty())
	g.Expect(body.Reloading).To(gomega.BeEmpty())
}

// An incarnation that is known to differ from the one that sent the pushback gets requests.
func TestPushbackListPerIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	current := func(incarnation string) func(string) string { return func(string) string { return incarnation } }
	var list PushbackList
	g.Expect(list.RecordRejection("a", "1", 0)).To(gomega.BeFalse())
	g.Expect(list.Remaining(current(""))).To(gomega.BeEmpty())
	g.Expect(list.AllowAttempt("a")).To(gomega.BeTrue())
	g.Expect(list.RecordRejection("a", "1", time.Minute)).To(gomega.BeTrue())
	g.Expect(list.RecordRejection("a", "1", time.Second)).To(gomega.BeFalse(), "a pushback is in effect already")
	g.Expect(list.AllowAttempt("a")).To(gomega.BeFalse())
	g.Expect(list.RecordAccepted("a")).To(gomega.BeFalse(), "accepting an earlier request does not end a pushback")
	for _, incarnation := range []string{"", "1"} {
		g.Expect(list.Remaining(current(incarnation))).To(gomega.HaveKeyWithValue("a",
			gomega.BeNumerically("~", time.Minute, 5*time.Second)))
	}
	g.Expect(list.Remaining(current("2"))).To(gomega.BeEmpty())
	g.Expect(list.AllowAttempt("a")).To(gomega.BeTrue())

	list.RecordRejection("a", "", time.Minute)
	g.Expect(list.Remaining(current("2"))).To(gomega.HaveKey("a"), "the incarnation that sent it is unknown")
	clock.Suspend(time.Minute)
	g.Expect(list.Remaining(current(""))).To(gomega.BeEmpty())
	g.Expect(list.AllowAttempt("a")).To(gomega.BeTrue())
	g.Expect(list.Remaining(current(""))).To(gomega.HaveKey("a"), "the ramp allows one attempt at first")
	g.Expect(list.RecordAccepted("a")).To(gomega.BeTrue())
	g.Expect(list.Remaining(current(""))).To(gomega.BeEmpty())
}

// A target that alternates between rejecting with a very short pushback and accepting causes one
// log line a second for the start and one for the end, and one line for each incarnation about
// unreadable values.
func TestPushbackLogLinesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &event.Log{}
	r := New(log, nil)
	r.Put(entry("a"))
	for range 50 {
		r.RecordRejection("a", Pushback{Duration: time.Nanosecond, Invalid: "x"})
		clock.Suspend(time.Millisecond)
		r.RecordAccepted("a")
	}
	lines := map[event.Code]int{}
	for _, ev := range log.Since(0, 1000) {
		lines[ev.Code]++
	}
	g.Expect(lines[event.TargetRests]).To(gomega.Equal(1))
	g.Expect(lines[event.TargetRested]).To(gomega.Equal(1))
	g.Expect(lines[event.TargetUnreadable]).To(gomega.Equal(1))
	clock.Suspend(pushbackLogInterval)
	r.RecordRejection("a", Pushback{Duration: time.Second})
	g.Expect(log.Since(0, 1000)).To(gomega.HaveLen(5), "including the one about its entry")
}
