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

// measurement is the mean resource usage of a daemon at one value of the parameter.
type measurement struct {
	// X is the value of the parameter that is varied.
	X float64 `json:"x"`
	// ProcessorShare is processor time over wall time: 1 is one core.
	ProcessorShare float64 `json:"processorShare"`
	ResidentBytes  float64 `json:"residentBytes"`
	// ControlBytes is the control traffic a second, as counted by the daemon.
	ControlBytes float64 `json:"controlBytesPerSecond"`
	// KeyValueCalls is the number of calls a second from the whole fleet, as
	// counted by the coordination store.
	KeyValueCalls float64 `json:"keyValueCallsPerSecond"`
	// WaitingWatches is the number of open watches at the coordination store.
	WaitingWatches float64 `json:"waitingWatches"`
}

// regression is a linear regression of one figure over the parameter.
type regression struct {
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Error is the standard error of the slope.
	Error float64 `json:"slopeError"`
}

// scaling describes how a daemon's resource usage grows with one parameter.
type scaling struct {
	Size     string        `json:"size"`
	Fixed    string        `json:"fixed"`
	Readings []measurement `json:"readings"`
	Lines    []regression  `json:"lines"`
}

const (
	settleDuration = 4 * time.Second
	measureWindow  = 8 * time.Second
)

// idleSite returns the options of a site that gets no requests.
func idleSite(daemons, engines int) fake.SiteOptions {
	o := smallSite()
	o.Daemons, o.Engines, o.Stores, o.Services, o.LogLevel = daemons, engines, 2, 2, "warning"
	o.Engine.Blocks = 2000
	return o
}

// writeOrganisations writes organisations to the coordination store before the
// daemons start.
func writeOrganisations(r *testbed, n int) error {
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

// measure starts a site, runs during in the background and returns the mean resource
// usage of its daemons.
func measure(t *testing.T, x float64, o fake.SiteOptions, before func(r *testbed) error, during func(ctx context.Context, r *testbed)) measurement {
	t.Helper()
	g := gomega.NewWithT(t)
	r, err := newSite(t.TempDir(), o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.close()
	if before != nil {
		g.Expect(before(r)).To(gomega.Succeed())
	}
	g.Expect(r.start()).To(gomega.Succeed())
	g.Expect(r.applyTo(r.daemons[0])).To(gomega.Succeed())
	for _, p := range r.daemons {
		g.Expect(waitUntil(p.Name, func() error {
			if reason := r.readinessError(p); reason != "" {
				return fmt.Errorf("%s: %w", reason, errNotYet)
			}
			return nil
		})).To(gomega.Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if during != nil {
		wg.Go(func() { during(ctx, r) })
	}
	time.Sleep(settleDuration)
	first, calls := r.readUsage(t), r.site.KeyValue.Counts()
	time.Sleep(measureWindow)
	last, after := r.readUsage(t), r.site.KeyValue.Counts()
	cancel()
	wg.Wait()
	n, secs := float64(len(r.daemons)), measureWindow.Seconds()
	out := measurement{X: x, KeyValueCalls: float64(after.Reads-calls.Reads+after.Writes-calls.Writes+after.Watches-calls.Watches) / secs}
	out.WaitingWatches = float64(r.site.KeyValue.OpenWatches())
	for i := range last {
		out.ProcessorShare += (last[i].processor - first[i].processor) / secs / n
		out.ControlBytes += (last[i].control - first[i].control) / secs / n
		out.ResidentBytes += last[i].resident / n
	}
	return out
}

// processUsage is the usage of one daemon: processor time in seconds, control traffic
// and resident memory in bytes.
type processUsage struct{ processor, control, resident float64 }

// readUsage reads processor time and memory from the operating system and control
// traffic from the daemons.
func (r *testbed) readUsage(t *testing.T) []processUsage {
	t.Helper()
	out := make([]processUsage, len(r.daemons))
	var wg sync.WaitGroup
	for i, p := range r.daemons {
		wg.Go(func() {
			var vars struct {
				ControlBytes float64 `json:"controlBytes"`
			}
			if _, err := r.callOperatorAPI(p, http.MethodGet, "/debug/vars", nil, &vars); err != nil {
				t.Error(err)
			}
			out[i] = processUsage{processor: p.processorSeconds(), control: vars.ControlBytes, resident: p.residentBytes()}
		})
	}
	wg.Wait()
	return out
}

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// processorSeconds returns the processor time of the process from /proc.
func (p *daemonProcess) processorSeconds() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentBytes returns the resident memory of the process from /proc.
func (p *daemonProcess) residentBytes() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(raw), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(after)[0], 64)
	return kb * 1024
}

// fit computes the regressions of all figures.
func (s *scaling) fit() {
	for _, f := range []struct {
		name string
		of   func(r measurement) float64
	}{
		{"processorShare", func(r measurement) float64 { return r.ProcessorShare }},
		{"residentBytes", func(r measurement) float64 { return r.ResidentBytes }},
		{"controlBytesPerSecond", func(r measurement) float64 { return r.ControlBytes }},
		{"keyValueCallsPerSecond", func(r measurement) float64 { return r.KeyValueCalls }},
	} {
		var xs, ys []float64
		for _, r := range s.Readings {
			xs, ys = append(xs, r.X), append(ys, f.of(r))
		}
		a, b := stat.LinearRegression(xs, ys, nil, false)
		s.Lines = append(s.Lines, regression{f.name, a, b, slopeError(xs, ys, a, b)})
	}
}

// slopeError returns the standard error of the slope of the regression a + b*x.
func slopeError(xs, ys []float64, a, b float64) float64 {
	mean := stat.Mean(xs, nil)
	var residuals, deviations float64
	for i, x := range xs {
		d := ys[i] - a - b*x
		residuals += d * d
		deviations += (x - mean) * (x - mean)
	}
	return math.Sqrt(residuals / float64(len(xs)-2) / deviations)
}

// changeConfiguration returns a function that writes a policy at a rate.
func changeConfiguration(perSecond float64) func(ctx context.Context, r *testbed) {
	return func(ctx context.Context, r *testbed) {
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
			// A refused write changes nothing and does not count.
			_, _ = r.callOperatorAPI(r.daemons[0], http.MethodPut, "/v1/resources/policies/org-01?force=true", body, nil)
		}
	}
}

// churnCaches returns a function that causes cache events at a rate over all engines.
func churnCaches(perSecond float64) func(ctx context.Context, r *testbed) {
	return func(ctx context.Context, r *testbed) {
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

// TestSlopes measures how the resource usage of one daemon grows with the size of the
// site. make slopes runs it.
func TestSlopes(t *testing.T) {
	if *slopesDir == "" {
		t.Skip("make slopes runs it")
	}
	slopes := []scaling{
		{Size: "daemons in the cell", Fixed: "16 workers in all"},
		{Size: "daemons in the fleet", Fixed: "1 worker for each daemon; cells of 12 on average above 16 daemons"},
		{Size: "workers followed by the daemon", Fixed: "1 daemon"},
		{Size: "organisations", Fixed: "2 daemons, 2 workers"},
		{Size: "configuration changes a second", Fixed: "4 daemons, 4 workers"},
		{Size: "cache events a second at the daemon", Fixed: "1 daemon, 4 workers, runs of 16 blocks"},
	}
	for _, n := range []int{2, 5, 8, 12, 16} {
		slopes[0].Readings = append(slopes[0].Readings, measure(t, float64(n), idleSite(n, 16), nil, nil))
	}
	for _, n := range []int{17, 32, 48, 64} {
		slopes[1].Readings = append(slopes[1].Readings, measure(t, float64(n), idleSite(n, n), nil, nil))
	}
	for _, n := range []int{2, 8, 16, 32} {
		slopes[2].Readings = append(slopes[2].Readings, measure(t, float64(n), idleSite(1, n), nil, nil))
	}
	for _, n := range []int{0, 5000, 12000, 23000} {
		before := func(r *testbed) error { return writeOrganisations(r, n) }
		slopes[3].Readings = append(slopes[3].Readings, measure(t, float64(n), idleSite(2, 2), before, nil))
	}
	for _, rate := range []float64{0, 1, 4, 10} {
		slopes[4].Readings = append(slopes[4].Readings, measure(t, rate, idleSite(4, 4), nil, changeConfiguration(rate)))
	}
	for _, rate := range []float64{0, 20, 60, 120} {
		slopes[5].Readings = append(slopes[5].Readings, measure(t, rate, idleSite(1, 4), nil, churnCaches(rate)))
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
