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
