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

// A ticket binds one call to the memory of one incarnation of one daemon, its
// issuer. Only the issuer grants the call, once, and it needs no service for
// that; when it ends, the ticket is dead and is never granted again. So calls
// that may not be repeated can be served while the key-value service is down.

const (
	kindTicket       wire.Kind = "once.ticket"
	kindTicketSettle wire.Kind = "once.ticketSettle"
)

// ErrTicket says that a text is not a ticket.
var ErrTicket = errors.New("not a ticket")

// ticket is what a ticket's text says.
type ticket struct {
	issuer      string
	incarnation string
	millis      int64
	nonce       string
	mac         string
}

const (
	ticketParts = 5
	macBytes    = 16
)

// parseTicket reads the text of a ticket.
func parseTicket(text string) (ticket, error) {
	parts := strings.Split(text, "/")
	if len(parts) != ticketParts {
		return ticket{}, errors.WithStack(ErrTicket)
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || parts[0] == "" || parts[1] == "" || parts[3] == "" || parts[4] == "" {
		return ticket{}, errors.WithStack(ErrTicket)
	}
	return ticket{parts[0], parts[1], ms, parts[3], parts[4]}, nil
}

func (t ticket) String() string {
	return strings.Join([]string{t.issuer, t.incarnation, strconv.FormatInt(t.millis, 10), t.nonce, t.mac}, "/")
}

// tickets is the issuer's side. The zero value is not usable; see newTickets.
type tickets struct {
	secret []byte

	ticketMu sync.Mutex
	table    table // guarded by ticketMu
}

func newTickets() *tickets {
	t := &tickets{secret: make([]byte, sha256.Size)}
	// The random source of the system does not fail.
	rand.Read(t.secret)
	return t
}

// sign returns the code by which the issuer knows its own tickets.
func (t *tickets) sign(tk ticket, organisation, service string) string {
	m := hmac.New(sha256.New, t.secret)
	for _, part := range []string{organisation, service, tk.issuer, tk.incarnation, strconv.FormatInt(tk.millis, 10), tk.nonce} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		m.Write(n[:])
		m.Write([]byte(part))
	}
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:macBytes])
}

// ticketAsk asks an issuer for the right to run a call.
type ticketAsk struct {
	Claim        Claim  `msgpack:"c"`
	Ticket       string `msgpack:"t"`
	Organisation string `msgpack:"o"`
	Service      string `msgpack:"s"`
}

// grant answers as the issuer.
func (t *tickets) grant(a *ticketAsk, now time.Time, window time.Duration, self string, running func(name, incarnation string) bool) Answer {
	tk, err := parseTicket(a.Ticket)
	if err != nil || tk.incarnation != self {
		return Answer{State: Unknown}
	}
	if !hmac.Equal([]byte(tk.mac), []byte(t.sign(tk, a.Organisation, a.Service))) {
		return Answer{State: Mismatch}
	}
	t.ticketMu.Lock()
	defer t.ticketMu.Unlock()
	t.table.expire(now, window)
	if ans := t.table.check(&a.Claim, now, window, running); ans.State != "" {
		return ans
	}
	c := &a.Claim
	t.table.apply(&entry{
		Key: c.Key, KeyMillis: c.KeyMillis, Attempt: c.Attempt, Asker: c.Asker, Incarnation: c.Incarnation, Print: c.Print,
	})
	return Answer{State: Granted}
}

// settle takes the end of an attempt as the issuer.
func (t *tickets) settle(m *settle) {
	t.ticketMu.Lock()
	defer t.ticketMu.Unlock()
	t.table.apply(&entry{Key: m.Key, Attempt: m.Attempt, End: m.End, Outcome: m.Outcome})
}

// NewTicket returns a ticket for one call of the organisation at the service.
func (c *Once) NewTicket(organisation, service string) string {
	tk := ticket{issuer: c.name, incarnation: c.incarnation, millis: time.Now().UnixMilli(), nonce: uuid.NewString()}
	tk.mac = c.tickets.sign(tk, organisation, service)
	return tk.String()
}

// ClaimTicket asks the issuer of a ticket for the right to run its call. With
// any answer but Granted the call must not be run, and this try has not run it.
func (c *Once) ClaimTicket(ctx context.Context, organisation, service, text string, digest uint64) (*Attempt, Answer, error) {
	tk, err := parseTicket(text)
	if err != nil {
		return nil, Answer{}, err
	}
	m := &ticketAsk{
		Ticket: text, Organisation: organisation, Service: service,
		Claim: Claim{
			Key: NewKey(organisation, service, text), KeyMillis: tk.millis, Attempt: uuid.NewString(),
			Asker: c.name, Incarnation: c.incarnation, Print: digest,
		},
	}
	a := &Attempt{once: c, key: m.Claim.Key, id: m.Claim.Attempt, issuer: tk.issuer}
	ans := c.askIssuer(ctx, tk, m)
	if ans.State != Granted {
		return nil, ans, nil
	}
	return a, ans, nil
}

func (c *Once) askIssuer(ctx context.Context, tk ticket, m *ticketAsk) Answer {
	if tk.issuer == c.name {
		return c.grantTicket(m)
	}
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	var ans Answer
	if err := c.peers.Call(ctx, tk.issuer, kindTicket, m, &ans); err != nil {
		// The issuer may have granted it to this try or another; a claim that
		// is not used reads as unknown, which is safe.
		return Answer{State: Unavailable}
	}
	return ans
}

func (c *Once) grantTicket(m *ticketAsk) Answer {
	return c.tickets.grant(m, time.Now(), c.window, c.incarnation, c.running)
}
