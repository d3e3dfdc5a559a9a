package spread

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
)

// Peers that request the same payload together wait for one compression: with one for each of them the last
// ones time out, and their retries add as many again.
func TestRequestsOfTheSamePayloadShareOneCompression(t *testing.T) {
	const peers = 11
	tests := []struct {
		name string
		size int
	}{
		{"one chunk", chunkSize / 2},
		{"several chunks", 3 * chunkSize},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sender := newTransfers(fleet.New(fleet.Options{Name: "sender", Log: &event.Log{}}), nil)
			var compressions atomic.Int64
			compressed := func() ([]byte, error) { compressions.Add(1); return randomBytes(tc.size), nil }
			var wg sync.WaitGroup
			for range peers {
				wg.Go(func() {
					first, err := sender.begin("payload", compressed)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(first.Size).To(gomega.Equal(tc.size))
				})
			}
			wg.Wait()
			g.Expect(compressions.Load()).To(gomega.Equal(int64(1)))
		})
	}
}

// Chunks of a large payload are requested while small payloads begin to be sent.
func TestSmallPayloadsDoNotDisplaceOneInTransfer(t *testing.T) {
	g := gomega.NewWithT(t)
	sender := newTransfers(fleet.New(fleet.Options{Name: "sender", Log: &event.Log{}}), nil)
	first, err := sender.begin("large", func() ([]byte, error) { return randomBytes(2 * chunkSize), nil })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range 2 * maxStored {
		_, err := sender.begin(fmt.Sprint("small-", i), func() ([]byte, error) { return randomBytes(10), nil })
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	chunk, err := sender.handleChunk(t.Context(), "peer", &chunkRequest{ID: first.ID, Offset: chunkSize})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chunk).To(gomega.HaveLen(chunkSize))
}
