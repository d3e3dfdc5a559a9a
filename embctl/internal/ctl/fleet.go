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

// addFleetCommands adds the commands that show and control the fleet.
func (p *program) addFleetCommands(app *kingpin.Application) {
	drain := app.Command("drain", "Give a target no new work. The order spreads without the key-value service.")
	drainTarget := drain.Arg("target", "Name of the target.").Required().String()
	drainUndo := drain.Flag("undo", "Give it work again.").Bool()
	p.addCommand(drain, p.withClient(func() error { return p.drain(*drainTarget, !*drainUndo) }))

	blocked := app.Command("blocked", "List the requests that are given to no target, since targets end of them.")
	p.addCommand(blocked, p.withClient(p.listBlocked))
	release := app.Command("release", "Let a blocked request go, in all daemons.")
	releaseDigest := release.Arg("asks", "Fingerprint of the request, as blocked and log lines name it.").Required().String()
	p.addCommand(release, p.withClient(func() error { return p.releaseBlocked(*releaseDigest) }))

	status := app.Command("status", "Show cells, boxes, targets and where the configuration is in force.")
	p.addCommand(status, p.withClient(p.status))

	timelineCmd := app.Command("timeline", "Merge the events of all daemons into one ordered line.")
	var f event.Filter
	timelineCmd.Flag("request", "Only of this request.").StringVar(&f.Request)
	timelineCmd.Flag("context", "Only of this context.").StringVar(&f.Context)
	timelineCmd.Flag("organisation", "Only of this organisation.").StringVar(&f.Organisation)
	timelineCmd.Flag("target", "Only of this target.").StringVar(&f.Target)
	timelineCmd.Flag("resource", "Only of this resource, as kind/name.").StringVar(&f.Resource)
	code := timelineCmd.Flag("code", "Only events of this number.").Int()
	svgFile := timelineCmd.Flag("svg", "Write a picture to this file instead of text.").String()
	timelineLogs := timelineCmd.Flag("logs", "Read log lines from this file, or - for standard input, instead of asking the daemons.").String()
	p.addCommand(timelineCmd, p.withEvents(timelineLogs, func(source eventSource) error {
		f.Code = event.Code(*code)
		return p.timeline(source, f, *svgFile)
	}))

	explain := app.Command("explain", "Say why a request went where it went and what was weighed.")
	request := explain.Arg("request", "Name of the request, as its X-Request-Id header gave it.").Required().String()
	explainLogs := explain.Flag("logs", "Read log lines from this file, or - for standard input, instead of asking the daemons.").String()
	p.addCommand(explain, p.withEvents(explainLogs, func(source eventSource) error { return p.explain(source, *request) }))
}

// listBlocked prints the blocked requests: those that no target may receive because targets
// crashed under them.
func (p *program) listBlocked() error {
	var got struct {
		Blocked []struct {
			// Digest is the request digest.
			Digest       string `json:"asks"`
			Organisation string `json:"organisation"`
			// Until is when the request is no longer blocked.
			Until time.Time `json:"until"`
			// Times is how often the request was blocked in succession.
			Times int `json:"times"`
			// Parts are those that a prompt must hold all of to be blocked.
			Parts []string `json:"parts"`
		} `json:"blocked"`
	}
	if err := p.client.call(http.MethodGet, "/v1/blocked", nil, &got); err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ASKS\tORGANISATION\tUNTIL\tTIMES\tPARTS")
	for _, b := range got.Blocked {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", b.Digest, b.Organisation, b.Until.Format(time.RFC3339), b.Times, strings.Join(b.Parts, ","))
	}
	return errors.WithStack(w.Flush())
}

// releaseBlocked removes the block of a request in all daemons.
func (p *program) releaseBlocked(digest string) error {
	var got struct {
		Released string `json:"released"`
	}
	if err := p.client.call(http.MethodDelete, "/v1/blocked/"+url.PathEscape(digest), nil, &got); err != nil {
		return err
	}
	fmt.Fprintln(p.out, "released", got.Released)
	return nil
}

// eventSource returns the events that a filter selects, as one timeline.
type eventSource func(f event.Filter) ([]event.Event, error)

// withEvents wraps run so that it gets its events from the log file if one is given, and
// from the daemons otherwise.
func (p *program) withEvents(logs *string, run func(source eventSource) error) func() error {
	remote := p.withClient(func() error { return run(p.eventsFromDaemons) })
	return func() error {
		if *logs == "" {
			return remote()
		}
		return run(func(f event.Filter) ([]event.Event, error) { return p.eventsFromLogs(*logs, f) })
	}
}

// eventsFromLogs returns the events in a file of log lines, or in standard input for "-".
func (p *program) eventsFromLogs(path string, f event.Filter) ([]event.Event, error) {
	in := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer file.Close()
		in = file
	}
	lists, unparsed, err := event.ReadLines(in)
	if err != nil {
		return nil, err
	}
	if len(lists) == 0 && unparsed > 0 {
		return nil, errors.Errorf("none of the %d lines is an event of a daemon", unparsed)
	}
	return event.Merge(lists, f), nil
}

// drain starts or ends the drain of a target.
func (p *program) drain(target string, on bool) error {
	body := struct {
		Leaving bool `json:"leaving"`
	}{on}
	var got struct {
		// Committed is set if the drain was also written to the configuration.
		Committed bool `json:"kept"`
	}
	if err := p.client.call(http.MethodPost, "/v1/drains/"+url.PathEscape(target), body, &got); err != nil {
		return err
	}
	state := "gets work again"
	if on {
		state = "gets no new work"
	}
	fmt.Fprintf(p.out, "targets/%s %s\n", target, state)
	if !got.Committed {
		fmt.Fprintln(p.out, "the configuration does not hold the order; give it again once the key-value service answers")
	}
	return nil
}

// fleetStatus is one daemon's view of the fleet.
type fleetStatus struct {
	// Daemon is the name of the daemon that responded.
	Daemon string `json:"daemon"`
	// NotReady is why this daemon is not ready; empty if it is.
	NotReady string `json:"notReady"`
	// Running is the number of requests in this daemon.
	Running int64 `json:"running"`
	// Sequence is the sequence number of the configuration that this daemon applies.
	Sequence      uint64         `json:"sequence"`
	Configuration resourceStatus `json:"configuration"`
	// ConfirmedAgo is the time since the configuration was verified to be the latest; empty
	// if it never was.
	ConfirmedAgo string `json:"confirmedAgo"`
	Cells        int    `json:"cells"`
	Daemons      []struct {
		Name   string `json:"name"`
		Cell   int    `json:"cell"`
		Domain string `json:"domain"`
		// Alive is set if the daemon is alive in the view of the one that responded.
		Alive bool `json:"alive"`
		// Listed is set if the box list shows the box as live.
		Listed   bool `json:"listed"`
		Draining bool `json:"draining"`
		// Sequence is that of the configuration that the daemon applies.
		Sequence uint64 `json:"sequence"`
	} `json:"daemons"`
	Targets []struct {
		Name   string `json:"name"`
		Type   string `json:"type"`
		Domain string `json:"domain"`
		// Usable is set if the target may get requests.
		Usable bool   `json:"usable"`
		Load   string `json:"load"`
	} `json:"targets"`
	// Leases are the assignments and the daemons that hold them.
	Leases []struct {
		Name   string `json:"name"`
		Holder string `json:"holder"`
	} `json:"leases"`
	// Links are the network links of the KV-cache stores.
	Links []struct {
		Store          string  `json:"store"`
		BacklogBytes   int64   `json:"backlogBytes"`
		BytesPerSecond float64 `json:"bytesPerSecond"`
	} `json:"links"`
}

// status prints the fleet as one daemon sees it.
func (p *program) status() error {
	var s fleetStatus
	if err := p.client.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
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

// boxState returns the printed state of a daemon's box.
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

// eventsFromDaemons returns the events that the daemons have stored, and prints which daemons
// did not respond.
func (p *program) eventsFromDaemons(f event.Filter) ([]event.Event, error) {
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
		// Unreachable has the names of daemons that did not respond.
		Unreachable []string `json:"silent"`
	}
	if err := p.client.call(http.MethodGet, "/v1/timeline?"+q.Encode(), nil, &body); err != nil {
		return nil, err
	}
	if len(body.Unreachable) > 0 {
		fmt.Fprintln(p.out, "no events from:", strings.Join(body.Unreachable, " "))
	}
	return body.Events, nil
}

// clockLayout is the layout of printed times.
const clockLayout = "15:04:05.000000"

// timeline prints the events that a filter selects, or draws them into svgFile unless it is
// empty.
func (p *program) timeline(source eventSource, f event.Filter, svgFile string) error {
	events, err := source(f)
	if err != nil {
		return err
	}
	if svgFile != "" {
		return errors.WithStack(os.WriteFile(svgFile, drawTimeline(events), fileMode))
	}
	for _, ev := range events {
		fmt.Fprintf(p.out, "%s %-10s %d %s%s %s\n", ev.At.Format(clockLayout), ev.Process, ev.Code, ev.Name, formatRef(ev), ev.Text)
	}
	return nil
}

// fileMode is the mode of written pictures.
const fileMode = 0o644

// formatRef returns what an event refers to, as " key=value" pairs.
func formatRef(ev event.Event) string {
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

// explain prints the events of a request with the time since the first, and the parts of
// their texts on lines of their own.
func (p *program) explain(source eventSource, request string) error {
	events, err := source(event.Filter{Ref: event.Ref{Request: request}})
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return errors.Errorf("no event of request %s is known", request)
	}
	start := events[0].At
	for _, ev := range events {
		fmt.Fprintf(p.out, "%9s  %-10s %s", ev.At.Sub(start).Round(10*time.Microsecond), ev.Process, ev.Name)
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
