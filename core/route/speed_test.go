package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestSpeedIsLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Speed
	g.Expect(s.Time(55000)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	s.Sample(100, time.Second) // too short to tell
	for range 200 {
		s.Sample(16000, FirstTime+100*time.Millisecond)
	}
	g.Expect(s.Time(16000)).To(gomega.BeNumerically("~", 100*time.Millisecond, 2*time.Millisecond))
	for range 200 {
		s.Sample(1<<20, FirstTime+time.Millisecond)
	}
	g.Expect(s.Time(speedMost)).To(gomega.BeNumerically(">=", 990*time.Millisecond))
}
