package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// ask is that a target asks for rest at a time.
type pushbackAt struct{ at, rest time.Duration }

func TestPushbackDuration(t *testing.T) {
	tests := []struct {
		name      string
		pushbacks []pushbackAt
		at        time.Duration
		want      time.Duration
	}{
		{"not asked", nil, 0, 0},
		{"asked", []pushbackAt{{0, 3 * time.Second}}, time.Second, 2 * time.Second},
		{"over", []pushbackAt{{0, 3 * time.Second}}, 3 * time.Second, 0},
		{"two at once", []pushbackAt{{0, 3 * time.Second}, {0, 3 * time.Second}}, time.Second, 2 * time.Second},
		{"a shorter one later", []pushbackAt{{0, 3 * time.Second}, {time.Second, time.Second}}, time.Second, 2 * time.Second},
		{"a longer one later", []pushbackAt{{0, time.Second}, {500 * time.Millisecond, 3 * time.Second}}, time.Second, 2500 * time.Millisecond},
		{"one after the other", []pushbackAt{{0, time.Second}, {2 * time.Second, time.Second}}, 2500 * time.Millisecond, 500 * time.Millisecond},
		{"the longest that is believed", []pushbackAt{{0, MaxPushback}}, 0, MaxPushback},
		{"a longer one", []pushbackAt{{0, 1e9 * time.Second}}, 0, MaxPushback},
		{"a tenth of a millisecond", []pushbackAt{{0, 100 * time.Microsecond}}, 0, 100 * time.Microsecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			start := clock.Now()
			var p pushback
			for _, a := range tc.pushbacks {
				p.extend(a.rest, start.Add(a.at))
			}
			g.Expect(p.remaining(start.Add(tc.at))).To(gomega.Equal(tc.want))
		})
	}
}

// After a rest one send goes out, then one more each rampStep, until one is taken or the
// target counts as any other. One that is turned away again begins the next rest.
func TestRampAfterPushback(t *testing.T) {
	g := gomega.NewWithT(t)
	start := clock.Now()
	end := start.Add(time.Second)
	var p pushback
	g.Expect(p.extend(time.Second, start)).To(gomega.BeTrue())
	g.Expect(p.take(start.Add(999 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(p.take(end)).To(gomega.BeTrue())
	g.Expect(p.take(end)).To(gomega.BeFalse())
	g.Expect(p.remaining(end)).To(gomega.Equal(rampStep))
	sent := 1
	for at := time.Duration(0); at < rampSteps*rampStep; at += rampStep / 10 {
		if p.take(end.Add(at)) {
			sent++
		}
	}
	g.Expect(sent).To(gomega.Equal(rampSteps))
	g.Expect(p.remaining(end.Add(rampSteps * rampStep))).To(gomega.BeZero())

	g.Expect(p.extend(time.Second, end)).To(gomega.BeTrue())
	g.Expect(p.remaining(end)).To(gomega.Equal(time.Second))
	g.Expect(p.endRamp(end)).To(gomega.BeFalse(), "an answer to what was under way ends no rest")
	g.Expect(p.take(end.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.endRamp(end.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.take(end.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(p.take(end.Add(time.Second))).To(gomega.BeTrue())
}

// A rest is of the run that asked, and counts the time that the machine was suspended.
func TestPushbackIsPerIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(incarnationEntry("a@1000", 1000))
	target := r.Target("a@1000")
	r.Turned("a@1000", Asked{})
	r.Turned("a@1000", Asked{Odd: "x"})
	g.Expect(r.Enter(target, Token{})).To(gomega.Equal(Open), "it asked for nothing, or for what can't be read")
	r.Turned("a@1000", Asked{Rest: time.Minute})
	g.Expect(r.Enter(target, Token{})).To(gomega.Equal(Rests))
	g.Expect(r.Stopped(target.Entry().Service)).To(gomega.Equal([]string{"a@1000"}))
	stop, wait := r.Gate(time.Now()).Stop(target)
	g.Expect(stop).To(gomega.Equal(Rests))
	g.Expect(wait).To(gomega.BeNumerically("~", time.Minute, 5*time.Second))
	r.Put(incarnationEntry("a@1000", 1000))
	g.Expect(r.Enter(r.Target("a@1000"), Token{})).To(gomega.Equal(Rests), "its entry says that it is ready")
	r.Put(incarnationEntry("a@2000", 2000))
	g.Expect(r.Enter(r.Target("a@2000"), Token{})).To(gomega.Equal(Open), "the next run asked for nothing")

	r.Turned("a@2000", Asked{Rest: time.Minute})
	clock.Suspend(time.Minute)
	g.Expect(r.Enter(r.Target("a@2000"), Token{})).To(gomega.Equal(Open))
	g.Expect(r.Enter(r.Target("a@2000"), Token{})).To(gomega.Equal(Rests), "few at first")
	r.Took("a@2000")
	g.Expect(r.Enter(r.Target("a@2000"), Token{})).To(gomega.Equal(Open))
}

// Peers are not told of a rest: it was asked of one daemon.
func TestPushbackIsNotSentToPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(entry("a"))
	r.Turned("a", Asked{Rest: time.Minute})
	body := Share{r}.Collect(true).(*heartbeatBody)
	g.Expect(body.ShuttingDown).To(gomega.BeEmpty())
	g.Expect(body.Reloading).To(gomega.BeEmpty())
}

// The rests of named targets: a run that is known to be another one gets requests.
func TestRestListPerIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	current := func(incarnation string) func(string) string { return func(string) string { return incarnation } }
	var r RestList
	g.Expect(r.Turned("a", "1", 0)).To(gomega.BeFalse())
	g.Expect(r.Left(current(""))).To(gomega.BeEmpty())
	g.Expect(r.Take("a")).To(gomega.BeTrue())
	g.Expect(r.Turned("a", "1", time.Minute)).To(gomega.BeTrue())
	g.Expect(r.Turned("a", "1", time.Second)).To(gomega.BeFalse(), "it rests already")
	g.Expect(r.Take("a")).To(gomega.BeFalse())
	g.Expect(r.Took("a")).To(gomega.BeFalse(), "what was under way ends no rest")
	for _, incarnation := range []string{"", "1"} {
		g.Expect(r.Left(current(incarnation))).To(gomega.HaveKeyWithValue("a", gomega.BeNumerically("~", time.Minute, 5*time.Second)))
	}
	g.Expect(r.Left(current("2"))).To(gomega.BeEmpty())
	g.Expect(r.Take("a")).To(gomega.BeTrue())

	r.Turned("a", "", time.Minute)
	g.Expect(r.Left(current("2"))).To(gomega.HaveKey("a"), "which run asked is not known")
	clock.Suspend(time.Minute)
	g.Expect(r.Left(current(""))).To(gomega.BeEmpty())
	g.Expect(r.Take("a")).To(gomega.BeTrue())
	g.Expect(r.Left(current(""))).To(gomega.HaveKey("a"), "few at first")
	g.Expect(r.Took("a")).To(gomega.BeTrue())
	g.Expect(r.Left(current(""))).To(gomega.BeEmpty())
}

// A target that turns away and takes in turn, and asks for a moment of rest each time, writes one
// line of its begin and one of its end a second; what can't be read one for each run.
func TestPushbackLogLinesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &event.Log{}
	r := New(log, nil)
	r.Put(entry("a"))
	for range 50 {
		r.Turned("a", Asked{Rest: time.Nanosecond, Odd: "x"})
		clock.Suspend(time.Millisecond)
		r.Took("a")
	}
	lines := map[event.Code]int{}
	for _, ev := range log.Since(0, 1000) {
		lines[ev.Code]++
	}
	g.Expect(lines[event.TargetRests]).To(gomega.Equal(1))
	g.Expect(lines[event.TargetRested]).To(gomega.Equal(1))
	g.Expect(lines[event.TargetUnreadable]).To(gomega.Equal(1))
	clock.Suspend(pushbackLogInterval)
	r.Turned("a", Asked{Rest: time.Second})
	g.Expect(log.Since(0, 1000)).To(gomega.HaveLen(5), "with the one of its entry")
}
