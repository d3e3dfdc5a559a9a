package conf

import (
	"encoding/json"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Kind is a kind of resource, as written in the paths of the resource API.
type Kind string

// The kinds of resources; each refers only to kinds above it.
const (
	KindOperator     Kind = "operators"
	KindOrganisation Kind = "organisations"
	KindDeployment   Kind = "deployments"
	KindService      Kind = "services"
	KindTarget       Kind = "targets"
	KindPolicy       Kind = "policies"
)

// Kinds returns all kinds; each refers only to kinds before it.
func Kinds() []Kind {
	return []Kind{KindOperator, KindOrganisation, KindDeployment, KindService, KindTarget, KindPolicy}
}

// Spec is the content of a resource of one kind.
type Spec interface {
	// check adds the invalid fields of the content to f.
	check(f *faults)
	// refs returns the references to resources that must exist.
	refs() []ref
}

// ref is a reference from a field to another resource.
type ref struct {
	field string
	kind  Kind
	name  string
}

// newSpec returns an empty spec of kind k, or nil if the kind is unknown.
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

// Duration is a duration that is written with its unit, such as "1.5s". An
// invalid one is kept as text, so that the check can name its field.
type Duration struct {
	d       time.Duration
	invalid string
}

// Seconds returns a Duration of s seconds.
func Seconds(s float64) Duration { return Duration{d: time.Duration(s * float64(time.Second))} }

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return d.d }

// Or returns d as a time.Duration, or def if d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d.d == 0 {
		return def
	}
	return d.d
}

// MarshalJSON writes the duration with its unit, and zero as "".
func (d Duration) MarshalJSON() ([]byte, error) {
	if d.d == 0 {
		return []byte(`""`), nil
	}
	return json.Marshal(d.d.String())
}

// UnmarshalJSON reads a duration; it keeps an invalid one for the check.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		d.invalid = string(raw)
		return nil
	}
	if text == "" {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		d.invalid = text
		return nil
	}
	d.d = v
	return nil
}

// Operator is a user of the resource API.
type Operator struct {
	// KeyHashes are the hexadecimal SHA-256 hashes of the operator's keys.
	KeyHashes []string `json:"keyHashes"`
}

func (o *Operator) check(f *faults) { checkHashes(f, o.KeyHashes) }
func (o *Operator) refs() []ref     { return nil }

// Organisation is a customer. Contexts are never shared between organisations.
type Organisation struct {
	// KeyHashes are the hexadecimal SHA-256 hashes of the callers' keys.
	KeyHashes []string `json:"keyHashes"`
	// MaxRunning limits the requests of the organisation that one daemon
	// handles at once; zero means the daemon's own limit.
	MaxRunning int `json:"maxRunning,omitempty"`
}

func (o *Organisation) check(f *faults) {
	checkHashes(f, o.KeyHashes)
	f.notNegative("spec.maxRunning", o.MaxRunning)
}
func (o *Organisation) refs() []ref { return nil }

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func checkHashes(f *faults, hashes []string) {
	if len(hashes) == 0 {
		f.add("spec.keyHashes", "needs at least one SHA-256 sum of a key")
	}
	for i, h := range hashes {
		if !hashPattern.MatchString(h) {
			f.add(indexedField("spec.keyHashes", i), "is not a hexadecimal SHA-256 sum; write the sum of the key, never the key")
		}
	}
}

// Deployment is a model with the weights version that new requests use.
type Deployment struct {
	// Model is the name of the model at the engines.
	Model string `json:"model"`
	// WeightVersion is the weights version for new requests.
	WeightVersion string `json:"weightVersion"`
	// Adapters are selected by requests as "deployment:adapter".
	Adapters []string `json:"adapters,omitempty"`
	// RootBlocks is how many first KV-cache blocks of a prompt identify its
	// context, so that prompts that share more than a preamble have the same
	// context owner. Zero means the default, 4.
	RootBlocks int `json:"rootBlocks,omitempty"`
	// MinExportBlocks is the length, in KV-cache blocks, of the shortest context
	// that is exported to a KV-cache store. Zero means the default, 16.
	MinExportBlocks int `json:"minExportBlocks,omitempty"`
	// MaxLoads is how many workers may load weights at once. Zero means the
	// default, 2.
	MaxLoads int `json:"maxLoads,omitempty"`
}

// Defaults and limits of a deployment.
const (
	defaultRootBlocks      = 4
	defaultMinExportBlocks = 16
	defaultMaxLoads        = 2
	maxLoadsLimit          = 3
)

func (d *Deployment) check(f *faults) {
	f.required("spec.model", d.Model)
	f.required("spec.weightVersion", d.WeightVersion)
	for i, a := range d.Adapters {
		f.name(indexedField("spec.adapters", i), a)
	}
	f.notNegative("spec.rootBlocks", d.RootBlocks)
	f.notNegative("spec.minExportBlocks", d.MinExportBlocks)
	if d.MaxLoads < 0 || d.MaxLoads > maxLoadsLimit {
		f.add("spec.maxLoads", "must be from 0 to 3: loading slows once more workers load at once")
	}
}
func (d *Deployment) refs() []ref { return nil }

// RootBlocksOrDefault returns RootBlocks or its default.
func (d *Deployment) RootBlocksOrDefault() int { return orDefault(d.RootBlocks, defaultRootBlocks) }

// MinExportBlocksOrDefault returns MinExportBlocks or its default.
func (d *Deployment) MinExportBlocksOrDefault() int {
	return orDefault(d.MinExportBlocks, defaultMinExportBlocks)
}

// MaxLoadsOrDefault returns MaxLoads or its default.
func (d *Deployment) MaxLoadsOrDefault() int { return orDefault(d.MaxLoads, defaultMaxLoads) }

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// Service is a plain service: one that targets other than engines offer.
type Service struct {
	// Routes are matched in order; the first match applies. A call that
	// matches no route must not run more than once.
	Routes []Route `json:"routes,omitempty"`
}

// Route defines how calls to one path are handled.
type Route struct {
	// Path is a prefix of the path below the service's root.
	Path string `json:"path"`
	// Methods are the HTTP methods that match; empty means every method.
	Methods []string `json:"methods,omitempty"`
	// Repeatable marks calls that may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout limits one call; empty means the default, 10s.
	Timeout Duration `json:"timeout,omitzero"`
}

func (s *Service) check(f *faults) {
	for i, r := range s.Routes {
		at := indexedField("spec.routes", i)
		if !strings.HasPrefix(r.Path, "/") {
			f.add(at+".path", "must begin with /")
		}
		f.duration(at+".timeout", r.Timeout)
	}
}
func (s *Service) refs() []ref { return nil }

// Match returns the route of a call, or the zero Route, which is not repeatable.
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

// TargetType is the type of a target.
type TargetType string

// The types of targets.
const (
	TypeEngine  TargetType = "engine"
	TypeStore   TargetType = "store"
	TypeService TargetType = "service"
)

// Target is a process that the system routes to: an engine, a KV-cache store or
// an instance of a plain service.
type Target struct {
	Type TargetType `json:"type"`
	URL  string     `json:"url"`
	// Domain is the target's failure domain.
	Domain string `json:"domain,omitempty"`
	// Box is the target's name in the platform's box list; empty if not listed.
	Box string `json:"box,omitempty"`
	// Deployments are the deployments that an engine serves.
	Deployments []string `json:"deployments,omitempty"`
	// Service is the plain service that a service target offers.
	Service string `json:"service,omitempty"`
	// ChecksFence means that an engine rejects orders with an old fencing token.
	ChecksFence bool `json:"checksFence,omitempty"`
	// PrefillTokensPerSecond is an engine's prefill speed assumed until it is
	// measured. Zero means the default, 8000.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond,omitempty"`
	// LinkBytesPerSecond is the capacity of the link to a KV-cache store. Zero means
	// the default, 125 MB a second.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond,omitempty"`
	// Drain means that the target gets no new work.
	Drain bool `json:"drain,omitempty"`
}

// Defaults of a target: prompt tokens per second and bytes per second.
const (
	defaultPrefillSpeed = 8000
	defaultLinkCapacity = 125e6
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
		out = append(out, ref{indexedField("spec.deployments", i), KindDeployment, d})
	}
	if t.Service != "" {
		out = append(out, ref{"spec.service", KindService, t.Service})
	}
	return out
}

// PrefillSpeed returns PrefillTokensPerSecond or its default.
func (t *Target) PrefillSpeed() float64 {
	if t.PrefillTokensPerSecond == 0 {
		return defaultPrefillSpeed
	}
	return t.PrefillTokensPerSecond
}

// LinkCapacity returns LinkBytesPerSecond or its default.
func (t *Target) LinkCapacity() float64 {
	if t.LinkBytesPerSecond == 0 {
		return defaultLinkCapacity
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

// Policy defines what an organisation may use, and the priority, limits and
// placement costs of its requests.
type Policy struct {
	Organisation string `json:"organisation"`
	// Deployments that the organisation may use.
	Deployments []string `json:"deployments,omitempty"`
	// Services that the organisation may use.
	Services []string `json:"services,omitempty"`
	// Targets that the organisation may use; empty means every target of the
	// deployments and services.
	Targets []string `json:"targets,omitempty"`
	// Priority of the requests, from 0 (lowest) to 9 (highest).
	Priority int `json:"priority,omitempty"`
	// Deadline for the first token; empty means the default, 30s.
	Deadline Duration `json:"deadline,omitzero"`
	// MaxQueue limits the requests of the policy that wait for a first token in
	// one daemon. Zero means the default, 256.
	MaxQueue int         `json:"maxQueue,omitempty"`
	Weights  CostWeights `json:"weights,omitzero"`
}

// CostWeights are the coefficients of the cost model that compares placements. Costs
// are in seconds of time to first token, so that they can be added up.
type CostWeights struct {
	// FirstToken is the factor of the expected time to first token. Zero means 1.
	FirstToken float64 `json:"firstToken,omitempty"`
	// RecomputedSeconds is the cost of 1,000 recomputed prompt tokens.
	RecomputedSeconds float64 `json:"recomputedSeconds,omitempty"`
	// LinkSeconds is the cost of one megabyte over the link of a KV-cache store.
	LinkSeconds float64 `json:"linkSeconds,omitempty"`
}

// Defaults and limits of a policy.
const (
	DefaultDeadline = 30 * time.Second
	DefaultMaxQueue = 256
	maxPriority     = 9
)

func (p *Policy) check(f *faults) {
	f.required("spec.organisation", p.Organisation)
	if len(p.Deployments)+len(p.Services) == 0 {
		f.add("spec.deployments", "a policy needs at least one deployment or service")
	}
	if p.Priority < 0 || p.Priority > maxPriority {
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
		out = append(out, ref{indexedField("spec.deployments", i), KindDeployment, d})
	}
	for i, s := range p.Services {
		out = append(out, ref{indexedField("spec.services", i), KindService, s})
	}
	for i, t := range p.Targets {
		out = append(out, ref{indexedField("spec.targets", i), KindTarget, t})
	}
	return out
}

// MaxQueueOrDefault returns MaxQueue or its default.
func (p *Policy) MaxQueueOrDefault() int { return orDefault(p.MaxQueue, DefaultMaxQueue) }

// AllowsTarget reports whether the policy permits the target.
func (p *Policy) AllowsTarget(target string) bool {
	for _, t := range p.Targets {
		if t == target {
			return true
		}
	}
	return len(p.Targets) == 0
}

func indexedField(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }
