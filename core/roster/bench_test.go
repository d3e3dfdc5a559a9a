package roster

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// BenchmarkStart adds 3,000 targets, as a daemon does at its start, and lists them once.
func BenchmarkStart(b *testing.B) {
	for range b.N {
		r := New(&event.Log{}, nil)
		for i := range 3000 {
			r.Put(Entry{ID: fmt.Sprintf("w-%04d", i), Service: "llm"})
		}
		if len(r.ByService("llm")) != 3000 {
			b.Fatal("targets are missing")
		}
	}
}

// BenchmarkCollect builds the roster's part of a heartbeat for a daemon that has work at 20 of
// 3,000 targets.
func BenchmarkCollect(b *testing.B) {
	r := New(&event.Log{}, nil)
	for i := range 3000 {
		r.Put(Entry{ID: fmt.Sprintf("w-%04d", i), Service: "llm"})
	}
	for i := range 20 {
		r.Target(fmt.Sprintf("w-%04d", 100*i)).AddLoad(Load{Running: 1})
	}
	for range b.N {
		if body := (HeartbeatPart{r}).Collect(false).(*heartbeatBody); len(body.Loads) != 20 {
			b.Fatal("loads are missing")
		}
	}
}

// BenchmarkAvailability checks the availability of the 110 targets of a cell for one choice; 10 of them
// reported shutting down or pushback.
func BenchmarkAvailability(b *testing.B) {
	r := New(&event.Log{}, nil)
	for i := range 110 {
		id := strconv.Itoa(i)
		r.Put(Entry{ID: id, Service: "s"})
		switch {
		case i < 5:
			r.RecordShutdown(id, ByResponse)
		case i < 10:
			r.RecordRejection(id, Pushback{Duration: time.Minute})
		}
	}
	list := r.ByService("s")
	b.ReportAllocs()
	for b.Loop() {
		availability := r.Availability(time.Now())
		available := 0
		for _, t := range list {
			if reason, _ := availability.Reason(t); reason == Available {
				available++
			}
		}
		if available != 100 {
			b.Fatal(available)
		}
	}
}

// BenchmarkAvailabilityRateLimits does the same with 10 rate-limited targets.
func BenchmarkAvailabilityRateLimits(b *testing.B) {
	r := New(&event.Log{}, nil)
	r.Rank = func(*Target) (int, int) { return 3, 12 }
	for i := range 110 {
		id := strconv.Itoa(i)
		r.Put(Entry{ID: id, Service: "s"})
		if i < 10 {
			r.RecordLimit(id, RateLimit{Stated: true, PerSecond: 0.5}, clock.Now(), true)
		}
	}
	list := r.ByService("s")
	b.ReportAllocs()
	for b.Loop() {
		availability := r.Availability(time.Now())
		for _, t := range list {
			availability.Reason(t)
		}
	}
}
