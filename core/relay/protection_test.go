package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// Salt, version and priority of an attempt do not depend on who chose its target or what load the choice counts.
func TestProtectionOfAnAttemptDoesNotDependOnItsChoice(t *testing.T) {
	r := newRig(t, nil)
	r.target("w", "llm", always(stream(true, event1)))
	priorities := map[string]int{}
	salts := map[string]string{}
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		key := rapid.SampledFrom([]string{"", "secret", "isolated"}).Draw(rt, "key")
		organisation := r.relay.Table().Organisation(key)
		p := &proxiedRequest{
			relay: r.relay, start: time.Now(), deadline: time.Now().Add(time.Minute), tried: map[string]int{},
			table: r.relay.Table(), service: rapid.SampledFrom([]string{"llm", "plain", "unknown"}).Draw(rt, "service"),
			route: &table.Route{}, organisation: organisation, scope: r.relay.Table().Scope(organisation),
			meta: RequestMeta{Model: "m", PromptTokens: rapid.IntRange(0, 9000).Draw(rt, "tokens")},
		}
		p.r, _ = http.NewRequest(http.MethodPost, "/stream/", http.NoBody)
		c := &choice{
			target: r.roster.Target("w"), weightVersion: 1,
			load: roster.Load{
				Running: rapid.IntRange(0, 1).Draw(rt, "running"), OccupiedTokens: rapid.IntRange(0, 9000).Draw(rt, "occupied"),
			},
		}
		if rapid.Bool().Draw(rt, "chosen by a peer") {
			c.report = &ownerReport{peer: "peer", counted: rapid.Bool().Draw(rt, "counted")}
		}
		req, err := p.targetRequest(c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		salt := req.Header.Get("Salt")
		if before, found := salts[key]; found {
			g.Expect(salt).To(gomega.Equal(before))
			g.Expect(p.attemptMeta(c).Priority).To(gomega.Equal(priorities[key]))
		}
		salts[key], priorities[key] = salt, p.attemptMeta(c).Priority
		g.Expect(req.Header.Get("Weights")).To(gomega.Equal("1"))
		for other, s := range salts {
			g.Expect(s == salt).To(gomega.Equal((other == "isolated") == (key == "isolated")), "%q and %q", other, key)
		}
		// Without a scope, and at engines without a version, there is no request.
		if p.isPrompt() {
			c.weightVersion = 0
			_, err = p.targetRequest(c)
			g.Expect(err).To(gomega.HaveOccurred())
		}
		p.scope, c.weightVersion = "", 1
		_, err = p.targetRequest(c)
		g.Expect(err).To(gomega.HaveOccurred())
	})
}
