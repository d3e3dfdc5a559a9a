package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// forecastLine returns the log line of a request with an expected time of 100 ms, an
// objective of 200 ms, the probability inTime of meeting it, and the observed time first in
// milliseconds.
func forecastLine(inTime, first float64) string {
	return fmt.Sprintf(`2026 box-1 {"code":4003,"event":"requestDone","level":"info","msg":"took","process":"box-1","resource":"r","time":"2026-12-02T10:00:00Z",`+
		`"forecast":{"service":"s","target":"t1","expectedMillis":100,"inTime":%g,"served":1,"aimMillis":200,"firstMillis":%g,"sends":1}}`, inTime, first)
}

func TestCalibrationComparesForecastsWithOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	var lines []string
	for i := range 10 {
		lines = append(lines, forecastLine(0.95, 100), forecastLine(0.45, []float64{150, 300}[i%2]))
	}
	lines = append(lines, `{"code":4003,"event":"requestDone"`, "another program's line", "", `{"code":1001,"event":"daemonStarted","level":"info","msg":"","process":"box-1","time":"2026-12-02T10:00:00Z"}`)
	path := writeFile(t, strings.Join(lines, "\n"))
	code, out, errs := run(t, "calibration", path)
	g.Expect(code).To(gomega.Equal(exitOK), errs)
	g.Expect(out).To(gomega.MatchRegexp(`s r +20 +1\.00 +1\.00 +3\.00 +3\.00`))
	g.Expect(out).To(gomega.MatchRegexp(`s r +10 +0\.45 +0\.50`))
	g.Expect(out).To(gomega.MatchRegexp(`s r +10 +0\.95 +1\.00`))
	g.Expect(out).To(gomega.ContainSubstring(fmt.Sprintf("2 of 23 lines are not a daemon's or are cut, the first: %s:21, %s:22", path, path)))
	g.Expect(out).NotTo(gomega.ContainSubstring("t1"))
}

func TestCalibrationByTargetAndPlot(t *testing.T) {
	g := gomega.NewWithT(t)
	plot := filepath.Join(t.TempDir(), "c.svg")
	code, out, errs := run(t, "calibration", "--targets", "--svg", plot, writeFile(t, forecastLine(0.9, 120)))
	g.Expect(code).To(gomega.Equal(exitOK), errs)
	g.Expect(out).To(gomega.MatchRegexp(`s r t1 +1 +1\.20`))
	raw, err := os.ReadFile(plot)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(raw)).To(gomega.ContainSubstring("share in time"))
}

func TestCalibrationSkipsInvalidForecasts(t *testing.T) {
	g := gomega.NewWithT(t)
	code, out, _ := run(t, "calibration", writeFile(t, forecastLine(7, -3)+"\n"+strings.Repeat("x", maxLogLineBytes+10)+"\n"))
	g.Expect(code).To(gomega.Equal(exitOK))
	g.Expect(out).NotTo(gomega.ContainSubstring("s r"))
	g.Expect(out).To(gomega.ContainSubstring("1 of 2 lines"))
	code, _, errs := run(t, "calibration", "/none/such")
	g.Expect(code).To(gomega.Equal(exitFailed))
	g.Expect(errs).To(gomega.ContainSubstring("/none/such"))
}
