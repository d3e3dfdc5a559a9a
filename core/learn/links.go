package learn

import (
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Links learns how long copies of kept context take over the links of stores and
// workers, which carry one copy after the other: how much slower than configured
// each link is, and how much work is queued at it. The zero value knows nothing.
//
// Lock order: linksMu is taken alone.
type Links struct {
	linksMu sync.Mutex
	ends    map[string]*linkEnd // by address; guarded by linksMu
	// untold are the copies and samples that peers have not been told; the first
	// ones, as many as collected says, are being told. Guarded by linksMu.
	untold    linkNews
	collected struct{ copies, samples int }
	// rejected counts what peers told that could not be true. Guarded by linksMu.
	rejected int
}

// linkEnd is the link of one store or worker.
type linkEnd struct {
	// slow averages the logarithm of the time of copies over that configured.
	slow Mean
	// busy is until when the copies known are expected to keep the link busy.
	busy time.Time
}

// linkNews is a part of a heartbeat.
type linkNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Copies   []linkCopy
	Samples  []linkSample
}

// linkCopy is one copy that was begun.
type linkCopy struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	From, To string
	Micros   int64
}

// linkSample is what one copy told of a link.
type linkSample struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Address  string
	Log      float32
	Weight   float32
}

const (
	// slowLife is the time after which a sample of a link counts half: trouble at
	// links begins and ends within seconds, and a link that is avoided must be
	// tried again.
	slowLife = 1500 * time.Millisecond
	// slowWeight is how many samples the configured rate counts for, and
	// slowSamples how many samples count at most, so that a link that is slow no
	// more is soon found out.
	slowWeight  = 0.5
	slowSamples = 6
	// slowMost bounds what one sample says, as a factor either way.
	slowMost = 16
	// busyMost bounds how far ahead a link is taken to be busy.
	busyMost = 5 * time.Second
	// newsMost bounds the copies, and the samples, of one heartbeat.
	newsMost = 200
)

// LinkState is what is known of a link.
type LinkState struct {
	// Slow is the time of copies over that configured.
	Slow float64
	// Wait is how long a new copy waits for those before it.
	Wait time.Duration
}

// State returns what is known of the link at an address.
func (l *Links) State(address string, now time.Time) LinkState {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	e := l.ends[address]
	if e == nil {
		return LinkState{Slow: 1}
	}
	return LinkState{
		Slow: math.Exp(e.slow.Value(0, slowWeight, now, slowLife)),
		Wait: max(0, e.busy.Sub(now)),
	}
}

// Begin records a copy between two links that takes some time once it has its
// turn.
func (l *Links) Begin(from, to string, took time.Duration, now time.Time) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	l.begin(from, to, took, now)
	if len(l.untold.Copies) < newsMost {
		l.untold.Copies = append(l.untold.Copies, linkCopy{From: from, To: to, Micros: took.Microseconds()})
	}
}

// begin is called with linksMu held.
func (l *Links) begin(from, to string, took time.Duration, now time.Time) {
	for _, address := range [...]string{from, to} {
		e := l.end(address)
		if e.busy.Before(now) {
			e.busy = now
		}
		e.busy = e.busy.Add(took)
		if most := now.Add(busyMost); e.busy.After(most) {
			e.busy = most
		}
	}
}

// end returns the link at an address. It is called with linksMu held.
func (l *Links) end(address string) *linkEnd {
	if l.ends == nil {
		l.ends = map[string]*linkEnd{}
	}
	e := l.ends[address]
	if e == nil {
		e = &linkEnd{}
		l.ends[address] = e
	}
	return e
}

// Sample records that a copy took some times as long as was expected with what
// was known. What it says of the two links is shared out in proportion to what is
// not known of either: weight is how much the observation says at all, 0 to 1.
func (l *Links) Sample(from, to string, ratio, weight float64, now time.Time) {
	if !(ratio > 0) || !finite(ratio) {
		return
	}
	off := math.Log(min(max(ratio, 1.0/slowMost), slowMost))
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for _, s := range [...]linkSample{
		{Address: from, Log: float32(l.logSlow(from, now) + off*fromShare), Weight: float32(weight)},
		{Address: to, Log: float32(l.logSlow(to, now) + off*(1-fromShare)), Weight: float32(weight)},
	} {
		l.sample(s, now)
		if len(l.untold.Samples) < newsMost {
			l.untold.Samples = append(l.untold.Samples, s)
		}
	}
}

// fromShare is the part of an unexpected time that is laid to the link which the
// copy comes from: stores are few and used by all, so that they are the likelier
// to be slow.
const fromShare = 0.75

// logSlow is called with linksMu held.
func (l *Links) logSlow(address string, now time.Time) float64 {
	return l.end(address).slow.Value(0, slowWeight, now, slowLife)
}

// sample is called with linksMu held.
func (l *Links) sample(s linkSample, now time.Time) {
	most := math.Log(slowMost)
	if !finite(float64(s.Log)) || s.Weight < 0 || s.Weight > 1 {
		l.rejected++
		return
	}
	e := l.end(s.Address)
	e.slow.Add(min(max(float64(s.Log), -most), most), float64(s.Weight), now, slowLife)
	e.slow.bound(slowSamples)
}

// Rejected returns how much of what peers told could not be true.
func (l *Links) Rejected() int {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	return l.rejected
}

// Collect returns what peers have not been told yet.
func (l *Links) Collect(bool) any {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	l.collected.copies, l.collected.samples = len(l.untold.Copies), len(l.untold.Samples)
	if l.collected.copies == 0 && l.collected.samples == 0 {
		return nil
	}
	news := l.untold
	return &news
}

// Told forgets what a round of heartbeats has told.
func (l *Links) Told() {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	l.untold.Copies = l.untold.Copies[l.collected.copies:]
	l.untold.Samples = l.untold.Samples[l.collected.samples:]
	l.collected.copies, l.collected.samples = 0, 0
}

// Receive takes what a peer tells.
func (l *Links) Receive(_ string, raw []byte) {
	var news linkNews
	if err := msgpack.Unmarshal(raw, &news); err != nil {
		// A peer of another version; what it tells is not used.
		return
	}
	now := time.Now()
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for _, c := range news.Copies {
		took := time.Duration(c.Micros) * time.Microsecond
		if took < 0 || took > busyMost {
			l.rejected++
			continue
		}
		l.begin(c.From, c.To, took, now)
	}
	for _, s := range news.Samples {
		l.sample(s, now)
	}
}
