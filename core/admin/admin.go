// Package admin owns the operators' side: the resource API with its watches,
// drain orders, status and the process's part of the time line.
//
// It must not know how resources are kept or spread.
package admin

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/spread"
	"embertally.dev/core/wire"
)

// Options of the operators' side.
type Options struct {
	Conf   *conf.Store
	Writer *conf.Writer
	Spread *spread.Spread
	Fleet  *fleet.Fleet
	Home   *home.Home
	Log    *event.Log
	// Duties are the names of the duties that the status shows.
	Duties []string
	// KeyHashes are operators' keys from the settings, for the first access.
	KeyHashes []string
	// Ready says why no requests are taken, or "".
	Ready func() string
	// Running returns how many callers' requests have not ended.
	Running func() int64
}

// Server answers operators.
type Server struct{ o Options }

// New returns a server for operators and registers its messages with the fleet.
func New(o Options) *Server {
	s := &Server{o}
	o.Fleet.Mux().Register(kindEvents, wire.Handle(func(_ context.Context, _ string, f *event.Filter) ([]event.Event, error) {
		return s.own(*f), nil
	}))
	return s
}

// maxBody bounds the body of one resource.
const maxBody = 256 << 10

// Register adds the operators' paths to e.
func (s *Server) Register(e *echo.Echo) {
	g := e.Group("/v1", s.guard)
	g.GET("/status", s.status)
	g.GET("/events", s.events)
	g.GET("/timeline", s.timeline)
	g.POST("/drains/:target", s.drain)
	g.GET("/resources/:kind", s.list)
	g.GET("/resources/:kind/:name", s.read)
	g.POST("/resources/:kind", s.create)
	g.PUT("/resources/:kind/:name", s.update)
	g.DELETE("/resources/:kind/:name", s.remove)
}

// errorBody is the wire form of a refusal.
type errorBody struct {
	Error *conf.Rejection `json:"error"`
}

// codeBadKey is the refusal of a key that belongs to no operator.
const codeBadKey conf.Code = "badKey"

func (s *Server) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || !s.allowed(key) {
			return c.JSON(http.StatusUnauthorized, errorBody{&conf.Rejection{Code: codeBadKey, Text: "the key belongs to no operator"}})
		}
		return next(c)
	}
}

func (s *Server) allowed(key string) bool {
	sum := conf.HashKey(key)
	for _, h := range s.o.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(sum)) == 1 {
			return true
		}
	}
	return s.o.Conf.Snapshot().OperatorAllowed(key)
}

var statusOf = map[conf.Code]int{
	conf.CodeInvalid: http.StatusUnprocessableEntity, conf.CodeNotFound: http.StatusNotFound,
	conf.CodeExists: http.StatusConflict, conf.CodeStale: http.StatusConflict,
	conf.CodeReference: http.StatusUnprocessableEntity, conf.CodeInUse: http.StatusConflict,
	conf.CodeUnknownKind: http.StatusNotFound, conf.CodeCompacted: http.StatusGone,
	conf.CodeUnavailable: http.StatusServiceUnavailable, conf.CodeUnknown: http.StatusServiceUnavailable,
}

func refuse(c echo.Context, r *conf.Rejection) error {
	code, ok := statusOf[r.Code]
	if !ok {
		code = http.StatusBadRequest
	}
	return c.JSON(code, errorBody{r})
}

func invalid(field, text string) *conf.Rejection {
	return &conf.Rejection{Code: conf.CodeInvalid, Text: "the request has faults", Faults: []conf.Fault{{Field: field, Text: text}}}
}

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
	out.Status = statusFor(s.o.Spread.NotYet(c.Request().Context(), r.Version()))
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
	missing := s.o.Spread.Await(ctx, change.Seq)
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

// drain gives or takes back the order that a target gets no new work. It
// spreads without the key-value service; the configuration keeps it for later.
func (s *Server) drain(c echo.Context) error {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	dec := json.NewDecoder(io.LimitReader(c.Request().Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return refuse(c, invalid("leaving", "must be true or false"))
	}
	name := c.Param("target")
	r := s.o.Conf.Snapshot().Resource(conf.KindTarget, name)
	if r == nil {
		return refuse(c, &conf.Rejection{Code: conf.CodeNotFound, Text: "there is no targets/" + name})
	}
	s.o.Fleet.SetMark(name, body.Leaving)
	t := *r.Spec().(*conf.Target)
	t.Drain = body.Leaving
	raw, err := json.Marshal(&t)
	if err != nil {
		return err
	}
	_, err = s.o.Writer.Commit(c.Request().Context(), conf.Write{Kind: conf.KindTarget, Name: name, Spec: raw, Version: r.Version()})
	reply := struct {
		Target  string `json:"target"`
		Leaving bool   `json:"leaving"`
		// Kept tells that the configuration holds the order as well.
		Kept bool `json:"kept"`
	}{name, body.Leaving, err == nil}
	return c.JSON(http.StatusOK, reply)
}

// daemonStatus is one daemon in the status.
type daemonStatus struct {
	Name     string `json:"name"`
	Cell     int    `json:"cell"`
	Domain   string `json:"domain"`
	Alive    bool   `json:"alive"`
	Listed   bool   `json:"listed"`
	Draining bool   `json:"draining"`
	Sequence uint64 `json:"sequence"`
}

// targetStatus is one target in the status.
type targetStatus struct {
	Name   string          `json:"name"`
	Type   conf.TargetType `json:"type"`
	Domain string          `json:"domain,omitempty"`
	// Usable tells that it may get new work.
	Usable bool `json:"usable"`
	// Load is what is known of a worker's work.
	Load string `json:"load,omitempty"`
}

// leaseStatus is one duty and who has it.
type leaseStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// linkStatus is one store's link.
type linkStatus struct {
	Store          string  `json:"store"`
	BacklogBytes   int64   `json:"backlogBytes"`
	BytesPerSecond float64 `json:"bytesPerSecond"`
}

func (s *Server) status(c echo.Context) error {
	snap, view := s.o.Conf.Snapshot(), s.o.Fleet.View()
	missing := s.o.Spread.NotYet(c.Request().Context(), snap.Seq())
	body := struct {
		Daemon    string         `json:"daemon"`
		NotReady  string         `json:"notReady,omitempty"`
		Running   int64          `json:"running"`
		Sequence  uint64         `json:"sequence"`
		Status    *Status        `json:"configuration"`
		Confirmed string         `json:"confirmedAgo"`
		Cells     int            `json:"cells"`
		Daemons   []daemonStatus `json:"daemons"`
		Targets   []targetStatus `json:"targets"`
		Leases    []leaseStatus  `json:"leases"`
		Links     []linkStatus   `json:"links"`
	}{
		Daemon: view.Self(), NotReady: s.o.Ready(), Running: s.o.Running(), Sequence: snap.Seq(),
		Status: statusFor(missing), Cells: view.Cells(), Daemons: s.daemons(snap, view),
	}
	if at := s.o.Conf.Confirmed(); !at.IsZero() {
		body.Confirmed = time.Since(at).Round(time.Millisecond).String()
	}
	for _, r := range snap.List(conf.KindTarget) {
		t := r.Spec().(*conf.Target)
		body.Targets = append(body.Targets, targetStatus{r.Name(), t.Type, t.Domain, view.Usable(r.Name(), t), s.load(r.Name())})
		if t.Type == conf.TypeStore {
			backlog, rate := s.o.Home.LinkStatus(r.Name(), t)
			body.Links = append(body.Links, linkStatus{r.Name(), backlog, rate})
		}
	}
	for _, name := range s.o.Duties {
		body.Leases = append(body.Leases, leaseStatus{name, view.DutyOf(fleet.Key(name))})
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
			p.Name, p.Cell, p.Domain, p.Alive, p.Listed, p.Draining, s.o.Spread.Seq(p.Name),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (s *Server) load(worker string) string {
	w, ok := s.o.Home.Worker(worker)
	if !ok {
		return ""
	}
	text := fmt.Sprintf("%d tokens wait, %d answers run, %d of %d blocks free, %s",
		w.Queued, w.Running, w.Free, w.Total, strings.Join(w.Holds, " "))
	if w.Loading {
		text += ", loading"
	}
	return text
}

// maxEvents bounds one reply of events.
const maxEvents = 4096

func (s *Server) events(c echo.Context) error {
	from := uint64(0)
	if text := c.QueryParam("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return refuse(c, invalid("from", "must be a number"))
		}
	}
	body := struct {
		Events []event.Event `json:"events"`
	}{s.o.Log.Since(from, maxEvents)}
	return c.JSON(http.StatusOK, body)
}
