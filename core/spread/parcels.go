package spread

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

const kindPiece wire.Kind = "spread.piece"

// parcels give answers that may be large to peers in pieces of a bounded size: each
// piece has a time limit that its size fits, and nothing small waits behind more than
// one. The first piece goes with the answer itself, the others are asked for.
//
// Lock order: packMu before parcelsMu.
type parcels struct {
	fleet *fleet.Fleet
	// sent, if not nil, hears of the bytes of each piece that is given to a peer.
	sent func(bytes int)

	packMu sync.Mutex // held while an answer is packed; the first packing serves all who ask

	parcelsMu sync.Mutex
	// kept holds the latest parcels of several pieces, the oldest first. Guarded by
	// parcelsMu.
	kept []keptParcel
}

// keptParcel is one that peers may still ask for pieces of.
type keptParcel struct {
	id    string
	bytes []byte
}

// Bounds of parcels.
const (
	// pieceSize bounds a piece: 26 ms on a link of 10 Mbit/s, the slowest of the
	// users' boxes, and 0.5 s where each of 19 other daemons asks for one at once.
	pieceSize = 32 << 10
	// pieceLimit bounds the time for a piece.
	pieceLimit = time.Second
	// parcelsKept is how many parcels are kept.
	parcelsKept = 4
)

// parcel is an answer's first piece.
type parcel struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// ID names the parcel in questions for the other pieces.
	ID string
	// Size is the size of all pieces together.
	Size  int
	Piece []byte
}

// pieceAsk asks for a piece of a parcel.
type pieceAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	From     int
}

// newParcels attaches parcels to the fleet.
func newParcels(f *fleet.Fleet, sent func(bytes int)) *parcels {
	p := &parcels{fleet: f, sent: sent}
	f.Mux().Register(kindPiece, wire.Handle(p.answer))
	return p
}

var (
	errNoParcel = errors.New("the parcel is not kept any more")
	errTooLarge = errors.New("the answer is too large")
	errNonsense = errors.New("the peer's pieces do not fit together")
)

// find returns a parcel that was made before.
func (p *parcels) find(id string) ([]byte, bool) {
	p.parcelsMu.Lock()
	defer p.parcelsMu.Unlock()
	for _, k := range p.kept {
		if k.id == id {
			return k.bytes, true
		}
	}
	return nil, false
}

// prepare returns the first piece of an answer, which is packed unless it is kept.
func (p *parcels) prepare(id string, packed func() ([]byte, error)) (parcel, error) {
	p.packMu.Lock()
	defer p.packMu.Unlock()
	bytes, kept := p.find(id)
	if !kept {
		var err error
		if bytes, err = packed(); err != nil {
			return parcel{}, err
		}
	}
	return p.first(id, bytes), nil
}

// first returns the first piece of an answer, and keeps the answer where there are
// more.
func (p *parcels) first(id string, bytes []byte) parcel {
	if _, kept := p.find(id); !kept && len(bytes) > pieceSize {
		p.parcelsMu.Lock()
		p.kept = append(p.kept, keptParcel{id, bytes})
		p.kept = p.kept[max(0, len(p.kept)-parcelsKept):]
		p.parcelsMu.Unlock()
	}
	return parcel{ID: id, Size: len(bytes), Piece: p.cut(bytes, 0)}
}

// cut returns the piece of an answer that begins somewhere in it.
func (p *parcels) cut(bytes []byte, from int) []byte {
	piece := bytes[from:min(len(bytes), from+pieceSize)]
	if p.sent != nil {
		p.sent(len(piece))
	}
	return piece
}

// answer gives a peer a piece.
func (p *parcels) answer(_ context.Context, _ string, ask *pieceAsk) ([]byte, error) {
	bytes, ok := p.find(ask.ID)
	switch {
	case !ok:
		return nil, errors.WithStack(errNoParcel)
	case ask.From < 0 || ask.From > len(bytes):
		return nil, errors.WithStack(errNonsense)
	}
	return p.cut(bytes, ask.From), nil
}

// rest asks a peer for the pieces that follow the first one, and returns the whole
// answer, which may have at most most bytes.
func (p *parcels) rest(ctx context.Context, peer string, first *parcel, most int) ([]byte, error) {
	if first.Size > most {
		return nil, errors.WithStack(errTooLarge)
	}
	bytes := first.Piece
	for len(bytes) < first.Size {
		var piece []byte
		if err := p.ask(ctx, peer, kindPiece, &pieceAsk{ID: first.ID, From: len(bytes)}, &piece); err != nil {
			return nil, err
		}
		if len(piece) == 0 {
			return nil, errors.WithStack(errNonsense)
		}
		bytes = append(bytes, piece...)
	}
	if len(bytes) != first.Size {
		return nil, errors.WithStack(errNonsense)
	}
	return bytes, nil
}

// ask asks a peer something whose answer holds one piece at most.
func (p *parcels) ask(ctx context.Context, peer string, kind wire.Kind, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, pieceLimit)
	defer cancel()
	return p.fleet.Call(ctx, peer, kind, req, resp)
}
