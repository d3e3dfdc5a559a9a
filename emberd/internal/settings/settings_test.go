package settings

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fileSettings is an example of a daemon's settings.
type fileSettings struct {
	Address  string        `yaml:"address"`
	Interval time.Duration `yaml:"pause"`
}

func (f *fileSettings) check() []string {
	var c Checker
	c.Address("address", f.Address)
	c.Positive("pause", f.Interval)
	return c.Faults()
}

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		faults     []string
	}{
		{"missing keys keep their defaults", "address: 10.0.0.1:1\n", nil},
		{"all faults at once", "address: nowhere\npause: 0s\ncolour: red\n", []string{"3 faults", "field colour not found", "address: must be", "pause: must be"}},
		{"not YAML", "address: [", []string{"settings: "}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := Parse([]byte(tc.text), fileSettings{Interval: time.Second}, (*fileSettings).check)
			if tc.faults == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got).To(gomega.Equal(fileSettings{Address: "10.0.0.1:1", Interval: time.Second}))
				return
			}
			for _, f := range tc.faults {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(f)))
			}
		})
	}
}

func TestReadReportsAMissingFile(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := Read(filepath.Join(t.TempDir(), "none.yaml"), fileSettings{}, (*fileSettings).check)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("none.yaml")))
}
