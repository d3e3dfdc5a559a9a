package learn

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// If one late copy did not count, each daemon would lose several requests to a link that has
// become slow.
func TestOneLateCopyCastsDoubtOnItsLink(t *testing.T) {
	g := gomega.NewWithT(t)
	var local, peer LateCopies
	now := time.Now()
	g.Expect(local.Probability("store", "w1", now)).To(gomega.BeNumerically("<", 0.05))
	local.Observe("store", "w1", true, 0.9, now)
	g.Expect(local.Probability("store", "w2", now)).To(gomega.BeNumerically(">", 0.5))
	g.Expect(local.Probability("other", "w2", now)).To(gomega.BeNumerically("<", 0.05))

	raw, err := msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.BeNil())
	peer.Receive("local", raw)
	g.Expect(peer.Probability("store", "w2", now)).To(
		gomega.BeNumerically("~", local.Probability("store", "w2", now), 0.01))

	for range 4 {
		local.Observe("store", "w1", false, 0.9, now)
	}
	g.Expect(local.Probability("store", "w2", now)).To(gomega.BeNumerically("<", 0.25), "after copies on time")
	g.Expect(peer.Probability("store", "w2", now.Add(6*time.Second))).To(gomega.BeNumerically("<", 0.15), "without further copies")
}

// A faulty peer must not make all links look late.
func TestLateCopiesRejectInvalidReports(t *testing.T) {
	tests := []struct {
		name   string
		weight float32
	}{
		{"NaN", float32(math.NaN())},
		{"negative", -1},
		{"excessive", 1e9},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var l LateCopies
			raw, err := msgpack.Marshal([]lateSample{{From: "store", To: "w", Late: true, Weight: tc.weight}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Receive("faulty", raw)
			l.Receive("faulty", []byte("no msgpack"))
			g.Expect(l.Rejected()).To(gomega.Equal(1))
			g.Expect(l.Probability("store", "w", time.Now())).To(gomega.BeNumerically("<", 0.05))
		})
	}
}
