package table

import (
	"testing"

	"github.com/onsi/gomega"
)

// scopes returns the scope of each organisation, and that of callers without one under "".
func scopes(organisations ...Organisation) map[string]Scope {
	t := New(Spec{Organisations: organisations})
	out := map[string]Scope{"": t.Scope(nil)}
	for i := range organisations {
		out[organisations[i].Name] = t.Scope(&organisations[i])
	}
	return out
}

func TestScopesOfOrganisationsThatMayNotShareDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b, c := Organisation{Name: "a"}, Organisation{Name: "b"}, Organisation{Name: "c"}
	isolate := func(o Organisation) Organisation { o.Isolated = true; return o }
	nobody, onlyA, both := scopes(a, b, c), scopes(isolate(a), b, c), scopes(isolate(a), isolate(b), c)
	g.Expect(nobody["a"]).To(gomega.Equal(nobody["b"]))
	g.Expect(nobody[""]).To(gomega.Equal(nobody["b"]))
	g.Expect(onlyA["b"]).To(gomega.Equal(onlyA["c"]))
	g.Expect(onlyA["b"]).NotTo(gomega.Equal(onlyA["a"]))
	g.Expect(onlyA["b"]).NotTo(gomega.Equal(nobody["b"]), "the former scope holds what a cached")
	g.Expect(both["c"]).NotTo(gomega.Equal(onlyA["c"]))
	g.Expect(both["a"]).NotTo(gomega.Equal(both["b"]))
	g.Expect(scopes(c, b, isolate(a))).To(gomega.Equal(onlyA), "the order of organisations has no meaning")
	g.Expect(scopes(isolate(Organisation{Name: "ab"}), c)["c"]).NotTo(gomega.Equal(both["c"]), "names that join to the same text")
	for _, names := range [][2]string{{"a/b", "a%2Fb"}, {"", "a"}, {"all/", "only/"}, {"x\r\nEvil: 1", "x"}} {
		got := scopes(isolate(Organisation{Name: names[0]}), isolate(Organisation{Name: names[1]}), c)
		g.Expect(got[names[0]]).NotTo(gomega.Equal(got[names[1]]), "%q", names)
		g.Expect(string(got[names[0]])).NotTo(gomega.ContainSubstring("\n"))
		g.Expect(got["c"]).NotTo(gomega.BeElementOf(got[names[0]], got[names[1]]))
	}
}
