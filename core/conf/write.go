package conf

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Keys of the configuration in the key-value service.
const (
	// KeyRoot is the prefix of everything that the configuration keeps.
	KeyRoot = "embertally/conf/"
	// keyHead holds the latest change; its revision guards each write. It
	// sorts right before the resources, so that one read returns both at one
	// revision.
	keyHead = KeyRoot + "res-head"
	// keyLog is the prefix of the latest changes by sequence.
	keyLog = KeyRoot + "log/"
	// keyRes is the prefix of the resources by kind and name.
	keyRes = KeyRoot + "res/"
)

// loggedChanges bounds the changes kept in the service for watches.
const loggedChanges = 1000

func version(seq uint64) string { return strconv.FormatUint(seq, 10) }

func logKey(seq uint64) string {
	text := version(seq)
	const width = 20
	return keyLog + "00000000000000000000"[:width-len(text)] + text
}

func resKey(k Kind, name string) string { return keyRes + string(k) + "/" + name }

// kv is what the configuration needs of the key-value service.
type kv interface {
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
	Read(ctx context.Context, key string) (*plat.Pair, error)
	Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error)
	Watch(ctx context.Context, span plat.Span, from int64, f func([]plat.Change, int64) error) error
}

// Writer commits changes.
type Writer struct {
	store *Store
	kv    kv
	log   *event.Log
}

// NewWriter returns a writer that commits to kv and puts what it committed in
// force in store.
func NewWriter(store *Store, kv kv, log *event.Log) *Writer {
	return &Writer{store: store, kv: kv, log: log}
}

// Write is a wanted change of one resource.
type Write struct {
	Kind Kind
	Name string
	// Spec is the new content; nil deletes the resource.
	Spec []byte
	// Version is the version that the resource must have: zero for one that
	// must not exist. It is not looked at when Any is set.
	Version uint64
	// Any lets the write replace any version or create the resource.
	Any bool
}

// writeLimit bounds the time in which a write is tried and settled.
const writeLimit = 8 * time.Second

// settlePause spaces the tries of a write whose outcome is unknown.
const settlePause = 100 * time.Millisecond

// Commit checks and commits w, and returns the change with its sequence. The
// error is a *Rejection.
func (w *Writer) Commit(ctx context.Context, want Write) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	id := uuid.NewString()
	sent := false
	for {
		snap := w.store.Snapshot()
		change, rej := prepare(snap, want)
		if rej != nil {
			w.log.Emit(event.ConfRejected, event.Ref{Resource: string(want.Kind) + "/" + want.Name}, rej.Error())
			return Change{}, rej
		}
		change.WriteID = id
		done, err := w.attempt(ctx, snap, &change)
		sent = sent || errors.Is(err, plat.ErrUnknown)
		switch {
		case err == nil && done:
			w.finish(change)
			return change, nil
		case ctx.Err() != nil && sent:
			w.log.Emit(event.ConfUnknown, event.Ref{Resource: string(want.Kind) + "/" + want.Name}, "write "+id)
			return Change{}, &Rejection{
				Code: CodeUnknown, WriteID: id,
				Text: "the key-value service does not answer; the change may still take effect",
			}
		case ctx.Err() != nil:
			return Change{}, reject(CodeUnavailable, "the key-value service does not answer; nothing was changed")
		case err != nil:
			wait.For(ctx, settlePause)
		}
	}
}

func (w *Writer) finish(c Change) {
	w.store.Apply([]Change{c})
	w.log.Emit(event.ConfWritten, event.Ref{Resource: string(c.Kind) + "/" + c.Name}, "sequence "+version(c.Seq))
}

// attempt commits change on top of snap. It returns done false when another
// change came first, after putting that one in force. A write whose answer
// was lost may be sent again: every try compares with the same revision of the
// head, so at most one of them takes effect, and the log tells which.
func (w *Writer) attempt(ctx context.Context, snap *Snapshot, change *Change) (done bool, err error) {
	body, err := json.Marshal(change)
	if err != nil {
		return false, errors.WithStack(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	out, err := w.kv.Commit(callCtx, w.txn(snap, change, body))
	cancel()
	if err == nil && out.Succeeded {
		change.HeadRevision = out.Revision
		return true, nil
	}
	// Either another change came first, or the answer was lost: the log tells.
	later, readErr := w.readLog(ctx, snap.seq)
	if readErr != nil {
		if err == nil {
			err = readErr
		}
		return false, err
	}
	for _, c := range later {
		if c.WriteID == change.WriteID {
			*change = c
			w.store.Apply(later)
			return true, nil
		}
	}
	if !w.store.Apply(later) || (err == nil && len(later) == 0) {
		return false, w.reload(ctx)
	}
	return false, err
}

func (w *Writer) txn(snap *Snapshot, change *Change, body []byte) plat.Txn {
	t := plat.Txn{
		Compares: []plat.Compare{{Key: keyHead, ModRevision: snap.headRevision}},
		Puts: []plat.Put{
			{Key: keyHead, Value: body},
			{Key: logKey(change.Seq), Value: body},
		},
	}
	if change.Deleted {
		t.Deletes = append(t.Deletes, resKey(change.Kind, change.Name))
	} else {
		t.Puts = append(t.Puts, plat.Put{Key: resKey(change.Kind, change.Name), Value: body})
	}
	if change.Seq > loggedChanges {
		t.Deletes = append(t.Deletes, logKey(change.Seq-loggedChanges))
	}
	return t
}

// readLog returns the committed changes after seq.
func (w *Writer) readLog(ctx context.Context, seq uint64) ([]Change, error) {
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	return readLog(ctx, w.kv, seq)
}

func readLog(ctx context.Context, kv kv, seq uint64) ([]Change, error) {
	pairs, _, err := kv.Range(ctx, plat.Span{From: logKey(seq + 1), To: plat.Prefix(keyLog).To})
	if err != nil {
		return nil, err
	}
	return changesOf(pairs)
}

func changesOf(pairs []plat.Pair) ([]Change, error) {
	out := make([]Change, 0, len(pairs))
	for _, p := range pairs {
		var c Change
		if err := json.Unmarshal(p.Value, &c); err != nil {
			return nil, errors.Wrapf(err, "key %s", p.Key)
		}
		c.HeadRevision = p.ModRevision
		out = append(out, c)
	}
	return out, nil
}

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

// readFull reads the whole configuration at one revision.
func readFull(ctx context.Context, kv kv) (Full, error) {
	pairs, _, err := kv.Range(ctx, plat.Span{From: keyHead, To: plat.Prefix(keyRes).To})
	if err != nil {
		return Full{}, err
	}
	changes, err := changesOf(pairs)
	if err != nil || len(pairs) == 0 {
		return Full{}, err
	}
	if pairs[0].Key != keyHead {
		return Full{}, errors.New("the configuration in the service has no head")
	}
	head := changes[0]
	return Full{Seq: head.Seq, HeadRevision: head.HeadRevision, Resources: changes[1:]}, nil
}

// prepare checks want against snap and returns the change that would follow.
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
	if rej := checkAgainst(snap, want, spec); rej != nil {
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
	field := Fault{Field: "resourceVersion"}
	switch {
	case old == nil && want.Spec == nil:
		return reject(CodeNotFound, "there is no "+string(want.Kind)+"/"+want.Name)
	case want.Any:
		return nil
	case old == nil && want.Version != 0:
		return reject(CodeNotFound, "there is no "+string(want.Kind)+"/"+want.Name)
	case old != nil && want.Version == 0:
		field.Text = "the resource exists with version " + version(old.version)
		return reject(CodeExists, "a resource of this name exists", field)
	case old != nil && want.Version != old.version:
		field.Text = "is " + version(want.Version) + ", but the resource has version " + version(old.version)
		return reject(CodeStale, "the resource was changed in the meantime", field)
	}
	return nil
}

// checkAgainst checks what a spec alone cannot show.
func checkAgainst(snap *Snapshot, want Write, spec Spec) *Rejection {
	var f faults
	f.name("name", want.Name)
	if org, ok := spec.(*Organisation); ok {
		for i, h := range org.KeyHashes {
			if owner, used := snap.callers[h]; used && owner != want.Name {
				f.add(index("spec.keyHashes", i), "belongs to another organisation")
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
			for _, to := range r.spec.refs() {
				if to.kind == want.Kind && to.name == want.Name {
					at := Fault{Field: string(k) + "/" + r.name + " " + to.field, Text: "names this resource"}
					return reject(CodeInUse, "another resource names this one", at)
				}
			}
		}
	}
	return nil
}
