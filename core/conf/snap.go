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

// Resource is one named, versioned object of the configuration.
type Resource struct {
	kind    Kind
	name    string
	version uint64
	spec    Spec
}

// Kind returns the kind of the resource.
func (r *Resource) Kind() Kind { return r.kind }

// Name returns the name, unique within the kind.
func (r *Resource) Name() string { return r.name }

// Version returns the sequence of the change that wrote the resource.
func (r *Resource) Version() uint64 { return r.version }

// Spec returns the content, which must not be modified.
func (r *Resource) Spec() Spec { return r.spec }

// Change is one committed change of the configuration. Sequences are
// consecutive, so that a gap is always detected.
type Change struct {
	Seq uint64 `json:"seq" msgpack:"s"`
	// HeadRevision is the coordination store's revision of the commit; the next
	// write compares the revision of keyHead with it.
	HeadRevision int64           `json:"headRevision,omitempty" msgpack:"h"`
	Kind         Kind            `json:"kind" msgpack:"k"`
	Name         string          `json:"name" msgpack:"n"`
	Deleted      bool            `json:"deleted,omitempty" msgpack:"d,omitempty"`
	Spec         json.RawMessage `json:"spec,omitempty" msgpack:"v,omitempty"`
	WriteID      string          `json:"writeId" msgpack:"w"`
}

// Snapshot is the full configuration at one sequence. It is immutable; a
// request uses one snapshot from start to end.
type Snapshot struct {
	seq          uint64
	headRevision int64
	// byKind maps each kind to its resources by name. Inner maps are shared with
	// other snapshots: they are replaced, never modified.
	byKind map[Kind]map[string]*Resource
	// sortedByKind holds the resources of each kind, ordered by name.
	sortedByKind map[Kind][]*Resource
	// orgByKeyHash maps the SHA-256 hashes of callers' keys to organisations.
	orgByKeyHash map[string]string
	// policiesByOrg maps organisations to the names of their policies, sorted.
	policiesByOrg map[string][]string
}

var emptySnapshot = &Snapshot{}

// Seq returns the sequence of the latest change that the snapshot includes.
func (s *Snapshot) Seq() uint64 { return s.seq }

// Resource returns the named resource, or nil.
func (s *Snapshot) Resource(k Kind, name string) *Resource { return s.byKind[k][name] }

// List returns the resources of a kind, ordered by name. The slice must not be
// modified.
func (s *Snapshot) List(k Kind) []*Resource { return s.sortedByKind[k] }

// Count returns the number of resources of a kind.
func (s *Snapshot) Count(k Kind) int { return len(s.byKind[k]) }

// Deployment returns the named deployment, or nil.
func (s *Snapshot) Deployment(name string) *Deployment {
	d, _ := s.spec(KindDeployment, name).(*Deployment)
	return d
}

// Service returns the named plain service, or nil.
func (s *Snapshot) Service(name string) *Service {
	v, _ := s.spec(KindService, name).(*Service)
	return v
}

// Target returns the named target, or nil.
func (s *Snapshot) Target(name string) *Target {
	t, _ := s.spec(KindTarget, name).(*Target)
	return t
}

// Organisation returns the named organisation, or nil.
func (s *Snapshot) Organisation(name string) *Organisation {
	o, _ := s.spec(KindOrganisation, name).(*Organisation)
	return o
}

func (s *Snapshot) spec(k Kind, name string) Spec {
	if r := s.byKind[k][name]; r != nil {
		return r.spec
	}
	return nil
}

// HashKey returns the hexadecimal SHA-256 hash by which a key is stored.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// OrganisationOfKey returns the organisation that a caller's key belongs to, if any.
func (s *Snapshot) OrganisationOfKey(key string) (organisation string, ok bool) {
	organisation, ok = s.orgByKeyHash[HashKey(key)]
	return organisation, ok
}

// IsOperatorKey reports whether key belongs to an operator.
func (s *Snapshot) IsOperatorKey(key string) bool {
	hash := HashKey(key)
	for _, r := range s.byKind[KindOperator] {
		if slices.Contains(r.spec.(*Operator).KeyHashes, hash) {
			return true
		}
	}
	return false
}

// Policy returns the policy that lets an organisation use a deployment or
// service, with its name: the first in name order that lists it, or nil.
func (s *Snapshot) Policy(organisation string, kind Kind, name string) (string, *Policy) {
	for _, n := range s.policiesByOrg[organisation] {
		p, ok := s.spec(KindPolicy, n).(*Policy)
		if !ok {
			continue
		}
		allowed := p.Deployments
		if kind == KindService {
			allowed = p.Services
		}
		if slices.Contains(allowed, name) {
			return n, p
		}
	}
	return "", nil
}

// with returns a snapshot that includes the changes, which must follow s without a gap.
// A change whose content cannot be decoded leaves the resource as it was, and its error
// is returned in undecodable.
func (s *Snapshot) with(changes []Change) (next *Snapshot, undecodable []error) {
	next = &Snapshot{
		seq: s.seq, headRevision: s.headRevision,
		byKind: maps.Clone(s.byKind), sortedByKind: maps.Clone(s.sortedByKind), orgByKeyHash: s.orgByKeyHash, policiesByOrg: s.policiesByOrg,
	}
	if next.byKind == nil {
		next.byKind, next.sortedByKind = map[Kind]map[string]*Resource{}, map[Kind][]*Resource{}
	}
	cloned := map[Kind]bool{}
	for _, c := range changes {
		next.seq, next.headRevision = c.Seq, c.HeadRevision
		if !cloned[c.Kind] {
			next.byKind[c.Kind] = cloneOrMake(next.byKind[c.Kind])
			cloned[c.Kind] = true
		}
		if c.Deleted {
			delete(next.byKind[c.Kind], c.Name)
			continue
		}
		r, err := c.resource()
		if err != nil {
			undecodable = append(undecodable, err)
			continue
		}
		next.byKind[c.Kind][c.Name] = r
	}
	next.rebuildIndexes(cloned)
	return next, undecodable
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
	// Unknown fields are accepted here: a newer daemon may have written them.
	if err := json.Unmarshal(c.Spec, spec); err != nil {
		return nil, errors.Wrapf(err, "change %d of %s/%s", c.Seq, c.Kind, c.Name)
	}
	return &Resource{kind: c.Kind, name: c.Name, version: c.Seq, spec: spec}, nil
}

// rebuildIndexes rebuilds the indexes of the kinds that changed.
func (s *Snapshot) rebuildIndexes(changed map[Kind]bool) {
	for k := range changed {
		list := slices.Collect(maps.Values(s.byKind[k]))
		sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
		s.sortedByKind[k] = list
	}
	if changed[KindOrganisation] {
		s.orgByKeyHash = make(map[string]string, len(s.byKind[KindOrganisation]))
		for name, r := range s.byKind[KindOrganisation] {
			for _, h := range r.spec.(*Organisation).KeyHashes {
				s.orgByKeyHash[h] = name
			}
		}
	}
	if changed[KindPolicy] {
		s.policiesByOrg = map[string][]string{}
		for _, r := range s.List(KindPolicy) {
			org := r.spec.(*Policy).Organisation
			s.policiesByOrg[org] = append(s.policiesByOrg[org], r.name)
		}
	}
}

// AsChanges returns every resource as a change, for a daemon that needs the full
// configuration.
func (s *Snapshot) AsChanges() ([]Change, error) {
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
