package poison

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestDigestsOfDifferentRequestsDiffer(t *testing.T) {
	base := Request{Organisation: "org", Method: "POST", Host: "h", URI: "/ask/a", Body: []byte("body")}
	for _, c := range []struct {
		name   string
		change func(*Request)
		same   bool
	}{
		{"nothing", func(*Request) {}, true},
		{"the host in capitals", func(r *Request) { r.Host = "H" }, true},
		{"another organisation", func(r *Request) { r.Organisation = "other" }, false},
		{"another method", func(r *Request) { r.Method = "PUT" }, false},
		{"another host", func(r *Request) { r.Host = "h2" }, false},
		{"another path", func(r *Request) { r.URI = "/ask/b" }, false},
		{"a query", func(r *Request) { r.URI = "/ask/a?x=1" }, false},
		{"another body", func(r *Request) { r.Body = []byte("body2") }, false},
		{"no body", func(r *Request) { r.Body = nil }, false},
		{"a character moved from one field to the next", func(r *Request) { r.Organisation, r.Method = "orgP", "OST" }, false},
		{"part of the path moved into the body", func(r *Request) { r.URI, r.Body = "/ask/", []byte("abody") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			changed := base
			c.change(&changed)
			g.Expect(DigestOf(&changed) == DigestOf(&base)).To(gomega.Equal(c.same))
		})
	}
}

func TestParseDigestReversesString(t *testing.T) {
	g := gomega.NewWithT(t)
	d := DigestOf(&Request{URI: "/"})
	got, ok := ParseDigest(d.String())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(d))
	for _, s := range []string{"", "00", d.String() + "00", "zz" + d.String()[2:]} {
		_, ok := ParseDigest(s)
		g.Expect(ok).To(gomega.BeFalse(), s)
	}
}

// Baseline: 1.0 us for 800 bytes.
func BenchmarkDigestOf(b *testing.B) {
	r := Request{Organisation: "org", Method: "POST", Host: "site.example", URI: "/ask/a", Body: make([]byte, 800)}
	for b.Loop() {
		DigestOf(&r)
	}
}
