package fake

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// KeyValue emulates the coordination store. It implements the part of etcd's
// published v3 JSON gateway that embertally uses.
type KeyValue struct {
	Server

	kvMu     sync.Mutex
	revision int64             // guarded by kvMu
	data     map[string]kvItem // guarded by kvMu
	// history has every change after the revision compacted, in order. Guarded by kvMu.
	history     []kvChange
	compacted   int64          // guarded by kvMu
	changed     chan struct{}  // closed and replaced at each change; guarded by kvMu
	counts      KeyValueCounts // guarded by kvMu
	openWatches int            // guarded by kvMu
}

// KeyValueCounts counts the calls to a coordination store.
type KeyValueCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// kvItem is a stored value and the revision that wrote it.
type kvItem struct {
	value       []byte
	modRevision int64
}

// kvChange is one change in the history.
type kvChange struct {
	revision int64
	key      string
	value    []byte
	deleted  bool
}

// maxHistory bounds the changes that are stored for watches; older ones are compacted.
const maxHistory = 20000

// NewKeyValue starts a coordination store that listens at address.
func NewKeyValue(address string) (*KeyValue, error) {
	k := &KeyValue{data: map[string]kvItem{}, changed: make(chan struct{}), revision: 1}
	return k, k.start(address, func(e *echo.Echo) {
		e.POST("/v3/kv/range", k.rangeKeys)
		e.POST("/v3/kv/txn", k.txn)
		e.POST("/v3/watch", k.watch)
		e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, k.Counts()) })
		e.POST("/compact", func(c echo.Context) error { k.Compact(); return c.NoContent(http.StatusNoContent) })
	})
}

// Counts returns how many calls were made.
func (k *KeyValue) Counts() KeyValueCounts {
	k.kvMu.Lock()
	defer k.kvMu.Unlock()
	return k.counts
}

// OpenWatches returns the number of open watches.
func (k *KeyValue) OpenWatches() int {
	k.kvMu.Lock()
	defer k.kvMu.Unlock()
	return k.openWatches
}

// Compact discards the history up to the current revision.
func (k *KeyValue) Compact() {
	k.kvMu.Lock()
	defer k.kvMu.Unlock()
	k.history, k.compacted = nil, k.revision
}

// kvSpan is one key, or the keys from Key up to but without RangeEnd. A RangeEnd of one zero
// byte has no upper bound.
type kvSpan struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

func (s kvSpan) contains(key string) bool {
	if len(s.RangeEnd) == 0 {
		return key == string(s.Key)
	}
	return key >= string(s.Key) && (string(s.RangeEnd) == "\x00" || key < string(s.RangeEnd))
}

type kvHeader struct {
	Revision int64 `json:"revision,string"`
}

type kvPair struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (k *KeyValue) rangeKeys(c echo.Context) error {
	var span kvSpan
	if err := json.NewDecoder(c.Request().Body).Decode(&span); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	k.kvMu.Lock()
	k.counts.Reads++
	var body struct {
		Header kvHeader `json:"header"`
		Kvs    []kvPair `json:"kvs,omitempty"`
	}
	body.Header.Revision = k.revision
	for key, item := range k.data {
		if span.contains(key) {
			body.Kvs = append(body.Kvs, kvPair{[]byte(key), item.value, item.modRevision})
		}
	}
	k.kvMu.Unlock()
	sort.Slice(body.Kvs, func(i, j int) bool { return string(body.Kvs[i].Key) < string(body.Kvs[j].Key) })
	return c.JSON(http.StatusOK, body)
}

// kvTxn is a transaction: the operations in Success are executed if every key in Compare has
// the given revision, zero for a key that does not exist.
type kvTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put    *kvPut  `json:"request_put"`
		Delete *kvSpan `json:"request_delete_range"`
	} `json:"success"`
}

type kvPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// txn handles a transaction. A failed comparison leaves the data unchanged.
func (k *KeyValue) txn(c echo.Context) error {
	var t kvTxn
	if err := json.NewDecoder(c.Request().Body).Decode(&t); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	ok, revision := k.apply(&t)
	if k.Take(LoseResponses) {
		return resetConnection(c)
	}
	var body struct {
		Header    kvHeader `json:"header"`
		Succeeded bool     `json:"succeeded"`
	}
	body.Header.Revision, body.Succeeded = revision, ok
	return c.JSON(http.StatusOK, body)
}

// apply executes a transaction if its comparisons hold. It returns whether they did and the
// revision afterwards.
func (k *KeyValue) apply(t *kvTxn) (bool, int64) {
	k.kvMu.Lock()
	defer k.kvMu.Unlock()
	k.counts.Writes++
	for _, cmp := range t.Compare {
		if k.data[string(cmp.Key)].modRevision != cmp.ModRevision {
			return false, k.revision
		}
	}
	k.revision++
	for _, op := range t.Success {
		if op.Put != nil {
			k.put(string(op.Put.Key), op.Put.Value)
		}
		if op.Delete != nil {
			k.remove(*op.Delete)
		}
	}
	if extra := len(k.history) - maxHistory; extra > 0 {
		k.compacted = k.history[extra-1].revision
		k.history = append([]kvChange(nil), k.history[extra:]...)
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return true, k.revision
}

func (k *KeyValue) put(key string, value []byte) {
	k.data[key] = kvItem{value, k.revision}
	k.history = append(k.history, kvChange{revision: k.revision, key: key, value: value})
}

func (k *KeyValue) remove(span kvSpan) {
	for key := range k.data {
		if span.contains(key) {
			delete(k.data, key)
			k.history = append(k.history, kvChange{revision: k.revision, key: key, deleted: true})
		}
	}
}

type kvEvent struct {
	Type string `json:"type,omitempty"`
	KV   kvPair `json:"kv"`
}

type kvResult struct {
	Header          kvHeader  `json:"header"`
	Created         bool      `json:"created,omitempty"`
	Canceled        bool      `json:"canceled,omitempty"`
	CompactRevision int64     `json:"compact_revision,string,omitempty"`
	Events          []kvEvent `json:"events,omitempty"`
}

type kvMessage struct {
	Result kvResult `json:"result"`
}

// progressInterval is the interval at which a watch without changes sends its revision.
const progressInterval = time.Second

// watch streams the changes of a span, from a revision on.
func (k *KeyValue) watch(c echo.Context) error {
	var body struct {
		CreateRequest struct {
			kvSpan
			StartRevision int64 `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	k.kvMu.Lock()
	k.counts.Watches++
	k.openWatches++
	k.kvMu.Unlock()
	defer k.watchClosed()
	next := body.CreateRequest.StartRevision
	c.Response().WriteHeader(http.StatusOK)
	enc := json.NewEncoder(c.Response())
	for {
		msg, changed := k.changesSince(body.CreateRequest.kvSpan, next)
		if k.Value(StallWatch) == 0 && k.Value(Down) == 0 {
			if enc.Encode(msg) != nil {
				return nil
			}
			c.Response().Flush()
			next = max(next, msg.Result.Header.Revision+1)
		}
		if msg.Result.Canceled || k.Value(Down) > 0 {
			return nil
		}
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-changed:
		case <-time.After(progressInterval):
		}
	}
}

// watchClosed counts a closed watch.
func (k *KeyValue) watchClosed() {
	k.kvMu.Lock()
	defer k.kvMu.Unlock()
	k.openWatches--
}

// changesSince returns the changes of span from a revision on, or that the revision is
// compacted, and a channel that is closed at the next change.
func (k *KeyValue) changesSince(span kvSpan, from int64) (kvMessage, <-chan struct{}) {
	k.kvMu.Lock()
	defer k.kvMu.Unlock()
	msg := kvMessage{Result: kvResult{Header: kvHeader{k.revision}}}
	if from > 0 && from <= k.compacted {
		msg.Result.Canceled, msg.Result.CompactRevision = true, k.compacted
		return msg, k.changed
	}
	first := sort.Search(len(k.history), func(i int) bool { return k.history[i].revision >= from })
	for _, ch := range k.history[first:] {
		if !span.contains(ch.key) {
			continue
		}
		ev := kvEvent{KV: kvPair{[]byte(ch.key), ch.value, ch.revision}}
		if ch.deleted {
			ev.Type = "DELETE"
		}
		msg.Result.Events = append(msg.Result.Events, ev)
	}
	return msg, k.changed
}
