package conf

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Keys of the configuration in the coordination store.
const (
	// KeyRoot is the prefix of all keys of the configuration.
	KeyRoot = "embertally/conf/"
	// keyHead holds the latest change. Every write compares its revision, so
	// that of concurrent writes only one succeeds. It sorts right before the
	// resources, so that one range read returns both at one revision.
	keyHead = KeyRoot + "res-head"
	// keyLog is the prefix of the latest changes, by sequence.
	keyLog = KeyRoot + "log/"
	// keyResources is the prefix of the resources, by kind and name.
	keyResources = KeyRoot + "res/"
)

// maxLoggedChanges is the number of changes kept under keyLog for watches.
const maxLoggedChanges = 1000

func version(seq uint64) string { return strconv.FormatUint(seq, 10) }

func changeKey(seq uint64) string {
	digits := version(seq)
	const width = 20
	return keyLog + "00000000000000000000"[:width-len(digits)] + digits
}

func resourceKey(k Kind, name string) string { return keyResources + string(k) + "/" + name }

// coordinationStore is what the configuration needs of the coordination store.
type coordinationStore interface {
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
	Read(ctx context.Context, key string) (*plat.Pair, error)
	Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error)
	Watch(ctx context.Context, span plat.Span, from int64, f func([]plat.Change, int64, clock.Time) error) error
}

// Writer validates changes and commits them to the coordination store.
type Writer struct {
	store *Store
	kv    coordinationStore
	log   *event.Log
}

// NewWriter returns a writer that commits to kv and applies committed changes to
// store.
func NewWriter(store *Store, kv coordinationStore, log *event.Log) *Writer {
	return &Writer{store: store, kv: kv, log: log}
}

// Write is a requested change of one resource.
type Write struct {
	Kind Kind
	Name string
	// Spec is the new content; nil deletes the resource.
	Spec []byte
	// Version is the version that the resource must have; zero means that it must not
	// exist. It is ignored if Any is set.
	Version uint64
	// Any lets the write replace any version, or create the resource.
	Any bool
}

// writeTimeout bounds a write, including its retries and reading back its outcome.
const writeTimeout = 8 * time.Second

// commitRetryDelay is the delay before the retry of a failed commit.
const commitRetryDelay = 100 * time.Millisecond

// Commit validates and commits want, and returns the change with its sequence.
// The error is a *Rejection.
func (w *Writer) Commit(ctx context.Context, want Write) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	id := uuid.NewString()
	outcomeUnknown := false
	for {
		snap := w.store.Snapshot()
		change, rej := prepare(snap, want)
		if rej != nil {
			w.log.Emit(event.ConfRejected, event.Ref{Resource: string(want.Kind) + "/" + want.Name}, rej.Error())
			return Change{}, rej
		}
		change.WriteID = id
		committed, err := w.tryCommit(ctx, snap, &change)
		outcomeUnknown = outcomeUnknown || errors.Is(err, plat.ErrOutcomeUnknown)
		switch {
		case err == nil && committed:
			w.applyCommitted(change)
			return change, nil
		case ctx.Err() != nil && outcomeUnknown:
			w.log.Emit(event.ConfUnknown, event.Ref{Resource: string(want.Kind) + "/" + want.Name}, "write "+id)
			return Change{}, &Rejection{
				Code: CodeUnknown, WriteID: id,
				Text: "the key-value service does not answer; the change may still take effect",
			}
		case ctx.Err() != nil:
			return Change{}, reject(CodeUnavailable, "the key-value service does not answer; nothing was changed")
		case err != nil:
			wait.For(ctx, commitRetryDelay)
		}
	}
}

func (w *Writer) applyCommitted(c Change) {
	w.store.Apply([]Change{c})
	w.log.Emit(event.ConfWritten, event.Ref{Resource: string(c.Kind) + "/" + c.Name}, "sequence "+version(c.Seq))
}

// tryCommit commits change on top of snap. If another change was committed first, it
// applies that one and returns committed false. A write whose response was lost may be
// sent again: every attempt compares the same revision of keyHead, so at most one takes
// effect, and the log shows whether one did.
func (w *Writer) tryCommit(ctx context.Context, snap *Snapshot, change *Change) (committed bool, err error) {
	encoded, err := json.Marshal(change)
	if err != nil {
		return false, errors.WithStack(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	outcome, err := w.kv.Commit(callCtx, w.txn(snap, change, encoded))
	cancel()
	if err == nil && outcome.Succeeded {
		change.HeadRevision = outcome.Revision
		return true, nil
	}
	// Either another change was committed first, or the response was lost: the log
	// shows which.
	newer, readErr := w.readLog(ctx, snap.seq)
	if readErr != nil {
		if err == nil {
			err = readErr
		}
		return false, err
	}
	for _, c := range newer {
		if c.WriteID == change.WriteID {
			*change = c
			w.store.Apply(newer)
			return true, nil
		}
	}
	if !w.store.Apply(newer) || (err == nil && len(newer) == 0) {
		return false, w.reload(ctx)
	}
	return false, err
}

func (w *Writer) txn(snap *Snapshot, change *Change, encoded []byte) plat.Txn {
	t := plat.Txn{
		Compares: []plat.Compare{{Key: keyHead, ModRevision: snap.headRevision}},
		Puts: []plat.Put{
			{Key: keyHead, Value: encoded},
			{Key: changeKey(change.Seq), Value: encoded},
		},
	}
	if change.Deleted {
		t.Deletes = append(t.Deletes, resourceKey(change.Kind, change.Name))
	} else {
		t.Puts = append(t.Puts, plat.Put{Key: resourceKey(change.Kind, change.Name), Value: encoded})
	}
	if change.Seq > maxLoggedChanges {
		t.Deletes = append(t.Deletes, changeKey(change.Seq-maxLoggedChanges))
	}
	return t
}

// readLog returns the committed changes after seq.
func (w *Writer) readLog(ctx context.Context, seq uint64) ([]Change, error) {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	return readLog(ctx, w.kv, seq)
}

func readLog(ctx context.Context, kv coordinationStore, seq uint64) ([]Change, error) {
	pairs, _, err := kv.Range(ctx, plat.Span{From: changeKey(seq + 1), To: plat.Prefix(keyLog).To})
	if err != nil {
		return nil, err
	}
	return decodeChanges(pairs)
}

func decodeChanges(pairs []plat.Pair) ([]Change, error) {
	changes := make([]Change, 0, len(pairs))
	for _, p := range pairs {
		var c Change
		if err := json.Unmarshal(p.Value, &c); err != nil {
			return nil, errors.Wrapf(err, "key %s", p.Key)
		}
		c.HeadRevision = p.ModRevision
		changes = append(changes, c)
	}
	return changes, nil
}

// reload applies the full configuration from the coordination store.
func (w *Writer) reload(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	full, err := readFull(ctx, w.kv)
	if err != nil {
		return err
	}
	w.store.Replace(full)
	return nil
}

// readFull reads the full configuration at one revision.
func readFull(ctx context.Context, kv coordinationStore) (Full, error) {
	pairs, _, err := kv.Range(ctx, plat.Span{From: keyHead, To: plat.Prefix(keyResources).To})
	if err != nil {
		return Full{}, err
	}
	changes, err := decodeChanges(pairs)
	if err != nil || len(pairs) == 0 {
		return Full{}, err
	}
	if pairs[0].Key != keyHead {
		return Full{}, errors.New("the coordination store has resources of the configuration but no head")
	}
	head := changes[0]
	return Full{Seq: head.Seq, HeadRevision: head.HeadRevision, Resources: changes[1:]}, nil
}

// prepare validates want against snap and returns the change to commit.
func prepare(snap *Snapshot, want Write) (Change, *Rejection) {
	if newSpec(want.Kind) == nil {
		return Change{}, reject(CodeUnknownKind, "there is no kind "+string(want.Kind))
	}
	old := snap.Resource(want.Kind, want.Name)
	if rej := checkVersion(old, want); rej != nil {
		return Change{}, rej
	}
	change := Change{Seq: snap.seq + 1, Kind: want.Kind, Name: want.Name}
	if want.Spec == nil {
		change.Deleted = true
		return change, checkUnused(snap, want)
	}
	spec, rej := decodeSpec(want.Kind, want.Spec)
	if rej != nil {
		return Change{}, rej
	}
	if rej := checkAgainstSnapshot(snap, want, spec); rej != nil {
		return Change{}, rej
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, want.Spec); err != nil {
		return Change{}, reject(CodeInvalid, err.Error())
	}
	change.Spec = compact.Bytes()
	return change, nil
}

func checkVersion(old *Resource, want Write) *Rejection {
	fault := Fault{Field: "resourceVersion"}
	switch {
	case old == nil && want.Spec == nil:
		return reject(CodeNotFound, "there is no "+string(want.Kind)+"/"+want.Name)
	case want.Any:
		return nil
	case old == nil && want.Version != 0:
		return reject(CodeNotFound, "there is no "+string(want.Kind)+"/"+want.Name)
	case old != nil && want.Version == 0:
		fault.Text = "the resource exists with version " + version(old.version)
		return reject(CodeExists, "a resource of this name exists", fault)
	case old != nil && want.Version != old.version:
		fault.Text = "is " + version(want.Version) + ", but the resource has version " + version(old.version)
		return reject(CodeStale, "the resource was changed in the meantime", fault)
	}
	return nil
}

// checkAgainstSnapshot checks the name, that no key belongs to two organisations,
// and that referenced resources exist.
func checkAgainstSnapshot(snap *Snapshot, want Write, spec Spec) *Rejection {
	var f faults
	f.name("name", want.Name)
	if org, ok := spec.(*Organisation); ok {
		for i, h := range org.KeyHashes {
			if owner, used := snap.orgByKeyHash[h]; used && owner != want.Name {
				f.add(indexedField("spec.keyHashes", i), "belongs to another organisation")
			}
		}
	}
	if len(f.list) > 0 {
		return reject(CodeInvalid, "the resource has faults", f.list...)
	}
	for _, r := range spec.refs() {
		if snap.Resource(r.kind, r.name) == nil {
			f.add(r.field, "there is no "+string(r.kind)+"/"+r.name)
		}
	}
	if len(f.list) > 0 {
		return reject(CodeReference, "the resource names others that do not exist", f.list...)
	}
	return nil
}

func checkUnused(snap *Snapshot, want Write) *Rejection {
	for _, k := range Kinds() {
		for _, r := range snap.List(k) {
			for _, reference := range r.spec.refs() {
				if reference.kind == want.Kind && reference.name == want.Name {
					fault := Fault{Field: string(k) + "/" + r.name + " " + reference.field, Text: "names this resource"}
					return reject(CodeInUse, "another resource names this one", fault)
				}
			}
		}
	}
	return nil
}
