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

// Resource is the JSON form of a resource.
type Resource struct {
	Kind            conf.Kind       `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion string          `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage `json:"spec,omitempty"`
	Status          *Status         `json:"status,omitempty"`
}

// Status describes whether every live daemon has applied a resource.
type Status struct {
	// State is "accepted" once every live daemon has applied the resource, and
	// "pending" before that.
	State string `json:"state"`
	// NotYetAt lists the live daemons that have not applied the resource.
	NotYetAt []string `json:"notYetAt,omitempty"`
}

// The states of a resource: converged or not.
const (
	stateConverged = "accepted"
	statePending   = "pending"
)

func statusFor(lagging []string) *Status {
	if len(lagging) == 0 {
		return &Status{State: stateConverged}
	}
	return &Status{State: statePending, NotYetAt: lagging}
}

func encodeResource(r *conf.Resource) (Resource, error) {
	raw, err := json.Marshal(r.Spec())
	return Resource{
		Kind: r.Kind(), Name: r.Name(), ResourceVersion: strconv.FormatUint(r.Version(), 10), Spec: raw,
	}, err
}

func (s *Server) read(c echo.Context) error {
	kind, name := conf.Kind(c.Param("kind")), c.Param("name")
	r := s.o.Conf.Snapshot().Resource(kind, name)
	if r == nil {
		return writeRejection(c, &conf.Rejection{Code: conf.CodeNotFound, Text: "there is no " + string(kind) + "/" + name})
	}
	out, err := encodeResource(r)
	if err != nil {
		return err
	}
	out.Status = statusFor(s.o.Spread.Lagging(c.Request().Context(), r.Version()))
	return c.JSON(http.StatusOK, out)
}

// listBody is the JSON form of a list. A watch from its version continues the list.
type listBody struct {
	ResourceVersion string     `json:"resourceVersion"`
	Items           []Resource `json:"items"`
}

func isKind(k conf.Kind) bool {
	for _, v := range conf.Kinds() {
		if v == k {
			return true
		}
	}
	return false
}

func (s *Server) list(c echo.Context) error {
	kind := conf.Kind(c.Param("kind"))
	if !isKind(kind) {
		return writeRejection(c, &conf.Rejection{Code: conf.CodeUnknownKind, Text: "there is no kind " + string(kind)})
	}
	if c.QueryParam("watch") != "" {
		return s.watch(c, kind)
	}
	snap := s.o.Conf.Snapshot()
	body := listBody{ResourceVersion: strconv.FormatUint(snap.Seq(), 10), Items: []Resource{}}
	for _, r := range snap.List(kind) {
		out, err := encodeResource(r)
		if err != nil {
			return err
		}
		body.Items = append(body.Items, out)
	}
	return c.JSON(http.StatusOK, body)
}

// watchEvent is the JSON form of one line of a watch.
type watchEvent struct {
	// Type is "put", "delete" or "progress", which only advances the version.
	Type     string   `json:"type"`
	Resource Resource `json:"resource"`
}

// progressInterval is the maximum time between two lines of a watch.
const progressInterval = 5 * time.Second

// watch streams the changes of a kind after the version in the parameter "from", one
// line each.
func (s *Server) watch(c echo.Context, kind conf.Kind) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return writeRejection(c, invalidField("from", "must be the version after which the watch begins"))
	}
	if _, ok := s.o.Conf.Since(from); !ok {
		return writeRejection(c, &conf.Rejection{Code: conf.CodeCompacted, Text: "the version is too old: list the kind and watch from there"})
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
		for _, change := range changes {
			from = change.Seq
			if change.Kind != kind {
				continue
			}
			if err := enc.Encode(watchEventFor(change)); err != nil {
				return nil
			}
		}
		if !s.awaitChange(c, enc, kind, from, changed) {
			return nil
		}
	}
}

// awaitChange flushes the response of a watch and waits for a change. After
// progressInterval without one it writes a progress line. It reports whether the watch
// continues.
func (s *Server) awaitChange(c echo.Context, enc *json.Encoder, kind conf.Kind, from uint64, changed <-chan struct{}) bool {
	c.Response().Flush()
	t := time.NewTimer(progressInterval)
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

func watchEventFor(change conf.Change) watchEvent {
	ev := watchEvent{Type: "put", Resource: Resource{
		Kind: change.Kind, Name: change.Name, ResourceVersion: strconv.FormatUint(change.Seq, 10), Spec: change.Spec,
	}}
	if change.Deleted {
		ev.Type = "delete"
	}
	return ev
}

// readResource decodes a request body. Unknown fields are rejected.
func readResource(c echo.Context) (Resource, *conf.Rejection) {
	var r Resource
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return r, invalidField("body", "cannot be read whole, or is over "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return r, invalidField(bodyField(err), err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return r, invalidField("body", "has more after its end")
	}
	if len(r.Spec) == 0 {
		return r, invalidField("spec", "is required")
	}
	return r, nil
}

// bodyField returns the field that a decoding error refers to.
func bodyField(err error) string {
	if _, after, ok := strings.Cut(err.Error(), "unknown field \""); ok {
		return strings.TrimSuffix(after, "\"")
	}
	return "body"
}

func (s *Server) create(c echo.Context) error {
	body, rej := readResource(c)
	if rej != nil {
		return writeRejection(c, rej)
	}
	kind := conf.Kind(c.Param("kind"))
	if body.Kind != "" && body.Kind != kind {
		return writeRejection(c, invalidField("kind", "differs from the path"))
	}
	return s.commit(c, conf.Write{Kind: kind, Name: body.Name, Spec: body.Spec})
}

func (s *Server) update(c echo.Context) error {
	body, rej := readResource(c)
	if rej != nil {
		return writeRejection(c, rej)
	}
	kind, name := conf.Kind(c.Param("kind")), c.Param("name")
	switch {
	case body.Kind != "" && body.Kind != kind:
		return writeRejection(c, invalidField("kind", "differs from the path"))
	case body.Name != "" && body.Name != name:
		return writeRejection(c, invalidField("name", "differs from the path"))
	}
	w := conf.Write{Kind: kind, Name: name, Spec: body.Spec, Any: c.QueryParam("force") == "true"}
	if !w.Any {
		if w.Version, rej = parseVersion(body.ResourceVersion); rej != nil {
			return writeRejection(c, rej)
		}
	}
	return s.commit(c, w)
}

func (s *Server) remove(c echo.Context) error {
	w := conf.Write{Kind: conf.Kind(c.Param("kind")), Name: c.Param("name"), Any: c.QueryParam("force") == "true"}
	if !w.Any {
		var rej *conf.Rejection
		if w.Version, rej = parseVersion(c.QueryParam("resourceVersion")); rej != nil {
			return writeRejection(c, rej)
		}
	}
	return s.commit(c, w)
}

func parseVersion(text string) (uint64, *conf.Rejection) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, invalidField("resourceVersion", "must be the version that was read, or use force=true to replace any")
	}
	return v, nil
}

// convergeTimeout bounds the wait until every live daemon has applied a change.
const convergeTimeout = 12 * time.Second

// commit commits a write and responds once every live daemon has applied it, or
// after convergeTimeout with the daemons that have not.
func (s *Server) commit(c echo.Context, w conf.Write) error {
	change, err := s.o.Writer.Commit(context.WithoutCancel(c.Request().Context()), w)
	if rej, ok := err.(*conf.Rejection); ok {
		return writeRejection(c, rej)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), convergeTimeout)
	defer cancel()
	lagging := s.o.Spread.AwaitApplied(ctx, change.Seq)
	out := Resource{
		Kind: change.Kind, Name: change.Name, ResourceVersion: strconv.FormatUint(change.Seq, 10),
		Spec: change.Spec, Status: statusFor(lagging),
	}
	if len(lagging) == 0 {
		return c.JSON(http.StatusOK, out)
	}
	s.o.Log.Emit(event.ConfPending, event.Ref{Resource: string(w.Kind) + "/" + w.Name}, strings.Join(lagging, " "))
	return c.JSON(http.StatusAccepted, out)
}
