package prove

import (
	"fmt"
	"strings"
	"sync"

	"embertally.dev/core/cache"
	"embertally.dev/embfake/fake"
)

// promiseCount is the number of promises that are tested.
const promiseCount = 9

// verdict collects the checks of one promise and the faults injected meanwhile.
type verdict struct {
	verdictMu sync.Mutex
	checks    int      // guarded by verdictMu
	faults    int      // guarded by verdictMu
	failures  []string // guarded by verdictMu
}

// check counts a check, and records its failure unless ok.
func (v *verdict) check(ok bool, format string, args ...any) {
	v.verdictMu.Lock()
	defer v.verdictMu.Unlock()
	v.checks++
	if !ok {
		v.failures = append(v.failures, fmt.Sprintf(format, args...))
	}
}

func (v *verdict) countFault() {
	v.verdictMu.Lock()
	defer v.verdictMu.Unlock()
	v.faults++
}

// verdicts has the verdict of each promise by its number; 0 is not used.
type verdicts [promiseCount + 1]verdict

// countFaultForAll counts an injected fault for every promise.
func (vs *verdicts) countFaultForAll() {
	for i := range vs {
		vs[i].countFault()
	}
}

// evaluate checks the records of the callers and targets.
func (vs *verdicts) evaluate(r *testbed, l *load) {
	for _, e := range r.site.Engines {
		for _, run := range e.Executions() {
			vs[1].check(!run.Corrupted, "engine answered %s with a block that was freed, partly written or of another prompt", run.Request)
		}
	}
	for _, a := range l.prompts {
		vs.checkPrompt(a)
	}
	vs.checkIsolation(r, l)
	runs := r.executionsByMark()
	for _, c := range l.calls {
		vs.checkCall(c, runs[c.mark])
	}
}

func (vs *verdicts) checkPrompt(a *promptRecord) {
	r := &a.reply
	switch {
	case r.Complete:
		vs[1].check(a.version() != "", "prompt got an answer that no weight version gives: %q", r.Text)
		vs[3].check(a.version() != "", "prompt got an answer of mixed weights: %q", r.Text)
		vs[4].check(a.version() != "", "answer %s is not that of its prompt", r.Request)
	case r.Refusal != nil && r.Text == "":
		// Prompts are idempotent: a refused one may have been computed and discarded,
		// but not reported as executed.
		vs[5].check(r.Refusal.Ran != "ran", "refused prompt %s was reported as executed", r.Request)
	case r.Refusal != nil:
		vs[4].check(isAnswerPrefix(a), "interrupted answer %s is not a prefix of the correct one", r.Request)
	case r.Err != nil:
		// The connection broke, as when a daemon crashes: the caller sees an error.
		vs[4].check(r.Text == "" || isAnswerPrefix(a), "cut answer %s is not a prefix of the correct one", r.Request)
	default:
		vs[4].check(false, "answer %s ended early without an error: %d bytes, status %d", r.Request, len(r.Text), r.Status)
	}
}

// isAnswerPrefix reports whether the text received is a prefix of the correct answer.
func isAnswerPrefix(a *promptRecord) bool {
	for _, v := range []string{"v1", "v2", "v3", "v4"} {
		if strings.HasPrefix(fake.ExpectedResponse(fake.SiteModel, v, a.prompt, a.tokens), a.reply.Text) {
			return true
		}
	}
	return false
}

// checkIsolation checks that blocks are not shared between organisations or between
// weight versions: every execution has the cache salt of its caller's organisation
// and its weights, and the first execution of a text under a salt at any engine has
// none of it cached.
func (vs *verdicts) checkIsolation(r *testbed, l *load) {
	byRequest := map[string]*promptRecord{}
	for _, a := range l.prompts {
		if a.reply.Request != "" {
			byRequest[a.reply.Request] = a
		}
	}
	first := map[string]fake.EngineExecution{}
	for _, e := range r.site.Engines {
		for _, run := range e.Executions() {
			if a := byRequest[run.Request[:strings.LastIndex(run.Request, "-")]]; a != nil {
				salt := cache.Salt{Organisation: a.organisation, Model: fake.SiteModel, WeightVersion: run.Version}
				vs[2].check(run.Salt == salt.Seed().String(), "execution %s of %s has another cache salt", run.Request, a.organisation)
				vs[3].check(run.Salt == salt.Seed().String(), "execution %s under %s has another cache salt", run.Request, run.Version)
			}
			key := run.Salt + run.PromptStart
			if f, ok := first[key]; !ok || run.Started.Before(f.Started) {
				first[key] = run
			}
		}
	}
	for _, run := range first {
		vs[2].check(run.CachedTokens < cache.BlockTokens, "first execution %s under a cache salt had %d tokens cached", run.Request, run.CachedTokens)
		vs[3].check(run.CachedTokens < cache.BlockTokens, "first execution %s under a cache salt had %d tokens cached", run.Request, run.CachedTokens)
	}
}

func (vs *verdicts) checkCall(c *callRecord, runs []fake.ServiceExecution) {
	vs[6].check(len(runs) <= 1, "call %s was executed %d times in %d attempts", c.mark, len(runs), len(c.attempts))
	for _, run := range runs {
		vs[2].check(run.Organisation == c.organisation, "call of %s reached a target as %s", c.organisation, run.Organisation)
	}
	for _, t := range c.attempts {
		switch {
		case t.Complete:
			vs[4].check(len(runs) >= 1 && strings.Contains(string(t.Body), c.mark), "call %s was answered %s with %d executions", c.mark, t.Body, len(runs))
		case t.Refusal != nil && t.Refusal.Ran == "notRun":
			vs[5].check(len(runs) == 0 || executedByLaterAttempt(c, runs), "call %s was refused with %s as not executed, and was executed", c.mark, t.Refusal.Code)
		case t.Refusal != nil && t.Refusal.Ran == "ran":
			vs[5].check(len(runs) == 1, "call %s was refused as executed, and was executed %d times", c.mark, len(runs))
		}
	}
}

// executedByLaterAttempt reports whether the target executed only attempts that
// followed the one refused as not executed.
func executedByLaterAttempt(c *callRecord, runs []fake.ServiceExecution) bool {
	for i, t := range c.attempts {
		if t.Refusal == nil || t.Refusal.Ran != "notRun" {
			continue
		}
		for _, run := range runs {
			if run.Request == t.Request {
				return false
			}
			for _, before := range c.attempts[:i] {
				if before.Request == run.Request {
					return false
				}
			}
		}
	}
	return true
}

// report prints the verdict of each promise, or of one if only is not 0, and returns
// how many are broken.
func (vs *verdicts) report(only int) (broken int) {
	const maxListed = 5
	held := 0
	for n := 1; n <= promiseCount; n++ {
		if only != 0 && n != only {
			continue
		}
		v := &vs[n]
		state := "held"
		if len(v.failures) > 0 || v.checks == 0 {
			state = "broken"
			broken++
		} else {
			held++
		}
		fmt.Printf("promise %d: %s (%d checks, %d faults)\n", n, state, v.checks, v.faults)
		if v.checks == 0 {
			fmt.Println("    nothing was checked")
		}
		for _, b := range v.failures[:min(maxListed, len(v.failures))] {
			fmt.Println("   ", b)
		}
	}
	fmt.Printf("%d held, %d broken\n", held, broken)
	return broken
}
