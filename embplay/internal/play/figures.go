package play

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/embfake/fake"
)

// Figures are the results of one replay. Times are in milliseconds.
type Figures struct {
	Placement     string  `json:"placement"`
	Requests      int     `json:"requests"`
	FirstTokenP50 float64 `json:"firstTokenP50"`
	FirstTokenP95 float64 `json:"firstTokenP95"`
	FirstTokenP99 float64 `json:"firstTokenP99"`
	// DeskP95 is the first-token time of short questions alone, and
	// ReturnP95 that of long prompts that were seen before.
	DeskP95   float64 `json:"deskP95"`
	ReturnP95 float64 `json:"returnP95"`
	// RecomputedShare is the share of prompt tokens seen before that were
	// nevertheless computed again.
	RecomputedShare float64 `json:"recomputedShare"`
	// RecomputedBound is the lowest share that any placement can reach, even
	// with unlimited capacity: the tokens seen before that another request was
	// still computing when the prompt was sent.
	RecomputedBound float64 `json:"recomputedBound"`
	LinkBytes       int64   `json:"linkBytes"`
	LinkBusyShare   float64 `json:"linkBusyShare"`
	Refused         int     `json:"refused"`
	// PastObjective counts first tokens after the latency objective;
	// PastObjectiveShare is over all requests from CountFrom on.
	PastObjective      int     `json:"late"`
	PastObjectiveShare float64 `json:"lateShare"`
	// Lost counts requests without a complete answer or refusal, and calls that
	// were refused as not executed and were. Duplicated counts calls executed more
	// than once. Mismatched counts wrong answers: to another request, without an
	// execution, or different for a repeated call.
	Lost       int `json:"lost"`
	Duplicated int `json:"doubled"`
	Mismatched int `json:"crossed"`
	// Failures describe the first maxFailures of the requests that count in
	// Lost, Duplicated or Mismatched.
	Failures []string `json:"failures,omitempty"`
	// FirstTokens are all first-token times, for the plot.
	FirstTokens []float64 `json:"-"`
}

// maxFailures bounds the failures that are described.
const maxFailures = 10

// evaluate computes the figures from the callers' and targets' records alone;
// runs has the number of executions of each idempotency key.
func evaluate(r *replay, before, after []fake.StoreCounts, runs map[string]int) *Figures {
	f := &Figures{}
	busy := 0.0
	for i := range after {
		f.LinkBytes += after[i].LinkBytes - before[i].LinkBytes
		busy += after[i].BusySeconds - before[i].BusySeconds
	}
	f.LinkBusyShare = busy / (r.trace.Header.Seconds * float64(len(after)))
	slices.SortStableFunc(r.records, func(a, b record) int { return cmp.Compare(a.sent, b.sent) })
	f.addPrompts(r)
	f.addCalls(r, runs)
	return f
}

func (f *Figures) addFailure(rec *record, reason string) {
	if len(f.Failures) < maxFailures {
		f.Failures = append(f.Failures, reason+": "+rec.String())
	}
}

// firstSeen is the prompt that first contained a block: the times, in seconds of
// the trace, when it was sent and when its first token showed the block computed.
type firstSeen struct{ sent, ready float64 }

// addPrompts adds the figures of all prompts.
func (f *Figures) addPrompts(r *replay) {
	objective := loadProfiles[r.trace.Header.Deployment].objectiveSeconds
	seen := map[cache.Hash]firstSeen{}
	var desk, returns []float64
	var seenTokens, recomputed, bound float64
	timed := 0
	for i := range r.records {
		rec := &r.records[i]
		if rec.event.Kind != Review && rec.event.Kind != Desk {
			continue
		}
		f.Requests++
		seenCount, notReady := f.countSeen(seen, rec)
		if !f.checkAnswer(rec) {
			continue
		}
		seenTokens += float64(seenCount)
		bound += float64(notReady)
		recomputed += max(0, float64(seenCount-rec.reply.CachedTokens))
		if rec.event.At < r.trace.Header.CountFrom {
			continue
		}
		timed++
		first := milliseconds(rec.reply.FirstToken)
		f.FirstTokens = append(f.FirstTokens, first)
		if rec.event.Kind == Desk {
			desk = append(desk, first)
		} else if seenCount > 0 {
			returns = append(returns, first)
		}
		if rec.reply.FirstToken.Seconds() > objective {
			f.PastObjective++
		}
	}
	f.FirstTokenP50, f.FirstTokenP95, f.FirstTokenP99 = percentile(f.FirstTokens, 50), percentile(f.FirstTokens, 95), percentile(f.FirstTokens, 99)
	f.DeskP95, f.ReturnP95 = percentile(desk, 95), percentile(returns, 95)
	f.RecomputedShare, f.RecomputedBound = share(recomputed, seenTokens), share(bound, seenTokens)
	f.PastObjectiveShare = share(float64(f.PastObjective), float64(timed))
}

// countSeen returns how many tokens of a prompt had been in earlier prompts, and
// how many of those were not computed yet when it was sent.
func (f *Figures) countSeen(seen map[cache.Hash]firstSeen, rec *record) (seenCount, notReady int) {
	seed := cache.Salt{Organisation: rec.event.Organisation, Model: fake.SiteModel, WeightVersion: rec.version()}.Seed()
	ready := rec.sent + rec.reply.FirstToken.Seconds()
	for _, h := range cache.Chain(seed, rec.prompt) {
		if s, ok := seen[h]; ok {
			seenCount += cache.BlockTokens
			if s.ready > rec.sent {
				notReady += cache.BlockTokens
			}
			continue
		}
		seen[h] = firstSeen{rec.sent, ready}
	}
	return seenCount, notReady
}

// version returns the version of the weights that gave an answer.
func (rec *record) version() string {
	if rec.reply.Text == fake.ExpectedResponse(fake.SiteModel, updatedVersion, rec.prompt, rec.event.Tokens) {
		return updatedVersion
	}
	return fake.SiteVersion
}

// checkAnswer counts a refused or failed prompt and reports whether it was
// answered correctly.
func (f *Figures) checkAnswer(rec *record) bool {
	reply := &rec.reply
	switch {
	case reply.Refusal != nil && reply.Text == "":
		f.Refused++
		return false
	case reply.Err != nil || !reply.Complete:
		f.Lost++
		f.addFailure(rec, "lost")
		return false
	case reply.Text != fake.ExpectedResponse(fake.SiteModel, rec.version(), rec.prompt, rec.event.Tokens):
		f.Mismatched++
		f.addFailure(rec, "not the answer of the prompt")
		return false
	}
	return true
}

// addCalls adds the figures of all calls of plain services; runs has the number of
// executions of each idempotency key.
func (f *Figures) addCalls(r *replay, runs map[string]int) {
	for i := range r.records {
		rec := &r.records[i]
		if rec.event.Kind != Pay && rec.event.Kind != Look {
			continue
		}
		f.Requests++
		n := runs[rec.key]
		reply := &rec.reply
		switch {
		case rec.key != "" && n > 1:
			f.Duplicated++
			f.addFailure(rec, fmt.Sprintf("ran %d times", n))
		case reply.Complete && reply.Err == nil && (rec.key == "" || n == 1):
		case reply.Complete:
			f.Mismatched++
			f.addFailure(rec, "answered without a run, or differently")
		case reply.Refusal != nil && reply.Refusal.Ran == "notRun" && n > 0:
			f.Lost++
			f.addFailure(rec, "said not run, but ran")
		case reply.Refusal != nil:
			f.Refused++
		default:
			f.Lost++
			f.addFailure(rec, "lost")
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// percentile returns the p-th percentile, or 0 for an empty list.
func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}

// figure returns a figure by its name in an Outcome.
func (f *Figures) figure(name string) (float64, bool) {
	switch name {
	case "lost":
		return float64(f.Lost), true
	case "doubled":
		return float64(f.Duplicated), true
	case "crossed":
		return float64(f.Mismatched), true
	case "lateShare":
		return f.PastObjectiveShare, true
	}
	return 0, false
}

// unmet describes the expected outcomes that the figures do not meet.
func (f *Figures) unmet(list []Outcome) []string {
	var out []string
	for _, o := range list {
		v, ok := f.figure(o.Figure)
		if !ok || v > o.AtMost {
			out = append(out, fmt.Sprintf("%s is %g, stated at most %g", o.Figure, v, o.AtMost))
		}
	}
	return out
}
