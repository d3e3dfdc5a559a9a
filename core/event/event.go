// Package event owns the numbered events of a process: their catalogue, the
// log lines written from them, the ring buffer that the timeline is read from, and
// the merging of several processes' events into one ordered timeline.
//
// It must not know what an event is about: callers pass identifiers, never
// prompts, responses or keys.
package event

import (
	"io"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"embertally.dev/core/bugs"
)

// Event is one numbered event of one process.
type Event struct {
	// Seq increases by one with each event of a process.
	Seq uint64 `json:"seq"`
	// At is the process's wall clock; it is used only to order the timeline.
	At           time.Time `json:"at"`
	Process      string    `json:"process"`
	Code         Code      `json:"code"`
	Name         string    `json:"name"`
	Level        Level     `json:"level"`
	Text         string    `json:"text,omitempty"`
	Request      string    `json:"request,omitempty"`
	Context      string    `json:"context,omitempty"`
	Organisation string    `json:"organisation,omitempty"`
	Target       string    `json:"target,omitempty"`
	Resource     string    `json:"resource,omitempty"`
	// Forecast is the prediction made for a request; nil for other events.
	Forecast *Forecast `json:"forecast,omitempty"`
}

// Ref identifies what an event is about. Empty fields are omitted.
type Ref struct {
	Request      string
	Context      string
	Organisation string
	Target       string
	Resource     string
}

// ringSize is the number of events kept for the timeline; they take about 1 MB.
const ringSize = 4096

// Log writes events as log lines and keeps the latest events in memory. The zero
// value keeps events and writes no lines.
type Log struct {
	process string
	out     *logrus.Logger
	// limiter limits the rate of log lines; nil means no limit.
	limiter *LineLimiter

	ringMu sync.Mutex
	// ring holds the latest events; the event with sequence s is at index
	// s % ringSize. Guarded by ringMu.
	ring []Event
	// next is the sequence of the next event. Guarded by ringMu.
	next uint64
}

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// NewLog returns a log for the named process that writes lines of at least
// minLevel to w in the given format.
func NewLog(process string, w io.Writer, format Format, minLevel Level) *Log {
	out := logrus.New()
	out.SetOutput(w)
	if format == FormatJSON {
		out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	lvl, err := logrus.ParseLevel(string(minLevel))
	if err != nil {
		lvl = logrus.InfoLevel
	}
	out.SetLevel(lvl)
	return &Log{process: process, out: out}
}

// SetLineLimiter limits the rate of log lines. It must be called before the first event.
func (l *Log) SetLineLimiter(limiter *LineLimiter) { l.limiter = limiter }

// SetLineRate changes how many lines of one code are written per second; 0 means no
// limit.
func (l *Log) SetLineRate(perSecond int) { l.limiter.setRate(perSecond) }

// SetLevel changes the minimum level of the lines that are written.
func (l *Log) SetLevel(minLevel Level) {
	lvl, err := logrus.ParseLevel(string(minLevel))
	if err != nil || l.out == nil {
		return
	}
	l.out.SetLevel(lvl)
}

// Emit records one event.
func (l *Log) Emit(code Code, ref Ref, text string) { l.EmitForecast(code, ref, text, nil) }

// EmitForecast records one event with the prediction made for its request, which may
// be nil.
func (l *Log) EmitForecast(code Code, ref Ref, text string, f *Forecast) {
	entry, ok := byCode[code]
	if !ok {
		bugs.Report("event code %d is not in the catalogue", code)
		return
	}
	ev := Event{
		At: time.Now(), Process: l.process, Code: code, Name: entry.Name, Level: entry.Level,
		Text: text, Request: ref.Request, Context: ref.Context, Organisation: ref.Organisation,
		Target: ref.Target, Resource: ref.Resource, Forecast: f,
	}
	l.record(&ev)
	l.write(&ev)
}

func (l *Log) record(ev *Event) {
	l.ringMu.Lock()
	defer l.ringMu.Unlock()
	ev.Seq = l.next
	l.next++
	if len(l.ring) < ringSize {
		l.ring = append(l.ring, *ev)
		return
	}
	l.ring[ev.Seq%ringSize] = *ev
}

func (l *Log) write(ev *Event) {
	if l.out == nil {
		return
	}
	lvl, err := logrus.ParseLevel(string(ev.Level))
	if err != nil || !l.out.IsLevelEnabled(lvl) {
		return
	}
	allowed, skipped := l.limiter.allow(ev.Code, ev.Level, ev.At)
	if !allowed {
		return
	}
	line := logrus.Fields{"process": ev.Process, "code": int(ev.Code), "event": ev.Name}
	for _, f := range ev.identifiers() {
		if f.value != "" {
			line[f.name] = f.value
		}
	}
	if skipped > 0 {
		line["skipped"] = skipped
	}
	if ev.Forecast != nil {
		line["forecast"] = ev.Forecast
	}
	l.out.WithTime(ev.At).WithFields(line).Log(lvl, ev.Text)
}

type identifier struct{ name, value string }

func (ev *Event) identifiers() []identifier {
	return []identifier{
		{"request", ev.Request},
		{"context", ev.Context},
		{"organisation", ev.Organisation},
		{"target", ev.Target},
		{"resource", ev.Resource},
	}
}

// Since returns the kept events with a sequence of at least from, oldest first and at
// most limit of them.
func (l *Log) Since(from uint64, limit int) []Event {
	l.ringMu.Lock()
	defer l.ringMu.Unlock()
	first := l.next - uint64(len(l.ring))
	if from < first {
		from = first
	}
	var out []Event
	for s := from; s < l.next && len(out) < limit; s++ {
		out = append(out, l.ring[s%ringSize])
	}
	return out
}

// Filter selects events of a timeline. Empty fields select everything.
type Filter struct {
	Ref
	// Code selects the events of one code if it is not zero.
	Code Code
}

// Match reports whether ev is selected.
func (f Filter) Match(ev Event) bool {
	if f.Code != 0 && f.Code != ev.Code {
		return false
	}
	want := (&Event{
		Request: f.Request, Context: f.Context, Organisation: f.Organisation,
		Target: f.Target, Resource: f.Resource,
	}).identifiers()
	for i, have := range ev.identifiers() {
		if want[i].value != "" && want[i].value != have.value {
			return false
		}
	}
	return true
}

// Merge merges lists of events, one for each process, into one timeline of the
// events that f selects. Events of one process keep their order even if its clock
// was set back: such an event gets the time of the one before it.
func Merge(lists [][]Event, f Filter) []Event {
	var out []Event
	for _, list := range lists {
		var last time.Time
		for _, ev := range list {
			if ev.At.Before(last) {
				ev.At = last
			}
			last = ev.At
			if f.Match(ev) {
				out = append(out, ev)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// String returns the code in decimal.
func (c Code) String() string { return strconv.Itoa(int(c)) }
