// Package cache owns what is known of kept context: the chains of block
// hashes, which worker holds which blocks, which store keeps which context,
// and the moving of blocks between the two.
//
// It must not know why a request goes where it goes, and it is never trusted
// with safety alone: what it believes of a worker is a hint, and what it reads
// from a store is checked before it is used.
package cache

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// BlockBytes is the length of prompt text in one block.
const BlockBytes = 256

// BlockTokens is the number of tokens in one block.
const BlockTokens = 64

// bytesPerToken converts lengths of text to tokens.
const bytesPerToken = BlockBytes / BlockTokens

// Tokens returns how many tokens a text of n bytes has, at least one.
func Tokens(n int) int { return max(1, (n+bytesPerToken-1)/bytesPerToken) }

// Hash identifies a block with everything before it and the salt.
type Hash [16]byte

// String returns the hash in hexadecimal form.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first half, which tells blocks of one salt apart.
func (h Hash) Short() uint64 { return binary.BigEndian.Uint64(h[:8]) }

// MarshalText writes the hash in hexadecimal form.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads the hexadecimal form.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return errors.Errorf("a block hash has %d hexadecimal digits", 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return errors.WithStack(err)
}

// Salt keeps apart the blocks of different organisations, models, weight
// versions and adapters, even where their texts are the same.
type Salt struct {
	Organisation  string `json:"organisation" msgpack:"o"`
	Model         string `json:"model" msgpack:"m"`
	WeightVersion string `json:"weightVersion" msgpack:"w"`
	Adapter       string `json:"adapter,omitempty" msgpack:"a,omitempty"`
}

// Seed returns the start of all chains under the salt. Each part is preceded
// by its length, so that no two salts run together.
func (s Salt) Seed() Hash {
	h := sha256.New()
	for _, part := range []string{s.Organisation, s.Model, s.WeightVersion, s.Adapter} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	var out Hash
	copy(out[:], h.Sum(nil))
	return out
}

// Next returns the hash of the block that follows h. A block has at most
// BlockBytes.
func (h Hash) Next(block string) Hash {
	var in [len(h) + BlockBytes]byte
	copy(in[:], h[:])
	n := len(h) + copy(in[len(h):], block)
	sum := sha256.Sum256(in[:n])
	return Hash(sum[:len(h)])
}

// Chain returns the hashes of the whole blocks of text, first block first.
func Chain(seed Hash, text string) []Hash {
	out := make([]Hash, 0, len(text)/BlockBytes)
	for len(text) >= BlockBytes {
		seed = seed.Next(text[:BlockBytes])
		out = append(out, seed)
		text = text[BlockBytes:]
	}
	return out
}

// Root returns the hash that names the context of a chain: that of its first
// roots blocks, at least one, or of all blocks where there are fewer, or seed where
// there are none.
func Root(seed Hash, chain []Hash, roots int) Hash {
	if len(chain) == 0 {
		return seed
	}
	return chain[max(1, min(roots, len(chain)))-1]
}

// Packed is a list of short hashes, written as one base64 text: cache events
// are most of what following a worker costs.
type Packed []uint64

const shortBytes = 8

// MarshalText writes the packed form.
func (p Packed) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, shortBytes*len(p))
	for _, s := range p {
		raw = binary.BigEndian.AppendUint64(raw, s)
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText reads the packed form.
func (p *Packed) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(raw)%shortBytes != 0 {
		return errors.Errorf("%d bytes are no packed hashes", len(text))
	}
	*p = make(Packed, 0, len(raw)/shortBytes)
	for ; len(raw) > 0; raw = raw[shortBytes:] {
		*p = append(*p, binary.BigEndian.Uint64(raw))
	}
	return nil
}

// Shorts returns the first halves of the hashes of a chain.
func Shorts(chain []Hash) Packed {
	out := make(Packed, len(chain))
	for i, h := range chain {
		out[i] = h.Short()
	}
	return out
}
