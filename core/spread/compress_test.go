package spread

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// randomBytes returns bytes that cannot be compressed.
func randomBytes(size int) []byte {
	random := rand.New(rand.NewPCG(3, 4))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(random.Uint32())
	}
	return out
}

// routes returns text like that of a configuration.
func routes(n int) []byte {
	random := rand.New(rand.NewPCG(5, 6))
	var out bytes.Buffer
	for range n {
		fmt.Fprintf(&out, `{"Name":"r-%x","Host":"h%x.example","PathPrefix":"/p%x/","TimeoutMs":800,"Service":"app"},`, random.Uint32(), random.IntN(40), random.Uint32())
	}
	return out.Bytes()
}

func TestCompressedValuesAreRestored(t *testing.T) {
	noise, value := randomBytes(1<<20), routes(10_000)
	changed := append(append(bytes.Clone(value[:300_000]), "something else"...), value[300_100:]...)
	tests := []struct {
		name        string
		value, base []byte
		maxSize     int
	}{
		{"nothing", nil, nil, 100},
		{"text", bytes.Repeat([]byte("route "), 100_000), nil, 1000},
		{"noise", noise, nil, len(noise) + 1000},
		{"noise with a base", noise, value, len(noise) + 1000},
		{"routes", value, nil, len(value) / 4},
		{"the same again", value, value, 1000},
		{"its end only", value[1:], value, 10_000},
		{"with another section", changed, value, 10_000},
		{"more of it", value, value[:len(value)/2], len(value) / 8},
		{"a small base", value, []byte("x"), len(value) / 4},
		{"an empty base", value, []byte{}, len(value) / 4},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			compressed, err := compress(tc.value, tc.base)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(len(compressed)).To(gomega.BeNumerically("<=", tc.maxSize))
			got, err := decompress(compressed, tc.base)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(bytes.Equal(got, tc.value)).To(gomega.BeTrue())
		})
	}
}

func TestDamagedFormsAreNotDecompressed(t *testing.T) {
	value := bytes.Repeat([]byte("route "), 10_000)
	compressed, err := compress(value, nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	damaged := bytes.Clone(compressed)
	damaged[len(damaged)/2] ^= 0x55
	based, err := compress(value[1:], value)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	tests := []struct {
		name             string
		compressed, base []byte
	}{
		{"truncated", compressed[:len(compressed)-5], nil},
		{"a byte differs", damaged, nil},
		{"not a compressed form", []byte("junk"), nil},
		{"without its base", based, nil},
		{"another base", based, randomBytes(60_000)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got, err := decompress(tc.compressed, tc.base)
			g := gomega.NewWithT(t)
			g.Expect(err).To(gomega.HaveOccurred(), "got %d bytes", len(got))
		})
	}
}
