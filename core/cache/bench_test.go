package cache

import (
	"strings"
	"testing"
	"time"
)

// indexedContexts is the number of contexts that the owner in a large cell records.
const indexedContexts = 5000

func BenchmarkFind(b *testing.B) {
	var x Index
	chain := chainOf(160, 0)
	for i := range uint64(indexedContexts) {
		x.SetWorkerBlocks(i, chain, "w", 160, time.Unix(1, 0))
		x.SetStoreBlocks(i, chain, "s", 160, time.Unix(1, 0))
	}
	b.ReportAllocs()
	for n := uint64(0); b.Loop(); n++ {
		x.Find(n%indexedContexts, chain)
	}
}

func BenchmarkChain(b *testing.B) {
	text := strings.Repeat("x", 160*BlockBytes)
	seed := Salt{Organisation: "o"}.Seed()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		Chain(seed, text)
	}
}
