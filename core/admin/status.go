package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/fleet"
)

// drain drains a target, so that it gets no new work, or cancels that. The order reaches
// other daemons without the coordination store; it is also written to the configuration,
// so that it persists.
func (s *Server) drain(c echo.Context) error {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	dec := json.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return writeRejection(c, invalidField("leaving", "must be true or false"))
	}
	name := c.Param("target")
	r := s.o.Conf.Snapshot().Resource(conf.KindTarget, name)
	if r == nil {
		return writeRejection(c, &conf.Rejection{Code: conf.CodeNotFound, Text: "there is no targets/" + name})
	}
	s.o.Fleet.SetDrain(name, body.Leaving)
	t := *r.Spec().(*conf.Target)
	t.Drain = body.Leaving
	raw, err := json.Marshal(&t)
	if err != nil {
		return err
	}
	_, err = s.o.Writer.Commit(c.Request().Context(), conf.Write{Kind: conf.KindTarget, Name: name, Spec: raw, Version: r.Version()})
	response := struct {
		Target  string `json:"target"`
		Leaving bool   `json:"leaving"`
		// Committed reports whether the order was also written to the configuration.
		Committed bool `json:"kept"`
	}{name, body.Leaving, err == nil}
	return c.JSON(http.StatusOK, response)
}

// daemonStatus is the status of one daemon.
type daemonStatus struct {
	Name   string `json:"name"`
	Cell   int    `json:"cell"`
	Domain string `json:"domain"`
	Alive  bool   `json:"alive"`
	// Listed reports whether the box list shows the daemon as live.
	Listed   bool `json:"listed"`
	Draining bool `json:"draining"`
	// Sequence is the configuration sequence that the daemon has applied.
	Sequence uint64 `json:"sequence"`
}

// targetStatus is the status of one target.
type targetStatus struct {
	Name   string          `json:"name"`
	Type   conf.TargetType `json:"type"`
	Domain string          `json:"domain,omitempty"`
	// Usable reports whether the target may get new work.
	Usable bool `json:"usable"`
	// Load describes a worker's load; empty if none was reported.
	Load string `json:"load,omitempty"`
}

// leaseStatus is one assignment and the daemon that holds it.
type leaseStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// linkStatus is the status of the link to one KV-cache store.
type linkStatus struct {
	Store          string  `json:"store"`
	BacklogBytes   int64   `json:"backlogBytes"`
	BytesPerSecond float64 `json:"bytesPerSecond"`
}

func (s *Server) status(c echo.Context) error {
	snap, view := s.o.Conf.Snapshot(), s.o.Fleet.View()
	lagging := s.o.Spread.Lagging(c.Request().Context(), snap.Seq())
	body := struct {
		Daemon   string  `json:"daemon"`
		NotReady string  `json:"notReady,omitempty"`
		Running  int64   `json:"running"`
		Sequence uint64  `json:"sequence"`
		Status   *Status `json:"configuration"`
		// Confirmed is the time since the configuration was last verified to be the
		// latest, as a Go duration; empty if it never was.
		Confirmed string         `json:"confirmedAgo"`
		Cells     int            `json:"cells"`
		Daemons   []daemonStatus `json:"daemons"`
		Targets   []targetStatus `json:"targets"`
		Leases    []leaseStatus  `json:"leases"`
		Links     []linkStatus   `json:"links"`
	}{
		Daemon: view.Self(), NotReady: s.o.NotReadyReason(), Running: s.o.RequestsRunning(), Sequence: snap.Seq(),
		Status: statusFor(lagging), Cells: view.Cells(), Daemons: s.daemons(snap, view),
	}
	if at := s.o.Conf.Confirmed(); !at.IsZero() {
		body.Confirmed = clock.Since(at).Round(time.Millisecond).String()
	}
	for _, r := range snap.List(conf.KindTarget) {
		t := r.Spec().(*conf.Target)
		body.Targets = append(body.Targets, targetStatus{r.Name(), t.Type, t.Domain, view.Usable(r.Name(), t), s.load(r.Name())})
		if t.Type == conf.TypeStore {
			backlog, rate := s.o.ContextOwner.LinkStatus(r.Name(), t)
			body.Links = append(body.Links, linkStatus{r.Name(), backlog, rate})
		}
	}
	for _, name := range s.o.Assignments {
		body.Leases = append(body.Leases, leaseStatus{name, view.FleetAssignee(fleet.Key(name))})
	}
	return c.JSON(http.StatusOK, body)
}

func (s *Server) daemons(snap *conf.Snapshot, view *fleet.View) []daemonStatus {
	out := []daemonStatus{{
		Name: view.Self(), Cell: view.Cell(), Domain: view.Boxes()[view.Self()].Domain, Alive: true,
		Listed: true, Draining: view.Draining(), Sequence: snap.Seq(),
	}}
	for _, p := range view.Peers() {
		out = append(out, daemonStatus{
			p.Name, p.Cell, p.Domain, p.Alive, p.Listed, p.Draining, s.o.Spread.PeerSeq(p.Name),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (s *Server) load(worker string) string {
	w, ok := s.o.ContextOwner.WorkerStatus(worker)
	if !ok {
		return ""
	}
	text := fmt.Sprintf("%d tokens wait, %d answers run, %d of %d blocks free, %s",
		w.QueuedTokens, w.Running, w.FreeBlocks, w.TotalBlocks, strings.Join(w.LoadedWeights, " "))
	if w.Loading {
		text += ", loading"
	}
	return text
}
