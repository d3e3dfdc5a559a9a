package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// promptOf returns a prompt with a text of its own, from an organisation, that holds parts.
func promptOf(text, organisation string, parts ...string) Sent {
	return Sent{Request: digestOf(text + organisation + strings.Join(parts, ",")), Organisation: organisation, Parts: parts}
}

// scene is a line of events for a tracker, one every 100 ms. Each is a list of prompts, written as
// organisation:part+part. They were at a target that crashed or, after a +, were answered.
type scene []string

// play makes a tracker experience the events.
func (s scene) play(t *partTracker) {
	start := clock.Now()
	for i, event := range s {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		event, answered := strings.CutPrefix(event, "+")
		event, simultaneous := strings.CutPrefix(event, "=")
		if simultaneous {
			at = at.Add(-80 * time.Millisecond)
		}
		var prompts []Sent
		for j, prompt := range strings.Fields(event) {
			organisation, parts, _ := strings.Cut(prompt, ":")
			text := fmt.Sprint(i, "/", j)
			if same, found := strings.CutPrefix(organisation, "same-"); found {
				organisation, text = same, "same"
			}
			prompts = append(prompts, promptOf(text, organisation, strings.Split(parts, "+")...))
		}
		if !answered {
			t.add(fmt.Sprintf("inc-%d", i), at, prompts, nil)
			continue
		}
		for _, prompt := range prompts {
			prompt.partKeys(func(k partKey) { t.addSuccess(k, at) })
		}
	}
}

func TestEvidenceAgainstParts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		scene scene
		want  string
	}{
		{"four prompts", scene{"o:a+g", "+o:a", "o:a+g", "+o:a", "o:a+g", "+o:a", "o:a+g"}, "o:g"},
		{"three prompts", scene{"o:a+g", "o:a+g", "o:a+g"}, ""},
		{"one prompt, repeated", scene{"same-o:g", "same-o:g", "same-o:g", "same-o:g"}, ""},
		{"answered in between", scene{"o:g", "o:g", "+o:g", "o:g", "o:g"}, ""},
		{"answered before", scene{"+o:g", "o:g", "o:g", "o:g", "o:g"}, "o:g"},
		{"crashes at the same time", scene{"o:g", "=o:g", "o:g", "o:g"}, ""},
		{"parts that come together only", scene{"o:a+g", "o:a+g+b", "o:a+g", "o:a+g"}, "o:a,g"},
		{"a part that comes alone too", scene{"o:a+g", "+o:a", "o:a+g", "o:a+g", "o:a+g"}, "o:g"},
		{"sound ones beside it", scene{"o:a+g o:a+s1 o:a+s2", "o:a+g o:a+s1", "+o:a+s1", "o:a+g o:a+s1", "o:a+g"}, "o:g"},
		{"two explain all", scene{"o:g o:b", "o:g o:b", "o:g o:b", "o:g o:b", "o:g o:b"}, ""},
		{"crashes of something else before", scene{"o:s1", "o:s2", "o:g", "o:g", "o:g", "o:g", "o:g"}, ""},
		{"enough after crashes of something else", scene{"o:s1", "o:s2", "o:g", "o:g", "o:g", "o:g", "o:g", "o:g"}, "o:g"},
		{"two explain all, one of them rarer", scene{"o:g o:b o:b", "o:g o:b", "o:g o:b", "o:g o:b", "o:g o:b", "o:g o:b", "o:g o:b"}, "o:g"},
		{"several organisations", scene{"o:g", "p:g", "q:g", "o:g"}, ":g"},
		{"another's part, which is answered there", scene{"m:g", "+o:g", "m:g", "+o:g", "m:g", "m:g"}, "m:g"},
		{"two at fault in turn", scene{"o:g", "o:h", "o:g", "o:h", "o:g", "o:h", "o:g", "o:h", "o:g", "o:h", "o:g", "o:h", "o:g"}, "o:g"},
		{"targets that crash of something else", scene{"o:a+s1 o:b+s2", "+o:a+s3", "o:a+s3 o:b+s4", "+o:b+s1", "o:a+s5"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var tracker partTracker
			tc.scene.play(&tracker)
			got := ""
			if c, found := tracker.findCause(maxRecentPrompts); found {
				got = c.organisation + ":" + c.text()
			}
			g.Expect(got).To(gomega.Equal(tc.want))
		})
	}
}

func TestCrashesThatABlockExplainsCountAgainstNothingElse(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker partTracker
	scene{"o:a+g o:b", "o:a+g o:b", "o:a+g o:b", "o:a+g", "+o:b"}.play(&tracker)
	c, found := tracker.findCause(maxRecentPrompts)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(c.parts).To(gomega.Equal([]string{"a", "g"}))
	tracker.explain(*c)
	g.Expect(tracker.suspects()).To(gomega.BeEmpty())
	// Another part crashes targets as well.
	for i := range minPartCrashes {
		tracker.add(fmt.Sprint("inc-h", i), clock.Now().Add(time.Second+time.Duration(i)*100*time.Millisecond), []Sent{promptOf(fmt.Sprint(i), "o", "b", "h")}, nil)
	}
	c2, found := tracker.findCause(maxRecentPrompts)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(c2.parts).To(gomega.Equal([]string{"b", "h"}))
	tracker.explain(*c2)
	// The first part comes with another one now: one more crash is enough.
	tracker.add("inc-new", clock.Now().Add(2*time.Second), []Sent{promptOf("new", "o", "x", "g")}, nil)
	c, found = tracker.findCause(maxRecentPrompts)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(c.parts).To(gomega.Equal([]string{"g"}))
}

// The made streams have prompts of 40 first parts and 400 second ones, as frequent as the recorded ones.
func TestOnlyThePartAtFaultIsBlockedInMadeStreams(t *testing.T) {
	for _, tc := range []struct {
		name string
		// suspects is the number of sound prompts at a target that crashes, and answered that of prompts
		// answered between two crashes.
		suspects, answered int
		// crashing makes a part crash targets; otherwise they crash of themselves.
		crashing bool
		// most bounds the crashes until the block.
		most int
	}{
		{"ten suspects", 10, 60, true, certainPartCrashes},
		{"ten suspects, little is answered", 10, 6, true, outagePartCrashes},
		{"thirty suspects", 30, 60, true, certainPartCrashes},
		{"two suspects", 2, 20, true, certainPartCrashes},
		{"targets that crash of themselves", 10, 60, false, 0},
		{"targets that crash of themselves, little is answered", 10, 6, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			total, most := 0, 0
			for seed := range uint64(100) {
				crashes, blocked := playMadeStream(rand.New(rand.NewPCG(seed, 7)), tc.suspects, tc.answered, tc.crashing)
				g.Expect(blocked).To(gomega.BeElementOf("", ":bad", "org-0:bad", "org-1:bad", "org-2:bad"), "seed %d", seed)
				g.Expect(blocked != "").To(gomega.Equal(tc.crashing), "seed %d", seed)
				total, most = total+crashes, max(most, crashes)
			}
			t.Logf("crashes until the block: %.1f in the mean, %d at most", float64(total)/100, most)
			if tc.crashing {
				g.Expect(most).To(gomega.BeNumerically("<=", tc.most))
			}
		})
	}
}

// playMadeStream plays up to 20 crashes, half a second apart, and returns how many there were until a combination
// was blocked, and which.
func playMadeStream(rng *rand.Rand, suspects, answered int, crashing bool) (crashes int, blocked string) {
	sound := func() Sent {
		return promptOf(fmt.Sprint(rng.Uint64()), fmt.Sprint("org-", rng.IntN(3)), fmt.Sprint("first-", rng.IntN(40)), fmt.Sprint("second-", rng.IntN(400)))
	}
	var tracker partTracker
	const interval = 500 * time.Millisecond
	now := clock.Now()
	for n := 1; n <= 20; n++ {
		for range answered {
			at := now.Add(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
			sound().partKeys(func(k partKey) { tracker.addSuccess(k, at) })
		}
		now = now.Add(interval)
		var prompts []Sent
		for range suspects {
			prompts = append(prompts, sound())
		}
		if crashing {
			prompt := sound()
			prompt.Parts = []string{prompt.Parts[0], "bad"}
			prompts = append(prompts, prompt)
		}
		tracker.add(fmt.Sprint("inc-", n), now, prompts, nil)
		list := tracker.suspects()
		if len(list) == 0 {
			continue
		}
		if c, found := tracker.findCause(answered * int(now.Sub(list[0].first)/interval)); found {
			return n, c.organisation + ":" + c.text()
		}
	}
	return 20, ""
}

// crashUnder makes an incarnation crash under prompts that daemons have sent.
func (r *testFleet) crashUnder(incarnation string, prompts ...Sent) {
	for i, prompt := range prompts {
		r.daemons[i%len(r.daemons)].guard.RecordLostConnection(prompt, incarnation, "10.0.0.1:1")
	}
}

// answer makes prompts without the parts in question complete.
func (r *testFleet) answer(daemon, n int, parts ...string) {
	for i := range n {
		r.daemons[daemon].guard.RecordSuccess(promptOf(fmt.Sprint("sound", i), "org", parts...), fmt.Sprint("well-", i))
	}
}

// blockingDaemons returns a function that counts the daemons that block a prompt.
func (r *testFleet) blockingDaemons(prompt Sent) func() int {
	return func() int {
		n := 0
		for _, m := range r.daemons {
			if _, blocked := m.guard.Blocked(prompt); blocked {
				n++
			}
		}
		return n
	}
}

// crashDistinct makes targets crash under different prompts with given parts.
func (r *testFleet) crashDistinct(crashes int, parts ...string) {
	for i := range crashes {
		clock.Suspend(2 * simultaneousWindow)
		r.answer(0, 1, "first")
		r.crashUnder(fmt.Sprintf("inc-%s-%d", strings.Join(parts, "-"), i), promptOf(fmt.Sprint(i), "org", parts...))
		time.Sleep(10 * time.Millisecond)
	}
	r.answer(0, 2*crashes, "first")
}

func TestAPartThatCrashesTargetsIsBlockedEverywhere(t *testing.T) {
	for _, tc := range []struct {
		daemons   int
		storeDown bool
	}{{1, false}, {3, false}, {3, true}, {40, false}, {40, true}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			if tc.daemons == 40 {
				knownRed(t)
			}
			r := newTestFleet(t, tc.daemons)
			r.store.SetDown(tc.storeDown)
			r.crashDistinct(minPartCrashes+1, "first", "bad")
			r.g.Eventually(r.blockingDaemons(promptOf("new", "org", "other", "bad")), maxWait, "5ms").Should(gomega.Equal(tc.daemons))
			r.g.Expect(r.blockingDaemons(promptOf("new", "org", "first", "other"))()).To(gomega.BeZero())
		})
	}
}

// knownRed skips a test that KNOWN-RED.txt lists where CI runs.
func knownRed(t *testing.T) {
	if os.Getenv("KNOWN_RED") != "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// The last daemon of another cell has answered prompts with the part.
func TestAPartThatIsAnsweredAnywhereIsNotBlocked(t *testing.T) {
	for _, daemons := range []int{3, 40} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			if daemons == 40 {
				knownRed(t)
			}
			r := newTestFleet(t, daemons)
			for i := range 8 {
				r.crashDistinct(1, "first", fmt.Sprint("unique-", i), "shared")
				if i%2 == 1 {
					r.answer(daemons-1, 1, "shared")
				}
			}
			r.g.Consistently(r.blockingDaemons(promptOf("new", "org", "shared")), 10*heartbeat, "10ms").Should(gomega.BeZero())
		})
	}
}

// All targets crash, whatever they run.
func TestNothingIsBlockedWhileNothingIsAnswered(t *testing.T) {
	r := newTestFleet(t, 3)
	for i := range 12 {
		clock.Suspend(2 * simultaneousWindow)
		r.crashUnder(fmt.Sprint("inc-", i), promptOf(fmt.Sprint(i), "org", "first"), promptOf(fmt.Sprint("b", i), "org", "first"))
	}
	r.g.Consistently(r.blockingDaemons(promptOf("new", "org", "first")), 10*heartbeat, "10ms").Should(gomega.BeZero())
}

func TestABlockedPartIsKeptInTheStoreAndReleasedThere(t *testing.T) {
	r := newTestFleet(t, 3)
	prompt := promptOf("new", "org", "other", "bad")
	r.crashDistinct(minPartCrashes+1, "first", "bad")
	r.g.Eventually(r.blockingDaemons(prompt), maxWait, "5ms").Should(gomega.Equal(3))
	list := r.daemons[1].guard.List()
	r.g.Expect(list).To(gomega.HaveLen(1))
	r.g.Expect(list[0].Parts).To(gomega.Equal([]string{"bad"}))
	key := BlockPrefix + list[0].Digest
	r.g.Eventually(func() bool { _, there := r.daemons[0].cache.Pair(key); return there }, maxWait, "5ms").Should(gomega.BeTrue())
	_, err := r.store.Commit(context.Background(), plat.Txn{Deletes: []string{key}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Eventually(r.blockingDaemons(prompt), maxWait, "5ms").Should(gomega.BeZero())
	// It takes as many crashes again.
	r.crashUnder("inc-again", promptOf("again", "org", "bad"))
	r.g.Consistently(r.blockingDaemons(prompt), 10*heartbeat, "10ms").Should(gomega.BeZero())
}

// All daemons lose their memory; only the store has the block.
func TestABlockedPartOutlivesAllDaemons(t *testing.T) {
	r := newTestFleet(t, 2)
	r.crashDistinct(minPartCrashes+1, "first", "bad")
	r.g.Eventually(func() int { return len(r.daemons[1].guard.List()) }, maxWait, "5ms").Should(gomega.Equal(1))
	key := BlockPrefix + r.daemons[1].guard.List()[0].Digest
	r.g.Eventually(func() bool { _, there := r.daemons[0].cache.Pair(key); return there }, maxWait, "5ms").Should(gomega.BeTrue())
	for _, m := range r.daemons {
		m.stop()
	}
	l, err := net.Listen("tcp", r.seeds[0].Address)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.daemons = []*testDaemon{r.run(r.seeds[0].Name, l)}
	r.g.Eventually(r.blockingDaemons(promptOf("new", "org", "other", "bad")), maxWait, "5ms").Should(gomega.Equal(1))
}

// A prompt that was sent before the block and ends well shows that the part is not at fault.
func TestABlockedPartThatIsAnsweredIsReleased(t *testing.T) {
	r := newTestFleet(t, 3)
	prompt := promptOf("new", "org", "other", "bad")
	r.crashDistinct(minPartCrashes+1, "first", "bad")
	r.g.Eventually(r.blockingDaemons(prompt), maxWait, "5ms").Should(gomega.Equal(3))
	r.daemons[2].guard.RecordSuccess(prompt, "well")
	r.g.Eventually(r.blockingDaemons(prompt), maxWait, "5ms").Should(gomega.BeZero())
}

// A target that crashes just after its answer takes back what the answer showed, not what others have shown.
func TestACrashTakesBackTheAnswersJustBefore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps []string // incarnations that answer, 60 ms apart
		want  bool     // whether an answer is left when "a" crashes at the end
	}{
		{"one answer", []string{"a"}, false},
		{"two just before", []string{"a", "a"}, false},
		{"one long before", []string{"a", "", "", "a"}, true},
		{"many in a row", []string{"a", "a", "a", "a", "a", "a"}, true},
		{"another's just before", []string{"b", "a"}, true},
		{"several others between", []string{"a", "b", "c", "d", "e"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var s partSuccesses
			prompt := promptOf("p", "org", "part")
			for _, incarnation := range tc.steps {
				if incarnation != "" {
					s.record(prompt, incarnation)
				}
				clock.Suspend(60 * time.Millisecond)
			}
			s.withdraw("a", clock.Now())
			_, found := s.last(partKey{"org", "part"})
			g.Expect(found).To(gomega.Equal(tc.want))
		})
	}
}
