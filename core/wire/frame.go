// Package wire owns the connections between daemons: frames with a length and
// a msgpack body over TCP with TLS, and calls and notices made of them.
//
// It must not know what the messages mean. Each slice registers the kinds that
// it answers.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Kind names a sort of message.
type Kind string

// MaxFrame bounds one frame. The largest is a whole configuration.
const MaxFrame = 32 << 20

// ErrTooLarge says that a frame is over MaxFrame.
var ErrTooLarge = errors.New("frame is too large")

// envelope is one frame's content.
type envelope struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// ID joins an answer to its call; zero marks a notice, which gets none.
	ID uint64
	// Kind is empty in an answer.
	Kind Kind
	// Err is the error of an answer.
	Err string
	// Body is the message.
	Body msgpack.RawMessage
}

const headerSize = 4

// encode returns the frame of e.
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

// firstRead bounds what is set aside before bytes of the frame arrive, so that
// a false length costs a sender's own bytes first.
const firstRead = 64 << 10

// decode reads one frame from r.
func decode(r io.Reader) (*envelope, int, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, errors.WithStack(err)
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > MaxFrame {
		return nil, 0, errors.WithStack(ErrTooLarge)
	}
	body, err := readBody(r, size)
	if err != nil {
		return nil, 0, err
	}
	var e envelope
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return nil, 0, errors.Wrap(err, "frame")
	}
	return &e, headerSize + size, nil
}

func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, firstRead))
	for len(body) < size {
		at := len(body)
		step := min(size-at, max(at, firstRead))
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return body, nil
}
