package play

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/embfake/fake"
)

// demo demonstrates a running site, step by step.
type demo struct {
	site   fake.SiteFile
	caller *Caller
	out    io.Writer
	ctx    context.Context
	key    string
	step   int
	// contract is the long context that all prompts share.
	contract string
}

const (
	demoOrganisation = "org-01"
	demoTimeout      = 2 * time.Minute
	demoTokens       = 24
	demoClauses      = 220
	// evictionDelay exceeds the delay of cache events.
	evictionDelay = time.Second
)

// runDemo runs the demonstration and fails at the first step with an unexpected
// result.
func runDemo(dir string, out io.Writer) error {
	site, err := fake.ReadSite(dir)
	if err != nil {
		return err
	}
	caller, err := NewCaller(site.CA)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demo{site: site, caller: caller, out: out, ctx: ctx, key: site.CallerKeys[demoOrganisation], contract: contract("demo member", demoClauses)}
	for _, step := range []func() error{d.askNewPrompt, d.awaitExport, d.askCachedPrompt, d.askAfterEviction, d.repeatPayment} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// contract returns a long text that depends on its arguments alone.
func contract(member string, clauses int) string {
	var b strings.Builder
	for i := range clauses {
		fmt.Fprintf(&b, "Agreement of %s, clause %d: the member may freeze the agreement for %d weeks a year. ", member, i+1, i%9+1)
	}
	return b.String()
}

func (d *demo) printStep(format string, args ...any) {
	d.step++
	fmt.Fprintf(d.out, "%2d. %s\n", d.step, fmt.Sprintf(format, args...))
}

func (d *demo) box(i int) fake.SiteDaemon { return d.site.Daemons[i%len(d.site.Daemons)] }

// ask sends a prompt through one box and checks the answer.
func (d *demo) ask(box int, question string) (Reply, error) {
	prompt := d.contract + question
	r := d.caller.Prompt(d.ctx, d.box(box).Callers, d.key, fake.SiteDeployment, prompt, demoTokens)
	if r.Err != nil {
		return r, r.Err
	}
	if r.Refusal != nil {
		return r, errors.Errorf("refused: %s: %s", r.Refusal.Code, r.Refusal.Message)
	}
	if want := fake.ExpectedResponse(fake.SiteModel, fake.SiteVersion, prompt, demoTokens); !r.Complete || r.Text != want {
		return r, errors.Errorf("the answer is not complete and correct: %q", r.Text)
	}
	return r, nil
}

// askNewPrompt sends a prompt with a new context.
func (d *demo) askNewPrompt() error {
	r, err := d.ask(0, "May the member cancel now?")
	if err != nil {
		return err
	}
	d.printStep("%s streamed the answer to a new prompt: first token after %v, %d of %d prompt tokens computed",
		d.box(0).Name, r.FirstToken.Round(time.Millisecond), r.PromptTokens-r.CachedTokens, r.PromptTokens)
	return nil
}

// storeCounts returns the sums of the counters of all KV-cache stores.
func (d *demo) storeCounts() (fake.StoreCounts, error) {
	var sum fake.StoreCounts
	for _, s := range d.site.Stores {
		var c fake.StoreCounts
		if err := d.control(http.MethodGet, s.URL+"/counts", &c); err != nil {
			return sum, err
		}
		sum.LinkBytes += c.LinkBytes
		sum.Contexts += c.Contexts
		sum.UsedBlocks += c.UsedBlocks
	}
	return sum, nil
}

// control sends a request to the control API of a fake target.
func (d *demo) control(method, url string, reply any) error {
	req, err := http.NewRequestWithContext(d.ctx, method, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if reply == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(reply))
}

const pollInterval = 50 * time.Millisecond

// awaitExport waits until a context has been exported to a KV-cache store.
func (d *demo) awaitExport() error {
	for {
		c, err := d.storeCounts()
		if err != nil {
			return err
		}
		if c.Contexts > 0 {
			d.printStep("its context was exported to a store: %d blocks, %d bytes over the link", c.UsedBlocks, c.LinkBytes)
			return nil
		}
		select {
		case <-d.ctx.Done():
			return errors.New("no context was exported")
		case <-time.After(pollInterval):
		}
	}
}

// askCachedPrompt repeats the context while a worker has it cached.
func (d *demo) askCachedPrompt() error {
	r, err := d.ask(1, "And next month?")
	if err != nil {
		return err
	}
	d.printStep("the prompt came back through %s while a worker still held it: first token after %v, %d of %d prompt tokens computed",
		d.box(1).Name, r.FirstToken.Round(time.Millisecond), r.PromptTokens-r.CachedTokens, r.PromptTokens)
	return nil
}

// askAfterEviction evicts the blocks of all workers and repeats the context, whose
// blocks must be imported.
func (d *demo) askAfterEviction() error {
	before, err := d.storeCounts()
	if err != nil {
		return err
	}
	for _, e := range d.site.Engines {
		if err := d.control(http.MethodPost, e.URL+"/evict", nil); err != nil {
			return err
		}
	}
	d.printStep("the blocks were pushed out of the memory of all workers; a gap passes")
	time.Sleep(evictionDelay)
	r, err := d.ask(2, "And after the freeze?")
	if err != nil {
		return err
	}
	after, err := d.storeCounts()
	if err != nil {
		return err
	}
	if r.CachedTokens < r.PromptTokens/2 {
		return errors.Errorf("only %d of %d prompt tokens were not computed", r.CachedTokens, r.PromptTokens)
	}
	d.printStep("the prompt came back through %s and its blocks were imported: first token after %v, %d of %d prompt tokens computed, %d bytes over the link",
		d.box(2).Name, r.FirstToken.Round(time.Millisecond), r.PromptTokens-r.CachedTokens, r.PromptTokens, after.LinkBytes-before.LinkBytes)
	return nil
}

// executions returns how often the targets executed the call with a key.
func (d *demo) executions(key string) (int, error) {
	n := 0
	for _, s := range d.site.Services {
		var list []fake.ServiceExecution
		if err := d.control(http.MethodGet, s.URL+"/runs", &list); err != nil {
			return 0, err
		}
		for _, r := range list {
			if r.Key == key {
				n++
			}
		}
	}
	return n, nil
}

// repeatPayment sends a call with one idempotency key through two boxes; it must be
// executed once.
func (d *demo) repeatPayment() error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.WithStack(err)
	}
	body := []byte(`{"account":"1042","cents":4900}`)
	path := "/services/" + fake.SiteService + "/renewals"
	var replies []Reply
	for box := range 2 {
		r := d.callUntilSettled(box, path, id.String(), body)
		if r.Err != nil {
			return r.Err
		}
		if r.Refusal != nil {
			return errors.Errorf("refused: %s: %s", r.Refusal.Code, r.Refusal.Message)
		}
		replies = append(replies, r)
	}
	n, err := d.executions(id.String())
	if err != nil {
		return err
	}
	if n != 1 || string(replies[0].Body) != string(replies[1].Body) {
		return errors.Errorf("the payment ran %d times", n)
	}
	d.printStep("a renewal with a key ran in %v through %s; sent again through %s it got the same answer (replayed: %v); runs at the targets: %d",
		replies[0].Elapsed.Round(time.Millisecond), d.box(0).Name, d.box(1).Name, replies[1].Replayed, n)
	return nil
}

// callUntilSettled retries a call until its outcome is recorded.
func (d *demo) callUntilSettled(box int, path, key string, body []byte) Reply {
	for {
		r := d.caller.Call(d.ctx, d.box(box).Callers, d.key, http.MethodPost, path, key, body)
		if r.Refusal == nil || r.Refusal.RetryAfterMillis == 0 || d.ctx.Err() != nil {
			return r
		}
		time.Sleep(pollInterval)
	}
}
