package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/wire"
)

// Kinds of messages between daemons.
const (
	kindClaim  wire.Kind = "once.claim"
	kindSettle wire.Kind = "once.settle"
)

// Key names one call that may not be repeated, by its organisation, service
// and idempotency key.
type Key [16]byte

// NewKey returns the key of a call.
func NewKey(organisation, service, idempotencyKey string) Key {
	h := sha256.New()
	for _, part := range []string{organisation, service, idempotencyKey} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// shard returns which shard owns the key.
func (k Key) shard() int { return int(k[0]) % shards }

// shards is how many owners claims are spread over. It bounds the writes to
// the key-value service: shards divided by pace.
const shards = 8

// KeyTime returns the time that an idempotency key carries. Only keys of the
// published form UUID version 7 carry one.
func KeyTime(idempotencyKey string) (time.Time, error) {
	u, err := uuid.Parse(idempotencyKey)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "idempotency key")
	}
	const timed = 7
	if u.Version() != timed {
		return time.Time{}, errors.Errorf("idempotency key is a UUID of version %d, not 7", u.Version())
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// State is what became of a claim.
type State string

// The states of claims.
const (
	// Granted means that the asker may run the call, and nobody else.
	Granted State = "granted"
	// Running means that another daemon runs the call now.
	Running State = "running"
	// Ran means that the call ran; the answer has its outcome.
	Ran State = "ran"
	// Unknown means that the call was handed out and its outcome was lost.
	Unknown State = "unknown"
	// Mismatch means that the key was used for another call.
	Mismatch State = "mismatch"
	// Expired means that the key's time is outside the window.
	Expired State = "expired"
	// Unavailable means that the claim could not be committed.
	Unavailable State = "unavailable"
	// notOwner means that the asked daemon does not own the shard; the asker
	// looks for the owner again.
	notOwner State = "notOwner"
)

// Claim asks for the right to run a call.
type Claim struct {
	Key Key `msgpack:"k"`
	// KeyMillis is the time that the idempotency key carries.
	KeyMillis int64 `msgpack:"t"`
	// Attempt names this try, so that its asker can give it back.
	Attempt string `msgpack:"a"`
	// Asker and Incarnation name the daemon that would run the call.
	Asker       string `msgpack:"e"`
	Incarnation string `msgpack:"i"`
	// Print tells whether a repeated call is the same one.
	Print uint64 `msgpack:"p"`
}

// Answer says what became of a claim.
type Answer struct {
	State State `msgpack:"s"`
	// Outcome is set for Ran.
	Outcome Outcome `msgpack:"o"`
}

// Outcome is how a call ended.
type Outcome struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// Cut tells that the body was too large to be kept.
	Cut bool `msgpack:"c,omitempty"`
}

// MaxKeptBody bounds the body of a kept outcome.
const MaxKeptBody = 1 << 10

// settle tells how an attempt ended.
type settle struct {
	Key     Key     `msgpack:"k"`
	Attempt string  `msgpack:"a"`
	End     end     `msgpack:"e"`
	Outcome Outcome `msgpack:"o"`
	// issuer is who granted a ticket; empty for claims.
	issuer string
}

// end is how an attempt ended.
type end uint8

const (
	endRan end = iota + 1
	// endNotRun gives the claim back: nothing was sent to a target.
	endNotRun
	// endUnknown says that it is not known whether the call ran.
	endUnknown
)

// entry is one line of a shard's log.
type entry struct {
	Key         Key     `msgpack:"k"`
	KeyMillis   int64   `msgpack:"t"`
	Attempt     string  `msgpack:"a"`
	Asker       string  `msgpack:"e,omitempty"`
	Incarnation string  `msgpack:"i,omitempty"`
	Print       uint64  `msgpack:"p,omitempty"`
	End         end     `msgpack:"n,omitempty"`
	Outcome     Outcome `msgpack:"o,omitempty"`
}
