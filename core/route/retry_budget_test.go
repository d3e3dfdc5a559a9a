package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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
