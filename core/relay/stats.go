package relay

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Stats counts what a relay did.
type Stats struct {
	set                                                                            *metrics.Set
	Requests, Done, Refused, Failed, AnswersCut, CallersGone                       *metrics.Counter
	Attempts, Retries, StreamsResumed, MismatchedAnswers, NotExecuted, Misdirected *metrics.Counter
	// First is the time to the first event or answer, Whole to the end, in
	// seconds.
	FirstSeconds, TotalSeconds *metrics.Histogram
	// Read counts prompt tokens of requests sent, and Copied those of them that
	// a store was named for.
	PromptTokens, PromptTokensCopied, PromptTokensCached *metrics.Counter
	// Opened counts connections to targets.
	Opened *metrics.Counter
	// Blocked counts refusals of requests that targets end of.
	Blocked *metrics.Counter
	// SaidLeaving counts answers in which a target says that it leaves, AskedRest refusals in which
	// one asks for rest.
	ReportedShutdown, Pushbacks *metrics.Counter
	// NamedLimit counts answers in which a target names a request rate, SentLimited sends to targets
	// that did.
	ReportedRateLimit, RateLimitedAttempts *metrics.Counter
}

// NewStats returns counts that are 0.
func NewStats() *Stats {
	set := metrics.NewSet()
	c := func(name string) *metrics.Counter { return set.NewCounter("embertally_" + name) }
	return &Stats{
		set: set, Requests: c("requests_total"), Done: c("requests_done_total"), Refused: c("requests_refused_total"),
		Failed: c("requests_failed_total"), AnswersCut: c("answers_cut_total"), CallersGone: c("callers_gone_total"),
		Attempts: c("sends_total"), Retries: c("sends_repeated_total"), StreamsResumed: c("streams_resumed_total"),
		MismatchedAnswers: c("answers_foreign_total"), NotExecuted: c("targets_refused_total"), Misdirected: c("targets_moved_total"),
		FirstSeconds: set.NewHistogram("embertally_first_seconds"), TotalSeconds: set.NewHistogram("embertally_whole_seconds"),
		PromptTokens: c("prompt_tokens_total"), PromptTokensCopied: c("prompt_tokens_copied_total"), PromptTokensCached: c("prompt_tokens_kept_total"),
		Opened: c("target_connections_opened_total"), Blocked: c("requests_blocked_total"),
		ReportedShutdown: c("targets_said_leaving_total"), Pushbacks: c("targets_asked_rest_total"), ReportedRateLimit: c("targets_named_limit_total"), RateLimitedAttempts: c("sends_limited_total"),
	}
}

// Gauge adds a figure that f tells when it is asked for.
func (s *Stats) Gauge(name string, f func() float64) { s.set.NewGauge("embertally_"+name, f) }

// Write writes all figures in text form.
func (s *Stats) Write(w io.Writer) { s.set.WritePrometheus(w) }
