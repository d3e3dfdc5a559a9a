// Package wire owns the connections between daemons: length-prefixed frames with a msgpack body
// over TCP with TLS, and the calls and notifications sent in them.
//
// It must not know what the messages mean. Other packages register a handler for each kind of
// message.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/memory"
)

// Kind identifies the type of a message.
type Kind string

// MaxFrame is the largest body of a frame, in bytes. The largest message is a full
// configuration.
const MaxFrame = 32 << 20

// ErrTooLarge means that a frame exceeds MaxFrame.
var ErrTooLarge = errors.New("frame too large")

// envelope is the body of a frame.
type envelope struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// ID matches a response to its call; zero marks a notification, which gets no response.
	ID uint64
	// Kind is the kind of the message; empty in a response.
	Kind Kind
	// Err is the error that a handler returned; empty in other messages.
	Err string
	// Body is the encoded message.
	Body msgpack.RawMessage
}

const headerSize = 4

// encode returns the frame that contains e.
func encode(e *envelope) ([]byte, error) {
	body, err := msgpack.Marshal(e)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(body) > MaxFrame {
		return nil, errors.WithStack(ErrTooLarge)
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// firstRead is the maximum memory in bytes that is allocated before any of a frame's body has
// arrived, so that a sender that states a false length must send bytes before more is allocated.
const firstRead = 64 << 10

// decode reads one frame from r and returns its content and the frame's size in bytes. budget, which may be nil, bounds what
// is held of all frames while they are read.
func decode(r io.Reader, budget *memory.Budget) (*envelope, int, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, errors.WithStack(err)
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrame {
		return nil, 0, errors.WithStack(ErrTooLarge)
	}
	held := budget.Hold(memory.Frames)
	defer held.Release()
	body, err := readBody(r, size, held)
	if err != nil {
		return nil, 0, err
	}
	var e envelope
	if err := Unmarshal(body, &e); err != nil {
		return nil, 0, errors.Wrap(err, "frame")
	}
	return &e, headerSize + size, nil
}

func readBody(r io.Reader, size int, held *memory.Holding) ([]byte, error) {
	body := make([]byte, 0, min(size, firstRead))
	for len(body) < size {
		at := len(body)
		step := min(size-at, max(at, firstRead))
		if err := held.Grow(int64(step)); err != nil {
			return nil, err
		}
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return body, nil
}
