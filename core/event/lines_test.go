package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestReadLinesReturnsWrittenEvents(t *testing.T) {
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
	timeline := Merge(lists, Filter{Ref: Ref{Request: "r1"}})
	g.Expect(timeline).To(gomega.HaveLen(2))
	g.Expect(timeline[0].Text).To(gomega.Equal("took 3ms"))
	g.Expect(timeline[0].Target).To(gomega.Equal("t"))
	g.Expect(timeline[0].Name).To(gomega.Equal("requestDone"))
}

func TestLineRateIsLimitedByCode(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := &LineLimiter{LinesPerSecond: 2}
	now := time.Unix(100, 0)
	allowed := 0
	for range 50 {
		if ok, _ := limiter.allow(RequestDone, Info, now); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(2))
	urgent := 0
	for range 50 {
		if ok, _ := limiter.allow(StreamBroken, Warning, now); ok {
			urgent++
		}
	}
	g.Expect(urgent).To(gomega.Equal(2 * urgentFactor))
	ok, skipped := limiter.allow(RequestDone, Info, now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(skipped).To(gomega.Equal(48))
	limiter.setRate(0)
	ok, _ = limiter.allow(RequestDone, Info, now)
	g.Expect(ok).To(gomega.BeTrue())
	ok, _ = (*LineLimiter)(nil).allow(RequestDone, Info, now)
	g.Expect(ok).To(gomega.BeTrue())
}

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	n       int
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.n++
	return len(b), nil
}

func TestSpoolDoesNotBlockOnSlowReader(t *testing.T) {
	g := gomega.NewWithT(t)
	writer := &blockedWriter{release: make(chan struct{})}
	spool := NewSpool(writer)
	const lines = 3 * spoolLines
	for range lines {
		n, err := spool.Write([]byte("x\n"))
		g.Expect(n).To(gomega.Equal(2))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(spool.Dropped()).To(gomega.BeNumerically(">=", lines-spoolLines-1))
	close(writer.release)
	spool.Close()
	g.Expect(int64(writer.n) + spool.Dropped()).To(gomega.Equal(int64(lines)))
}
