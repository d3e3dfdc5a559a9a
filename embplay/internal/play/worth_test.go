package play

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

func TestWorthTable(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		want  []string
		err   string
	}{
		{
			"pairs by day and seed",
			"all\ts\td1\t1\t0.8\nall\ts\td2\t1\t0.6\nlinks\ts\td1\t1\t0.7\nlinks\ts\td2\t1\t0.4\nlinks\ts\td3\t1\t0.1\n",
			[]string{"worth 0.700 over 2 days", "+0.150 ± 0.050"},
			"",
		},
		{"a day without a figure", "all\ts\td1\t1\t0.8\nlinks\ts\td1\t1\tmissing\n", []string{"worth 0.800 over 1 days", "1 days gave no figure"}, ""},
		{"a variant with one pair", "all\ts\td1\t1\t0.8\nlinks\ts\td1\t1\t0.7\n", []string{"not played"}, ""},
		{"a truncated line", "all\ts\td1\n", nil, "line 1 has 3 fields"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			path := filepath.Join(t.TempDir(), "w.tsv")
			g.Expect(os.WriteFile(path, []byte(tc.lines), 0o600)).To(gomega.Succeed())
			var out, errs bytes.Buffer
			code := Main([]string{"worth", path}, &out, &errs)
			if tc.err != "" {
				g.Expect(code).To(gomega.Equal(exitFailed))
				g.Expect(errs.String()).To(gomega.ContainSubstring(tc.err))
				return
			}
			g.Expect(code).To(gomega.Equal(exitOK))
			for _, want := range tc.want {
				g.Expect(out.String()).To(gomega.ContainSubstring(want))
			}
		})
	}
}
