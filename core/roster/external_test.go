package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
)

// A target that this daemon's list does not contain is available, is not listed, and keeps its
// state when the list starts or stops containing it.
func TestExternalTargets(t *testing.T) {
	tests := []struct {
		name  string
		steps func(r *Roster) *Target
		// listed is whether it is among the targets of its service.
		listed bool
		reason UnavailabilityReason
	}{
		{"sent by another daemon", func(r *Roster) *Target { return r.AddExternal(incarnationEntry("a@1000", 1000)) }, false, Available},
		{"sent twice", func(r *Roster) *Target {
			r.AddExternal(incarnationEntry("a@1000", 1000))
			return r.AddExternal(incarnationEntry("a@1000", 1000))
		}, false, Available},
		{"reported shutting down", func(r *Roster) *Target {
			external := r.AddExternal(incarnationEntry("a@1000", 1000))
			r.RecordShutdown("a@1000", ByResponse)
			return external
		}, false, ShuttingDown},
		{"listed from now on", func(r *Roster) *Target {
			external := r.AddExternal(incarnationEntry("a@1000", 1000))
			r.Put(incarnationEntry("a@1000", 1000))
			return external
		}, true, Available},
		{"no longer listed", func(r *Roster) *Target {
			r.Put(incarnationEntry("a@1000", 1000))
			listed := r.Target("a@1000")
			r.MakeExternal("a")
			return listed
		}, false, Available},
		{"dropped and listed again", func(r *Roster) *Target {
			r.Put(incarnationEntry("a@1000", 1000))
			listed := r.Target("a@1000")
			r.MakeExternal("a")
			r.Put(incarnationEntry("a@1000", 1000))
			return listed
		}, true, Available},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			removed := 0
			r.Removed = func(string, bool) { removed++ }
			target := tc.steps(r)
			g.Expect(r.Target("a@1000")).To(gomega.BeIdenticalTo(target), "its state is kept")
			g.Expect(len(r.ByService("s")) == 1).To(gomega.Equal(tc.listed))
			g.Expect(r.Admit(target, Permit{})).To(gomega.Equal(tc.reason))
			g.Expect(removed).To(gomega.BeZero(), "no incarnation was removed")
		})
	}
}

func TestUnusedExternalTargetsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	r, now := New(&event.Log{}, nil), time.Now()
	r.AddExternal(incarnationEntry("a@1000", 1000))
	busy := r.AddExternal(incarnationEntry("b@1000", 1000))
	busy.AddLoad(Load{Running: 1})
	r.external.put(&Target{id: "c", busy: &r.busy}, now.Add(externalTTL+externalSweepInterval))
	g.Expect(r.Target("a@1000")).To(gomega.BeNil())
	g.Expect(r.Target("b@1000")).To(gomega.BeIdenticalTo(busy), "its request is unfinished")
}
