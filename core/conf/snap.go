package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// Resource is one named piece of configuration.
type Resource struct {
	kind    Kind
	name    string
	version uint64
	spec    Spec
}

// Kind returns the sort of the resource.
func (r *Resource) Kind() Kind { return r.kind }

// Name returns the name, unique within the kind.
func (r *Resource) Name() string { return r.name }

// Version returns the sequence of the change that wrote the resource.
func (r *Resource) Version() uint64 { return r.version }

// Spec returns the content, which must not be changed.
func (r *Resource) Spec() Spec { return r.spec }

// Change is one committed change of the configuration. Sequences are dense:
// the change after n is n+1, so a gap is always seen.
type Change struct {
	Seq uint64 `json:"seq" msgpack:"s"`
	// HeadRevision is the service's revision of the commit, which the next
	// write compares with.
	HeadRevision int64           `json:"headRevision,omitempty" msgpack:"h"`
	Kind         Kind            `json:"kind" msgpack:"k"`
	Name         string          `json:"name" msgpack:"n"`
	Deleted      bool            `json:"deleted,omitempty" msgpack:"d,omitempty"`
	Spec         json.RawMessage `json:"spec,omitempty" msgpack:"v,omitempty"`
	WriteID      string          `json:"writeId" msgpack:"w"`
}

// Snapshot is the whole configuration at one sequence. It never changes; a
// request uses one snapshot from start to end.
type Snapshot struct {
	seq          uint64
	headRevision int64
	// kinds maps each kind to its resources by name; maps are replaced, not
	// edited.
	kinds map[Kind]map[string]*Resource
	// lists are the resources of each kind ordered by name.
	lists map[Kind][]*Resource
	// callers maps the sums of callers' keys to organisations.
	callers map[string]string
	// policies maps organisations to the names of their policies, sorted.
	policies map[string][]string
}

var emptySnapshot = &Snapshot{}

// Seq returns the sequence of the last change contained.
func (s *Snapshot) Seq() uint64 { return s.seq }

// Resource returns a resource, or nil.
func (s *Snapshot) Resource(k Kind, name string) *Resource { return s.kinds[k][name] }

// List returns the resources of a kind ordered by name. It must not be
// changed.
func (s *Snapshot) List(k Kind) []*Resource { return s.lists[k] }

// Count returns how many resources of a kind there are.
func (s *Snapshot) Count(k Kind) int { return len(s.kinds[k]) }

// Deployment returns a deployment, or nil.
func (s *Snapshot) Deployment(name string) *Deployment {
	d, _ := s.spec(KindDeployment, name).(*Deployment)
	return d
}

// Service returns a plain service, or nil.
func (s *Snapshot) Service(name string) *Service {
	v, _ := s.spec(KindService, name).(*Service)
	return v
}

// Target returns a target, or nil.
func (s *Snapshot) Target(name string) *Target {
	t, _ := s.spec(KindTarget, name).(*Target)
	return t
}

// Organisation returns an organisation, or nil.
func (s *Snapshot) Organisation(name string) *Organisation {
	o, _ := s.spec(KindOrganisation, name).(*Organisation)
	return o
}

func (s *Snapshot) spec(k Kind, name string) Spec {
	if r := s.kinds[k][name]; r != nil {
		return r.spec
	}
	return nil
}

// HashKey returns the sum under which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Caller returns the organisation that a caller's key belongs to.
func (s *Snapshot) Caller(key string) (organisation string, ok bool) {
	organisation, ok = s.callers[HashKey(key)]
	return organisation, ok
}

// OperatorAllowed reports whether key belongs to an operator.
func (s *Snapshot) OperatorAllowed(key string) bool {
	sum := HashKey(key)
	for _, r := range s.kinds[KindOperator] {
		if slices.Contains(r.spec.(*Operator).KeyHashes, sum) {
			return true
		}
	}
	return false
}

// Policy returns the policy under which an organisation uses a deployment or
// service: the first by name that names it, or nil.
func (s *Snapshot) Policy(organisation string, kind Kind, name string) (string, *Policy) {
	for _, n := range s.policies[organisation] {
		p, ok := s.spec(KindPolicy, n).(*Policy)
		if !ok {
			continue
		}
		list := p.Deployments
		if kind == KindService {
			list = p.Services
		}
		if slices.Contains(list, name) {
			return n, p
		}
	}
	return "", nil
}

// with returns a snapshot that contains the changes as well. Changes must
// follow s without a gap. A change whose content cannot be read leaves the
// resource as it was and is returned in bad.
func (s *Snapshot) with(changes []Change) (next *Snapshot, bad []error) {
	next = &Snapshot{
		seq: s.seq, headRevision: s.headRevision,
		kinds: maps.Clone(s.kinds), lists: maps.Clone(s.lists), callers: s.callers, policies: s.policies,
	}
	if next.kinds == nil {
		next.kinds, next.lists = map[Kind]map[string]*Resource{}, map[Kind][]*Resource{}
	}
	cloned := map[Kind]bool{}
	for _, c := range changes {
		next.seq, next.headRevision = c.Seq, c.HeadRevision
		if !cloned[c.Kind] {
			next.kinds[c.Kind] = cloneOrMake(next.kinds[c.Kind])
			cloned[c.Kind] = true
		}
		if c.Deleted {
			delete(next.kinds[c.Kind], c.Name)
			continue
		}
		r, err := c.resource()
		if err != nil {
			bad = append(bad, err)
			continue
		}
		next.kinds[c.Kind][c.Name] = r
	}
	next.derive(cloned)
	return next, bad
}

func cloneOrMake(m map[string]*Resource) map[string]*Resource {
	if m == nil {
		return map[string]*Resource{}
	}
	return maps.Clone(m)
}

func (c *Change) resource() (*Resource, error) {
	spec := newSpec(c.Kind)
	if spec == nil {
		return nil, errors.Errorf("change %d has the unknown kind %q", c.Seq, c.Kind)
	}
	// Unknown fields are let pass here: a newer daemon may have written them.
	if err := json.Unmarshal(c.Spec, spec); err != nil {
		return nil, errors.Wrapf(err, "change %d of %s/%s", c.Seq, c.Kind, c.Name)
	}
	return &Resource{kind: c.Kind, name: c.Name, version: c.Seq, spec: spec}, nil
}

// derive rebuilds the indexes whose kinds changed.
func (s *Snapshot) derive(changed map[Kind]bool) {
	for k := range changed {
		list := slices.Collect(maps.Values(s.kinds[k]))
		sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
		s.lists[k] = list
	}
	if changed[KindOrganisation] {
		s.callers = make(map[string]string, len(s.kinds[KindOrganisation]))
		for name, r := range s.kinds[KindOrganisation] {
			for _, h := range r.spec.(*Organisation).KeyHashes {
				s.callers[h] = name
			}
		}
	}
	if changed[KindPolicy] {
		s.policies = map[string][]string{}
		for _, r := range s.List(KindPolicy) {
			org := r.spec.(*Policy).Organisation
			s.policies[org] = append(s.policies[org], r.name)
		}
	}
}

// All returns the whole snapshot as changes, for a daemon that starts anew.
func (s *Snapshot) All() ([]Change, error) {
	var out []Change
	for _, k := range Kinds() {
		for _, r := range s.List(k) {
			raw, err := json.Marshal(r.spec)
			if err != nil {
				return nil, errors.Wrapf(err, "%s/%s", k, r.name)
			}
			out = append(out, Change{Seq: r.version, Kind: k, Name: r.name, Spec: raw})
		}
	}
	return out, nil
}
