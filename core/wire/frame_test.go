package wire

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a call between daemons whose cut answer is taken for a shorter one.
func TestCutFramesAreNoMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	body, err := msgpack.Marshal([]string{"a", "b"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range []*envelope{{}, {ID: 1, Body: body}, {ID: 2, Err: "no"}, {Kind: "kind", Body: body}} {
		frame, err := encode(e)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for cut := range frame {
			_, _, err := decode(bytes.NewReader(frame[:cut]), nil)
			g.Expect(err).To(gomega.HaveOccurred(), "cut after %d of %d bytes", cut, len(frame))
		}
		_, n, err := decode(bytes.NewReader(frame), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(len(frame)))
	}
}
