package testip

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"

	"github.com/onsi/gomega"
)

// printIP makes the test binary print one of its addresses and wait until its input ends.
const printIP = "NETTEST_PRINT_IP"

func TestMain(m *testing.M) {
	if os.Getenv(printIP) != "" {
		os.Stdout.WriteString(IP() + "\n")
		io.Copy(io.Discard, os.Stdin)
		return
	}
	os.Exit(m.Run())
}

func TestProcessesHaveDifferentAddresses(t *testing.T) {
	g := gomega.NewWithT(t)
	const processes = 5
	seen := map[string]bool{IP(): true}
	for range processes {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), printIP+"=1")
		in, err := cmd.StdinPipe()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		out, err := cmd.StdoutPipe()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(cmd.Start()).To(gomega.Succeed())
		t.Cleanup(func() { in.Close(); cmd.Wait() })
		ip, err := bufio.NewReader(out).ReadString('\n')
		g.Expect(err).NotTo(gomega.HaveOccurred())
		seen[ip] = true
	}
	g.Expect(seen).To(gomega.HaveLen(processes + 1))
}

func TestClaimedBlocksAreNotClaimedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, number := range []int{0, blockCount - 1, 1 << 22} {
		seen := map[int]bool{}
		for range 20 {
			b, err := claim(number)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { b.claim.Close() })
			seen[b.number] = true
			for _, host := range []int{claimHost, firstHost, firstHost + hostCount - 1} {
				ip := net.ParseIP(b.ip(host)).To4()
				g.Expect(ip.IsLoopback()).To(gomega.BeTrue(), "%v", ip)
				g.Expect(ip[1]).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 255)))
			}
		}
		g.Expect(seen).To(gomega.HaveLen(20))
	}
}

func TestAddressesAreUsedInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &block{number: firstBlock}
	seen := map[string]bool{}
	for range hostCount {
		seen[b.nextIP()] = true
	}
	g.Expect(seen).To(gomega.HaveLen(hostCount))
	g.Expect(seen).NotTo(gomega.HaveKey(b.ip(claimHost)))
	g.Expect(seen).To(gomega.HaveKey(b.nextIP()))
}

func TestServersAreReachedAndOutgoingConnectionsHaveAnotherSource(t *testing.T) {
	g := gomega.NewWithT(t)
	source := make(chan string, 1)
	s := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { source <- r.RemoteAddr }))
	defer s.Close()
	resp, err := http.Get(s.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	host, _, err := net.SplitHostPort(<-source)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(host).To(gomega.Equal("127.0.0.1"))
}
