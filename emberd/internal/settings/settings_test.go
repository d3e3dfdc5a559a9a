package settings

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

type file struct {
	Address string        `yaml:"address"`
	Pause   time.Duration `yaml:"pause"`
}

func (f *file) check() []string {
	var c Checker
	c.Address("address", f.Address)
	c.Positive("pause", f.Pause)
	return c.Faults()
}

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		faults     []string
	}{
		{"defaults hold where nothing is said", "address: 10.0.0.1:1\n", nil},
		{"all faults at once", "address: nowhere\npause: 0s\ncolour: red\n", []string{"3 faults", "field colour not found", "address: must be", "pause: must be"}},
		{"not YAML", "address: [", []string{"settings: "}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := Parse([]byte(tc.text), file{Pause: time.Second}, (*file).check)
			if tc.faults == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got).To(gomega.Equal(file{Address: "10.0.0.1:1", Pause: time.Second}))
				return
			}
			for _, f := range tc.faults {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(f)))
			}
		})
	}
}

func TestReadSaysThatThereIsNoFile(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := Read(filepath.Join(t.TempDir(), "none.yaml"), file{}, (*file).check)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("none.yaml")))
}
