package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat"

	"embertally.dev/core/conf"
	"embertally.dev/embfake/fake"
)

var slopesDir = flag.String("slopes", "", "measure slopes and write them to this folder")

// reading is what one daemon costs at one size.
type reading struct {
	// X is the size that was varied.
	X float64 `json:"x"`
	// ProcessorShare is processor time over wall time, of one core.
	ProcessorShare float64 `json:"processorShare"`
	ResidentBytes  float64 `json:"residentBytes"`
	// ControlBytes is counted by the daemon, a second.
	ControlBytes float64 `json:"controlBytesPerSecond"`
	// KeyValueCalls are those of the whole fleet, a second, by the service's
	// own count.
	KeyValueCalls float64 `json:"keyValueCallsPerSecond"`
	// WaitingWatches is how many watches of the service are open.
	WaitingWatches float64 `json:"waitingWatches"`
}

// line is a straight line through readings.
type line struct {
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Error is the standard error of the slope.
	Error float64 `json:"slopeError"`
}

// slope is how a daemon's costs grow with one size.
type slope struct {
	Size     string    `json:"size"`
	Fixed    string    `json:"fixed"`
	Readings []reading `json:"readings"`
	Lines    []line    `json:"lines"`
}

const (
	settleTime = 4 * time.Second
	windowTime = 8 * time.Second
)

// quiet is a site without requests.
func quiet(daemons, engines int) fake.SiteOptions {
	o := small()
	o.Daemons, o.Engines, o.Stores, o.Services, o.LogLevel = daemons, engines, 2, 2, "warning"
	o.Engine.Blocks = 2000
	return o
}

// organisationsIn writes organisations into the service before daemons start.
func organisationsIn(r *rig, n int) error {
	const batch = 500
	type put struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	}
	type op struct {
		Put put `json:"request_put"`
	}
	for from := 0; from < n; from += batch {
		var ops []op
		add := func(key string, c conf.Change) error {
			raw, err := json.Marshal(c)
			ops = append(ops, op{put{[]byte(key), raw}})
			return err
		}
		for i := from; i < min(n, from+batch); i++ {
			name := fmt.Sprintf("many-%05d", i)
			spec, err := json.Marshal(&conf.Organisation{KeyHashes: []string{conf.HashKey(name)}})
			if err != nil {
				return err
			}
			c := conf.Change{Seq: uint64(i + 1), Kind: conf.KindOrganisation, Name: name, Spec: spec, WriteID: name}
			if err := add(conf.KeyRoot+"res/organisations/"+name, c); err != nil {
				return err
			}
			if i == min(n, from+batch)-1 {
				if err := add(conf.KeyRoot+"res-head", c); err != nil {
					return err
				}
			}
		}
		raw, err := json.Marshal(struct {
			Success []op `json:"success"`
		}{ops})
		if err != nil {
			return err
		}
		resp, err := http.Post(r.site.File.KeyValue+"/v3/kv/txn", "application/json", bytes.NewReader(raw))
		if err != nil {
			return err
		}
		resp.Body.Close()
	}
	return nil
}

// measured starts a site and reads what its daemons cost on average.
func measured(t *testing.T, x float64, o fake.SiteOptions, before func(r *rig) error, during func(ctx context.Context, r *rig)) reading {
	t.Helper()
	g := gomega.NewWithT(t)
	r, err := newSite(t.TempDir(), o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.close()
	if before != nil {
		g.Expect(before(r)).To(gomega.Succeed())
	}
	g.Expect(r.start()).To(gomega.Succeed())
	g.Expect(r.applyTo(r.procs[0])).To(gomega.Succeed())
	for _, p := range r.procs {
		g.Expect(wait(p.Name, func() error {
			if why := r.notReady(p); why != "" {
				return fmt.Errorf("%s: %w", why, errNotYet)
			}
			return nil
		})).To(gomega.Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if during != nil {
		wg.Go(func() { during(ctx, r) })
	}
	time.Sleep(settleTime)
	first, calls := r.figures(t), r.site.KeyValue.Counts()
	time.Sleep(windowTime)
	last, after := r.figures(t), r.site.KeyValue.Counts()
	cancel()
	wg.Wait()
	n, secs := float64(len(r.procs)), windowTime.Seconds()
	out := reading{X: x, KeyValueCalls: float64(after.Reads-calls.Reads+after.Writes-calls.Writes+after.Watches-calls.Watches) / secs}
	out.WaitingWatches = float64(r.site.KeyValue.OpenWatches())
	for i := range last {
		out.ProcessorShare += (last[i].processor - first[i].processor) / secs / n
		out.ControlBytes += (last[i].control - first[i].control) / secs / n
		out.ResidentBytes += last[i].resident / n
	}
	return out
}

type figures struct{ processor, control, resident float64 }

// figures reads processor time and memory from the system and control bytes
// from the daemons.
func (r *rig) figures(t *testing.T) []figures {
	t.Helper()
	out := make([]figures, len(r.procs))
	var wg sync.WaitGroup
	for i, p := range r.procs {
		wg.Go(func() {
			var vars struct {
				ControlBytes float64 `json:"controlBytes"`
			}
			if _, err := r.operate(p, http.MethodGet, "/debug/vars", nil, &vars); err != nil {
				t.Error(err)
			}
			out[i] = figures{processor: p.processor(), control: vars.ControlBytes, resident: p.resident()}
		})
	}
	wg.Wait()
	return out
}

// ticks is the system's clock for processor time, in ticks a second.
const ticks = 100

// processor returns the processor time of the process by the system's account.
func (p *proc) processor() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticks
}

// resident returns the resident memory by the system's account.
func (p *proc) resident() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(raw), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(after)[0], 64)
	return kb * 1024
}

// fit puts lines through the readings of a slope.
func (s *slope) fit() {
	for _, f := range []struct {
		name string
		of   func(r reading) float64
	}{
		{"processorShare", func(r reading) float64 { return r.ProcessorShare }},
		{"residentBytes", func(r reading) float64 { return r.ResidentBytes }},
		{"controlBytesPerSecond", func(r reading) float64 { return r.ControlBytes }},
		{"keyValueCallsPerSecond", func(r reading) float64 { return r.KeyValueCalls }},
	} {
		var xs, ys []float64
		for _, r := range s.Readings {
			xs, ys = append(xs, r.X), append(ys, f.of(r))
		}
		a, b := stat.LinearRegression(xs, ys, nil, false)
		s.Lines = append(s.Lines, line{f.name, a, b, slopeError(xs, ys, a, b)})
	}
}

// slopeError returns the standard error of the slope of a fitted line.
func slopeError(xs, ys []float64, a, b float64) float64 {
	mean := stat.Mean(xs, nil)
	var rest, spread float64
	for i, x := range xs {
		d := ys[i] - a - b*x
		rest += d * d
		spread += (x - mean) * (x - mean)
	}
	return math.Sqrt(rest / float64(len(xs)-2) / spread)
}

// changing rewrites a policy at a rate.
func changing(perSecond float64) func(ctx context.Context, r *rig) {
	return func(ctx context.Context, r *rig) {
		if perSecond == 0 {
			return
		}
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			spec := json.RawMessage(`{"organisation":"org-01","deployments":["reader"],"services":["payments"]}`)
			body := struct {
				Spec json.RawMessage `json:"spec"`
			}{spec}
			// A change that is refused changes nothing and counts as none.
			_, _ = r.operate(r.procs[0], http.MethodPut, "/v1/resources/policies/org-01?force=true", body, nil)
		}
	}
}

func churning(perSecond float64) func(ctx context.Context, r *rig) {
	return func(ctx context.Context, r *rig) {
		if perSecond == 0 {
			return
		}
		var wg sync.WaitGroup
		for _, e := range r.site.Engines {
			wg.Go(func() { e.Churn(ctx, perSecond/float64(len(r.site.Engines))) })
		}
		wg.Wait()
	}
}

// TestSlopes measures how the costs of one daemon grow. It is for make slopes.
func TestSlopes(t *testing.T) {
	if *slopesDir == "" {
		t.Skip("make slopes runs it")
	}
	slopes := []slope{
		{Size: "daemons in the cell", Fixed: "16 workers in all"},
		{Size: "daemons in the fleet", Fixed: "1 worker for each daemon; cells of 12 on average above 16 daemons"},
		{Size: "workers followed by the daemon", Fixed: "1 daemon"},
		{Size: "organisations", Fixed: "2 daemons, 2 workers"},
		{Size: "configuration changes a second", Fixed: "4 daemons, 4 workers"},
		{Size: "cache events a second at the daemon", Fixed: "1 daemon, 4 workers, runs of 16 blocks"},
	}
	for _, n := range []int{2, 5, 8, 12, 16} {
		slopes[0].Readings = append(slopes[0].Readings, measured(t, float64(n), quiet(n, 16), nil, nil))
	}
	for _, n := range []int{17, 32, 48, 64} {
		slopes[1].Readings = append(slopes[1].Readings, measured(t, float64(n), quiet(n, n), nil, nil))
	}
	for _, n := range []int{2, 8, 16, 32} {
		slopes[2].Readings = append(slopes[2].Readings, measured(t, float64(n), quiet(1, n), nil, nil))
	}
	for _, n := range []int{0, 5000, 12000, 23000} {
		before := func(r *rig) error { return organisationsIn(r, n) }
		slopes[3].Readings = append(slopes[3].Readings, measured(t, float64(n), quiet(2, 2), before, nil))
	}
	for _, rate := range []float64{0, 1, 4, 10} {
		slopes[4].Readings = append(slopes[4].Readings, measured(t, rate, quiet(4, 4), nil, changing(rate)))
	}
	for _, rate := range []float64{0, 20, 60, 120} {
		slopes[5].Readings = append(slopes[5].Readings, measured(t, rate, quiet(1, 4), nil, churning(rate)))
	}
	for i := range slopes {
		slopes[i].fit()
		fmt.Printf("%s (%s)\n", slopes[i].Size, slopes[i].Fixed)
		for _, r := range slopes[i].Readings {
			fmt.Printf("  %8.0f: %.3f%% of a core, %.1f MB, %.2f KB/s control, %.1f key-value calls/s of all, %.0f watches wait\n",
				r.X, 100*r.ProcessorShare, r.ResidentBytes/1e6, r.ControlBytes/1e3, r.KeyValueCalls, r.WaitingWatches)
		}
		for _, l := range slopes[i].Lines {
			fmt.Printf("  %-24s %.4g + %.4g (error %.2g) for each\n", l.Figure, l.Intercept, l.Slope, l.Error)
		}
	}
	raw, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(*slopesDir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(*slopesDir, "slopes.json"), append(raw, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
