package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestLogLinesAreReadBack(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	for _, process := range []string{"a", "b"} {
		l := NewLog(process, &out, FormatJSON, Debug)
		l.Emit(RequestDone, Ref{Request: "r1", Target: "t"}, "took 3ms")
		l.Emit(RequestRefused, Ref{Request: "r2"}, "no")
	}
	text := "  12.5 a " + strings.Replace(out.String(), "\n", "\nnot a line\n{\"other\":1}\n", 1)
	lists, foreign, err := ReadLines(strings.NewReader(text))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(foreign).To(gomega.Equal(2))
	g.Expect(lists).To(gomega.HaveLen(2))
	line := Merge(lists, Filter{Ref: Ref{Request: "r1"}})
	g.Expect(line).To(gomega.HaveLen(2))
	g.Expect(line[0].Text).To(gomega.Equal("took 3ms"))
	g.Expect(line[0].Target).To(gomega.Equal("t"))
	g.Expect(line[0].Name).To(gomega.Equal("requestDone"))
}

func TestLinesOfOneCodeAreBoundedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Pace{PerSecond: 2}
	now := time.Unix(100, 0)
	allowed := 0
	for range 50 {
		if ok, _ := p.allow(RequestDone, Info, now); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(2))
	urgent := 0
	for range 50 {
		if ok, _ := p.allow(StreamBroken, Warning, now); ok {
			urgent++
		}
	}
	g.Expect(urgent).To(gomega.Equal(2 * urgentFactor))
	ok, skipped := p.allow(RequestDone, Info, now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(skipped).To(gomega.Equal(48))
	p.setRate(0)
	ok, _ = p.allow(RequestDone, Info, now)
	g.Expect(ok).To(gomega.BeTrue())
	ok, _ = (*Pace)(nil).allow(RequestDone, Info, now)
	g.Expect(ok).To(gomega.BeTrue())
}

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	n       int
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.n++
	return len(b), nil
}

func TestASlowReaderOfTheLogHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &stuckWriter{release: make(chan struct{})}
	s := NewSpool(w)
	const lines = 3 * spoolLines
	for range lines {
		n, err := s.Write([]byte("x\n"))
		g.Expect(n).To(gomega.Equal(2))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(s.Dropped()).To(gomega.BeNumerically(">=", lines-spoolLines-1))
	close(w.release)
	s.Close()
	g.Expect(int64(w.n) + s.Dropped()).To(gomega.Equal(int64(lines)))
}
