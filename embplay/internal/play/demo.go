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

// demo shows the main job on a running site, step by step.
type demo struct {
	site   fake.SiteFile
	caller *Caller
	out    io.Writer
	ctx    context.Context
	key    string
	step   int
	// contract is the long prompt that returns.
	contract string
}

const (
	demoOrganisation = "org-01"
	demoLimit        = 2 * time.Minute
	demoTokens       = 24
	demoClauses      = 220
	// demoGap is longer than cache events are late.
	demoGap = time.Second
)

// runDemo shows the main job and fails where a step does not give what it
// should.
func runDemo(dir string, out io.Writer) error {
	site, err := fake.ReadSite(dir)
	if err != nil {
		return err
	}
	caller, err := NewCaller(site.CA)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	d := &demo{site: site, caller: caller, out: out, ctx: ctx, key: site.CallerKeys[demoOrganisation], contract: contract("demo member", demoClauses)}
	for _, step := range []func() error{d.first, d.exported, d.back, d.pushedOut, d.payment} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// contract returns a long text that is the same for the same member.
func contract(member string, clauses int) string {
	var b strings.Builder
	for i := range clauses {
		fmt.Fprintf(&b, "Agreement of %s, clause %d: the member may freeze the agreement for %d weeks a year. ", member, i+1, i%9+1)
	}
	return b.String()
}

func (d *demo) say(format string, args ...any) {
	d.step++
	fmt.Fprintf(d.out, "%2d. %s\n", d.step, fmt.Sprintf(format, args...))
}

func (d *demo) box(i int) fake.SiteDaemon { return d.site.Daemons[i%len(d.site.Daemons)] }

// ask prompts through one box and checks the answer.
func (d *demo) ask(box int, question string) (Reply, error) {
	prompt := d.contract + question
	r := d.caller.Prompt(d.ctx, d.box(box).Callers, d.key, fake.SiteDeployment, prompt, demoTokens)
	if r.Err != nil {
		return r, r.Err
	}
	if r.Refused != nil {
		return r, errors.Errorf("refused: %s: %s", r.Refused.Code, r.Refused.Message)
	}
	if want := fake.ExpectedResponse(fake.SiteModel, fake.SiteVersion, prompt, demoTokens); !r.Whole || r.Text != want {
		return r, errors.Errorf("the answer is not the whole and right one: %q", r.Text)
	}
	return r, nil
}

func (d *demo) first() error {
	r, err := d.ask(0, "May the member cancel now?")
	if err != nil {
		return err
	}
	d.say("%s streamed the answer to a new prompt: first token after %v, %d of %d prompt tokens computed",
		d.box(0).Name, r.First.Round(time.Millisecond), r.PromptTokens-r.CachedTokens, r.PromptTokens)
	return nil
}

// counts adds up what the stores hold and moved.
func (d *demo) counts() (fake.StoreCounts, error) {
	var sum fake.StoreCounts
	for _, s := range d.site.Stores {
		var c fake.StoreCounts
		if err := d.fake(http.MethodGet, s.URL+"/counts", &c); err != nil {
			return sum, err
		}
		sum.LinkBytes += c.LinkBytes
		sum.Contexts += c.Contexts
		sum.UsedBlocks += c.UsedBlocks
	}
	return sum, nil
}

// fake uses a switch of a stand-in.
func (d *demo) fake(method, url string, reply any) error {
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

const lookPause = 50 * time.Millisecond

func (d *demo) exported() error {
	for {
		c, err := d.counts()
		if err != nil {
			return err
		}
		if c.Contexts > 0 {
			d.say("its context was exported to a store: %d blocks, %d bytes over the link", c.UsedBlocks, c.LinkBytes)
			return nil
		}
		select {
		case <-d.ctx.Done():
			return errors.New("no context was exported")
		case <-time.After(lookPause):
		}
	}
}

func (d *demo) back() error {
	r, err := d.ask(1, "And next month?")
	if err != nil {
		return err
	}
	d.say("the prompt came back through %s while a worker still held it: first token after %v, %d of %d prompt tokens computed",
		d.box(1).Name, r.First.Round(time.Millisecond), r.PromptTokens-r.CachedTokens, r.PromptTokens)
	return nil
}

func (d *demo) pushedOut() error {
	before, err := d.counts()
	if err != nil {
		return err
	}
	for _, e := range d.site.Engines {
		if err := d.fake(http.MethodPost, e.URL+"/evict", nil); err != nil {
			return err
		}
	}
	d.say("the blocks were pushed out of the memory of all workers; a gap passes")
	time.Sleep(demoGap)
	r, err := d.ask(2, "And after the freeze?")
	if err != nil {
		return err
	}
	after, err := d.counts()
	if err != nil {
		return err
	}
	if r.CachedTokens < r.PromptTokens/2 {
		return errors.Errorf("only %d of %d prompt tokens were not computed", r.CachedTokens, r.PromptTokens)
	}
	d.say("the prompt came back through %s and its blocks were imported: first token after %v, %d of %d prompt tokens computed, %d bytes over the link",
		d.box(2).Name, r.First.Round(time.Millisecond), r.PromptTokens-r.CachedTokens, r.PromptTokens, after.LinkBytes-before.LinkBytes)
	return nil
}

// runs counts how often a key ran at the targets.
func (d *demo) runs(key string) (int, error) {
	n := 0
	for _, s := range d.site.Services {
		var runs []fake.ServiceExecution
		if err := d.fake(http.MethodGet, s.URL+"/runs", &runs); err != nil {
			return 0, err
		}
		for _, r := range runs {
			if r.Key == key {
				n++
			}
		}
	}
	return n, nil
}

func (d *demo) payment() error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.WithStack(err)
	}
	body := []byte(`{"account":"1042","cents":4900}`)
	path := "/services/" + fake.SiteService + "/renewals"
	var replies []Reply
	for box := range 2 {
		r := d.settled(box, path, id.String(), body)
		if r.Err != nil {
			return r.Err
		}
		if r.Refused != nil {
			return errors.Errorf("refused: %s: %s", r.Refused.Code, r.Refused.Message)
		}
		replies = append(replies, r)
	}
	n, err := d.runs(id.String())
	if err != nil {
		return err
	}
	if n != 1 || string(replies[0].Body) != string(replies[1].Body) {
		return errors.Errorf("the payment ran %d times", n)
	}
	d.say("a renewal with a key ran in %v through %s; sent again through %s it got the same answer (replayed: %v); runs at the targets: %d",
		replies[0].Took.Round(time.Millisecond), d.box(0).Name, d.box(1).Name, replies[1].Replayed, n)
	return nil
}

// settled calls until the outcome of the call is recorded.
func (d *demo) settled(box int, path, key string, body []byte) Reply {
	for {
		r := d.caller.Call(d.ctx, d.box(box).Callers, d.key, http.MethodPost, path, key, body)
		if r.Refused == nil || r.Refused.RetryAfterMillis == 0 || d.ctx.Err() != nil {
			return r
		}
		time.Sleep(lookPause)
	}
}
