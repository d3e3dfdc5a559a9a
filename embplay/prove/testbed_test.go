package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

// daemonBinary is the path of the built daemon; TestMain sets it.
var daemonBinary string

// daemonProcess is a daemon that runs as a process of its own.
type daemonProcess struct {
	fake.SiteDaemon
	// storeProxy and peerProxies forward the connections from this daemon to the
	// coordination store and to its peers, by name. boxes is its own box list.
	storeProxy  *proxy
	peerProxies map[string]*proxy
	boxes       *fake.Boxes

	procMu sync.Mutex
	cmd    *exec.Cmd // guarded by procMu
}

// testbed is a site of fake targets with running daemons.
type testbed struct {
	site *fake.Site
	dir  string
	// ip is the address that all of the site listens on.
	ip      string
	daemons []*daemonProcess
	caller  *play.Caller
}

// newTestbed starts fake targets and daemons with proxies between them, and
// applies the site's resources.
func newTestbed(dir string, o fake.SiteOptions) (*testbed, error) {
	r, err := newSite(dir, o)
	if err != nil {
		return r, err
	}
	for _, p := range r.daemons {
		if err := r.insertProxies(p); err != nil {
			return r, err
		}
	}
	if err := r.start(); err != nil {
		return r, err
	}
	return r, r.apply()
}

// newSite starts fake targets and prepares daemons, without proxies.
func newSite(dir string, o fake.SiteOptions) (*testbed, error) {
	o.Dir, o.IP = dir, testip.IP()
	site, err := fake.NewSite(o)
	if err != nil {
		return nil, err
	}
	r := &testbed{site: site, dir: dir, ip: o.IP}
	if r.caller, err = play.NewCaller(site.File.CA); err != nil {
		return nil, err
	}
	for _, d := range site.File.Daemons {
		r.daemons = append(r.daemons, &daemonProcess{SiteDaemon: d, peerProxies: map[string]*proxy{}})
	}
	return r, nil
}

func (r *testbed) start() error {
	for _, p := range r.daemons {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// insertProxies puts proxies between a daemon and the coordination store and
// peers, and gives it a box list of its own with their addresses.
func (r *testbed) insertProxies(p *daemonProcess) error {
	var err error
	if p.storeProxy, err = newProxy(r.ip, strings.TrimPrefix(r.site.File.KeyValue, "http://")); err != nil {
		return err
	}
	if p.boxes, err = fake.NewBoxes(r.ip + ":0"); err != nil {
		return err
	}
	for _, d := range r.site.File.Daemons {
		box := plat.Box{Name: d.Name, Role: plat.RoleEntry, Address: d.Peers, Domain: d.Domain, State: plat.BoxLive}
		if d.Name != p.Name {
			link, err := newProxy(r.ip, d.Peers)
			if err != nil {
				return err
			}
			p.peerProxies[d.Name] = link
			box.Address = link.address()
		}
		p.boxes.Put(box)
	}
	for _, list := range [][]fake.SiteTarget{r.site.File.Engines, r.site.File.Stores, r.site.File.Services} {
		for _, t := range list {
			p.boxes.Put(plat.Box{Name: t.Name, Role: plat.RoleTarget, State: plat.BoxLive})
		}
	}
	raw, err := os.ReadFile(p.Settings)
	if err != nil {
		return err
	}
	text := strings.ReplaceAll(string(raw), r.site.File.KeyValue, "http://"+p.storeProxy.address())
	text = strings.ReplaceAll(text, r.site.File.BoxList, p.boxes.URL()+"/v1/boxes")
	return os.WriteFile(p.Settings, []byte(text), 0o600)
}

func (p *daemonProcess) start() error {
	p.procMu.Lock()
	defer p.procMu.Unlock()
	f, err := os.OpenFile(p.Settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	p.cmd = exec.Command(daemonBinary, "run", p.Settings)
	p.cmd.Stderr = f
	return p.cmd.Start()
}

func (p *daemonProcess) signal(s os.Signal) {
	p.procMu.Lock()
	defer p.procMu.Unlock()
	if p.cmd != nil {
		// A process that has exited needs no signal.
		_ = p.cmd.Process.Signal(s)
	}
}

// awaitExit waits until the process has exited and returns its error.
func (p *daemonProcess) awaitExit() error {
	p.procMu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.procMu.Unlock()
	if cmd == nil {
		return nil
	}
	return cmd.Wait()
}

// kill kills the process and waits until it has exited.
func (p *daemonProcess) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.awaitExit()
}

func (p *daemonProcess) suspend() { p.signal(syscall.SIGSTOP) }
func (p *daemonProcess) resume()  { p.signal(syscall.SIGCONT) }

// close stops all daemons, proxies and fake targets.
func (r *testbed) close() {
	for _, p := range r.daemons {
		p.resume()
		p.kill()
		if p.storeProxy != nil {
			p.storeProxy.close()
			p.boxes.Close()
		}
		for _, l := range p.peerProxies {
			l.close()
		}
	}
	r.site.Close()
}

// errNotYet reports that a condition does not hold yet.
var errNotYet = errors.New("not yet")

// waitTimeout bounds every wait for a condition.
const waitTimeout = 60 * time.Second

// waitUntil calls f until it returns no error.
func waitUntil(what string, f func() error) error {
	end := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrap(err, "timed out waiting for "+what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// callOperatorAPI sends a request to a daemon's operator API.
func (r *testbed) callOperatorAPI(p *daemonProcess, method, path string, body, reply any) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, p.Operators+path, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+r.site.File.OperatorKey)
	resp, err := r.caller.HTTP().Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode/100 != 2 {
		return resp.StatusCode, errors.Errorf("%s %s: %s", method, path, got)
	}
	if reply == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.Unmarshal(got, reply)
}

// resource is a resource as the operator API returns it.
type resource struct {
	Kind            string          `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion string          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec"`
}

// apply applies the site's resources and waits until all daemons are ready.
func (r *testbed) apply() error {
	if err := r.applyTo(r.daemons[0]); err != nil {
		return err
	}
	return r.awaitReady()
}

// applyTo applies the site's resources through one daemon, once all respond.
func (r *testbed) applyTo(through *daemonProcess) error {
	for _, p := range r.daemons {
		err := waitUntil(p.Name+" to respond", func() error {
			_, err := r.callOperatorAPI(p, http.MethodGet, "/v1/status", nil, nil)
			return err
		})
		if err != nil {
			return err
		}
	}
	for _, res := range r.site.Resources() {
		path := "/v1/resources/" + string(res.Kind) + "/" + res.Name + "?force=true"
		body := struct {
			Spec json.RawMessage `json:"spec"`
		}{res.Spec}
		if err := waitUntil(path, func() error { _, err := r.callOperatorAPI(through, http.MethodPut, path, body, nil); return err }); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every daemon is ready, has received the load of every
// engine, and sees all daemons alive.
func (r *testbed) awaitReady() error {
	for _, p := range r.daemons {
		if err := r.awaitDaemonReady(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *testbed) awaitDaemonReady(p *daemonProcess) error {
	return waitUntil(p.Name+" to be ready", func() error {
		var st struct {
			NotReady string `json:"notReady"`
			Targets  []struct{ Load string }
			Daemons  []struct{ Alive, Listed bool }
		}
		if _, err := r.callOperatorAPI(p, http.MethodGet, "/v1/status", nil, &st); err != nil {
			return err
		}
		loads, alive := 0, 0
		for _, t := range st.Targets {
			if t.Load != "" {
				loads++
			}
		}
		for _, d := range st.Daemons {
			if d.Alive {
				alive++
			}
		}
		if st.NotReady != "" || loads < len(r.site.Engines) || alive < len(r.daemons) {
			return errors.Wrapf(errNotYet, "%q, %d loads, %d alive", st.NotReady, loads, alive)
		}
		return nil
	})
}

// setBoxState changes the state of a box in every daemon's box list.
func (r *testbed) setBoxState(name string, s plat.BoxState) {
	for _, p := range r.daemons {
		p.boxes.SetState(name, s)
	}
}

// logs returns the logs of all daemons.
func (r *testbed) logs() (string, error) {
	var b strings.Builder
	for _, p := range r.daemons {
		raw, err := os.ReadFile(p.Settings + ".log")
		if err != nil {
			return "", err
		}
		b.Write(raw)
	}
	return b.String(), nil
}

// buildDaemon builds the daemon binary in dir and returns its path.
func buildDaemon(dir string) (string, error) {
	out := filepath.Join(dir, "emberd")
	cmd := exec.Command("go", "build", "-o", out, ".")
	cmd.Dir = filepath.Join("..", "..", "emberd")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return out, nil
}
