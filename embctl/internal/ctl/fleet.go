package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
)

func (p *program) fleet(app *kingpin.Application) {
	drain := app.Command("drain", "Give a target no new work. The order spreads without the key-value service.")
	drainTarget := drain.Arg("target", "Name of the target.").Required().String()
	drainUndo := drain.Flag("undo", "Give it work again.").Bool()
	p.add(drain, p.remote(func() error { return p.drain(*drainTarget, !*drainUndo) }))

	blocked := app.Command("blocked", "List the requests that are given to no target, since targets end of them.")
	p.add(blocked, p.remote(p.blocked))
	release := app.Command("release", "Let a blocked request go, in all daemons.")
	releaseAsks := release.Arg("asks", "Fingerprint of the request, as blocked and log lines name it.").Required().String()
	p.add(release, p.remote(func() error { return p.release(*releaseAsks) }))

	status := app.Command("status", "Show cells, boxes, targets and where the configuration is in force.")
	p.add(status, p.remote(p.status))

	line := app.Command("timeline", "Merge the events of all daemons into one ordered line.")
	var f event.Filter
	line.Flag("request", "Only of this request.").StringVar(&f.Request)
	line.Flag("context", "Only of this context.").StringVar(&f.Context)
	line.Flag("organisation", "Only of this organisation.").StringVar(&f.Organisation)
	line.Flag("target", "Only of this target.").StringVar(&f.Target)
	line.Flag("resource", "Only of this resource, as kind/name.").StringVar(&f.Resource)
	code := line.Flag("code", "Only events of this number.").Int()
	picture := line.Flag("svg", "Write a picture to this file instead of text.").String()
	lineLogs := line.Flag("logs", "Read log lines from this file, or - for standard input, instead of asking the daemons.").String()
	p.add(line, p.either(lineLogs, func(source eventSource) error {
		f.Code = event.Code(*code)
		return p.timeline(source, f, *picture)
	}))

	explain := app.Command("explain", "Say why a request went where it went and what was weighed.")
	request := explain.Arg("request", "Name of the request, as its X-Request-Id header gave it.").Required().String()
	explainLogs := explain.Flag("logs", "Read log lines from this file, or - for standard input, instead of asking the daemons.").String()
	p.add(explain, p.either(explainLogs, func(source eventSource) error { return p.explain(source, *request) }))
}

// blocked lists the blocked requests.
func (p *program) blocked() error {
	var got struct {
		Blocked []struct {
			Asks         string    `json:"asks"`
			Organisation string    `json:"organisation"`
			Until        time.Time `json:"until"`
			Times        int       `json:"times"`
		} `json:"blocked"`
	}
	if err := p.client.do(http.MethodGet, "/v1/blocked", nil, &got); err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ASKS\tORGANISATION\tUNTIL\tTIMES")
	for _, b := range got.Blocked {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", b.Asks, b.Organisation, b.Until.Format(time.RFC3339), b.Times)
	}
	return errors.WithStack(w.Flush())
}

// release lets a blocked request go.
func (p *program) release(asks string) error {
	var got struct {
		Released string `json:"released"`
	}
	if err := p.client.do(http.MethodDelete, "/v1/blocked/"+url.PathEscape(asks), nil, &got); err != nil {
		return err
	}
	fmt.Fprintln(p.out, "released", got.Released)
	return nil
}

// eventSource returns the events that a filter selects, as one time line.
type eventSource func(f event.Filter) ([]event.Event, error)

// either runs a command on the events of a file of log lines where one is
// named, and of the daemons otherwise.
func (p *program) either(logs *string, run func(source eventSource) error) func() error {
	remote := p.remote(func() error { return run(p.events) })
	return func() error {
		if *logs == "" {
			return remote()
		}
		return run(func(f event.Filter) ([]event.Event, error) { return p.logged(*logs, f) })
	}
}

// logged returns the events of log lines.
func (p *program) logged(path string, f event.Filter) ([]event.Event, error) {
	in := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer file.Close()
		in = file
	}
	lists, foreign, err := event.ReadLines(in)
	if err != nil {
		return nil, err
	}
	if len(lists) == 0 && foreign > 0 {
		return nil, errors.Errorf("none of the %d lines is an event of a daemon", foreign)
	}
	return event.Merge(lists, f), nil
}

func (p *program) drain(target string, leaving bool) error {
	body := struct {
		Leaving bool `json:"leaving"`
	}{leaving}
	var got struct {
		Kept bool `json:"kept"`
	}
	if err := p.client.do(http.MethodPost, "/v1/drains/"+url.PathEscape(target), body, &got); err != nil {
		return err
	}
	state := "gets work again"
	if leaving {
		state = "gets no new work"
	}
	fmt.Fprintf(p.out, "targets/%s %s\n", target, state)
	if !got.Kept {
		fmt.Fprintln(p.out, "the configuration does not hold the order; give it again once the key-value service answers")
	}
	return nil
}

// fleetStatus is what a daemon knows of the fleet.
type fleetStatus struct {
	Daemon        string         `json:"daemon"`
	NotReady      string         `json:"notReady"`
	Running       int64          `json:"running"`
	Sequence      uint64         `json:"sequence"`
	Configuration resourceStatus `json:"configuration"`
	ConfirmedAgo  string         `json:"confirmedAgo"`
	Cells         int            `json:"cells"`
	Daemons       []struct {
		Name     string `json:"name"`
		Cell     int    `json:"cell"`
		Domain   string `json:"domain"`
		Alive    bool   `json:"alive"`
		Listed   bool   `json:"listed"`
		Draining bool   `json:"draining"`
		Sequence uint64 `json:"sequence"`
	} `json:"daemons"`
	Targets []struct {
		Name   string `json:"name"`
		Type   string `json:"type"`
		Domain string `json:"domain"`
		Usable bool   `json:"usable"`
		Load   string `json:"load"`
	} `json:"targets"`
	Leases []struct {
		Name   string `json:"name"`
		Holder string `json:"holder"`
	} `json:"leases"`
	Links []struct {
		Store          string  `json:"store"`
		BacklogBytes   int64   `json:"backlogBytes"`
		BytesPerSecond float64 `json:"bytesPerSecond"`
	} `json:"links"`
}

func (p *program) status() error {
	var s fleetStatus
	if err := p.client.do(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	ready := "ready"
	if s.NotReady != "" {
		ready = "not ready: " + s.NotReady
	}
	fmt.Fprintf(p.out, "seen from %s (%s), %d requests running, %d cells\n", s.Daemon, ready, s.Running, s.Cells)
	fmt.Fprintf(p.out, "configuration %d %s %s, confirmed %s ago\n\n", s.Sequence, s.Configuration.State,
		strings.Join(s.Configuration.NotYetAt, " "), s.ConfirmedAgo)
	w := tabwriter.NewWriter(p.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "BOX\tCELL\tDOMAIN\tSTATE\tCONFIGURATION")
	for _, d := range s.Daemons {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\n", d.Name, d.Cell, d.Domain, boxState(d.Alive, d.Listed, d.Draining), d.Sequence)
	}
	fmt.Fprintln(w, "\t\t\t\t\nTARGET\tTYPE\tDOMAIN\tSTATE\tLOAD")
	for _, t := range s.Targets {
		state := "usable"
		if !t.Usable {
			state = "no new work"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Name, t.Type, t.Domain, state, t.Load)
	}
	fmt.Fprintln(w, "\t\t\t\t\nDUTY\tHOLDER\t\t\t")
	for _, l := range s.Leases {
		fmt.Fprintf(w, "%s\t%s\t\t\t\n", l.Name, l.Holder)
	}
	fmt.Fprintln(w, "\t\t\t\t\nLINK\tBACKLOG\tRATE\t\t")
	for _, l := range s.Links {
		fmt.Fprintf(w, "%s\t%d bytes\t%.0f MB/s\t\t\n", l.Store, l.BacklogBytes, l.BytesPerSecond/1e6)
	}
	return errors.WithStack(w.Flush())
}

func boxState(alive, listed, draining bool) string {
	switch {
	case draining:
		return "draining"
	case alive && listed:
		return "live"
	case alive:
		return "live, not listed"
	case listed:
		return "silent"
	}
	return "gone"
}

func (p *program) events(f event.Filter) ([]event.Event, error) {
	q := url.Values{}
	for _, v := range [][2]string{
		{"request", f.Request},
		{"context", f.Context},
		{"organisation", f.Organisation},
		{"target", f.Target},
		{"resource", f.Resource},
	} {
		if v[1] != "" {
			q.Set(v[0], v[1])
		}
	}
	if f.Code != 0 {
		q.Set("code", f.Code.String())
	}
	var body struct {
		Events []event.Event `json:"events"`
		Silent []string      `json:"silent"`
	}
	if err := p.client.do(http.MethodGet, "/v1/timeline?"+q.Encode(), nil, &body); err != nil {
		return nil, err
	}
	if len(body.Silent) > 0 {
		fmt.Fprintln(p.out, "no events from:", strings.Join(body.Silent, " "))
	}
	return body.Events, nil
}

const clockForm = "15:04:05.000000"

func (p *program) timeline(source eventSource, f event.Filter, picture string) error {
	list, err := source(f)
	if err != nil {
		return err
	}
	if picture != "" {
		return errors.WithStack(os.WriteFile(picture, drawTimeline(list), fileMode))
	}
	for _, ev := range list {
		fmt.Fprintf(p.out, "%s %-10s %d %s%s %s\n", ev.At.Format(clockForm), ev.Process, ev.Code, ev.Name, about(ev), ev.Text)
	}
	return nil
}

const fileMode = 0o644

func about(ev event.Event) string {
	var b strings.Builder
	for _, v := range [][2]string{
		{"request", ev.Request},
		{"context", ev.Context},
		{"organisation", ev.Organisation},
		{"target", ev.Target},
		{"resource", ev.Resource},
	} {
		if v[1] != "" {
			b.WriteString(" " + v[0] + "=" + v[1])
		}
	}
	return b.String()
}

func (p *program) explain(source eventSource, request string) error {
	list, err := source(event.Filter{Ref: event.Ref{Request: request}})
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return errors.Errorf("no event of request %s is known", request)
	}
	began := list[0].At
	for _, ev := range list {
		fmt.Fprintf(p.out, "%9s  %-10s %s", ev.At.Sub(began).Round(10*time.Microsecond), ev.Process, ev.Name)
		if ev.Target != "" {
			fmt.Fprintf(p.out, " %s", ev.Target)
		}
		fmt.Fprintln(p.out)
		for _, part := range strings.Split(ev.Text, "; ") {
			fmt.Fprintln(p.out, "             ", strings.ReplaceAll(part, " [", "\n                ["))
		}
	}
	return nil
}
