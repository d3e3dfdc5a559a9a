package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
)

// slowFleet is a fleet of three daemons, one of which tracks no crashes and does not say for a while which parts it answered.
type slowFleet struct {
	*testFleet
	reporter, slow *testDaemon
}

func newSlowFleet(t *testing.T) *slowFleet {
	r := newTestFleet(t, 3)
	var names []string
	for _, seed := range r.seeds {
		names = append(names, seed.Name)
	}
	ranked := fleet.Rank(fleet.Key(partTrackers), names)
	return &slowFleet{r, r.daemons[slices.Index(names, ranked[0])], r.daemons[slices.Index(names, ranked[trackersPerRequest])]}
}

// crash makes targets crash under different prompts with the parts, and has a daemon answer others meanwhile. It waits until
// the trackers know of it.
func (r *slowFleet) crash(by *testDaemon, from, to int, parts ...string) {
	for i := from; i < to; i++ {
		clock.Suspend(2 * simultaneousWindow)
		answer(by, fmt.Sprint("sound", i), "first")
		r.reporter.guard.RecordLostConnection(promptOf(fmt.Sprint(i), "org", parts...), fmt.Sprint("inc-", i), "10.0.0.1:1")
		time.Sleep(10 * time.Millisecond)
	}
	r.g.Eventually(func() bool {
		for _, m := range r.daemons {
			if m != r.slow && crashesAt(m) < to {
				return false
			}
		}
		return true
	}, maxWait, "1ms").Should(gomega.BeTrue())
}

// crashesAt returns how many crashes a daemon has recorded as a tracker.
func crashesAt(m *testDaemon) int {
	m.guard.suspects.partsMu.Lock()
	defer m.guard.suspects.partsMu.Unlock()
	return len(m.guard.suspects.crashes)
}

// answer has a daemon answer a prompt.
func answer(by *testDaemon, text, part string) {
	by.guard.RecordSuccess(promptOf(text, "org", part), "well-"+text)
}

// silence makes the slow daemon leave questions unanswered for longer than they may take, until the returned function is called.
func (r *slowFleet) silence() (end func()) {
	r.slow.guard.parts.successesMu.Lock()
	return r.slow.guard.parts.successesMu.Unlock
}

// Guards against a block of a part that was answered at a daemon that does not say so in time: to the evaluation, no answer is
// the same as no success.
func TestAPartIsNotBlockedWhileTheDaemonThatAnsweredItIsSlow(t *testing.T) {
	knownRed(t)
	r := newSlowFleet(t)
	r.crash(r.reporter, 0, minPartCrashes-1, "first", "shared")
	answer(r.slow, "sound", "shared")
	defer r.silence()()
	for i := range 2 * minPartCrashes {
		answer(r.reporter, fmt.Sprint("other ", i), "first")
	}
	r.crash(r.reporter, minPartCrashes-1, minPartCrashes+1, "first", "shared")
	r.g.Consistently(r.blockingDaemons(promptOf("new", "org", "shared")), 2*time.Second, "10ms").Should(gomega.BeZero())
}

// Guards against a part that is never blocked since a daemon was slow when it was asked: nobody asks it again until another
// target crashes.
func TestAPartIsBlockedOnceASlowDaemonAnswers(t *testing.T) {
	knownRed(t)
	r := newSlowFleet(t)
	r.crash(r.slow, 0, minPartCrashes-1, "first", "bad")
	for i := range 2 * minPartCrashes {
		answer(r.slow, fmt.Sprint("sound at last ", i), "first")
	}
	end := r.silence()
	r.crash(r.reporter, minPartCrashes-1, minPartCrashes, "first", "bad")
	time.Sleep(reportWait + 2*cellTimeout)
	end()
	r.g.Eventually(r.blockingDaemons(promptOf("new", "org", "other", "bad")), 5*time.Second, "5ms").Should(gomega.Equal(3))
}
