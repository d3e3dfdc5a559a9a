package play

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
)

func TestSameSeedGivesSameTrace(t *testing.T) {
	for _, deployment := range []string{fake.Abonamente, fake.Cascade} {
		t.Run(deployment, func(t *testing.T) {
			g := gomega.NewWithT(t)
			write := func(seed uint64) string {
				tr, err := NewTrace(deployment, seed, 10*time.Second, true)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				var b bytes.Buffer
				g.Expect(tr.Write(&b)).To(gomega.Succeed())
				return b.String()
			}
			text := write(7)
			g.Expect(write(7)).To(gomega.Equal(text))
			g.Expect(write(8)).NotTo(gomega.Equal(text))
			back, err := ReadTrace(strings.NewReader(text))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var b bytes.Buffer
			g.Expect(back.Write(&b)).To(gomega.Succeed())
			g.Expect(b.String()).To(gomega.Equal(text))
			kinds := map[EventKind]int{}
			for _, e := range back.Events {
				kinds[e.Kind]++
				g.Expect(e.At).To(gomega.BeNumerically("<", 10))
			}
			for _, k := range []EventKind{Review, Desk, Pay, Look, WeightUpdate, StoreRestart, LinkSlow, WorkerLeaves, BoxKilled} {
				g.Expect(kinds[k]).To(gomega.BeNumerically(">", 0), string(k))
			}
		})
	}
	_, err := NewTrace("elsewhere", 1, time.Second, false)
	gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
}

func TestInvalidTracesAreRejected(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", "", "header"},
		{"unknown field", `{"deployment":"abonamente","moon":1}`, "moon"},
		{"broken line", `{"deployment":"abonamente"}` + "\n{\"at\":\n", "line 2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(tc.text))
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(tc.want)))
		})
	}
}

func TestKeysContainTheTimeOfTheReplay(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(1_790_000_000_123)
	a := (&Event{Key: "0123456789abcdef"}).idempotency(now)
	b := (&Event{Key: "0123456789abcdee"}).idempotency(now)
	u, err := uuid.Parse(a)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(int(u.Version())).To(gomega.Equal(7))
	g.Expect(a).To(gomega.HavePrefix(b[:13]), "the same time")
	other := (&Event{Key: "1123456789abcdef"}).idempotency(now)
	g.Expect(other).NotTo(gomega.Equal(a))
}

// answered returns a record with the complete and correct answer.
func answered(e Event, sent float64, cached int) record {
	rec := record{event: e, sent: sent, prompt: e.prompt()}
	rec.reply = Reply{
		Complete: true, Text: fake.ExpectedResponse(fake.SiteModel, fake.SiteVersion, rec.prompt, e.Tokens),
		FirstToken: 100 * time.Millisecond, CachedTokens: cached,
	}
	return rec
}

func TestEvaluate(t *testing.T) {
	review := Event{At: 20, Kind: Review, Organisation: "org-01", Context: 1, Clauses: 100, Tokens: 4}
	pay := Event{At: 20, Kind: Pay, Organisation: "org-01", Key: "k"}
	paid := func(key string) record {
		return record{event: pay, key: key, reply: Reply{Complete: true, Body: []byte("{}")}}
	}
	tests := []struct {
		name    string
		records []record
		runs    map[string]int
		figure  func(f *Figures) float64
		want    float64
	}{
		{"answered", []record{answered(review, 1, 0)}, nil, func(f *Figures) float64 { return float64(f.Lost + f.Mismatched) }, 0},
		{"everything recomputed", []record{answered(review, 1, 0), answered(review, 5, 0)}, nil, func(f *Figures) float64 { return f.RecomputedShare }, 1},
		{"nothing recomputed", []record{answered(review, 1, 0), answered(review, 5, 1<<20)}, nil, func(f *Figures) float64 { return f.RecomputedShare }, 0},
		{"answer of another prompt", []record{func() record { r := answered(review, 1, 0); r.reply.Text = "other"; return r }()}, nil, func(f *Figures) float64 { return float64(f.Mismatched) }, 1},
		{"incomplete answer", []record{func() record { r := answered(review, 1, 0); r.reply.Complete = false; return r }()}, nil, func(f *Figures) float64 { return float64(f.Lost) }, 1},
		{"answer past its objective", []record{func() record { r := answered(review, 1, 0); r.reply.FirstToken = time.Minute; return r }()}, nil, func(f *Figures) float64 { return float64(f.PastObjective) }, 1},
		{"refused", []record{{event: review, prompt: "x", reply: Reply{Refusal: &Refusal{Code: "queueFull", Ran: "notRun"}}}}, nil, func(f *Figures) float64 { return float64(f.Refused) }, 1},
		{"paid once", []record{paid("a")}, map[string]int{"a": 1}, func(f *Figures) float64 { return float64(f.Duplicated + f.Mismatched + f.Lost) }, 0},
		{"paid twice", []record{paid("a")}, map[string]int{"a": 2}, func(f *Figures) float64 { return float64(f.Duplicated) }, 1},
		{"paid without an execution", []record{paid("a")}, nil, func(f *Figures) float64 { return float64(f.Mismatched) }, 1},
		{"refused as not executed, but executed", []record{{event: pay, key: "a", reply: Reply{Refusal: &Refusal{Ran: "notRun"}}}}, map[string]int{"a": 1}, func(f *Figures) float64 { return float64(f.Lost) }, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := &replay{trace: &Trace{Header: Header{Deployment: fake.Abonamente, Seconds: 30, CountFrom: 10}}, records: tc.records}
			f := evaluate(r, make([]fake.StoreCounts, 1), make([]fake.StoreCounts, 1), tc.runs)
			gomega.NewWithT(t).Expect(tc.figure(f)).To(gomega.Equal(tc.want))
		})
	}
}

func TestUnmetOutcomesAreDescribed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Figures{Lost: 2, PastObjectiveShare: 0.01}
	list := []Outcome{{"lost", 0}, {"lateShare", 0.05}, {"doubled", 0}, {"colour", 1}}
	g.Expect(f.unmet(list)).To(gomega.Equal([]string{"lost is 2, stated at most 0", "colour is 0, stated at most 1"}))
}
