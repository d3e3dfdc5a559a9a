package event

import (
	"sync"
	"time"
)

// Pace bounds the lines of each code that are written in a second, so that the
// log stays bounded under load. Warnings and errors are the last to go. The
// zero value bounds nothing.
type Pace struct {
	// PerSecond is how many lines of one code are written in a second; 0 bounds
	// nothing. Set before the first event, afterwards guarded by paceMu.
	PerSecond int

	paceMu sync.Mutex
	second int64        // guarded by paceMu
	counts map[Code]int // lines of this second; guarded by paceMu
	// skipped counts the lines left out since the last one written, by code.
	// Guarded by paceMu.
	skipped map[Code]int
}

// setRate changes how many lines are written; a nil pace bounds nothing.
func (p *Pace) setRate(perSecond int) {
	if p == nil {
		return
	}
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	p.PerSecond = perSecond
}

// urgentFactor is how many times more warnings and errors are written.
const urgentFactor = 5

// allow reports whether a line may be written, and how many of its code were
// left out before it.
func (p *Pace) allow(code Code, level Level, now time.Time) (bool, int) {
	if p == nil {
		return true, 0
	}
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	if p.PerSecond == 0 {
		return true, 0
	}
	if s := now.Unix(); s != p.second || p.counts == nil {
		p.second, p.counts = s, map[Code]int{}
	}
	if p.skipped == nil {
		p.skipped = map[Code]int{}
	}
	most := p.PerSecond
	if level == Warning || level == Error {
		most *= urgentFactor
	}
	p.counts[code]++
	if p.counts[code] > most {
		p.skipped[code]++
		return false, 0
	}
	skipped := p.skipped[code]
	p.skipped[code] = 0
	return true, skipped
}
