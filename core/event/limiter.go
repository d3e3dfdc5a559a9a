package event

import (
	"sync"
	"time"
)

// LineLimiter limits the rate of log lines of each event code, so that the size of the log
// stays bounded under load. Warnings and errors have a higher limit. The zero value
// sets no limit.
type LineLimiter struct {
	// LinesPerSecond is how many lines of one code are written per second; 0 means no
	// limit. It is set before the first event and guarded by limiterMu afterwards.
	LinesPerSecond int

	limiterMu sync.Mutex
	second    int64        // Unix time that counts refers to; guarded by limiterMu
	counts    map[Code]int // lines of this second, by code; guarded by limiterMu
	// skipped counts the lines omitted since the last one written, by code.
	// Guarded by limiterMu.
	skipped map[Code]int
}

// setRate changes PerSecond; it has no effect on a nil p.
func (p *LineLimiter) setRate(perSecond int) {
	if p == nil {
		return
	}
	p.limiterMu.Lock()
	defer p.limiterMu.Unlock()
	p.LinesPerSecond = perSecond
}

// urgentFactor multiplies PerSecond for warnings and errors.
const urgentFactor = 5

// allow reports whether a line may be written, and how many lines of its code were
// omitted since the last one written.
func (p *LineLimiter) allow(code Code, level Level, now time.Time) (bool, int) {
	if p == nil {
		return true, 0
	}
	p.limiterMu.Lock()
	defer p.limiterMu.Unlock()
	if p.LinesPerSecond == 0 {
		return true, 0
	}
	if second := now.Unix(); second != p.second || p.counts == nil {
		p.second, p.counts = second, map[Code]int{}
	}
	if p.skipped == nil {
		p.skipped = map[Code]int{}
	}
	limit := p.LinesPerSecond
	if level == Warning || level == Error {
		limit *= urgentFactor
	}
	p.counts[code]++
	if p.counts[code] > limit {
		p.skipped[code]++
		return false, 0
	}
	skipped := p.skipped[code]
	p.skipped[code] = 0
	return true, skipped
}
