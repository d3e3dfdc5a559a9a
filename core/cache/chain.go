// Package cache owns the local view of cached contexts: the prefix hash chains of KV-cache
// blocks, which worker holds which blocks, and which KV-cache store holds which prompt
// segments. It also frees outdated segments in the stores.
//
// It must not know how requests are routed, and correctness must not depend on it: its view
// of a worker is a hint, and data read from a store is verified before use.
package cache

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// BlockBytes is the number of bytes of prompt text in one block.
const BlockBytes = 256

// BlockTokens is the number of tokens in one block.
const BlockTokens = 64

// bytesPerToken converts text lengths to token counts.
const bytesPerToken = BlockBytes / BlockTokens

// Tokens returns the number of tokens in n bytes of text, at least one.
func Tokens(n int) int { return max(1, (n+bytesPerToken-1)/bytesPerToken) }

// Hash identifies a block together with the cache salt and all blocks before it.
type Hash [16]byte

// String returns the hash in hexadecimal form.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first eight bytes, which suffice to distinguish blocks under one salt.
func (h Hash) Short() uint64 { return binary.BigEndian.Uint64(h[:8]) }

// MarshalText encodes the hash in hexadecimal form.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses the hexadecimal form.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return errors.Errorf("block hash must have %d hexadecimal digits", 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return errors.WithStack(err)
}

// Salt separates the blocks of different organisations, models, weight versions and
// adapters, even where their texts are equal.
type Salt struct {
	Organisation  string `json:"organisation" msgpack:"o"`
	Model         string `json:"model" msgpack:"m"`
	WeightVersion string `json:"weightVersion" msgpack:"w"`
	Adapter       string `json:"adapter,omitempty" msgpack:"a,omitempty"`
}

// Seed returns the hash that starts every chain under the salt. Each field is prefixed with
// its length, so that different salts never hash the same input.
func (s Salt) Seed() Hash {
	h := sha256.New()
	for _, field := range []string{s.Organisation, s.Model, s.WeightVersion, s.Adapter} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(field)))
		h.Write(n[:])
		h.Write([]byte(field))
	}
	var out Hash
	copy(out[:], h.Sum(nil))
	return out
}

// Next returns the hash of the block that follows h. A block has at most BlockBytes bytes.
func (h Hash) Next(block string) Hash {
	var in [len(h) + BlockBytes]byte
	copy(in[:], h[:])
	n := len(h) + copy(in[len(h):], block)
	sum := sha256.Sum256(in[:n])
	return Hash(sum[:len(h)])
}

// Chain returns the hashes of the complete blocks of text, in order; a partial last block is
// left out.
func Chain(seed Hash, text string) []Hash {
	out := make([]Hash, 0, len(text)/BlockBytes)
	for len(text) >= BlockBytes {
		seed = seed.Next(text[:BlockBytes])
		out = append(out, seed)
		text = text[BlockBytes:]
	}
	return out
}

// Root returns the hash that identifies the context of a chain: the hash of block number
// rootBlocks, counted from one. It is limited to the chain; an empty chain gives seed.
func Root(seed Hash, chain []Hash, rootBlocks int) Hash {
	if len(chain) == 0 {
		return seed
	}
	return chain[max(1, min(rootBlocks, len(chain)))-1]
}

// Packed is a list of short hashes that is encoded as one base64 string, because cache
// events are most of the cost of following a worker.
type Packed []uint64

const shortBytes = 8

// MarshalText encodes the hashes, eight bytes each, as base64.
func (p Packed) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, shortBytes*len(p))
	for _, s := range p {
		raw = binary.BigEndian.AppendUint64(raw, s)
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText parses the base64 form.
func (p *Packed) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(raw)%shortBytes != 0 {
		return errors.Errorf("%d bytes of text are not a packed list of hashes", len(text))
	}
	*p = make(Packed, 0, len(raw)/shortBytes)
	for ; len(raw) > 0; raw = raw[shortBytes:] {
		*p = append(*p, binary.BigEndian.Uint64(raw))
	}
	return nil
}

// Shorts returns the short hashes of a chain.
func Shorts(chain []Hash) Packed {
	out := make(Packed, len(chain))
	for i, h := range chain {
		out[i] = h.Short()
	}
	return out
}
