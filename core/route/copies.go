package route

import "time"

// CopyLimitRequest holds the inputs of CopyLimit.
type CopyLimitRequest struct {
	// Objective is the latency objective, from the start of the request; 0 means none.
	Objective time.Duration
	// Elapsed is the time since the start of the request.
	Elapsed time.Duration
	// Prefill is a time to the first answer that is rarely exceeded if the whole prompt is
	// prefilled.
	Prefill time.Duration
	// Expected is the expected time until the last copy has arrived.
	Expected time.Duration
	// Max is the longest time that a copy may take: its store may free the segment then.
	Max time.Duration
}

// copyLimitFactor is the multiple of its expected time that a copy is always given, since
// expected times are wrong by about a factor of two.
const copyLimitFactor = 2

// CopyLimit returns how long a worker waits for the copies of a request's cached segments
// before it discards them and prefills the prompt. It answers slow links: within the limit,
// the worker can still prefill the prompt and meet the latency objective. A request that
// cannot meet it any more waits for its copies as long as its prefill would take.
func CopyLimit(r CopyLimitRequest) time.Duration {
	limit := r.Max
	if r.Objective > 0 {
		limit = max(r.Objective-r.Elapsed-r.Prefill, r.Prefill, copyLimitFactor*r.Expected)
	}
	return min(limit, r.Max)
}

const (
	// maxLateProbability is the probability of a late copy up to which a source is used by all
	// requests: a copy that is late in one case of three costs its caller more than the prefill
	// that it saves.
	maxLateProbability = 0.35
	// probeShare is the share of the requests that use a source above maxLateProbability, to
	// find out when it has recovered. At ten copies per second from each store, it is probed
	// every second or two.
	probeShare = 0.06
)

// UseCopySource reports whether a request may copy from a source whose copies are late with
// the given probability. random is in [0, 1).
func UseCopySource(late, random float64) bool {
	return late <= maxLateProbability || random < probeShare
}
