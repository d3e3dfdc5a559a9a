package route

import (
	"math"
	"time"

	"embertally.dev/core/learn"
)

// CostModel is the cost model: the utility of answers and the cost of serving them. One
// unit is the utility of the answer to a plain call within its latency objective.
type CostModel struct {
	// UtilityPerToken is the utility that each token of a prompt adds to its answer.
	UtilityPerToken float64
	// PastObjectiveShare is the share of its utility that an answer past its latency objective
	// retains.
	PastObjectiveShare float64
	// RecomputePerToken is the cost of prefilling a token that some worker has prefilled recently.
	RecomputePerToken float64
	// CopyPerToken is the cost of copying a token of cached context to a worker.
	CopyPerToken float64
	// OldWeightsPenalty is the share of its utility that an answer computed with replaced weights
	// loses.
	OldWeightsPenalty float64
	// NewConnectionCost is the cost of opening a connection to a target.
	NewConnectionCost float64
	// CrossDomainPerMiB is the cost of sending a megabyte (1 << 20 bytes) between failure domains.
	CrossDomainPerMiB float64
	// DelayPenalty is the share of its utility that an answer loses for each multiple of the
	// latency objective that it takes, also within the objective.
	DelayPenalty float64
}

// Utility returns the utility of an answer within its latency objective to a prompt of
// some tokens; plain calls have 0 tokens.
func (m *CostModel) Utility(tokens int) float64 { return 1 + m.UtilityPerToken*float64(tokens) }

// PickRequest describes a request to Pick.
type PickRequest struct {
	// Tokens is the length of the prompt in tokens; 0 for plain calls.
	Tokens int
	// Bytes is the size of the request in bytes.
	Bytes int
	// Objective is the latency objective, from the start of the request; 0 means none.
	Objective time.Duration
	// Elapsed is the time elapsed since the start of the request, and Remaining the
	// time until its deadline.
	Elapsed, Remaining time.Duration
	// UtilityRate is the utility per second of the requests that arrive at one target of
	// the service. They wait longer when the target gets more work.
	UtilityRate float64
}

// Candidate describes one target that a request may be sent to.
type Candidate struct {
	// Running is the number of requests that are in flight to the target or run there.
	Running int
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// QueuedTokens is the number of prompt tokens that the target prefills before those of
	// a new request.
	QueuedTokens int
	// OccupiedTokens is the number of context tokens that the running requests occupy.
	OccupiedTokens int
	// MemoryTokens is the number of context tokens that fit into the target's memory; 0 for
	// plain services.
	MemoryTokens int
	// CachedTokens is the number of tokens of the request's prompt that the target is expected
	// to have cached.
	CachedTokens int
	// CopiedTokens is the number of further tokens that can be copied to the target.
	CopiedTokens int
	// CopyTime is the time that the copy takes.
	CopyTime time.Duration
	// RecomputedTokens is the number of tokens that the target would prefill although some worker
	// has prefilled them recently.
	RecomputedTokens int
	// OldWeights reports that the target has older weights than the desired ones.
	OldWeights bool
	// CrossDomain reports that the target is in another failure domain.
	CrossDomain bool
	// NoConnection reports that no connection to the target is open.
	NoConnection bool
	// Lapsed reports that the target's registration has lapsed, so that it may have
	// been removed.
	Lapsed bool
	// FailureShare is the share of the target's responses that are failures, 0 to 1.
	FailureShare float64
	// Slowdown is the target's time to the first answer divided by that
	// expected of its service. Above 1 the target is slower.
	Slowdown float64
	// KeptGap is the probability that the pauses of the request's stream stay within its gap
	// objective at the target; 0 means unknown.
	KeptGap float64
	// PauseLoss is the utility that other streams lose by each second of prefill at the target, since it
	// pauses them. It decides where the request is served, not whether.
	PauseLoss float64
}

// Factors returns the inputs of the time to the first answer at a candidate.
func (c *Candidate) Factors(req *PickRequest) learn.Factors {
	slots := float64(max(1, c.Slots))
	f := learn.Factors{
		OwnTokens: max(0, req.Tokens-c.CachedTokens-c.CopiedTokens), QueuedTokens: c.QueuedTokens,
		Utilisation: min(1, float64(c.Running)/slots), QueuedPerSlot: max(0, float64(c.Running+1)/slots-1),
	}
	if c.MemoryTokens > 0 {
		f.MemoryPressure = memoryPressure(c, req.Tokens)
	}
	return f
}

// Bounds of memoryPressure.
const (
	// minMemorySlots and maxMemorySlots bound the number of requests that are assumed
	// to fit into a memory: with more, the pressure rises later and more steeply.
	minMemorySlots = 2
	maxMemorySlots = 32
	// maxMemoryPressure bounds the result.
	maxMemoryPressure = 2
)

// memoryPressure returns the probability that a target's memory is full when a
// request's turn comes; above 1 the requests do not fit. As in a queue with n servers
// of utilisation u, it grows with u to the power of n. The memory is divided into
// slots of the size of the requests that occupy it.
func memoryPressure(c *Candidate, tokens int) float64 {
	if c.OccupiedTokens <= 0 {
		return 0
	}
	size := max(float64(tokens), float64(c.OccupiedTokens)/float64(max(1, c.Running)))
	memory := float64(c.MemoryTokens)
	slots := min(max(memory/max(size, 1), minMemorySlots), maxMemorySlots)
	utilisation := (float64(c.OccupiedTokens) + float64(tokens)/2) / memory
	return min(math.Pow(utilisation, slots), maxMemoryPressure)
}

// Evaluation is the evaluation of a candidate for a request.
type Evaluation struct {
	// Expected is the expected time to the first answer.
	Expected time.Duration
	// WithinObjective is the probability of an answer within the latency objective, and
	// BeforeDeadline that of an answer before the deadline. Both ignore the target's failures.
	WithinObjective, BeforeDeadline float64
	// CallerUtility is the utility to callers: that of this request's answer, less what other
	// requests lose by waiting for it and by the eviction of their cached segments. The
	// request is worth serving at the candidate only if CallerUtility is above 0.
	CallerUtility float64
	// NetUtility is CallerUtility less the cost of serving the request at the candidate and what the
	// streams that run there lose by its prefill.
	NetUtility float64
}

// maxPausing is the prefill time, in seconds, that is charged for the pauses of other streams at most: a
// longer prefill does not pause a stream of half a second more.
const maxPausing = 0.4

// Evaluate estimates the time and the utility of serving a request at a candidate.
func Evaluate(req *PickRequest, c *Candidate, e *learn.Estimate, m *CostModel) Evaluation {
	f := c.Factors(req)
	queueing, service := e.Components(f)
	slowdown := max(c.Slowdown, 0)
	if slowdown == 0 {
		slowdown = 1
	}
	wait := time.Duration(slowdown * float64(queueing))
	work := time.Duration(slowdown * float64(service))
	ev := Evaluation{Expected: max(wait, c.CopyTime) + work, WithinObjective: 1}
	expected := max(ev.Expected, time.Microsecond).Seconds()
	if req.Objective > 0 {
		ev.WithinObjective = e.Probability((req.Objective - req.Elapsed).Seconds() / expected)
	}
	ev.BeforeDeadline = max(ev.WithinObjective, e.Probability(req.Remaining.Seconds()/expected))
	onTime := ev.WithinObjective
	if c.KeptGap > 0 {
		onTime *= c.KeptGap
	}
	utility := m.Utility(req.Tokens)
	ev.CallerUtility = utility * (1 - c.FailureShare) * (m.PastObjectiveShare*ev.BeforeDeadline + (1-m.PastObjectiveShare)*onTime)
	// Tokens that do not fit into memory evict cached segments of later requests.
	ev.CallerUtility -= m.RecomputePerToken * f.MemoryPressure * float64(req.Tokens)
	if req.Objective > 0 {
		// Other requests wait for its work as well, as long as there is a queue.
		ev.CallerUtility -= req.UtilityRate * (1 - m.PastObjectiveShare) * work.Seconds() * wait.Seconds() / req.Objective.Seconds()
	}
	ev.NetUtility = ev.CallerUtility - servingCost(req, c, m, utility)
	if c.PauseLoss > 0 {
		ev.NetUtility -= c.PauseLoss * min(slowdown*e.PrefillTime(f.OwnTokens).Seconds(), maxPausing)
	}
	if req.Objective > 0 {
		ev.NetUtility -= utility * m.DelayPenalty * expected / req.Objective.Seconds()
	}
	return ev
}

// headBytes is the approximate size of the headers of a request and its response.
const headBytes = 1500

// bytesPerMiB converts sizes in bytes to the unit of CostModel.CrossDomainPerMiB.
const bytesPerMiB = 1 << 20

// servingCost returns the cost of serving a request at a candidate that does not
// depend on its load.
func servingCost(req *PickRequest, c *Candidate, m *CostModel, utility float64) float64 {
	cost := m.RecomputePerToken*float64(c.RecomputedTokens) + m.CopyPerToken*float64(c.CopiedTokens)
	if c.OldWeights {
		cost += m.OldWeightsPenalty * utility
	}
	if c.CrossDomain {
		cost += m.CrossDomainPerMiB * float64(req.Bytes+headBytes) / bytesPerMiB
	}
	if c.NoConnection {
		cost += m.NewConnectionCost
	}
	if c.Lapsed {
		// A target that may have been removed is the last choice.
		cost += utility
	}
	return cost
}
