package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"embertally.dev/core/conf"
)

// resource is one resource of the API.
type resource struct {
	Kind            conf.Kind       `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion string          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec,omitempty"`
	Status          *resourceStatus `json:"status,omitempty"`
}

type resourceStatus struct {
	State    string   `json:"state"`
	NotYetAt []string `json:"notYetAt,omitempty"`
}

func (p *program) resources(app *kingpin.Application) {
	apply := app.Command("apply", "Create or replace the resources of a YAML file. A resource with resourceVersion is only replaced at that version.")
	file := apply.Flag("file", "The file; - reads standard input.").Short('f').Required().String()
	p.add(apply, p.remote(func() error { return p.apply(*file) }))

	get := app.Command("get", "Show one resource, or all of a kind.")
	getKind := get.Arg("kind", "operators, organisations, deployments, services, targets or policies.").Required().String()
	getName := get.Arg("name", "Name of one resource.").String()
	p.add(get, p.remote(func() error { return p.get(*getKind, *getName) }))

	del := app.Command("delete", "Delete a resource.")
	delKind := del.Arg("kind", "Kind of the resource.").Required().String()
	delName := del.Arg("name", "Name of the resource.").Required().String()
	delVersion := del.Flag("resourceVersion", "Delete it only at this version.").String()
	p.add(del, p.remote(func() error { return p.del(*delKind, *delName, *delVersion) }))

	watch := app.Command("watch", "Print the changes of a kind as they come, one JSON line each.")
	watchKind := watch.Arg("kind", "Kind to watch.").Required().String()
	watchFrom := watch.Flag("from", "Version after which to begin; empty begins now.").String()
	watchCount := watch.Flag("count", "End after so many changes; 0 goes on.").Int()
	p.add(watch, p.remote(func() error { return p.watch(*watchKind, *watchFrom, *watchCount) }))
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// apply creates or replaces the resources of a file, in the order in which
// references need them.
func (p *program) apply(file string) error {
	in := io.Reader(os.Stdin)
	// The command line's parser gives a lone dash as an empty value.
	if file != "-" && file != "" {
		f, err := os.Open(file)
		if err != nil {
			return errors.WithStack(err)
		}
		defer f.Close()
		in = f
	}
	list, err := readResources(in)
	if err != nil {
		return err
	}
	pending := false
	for _, r := range list {
		path := resourcePath(string(r.Kind), r.Name)
		if r.ResourceVersion == "" {
			path += "?force=true"
		}
		var got resource
		if err := p.client.do(http.MethodPut, path, r, &got); err != nil {
			return errors.Wrapf(err, "%s/%s", r.Kind, r.Name)
		}
		pending = p.report(got) || pending
	}
	if pending {
		return errPending
	}
	return nil
}

// report prints what became of a change and reports whether it is pending.
func (p *program) report(r resource) bool {
	line := fmt.Sprintf("%s/%s version %s", r.Kind, r.Name, r.ResourceVersion)
	if r.Status == nil || len(r.Status.NotYetAt) == 0 {
		fmt.Fprintln(p.out, line, "accepted: in force everywhere")
		return false
	}
	fmt.Fprintln(p.out, line, "pending, not yet at:", strings.Join(r.Status.NotYetAt, " "))
	return true
}

// document is one resource of a YAML file.
type document struct {
	Kind            string    `yaml:"kind"`
	Name            string    `yaml:"name"`
	ResourceVersion string    `yaml:"resourceVersion"`
	Spec            yaml.Node `yaml:"spec"`
}

func readResources(in io.Reader) ([]resource, error) {
	dec := yaml.NewDecoder(in)
	dec.KnownFields(true)
	var list []resource
	for n := 1; ; n++ {
		var d document
		err := dec.Decode(&d)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrapf(err, "document %d", n)
		}
		r, err := d.resource()
		if err != nil {
			return nil, errors.Wrapf(err, "document %d", n)
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b resource) int { return rank(a.Kind) - rank(b.Kind) })
	return list, nil
}

func rank(k conf.Kind) int { return slices.Index(conf.Kinds(), k) }

func (d *document) resource() (resource, error) {
	r := resource{Kind: conf.Kind(d.Kind), Name: d.Name, ResourceVersion: d.ResourceVersion}
	if rank(r.Kind) < 0 {
		return r, errors.Errorf("kind: there is no kind %q", d.Kind)
	}
	if d.Name == "" || d.Spec.IsZero() {
		return r, errors.New("name and spec are required")
	}
	var spec any
	if err := d.Spec.Decode(&spec); err != nil {
		return r, errors.Wrap(err, "spec")
	}
	raw, err := json.Marshal(spec)
	r.Spec = raw
	return r, errors.Wrap(err, "spec")
}

func (p *program) get(kind, name string) error {
	if name != "" {
		var r resource
		if err := p.client.do(http.MethodGet, resourcePath(kind, name), nil, &r); err != nil {
			return err
		}
		return p.print(r)
	}
	var list struct {
		ResourceVersion string     `json:"resourceVersion"`
		Items           []resource `json:"items"`
	}
	if err := p.client.do(http.MethodGet, "/v1/resources/"+url.PathEscape(kind), nil, &list); err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tVERSION\tSPEC")
	for _, r := range list.Items {
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Name, r.ResourceVersion, r.Spec)
	}
	return errors.WithStack(w.Flush())
}

func (p *program) print(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintln(p.out, string(raw))
	return nil
}

func (p *program) del(kind, name, version string) error {
	query := "?force=true"
	if version != "" {
		query = "?resourceVersion=" + url.QueryEscape(version)
	}
	var got resource
	if err := p.client.do(http.MethodDelete, resourcePath(kind, name)+query, nil, &got); err != nil {
		return err
	}
	if p.report(got) {
		return errPending
	}
	return nil
}

// watch prints changes. A stream that breaks is taken up again where it was.
func (p *program) watch(kind, from string, count int) error {
	if from == "" {
		var list struct {
			ResourceVersion string `json:"resourceVersion"`
		}
		if err := p.client.do(http.MethodGet, "/v1/resources/"+url.PathEscape(kind), nil, &list); err != nil {
			return err
		}
		from = list.ResourceVersion
	}
	for seen := 0; ; {
		n, last, err := p.watchOnce(kind, from, count-seen)
		seen += n
		if err != nil || (count > 0 && seen >= count) {
			return err
		}
		if last != "" {
			from = last
		}
	}
}

// maxLine bounds one line of a watch.
const maxLine = 1 << 20

// watchOnce prints changes until the stream ends and returns the last version.
func (p *program) watchOnce(kind, from string, most int) (n int, last string, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	path := "/v1/resources/" + url.PathEscape(kind) + "?watch=true&from=" + url.QueryEscape(from)
	resp, err := p.client.open(ctx, http.MethodGet, path, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		return 0, "", refusal(resp.Status, raw)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var ev struct {
			Type     string   `json:"type"`
			Resource resource `json:"resource"`
		}
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return n, last, errors.Wrap(err, "watch")
		}
		last = ev.Resource.ResourceVersion
		if ev.Type == "progress" {
			continue
		}
		fmt.Fprintln(p.out, string(bytes.TrimSpace(lines.Bytes())))
		if n++; most > 0 && n >= most {
			break
		}
	}
	return n, last, nil
}
