package event

import (
	"sync"
	"time"
)

// LineLimiter limits the rate of log lines of each event code, so that the size of the log
// stays bounded under load. Warnings and errors have a higher limit. The zero value
// sets no limit.
type LineLimiter struct {
	// LinesPerSecond is the maximum number of lines of one code written per second; 0
	// means no limit. It is set before the first event and guarded by limiterMu
	// afterwards.
	LinesPerSecond int

	limiterMu sync.Mutex
	second    int64        // Unix time that counts refers to; guarded by limiterMu
	counts    map[Code]int // lines of this second, by code; guarded by limiterMu
	// skipped counts the lines omitted since the last one written, by code.
	// Guarded by limiterMu.
	skipped map[Code]int
}

// setRate changes LinesPerSecond; it has no effect on a nil l.
func (l *LineLimiter) setRate(perSecond int) {
	if l == nil {
		return
	}
	l.limiterMu.Lock()
	defer l.limiterMu.Unlock()
	l.LinesPerSecond = perSecond
}

// urgentFactor multiplies LinesPerSecond for warnings and errors.
const urgentFactor = 5

// allow reports whether a line may be written, and how many lines of its code were
// omitted since the last one written.
func (l *LineLimiter) allow(code Code, level Level, now time.Time) (bool, int) {
	if l == nil {
		return true, 0
	}
	l.limiterMu.Lock()
	defer l.limiterMu.Unlock()
	if l.LinesPerSecond == 0 {
		return true, 0
	}
	if second := now.Unix(); second != l.second || l.counts == nil {
		l.second, l.counts = second, map[Code]int{}
	}
	if l.skipped == nil {
		l.skipped = map[Code]int{}
	}
	limit := l.LinesPerSecond
	if level == Warning || level == Error {
		limit *= urgentFactor
	}
	l.counts[code]++
	if l.counts[code] > limit {
		l.skipped[code]++
		return false, 0
	}
	skipped := l.skipped[code]
	l.skipped[code] = 0
	return true, skipped
}
