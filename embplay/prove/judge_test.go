package prove

import (
	"fmt"
	"strings"
	"sync"

	"embertally.dev/core/cache"
	"embertally.dev/embfake/fake"
)

// promises is how many promises the brief has.
const promises = 9

// verdict is what was found about one promise.
type verdict struct {
	verdictMu sync.Mutex
	checks    int      // guarded by verdictMu
	faults    int      // guarded by verdictMu
	broken    []string // guarded by verdictMu
}

func (v *verdict) check(ok bool, format string, args ...any) {
	v.verdictMu.Lock()
	defer v.verdictMu.Unlock()
	v.checks++
	if !ok {
		v.broken = append(v.broken, fmt.Sprintf(format, args...))
	}
}

func (v *verdict) fault() {
	v.verdictMu.Lock()
	defer v.verdictMu.Unlock()
	v.faults++
}

// verdicts are those of all promises; number 0 is not used.
type verdicts [promises + 1]verdict

// faultAll counts a fault for every promise that the general load judges.
func (vs *verdicts) faultAll() {
	for i := range vs {
		vs[i].fault()
	}
}

// judge judges what the callers and targets wrote down.
func (vs *verdicts) judge(r *rig, l *load) {
	for _, e := range r.site.Engines {
		for _, run := range e.Runs() {
			vs[1].check(!run.Spoiled, "engine answered %s with a block that was freed, partly written or foreign", run.Request)
		}
	}
	for _, a := range l.asks {
		vs.judgePrompt(a)
	}
	vs.judgeSharing(r, l)
	runs := r.runsByMark()
	for _, c := range l.calls {
		vs.judgeCall(c, runs[c.mark])
	}
}

func (vs *verdicts) judgePrompt(a *asked) {
	r := &a.reply
	switch {
	case r.Complete:
		vs[1].check(a.version() != "", "prompt got an answer that no weights give: %q", r.Text)
		vs[3].check(a.version() != "", "prompt got an answer of mixed weights: %q", r.Text)
		vs[4].check(a.version() != "", "answer %s is not that of its prompt", r.Request)
	case r.Refusal != nil && r.Text == "":
		// A prompt may be repeated, so a refused one was thrown away.
		vs[5].check(r.Refusal.Ran != "ran", "refused prompt %s says that it ran", r.Request)
	case r.Refusal != nil:
		vs[4].check(prefixOfAnswer(a), "broken answer %s is not the beginning of the right one", r.Request)
	case r.Err != nil:
		// The connection broke, as when a daemon dies: the caller knows.
		vs[4].check(r.Text == "" || prefixOfAnswer(a), "cut answer %s is not the beginning of the right one", r.Request)
	default:
		vs[4].check(false, "answer %s ended short without an error: %d bytes, status %d", r.Request, len(r.Text), r.Status)
	}
}

func prefixOfAnswer(a *asked) bool {
	for _, v := range []string{"v1", "v2", "v3", "v4"} {
		if strings.HasPrefix(fake.Answer(fake.SiteModel, v, a.prompt, a.tokens), a.reply.Text) {
			return true
		}
	}
	return false
}

// judgeSharing judges that no organisation gains from another's blocks, and no
// weights from others': every run bears the salt of its caller's organisation
// and of its own weights, and the first run at any engine under a salt has
// nothing of its text cached.
func (vs *verdicts) judgeSharing(r *rig, l *load) {
	byRequest := map[string]*asked{}
	for _, a := range l.asks {
		if a.reply.Request != "" {
			byRequest[a.reply.Request] = a
		}
	}
	first := map[string]fake.EngineRun{}
	for _, e := range r.site.Engines {
		for _, run := range e.Runs() {
			if a := byRequest[run.Request[:strings.LastIndex(run.Request, "-")]]; a != nil {
				salt := cache.Salt{Organisation: a.organisation, Model: fake.SiteModel, WeightVersion: run.Version}
				vs[2].check(run.Salt == salt.Seed().String(), "run %s of %s bears another salt", run.Request, a.organisation)
				vs[3].check(run.Salt == salt.Seed().String(), "run %s under %s bears another salt", run.Request, run.Version)
			}
			key := run.Salt + run.Head
			if f, ok := first[key]; !ok || run.Began.Before(f.Began) {
				first[key] = run
			}
		}
	}
	for _, run := range first {
		vs[2].check(run.Cached < cache.BlockTokens, "first run %s under a salt had %d tokens cached", run.Request, run.Cached)
		vs[3].check(run.Cached < cache.BlockTokens, "first run %s under a salt had %d tokens cached", run.Request, run.Cached)
	}
}

func (vs *verdicts) judgeCall(c *called, runs []fake.ServiceRun) {
	vs[6].check(len(runs) <= 1, "call %s ran %d times in %d tries", c.mark, len(runs), len(c.tries))
	for _, run := range runs {
		vs[2].check(run.Organisation == c.organisation, "call of %s reached a target as %s", c.organisation, run.Organisation)
	}
	for _, t := range c.tries {
		switch {
		case t.Complete:
			vs[4].check(len(runs) >= 1 && strings.Contains(string(t.Body), c.mark), "call %s was answered %s with %d runs", c.mark, t.Body, len(runs))
		case t.Refusal != nil && t.Refusal.Ran == "notRun":
			vs[5].check(len(runs) == 0 || laterTry(c, runs), "call %s was told %s not run, and ran", c.mark, t.Refusal.Code)
		case t.Refusal != nil && t.Refusal.Ran == "ran":
			vs[5].check(len(runs) == 1, "call %s was told that it ran, and ran %d times", c.mark, len(runs))
		}
	}
}

// laterTry reports whether the run belongs to a try after one that was told
// not run: the request that the target saw was answered later.
func laterTry(c *called, runs []fake.ServiceRun) bool {
	for i, t := range c.tries {
		if t.Refusal == nil || t.Refusal.Ran != "notRun" {
			continue
		}
		for _, run := range runs {
			if run.Request == t.Request {
				return false
			}
			for _, before := range c.tries[:i] {
				if before.Request == run.Request {
					return false
				}
			}
		}
	}
	return true
}

// report prints one line for each promise and returns how many are broken.
func (vs *verdicts) report(only int) (broken int) {
	const most = 5
	held := 0
	for n := 1; n <= promises; n++ {
		if only != 0 && n != only {
			continue
		}
		v := &vs[n]
		state := "held"
		if len(v.broken) > 0 || v.checks == 0 {
			state = "broken"
			broken++
		} else {
			held++
		}
		fmt.Printf("promise %d: %s (%d checks, %d faults)\n", n, state, v.checks, v.faults)
		if v.checks == 0 {
			fmt.Println("    nothing was checked")
		}
		for _, b := range v.broken[:min(most, len(v.broken))] {
			fmt.Println("   ", b)
		}
	}
	fmt.Printf("%d held, %d broken\n", held, broken)
	return broken
}
