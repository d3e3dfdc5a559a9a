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
	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

// program is the path of the built daemon; TestMain sets it.
var program string

// proc is one daemon process.
type proc struct {
	fake.SiteDaemon
	// relays lead from this daemon to the key-value service and to its peers.
	kv    *relay
	peers map[string]*relay
	boxes *fake.Boxes

	procMu sync.Mutex
	cmd    *exec.Cmd // guarded by procMu
}

// rig is a site of stand-ins with running daemons.
type rig struct {
	site   *fake.Site
	dir    string
	procs  []*proc
	caller *play.Caller
}

// newRig starts stand-ins and daemons, with relays between them, and applies
// the site's resources.
func newRig(dir string, o fake.SiteOptions) (*rig, error) {
	r, err := newSite(dir, o)
	if err != nil {
		return r, err
	}
	for _, p := range r.procs {
		if err := r.wire(p); err != nil {
			return r, err
		}
	}
	if err := r.start(); err != nil {
		return r, err
	}
	return r, r.apply()
}

// newSite starts stand-ins and prepares daemons.
func newSite(dir string, o fake.SiteOptions) (*rig, error) {
	o.Dir = dir
	site, err := fake.NewSite(o)
	if err != nil {
		return nil, err
	}
	r := &rig{site: site, dir: dir}
	if r.caller, err = play.NewCaller(site.File.CA); err != nil {
		return nil, err
	}
	for _, d := range site.File.Daemons {
		r.procs = append(r.procs, &proc{SiteDaemon: d, peers: map[string]*relay{}})
	}
	return r, nil
}

func (r *rig) start() error {
	for _, p := range r.procs {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// wire puts relays between a daemon and what it reaches, and a box list of its
// own that names them.
func (r *rig) wire(p *proc) error {
	var err error
	if p.kv, err = newRelay(strings.TrimPrefix(r.site.File.KeyValue, "http://")); err != nil {
		return err
	}
	if p.boxes, err = fake.NewBoxes("127.0.0.1:0"); err != nil {
		return err
	}
	for _, d := range r.site.File.Daemons {
		box := plat.Box{Name: d.Name, Role: plat.RoleEntry, Address: d.Peers, Domain: d.Domain, State: plat.BoxLive}
		if d.Name != p.Name {
			link, err := newRelay(d.Peers)
			if err != nil {
				return err
			}
			p.peers[d.Name] = link
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
	text := strings.ReplaceAll(string(raw), r.site.File.KeyValue, "http://"+p.kv.address())
	text = strings.ReplaceAll(text, r.site.File.BoxList, p.boxes.URL()+"/v1/boxes")
	return os.WriteFile(p.Settings, []byte(text), 0o600)
}

func (p *proc) start() error {
	p.procMu.Lock()
	defer p.procMu.Unlock()
	f, err := os.OpenFile(p.Settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	p.cmd = exec.Command(program, "run", p.Settings)
	p.cmd.Stderr = f
	return p.cmd.Start()
}

func (p *proc) signal(s os.Signal) {
	p.procMu.Lock()
	defer p.procMu.Unlock()
	if p.cmd != nil {
		// A process that has ended already needs no signal.
		_ = p.cmd.Process.Signal(s)
	}
}

// end waits until the process has ended and returns its error.
func (p *proc) end() error {
	p.procMu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.procMu.Unlock()
	if cmd == nil {
		return nil
	}
	return cmd.Wait()
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.end()
}

func (p *proc) freeze() { p.signal(syscall.SIGSTOP) }
func (p *proc) wake()   { p.signal(syscall.SIGCONT) }

// close ends everything.
func (r *rig) close() {
	for _, p := range r.procs {
		p.wake()
		p.kill()
		if p.kv != nil {
			p.kv.close()
			p.boxes.Close()
		}
		for _, l := range p.peers {
			l.close()
		}
	}
	r.site.Close()
}

// errNotYet says that a condition does not hold yet.
var errNotYet = errors.New("not yet")

// waitLimit bounds every wait for a condition.
const waitLimit = 60 * time.Second

// wait waits until f gives no error.
func wait(what string, f func() error) error {
	end := time.Now().Add(waitLimit)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrap(err, "gave up waiting for "+what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// operate sends a request to a daemon's operators' side.
func (r *rig) operate(p *proc, method, path string, body, reply any) (int, error) {
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

// resource is a resource of the operators' side.
type resource struct {
	Kind            string          `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion string          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec"`
}

// apply puts the site's resources in force and waits until all is ready.
func (r *rig) apply() error {
	if err := r.applyTo(r.procs[0]); err != nil {
		return err
	}
	return r.allReady()
}

// applyTo puts the site's resources in force through one daemon, once all
// answer.
func (r *rig) applyTo(through *proc) error {
	for _, p := range r.procs {
		err := wait(p.Name+" to answer", func() error {
			_, err := r.operate(p, http.MethodGet, "/v1/status", nil, nil)
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
		if err := wait(path, func() error { _, err := r.operate(through, http.MethodPut, path, body, nil); return err }); err != nil {
			return err
		}
	}
	return nil
}

// allReady waits until every running daemon takes requests and knows the load
// of every engine.
func (r *rig) allReady() error {
	for _, p := range r.procs {
		if err := r.ready(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) ready(p *proc) error {
	return wait(p.Name+" to be ready", func() error {
		var st struct {
			NotReady string `json:"notReady"`
			Targets  []struct{ Load string }
			Daemons  []struct{ Alive, Listed bool }
		}
		if _, err := r.operate(p, http.MethodGet, "/v1/status", nil, &st); err != nil {
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
		if st.NotReady != "" || loads < len(r.site.Engines) || alive < len(r.procs) {
			return errors.Wrapf(errNotYet, "%q, %d loads, %d alive", st.NotReady, loads, alive)
		}
		return nil
	})
}

// listed changes the state of a box in every daemon's list.
func (r *rig) listed(name string, s plat.BoxState) {
	for _, p := range r.procs {
		p.boxes.SetState(name, s)
	}
}

// logs returns everything that the daemons wrote.
func (r *rig) logs() (string, error) {
	var b strings.Builder
	for _, p := range r.procs {
		raw, err := os.ReadFile(p.Settings + ".log")
		if err != nil {
			return "", err
		}
		b.Write(raw)
	}
	return b.String(), nil
}

// build builds the daemon for the tests of this package.
func build(dir string) (string, error) {
	out := filepath.Join(dir, "emberd")
	cmd := exec.Command("go", "build", "-o", out, ".")
	cmd.Dir = filepath.Join("..", "..", "emberd")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return out, nil
}
