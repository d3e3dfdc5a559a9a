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
// directly. make added runs it.
func TestAdded(t *testing.T) {
	if !*added {
		t.Skip("make added runs it")
	}
	o := smallSite()
	o.Daemons, o.Engines, o.LogLevel = 4, 8, "warning"
	o.Engine.PrefillTokensPerSecond = 1e6
	for _, rate := range []int{30, 300} {
		r, err := newTestbed(t.TempDir(), o)
		if err != nil {
			t.Fatal(err)
		}
		prompt := longText(1)
		through := measureTimes(rate, func(n int) time.Duration { return r.sendPrompt(n%len(r.daemons), orgOne, prompt, 1).FirstToken })
		direct := measureTimes(rate, func(n int) time.Duration { return r.promptDirectly(n, prompt) })
		r.close()
		fmt.Printf("%d requests a second: direct p50 %v p99 %v, through a daemon p50 %v p99 %v, added p50 %v p99 %v\n", rate,
			percentile(direct, 50), percentile(direct, 99), percentile(through, 50), percentile(through, 99), percentile(through, 50)-percentile(direct, 50), percentile(through, 99)-percentile(direct, 99))
	}
}

const measureDuration = 8 * time.Second

// measureTimes calls request at a rate per second and returns the sorted times.
func measureTimes(rate int, request func(n int) time.Duration) []time.Duration {
	var mu sync.Mutex
	var out []time.Duration
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := range rate * int(measureDuration/time.Second) {
		<-tick.C
		wg.Go(func() {
			d := request(n)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, d)
		})
	}
	wg.Wait()
	slices.Sort(out)
	return out
}

// percentile returns the p-th percentile of a sorted list.
func percentile(list []time.Duration, p int) time.Duration {
	return list[min(len(list)-1, len(list)*p/100)].Round(10 * time.Microsecond)
}

// promptDirectly sends a prompt to an engine without a daemon and returns the time
// to the first token, or 0 after a failure.
func (r *testbed) promptDirectly(n int, prompt string) time.Duration {
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
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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
			return time.Since(start)
		}
	}
	return 0
}

// TestClaimWrites measures the writes to the coordination store at several rates of
// calls with idempotency keys. make added runs it.
func TestClaimWrites(t *testing.T) {
	if !*added {
		t.Skip("make added runs it")
	}
	o := smallSite()
	o.LogLevel = "warning"
	r, err := newTestbed(t.TempDir(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	for _, rate := range []int{10, 50, 200, 400} {
		before, start := r.site.KeyValue.Counts().Writes, time.Now()
		var mu sync.Mutex
		served := 0
		times := measureTimes(rate, func(n int) time.Duration {
			id, err := uuid.NewV7()
			if err != nil {
				return 0
			}
			a := r.sendPayment(n%len(r.daemons), orgOne, id.String(), id.String())
			mu.Lock()
			defer mu.Unlock()
			if a.Complete {
				served++
			}
			return a.Elapsed
		})
		writes := float64(r.site.KeyValue.Counts().Writes-before) / time.Since(start).Seconds()
		fmt.Printf("%d calls with keys a second: %.0f writes a second, %d of %d served, p50 %v p99 %v\n",
			rate, writes, served, len(times), percentile(times, 50), percentile(times, 99))
	}
}
