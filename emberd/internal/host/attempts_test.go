package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// Guards against daemons that write the longest time of attempts in turn, and against a value that a daemon lowers while such attempts
// may go on, or that stays for ever.
func TestLongestAttemptIsWrittenOnceForEachChange(t *testing.T) {
	const long, short = 10 * time.Minute, 5 * time.Second
	g := gomega.NewWithT(t)
	hosts := []*Host{newTestHost(t), newTestHost(t), newTestHost(t)}
	var stored []plat.Change
	set := func(bound time.Duration) {
		for _, h := range hosts {
			h.attemptBound.set(bound, bound != noBound)
		}
	}
	expect := func(want time.Duration, writes int64) {
		stored = save(t, stored, hosts...)
		got, err := decodeAttempts(stored[0].Value)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(want))
		g.Expect(stored[0].ModRevision).To(gomega.Equal(writes))
	}
	set(long)
	expect(long, 1)
	set(short)
	began := clock.Now()
	expect(long, 1)
	clock.Suspend(windowOf(long) / 2)
	// It starts by the latest configuration, and knows the former bound for longer than the others.
	hosts[2] = newTestHost(t)
	hosts[2].applyChanges(stored)
	hosts[2].attemptBound.set(short, true)
	expect(long, 1)
	clock.Suspend(windowOf(long) - clock.Since(began) - time.Second)
	expect(long, 1)
	clock.Suspend(2 * time.Second)
	expect(short, 2)
	g.Expect(hosts[2].versionWindow()).To(gomega.Equal(windowOf(long)))
	for range 10 {
		clock.Suspend(windowOf(long) / 5)
		expect(short, 2)
	}
	g.Expect(hosts[2].versionWindow()).To(gomega.Equal(windowOf(short)))
	// One of them has a configuration that the others lack.
	hosts[0].attemptBound.set(long, true)
	expect(long, 3)
	g.Expect(hosts[1].versionWindow()).To(gomega.Equal(windowOf(long)))
	set(noBound)
	expect(noBound, 4)
	set(1500 * time.Microsecond)
	clock.Suspend(time.Hour)
	expect(noBound, 4)
	for i, restored := range []bool{true, false} {
		for _, h := range hosts {
			h.applyChanges([]plat.Change{{Pair: plat.Pair{Key: keyAttempts}, Deleted: true, DeletedByRestore: restored}})
		}
		stored = nil
		expect(map[bool]time.Duration{true: noBound, false: 2 * time.Millisecond}[restored], 1)
		for _, h := range hosts {
			g.Expect(h.versionWindow() == noBound).To(gomega.Equal(restored), "operators removed the key: %d", i)
		}
	}
	expect(2*time.Millisecond, 1)
}

// A value that no daemon has written bounds nothing, is reported and replaced.
func TestInvalidLongestAttemptIsReplaced(t *testing.T) {
	for _, value := range []string{"", "x", `{"longestMs":-2}`, `{"longestMs":"1"}`, `{"longestMs":1e30}`} {
		t.Run(value, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newTestHost(t)
			h.attemptBound.set(time.Minute, true)
			stored := []plat.Change{{Pair: plat.Pair{Key: keyAttempts, Value: []byte(value), ModRevision: 7}}}
			h.applyChanges(stored)
			g.Expect(h.versionWindow()).To(gomega.Equal(windowOf(time.Minute)))
			stored = save(t, stored, h)
			g.Expect(string(stored[0].Value)).To(gomega.Equal(`{"longestMs":60000}`))
		})
	}
	for _, millis := range []int64{-1, 9223372036855, 9223372036854775807} {
		h := newTestHost(t)
		h.applyChanges([]plat.Change{{Pair: plat.Pair{Key: keyAttempts, Value: fmt.Appendf(nil, `{"longestMs":%d}`, millis), ModRevision: 7}}})
		gomega.NewWithT(t).Expect(h.versionWindow()).To(gomega.Equal(noBound), "%d", millis)
	}
}
