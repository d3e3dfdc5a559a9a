package conf

import (
	"encoding/json"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Kind names a sort of resource.
type Kind string

// The kinds of resources, in the order in which references need them.
const (
	KindOperator     Kind = "operators"
	KindOrganisation Kind = "organisations"
	KindDeployment   Kind = "deployments"
	KindService      Kind = "services"
	KindTarget       Kind = "targets"
	KindPolicy       Kind = "policies"
)

// Kinds returns all kinds in the order in which references need them.
func Kinds() []Kind {
	return []Kind{KindOperator, KindOrganisation, KindDeployment, KindService, KindTarget, KindPolicy}
}

// Spec is the content of a resource of one kind.
type Spec interface {
	// check reports the faults of the content itself.
	check(f *faults)
	// refs lists the resources that must exist for this one.
	refs() []ref
}

// ref is a reference from a field to another resource.
type ref struct {
	field string
	kind  Kind
	name  string
}

// newSpec returns an empty spec of the kind, or nil for an unknown kind.
func newSpec(k Kind) Spec {
	switch k {
	case KindOperator:
		return &Operator{}
	case KindOrganisation:
		return &Organisation{}
	case KindDeployment:
		return &Deployment{}
	case KindService:
		return &Service{}
	case KindTarget:
		return &Target{}
	case KindPolicy:
		return &Policy{}
	}
	return nil
}

// Duration is a length of time written with its unit, such as "1.5s". It
// keeps what it could not read, so that the check can name the field.
type Duration struct {
	d   time.Duration
	bad string
}

// Seconds returns a Duration of s seconds.
func Seconds(s float64) Duration { return Duration{d: time.Duration(s * float64(time.Second))} }

// Value returns the length of time.
func (d Duration) Value() time.Duration { return d.d }

// Or returns the length of time, or def if none is set.
func (d Duration) Or(def time.Duration) time.Duration {
	if d.d == 0 {
		return def
	}
	return d.d
}

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	if d.d == 0 {
		return []byte(`""`), nil
	}
	return json.Marshal(d.d.String())
}

// UnmarshalJSON reads a duration; it keeps a bad one for the check.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		d.bad = string(raw)
		return nil
	}
	if text == "" {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		d.bad = text
		return nil
	}
	d.d = v
	return nil
}

// Operator is someone who may use the resource API.
type Operator struct {
	// KeyHashes are the hexadecimal SHA-256 sums of the operator's keys.
	KeyHashes []string `json:"keyHashes"`
}

func (o *Operator) check(f *faults) { checkHashes(f, o.KeyHashes) }
func (o *Operator) refs() []ref     { return nil }

// Organisation is one customer whose context never meets another's.
type Organisation struct {
	// KeyHashes are the hexadecimal SHA-256 sums of the callers' keys.
	KeyHashes []string `json:"keyHashes"`
	// MaxRunning bounds the requests of the organisation that one daemon
	// handles at once; zero means the daemon's own bound.
	MaxRunning int `json:"maxRunning,omitempty"`
}

func (o *Organisation) check(f *faults) {
	checkHashes(f, o.KeyHashes)
	f.notNegative("spec.maxRunning", o.MaxRunning)
}
func (o *Organisation) refs() []ref { return nil }

var hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

func checkHashes(f *faults, hashes []string) {
	if len(hashes) == 0 {
		f.add("spec.keyHashes", "needs at least one SHA-256 sum of a key")
	}
	for i, h := range hashes {
		if !hashForm.MatchString(h) {
			f.add(index("spec.keyHashes", i), "is not a hexadecimal SHA-256 sum; write the sum of the key, never the key")
		}
	}
}

// Deployment is a model with the weights that new requests use.
type Deployment struct {
	// Model is the name that engines know the model by.
	Model string `json:"model"`
	// WeightVersion names the weights for new requests.
	WeightVersion string `json:"weightVersion"`
	// Adapters may be named by requests as "deployment:adapter".
	Adapters []string `json:"adapters,omitempty"`
	// RootBlocks is how many first blocks of a prompt name its context, so
	// that prompts which share more than a preamble share a home. Zero means
	// the default, 4.
	RootBlocks int `json:"rootBlocks,omitempty"`
	// MinExportBlocks is the shortest context worth keeping in a store. Zero
	// means the default, 16.
	MinExportBlocks int `json:"minExportBlocks,omitempty"`
	// MaxLoads is how many workers may load weights at once. Zero means the
	// default, 2.
	MaxLoads int `json:"maxLoads,omitempty"`
}

// Defaults of a deployment.
const (
	defaultRootBlocks      = 4
	defaultMinExportBlocks = 16
	defaultMaxLoads        = 2
	mostLoads              = 3
)

func (d *Deployment) check(f *faults) {
	f.required("spec.model", d.Model)
	f.required("spec.weightVersion", d.WeightVersion)
	for i, a := range d.Adapters {
		f.name(index("spec.adapters", i), a)
	}
	f.notNegative("spec.rootBlocks", d.RootBlocks)
	f.notNegative("spec.minExportBlocks", d.MinExportBlocks)
	if d.MaxLoads < 0 || d.MaxLoads > mostLoads {
		f.add("spec.maxLoads", "must be from 0 to 3: loading slows once more workers load at once")
	}
}
func (d *Deployment) refs() []ref { return nil }

// Roots returns how many first blocks name a context.
func (d *Deployment) Roots() int { return orDefault(d.RootBlocks, defaultRootBlocks) }

// ExportFrom returns the shortest context worth keeping, in blocks.
func (d *Deployment) ExportFrom() int { return orDefault(d.MinExportBlocks, defaultMinExportBlocks) }

// Loads returns how many workers may load weights at once.
func (d *Deployment) Loads() int { return orDefault(d.MaxLoads, defaultMaxLoads) }

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// Service is a plain service that targets offer beside the engines.
type Service struct {
	// Routes are tried in order; the first whose path and method fit counts.
	// A call that no route fits may not be repeated.
	Routes []Route `json:"routes,omitempty"`
}

// Route says how calls of one path are treated.
type Route struct {
	// Path is the beginning of the path below the service.
	Path string `json:"path"`
	// Methods restricts the route; empty means every method.
	Methods []string `json:"methods,omitempty"`
	// Repeatable tells that a call may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout bounds one call; empty means the default, 10s.
	Timeout Duration `json:"timeout,omitzero"`
}

func (s *Service) check(f *faults) {
	for i, r := range s.Routes {
		at := index("spec.routes", i)
		if !strings.HasPrefix(r.Path, "/") {
			f.add(at+".path", "must begin with /")
		}
		f.duration(at+".timeout", r.Timeout)
	}
}
func (s *Service) refs() []ref { return nil }

// Match returns the route of a call; the zero Route may not be repeated.
func (s *Service) Match(method, path string) Route {
	for _, r := range s.Routes {
		if strings.HasPrefix(path, r.Path) && r.allows(method) {
			return r
		}
	}
	return Route{}
}

func (r Route) allows(method string) bool {
	for _, m := range r.Methods {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return len(r.Methods) == 0
}

// TargetType is what a target does.
type TargetType string

// The types of targets.
const (
	TypeEngine  TargetType = "engine"
	TypeStore   TargetType = "store"
	TypeService TargetType = "service"
)

// Target is one process that the system routes to: an engine, a store of kept
// cache or an instance of a plain service.
type Target struct {
	Type TargetType `json:"type"`
	URL  string     `json:"url"`
	// Domain is the failure domain.
	Domain string `json:"domain,omitempty"`
	// Box is the name in the platform's box list; empty if it is not listed.
	Box string `json:"box,omitempty"`
	// Deployments are what an engine serves.
	Deployments []string `json:"deployments,omitempty"`
	// Service is what a service target offers.
	Service string `json:"service,omitempty"`
	// ChecksFence tells that an engine refuses orders with an old fence.
	ChecksFence bool `json:"checksFence,omitempty"`
	// PrefillTokensPerSecond is an engine's speed on new prompt tokens until
	// measured. Zero means the default, 8000.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond,omitempty"`
	// LinkBytesPerSecond is the capacity of the link to a store. Zero means
	// the default, 125 MB a second.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond,omitempty"`
	// Drain tells that the target gets no new work.
	Drain bool `json:"drain,omitempty"`
}

// Defaults of a target.
const (
	defaultPrefill = 8000
	defaultLink    = 125e6
)

func (t *Target) check(f *faults) {
	u, err := url.Parse(t.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.add("spec.url", "must be an http or https URL with a host")
	}
	switch t.Type {
	case TypeEngine:
		if len(t.Deployments) == 0 {
			f.add("spec.deployments", "an engine needs at least one deployment")
		}
	case TypeService:
		f.required("spec.service", t.Service)
	case TypeStore:
	default:
		f.add("spec.type", "must be engine, store or service")
	}
	if t.PrefillTokensPerSecond < 0 {
		f.add("spec.prefillTokensPerSecond", "must not be negative")
	}
	if t.LinkBytesPerSecond < 0 {
		f.add("spec.linkBytesPerSecond", "must not be negative")
	}
}

func (t *Target) refs() []ref {
	var out []ref
	for i, d := range t.Deployments {
		out = append(out, ref{index("spec.deployments", i), KindDeployment, d})
	}
	if t.Service != "" {
		out = append(out, ref{"spec.service", KindService, t.Service})
	}
	return out
}

// Prefill returns the engine's speed in prompt tokens a second.
func (t *Target) Prefill() float64 {
	if t.PrefillTokensPerSecond == 0 {
		return defaultPrefill
	}
	return t.PrefillTokensPerSecond
}

// Link returns the capacity of the link to a store in bytes a second.
func (t *Target) Link() float64 {
	if t.LinkBytesPerSecond == 0 {
		return defaultLink
	}
	return t.LinkBytesPerSecond
}

// Serves reports whether the engine serves the deployment.
func (t *Target) Serves(deployment string) bool {
	for _, d := range t.Deployments {
		if d == deployment {
			return true
		}
	}
	return false
}

// Policy says which targets an organisation may use, and how its requests
// are weighed.
type Policy struct {
	Organisation string `json:"organisation"`
	// Deployments that the organisation may use.
	Deployments []string `json:"deployments,omitempty"`
	// Services that the organisation may use.
	Services []string `json:"services,omitempty"`
	// Targets restricts the targets; empty means every target of the
	// deployments and services.
	Targets []string `json:"targets,omitempty"`
	// Priority of the requests from 0 (lowest) to 9; higher goes first.
	Priority int `json:"priority,omitempty"`
	// Deadline for the first token; empty means the default, 30s.
	Deadline Duration `json:"deadline,omitzero"`
	// MaxQueue bounds the requests of the policy that wait for a first token
	// in one daemon. Zero means the default, 256.
	MaxQueue int     `json:"maxQueue,omitempty"`
	Weights  Weights `json:"weights,omitzero"`
}

// Weights are the prices by which placements are compared. All are in
// seconds of first-token time, so that the cost of a placement is one sum.
type Weights struct {
	// FirstToken multiplies the expected time to first token. Zero means 1.
	FirstToken float64 `json:"firstToken,omitempty"`
	// RecomputedSeconds is the price of 1,000 recomputed tokens.
	RecomputedSeconds float64 `json:"recomputedSeconds,omitempty"`
	// LinkSeconds is the price of a megabyte over a store's link.
	LinkSeconds float64 `json:"linkSeconds,omitempty"`
}

// Defaults of a policy.
const (
	DefaultDeadline = 30 * time.Second
	DefaultMaxQueue = 256
	highestPriority = 9
)

func (p *Policy) check(f *faults) {
	f.required("spec.organisation", p.Organisation)
	if len(p.Deployments)+len(p.Services) == 0 {
		f.add("spec.deployments", "a policy needs at least one deployment or service")
	}
	if p.Priority < 0 || p.Priority > highestPriority {
		f.add("spec.priority", "must be from 0 to 9")
	}
	f.duration("spec.deadline", p.Deadline)
	f.notNegative("spec.maxQueue", p.MaxQueue)
	if p.Weights.FirstToken < 0 || p.Weights.RecomputedSeconds < 0 || p.Weights.LinkSeconds < 0 {
		f.add("spec.weights", "must not be negative")
	}
}

func (p *Policy) refs() []ref {
	out := []ref{{"spec.organisation", KindOrganisation, p.Organisation}}
	for i, d := range p.Deployments {
		out = append(out, ref{index("spec.deployments", i), KindDeployment, d})
	}
	for i, s := range p.Services {
		out = append(out, ref{index("spec.services", i), KindService, s})
	}
	for i, t := range p.Targets {
		out = append(out, ref{index("spec.targets", i), KindTarget, t})
	}
	return out
}

// Queue returns the bound on requests that wait for their first token.
func (p *Policy) Queue() int { return orDefault(p.MaxQueue, DefaultMaxQueue) }

// Allows reports whether the policy lets requests use the target.
func (p *Policy) Allows(target string) bool {
	for _, t := range p.Targets {
		if t == target {
			return true
		}
	}
	return len(p.Targets) == 0
}

func index(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }
