package learn

import (
	"bytes"
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// statesLongList reports whether a message may state a list or a map of more elements than it has bytes, which takes their memory
// before they are missed.
func statesLongList(body []byte) bool {
	for _, code := range []byte{0xdd, 0xdf} {
		for rest := body; ; {
			at := bytes.IndexByte(rest, code)
			if at < 0 {
				break
			}
			rest = rest[at+1:]
			if len(rest) >= 4 && int(binary.BigEndian.Uint32(rest)) > len(body) {
				return true
			}
		}
	}
	return false
}

// Guards against estimates that leave their range by what a peer reports.
func FuzzReceive(f *testing.F) {
	nan := float32(math.NaN())
	for i, report := range []any{
		[]depthSample{{Service: "s", Depth: 0.5, Cached: true}, {Service: "s", Depth: nan}, {Service: "s", Depth: -3}},
		linkReport{Copies: []linkCopy{{From: "a", To: "b", Micros: 1500}, {From: "a", To: "b", Micros: math.MaxInt64}}, Samples: []linkSample{{Address: "a", LogSlowdown: 1, Weight: 1}, {Address: "a", LogSlowdown: nan, Weight: nan}}},
		[]lateSample{{From: "a", To: "b", Late: true, Weight: 1}, {From: "a", Weight: nan}},
		[]kindReport{{Service: "s", Route: "r", Requests: 3, Prefill: 1, Tokens: 90, Streams: 1, Seconds: 2}, {Service: "s", Requests: -1}, {Service: "s", Prefill: nan, Tokens: nan}},
		map[string]targetReport{"a": {Times: 2, LogSlowdown: 0.1, Responses: 2, Failures: 1}, "b": {Times: 1, LogSlowdown: nan}},
	} {
		raw, err := msgpack.Marshal(report)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
		f.Add(uint8(i), raw[:len(raw)-1])
	}
	f.Fuzz(func(t *testing.T, part uint8, body []byte) {
		if statesLongList(body) {
			t.Skip()
		}
		now := time.Now()
		share := func(name string, v float64) {
			if !(v >= 0 && v <= 1) {
				t.Fatalf("%q: %s is %v", body, name, v)
			}
		}
		switch part % 5 {
		case 0:
			var r Retention
			r.Receive("peer", body)
			for service := range r.cached {
				for _, depth := range []float64{0, 0.45, 1, 3} {
					share("retention", r.Probability(service, depth, now))
				}
			}
		case 1:
			var l Links
			l.Receive("peer", body)
			for address := range l.links {
				if s := l.State(address, now); !(s.Slowdown >= 1/maxLinkSlowdown && s.Slowdown <= maxLinkSlowdown) || s.Wait < 0 || s.Wait > 2*maxBusy {
					t.Fatalf("%q: %+v", body, s)
				}
			}
		case 2:
			var l LateCopies
			l.Receive("peer", body)
			for from := range l.links {
				for to := range l.links {
					share("late copies", l.Probability(from, to, now))
				}
			}
		case 3:
			var p Pauses
			p.Receive("peer", body)
			for service := range p.services {
				for _, d := range p.Demand(service, now) {
					if !(d.Requests >= 0 && d.Prefill >= 0 && d.Streams >= 0 && d.Tokens >= 0) {
						t.Fatalf("%q: %+v", body, d)
					}
					share("missed", d.Reserved.Missed)
					share("missed", d.Other.Missed)
				}
			}
		case 4:
			var g Targets
			g.Receive("peer", body)
			for id := range g.targets {
				s := g.State(id, "s", now)
				if !(s.Slowdown > 0 && s.Slowdown <= 2*maxTargetSlowdown) {
					t.Fatalf("%q: %+v", body, s)
				}
				share("failures", s.FailureShare)
			}
		}
	})
}
