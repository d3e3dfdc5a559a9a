package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAllowanceWindowSlides(t *testing.T) {
	g := gomega.NewWithT(t)
	a := &Allowance{Share: 0.2, Extra: 1, Window: 10 * time.Second}
	g.Expect(a.Spend(0)).To(gomega.BeTrue())
	g.Expect(a.Spend(0)).To(gomega.BeFalse())
	for range 10 {
		a.Earn(time.Second)
	}
	g.Expect(a.Spend(time.Second)).To(gomega.BeTrue())
	g.Expect(a.Spend(time.Second)).To(gomega.BeTrue())
	g.Expect(a.Spend(time.Second)).To(gomega.BeFalse())
	g.Expect(a.Spend(13 * time.Second)).To(gomega.BeTrue())
	g.Expect(a.Spend(13 * time.Second)).To(gomega.BeFalse())
	g.Expect((&Allowance{Extra: 9}).Spend(0)).To(gomega.BeFalse())
}
