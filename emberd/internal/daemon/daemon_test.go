package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/certs"
	"embertally.dev/core/event"
	"embertally.dev/core/testip"
)

// validSettings sets all required keys.
const validSettings = `
name: entry-01
domain: domain-1
callers: {address: "127.0.0.1:7001", tls: {insecure: true}}
operators: {address: "127.0.0.1:7002", tls: {insecure: true}}
peers: {address: "127.0.0.1:7003", tls: {insecure: true}}
platform: {keyValue: ["http://127.0.0.1:2379"]}
`

func TestSettingsReportAllFaultsAtOnce(t *testing.T) {
	tests := []struct {
		name, text string
		faults     []string
	}{
		{"good", validSettings, nil},
		{"empty", "", []string{"settings"}},
		{"no YAML", "name: [", []string{"settings"}},
		{"unknown key", validSettings + "colour: red\n", []string{"field colour not found"}},
		{"wrong type", strings.Replace(validSettings, `"127.0.0.1:7001"`, "[7]", 1), []string{"cannot unmarshal"}},
		{
			"several", strings.NewReplacer("name: entry-01\n", "", "127.0.0.1:7002", "localhost:7002",
				`["http://127.0.0.1:2379"]`, "[]").Replace(validSettings) + "placement: best\nlog: {level: loud}\n",
			[]string{"name: is required", "operators.address: must be an IP", "platform.keyValue: needs", "placement: is not known", "log.level: must be"},
		},
		{"no keys", strings.Replace(validSettings, "{insecure: true}", "{}", 1), []string{"callers.tls: needs cert and key"}},
		{"peers without a CA", strings.Replace(validSettings, `7003", tls: {insecure: true}`, `7003", tls: {cert: a, key: b}`, 1), []string{"peers.tls.ca: is required"}},
		{"time of zero", validSettings + "limits: {drainLimit: 0s}\n", []string{"limits.drainLimit: must be more than 0"}},
		{"key instead of its hash", validSettings + "operatorKeyHashes: [secret]\n", []string{"operatorKeyHashes[0]"}},
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
	f.Add("{}")
	f.Add("name: &a [*a]")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSettings([]byte(text))
		if err == nil && len(s.check()) > 0 {
			t.Fatalf("settings with faults were accepted: %q", text)
		}
	})
}

// page returns the content of a page in the docs folder.
func page(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// The generated pages must be regenerated when settings, events or metrics change.
func TestGeneratedPagesAreUpToDate(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(page(t, "SETTINGS.md")).To(gomega.Equal(Reference()), "regenerate it with: emberd reference")
	g.Expect(page(t, "EVENTS.md")).To(gomega.Equal(EventPage()), "regenerate it with: emberd events")
	g.Expect(page(t, "OPERATIONS.md")).To(gomega.ContainSubstring(VariablePage()), "regenerate the table with: emberd metrics")
}

func TestTLSKeysAreReloadedAndInvalidOnesRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	ca, err := certs.NewAuthority(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cert, key, err := ca.Issue("entry-01", net.ParseIP("127.0.0.1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	log := &event.Log{}
	k, err := newTLSKeys(TLS{Cert: cert, Key: key, CA: ca.CAFile()}, log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.run(ctx) }()
	defer func() { cancel(); <-done }()
	serial := func() string {
		c, err := k.server().GetConfigForClient(&tls.ClientHelloInfo{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c.Certificates[0].Leaf.SerialNumber.String()
	}
	old := serial()
	g.Expect(os.WriteFile(cert, []byte("not a certificate"), 0o600)).To(gomega.Succeed())
	g.Eventually(func() bool { return emitted(log, event.KeysRejected) }, "60s", "50ms").Should(gomega.BeTrue())
	g.Expect(serial()).To(gomega.Equal(old), "the keys loaded before stay in use")
	_, _, err = ca.Issue("entry-01", net.ParseIP("127.0.0.1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(serial, "60s", "50ms").ShouldNot(gomega.Equal(old))
}

// emitted reports whether an event has been logged.
func emitted(log *event.Log, code event.Code) bool {
	for _, ev := range log.Since(0, 1000) {
		if ev.Code == code {
			return true
		}
	}
	return false
}

// A peer is rejected unless its certificate is signed by the CA, both as a server and as a client.
func TestPeersNeedACertificateSignedByTheCA(t *testing.T) {
	g := gomega.NewWithT(t)
	ownDir, otherDir := t.TempDir(), t.TempDir()
	k := issuedKeys(t, ownDir, "entry-01")
	otherKeys := issuedKeys(t, otherDir, "entry-01")
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go tls.Server(c, k.server()).Handshake()
		}
	}()
	dial := func(conf *tls.Config) error {
		c, err := tls.Dial("tcp", l.Addr().String(), conf)
		if err != nil {
			return err
		}
		defer c.Close()
		_, err = c.Read(make([]byte, 1))
		return err
	}
	g.Expect(dial(otherKeys.client())).To(gomega.MatchError(gomega.ContainSubstring("certificate")), "a client rejects a server of another CA")
	conf := otherKeys.client()
	conf.VerifyConnection = nil
	g.Expect(dial(conf)).To(gomega.MatchError(gomega.ContainSubstring("certificate")), "a server rejects a client of another CA")
}

// issuedKeys returns keys for a box, signed by a new CA in dir.
func issuedKeys(t *testing.T, dir, name string) *tlsKeys {
	t.Helper()
	ca, err := certs.NewAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	k, err := newTLSKeys(TLS{Cert: cert, Key: key, CA: ca.CAFile()}, &event.Log{})
	if err != nil {
		t.Fatal(err)
	}
	return k
}
