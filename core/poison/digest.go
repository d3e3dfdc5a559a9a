// Package poison owns which requests end the targets that run them: it knows a request
// again by what it asks, counts over all daemons how many runs of targets ended under it,
// and says which requests are not to be sent any more.
//
// It must not know how requests are routed, what a target is beyond the name of a run, or
// how the platform's store is spoken to.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"
)

// Fingerprint names what a request asks: the same from the same organisation has the same
// fingerprint at each daemon, under whatever ID it comes.
//
// It is the first half of a SHA-256, which nobody can aim at another organisation's
// requests: the organisation is part of what is hashed. A false match would refuse a
// proper request; among 2^128 values that does not happen by chance.
type Fingerprint [16]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Parse reads what String returns.
func Parse(s string) (Fingerprint, bool) {
	var f Fingerprint
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(f) {
		return f, false
	}
	return Fingerprint(raw), true
}

// Request is what a fingerprint is taken of.
type Request struct {
	// Organisation is the caller's, or "" where anybody may call.
	Organisation string
	Method       string
	Host         string
	// URI is the path and query as the caller sent them.
	URI  string
	Body []byte
}

// Of returns the fingerprint of a request. Headers do not count: IDs and deadlines differ
// from try to try.
func Of(r *Request) Fingerprint {
	h := sha256.New()
	for _, s := range []string{r.Organisation, r.Method, strings.ToLower(r.Host), r.URI} {
		writeField(h, len(s))
		// A hash takes all that it is given.
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0]))
}

// writeField writes the length of a field, so that no field can pass for part of another.
func writeField(h hash.Hash, length int) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(length))
	_, _ = h.Write(n[:])
}
