// Package testip owns the loopback addresses of test processes. No two processes that run at the
// same time listen at the same IP address, and no outgoing connection has one of them as its source.
// A port that a test closes therefore stays closed until the test listens on it again.
//
// It needs a system on which all of 127.0.0.0/8 is local, such as Linux.
package testip

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// 127.0.0.0/8 is divided into blocks of 2^hostBits addresses, of which a process claims one. The first
// and the last firstBlock blocks, which contain 127.0.0.1 and the broadcast address, are left out.
const (
	hostBits   = 12
	firstBlock = 16
	blockCount = 1<<(24-hostBits) - 2*firstBlock
	// claimHost and claimPort are where a process listens for as long as the block is its own.
	claimHost, claimPort = 1, 1024
	firstHost            = claimHost + 1
	hostCount            = 1<<hostBits - 1 - firstHost
)

// block is a claimed block.
type block struct {
	number int
	// claim is open until the process exits.
	claim net.Listener

	mu   sync.Mutex
	next int // number of addresses handed out; guarded by mu
}

// claim claims the first free block from the given number on.
func claim(number int) (*block, error) {
	var lastErr error
	for i := range blockCount {
		b := &block{number: firstBlock + (number+i)%blockCount}
		if b.claim, lastErr = net.Listen("tcp", fmt.Sprint(b.ip(claimHost), ":", claimPort)); lastErr == nil {
			return b, nil
		}
	}
	return nil, errors.WithStack(lastErr)
}

// ip returns one address of the block.
func (b *block) ip(host int) string {
	n := b.number<<hostBits | host
	return fmt.Sprintf("127.%d.%d.%d", n>>16, n>>8&255, n&255)
}

func (b *block) nextIP() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ip(firstHost + b.next%hostCount)
}

// own is the block of this process.
var own = sync.OnceValues(func() (*block, error) { return claim(os.Getpid()) })

// IP returns a loopback address that only this process uses, and that it has not used lately.
func IP() string {
	b, err := own()
	if err != nil {
		panic(fmt.Sprint("testip: no block of loopback addresses is free: ", err))
	}
	return b.nextIP()
}

// Listen listens on an unused port of a new address.
func Listen() (net.Listener, error) {
	l, err := net.Listen("tcp", IP()+":0")
	return l, errors.WithStack(err)
}

// NewServer starts a server at a new address.
func NewServer(handler http.Handler) *httptest.Server {
	s := NewUnstartedServer(handler)
	s.Start()
	return s
}

// NewUnstartedServer returns a server that listens at a new address and is not started.
func NewUnstartedServer(handler http.Handler) *httptest.Server {
	l, err := Listen()
	if err != nil {
		panic(fmt.Sprint("testip: ", err))
	}
	return &httptest.Server{Listener: l, Config: &http.Server{Handler: handler}}
}
