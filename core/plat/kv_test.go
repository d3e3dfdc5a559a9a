package plat_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// A large answer may take longer than a small call as long as something comes of it.
func TestAnAnswerIsGivenUpForItsSilenceOnly(t *testing.T) {
	const reply = `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"eA==","mod_revision":"3"}]}`
	tests := []struct {
		name string
		// pieces is how many of the pieces of the answer come.
		pieces int
		err    error
	}{
		{"it comes slowly", len(reply), nil},
		{"it breaks off", len(reply) / 2, wait.ErrSilent},
		{"it never begins", 0, wait.ErrSilent},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			pause := plat.CallTimeout * 5 / 4 / time.Duration(len(reply))
			done := make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for _, piece := range strings.Split(reply, "")[:tc.pieces] {
					wait.For(r.Context(), pause)
					// A caller that has gone needs no answer.
					_, _ = w.Write([]byte(piece))
					w.(http.Flusher).Flush()
				}
				if tc.err != nil {
					<-done
				}
			}))
			defer srv.Close()
			defer close(done)
			pairs, revision, err := plat.NewKV([]string{srv.URL}, srv.Client()).Range(context.Background(), plat.Prefix("a"))
			g.Expect(errors.Is(err, tc.err)).To(gomega.BeTrue(), "%v", err)
			if tc.err == nil {
				g.Expect(revision).To(gomega.Equal(int64(7)))
				g.Expect(pairs).To(gomega.HaveLen(1))
			}
		})
	}
}
