package play

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/embfake/fake"
)

// Figures are what one replay is judged by. Times are in milliseconds.
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
	// RecomputedShare is the prompt tokens that were computed although they
	// had been seen before, over all that had been seen before.
	RecomputedShare float64 `json:"recomputedShare"`
	// RecomputedBound is the share that an all-knowing placement with
	// unlimited room reaches: what was seen before, but is still computed by
	// another request when it comes.
	RecomputedBound float64 `json:"recomputedBound"`
	LinkBytes       int64   `json:"linkBytes"`
	LinkBusyShare   float64 `json:"linkBusyShare"`
	Refused         int     `json:"refused"`
	Late            int     `json:"late"`
	LateShare       float64 `json:"lateShare"`
	Lost            int     `json:"lost"`
	Doubled         int     `json:"doubled"`
	Crossed         int     `json:"crossed"`
	// Failures describe the first of what was lost, doubled or crossed.
	Failures []string `json:"failures,omitempty"`
	// Firsts are all first-token times, for the plot.
	Firsts []float64 `json:"-"`
}

// maxFailures bounds the failures that are described.
const maxFailures = 10

// judge computes the figures from the callers' and targets' records alone.
func judge(r *replay, before, after []fake.StoreCounts, runs map[string]int) *Figures {
	f := &Figures{}
	busy := 0.0
	for i := range after {
		f.LinkBytes += after[i].LinkBytes - before[i].LinkBytes
		busy += after[i].BusySeconds - before[i].BusySeconds
	}
	f.LinkBusyShare = busy / (r.trace.Header.Seconds * float64(len(after)))
	slices.SortStableFunc(r.records, func(a, b record) int { return cmp.Compare(a.sent, b.sent) })
	f.prompts(r)
	f.calls(r, runs)
	return f
}

func (f *Figures) fail(rec *record, why string) {
	if len(f.Failures) < maxFailures {
		f.Failures = append(f.Failures, why+": "+rec.String())
	}
}

// span is when a chain of blocks was first computed: known from a prompt's
// first token on.
type span struct{ sent, known float64 }

func (f *Figures) prompts(r *replay) {
	late := shapes[r.trace.Header.Deployment].lateSeconds
	seen := map[cache.Hash]span{}
	var desk, returns []float64
	var seenTokens, again, bound float64
	timed := 0
	for i := range r.records {
		rec := &r.records[i]
		if rec.event.Kind != Review && rec.event.Kind != Desk {
			continue
		}
		f.Requests++
		known, unready := f.learn(seen, rec)
		if !f.sound(rec) {
			continue
		}
		seenTokens += float64(known)
		bound += float64(unready)
		again += max(0, float64(known-rec.reply.CachedTokens))
		if rec.event.At < r.trace.Header.CountFrom {
			continue
		}
		timed++
		first := milliseconds(rec.reply.First)
		f.Firsts = append(f.Firsts, first)
		if rec.event.Kind == Desk {
			desk = append(desk, first)
		} else if known > 0 {
			returns = append(returns, first)
		}
		if rec.reply.First.Seconds() > late {
			f.Late++
		}
	}
	f.FirstTokenP50, f.FirstTokenP95, f.FirstTokenP99 = percentile(f.Firsts, 50), percentile(f.Firsts, 95), percentile(f.Firsts, 99)
	f.DeskP95, f.ReturnP95 = percentile(desk, 95), percentile(returns, 95)
	f.RecomputedShare, f.RecomputedBound = share(again, seenTokens), share(bound, seenTokens)
	f.LateShare = share(float64(f.Late), float64(timed))
}

// learn returns how many tokens of a prompt had been seen before it was sent,
// and how many of those were not computed yet.
func (f *Figures) learn(seen map[cache.Hash]span, rec *record) (known, unready int) {
	seed := cache.Salt{Organisation: rec.event.Organisation, Model: fake.SiteModel, WeightVersion: rec.version()}.Seed()
	ready := rec.sent + rec.reply.First.Seconds()
	for _, h := range cache.Chain(seed, rec.prompt) {
		if s, ok := seen[h]; ok {
			known += cache.BlockTokens
			if s.known > rec.sent {
				unready += cache.BlockTokens
			}
			continue
		}
		seen[h] = span{rec.sent, ready}
	}
	return known, unready
}

// version returns the weights that an answer came from.
func (rec *record) version() string {
	if rec.reply.Text == fake.ExpectedResponse(fake.SiteModel, swapVersion, rec.prompt, rec.event.Tokens) {
		return swapVersion
	}
	return fake.SiteVersion
}

// sound counts what became of a prompt and reports whether it was answered.
func (f *Figures) sound(rec *record) bool {
	reply := &rec.reply
	switch {
	case reply.Refused != nil && reply.Text == "":
		f.Refused++
		return false
	case reply.Err != nil || !reply.Whole:
		f.Lost++
		f.fail(rec, "lost")
		return false
	case reply.Text != fake.ExpectedResponse(fake.SiteModel, rec.version(), rec.prompt, rec.event.Tokens):
		f.Crossed++
		f.fail(rec, "not the answer of the prompt")
		return false
	}
	return true
}

func (f *Figures) calls(r *replay, runs map[string]int) {
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
			f.Doubled++
			f.fail(rec, fmt.Sprintf("ran %d times", n))
		case reply.Whole && reply.Err == nil && (rec.key == "" || n == 1):
		case reply.Whole:
			f.Crossed++
			f.fail(rec, "answered without a run, or differently")
		case reply.Refused != nil && reply.Refused.Ran == "notRun" && n > 0:
			f.Lost++
			f.fail(rec, "said not run, but ran")
		case reply.Refused != nil:
			f.Refused++
		default:
			f.Lost++
			f.fail(rec, "lost")
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

// percentile returns the value below which p of 100 lie.
func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}

// figure returns a figure by the name that stated outcomes use.
func (f *Figures) figure(name string) (float64, bool) {
	switch name {
	case "lost":
		return float64(f.Lost), true
	case "doubled":
		return float64(f.Doubled), true
	case "crossed":
		return float64(f.Crossed), true
	case "lateShare":
		return f.LateShare, true
	}
	return 0, false
}

// unmet returns the stated outcomes that the figures do not meet.
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
