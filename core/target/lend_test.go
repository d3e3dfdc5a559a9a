package target

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/testip"
)

// lendingPools are daemons that divide the connections to one target and lend them to each other.
type lendingPools []*Pool

// Borrow implements Lender for the first pool.
func (l lendingPools) Borrow(ctx context.Context, target string) (net.Conn, string, error) {
	for _, p := range l[1:] {
		if conn, _, err := p.Lend(ctx, target, lendShare); err == nil {
			return conn.(arrivalConn).Conn, "box", nil
		}
	}
	return nil, "", errors.WithStack(ErrFull)
}

// lendShare is each daemon's share of the connections.
const lendShare = 4

func TestDaemonsLendWhatTheyDoNotUse(t *testing.T) {
	for _, tc := range []struct {
		name string
		// inUse and idle are the connections of the lender, and share its share.
		share, inUse, idle int
		want               int
	}{
		{"unused", 4, 0, 0, 3},
		{"some in use", 4, 2, 0, 1},
		{"all in use", 4, 4, 0, 0},
		{"all idle", 4, 0, 4, 3},
		{"some in use, the others idle", 4, 1, 3, 2},
		{"one, unused", 1, 0, 0, 1},
		{"one, in use", 1, 1, 0, 0},
		{"one, idle", 1, 0, 1, 1},
		{"no bound", 0, 0, 0, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := testip.Listen()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { l.Close() })
			p, address, ctx := &Pool{}, l.Addr().String(), context.Background()
			p.SetMaxConns(address, tc.share)
			var idle []*poolConn
			for i := range tc.inUse + tc.idle {
				conn, err := p.get(ctx, address, &Request{})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if i >= tc.inUse {
					idle = append(idle, conn)
				}
			}
			for _, conn := range idle {
				p.put(conn, "")
			}
			var release []func()
			for range 10 {
				if _, r, err := p.Lend(ctx, address, tc.share); err == nil {
					release = append(release, r)
				}
			}
			g.Expect(release).To(gomega.HaveLen(tc.want))
			if tc.share > 0 {
				g.Expect(p.addresses[address].open).To(gomega.BeNumerically("<=", tc.share))
			}
			for _, r := range release {
				r()
			}
			g.Expect(p.addresses[address].open - len(p.addresses[address].idle)).To(gomega.Equal(tc.inUse))
		})
	}
}

func TestBorrowedConnectionsCountAtTheLender(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	pools, address := lendingPools{{}, {}, {}}, l.Addr().String()
	borrower := pools[0]
	borrower.Lender, borrower.Detour = pools, &fakeDetour{}
	borrower.SetMaxConns(address, lendShare)
	ctx, cancel := context.WithTimeout(context.Background(), 10*pollInterval)
	defer cancel()
	var conns []*poolConn
	for borrower.FreeCapacity(address) > 0 {
		conn, err := borrower.get(ctx, address, &Request{Target: address})
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	// Each lender keeps one for itself.
	g.Expect(conns).To(gomega.HaveLen(lendShare + 2*(lendShare-1)))
	for _, lender := range pools[1:] {
		g.Expect(lender.addresses[address].open).To(gomega.Equal(lendShare - 1))
	}
	// A borrowed connection goes back once the borrower's own share has room.
	last := len(conns) - 1
	borrower.put(conns[last], "")
	g.Expect(borrower.get(ctx, address, &Request{Target: address})).To(gomega.BeIdenticalTo(conns[last]))
	borrower.put(conns[last], "")
	borrower.closeConn(conns[0])
	conn, err := borrower.get(context.Background(), address, &Request{Target: address})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.borrowed).To(gomega.BeFalse())
	conns[0], conns = conn, conns[:last]
	for _, conn := range conns {
		borrower.closeConn(conn)
	}
	g.Expect(borrower.addresses[address].ownOpen()).To(gomega.BeZero())
	g.Expect(borrower.addresses[address].borrowed).To(gomega.BeZero())
}
