package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/testip"
)

// newDaemon starts an HTTP server in place of a daemon's operators' API and returns its URL.
func newDaemon(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := testip.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// run executes the command line with a key and without a certificate authority.
func run(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	t.Setenv(keyEnv, "the key")
	t.Setenv("EMBERTALLY_CA", "")
	var stdout, stderr bytes.Buffer
	code = Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeFile writes text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "r.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// resourceText has a policy before the organisation that it refers to.
const resourceText = `
kind: policies
name: p
spec: {organisation: o, deployments: [d]}
---
kind: organisations
name: o
spec: {keyHashes: [x]}
`

func TestApplyOrdersResourcesAndReportsOutcome(t *testing.T) {
	tests := []struct {
		name   string
		status int
		reply  string
		code   int
		want   string
	}{
		{"accepted", 200, `{"kind":"k","name":"n","resourceVersion":"7","status":{"state":"accepted"}}`, exitOK, "accepted"},
		{"pending", 202, `{"kind":"k","name":"n","resourceVersion":"7","status":{"state":"pending","notYetAt":["entry-03"]}}`, exitPending, "not yet at: entry-03"},
		{"refused", 422, `{"error":{"code":"invalid","text":"faults","faults":[{"field":"spec.keyHashes[0]","text":"is no sum"}]}}`, exitRefused, "spec.keyHashes[0]"},
		{"no JSON", 500, `oops`, exitFailed, "oops"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var paths []string
			url := newDaemon(t, func(w http.ResponseWriter, r *http.Request) {
				g.Expect(r.Header.Get("Authorization")).To(gomega.Equal("Bearer the key"))
				paths = append(paths, r.Method+" "+r.URL.RequestURI())
				w.WriteHeader(tc.status)
				fmt.Fprint(w, tc.reply)
			})
			code, out, errs := run(t, "--server", url, "apply", "-f", writeFile(t, resourceText))
			g.Expect(code).To(gomega.Equal(tc.code), errs)
			g.Expect(out + errs).To(gomega.ContainSubstring(tc.want))
			g.Expect(paths[0]).To(gomega.Equal("PUT /v1/resources/organisations/o?force=true"), "the policy refers to it")
		})
	}
}

func TestInvalidFilesSendNoRequest(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown kind", "kind: boxes\nname: a\nspec: {a: 1}\n", `no kind "boxes"`},
		{"unknown key", "kind: policies\nname: a\ncolour: red\nspec: {a: 1}\n", "colour"},
		{"no name", "kind: policies\nspec: {a: 1}\n", "name and spec"},
		{"second document", "kind: policies\nname: a\nspec: {a: 1}\n---\nkind: policies\n", "document 2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			url := newDaemon(t, func(http.ResponseWriter, *http.Request) { t.Error("a request was sent") })
			code, _, errs := run(t, "--server", url, "apply", "-f", writeFile(t, tc.text))
			g.Expect(code).To(gomega.Equal(exitFailed))
			g.Expect(errs).To(gomega.ContainSubstring(tc.want))
		})
	}
}

func TestWatchResumesBrokenStream(t *testing.T) {
	g := gomega.NewWithT(t)
	var froms []string
	url := newDaemon(t, func(w http.ResponseWriter, r *http.Request) {
		froms = append(froms, r.URL.Query().Get("from"))
		line := map[string]string{"5": "6", "6": "8"}[r.URL.Query().Get("from")]
		fmt.Fprintf(w, `{"type":"put","resource":{"kind":"policies","name":"p","resourceVersion":"%s"}}`+"\n", line)
	})
	code, out, errs := run(t, "--server", url, "watch", "policies", "--from", "5", "--count", "2")
	g.Expect(code).To(gomega.Equal(exitOK), errs)
	g.Expect(froms).To(gomega.Equal([]string{"5", "6"}))
	g.Expect(strings.Count(out, "\n")).To(gomega.Equal(2))
}

func TestCommandLineErrors(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown command", []string{"fly"}, exitUsage, "fly"},
		{"no daemon named", []string{"status"}, exitFailed, "--server"},
		{"no file", []string{"--server", "http://127.0.0.1:1", "apply"}, exitUsage, "--file"},
		{"bad IP", []string{"certs", "issue", "--dir", "x", "--name", "n", "--ip", "y"}, exitFailed, "no such file"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			t.Setenv("EMBERTALLY_SERVER", "")
			code, _, errs := run(t, tc.args...)
			g.Expect(code).To(gomega.Equal(tc.code))
			g.Expect(errs).To(gomega.ContainSubstring(tc.want))
		})
	}
}

func TestNewKeyPrintsItsHash(t *testing.T) {
	g := gomega.NewWithT(t)
	code, out, _ := run(t, "keys", "new")
	g.Expect(code).To(gomega.Equal(exitOK))
	var key, hash string
	_, err := fmt.Sscanf(out, "key %s\nsum %s\n", &key, &hash)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(hash).To(gomega.Equal(conf.HashKey(key)))
}

func TestExplainShowsTheDecision(t *testing.T) {
	g := gomega.NewWithT(t)
	ev := event.Event{At: time.Unix(1, 0), Process: "entry-01", Name: "requestPlaced", Target: "engine-02", Text: "decided by entry-03; held 4"}
	url := newDaemon(t, func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Query().Get("request")).To(gomega.Equal("r-1"))
		body := struct {
			Events []event.Event `json:"events"`
		}{[]event.Event{ev}}
		if err := json.NewEncoder(w).Encode(body); err != nil {
			t.Error(err)
		}
	})
	code, out, _ := run(t, "--server", url, "explain", "r-1")
	g.Expect(code).To(gomega.Equal(exitOK))
	for _, part := range []string{"requestPlaced engine-02", "decided by entry-03", "held 4"} {
		g.Expect(out).To(gomega.ContainSubstring(part))
	}
}

func TestTimelinePictureHasAllEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	events := []event.Event{
		{Process: "a", Name: "peerUp", Text: "<b>"}, {Process: "b", Name: "peerDown", Level: event.Warning}, {Process: "a", Name: "peerUp"},
	}
	got := string(drawTimeline(events))
	g.Expect(strings.Count(got, "<circle")).To(gomega.Equal(3))
	g.Expect(got).NotTo(gomega.ContainSubstring("<b>"))
}

func TestEventsAreReadFromLogLines(t *testing.T) {
	g := gomega.NewWithT(t)
	var lines bytes.Buffer
	log := event.NewLog("box-1", &lines, event.FormatJSON, event.Debug)
	log.Emit(event.RequestDone, event.Ref{Request: "r1", Target: "i-1"}, "took 3ms; i-1=done")
	log.Emit(event.RequestRefused, event.Ref{Request: "r2"}, "no")
	file := writeFile(t, lines.String())
	code, out, _ := run(t, "explain", "--logs", file, "r1")
	g.Expect(code).To(gomega.Equal(0))
	g.Expect(out).To(gomega.ContainSubstring("requestDone i-1"))
	g.Expect(out).To(gomega.ContainSubstring("i-1=done"))
	code, out, _ = run(t, "timeline", "--logs", file, "--code", "4004")
	g.Expect(code).To(gomega.Equal(0))
	g.Expect(out).To(gomega.ContainSubstring("request=r2"))
	g.Expect(out).NotTo(gomega.ContainSubstring("request=r1"))
	code, _, errs := run(t, "explain", "--logs", file, "r3")
	g.Expect(code).NotTo(gomega.Equal(0))
	g.Expect(errs).To(gomega.ContainSubstring("r3"))
	code, _, errs = run(t, "timeline", "--logs", writeFile(t, "not a log\n"))
	g.Expect(code).NotTo(gomega.Equal(0))
	g.Expect(errs).To(gomega.ContainSubstring("none of the 1 lines"))
	code, _, _ = run(t, "timeline", "--logs", filepath.Join(t.TempDir(), "none"))
	g.Expect(code).NotTo(gomega.Equal(0))
}
