package learn

import (
	"fmt"
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

// Workers come and go under new addresses: those no longer in use must not fill the memory.
func TestUnusedLinksAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	var l LateCopies
	now := time.Now()
	for i := range 1000 {
		l.Observe("store", fmt.Sprint("w", i), false, 1, now.Add(time.Duration(i)*time.Second))
	}
	g.Expect(len(l.links)).To(gomega.BeNumerically("<", 150))
}

// A daemon that was isolated would report what it observed long ago as if it were new.
func TestOldLateCopiesAreNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	var l LateCopies
	now := time.Now()
	l.Observe("store", "w1", true, 1, now)
	l.Told()
	l.Observe("store", "w2", false, 1, now.Add(time.Minute))
	reported := l.Collect(false).([]lateSample)
	g.Expect(reported).To(gomega.HaveLen(1))
	g.Expect(reported[0].To).To(gomega.Equal("w2"))
	// What is discarded while heartbeats are sent must not be discarded a second time.
	l.Observe("store", "w3", false, 1, now.Add(2*time.Minute))
	l.Told()
	g.Expect(l.Collect(false).([]lateSample)).To(gomega.HaveLen(1))
}
