package home

import (
	"bytes"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// A report with an age below 0 or over the bounds of durations was from a time to come, so that no later one replaced it.
func TestReportOfAWorkerIsNotFromATimeToCome(t *testing.T) {
	for _, age := range []int{-3_600_000, math.MaxInt64 / 3} {
		t.Run(strconv.Itoa(age), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var l loads
			for _, report := range []workerLoad{{Worker: "w", Running: 1, AgeMillis: age, Weights: []string{"m@1"}}, {Worker: "w", Running: 2, Weights: []string{"m@1"}}} {
				raw, err := msgpack.Marshal([]workerLoad{report})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				l.Receive("peer", raw)
			}
			g.Expect(l.reports["w"].Running).To(gomega.Equal(2))
		})
	}
}

// Guards against reports of workers that are more than a peer sent, or from a time to come.
func FuzzReceiveLoads(f *testing.F) {
	for _, w := range []workerLoad{
		{Worker: "w", Queued: []int{7, 0}, Running: 1, Free: 3, Total: 9, Speed: 100, Weights: []string{"m@1"}, AgeMillis: 20, Incarnation: "i"},
		{Worker: "", Queued: []int{-1}, Weights: []string{}, AgeMillis: math.MaxInt},
		{Worker: "x", AgeMillis: math.MinInt, Weights: []string{""}},
	} {
		raw, err := msgpack.Marshal([]workerLoad{w, w})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)-2])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if bytes.IndexByte(body, 0xdd) >= 0 || bytes.IndexByte(body, 0xdf) >= 0 {
			t.Skip("it may state a list longer than itself, which takes the memory of the list")
		}
		var l loads
		l.Receive("peer", body)
		if len(l.reports) > len(body) {
			t.Fatalf("%d reports from %d bytes", len(l.reports), len(body))
		}
		for name, r := range l.reports {
			if r.Worker != name || r.Weights == nil || r.takenAt.After(time.Now()) {
				t.Fatalf("%q: %+v", name, r)
			}
		}
	})
}
