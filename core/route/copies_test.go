package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"embertally.dev/core/learn"
)

func TestCopyLimit(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		in   CopyLimitRequest
		want time.Duration
	}{
		{"the prefill still meets the objective", CopyLimitRequest{Objective: 400 * ms, Elapsed: 20 * ms, Prefill: 60 * ms, Expected: 25 * ms, Max: 1200 * ms}, 320 * ms},
		{"a request that waited before", CopyLimitRequest{Objective: 400 * ms, Elapsed: 200 * ms, Prefill: 60 * ms, Expected: 25 * ms, Max: 1200 * ms}, 140 * ms},
		{"too late in any case: as long as a prefill", CopyLimitRequest{Objective: 400 * ms, Elapsed: 500 * ms, Prefill: 60 * ms, Expected: 25 * ms, Max: 1200 * ms}, 60 * ms},
		{"a long copy", CopyLimitRequest{Objective: 400 * ms, Prefill: 350 * ms, Expected: 250 * ms, Max: 1200 * ms}, 500 * ms},
		{"the store's limit", CopyLimitRequest{Objective: 5000 * ms, Prefill: 60 * ms, Expected: 25 * ms, Max: 1200 * ms}, 1200 * ms},
		{"no objective", CopyLimitRequest{Prefill: 60 * ms, Expected: 25 * ms, Max: 1200 * ms}, 1200 * ms},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(CopyLimit(tc.in)).To(gomega.Equal(tc.want))
		})
	}
}

// A copy that outlives the store's limit could read a segment that was freed since.
func TestCopyLimitNeverExceedsTheStoresLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		r := CopyLimitRequest{Objective: draw("objective"), Elapsed: draw("elapsed"), Prefill: draw("prefill"), Expected: draw("expected"), Max: draw("max")}
		if limit := CopyLimit(r); limit < 0 || limit > r.Max {
			t.Fatalf("limit %v of at most %v", limit, r.Max)
		}
	})
}

// A link that delivers a quarter of what it usually does makes all its copies late. Without a limit
// of their own each request waits for the store's limit and misses its objective.
func TestSlowLinkCostsFewRequestsTheirObjective(t *testing.T) {
	const (
		objective, prefill = 400 * time.Millisecond, 60 * time.Millisecond
		interval           = 25 * time.Millisecond
		slowFrom, slowTo   = 2 * time.Second, 7 * time.Second
		end                = 12 * time.Second
	)
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	var late learn.LateCopies
	start := time.Now()
	var linkFree time.Duration // when the link has finished all copies
	lateAnswers, copiedAtEnd, requests := 0, 0, 0
	type outcome struct {
		at   time.Duration
		late bool
	}
	var pending []outcome
	for at := time.Duration(0); at < end; at += interval {
		requests++
		for len(pending) > 0 && pending[0].at <= at {
			late.Observe("store", "worker", pending[0].late, 0.9, start.Add(pending[0].at))
			pending = pending[1:]
		}
		answered := at + prefill
		if UseCopySource(late.Probability("store", "worker", start.Add(at)), random.Float64()) {
			copyTime := 20 * time.Millisecond
			if at >= slowFrom && at < slowTo {
				copyTime *= 4
			}
			limit := CopyLimit(CopyLimitRequest{Objective: objective, Prefill: prefill, Expected: 20 * time.Millisecond, Max: 1200 * time.Millisecond})
			linkFree = max(linkFree, at) + copyTime
			isLate := linkFree-at > limit
			answered = min(linkFree, at+limit)
			if isLate {
				// The worker prefills the prompt, and the link skips what nobody waits for.
				answered += prefill
				linkFree -= copyTime
			} else if at > slowTo+3*time.Second {
				copiedAtEnd++
			}
			pending = append(pending, outcome{answered, isLate})
		}
		if answered-at > objective {
			lateAnswers++
		}
	}
	g.Expect(float64(lateAnswers)/float64(requests)).To(gomega.BeNumerically("<", 0.01), "late answers")
	g.Expect(copiedAtEnd).To(gomega.BeNumerically(">", 40), "copies once the link has recovered")
}
