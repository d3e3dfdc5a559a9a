package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// check ends the program where a case cannot run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(exitCannotRun)
	}
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// started holds the processes to end.
var started []*daemon

// temp is the folder of settings and logs.
var temp string

// cleanUp ends what was started.
func cleanUp() {
	for _, d := range started {
		d.kill()
	}
	if temp != "" {
		_ = os.RemoveAll(temp)
	}
}

// daemon is one emberd process.
type daemon struct {
	name, ip, file, log                string
	callers, readiness, peers, metrics string
	cmd                                *exec.Cmd
	exited                             chan struct{}
	// mostMB is the most anonymous memory that was seen.
	mostMB atomic.Int64
}

// freePort returns a free port of an address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// maxFiles is how many descriptors a daemon may have; 0 means as many as this program.
var maxFiles int

// zones are those of the stand-ins.
var zones = []string{"z-a", "z-b", "z-c"}

// newDaemon starts a daemon with the settings that the deploy file's template would hold.
func newDaemon(s *store, i, memoryMB int) *daemon {
	ip := fmt.Sprintf("127.0.%d.1", 10+i)
	d := &daemon{name: fmt.Sprintf("edge-%d", i), ip: ip}
	d.callers, d.readiness, d.peers, d.metrics = freePort(ip), freePort(ip), freePort(ip), freePort(ip)
	d.file, d.log = filepath.Join(temp, d.name+".yaml"), filepath.Join(temp, d.name+".log")
	text := fmt.Sprintf(`name: %q
domain: %q
regions: {"z-a":"r","z-b":"r","z-c":"r"}
callers: %q
readiness: %q
peers: %q
metrics: %q
store: %q
firstStart: true
memoryMB: %d
bounds:
  stop: 8s
  orderApart: 3000ms
  weights: 10000ms
  contact: 3000ms
  configuration: 2000ms
  coldOver:
  coldExtra:
  exposeShare:
retries:
  share: 0.2
  extra: 58
  window: 10s
`, d.name, zones[i%len(zones)], d.callers, d.readiness, d.peers, d.metrics, s.addr, memoryMB)
	check(os.WriteFile(d.file, []byte(text), 0o600))
	started = append(started, d)
	d.start()
	return d
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join("target", "emberd"), "host", d.file)
	if maxFiles > 0 {
		cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec target/emberd host "$2"`, "sh", strconv.Itoa(maxFiles), d.file)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + temp}
	check(cmd.Start())
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
}

// restart starts the process again, after the first start of the whole system.
func (d *daemon) restart() {
	raw, err := os.ReadFile(d.file)
	check(err)
	check(os.WriteFile(d.file, bytes.Replace(raw, []byte("firstStart: true"), []byte("firstStart: false"), 1), 0o600))
	d.start()
}

func (d *daemon) kill() {
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
}

func (d *daemon) signal(sig syscall.Signal) { check(d.cmd.Process.Signal(sig)) }

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// ready reports whether the readiness check answers 200.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func awaitReady(daemons ...*daemon) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range daemons {
			all = all && d.ready()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			check(fmt.Errorf("the daemons do not become ready"))
		}
	}
}

// status returns a figure of /proc/PID/status in kB.
func (d *daemon) status(name string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, name+":"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return n
		}
	}
	return 0
}
