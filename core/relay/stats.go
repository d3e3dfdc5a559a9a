package relay

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Stats counts what a relay did.
type Stats struct {
	set                                             *metrics.Set
	Requests, Done, Refused, Failed, Cut, Gone      *metrics.Counter
	Sent, Repeated, Resumed, Foreign, NotRun, Moved *metrics.Counter
	// First is the time to the first event or answer, Whole to the end, in
	// seconds.
	First, Whole *metrics.Histogram
	// Read counts prompt tokens of requests sent, and Copied those of them that
	// a store was named for.
	Read, Copied, Kept *metrics.Counter
	// Opened counts connections to targets.
	Opened *metrics.Counter
	// Blocked counts refusals of requests that targets end of.
	Blocked *metrics.Counter
	// SaidLeaving counts answers in which a target says that it leaves, AskedRest refusals in which
	// one asks for rest.
	SaidLeaving, AskedRest *metrics.Counter
	// NamedLimit counts answers in which a target names a request rate, SentLimited sends to targets
	// that did.
	NamedLimit, SentLimited *metrics.Counter
}

// NewStats returns counts that are 0.
func NewStats() *Stats {
	set := metrics.NewSet()
	c := func(name string) *metrics.Counter { return set.NewCounter("embertally_" + name) }
	return &Stats{
		set: set, Requests: c("requests_total"), Done: c("requests_done_total"), Refused: c("requests_refused_total"),
		Failed: c("requests_failed_total"), Cut: c("answers_cut_total"), Gone: c("callers_gone_total"),
		Sent: c("sends_total"), Repeated: c("sends_repeated_total"), Resumed: c("streams_resumed_total"),
		Foreign: c("answers_foreign_total"), NotRun: c("targets_refused_total"), Moved: c("targets_moved_total"),
		First: set.NewHistogram("embertally_first_seconds"), Whole: set.NewHistogram("embertally_whole_seconds"),
		Read: c("prompt_tokens_total"), Copied: c("prompt_tokens_copied_total"), Kept: c("prompt_tokens_kept_total"),
		Opened: c("target_connections_opened_total"), Blocked: c("requests_blocked_total"),
		SaidLeaving: c("targets_said_leaving_total"), AskedRest: c("targets_asked_rest_total"), NamedLimit: c("targets_named_limit_total"), SentLimited: c("sends_limited_total"),
	}
}

// Gauge adds a figure that f tells when it is asked for.
func (s *Stats) Gauge(name string, f func() float64) { s.set.NewGauge("embertally_"+name, f) }

// Write writes all figures in text form.
func (s *Stats) Write(w io.Writer) { s.set.WritePrometheus(w) }
