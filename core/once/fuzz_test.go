package once

import (
	"strings"
	"testing"
	"time"
)

// Guards against tickets that are read otherwise than they were issued, and against those that nobody issued.
func FuzzTicket(f *testing.F) {
	for _, text := range []string{"", "////", "a/b/1/c/d", "a/b/-1/c/d", "a/b/9223372036854775808/c/d", "a/b/+1/c/d", "a/b/1/c/d/e", "a//1/c/d", "a/b/01/c/d"} {
		f.Add(text, "org", "pay")
	}
	issuer := newTickets()
	f.Fuzz(func(t *testing.T, text, organisation, service string) {
		tk, err := parseTicket(text)
		if err != nil {
			return
		}
		again, err := parseTicket(tk.String())
		if err != nil || again != tk || strings.Count(text, "/") != ticketParts-1 {
			t.Fatalf("%q as %+v, then %+v, %v", text, tk, again, err)
		}
		claim := &ticketClaim{Ticket: text, Organisation: organisation, Service: service, Claim: Claim{Key: NewKey(organisation, service, text), KeyMillis: tk.issuedMillis}}
		running := func(string, string) bool { return true }
		if got := issuer.grant(claim, time.Now(), time.Hour, tk.incarnation, running); got.State != Mismatch {
			t.Fatalf("%q: %+v without the issuer's mark", text, got)
		}
		tk.issuedMillis = time.Now().UnixMilli()
		tk.mac = issuer.sign(tk, organisation, service)
		claim.Ticket, claim.Claim.KeyMillis = tk.String(), tk.issuedMillis
		claim.Organisation += "x"
		if got := issuer.grant(claim, time.Now(), time.Hour, tk.incarnation, running); got.State != Mismatch {
			t.Fatalf("%q: %+v for another organisation", text, got)
		}
	})
}
