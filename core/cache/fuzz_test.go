package cache

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/table"
)

// Guards against salts, hashes and lists of hashes that read otherwise than they were written.
func FuzzTextForms(f *testing.F) {
	f.Add("v3/llm%2Fa/org", int64(3), "AAAAAAAAAAE")
	f.Add("v-1//", int64(-1), "AAAAAAAAAAEAAAAAAAAAAg")
	f.Add("/", int64(0), "00112233445566778899aabbccddeeff")
	f.Add("v9223372036854775808/m/o", int64(1), "=\n")
	f.Fuzz(func(t *testing.T, text string, version int64, hashes string) {
		SaltVersion(text)
		salt := SegmentSalt{Model: text, Version: version, Scope: table.Scope("o")}
		if model, got, ok := SaltVersion(salt.String()); !ok || model != text || got != version {
			t.Fatalf("%+v as %q, %d, %t", salt, model, got, ok)
		}
		var list, again Packed
		if err := list.UnmarshalText([]byte(hashes)); err == nil {
			raw, err := list.MarshalText()
			if err != nil || again.UnmarshalText(raw) != nil || !slices.Equal(list, again) || shortBytes*len(list) > len(hashes) {
				t.Fatalf("%q: %v, %v", hashes, list, again)
			}
		}
		var h Hash
		if err := h.UnmarshalText([]byte(hashes)); err == nil && h.String() != strings.ToLower(hashes) {
			t.Fatalf("%q as %s", hashes, h)
		}
	})
}

// A store that reports a segment with a negative number of tokens seemed to hold less than it does, and less with each report.
func TestNegativeTokensOfASegmentMakeNoRoomInAStore(t *testing.T) {
	ix := &storeIndex{changed: make(chan struct{})}
	ix.clear()
	ix.apply(SegmentEvents{Changes: []SegmentChange{{SegmentName{"s", "a"}, 64}, {SegmentName{"s", "b"}, -1000}, {SegmentName{"s", "b"}, -1000}}})
	g := gomega.NewWithT(t)
	g.Expect(ix.usedTokens).To(gomega.Equal(64))
	ix.apply(SegmentEvents{Changes: []SegmentChange{{SegmentName{"s", "c"}, math.MaxInt}, {SegmentName{"s", "d"}, math.MaxInt}}})
	g.Expect(ix.usedTokens).To(gomega.BeNumerically(">", 64), "the sum does not overflow")
}
