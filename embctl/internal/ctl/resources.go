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

// resource is one resource of the operators' API.
type resource struct {
	Kind conf.Kind `json:"kind"`
	Name string    `json:"name"`
	// ResourceVersion is the version; in a change it is the expected one, empty for any.
	ResourceVersion string          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec,omitempty"`
	Status          *resourceStatus `json:"status,omitempty"`
}

// resourceStatus tells which daemons have applied a change.
type resourceStatus struct {
	// State is "accepted" once all live daemons have applied the change, and "pending"
	// before.
	State string `json:"state"`
	// NotYetAt has the daemons that have not applied the change.
	NotYetAt []string `json:"notYetAt,omitempty"`
}

// addResourceCommands adds the commands that read and change resources.
func (p *program) addResourceCommands(app *kingpin.Application) {
	apply := app.Command("apply", "Create or replace the resources of a YAML file. A resource with resourceVersion is only replaced at that version.")
	file := apply.Flag("file", "The file; - reads standard input.").Short('f').Required().String()
	p.addCommand(apply, p.withClient(func() error { return p.apply(*file) }))

	get := app.Command("get", "Show one resource, or all of a kind.")
	getKind := get.Arg("kind", "operators, organisations, deployments, services, targets or policies.").Required().String()
	getName := get.Arg("name", "Name of one resource.").String()
	p.addCommand(get, p.withClient(func() error { return p.get(*getKind, *getName) }))

	deleteCmd := app.Command("delete", "Delete a resource.")
	deleteKind := deleteCmd.Arg("kind", "Kind of the resource.").Required().String()
	deleteName := deleteCmd.Arg("name", "Name of the resource.").Required().String()
	deleteVersion := deleteCmd.Flag("resourceVersion", "Delete it only at this version.").String()
	p.addCommand(deleteCmd, p.withClient(func() error { return p.deleteResource(*deleteKind, *deleteName, *deleteVersion) }))

	watch := app.Command("watch", "Print the changes of a kind as they come, one JSON line each.")
	watchKind := watch.Arg("kind", "Kind to watch.").Required().String()
	watchFrom := watch.Flag("from", "Version after which to begin; empty begins now.").String()
	watchCount := watch.Flag("count", "End after so many changes; 0 goes on.").Int()
	p.addCommand(watch, p.withClient(func() error { return p.watch(*watchKind, *watchFrom, *watchCount) }))
}

// resourcePath returns the path of a resource in the API.
func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// apply creates or replaces the resources of a file, each after those that it refers to.
func (p *program) apply(file string) error {
	in := io.Reader(os.Stdin)
	// The parser passes a lone dash as an empty value.
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
		if err := p.client.call(http.MethodPut, path, r, &got); err != nil {
			return errors.Wrapf(err, "%s/%s", r.Kind, r.Name)
		}
		pending = p.reportChange(got) || pending
	}
	if pending {
		return errPending
	}
	return nil
}

// reportChange prints the outcome of a change and returns whether it is pending.
func (p *program) reportChange(r resource) bool {
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

// readResources reads the documents of a YAML file and sorts them so that each comes after
// those that it refers to.
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
	slices.SortStableFunc(list, func(a, b resource) int { return kindOrder(a.Kind) - kindOrder(b.Kind) })
	return list, nil
}

// kindOrder returns the position of a kind among all kinds, -1 for an unknown one. Resources
// refer only to kinds before their own.
func kindOrder(k conf.Kind) int { return slices.Index(conf.Kinds(), k) }

// resource checks a document and converts it.
func (d *document) resource() (resource, error) {
	r := resource{Kind: conf.Kind(d.Kind), Name: d.Name, ResourceVersion: d.ResourceVersion}
	if kindOrder(r.Kind) < 0 {
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

// get prints one resource, or a table of all resources of a kind if name is empty.
func (p *program) get(kind, name string) error {
	if name != "" {
		var r resource
		if err := p.client.call(http.MethodGet, resourcePath(kind, name), nil, &r); err != nil {
			return err
		}
		return p.printJSON(r)
	}
	var list struct {
		ResourceVersion string     `json:"resourceVersion"`
		Items           []resource `json:"items"`
	}
	if err := p.client.call(http.MethodGet, "/v1/resources/"+url.PathEscape(kind), nil, &list); err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tVERSION\tSPEC")
	for _, r := range list.Items {
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Name, r.ResourceVersion, r.Spec)
	}
	return errors.WithStack(w.Flush())
}

// printJSON prints v as indented JSON.
func (p *program) printJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintln(p.out, string(raw))
	return nil
}

// deleteResource deletes a resource, if version is empty or its current one.
func (p *program) deleteResource(kind, name, version string) error {
	query := "?force=true"
	if version != "" {
		query = "?resourceVersion=" + url.QueryEscape(version)
	}
	var got resource
	if err := p.client.call(http.MethodDelete, resourcePath(kind, name)+query, nil, &got); err != nil {
		return err
	}
	if p.reportChange(got) {
		return errPending
	}
	return nil
}

// watch prints changes until it has printed count, or without end if count is 0. It resumes
// a broken stream after the last version received.
func (p *program) watch(kind, from string, count int) error {
	if from == "" {
		var list struct {
			ResourceVersion string `json:"resourceVersion"`
		}
		if err := p.client.call(http.MethodGet, "/v1/resources/"+url.PathEscape(kind), nil, &list); err != nil {
			return err
		}
		from = list.ResourceVersion
	}
	for printed := 0; ; {
		n, last, err := p.watchOnce(kind, from, count-printed)
		printed += n
		if err != nil || (count > 0 && printed >= count) {
			return err
		}
		if last != "" {
			from = last
		}
	}
}

// maxWatchLineBytes bounds one line of a watch stream.
const maxWatchLineBytes = 1 << 20

// watchOnce prints changes until the stream ends or it has printed limit, unless that is 0
// or less. It returns the number printed and the last version.
func (p *program) watchOnce(kind, from string, limit int) (n int, last string, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	path := "/v1/resources/" + url.PathEscape(kind) + "?watch=true&from=" + url.QueryEscape(from)
	resp, err := p.client.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		return 0, "", responseError(resp.Status, raw)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchLineBytes)
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
		if n++; limit > 0 && n >= limit {
			break
		}
	}
	return n, last, nil
}
