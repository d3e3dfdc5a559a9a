// Command rig plays the scripted cases of the review: it starts the daemons of a small deployment as
// separate processes on loopback addresses, with stand-ins for the platform, the workers and the clients, and
// judges a rule by what these see.
//
//	rig CASE FOLDER DAEMON
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(*rig) bool{"earlyReset": earlyReset, "endlessHead": endlessHead, "staleVersion": staleVersion}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER DAEMON")
		os.Exit(exitUnable)
	}
	r := &rig{daemonPath: os.Args[3], trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	defer func() {
		if failed := recover(); failed != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", failed)
			r.end()
			os.Exit(exitUnable)
		}
	}()
	var err error
	r.record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	r.dir, err = os.MkdirTemp("", "review")
	check(err)
	r.note("trouble: %v", r.trouble)
	held := cases[os.Args[1]](r)
	r.end()
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// check ends the case if there is an error.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// rig is one play of a case.
type rig struct {
	daemonPath string
	trouble    bool
	start      time.Time
	dir        string
	store      *store
	daemons    []*daemon
	// links, if set, puts proxies between machines before the daemons start.
	links func([]*daemon)

	mu      sync.Mutex // guards the fields below
	record  *os.File
	tallies map[string]int
	// runs holds the worker that ran each request last.
	runs map[string]string
}

// daemon is one process of the system under test.
type daemon struct {
	name, zone, ip, callers, readiness, peers, metrics, store string

	cmd    *exec.Cmd
	exited chan struct{}
}

// note writes a line to record.txt, with the time since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// count counts an event of a kind.
func (r *rig) count(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tallies == nil {
		r.tallies = map[string]int{}
	}
	r.tallies[kind]++
}

// tally returns how many events of a kind were counted.
func (r *rig) tally(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tallies[kind]
}

// loopback returns a loopback address that no other rig that runs now uses.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid%250, pid/250%250, 1+n)
}

// firstPort is below the ports that the kernel gives to outgoing connections.
const firstPort = 7001

// lastPort is the port that freeAddress returned last.
var lastPort = firstPort - 1

// freeAddress returns an IP address and port that nobody listens on, each port once.
func freeAddress(ip string) string {
	for lastPort++; ; lastPort++ {
		address := fmt.Sprintf("%s:%d", ip, lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// memoryMB is the memory of a machine of cmc-ledger.
const memoryMB = 134

// settings are those of deploy/settings.yaml, filled with the bounds of cmc-ledger.
const settings = `name: %q
domain: %q
regions: {"tacoma-hall":"pnw-core","salem-hall":"pnw-core"}
callers: %q
readiness: %q
peers: %q
metrics: %q
store: %q
firstStart: %v
memoryMB: %d
bounds:
  stop: 8s
  orderApart: 3000ms
  weights: 12000ms
  contact: 3000ms
  configuration: 2000ms
retries:
  share: 0.2
  extra: 56
  window: 10s
`

// startDaemons starts daemons, alternately in two failure domains.
func (r *rig) startDaemons(n int) {
	for i := range n {
		zone := []string{"tacoma-hall", "salem-hall"}[i%2]
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, i/2+1), zone: zone, ip: loopback(10 + i)}
		d.callers, d.readiness, d.peers, d.metrics = freeAddress(d.ip), freeAddress(d.ip), freeAddress(d.ip), freeAddress(d.ip)
		d.store = r.store.address
		r.daemons = append(r.daemons, d)
	}
	if r.links != nil {
		r.links(r.daemons)
	}
	for _, d := range r.daemons {
		r.run(d, true)
	}
}

// run starts the process of a daemon.
func (r *rig) run(d *daemon, first bool) {
	file := filepath.Join(r.dir, d.name+".yaml")
	text := fmt.Sprintf(settings, d.name, d.zone, d.callers, d.readiness, d.peers, d.metrics, d.store, first, memoryMB)
	check(os.WriteFile(file, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(r.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	cmd, exited := exec.Command(r.daemonPath, "host", file), make(chan struct{})
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	go func() { cmd.Wait(); close(exited) }()
	d.cmd, d.exited = cmd, exited
	r.note("started %s", d.name)
}

// awaitReady waits until all daemons are ready.
func (r *rig) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range r.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				panic(d.name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("all daemons are ready")
}

// ready asks a daemon whether it is ready, as the platform does.
func (d *daemon) ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end ends all processes that the rig started, and removes its folder unless KEEP is set.
func (r *rig) end() {
	for _, d := range r.daemons {
		d.cmd.Process.Kill()
		<-d.exited
	}
	if os.Getenv("KEEP") == "" && r.dir != "" {
		os.RemoveAll(r.dir)
	}
}
