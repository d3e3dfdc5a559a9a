package spread

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

const kindChunk wire.Kind = "spread.piece"

// transfers sends payloads that may be large to peers in chunks of a bounded size: each chunk has a
// time limit that fits its size, and no small message waits behind more than one. The first chunk
// is part of the response itself, the receiver requests the others.
//
// Lock order: compressMu before transfersMu.
type transfers struct {
	fleet *fleet.Fleet
	// onSent, if not nil, is called with the size of each chunk that is sent to a peer.
	onSent func(bytes int)

	compressMu sync.Mutex // held while compressing, so that concurrent requests share the result

	transfersMu sync.Mutex
	// stored holds the latest payloads of several chunks, single those of one, each the oldest first:
	// small payloads must not displace one whose chunks are being requested. Guarded by transfersMu.
	stored, single []storedTransfer
}

// storedTransfer is a payload that peers may still request, or a chunk of it.
type storedTransfer struct {
	id      string
	payload []byte
}

// Bounds of transfers.
const (
	// chunkSize bounds a chunk in bytes: 26 ms on a link of 10 Mbit/s, the slowest of the users'
	// boxes, and 0.5 s where each of 19 other daemons requests one at once.
	chunkSize = 32 << 10
	// chunkTimeout bounds the request of one chunk.
	chunkTimeout = time.Second
	// maxStored is how many payloads of several chunks are kept, and how many of one: most peers
	// request the same payload at the same time.
	maxStored = 4
)

// transfer is the start of a chunked transfer: its first chunk.
type transfer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// ID names the payload in requests for further chunks.
	ID string
	// Size is the size of the whole payload in bytes.
	Size  int
	Chunk []byte
}

// chunkRequest requests the chunk of a payload at an offset in bytes.
type chunkRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Offset   int
}

// newTransfers returns transfers and registers the message that requests a chunk with the fleet.
func newTransfers(f *fleet.Fleet, onSent func(bytes int)) *transfers {
	t := &transfers{fleet: f, onSent: onSent}
	f.Mux().Register(kindChunk, wire.Handle(t.handleChunk))
	return t
}

var (
	errUnknownTransfer = errors.New("the payload of this transfer is no longer stored")
	errTooLarge        = errors.New("the payload exceeds the size limit")
	errInvalidMessage  = errors.New("invalid message from a peer")
)

// find returns a stored payload.
func (t *transfers) find(id string) ([]byte, bool) {
	t.transfersMu.Lock()
	defer t.transfersMu.Unlock()
	for _, list := range [][]storedTransfer{t.stored, t.single} {
		for _, s := range list {
			if s.id == id {
				return s.payload, true
			}
		}
	}
	return nil, false
}

// begin returns the first chunk of a payload. It calls compressed for the payload unless one is
// stored under id, which identifies the contents. Without storing each payload, peers whose requests
// time out while others are compressed for would cause the same work again with each retry, and a busy
// daemon would never catch up.
func (t *transfers) begin(id string, compressed func() ([]byte, error)) (transfer, error) {
	t.compressMu.Lock()
	defer t.compressMu.Unlock()
	payload, found := t.find(id)
	if !found {
		var err error
		if payload, err = compressed(); err != nil {
			return transfer{}, err
		}
		t.store(id, payload)
	}
	return transfer{ID: id, Size: len(payload), Chunk: t.chunkAt(payload, 0)}, nil
}

// store keeps a payload for further requests.
func (t *transfers) store(id string, payload []byte) {
	t.transfersMu.Lock()
	defer t.transfersMu.Unlock()
	list := &t.single
	if len(payload) > chunkSize {
		list = &t.stored
	}
	*list = append(*list, storedTransfer{id, payload})
	*list = (*list)[max(0, len(*list)-maxStored):]
}

// chunkAt returns the chunk of a payload at an offset.
func (t *transfers) chunkAt(payload []byte, offset int) []byte {
	chunk := payload[offset:min(len(payload), offset+chunkSize)]
	if t.onSent != nil {
		t.onSent(len(chunk))
	}
	return chunk
}

// handleChunk sends a chunk to a peer.
func (t *transfers) handleChunk(_ context.Context, _ string, req *chunkRequest) ([]byte, error) {
	payload, ok := t.find(req.ID)
	switch {
	case !ok:
		return nil, errors.WithStack(errUnknownTransfer)
	case req.Offset < 0 || req.Offset > len(payload):
		return nil, errors.WithStack(errInvalidMessage)
	}
	return t.chunkAt(payload, req.Offset), nil
}

// receive requests the chunks after the first from a peer, and returns the whole payload. It fails
// if that has more than maxBytes bytes.
func (t *transfers) receive(ctx context.Context, peer string, first *transfer, maxBytes int) ([]byte, error) {
	if first.Size > maxBytes {
		return nil, errors.WithStack(errTooLarge)
	}
	payload := first.Chunk
	for len(payload) < first.Size {
		var chunk []byte
		if err := t.call(ctx, peer, kindChunk, &chunkRequest{ID: first.ID, Offset: len(payload)}, &chunk); err != nil {
			return nil, err
		}
		if len(chunk) == 0 {
			return nil, errors.WithStack(errInvalidMessage)
		}
		payload = append(payload, chunk...)
	}
	if len(payload) != first.Size {
		return nil, errors.WithStack(errInvalidMessage)
	}
	return payload, nil
}

// call sends a request to a peer whose response holds at most one chunk.
func (t *transfers) call(ctx context.Context, peer string, kind wire.Kind, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	return t.fleet.Query(ctx, peer, kind, req, resp)
}
