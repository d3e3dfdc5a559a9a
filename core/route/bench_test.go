package route

import (
	"fmt"
	"testing"
)

func BenchmarkPlace(b *testing.B) {
	tests := []struct {
		name    string
		workers int
	}{{"20 workers", 20}, {"cell of 110 workers", 110}}
	for _, tc := range tests {
		b.Run(tc.name, func(b *testing.B) {
			var workers []Worker
			for i := range tc.workers {
				workers = append(workers, worker(fmt.Sprint("engine-", i), i%7, i*100))
			}
			r, contexts := request(), stored(100, 4e9)
			b.ReportAllocs()
			for b.Loop() {
				Place(LowestCost, r, workers, contexts)
			}
		})
	}
}
