package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/wire"
)

// Kinds of messages between daemons.
const (
	kindClaim  wire.Kind = "once.claim"
	kindSettle wire.Kind = "once.settle"
)

// Key identifies one call that may not be repeated: a hash of its organisation, service and
// idempotency key.
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

// shard returns the number of the shard that holds the key.
func (k Key) shard() int { return int(k[0]) % shardCount }

// shardCount is the number of shards. It bounds the writes of claims to the coordination store: one
// for each shard and claimInterval.
const shardCount = 8

// KeyTime returns the time that an idempotency key carries, which must be a UUID of version 7.
func KeyTime(idempotencyKey string) (time.Time, error) {
	u, err := uuid.Parse(idempotencyKey)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "idempotency key")
	}
	const timeOrdered = 7
	if u.Version() != timeOrdered {
		return time.Time{}, errors.Errorf("idempotency key is a UUID of version %d, not 7", u.Version())
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// State is the state of a claim.
type State string

// The states of claims.
const (
	// Granted means that the requester may run the call, and nobody else.
	Granted State = "granted"
	// Running means that another attempt is running the call.
	Running State = "running"
	// Ran means that the call ran; the ClaimResponse holds its outcome.
	Ran State = "ran"
	// Unknown means that the right to run the call was granted and its outcome is not known.
	Unknown State = "unknown"
	// Mismatch means that the key was used for a different call.
	Mismatch State = "mismatch"
	// Expired means that the key's time is outside the window of valid keys.
	Expired State = "expired"
	// Unavailable means that the claim could not be committed.
	Unavailable State = "unavailable"
	// notOwner means that the daemon doesn't own the shard; the requester looks up the owner again.
	notOwner State = "notOwner"
)

// Claim requests the right to run a call.
type Claim struct {
	Key Key `msgpack:"k"`
	// KeyMillis is the time that the idempotency key carries, in Unix milliseconds.
	KeyMillis int64 `msgpack:"t"`
	// Attempt identifies this attempt, so that its requester can release the claim.
	Attempt string `msgpack:"a"`
	// Requester and Incarnation identify the daemon that would run the call.
	Requester   string `msgpack:"e"`
	Incarnation string `msgpack:"i"`
	// Digest is the hash of the call by which the reuse of a key for a different call is detected.
	Digest uint64 `msgpack:"p"`
}

// ClaimResponse is the response to a claim.
type ClaimResponse struct {
	State State `msgpack:"s"`
	// Outcome is set for Ran.
	Outcome Outcome `msgpack:"o"`
}

// Outcome is the recorded response to a call.
type Outcome struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// BodyOmitted reports that the body was too large to be recorded.
	BodyOmitted bool `msgpack:"c,omitempty"`
}

// MaxOutcomeBody bounds the body of a recorded outcome, in bytes.
const MaxOutcomeBody = 1 << 10

// settlement reports the result of an attempt.
type settlement struct {
	Key Key `msgpack:"k"`
	// KeyMillis is as in Claim; 0 from a daemon that doesn't send it.
	KeyMillis int64         `msgpack:"t,omitempty"`
	Attempt   string        `msgpack:"a"`
	Result    attemptResult `msgpack:"e"`
	Outcome   Outcome       `msgpack:"o"`
	// issuer is the daemon that issued the ticket; empty for a claim by idempotency key.
	issuer string
	// recorded is as in Attempt.
	recorded clock.Time
}

// attemptResult is how an attempt ended; zero while it has no result.
type attemptResult uint8

const (
	// resultRan means that the call ran; its outcome is recorded.
	resultRan attemptResult = iota + 1
	// resultNotRun means that nothing was sent to a target: the claim is released.
	resultNotRun
	// resultUnknown means that it is not known whether the call ran.
	resultUnknown
)

// entry is one record of a shard's log: a claim, or the result of its attempt if Result is set.
type entry struct {
	Key         Key           `msgpack:"k"`
	KeyMillis   int64         `msgpack:"t"`
	Attempt     string        `msgpack:"a"`
	Requester   string        `msgpack:"e,omitempty"`
	Incarnation string        `msgpack:"i,omitempty"`
	Digest      uint64        `msgpack:"p,omitempty"`
	Result      attemptResult `msgpack:"n,omitempty"`
	Outcome     Outcome       `msgpack:"o,omitempty"`
}
