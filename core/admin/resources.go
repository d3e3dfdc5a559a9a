package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
)

// Resource is the wire form of a resource.
type Resource struct {
	Kind            conf.Kind       `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion string          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec,omitempty"`
	Status          *Status         `json:"status,omitempty"`
}

// Status says where a resource is in force.
type Status struct {
	// State is accepted once every live daemon has the resource in force, and
	// pending before that.
	State string `json:"state"`
	// NotYetAt names the live daemons that do not have it in force.
	NotYetAt []string `json:"notYetAt,omitempty"`
}

// The states of a resource.
const (
	stateAccepted = "accepted"
	statePending  = "pending"
)

func statusFor(missing []string) *Status {
	if len(missing) == 0 {
		return &Status{State: stateAccepted}
	}
	return &Status{State: statePending, NotYetAt: missing}
}

func encode(r *conf.Resource) (Resource, error) {
	raw, err := json.Marshal(r.Spec())
	return Resource{
		Kind: r.Kind(), Name: r.Name(), ResourceVersion: strconv.FormatUint(r.Version(), 10), Spec: raw,
	}, err
}

func (s *Server) read(c echo.Context) error {
	kind, name := conf.Kind(c.Param("kind")), c.Param("name")
	r := s.o.Conf.Snapshot().Resource(kind, name)
	if r == nil {
		return refuse(c, &conf.Rejection{Code: conf.CodeNotFound, Text: "there is no " + string(kind) + "/" + name})
	}
	out, err := encode(r)
	if err != nil {
		return err
	}
	out.Status = statusFor(s.o.Spread.Lagging(c.Request().Context(), r.Version()))
	return c.JSON(http.StatusOK, out)
}

// listBody is the wire form of a list. Its version is where a watch goes on.
type listBody struct {
	ResourceVersion string     `json:"resourceVersion"`
	Items           []Resource `json:"items"`
}

func knownKind(k conf.Kind) bool {
	for _, v := range conf.Kinds() {
		if v == k {
			return true
		}
	}
	return false
}

func (s *Server) list(c echo.Context) error {
	kind := conf.Kind(c.Param("kind"))
	if !knownKind(kind) {
		return refuse(c, &conf.Rejection{Code: conf.CodeUnknownKind, Text: "there is no kind " + string(kind)})
	}
	if c.QueryParam("watch") != "" {
		return s.watch(c, kind)
	}
	snap := s.o.Conf.Snapshot()
	body := listBody{ResourceVersion: strconv.FormatUint(snap.Seq(), 10), Items: []Resource{}}
	for _, r := range snap.List(kind) {
		out, err := encode(r)
		if err != nil {
			return err
		}
		body.Items = append(body.Items, out)
	}
	return c.JSON(http.StatusOK, body)
}

// watchEvent is one line of a watch.
type watchEvent struct {
	// Type is put, delete or progress. Progress only moves the version on.
	Type     string   `json:"type"`
	Resource Resource `json:"resource"`
}

// progressPause is the longest silence of a watch.
const progressPause = 5 * time.Second

// watch streams the changes of a kind after a version, one line each.
func (s *Server) watch(c echo.Context, kind conf.Kind) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return refuse(c, invalid("from", "must be the version after which the watch begins"))
	}
	if _, ok := s.o.Conf.Since(from); !ok {
		return refuse(c, &conf.Rejection{Code: conf.CodeCompacted, Text: "the version is too old: list the kind and watch from there"})
	}
	c.Response().Header().Set("Content-Type", "application/jsonl")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	enc := json.NewEncoder(c.Response())
	for {
		changed := s.o.Conf.Changed()
		changes, ok := s.o.Conf.Since(from)
		if !ok {
			return nil
		}
		for _, ch := range changes {
			from = ch.Seq
			if ch.Kind != kind {
				continue
			}
			if err := enc.Encode(eventOf(ch)); err != nil {
				return nil
			}
		}
		if !s.progress(c, enc, kind, from, changed) {
			return nil
		}
	}
}

func (s *Server) progress(c echo.Context, enc *json.Encoder, kind conf.Kind, from uint64, changed <-chan struct{}) bool {
	c.Response().Flush()
	t := time.NewTimer(progressPause)
	defer t.Stop()
	select {
	case <-c.Request().Context().Done():
		return false
	case <-changed:
		return true
	case <-t.C:
		line := watchEvent{Type: "progress", Resource: Resource{Kind: kind, ResourceVersion: strconv.FormatUint(from, 10)}}
		return enc.Encode(line) == nil
	}
}

func eventOf(ch conf.Change) watchEvent {
	ev := watchEvent{Type: "put", Resource: Resource{
		Kind: ch.Kind, Name: ch.Name, ResourceVersion: strconv.FormatUint(ch.Seq, 10), Spec: ch.Spec,
	}}
	if ch.Deleted {
		ev.Type = "delete"
	}
	return ev
}

// readResource reads a body strictly.
func readResource(c echo.Context) (Resource, *conf.Rejection) {
	var r Resource
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return r, invalid("body", "cannot be read whole, or is over "+strconv.Itoa(maxBody)+" bytes")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return r, invalid(bodyField(err), err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return r, invalid("body", "has more after its end")
	}
	if len(r.Spec) == 0 {
		return r, invalid("spec", "is required")
	}
	return r, nil
}

// bodyField finds the field that a decoding error names.
func bodyField(err error) string {
	if _, after, ok := strings.Cut(err.Error(), "unknown field \""); ok {
		return strings.TrimSuffix(after, "\"")
	}
	return "body"
}

func (s *Server) create(c echo.Context) error {
	body, rej := readResource(c)
	if rej != nil {
		return refuse(c, rej)
	}
	kind := conf.Kind(c.Param("kind"))
	if body.Kind != "" && body.Kind != kind {
		return refuse(c, invalid("kind", "differs from the path"))
	}
	return s.commit(c, conf.Write{Kind: kind, Name: body.Name, Spec: body.Spec})
}

func (s *Server) update(c echo.Context) error {
	body, rej := readResource(c)
	if rej != nil {
		return refuse(c, rej)
	}
	kind, name := conf.Kind(c.Param("kind")), c.Param("name")
	switch {
	case body.Kind != "" && body.Kind != kind:
		return refuse(c, invalid("kind", "differs from the path"))
	case body.Name != "" && body.Name != name:
		return refuse(c, invalid("name", "differs from the path"))
	}
	w := conf.Write{Kind: kind, Name: name, Spec: body.Spec, Any: c.QueryParam("force") == "true"}
	if !w.Any {
		if w.Version, rej = parseVersion(body.ResourceVersion); rej != nil {
			return refuse(c, rej)
		}
	}
	return s.commit(c, w)
}

func (s *Server) remove(c echo.Context) error {
	w := conf.Write{Kind: conf.Kind(c.Param("kind")), Name: c.Param("name"), Any: c.QueryParam("force") == "true"}
	if !w.Any {
		var rej *conf.Rejection
		if w.Version, rej = parseVersion(c.QueryParam("resourceVersion")); rej != nil {
			return refuse(c, rej)
		}
	}
	return s.commit(c, w)
}

func parseVersion(text string) (uint64, *conf.Rejection) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, invalid("resourceVersion", "must be the version that was read, or use force=true to replace any")
	}
	return v, nil
}

// acceptLimit bounds the wait until a change is in force everywhere.
const acceptLimit = 12 * time.Second

// commit commits a write and answers once it is in force everywhere, or with
// the daemons where it is not.
func (s *Server) commit(c echo.Context, w conf.Write) error {
	change, err := s.o.Writer.Commit(context.WithoutCancel(c.Request().Context()), w)
	if rej, ok := err.(*conf.Rejection); ok {
		return refuse(c, rej)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), acceptLimit)
	defer cancel()
	missing := s.o.Spread.AwaitApplied(ctx, change.Seq)
	out := Resource{
		Kind: change.Kind, Name: change.Name, ResourceVersion: strconv.FormatUint(change.Seq, 10),
		Spec: change.Spec, Status: statusFor(missing),
	}
	if len(missing) == 0 {
		return c.JSON(http.StatusOK, out)
	}
	s.o.Log.Emit(event.ConfPending, event.Ref{Resource: string(w.Kind) + "/" + w.Name}, strings.Join(missing, " "))
	return c.JSON(http.StatusAccepted, out)
}
