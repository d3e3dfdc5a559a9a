package plat_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
	"embertally.dev/core/wait"
)

// A response may take longer than CallTimeout in total, as long as no gap between its bytes is that
// long.
func TestCallFailsOnlyWhenDataStalls(t *testing.T) {
	const response = `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"eA==","mod_revision":"3"}]}`
	tests := []struct {
		name string
		// bytes is how many bytes of the response are sent.
		bytes int
		err   error
	}{
		{"slow", len(response), nil},
		{"stalls midway", len(response) / 2, wait.ErrIdleTimeout},
		{"never begins", 0, wait.ErrIdleTimeout},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			interval := plat.CallTimeout * 5 / 4 / time.Duration(len(response))
			done := make(chan struct{})
			srv := testip.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for _, char := range strings.Split(response, "")[:tc.bytes] {
					wait.For(r.Context(), interval)
					// An error means that the caller has disconnected, and is ignored.
					_, _ = w.Write([]byte(char))
					w.(http.Flusher).Flush()
				}
				if tc.err != nil {
					<-done
				}
			}))
			defer srv.Close()
			defer close(done)
			pairs, revision, err := plat.NewKV([]string{srv.URL}, &plat.Client{}).Range(context.Background(), plat.Prefix("a"))
			g.Expect(errors.Is(err, tc.err)).To(gomega.BeTrue(), "%v", err)
			if tc.err == nil {
				g.Expect(revision).To(gomega.Equal(int64(7)))
				g.Expect(pairs).To(gomega.HaveLen(1))
			}
		})
	}
}
