package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/testip"
)

// clientsMemoryMB is the memory that the process may have while clients do not keep to the limits.
const clientsMemoryMB = 48

// runningDaemon starts the program with the command run, and returns the process and the addresses of callers and operators.
func runningDaemon(t *testing.T, g *gomega.WithT) (process *exec.Cmd, callers, operators string) {
	dir, ip := t.TempDir(), testip.IP()
	program := filepath.Join(dir, "emberd")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = filepath.Join("..", "..")
	text, err := build.CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), "%s", text)
	file := filepath.Join(dir, "settings.yaml")
	g.Expect(os.WriteFile(file, []byte(strings.ReplaceAll(validSettings, "127.0.0.1:70", ip+":70")), 0o600)).To(gomega.Succeed())
	process = exec.Command(program, "run", file)
	g.Expect(process.Start()).To(gomega.Succeed())
	t.Cleanup(func() { process.Process.Kill(); process.Wait() })
	callers, operators = ip+":7001", ip+":7002"
	g.Eventually(func() int { return alive(callers) }, "30s", "50ms").Should(gomega.Equal(http.StatusOK))
	return process, callers, operators
}

// alive sends an ordinary request on a new connection and returns the status of its answer, 0 if there is none.
func alive(address string) int {
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + address + "/healthz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// peakMemoryMB returns the most resident memory that a process has had.
func peakMemoryMB(g *gomega.WithT, process *exec.Cmd) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the process lives")
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	g.Expect(found).To(gomega.BeTrue())
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return kilobytes >> 10
}

// Guards against a daemon that is killed for its memory since the heads of requests take much more memory than bytes, on all
// connections together.
func TestClientsBeyondTheLimitsDoNotExhaustTheMemory(t *testing.T) {
	const (
		connections = 120
		crowdTime   = 3 * time.Second
		headBytes   = 250 << 10
		start       = "GET /healthz HTTP/1.1\r\nHost: x\r\n"
	)
	var lines bytes.Buffer
	for n := 0; lines.Len() < headBytes; n++ {
		fmt.Fprintf(&lines, "A%x:\r\n", n)
	}
	for _, tc := range []struct {
		name, sent, end string
		operators       bool
	}{
		{"a long head", start + lines.String(), "\r\n", false},
		{"a long head, its end withheld", start + lines.String(), "", false},
		{"heads of legal length, their ends withheld", start + lines.String()[:60<<10], "", false},
		{"operators, a long head", start + lines.String(), "\r\n", true},
		{"operators, heads of legal length, their ends withheld", start + lines.String()[:60<<10], "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			process, address, operators := runningDaemon(t, g)
			if tc.operators {
				address = operators
			}
			end := time.Now().Add(crowdTime)
			var wg sync.WaitGroup
			for range connections {
				wg.Go(func() {
					for time.Now().Before(end) {
						sendAndWait(address, tc.sent+tc.end, end)
					}
				})
			}
			wg.Wait()
			peak := peakMemoryMB(g, process)
			t.Logf("peak %d MB", peak)
			g.Eventually(func() int { return alive(address) }, "30s", "50ms").Should(gomega.Equal(http.StatusOK))
			g.Expect(peak).To(gomega.BeNumerically("<=", clientsMemoryMB))
		})
	}
}

// sendAndWait sends a text on a new connection and waits until the other end closes it, or until a time.
func sendAndWait(address, text string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(end)
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	// It ends with the connection or at the deadline.
	_, _ = io.Copy(io.Discard, conn)
}
