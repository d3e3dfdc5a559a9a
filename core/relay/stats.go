package relay

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"embertally.dev/core/target"
)

// Stats holds the counters of a relay.
type Stats struct {
	set *metrics.Set
	// Requests counts callers' requests. The others count how they ended: Completed with a complete
	// answer, Refused before a target may have executed them, Failed after that, AnswersTruncated with a
	// truncated answer, and CallersDisconnected with the caller disconnected.
	Requests, Completed, Refused, Failed, AnswersTruncated, CallersDisconnected *metrics.Counter
	// AnswersLeft counts the answers that were not complete when their caller closed its connection, or the sending half
	// of it, though some of them had been passed on.
	AnswersLeft *metrics.Counter
	// Attempts counts the attempts, Retries those that repeat an earlier one, and StreamsResumed
	// broken streams that another attempt may resume. MismatchedResponses counts responses that
	// nothing binds to the request or that contradict themselves, NotExecuted those that report that the request was not executed, and
	// Misdirected those with the status for misdirected requests.
	Attempts, Retries, StreamsResumed, MismatchedResponses, NotExecuted, Misdirected *metrics.Counter
	// UnprovenRejections counts those of MismatchedResponses that say that a request was not executed.
	// PromisesWithheld counts answers with a status that would tell callers the same, which were not passed on.
	UnprovenRejections, PromisesWithheld *metrics.Counter
	// InvalidAttempts counts the attempts that were not sent since they lacked a cache salt or, at engines, a
	// version of the weights, or since the request may run once and an earlier attempt may have run. InvalidPrompts counts requests that were refused since a header about the prompt
	// cannot be parsed or names no model.
	InvalidAttempts, InvalidPrompts *metrics.Counter
	// ReusedIDs counts requests that were refused since they may run once and an earlier one had their attempt ID.
	ReusedIDs *metrics.Counter
	// ReplacedAttempts counts the attempts at targets whose weights are older than desired.
	ReplacedAttempts *metrics.Counter
	// AnswersByFraming counts the responses that ended without an error, by what told their end.
	// StreamsWithoutEvents counts those of them that were streams and had no event.
	AnswersByFraming     map[target.Framing]*metrics.Counter
	StreamsWithoutEvents *metrics.Counter
	// StreamsTakenUp counts the requests by which callers resume a stream, StreamsBound those of them that were bound
	// to the version that began it, StreamsUnknown those refused since it was not known, and StreamsStranded requests
	// that were given up since no target of their stream's version may get them. StreamsMoved counts those that go on at
	// another service, since operators have moved their route, and StreamsAhead those refused since they began by a
	// configuration that this daemon does not have.
	StreamsTakenUp, StreamsBound, StreamsUnknown, StreamsStranded, StreamsMoved, StreamsAhead *metrics.Counter
	// EventsUnordered counts events without an ID, or with one that is not higher than that of the event before.
	EventsUnordered *metrics.Counter
	// FirstSeconds is the time to the first event of a stream, TotalSeconds the time to the end of
	// a complete answer.
	FirstSeconds, TotalSeconds *metrics.Histogram
	// PromptTokens counts the prompt tokens of attempts. Of these, PromptTokensCopied were expected
	// to be copied from a KV-cache store or another worker, and PromptTokensCached to be in the
	// worker's cache.
	PromptTokens, PromptTokensCopied, PromptTokensCached *metrics.Counter
	// LateCopies counts attempts whose copies did not arrive within their time limit.
	LateCopies *metrics.Counter
	// StreamsJudged counts the complete streams whose pauses were compared with the gap objective, and
	// StreamsPaused those of them that exceeded it.
	StreamsJudged, StreamsPaused *metrics.Counter
	// StreamsReserved counts the requests of suffering kinds that went to workers reserved for them,
	// StreamsOverflowed those that went to other workers, and PromptsOnReserved the other requests that
	// went to reserved workers.
	StreamsReserved, StreamsOverflowed, PromptsOnReserved *metrics.Counter
	// Opened counts the connections opened to targets, OpensRefused the attempts to open one that were
	// refused, and OpensUnanswered those that got no answer.
	Opened, OpensRefused, OpensUnanswered *metrics.Counter
	// RepeatedOnConnection counts the attempts on a connection that had carried an attempt with the same ID before.
	RepeatedOnConnection *metrics.Counter
	// ConnectionsPassedOver counts the attempts that were not sent on an idle connection since it had carried one with the same
	// ID, and ConnectionsRetired the connections that were closed since they remember no more attempts.
	ConnectionsPassedOver, ConnectionsRetired *metrics.Counter
	// DetoursOpened counts the connections to targets that were opened through another box, DetoursFailed
	// those that none opened, and DetoursForwarded those opened for other boxes. DetouredAttempts counts
	// the attempts that were answered by way of another box.
	DetoursOpened, DetoursFailed, DetoursForwarded, DetouredAttempts *metrics.Counter
	// ConnectionsBorrowed counts the connections to targets that other boxes lent, and ConnectionsLent those lent to
	// them.
	ConnectionsBorrowed, ConnectionsLent *metrics.Counter
	// SlowOpens counts the attempts that were abandoned because the connection took longer to open
	// than usual, Probes those at a target at which that happened recently. SilentConnections counts
	// the requests that their target did not acknowledge for some time.
	SlowOpens, Probes, SilentConnections *metrics.Counter
	// Hedges counts the attempts that were made while another one had not been answered, and
	// HedgesWon those that were answered first.
	Hedges, HedgesWon *metrics.Counter
	// Disconnects counts the attempts whose connection their target closed, by whether some of the answer had arrived.
	Disconnects map[bool]*metrics.Counter
	// Blocked counts refusals of requests that crash targets.
	Blocked *metrics.Counter
	// ReportedShutdown counts responses in which a target reports that it is shutting down,
	// Pushbacks rejections with a pushback.
	ReportedShutdown, Pushbacks *metrics.Counter
	// ReportedRateLimit counts responses in which a target states a rate limit, RateLimitedAttempts
	// the attempts at targets that have one.
	ReportedRateLimit, RateLimitedAttempts *metrics.Counter
	// ReportedRejectionLimit counts responses in which a target states a limit on rejections.
	ReportedRejectionLimit *metrics.Counter
	// QueueSeconds is the time that requests waited for a target, whether or not they got one.
	// QueueRejected counts the requests that their queue rejected.
	QueueSeconds  *metrics.Histogram
	QueueRejected *metrics.Counter
}

// NewStats returns counters at 0.
func NewStats() *Stats {
	set := metrics.NewSet()
	c := func(name string) *metrics.Counter { return set.NewCounter("embertally_" + name) }
	ended := func(f target.Framing) *metrics.Counter { return c(`answers_ended_total{by="` + f.String() + `"}`) }
	return &Stats{
		set: set, Requests: c("requests_total"), Completed: c("requests_done_total"), Refused: c("requests_refused_total"),
		Failed: c("requests_failed_total"), AnswersTruncated: c("answers_cut_total"), CallersDisconnected: c("callers_gone_total"),
		AnswersLeft: c("answers_left_total"), EventsUnordered: c("stream_events_unordered_total"),
		Attempts: c("sends_total"), Retries: c("sends_repeated_total"), StreamsResumed: c("streams_resumed_total"),
		MismatchedResponses: c("answers_foreign_total"), NotExecuted: c("targets_refused_total"),
		Misdirected: c("targets_moved_total"), UnprovenRejections: c("rejections_unproven_total"),
		PromisesWithheld: c("answers_withheld_total"),
		Disconnects: map[bool]*metrics.Counter{
			false: c(`requests_disconnected_total{answer="none"}`), true: c(`requests_disconnected_total{answer="begun"}`),
		},
		ReusedIDs:        c("requests_reused_id_total"),
		ReplacedAttempts: c("sends_replaced_weights_total"),
		InvalidAttempts:  c("sends_invalid_total"), InvalidPrompts: c("prompts_invalid_total"),
		AnswersByFraming: map[target.Framing]*metrics.Counter{
			target.FramingNone: ended(target.FramingNone), target.FramingLength: ended(target.FramingLength),
			target.FramingChunks: ended(target.FramingChunks), target.FramingConnection: ended(target.FramingConnection),
		},
		StreamsTakenUp: c("streams_taken_up_total"), StreamsBound: c("streams_bound_total"),
		StreamsUnknown: c("streams_origin_unknown_total"), StreamsStranded: c("streams_stranded_total"),
		StreamsMoved: c("streams_moved_total"), StreamsAhead: c("streams_ahead_total"),
		StreamsWithoutEvents: c("streams_without_events_total"),
		FirstSeconds:         set.NewHistogram("embertally_first_seconds"),
		TotalSeconds:         set.NewHistogram("embertally_whole_seconds"),
		PromptTokens:         c("prompt_tokens_total"), PromptTokensCopied: c("prompt_tokens_copied_total"),
		PromptTokensCached: c("prompt_tokens_kept_total"),
		LateCopies:         c("copies_late_total"),
		Opened:             c("target_connections_opened_total"),
		OpensRefused:       c("target_connections_refused_total"),
		OpensUnanswered:    c("target_connections_unanswered_total"), Blocked: c("requests_blocked_total"),
		RepeatedOnConnection:  c("sends_repeated_on_connection_total"),
		ConnectionsPassedOver: c("target_connections_passed_over_total"), ConnectionsRetired: c("target_connections_retired_total"),
		StreamsJudged: c("streams_judged_total"), StreamsPaused: c("streams_paused_total"),
		StreamsReserved: c("streams_reserved_total"), StreamsOverflowed: c("streams_overflowed_total"),
		PromptsOnReserved: c("prompts_on_reserved_total"),
		ReportedShutdown:  c("targets_said_leaving_total"), Pushbacks: c("targets_asked_rest_total"),
		QueueSeconds: set.NewHistogram("embertally_queue_seconds"), QueueRejected: c("queue_rejected_total"),
		DetoursOpened: c("detours_opened_total"), DetoursFailed: c("detours_failed_total"),
		DetoursForwarded: c("detours_forwarded_total"), DetouredAttempts: c("sends_detoured_total"),
		ConnectionsBorrowed: c("connections_borrowed_total"), ConnectionsLent: c("connections_lent_total"),
		SlowOpens: c("target_connections_slow_total"), Probes: c("targets_probed_total"),
		SilentConnections: c("target_connections_silent_total"),
		Hedges:            c("hedges_total"), HedgesWon: c("hedges_won_total"),
		ReportedRejectionLimit: c("targets_said_brittle_total"),
		ReportedRateLimit:      c("targets_named_limit_total"), RateLimitedAttempts: c("sends_limited_total"),
	}
}

// Gauge adds a metric whose value f returns when it is read.
func (s *Stats) Gauge(name string, f func() float64) { s.set.NewGauge("embertally_"+name, f) }

// Write writes all metrics in the Prometheus text format.
func (s *Stats) Write(w io.Writer) { s.set.WritePrometheus(w) }
