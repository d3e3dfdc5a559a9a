package route

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRetryBudgetWindowSlides(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := &RetryBudget{RetriesPerRequest: 0.2, ExtraRetries: 1, Window: 10 * time.Second}
	g.Expect(budget.TryRetry(0)).To(gomega.BeTrue())
	g.Expect(budget.TryRetry(0)).To(gomega.BeFalse())
	for range 10 {
		budget.RecordRequest(time.Second)
	}
	g.Expect(budget.TryRetry(time.Second)).To(gomega.BeTrue())
	g.Expect(budget.TryRetry(time.Second)).To(gomega.BeTrue())
	g.Expect(budget.TryRetry(time.Second)).To(gomega.BeFalse())
	g.Expect(budget.TryRetry(13 * time.Second)).To(gomega.BeTrue())
	g.Expect(budget.TryRetry(13 * time.Second)).To(gomega.BeFalse())
	g.Expect((&RetryBudget{ExtraRetries: 9}).TryRetry(0)).To(gomega.BeFalse())
}

// Hedges must leave part of the budget to retries after failures.
func TestRetryBudgetShare(t *testing.T) {
	g := gomega.NewWithT(t)
	b := RetryBudget{ExtraRetries: 10, Window: 10 * time.Second}
	hedges := 0
	for b.TryRetryWithin(0.5, time.Second) {
		hedges++
	}
	g.Expect(hedges).To(gomega.Equal(5))
	g.Expect(b.TryRetry(time.Second)).To(gomega.BeTrue())
	g.Expect(b.TryRetryWithin(0.5, 12*time.Second)).To(gomega.BeTrue())
}

// Whatever the lives of a daemon's processes and the times of its requests, it stays within its part of
// the budget, and within what startupShare adds to that.
func TestProcessesOfADaemonShareItsRetryBudget(t *testing.T) {
	const share, extra, window, length = 0.14, 20.0, 10 * time.Second, 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		times := func(name string, most int) []time.Duration {
			ms := rapid.SliceOfN(rapid.IntRange(0, int(length.Milliseconds())), 0, most).Draw(t, name)
			slices.Sort(ms)
			out := make([]time.Duration, len(ms))
			for i, v := range ms {
				out[i] = time.Duration(v) * time.Millisecond
			}
			return out
		}
		deaths, requests := times("deaths", 12), times("requests", 200)
		// Each request for a retry that is refused is made again at once.
		var failures []time.Duration
		for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
			failures = append(failures, at)
		}
		arrived := requests
		var retries []time.Duration
		start, budget := time.Duration(0), RetryBudget{RetriesPerRequest: share, Window: window}
		for len(requests)+len(failures) > 0 {
			isRequest := len(failures) == 0 || (len(requests) > 0 && requests[0] <= failures[0])
			next := &failures
			if isRequest {
				next = &requests
			}
			now := (*next)[0]
			*next = (*next)[1:]
			for len(deaths) > 0 && deaths[0] <= now {
				start, deaths = deaths[0], deaths[1:]
				budget = RetryBudget{RetriesPerRequest: share, Window: window}
			}
			budget.ExtraRetries = ExtraSinceStart(extra, now-start, window)
			if isRequest {
				budget.RecordRequest(now - start)
			} else if budget.TryRetry(now - start) {
				retries = append(retries, now)
			}
		}
		count := func(times []time.Duration, from, to time.Duration) (n float64) {
			for _, at := range times {
				if from <= at && at < to {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			// A budget's buckets may cover half a second more than its window.
			allowed := (1+startupShare)*extra + share*count(arrived, from-window-window/windowBuckets, from+window)
			if n := count(retries, from, from+window); n > allowed {
				t.Fatalf("%.0f retries within %s of %s, %.1f allowed", n, window, from, allowed)
			}
		}
	})
}
