package learn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// paceFleet simulates daemons that observe 90 workers, without a network.
type paceFleet struct {
	daemons [10]Pace
	// slowdown is how much longer worker w takes, as daemon d observes it.
	slowdown func(d, w int, at time.Duration) float64
	// delay is the delay of heartbeats; negative for none.
	delay time.Duration
	start time.Time
}

// run runs the streams for 8 s and calls check every 10 ms. Each worker runs three streams with a
// pause of 30 ms to 340 ms, each by another daemon.
func (f *paceFleet) run(check func(at time.Duration, now time.Time)) {
	const step = 10 * time.Millisecond
	type message struct {
		at      time.Duration
		from    int
		reports map[string]paceReport
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var recorders [270]*PaceStream
	var left [270]float64
	var messages []message
	for i := range recorders {
		recorders[i] = f.daemons[(i*7+i/90)%10].Stream(fmt.Sprint("w", i%90), "s", "k", f.start)
		left[i] = rng.Float64() * 300
	}
	for at := time.Duration(0); at < 8*time.Second; at += step {
		now := f.start.Add(at)
		for i, s := range recorders {
			if left[i] -= 10 / f.slowdown((i*7+i/90)%10, i%90, at); left[i] > 0 {
				continue
			}
			s.RecordEvent(now)
			s.BeforeRead(now)
			left[i] = 30 + rng.Float64()*150 + 160*float64(rng.IntN(5)/4)
		}
		for d := range f.daemons {
			if p := &f.daemons[d]; at%(7*step) == 0 && f.delay >= 0 {
				messages = append(messages, message{at + f.delay, d, p.collect(now)})
				p.Told()
			}
		}
		for ; len(messages) > 0 && messages[0].at <= at; messages = messages[1:] {
			for d := range f.daemons {
				if d != messages[0].from {
					f.daemons[d].receive(messages[0].reports, now)
				}
			}
		}
		check(at, now)
	}
}

// A late response changed the estimate of a worker only slightly: a worker that is slow must be found
// while it is slow. Others must not be, also if a daemon is slow itself or all workers are slow.
func TestPaceFindsSlowWorkers(t *testing.T) {
	// Each worker is slow for 600 ms in 4 s, each at another time.
	episodes := func(_, w int, at time.Duration) bool {
		return (at+time.Duration(w)*4*time.Second/90)%(4*time.Second) < 600*time.Millisecond
	}
	seconds := func(_, w int, _ time.Duration) bool { return w%9 == 0 }
	daemon := func(slow int) func(d, w int, at time.Duration) bool {
		return func(d, _ int, at time.Duration) bool { return d == slow && at > 3*time.Second }
	}
	for _, tc := range []struct {
		name               string
		slow               func(d, w int, at time.Duration) bool
		delay              time.Duration
		minFound, maxWrong float64
	}{
		{"none is slow", func(int, int, time.Duration) bool { return false }, 0, 0, 0.06},
		{"600 ms at a time", episodes, 0, 0.25, 0.1},
		{"for seconds", seconds, 0, 0.7, 0.05},
		{"late heartbeats", seconds, time.Second, 0.5, 0.05},
		{"no heartbeats", seconds, -1, 0.05, 0.05},
		{"this daemon is slow", daemon(0), 0, 0, 0.1},
		{"another daemon is slow", daemon(1), 0, 0, 0.1},
		{"all workers are slow", func(_, _ int, at time.Duration) bool { return at > 3*time.Second }, 0, 0, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &paceFleet{delay: tc.delay, start: time.Now(), slowdown: func(d, w int, at time.Duration) float64 {
				if tc.slow(d, w, at) {
					return 2.5
				}
				return 1
			}}
			var flagged, total [2]float64
			f.run(func(at time.Duration, now time.Time) {
				for w := 0; w < 90 && at > 3*time.Second; w++ {
					// Where no worker is to be found, each flagged one is wrong.
					i := 0
					if tc.minFound > 0 && tc.slow(0, w, at) {
						i = 1
					}
					total[i]++
					if f.daemons[0].Factor(fmt.Sprint("w", w), now) > 1 {
						flagged[i]++
					}
				}
			})
			found, wrong := flagged[1]/max(1, total[1]), flagged[0]/total[0]
			t.Logf("found %.2f, wrong %.2f", found, wrong)
			g := gomega.NewWithT(t)
			g.Expect(found).To(gomega.BeNumerically(">=", tc.minFound))
			g.Expect(wrong).To(gomega.BeNumerically("<=", tc.maxWrong))
			end := f.start.Add(8 * time.Second)
			for i := range f.daemons {
				for _, w := range f.daemons[i].workers {
					clear(w.streams)
				}
			}
			g.Expect(f.daemons[0].Factor("w0", end.Add(2*time.Second))).To(gomega.Equal(1.0), "it is forgotten")
		})
	}
}

// However slow workers are, two thirds of them keep their factor of 1, and it is never below 1.
func TestAtMostAThirdIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := make([]paceSample, rapid.IntRange(0, 40).Draw(t, "workers"))
		for i := range samples {
			own, peers := rapid.Float64Range(0, 30).Draw(t, "own"), rapid.Float64Range(0, 30).Draw(t, "peers")
			mean := rapid.Float64Range(minPaceLog, maxPaceLog).Draw(t, "mean")
			samples[i] = paceSample{fmt.Sprint(i), "s", own * mean, own, peers * mean, peers}
		}
		factors := slowFactors(samples)
		for _, f := range factors {
			if 3*len(factors) > len(samples) || !(f >= 1 && f <= math.Exp(maxPaceLog)) {
				t.Fatalf("factors %v of %d workers", factors, len(samples))
			}
		}
	})
}

// A peer that names another service for a worker must not take it out of the medians of its own.
func TestOwnServiceOfAWorkerPrevails(t *testing.T) {
	g := gomega.NewWithT(t)
	var p Pace
	now := time.Now()
	p.receive(map[string]paceReport{"w": {Service: "other", Count: 1}}, now)
	p.Stream("w", "s", "k", now)
	g.Expect(p.samples(now)[0].service).To(gomega.Equal("s"))
	p.receive(map[string]paceReport{"w": {Service: "other", Count: 1}}, now)
	g.Expect(p.samples(now)[0].service).To(gomega.Equal("s"))
}

// A faulty peer must not make workers look slow.
func TestPaceRejectsInvalidReports(t *testing.T) {
	nan := float32(math.NaN())
	for _, r := range []paceReport{
		{Service: "s", Count: 0, LogRatio: 1},
		{Service: "s", Count: -1, LogRatio: 1},
		{Service: "s", Count: maxPaceCount + 1, LogRatio: 1},
		{Service: "s", Count: 10, LogRatio: 5},
		{Service: "s", Count: 10, LogRatio: -5},
		{Service: "s", Count: 10, LogRatio: nan},
	} {
		g := gomega.NewWithT(t)
		var p Pace
		raw, err := msgpack.Marshal(map[string]paceReport{"w": r})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		p.Receive("faulty", raw)
		p.Receive("faulty", []byte("no msgpack"))
		g.Expect(p.Rejected()).To(gomega.Equal(1), "%+v", r)
		g.Expect(p.workers).To(gomega.BeEmpty(), "%+v", r)
	}
}

// Neither a pause that the caller causes nor the events that arrived during it tell anything about the
// worker: the latter follow each other at once and made all usual pauses look long.
func TestPacesOfSlowCallersDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	var p Pace
	now := time.Now()
	s := p.Stream("w", "s", "k", now)
	event := func(wait time.Duration) {
		s.BeforeRead(now)
		now = now.Add(wait)
		s.RecordEvent(now)
	}
	for range 3 * flushPauses {
		event(100 * time.Millisecond)
	}
	usual := p.usual("k", now)
	g.Expect(usual).To(gomega.BeNumerically("~", math.Log(0.1), 0.001))
	for range 3 {
		// The caller blocks for half a second, in which four events arrive.
		now = now.Add(500 * time.Millisecond)
		_, _, waiting := s.pending(now)
		g.Expect(waiting).To(gomega.BeFalse())
		for range 4 {
			event(20 * time.Microsecond)
		}
		event(50 * time.Millisecond)
		for range 8 {
			event(100 * time.Millisecond)
		}
	}
	s.End(now)
	g.Expect(p.usual("k", now)).To(gomega.BeNumerically("~", usual, 0.01))
}
