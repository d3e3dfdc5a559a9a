// Package plat owns the clients of the platform's services, the coordination store (a key-value
// service, here "the store") and the box list, and a watch cache of the store.
//
// It must not know what is kept in the store or why. It never repeats a write whose outcome is
// unknown; its callers find out the outcome by reading back.
package plat

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/wait"
)

// ErrOutcomeUnknown means that a write was sent and its outcome is unknown.
var ErrOutcomeUnknown = errors.New("outcome of write is unknown")

// ErrCompacted means that a watch requested revisions whose history the store has discarded; the
// caller must read all keys again.
var ErrCompacted = errors.New("revision was compacted")

// Pair is one key with its value.
type Pair struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last write to the key.
	ModRevision int64
}

// Compare is a condition on one key of a transaction.
type Compare struct {
	Key string
	// ModRevision is the expected revision of the last write to Key; zero requires that Key does
	// not exist.
	ModRevision int64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	// Session, if not zero, makes the store delete the key when that session ends.
	Session Session
}

// Txn is a transaction that writes Puts and removes Deletes and DeleteRange if all Compares
// hold.
type Txn struct {
	Compares []Compare
	Puts     []Put
	// Deletes are single keys.
	Deletes []string
	// DeleteRange, if set, is a range of keys to remove.
	DeleteRange *Span
}

// Span is the half-open range of keys [From, To). As in etcd, a To of "\x00" means no upper
// bound.
type Span struct{ From, To string }

// Prefix returns the span of all keys that begin with p.
func Prefix(p string) Span { return Span{From: p, To: prefixEnd(p)} }

func prefixEnd(p string) string {
	b := []byte(p)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}

// Outcome is the result of a transaction that was executed.
type Outcome struct {
	// Succeeded is true if the compares held and the writes took effect.
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
}

// Change is one event of a watch.
type Change struct {
	Pair
	Deleted bool
	// LeftShard is set on a deletion where the key only left the cache, because the cache's shard
	// changed; the key may still exist in the store.
	LeftShard bool
	// Unfetched means that the value is omitted because it is large; it is fetched separately.
	Unfetched bool
	// DeletedByRestore is set on a deletion where the key was found missing after the store was
	// restored from an older copy; its writer may be about to write it again.
	DeletedByRestore bool
}

// KV is a client of a coordination store that speaks etcd's published v3 JSON gateway. It is
// safe for concurrent use.
type KV struct {
	urls   []string
	client *Client
	calls  atomic.Int64
	bytes  atomic.Int64
	// urlIndex, modulo the number of URLs, selects the URL in use; a failed call advances it.
	urlIndex atomic.Int64
}

// NewKV returns a client that uses one of the given base URLs, and the next one after a failure.
func NewKV(urls []string, client *Client) *KV {
	return &KV{urls: urls, client: client}
}

// Calls returns the number of calls made. A watch counts as one.
func (k *KV) Calls() int64 { return k.calls.Load() }

// Bytes returns the number of body bytes sent and received.
func (k *KV) Bytes() int64 { return k.bytes.Load() }

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision"`
}

type wireSpan struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type wireOp struct {
	RequestPut         *wirePut  `json:"request_put,omitempty"`
	RequestDeleteRange *wireSpan `json:"request_delete_range,omitempty"`
}

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Range returns the keys of span, ordered by key, and the revision they were read at.
func (k *KV) Range(ctx context.Context, span Span) ([]Pair, int64, error) {
	var response struct {
		Header wireHeader `json:"header"`
		Kvs    []wireKV   `json:"kvs"`
	}
	err := k.call(ctx, k.repeated, rangePath, wireSpan{Key: []byte(span.From), RangeEnd: []byte(span.To)}, &response)
	if err != nil {
		return nil, 0, errors.Wrap(err, "range")
	}
	pairs := make([]Pair, len(response.Kvs))
	for i, kv := range response.Kvs {
		pairs[i] = Pair{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
	}
	return pairs, response.Header.Revision, nil
}

// Read returns one key, or nil if it does not exist.
func (k *KV) Read(ctx context.Context, key string) (*Pair, error) {
	pairs, _, err := k.Range(ctx, Span{From: key, To: key + "\x00"})
	if err != nil || len(pairs) == 0 {
		return nil, err
	}
	return &pairs[0], nil
}

// Commit executes t. An error that is ErrOutcomeUnknown means that t may have taken effect; any
// other error means that it did not.
func (k *KV) Commit(ctx context.Context, t Txn) (Outcome, error) {
	var body struct {
		Compare []wireCompare `json:"compare"`
		Success []wireOp      `json:"success"`
	}
	for _, c := range t.Compares {
		body.Compare = append(body.Compare, wireCompare{
			Key: []byte(c.Key), Target: "MOD", Result: "EQUAL",
			ModRevision: strconv.FormatInt(c.ModRevision, 10),
		})
	}
	for _, p := range t.Puts {
		body.Success = append(body.Success, wireOp{RequestPut: &wirePut{Key: []byte(p.Key), Value: p.Value}})
	}
	for _, d := range t.Deletes {
		body.Success = append(body.Success, wireOp{RequestDeleteRange: &wireSpan{Key: []byte(d)}})
	}
	if r := t.DeleteRange; r != nil {
		body.Success = append(body.Success, wireOp{RequestDeleteRange: &wireSpan{Key: []byte(r.From), RangeEnd: []byte(r.To)}})
	}
	var response struct {
		Header    wireHeader `json:"header"`
		Succeeded bool       `json:"succeeded"`
	}
	if err := k.call(ctx, k.once, "/v3/kv/txn", body, &response); err != nil {
		return Outcome{}, errors.Wrapf(ErrOutcomeUnknown, "txn: %v", err)
	}
	return Outcome{Succeeded: response.Succeeded, Revision: response.Header.Revision}, nil
}

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

const rangePath = "/v3/kv/range"

// silentAfter is how long nothing may be received for a call before its connection is probed.
const silentAfter = 400 * time.Millisecond

// repeated sends a request, and once more if its connection carries nothing any more.
func (k *KV) repeated(req *http.Request, raw []byte) (*http.Response, error) {
	return k.client.DoProbed(req, Probe{After: silentAfter, Request: withBody(req, raw), Answers: true})
}

// once sends a request that must not be sent twice. It fails early if its connection carries nothing
// any more.
func (k *KV) once(req *http.Request, _ []byte) (*http.Response, error) {
	raw, err := json.Marshal(wireSpan{Key: []byte{0}})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	probe := withBody(req, raw)
	probe.URL.Path = rangePath
	return k.client.DoProbed(req, Probe{After: silentAfter, Request: probe})
}

// withBody returns a copy of a request with another body.
func withBody(req *http.Request, raw []byte) *http.Request {
	out := req.Clone(req.Context())
	out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(raw)), nil }
	out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
	return out
}

// kvSender sends a request with a body.
type kvSender func(req *http.Request, raw []byte) (*http.Response, error)

func (k *KV) call(ctx context.Context, send kvSender, path string, body, response any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, idle := wait.WithIdleTimeout(ctx, CallTimeout, CallTimeout)
	defer idle.Stop()
	resp, err := k.post(ctx, send, path, raw)
	if err != nil {
		return idle.Cause(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(idle.Reader(resp.Body), maxResponseBytes))
	k.bytes.Add(int64(len(got)))
	if err != nil {
		return idle.Cause(errors.WithStack(err))
	}
	return errors.Wrap(json.Unmarshal(got, response), "decode response of coordination store")
}

func (k *KV) post(ctx context.Context, send kvSender, path string, raw []byte) (*http.Response, error) {
	index := k.urlIndex.Load()
	url := k.urls[int(index)%len(k.urls)] + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	k.calls.Add(1)
	k.bytes.Add(int64(len(raw)))
	resp, err := send(req, raw)
	if err == nil && resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		err = errors.Errorf("coordination store: status %s", resp.Status)
	}
	if err != nil {
		k.urlIndex.CompareAndSwap(index, index+1)
		return nil, errors.WithStack(err)
	}
	return resp, nil
}

// Watch calls f with the changes of each revision of span from the given revision on, until ctx
// ends, f fails or the stream breaks. A call without changes reports progress up to its
// revision. A stream does not show for how long its messages were under way, so that no call claims
// as of when it is complete.
func (k *KV) Watch(ctx context.Context, span Span, from int64, f func(changes []Change, revision int64, asOf clock.Time) error) error {
	type create struct {
		wireSpan
		StartRevision  string `json:"start_revision"`
		ProgressNotify bool   `json:"progress_notify"`
	}
	body := struct {
		CreateRequest create `json:"create_request"`
	}{create{
		wireSpan:      wireSpan{Key: []byte(span.From), RangeEnd: []byte(span.To)},
		StartRevision: strconv.FormatInt(from, 10), ProgressNotify: true,
	}}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	// A watch that carries nothing any more ends with its connection. Until then the readers of the
	// store find out by reading it from time to time.
	stream := func(req *http.Request, _ []byte) (*http.Response, error) { return k.client.Do(req) }
	resp, err := k.post(ctx, stream, "/v3/watch", raw)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(bufio.NewReader(resp.Body))
	for {
		if err := k.nextWatch(dec, f); err != nil {
			return err
		}
	}
}

func (k *KV) nextWatch(dec *json.Decoder, f func([]Change, int64, clock.Time) error) error {
	type wireEvent struct {
		Type string `json:"type"`
		KV   wireKV `json:"kv"`
	}
	var msg struct {
		Result struct {
			Header          wireHeader  `json:"header"`
			Canceled        bool        `json:"canceled"`
			CompactRevision int64       `json:"compact_revision,string"`
			Events          []wireEvent `json:"events"`
		} `json:"result"`
	}
	before := dec.InputOffset()
	if err := dec.Decode(&msg); err != nil {
		return errors.Wrap(err, "watch")
	}
	k.bytes.Add(dec.InputOffset() - before)
	if msg.Result.CompactRevision > 0 {
		return errors.WithStack(ErrCompacted)
	}
	if msg.Result.Canceled {
		return errors.New("watch was cancelled by the store")
	}
	changes := make([]Change, 0, len(msg.Result.Events))
	for _, e := range msg.Result.Events {
		changes = append(changes, Change{
			Pair:    Pair{Key: string(e.KV.Key), Value: e.KV.Value, ModRevision: e.KV.ModRevision},
			Deleted: e.Type == "DELETE",
		})
	}
	return f(changes, msg.Result.Header.Revision, clock.Time{})
}

// CallTimeout bounds one small call of the store, which normally answers within milliseconds, and
// any time without data within the response to a large one.
const CallTimeout = 2 * time.Second
