package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
)

// fixedBody answers each request with the same body.
type fixedBody []byte

// RoundTrip implements http.RoundTripper.
func (b fixedBody) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{
		Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Etag": {"1"}},
		ContentLength: int64(len(b)), Body: io.NopCloser(bytes.NewReader(b)), Request: req,
	}, nil
}

// client returns a client whose calls get the body.
func (b fixedBody) client() *Client {
	transport := &http.Transport{}
	transport.RegisterProtocol("http", b)
	return &Client{Transport: transport}
}

// watchedChanges are the changes of one message of a watch.
type watchedChanges struct {
	changes  []Change
	revision int64
}

// watched returns the messages that a watch reads, and why it ended.
func watched(k *KV, r io.Reader) (list []watchedChanges, err error) {
	dec := json.NewDecoder(r)
	for err == nil {
		err = k.nextWatch(dec, func(changes []Change, revision int64, _ clock.Time) error {
			list = append(list, watchedChanges{changes, revision})
			return nil
		})
	}
	return list, err
}

// Guards against messages of a watch that are lost or read in part, and against a watch of compacted revisions that goes on.
func FuzzWatchMessages(f *testing.F) {
	for _, text := range []string{
		"", "{}", "null", `{"result":{"header":{"revision":"7"},"events":[{"type":"PUT","kv":{"key":"YQ==","value":"eA==","mod_revision":"3"}},{"type":"DELETE","kv":{"key":"YQ=="}}]}}`,
		`{"result":{"header":{"revision":"8"},"compact_revision":"5","canceled":true}}`, `{"result":{"canceled":true}}`, `{"result":{"header":{"revision":7}}}`,
		`{"result":{"header":{"revision":"1"}}}{"result":{"header":{"revision":"2"}}`, `{"result":{"events":[{"kv":{"key":"!"}}]}}`, `{"error":{"message":"x"}}`,
	} {
		f.Add([]byte(text), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		k := NewKV([]string{"http://store"}, &Client{})
		whole, err := watched(k, bytes.NewReader(text))
		parts, partsErr := watched(k, iotest.OneByteReader(bytes.NewReader(text)))
		if !reflect.DeepEqual(parts, whole) || errors.Is(err, ErrCompacted) != errors.Is(partsErr, ErrCompacted) {
			t.Fatalf("%+v, %v; in parts: %+v, %v", whole, err, parts, partsErr)
		}
		if k.Bytes() > 2*int64(len(text)) || len(whole) > len(text) {
			t.Fatalf("%d messages of %d bytes from %d", len(whole), k.Bytes(), len(text))
		}
		before, _ := watched(k, bytes.NewReader(text[:int(cut)%(len(text)+1)]))
		if len(before) > len(whole) || (len(before) > 0 && !reflect.DeepEqual(before, whole[:len(before)])) {
			t.Fatalf("%+v from a cut watch in place of %+v", before, whole)
		}
	})
}

// Guards against an answer of the store or of the platform that is taken for whole though it is not.
func FuzzStoreAnswers(f *testing.F) {
	for _, text := range []string{
		"", "{}", "null", `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"eA==","mod_revision":"3"},{}]}`, `{"header":{"revision":"7"},"succeeded":true}`,
		`{"boxes":[{"name":"box-1","role":"entry","address":"10.0.0.1:1","domain":"z","state":"live"}]}`, `{"boxes":null}x`, `{"kvs":[null]}`, `{"header":{"revision":"99999999999999999999"}}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ctx, k := context.Background(), NewKV([]string{"http://store"}, fixedBody(text).client())
		pairs, revision, err := k.Range(ctx, Prefix(""))
		if err == nil && (!json.Valid(text) || len(pairs) > len(text)) || err != nil && (len(pairs) > 0 || revision != 0) {
			t.Fatalf("%q: %d pairs at %d, %v", text, len(pairs), revision, err)
		}
		outcome, err := k.Commit(ctx, Txn{})
		if err == nil && !json.Valid(text) || err != nil && (outcome != Outcome{} || !errors.Is(err, ErrOutcomeUnknown)) {
			t.Fatalf("%q: %+v, %v", text, outcome, err)
		}
		boxes, changed, err := NewBoxList("http://platform", fixedBody(text).client()).Read(ctx)
		if changed != (err == nil) || len(boxes) > len(text) || err != nil && len(boxes) > 0 {
			t.Fatalf("%q: %+v, %t, %v", text, boxes, changed, err)
		}
		if err != nil {
			return
		}
		raw, err := json.Marshal(map[string]any{"boxes": boxes})
		if err != nil {
			t.Fatal(err)
		}
		again, _, err := NewBoxList("http://platform", fixedBody(raw).client()).Read(ctx)
		if err != nil || !reflect.DeepEqual(again, boxes) {
			t.Fatalf("%+v; encoded and read again: %+v, %v", boxes, again, err)
		}
	})
}
