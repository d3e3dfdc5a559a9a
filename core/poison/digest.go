// Package poison owns the detection of requests that crash the targets running them. It identifies
// repeated requests by a digest of their contents, counts across all daemons how many incarnations
// of targets crashed under each, and blocks those that crash too many. Requests that differ and share
// a part of their prompts are identified by what the crashes have in common.
//
// It must not know how requests are routed, what a target is beyond the name of an incarnation, or
// the protocol of the coordination store.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"
)

// Digest is the digest of a request. The same request from the same organisation has the same
// digest at each daemon, whatever its request ID.
//
// It is the first half of a SHA-256. The organisation is part of the input, so nobody can craft a
// request that collides with another organisation's. A collision would refuse a harmless request;
// among 2^128 values that does not happen by accident.
type Digest [16]byte

// String returns the digest as hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of String.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(d) {
		return d, false
	}
	return Digest(raw), true
}

// Request holds the parts of a request that its digest covers.
type Request struct {
	// Organisation is the caller's, or "" if the service admits any caller.
	Organisation string
	Method       string
	Host         string
	// URI is the path and query as the caller sent them.
	URI  string
	Body []byte
}

// DigestOf returns the digest of a request. Headers are left out: IDs and deadlines differ between
// retries.
func DigestOf(r *Request) Digest {
	h := sha256.New()
	for _, s := range []string{r.Organisation, r.Method, strings.ToLower(r.Host), r.URI} {
		writeField(h, len(s))
		// Writing to a hash never fails.
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0]))
}

// writeField writes the length of a field, so that moving bytes between fields changes the digest.
func writeField(h hash.Hash, length int) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(length))
	_, _ = h.Write(n[:])
}
