package host

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// validSettings sets all required keys.
const validSettings = `
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
		{"good", validSettings, nil},
		{"empty", "", []string{"settings"}},
		{"unknown key", validSettings + "colour: red\n", []string{"field colour not found"}},
		{"several", strings.NewReplacer("name: box-1\n", "", "10.0.0.2:5", "nowhere", "112", "2").Replace(validSettings), []string{"name: is required", "store: must be", "memoryMB: must be"}},
		{"times", validSettings + "bounds: {stop: 0s, weights: -1s}\ntuning: {heartbeat: 1s, suspect: 2s}\n", []string{"bounds.stop", "bounds.weights", "tuning.suspect"}},
		{"log", validSettings + "logLevel: loud\n", []string{"logLevel: must be"}},
		{"targets that are warming up", validSettings + "bounds: {coldOver: -1}\n", []string{"coldOver"}},
		{"retries", validSettings + "retries: {share: -1}\nlogRate: 0\n", []string{"retries", "logRate"}},
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
	f.Add(validSettings)
	f.Add("name: [")
	f.Add("bounds: 7")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSettings([]byte(text))
		if err == nil && len(s.check()) > 0 {
			t.Fatalf("settings with faults were accepted: %q", text)
		}
	})
}

func TestTheDeploymentTemplateGivesValidSettings(t *testing.T) {
	tests := []struct {
		name, warmUpFactor, warmUpExtra, canaryShare string
		want                                         Bounds
	}{
		{"with warm-up limits", "1.5", "5", "", Bounds{WarmUpFactor: 1.5, WarmUpExtra: 5, CanaryShare: 0.1}},
		{"with rollouts", "", "", "0.05", Bounds{WarmUpFactor: 1, CanaryShare: 0.05}},
		{"defaults", "", "", "", Bounds{WarmUpFactor: 1, CanaryShare: 0.1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := tc.want
			want.Stop, want.OrderGap, want.OldWeights, want.StoreSilence, want.OldConfiguration = 8*time.Second, 3*time.Second, 12*time.Second, 3*time.Second, 2*time.Second
			checkTemplate(gomega.NewWithT(t), tc.warmUpFactor, tc.warmUpExtra, tc.canaryShare, want)
		})
	}
}

// checkTemplate fills in deploy/settings.yaml with bounds for warm-up and rollouts, or empty texts for the
// defaults, and checks the settings that result.
func checkTemplate(g *gomega.WithT, warmUpFactor, warmUpExtra, canaryShare string, want Bounds) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "settings.yaml"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// The platform replaces these placeholders at deployment.
	filled := strings.NewReplacer(
		"{{NodeName}}", "edge-1", "{{Zone}}", "z", "{{Zones|json}}", `{"z":"r"}`, "{{Listen.Front}}", "10.0.0.1:1", "{{Listen.Readiness}}", "10.0.0.1:2",
		"{{Bootstrap}}", "true", "{{Ip}}", "10.0.0.1", "{{EphemeralPorts.0}}", "7740", "{{Platform.Address}}", "10.0.0.9:1", "{{Limits.MemoryMb}}", "134",
		"{{Bounds.GraceS}}", "8", "{{Bounds.LeaseMs}}", "3000", "{{Bounds.ContactMs}}", "3000", "{{Bounds.ConfigMs}}", "2000", "{{Bounds.VersionMs}}", "12000",
		"{{Bounds.RetryBudgetRatio}}", "0.2", "{{Bounds.BudgetSlack}}", "56", "{{Bounds.BudgetWindowS}}", "10",
		"{{Bounds.ColdOver}}", warmUpFactor, "{{Bounds.ColdSlack}}", warmUpExtra, "{{Bounds.ExposeShare}}", canaryShare,
	).Replace(string(raw))
	g.Expect(filled).NotTo(gomega.ContainSubstring("{{"))
	s, err := ParseSettings([]byte(filled))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Bounds).To(gomega.Equal(want))
	g.Expect(s.Retries).To(gomega.Equal(Retries{PerRequest: 0.2, Extra: 56, Window: 10 * time.Second}))
	g.Expect(s.Regions).To(gomega.Equal(map[string]string{"z": "r"}))
	g.Expect(s.Peers).To(gomega.Equal("10.0.0.1:7740"))
	g.Expect(s.FirstStart).To(gomega.BeTrue())
}
