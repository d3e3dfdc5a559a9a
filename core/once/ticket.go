package once

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/wire"
)

// The claim of a ticket is stored only in the memory of the daemon that issued the ticket, and only
// the same incarnation of that daemon grants it, once. Once the incarnation has ended, the ticket
// is never granted. As this needs no coordination store, calls that may not be repeated can be
// served while it is unavailable.

const (
	kindTicket       wire.Kind = "once.ticket"
	kindTicketSettle wire.Kind = "once.ticketSettle"
)

// ErrInvalidTicket reports a text that is not a ticket.
var ErrInvalidTicket = errors.New("invalid ticket")

// ticket is a parsed ticket. issuedMillis is the time of its issue in Unix milliseconds, mac the
// issuer's authentication code.
type ticket struct {
	issuer       string
	incarnation  string
	issuedMillis int64
	nonce        string
	mac          string
}

const (
	ticketParts = 5
	macBytes    = 16
)

// parseTicket reads the text of a ticket.
func parseTicket(text string) (ticket, error) {
	parts := strings.Split(text, "/")
	if len(parts) != ticketParts {
		return ticket{}, errors.WithStack(ErrInvalidTicket)
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || parts[0] == "" || parts[1] == "" || parts[3] == "" || parts[4] == "" {
		return ticket{}, errors.WithStack(ErrInvalidTicket)
	}
	return ticket{parts[0], parts[1], ms, parts[3], parts[4]}, nil
}

// String returns the text of the ticket.
func (t ticket) String() string {
	return strings.Join([]string{t.issuer, t.incarnation, strconv.FormatInt(t.issuedMillis, 10), t.nonce, t.mac}, "/")
}

// tickets signs and grants the tickets of this daemon. The zero value is not usable; see newTickets.
type tickets struct {
	// secret is the key of the authentication codes, new in each incarnation.
	secret []byte

	ticketMu sync.Mutex
	table    table // guarded by ticketMu
}

func newTickets() *tickets {
	t := &tickets{secret: make([]byte, sha256.Size)}
	// rand.Read never returns an error.
	rand.Read(t.secret)
	return t
}

// sign returns the message authentication code of a ticket, by which the issuer recognises its own.
func (t *tickets) sign(tk ticket, organisation, service string) string {
	m := hmac.New(sha256.New, t.secret)
	for _, part := range []string{organisation, service, tk.issuer, tk.incarnation, strconv.FormatInt(tk.issuedMillis, 10), tk.nonce} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		m.Write(n[:])
		m.Write([]byte(part))
	}
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:macBytes])
}

// ticketClaim requests from an issuer the right to run a call.
type ticketClaim struct {
	Claim        Claim  `msgpack:"c"`
	Ticket       string `msgpack:"t"`
	Organisation string `msgpack:"o"`
	Service      string `msgpack:"s"`
}

// grant responds to a claim to a ticket of this daemon, whose present incarnation is given.
func (t *tickets) grant(a *ticketClaim, now time.Time, window time.Duration, incarnation string, running func(name, incarnation string) bool) ClaimResponse {
	tk, err := parseTicket(a.Ticket)
	if err != nil || tk.incarnation != incarnation {
		return ClaimResponse{State: Unknown}
	}
	if !hmac.Equal([]byte(tk.mac), []byte(t.sign(tk, a.Organisation, a.Service))) {
		return ClaimResponse{State: Mismatch}
	}
	t.ticketMu.Lock()
	defer t.ticketMu.Unlock()
	t.table.expire(now, window)
	if ans := t.table.check(&a.Claim, now, window, running); ans.State != "" {
		return ans
	}
	c := &a.Claim
	t.table.apply(&entry{
		Key: c.Key, KeyMillis: c.KeyMillis, Attempt: c.Attempt, Requester: c.Requester, Incarnation: c.Incarnation, Digest: c.Digest,
	})
	return ClaimResponse{State: Granted}
}

// settle records the result of an attempt with a ticket of this daemon.
func (t *tickets) settle(m *settlement) {
	t.ticketMu.Lock()
	defer t.ticketMu.Unlock()
	t.table.apply(&entry{Key: m.Key, Attempt: m.Attempt, Result: m.Result, Outcome: m.Outcome})
}

// NewTicket returns a ticket for one call of the organisation at the service.
func (c *Once) NewTicket(organisation, service string) string {
	tk := ticket{issuer: c.name, incarnation: c.incarnation, issuedMillis: time.Now().UnixMilli(), nonce: uuid.NewString()}
	tk.mac = c.tickets.sign(tk, organisation, service)
	return tk.String()
}

// ClaimTicket requests from the issuer of a ticket the right to run its call. Unless the state is
// Granted, the call must not be run and this attempt has not run it.
func (c *Once) ClaimTicket(ctx context.Context, organisation, service, text string, digest uint64) (*Attempt, ClaimResponse, error) {
	tk, err := parseTicket(text)
	if err != nil {
		return nil, ClaimResponse{}, err
	}
	m := &ticketClaim{
		Ticket: text, Organisation: organisation, Service: service,
		Claim: Claim{
			Key: NewKey(organisation, service, text), KeyMillis: tk.issuedMillis, Attempt: uuid.NewString(),
			Requester: c.name, Incarnation: c.incarnation, Digest: digest,
		},
	}
	a := &Attempt{
		once: c, key: m.Claim.Key, keyMillis: m.Claim.KeyMillis, id: m.Claim.Attempt, issuer: tk.issuer,
		recorded: c.recordedUntil(m.Claim.KeyMillis),
	}
	ans := c.claimFromIssuer(ctx, tk, m)
	if ans.State != Granted {
		return nil, ans, nil
	}
	return a, ans, nil
}

func (c *Once) claimFromIssuer(ctx context.Context, tk ticket, m *ticketClaim) ClaimResponse {
	if tk.issuer == c.name {
		return c.grantTicket(m)
	}
	ctx, cancel := context.WithTimeout(ctx, c.claimTimeout)
	defer cancel()
	var ans ClaimResponse
	if err := c.peers.Call(ctx, tk.issuer, kindTicket, m, &ans); err != nil {
		// The issuer may have granted the claim to this attempt or another. A claim that is granted
		// and not used counts as unknown, which is safe.
		return ClaimResponse{State: Unavailable}
	}
	return ans
}

func (c *Once) grantTicket(m *ticketClaim) ClaimResponse {
	return c.tickets.grant(m, time.Now(), c.window, c.incarnation, c.running)
}
