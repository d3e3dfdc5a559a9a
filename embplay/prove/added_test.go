package prove

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"embertally.dev/core/cache"
	"embertally.dev/embfake/fake"
)

var added = flag.Bool("added", false, "measure the time that a daemon adds to the first token")

// TestAdded measures the first-token time through a daemon and from the engine
// directly. It is for make added.
func TestAdded(t *testing.T) {
	if !*added {
		t.Skip("make added runs it")
	}
	o := small()
	o.Daemons, o.Engines, o.LogLevel = 4, 8, "warning"
	o.Engine.PrefillTokensPerSecond = 1e6
	for _, rate := range []int{30, 300} {
		r, err := newRig(t.TempDir(), o)
		if err != nil {
			t.Fatal(err)
		}
		prompt := longText(1)
		through := firsts(rate, func(n int) time.Duration { return r.ask(n%len(r.procs), orgOne, prompt, 1).FirstToken })
		direct := firsts(rate, func(n int) time.Duration { return r.direct(n, prompt) })
		r.close()
		fmt.Printf("%d requests a second: direct p50 %v p99 %v, through a daemon p50 %v p99 %v, added p50 %v p99 %v\n", rate,
			at(direct, 50), at(direct, 99), at(through, 50), at(through, 99), at(through, 50)-at(direct, 50), at(through, 99)-at(direct, 99))
	}
}

const addedTime = 8 * time.Second

// firsts calls one at a rate and returns the sorted first-token times.
func firsts(rate int, one func(n int) time.Duration) []time.Duration {
	var mu sync.Mutex
	var out []time.Duration
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := range rate * int(addedTime/time.Second) {
		<-tick.C
		wg.Go(func() {
			d := one(n)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, d)
		})
	}
	wg.Wait()
	slices.Sort(out)
	return out
}

func at(list []time.Duration, p int) time.Duration {
	return list[min(len(list)-1, len(list)*p/100)].Round(10 * time.Microsecond)
}

// direct asks an engine without a daemon.
func (r *rig) direct(n int, prompt string) time.Duration {
	body := struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Salt      string `json:"cache_salt"`
	}{fake.SiteModel, prompt, 1, cache.Salt{Organisation: "direct"}.Seed().String()}
	raw, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.site.Engines[n%len(r.site.Engines)].URL()+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	req.Header.Set("X-Request-Id", uuid.NewString())
	req.Header.Set("X-Weight-Version", fake.SiteVersion)
	resp, err := r.caller.HTTP().Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			return time.Since(began)
		}
	}
	return 0
}

// TestClaimWrites measures the writes of the key-value service at several
// rates of calls with keys. It is for make added.
func TestClaimWrites(t *testing.T) {
	if !*added {
		t.Skip("make added runs it")
	}
	o := small()
	o.LogLevel = "warning"
	r, err := newRig(t.TempDir(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	for _, rate := range []int{10, 50, 200, 400} {
		before, began := r.site.KeyValue.Counts().Writes, time.Now()
		var mu sync.Mutex
		served := 0
		took := firsts(rate, func(n int) time.Duration {
			id, err := uuid.NewV7()
			if err != nil {
				return 0
			}
			a := r.pay(n%len(r.procs), orgOne, id.String(), id.String())
			mu.Lock()
			defer mu.Unlock()
			if a.Complete {
				served++
			}
			return a.Elapsed
		})
		writes := float64(r.site.KeyValue.Counts().Writes-before) / time.Since(began).Seconds()
		fmt.Printf("%d calls with keys a second: %.0f writes a second, %d of %d served, p50 %v p99 %v\n",
			rate, writes, served, len(took), at(took, 50), at(took, 99))
	}
}
