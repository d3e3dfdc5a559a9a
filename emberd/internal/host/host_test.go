package host

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
)

const good = `
name: box-1
domain: z
callers: 10.0.0.1:1
readiness: 10.0.0.1:2
peers: 10.0.0.1:3
metrics: 10.0.0.1:4
store: 10.0.0.2:5
memoryMB: 112
`

func TestSettingsReportAllFaultsAtOnce(t *testing.T) {
	tests := []struct {
		name, text string
		faults     []string
	}{
		{"good", good, nil},
		{"empty", "", []string{"settings"}},
		{"unknown key", good + "colour: red\n", []string{"field colour not found"}},
		{"several", strings.NewReplacer("name: box-1\n", "", "10.0.0.2:5", "nowhere", "112", "2").Replace(good), []string{"name: is required", "store: must be", "memoryMB: must be"}},
		{"times", good + "bounds: {stop: 0s, weights: -1s}\ntuning: {heartbeat: 1s, suspect: 2s}\n", []string{"bounds.stop", "bounds.weights", "tuning.suspect"}},
		{"log", good + "logLevel: loud\n", []string{"logLevel: must be"}},
		{"cold targets", good + "bounds: {coldOver: -1}\n", []string{"coldOver"}},
		{"retries", good + "retries: {share: -1}\nlogRate: 0\n", []string{"retries", "logRate"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := ParseSettings([]byte(tc.text))
			if tc.faults == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			for _, f := range tc.faults {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(f)))
			}
		})
	}
}

func FuzzParseSettings(f *testing.F) {
	f.Add(good)
	f.Add("name: [")
	f.Add("bounds: 7")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSettings([]byte(text))
		if err == nil && len(s.check()) > 0 {
			t.Fatalf("settings with faults were taken: %q", text)
		}
	})
}

func TestTheTemplateGivesGoodSettings(t *testing.T) {
	tests := []struct {
		name, over, extra, share string
		want                     Bounds
	}{
		{"with cold targets", "1.5", "5", "", Bounds{ColdOver: 1.5, ColdExtra: 5, ExposeShare: 0.1}},
		{"with roll-outs", "", "", "0.05", Bounds{ColdOver: 1, ExposeShare: 0.05}},
		{"without", "", "", "", Bounds{ColdOver: 1, ExposeShare: 0.1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := tc.want
			want.Stop, want.OrderApart, want.Weights, want.Contact, want.Configuration = 8*time.Second, 3*time.Second, 12*time.Second, 3*time.Second, 2*time.Second
			checkTemplate(gomega.NewWithT(t), tc.over, tc.extra, tc.share, want)
		})
	}
}

// checkTemplate fills the template with figures for cold targets and roll-outs, or nothing, and
// checks the settings.
func checkTemplate(g *gomega.WithT, coldOver, coldExtra, exposeShare string, want Bounds) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "settings.yaml"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// As the platform fills it.
	filled := strings.NewReplacer(
		"{{NodeName}}", "edge-1", "{{Zone}}", "z", "{{Zones|json}}", `{"z":"r"}`, "{{Listen.Front}}", "10.0.0.1:1", "{{Listen.Readiness}}", "10.0.0.1:2",
		"{{Ip}}", "10.0.0.1", "{{EphemeralPorts.0}}", "7740", "{{Platform.Address}}", "10.0.0.9:1", "{{Limits.MemoryMb}}", "134",
		"{{Bounds.GraceS}}", "8", "{{Bounds.LeaseMs}}", "3000", "{{Bounds.ContactMs}}", "3000", "{{Bounds.ConfigMs}}", "2000", "{{Bounds.VersionMs}}", "12000",
		"{{Bounds.RetryBudgetRatio}}", "0.2", "{{Bounds.BudgetSlack}}", "56", "{{Bounds.BudgetWindowS}}", "10",
		"{{Bounds.ColdOver}}", coldOver, "{{Bounds.ColdSlack}}", coldExtra, "{{Bounds.ExposeShare}}", exposeShare,
	).Replace(string(raw))
	g.Expect(filled).NotTo(gomega.ContainSubstring("{{"))
	s, err := ParseSettings([]byte(filled))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Bounds).To(gomega.Equal(want))
	g.Expect(s.Retries).To(gomega.Equal(Retries{Share: 0.2, Extra: 56, Window: 10 * time.Second}))
	g.Expect(s.Regions).To(gomega.Equal(map[string]string{"z": "r"}))
	g.Expect(s.Peers).To(gomega.Equal("10.0.0.1:7740"))
}

func TestNamedWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	var n named
	g.Expect(n.version("m")).To(gomega.BeZero())
	n.set("m", 1)
	n.set("m", 3)
	n.set("m", 2) // told late
	g.Expect(n.version("m")).To(gomega.Equal(int64(3)))
	_, replaced := n.superseded("v3/m/")
	g.Expect(replaced).To(gomega.BeFalse())
	since, replaced := n.superseded("v1/m/org")
	g.Expect(replaced).To(gomega.BeTrue())
	g.Expect(clock.Since(since)).To(gomega.BeNumerically("<", time.Minute))
	g.Expect(n.age("m", 3)).To(gomega.BeZero())
	g.Expect(n.age("m", 1)).To(gomega.BeNumerically(">", 0))
	_, replaced = n.superseded("no salt")
	g.Expect(replaced).To(gomega.BeFalse())
}
