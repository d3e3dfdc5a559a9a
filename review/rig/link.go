package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy in front of one address. While it is cut it carries nothing: what was sent waits, and new
// connections hang.
type link struct {
	to      string
	address string

	mu   sync.Mutex
	gate chan struct{} // closed while bytes pass; guarded by mu
}

// newLink starts a link to an address.
func newLink(ip, to string) *link {
	k := &link{to: to, gate: make(chan struct{})}
	close(k.gate)
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	k.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k
}

// serve forwards one connection.
func (k *link) serve(near net.Conn) {
	defer near.Close()
	k.wait()
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer far.Close()
	var wg sync.WaitGroup
	for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
		wg.Go(func() {
			buffer := make([]byte, 16<<10)
			for {
				k.wait()
				n, err := ends[0].Read(buffer)
				k.wait()
				if n > 0 {
					if _, err := ends[1].Write(buffer[:n]); err != nil {
						break
					}
				}
				if err != nil {
					if err == io.EOF {
						ends[1].(*net.TCPConn).CloseWrite()
						return
					}
					break
				}
			}
			near.Close()
			far.Close()
		})
	}
	wg.Wait()
}

// wait waits until the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	gate := k.gate
	k.mu.Unlock()
	<-gate
}

// set cuts or heals the link.
func (k *link) set(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		k.gate = make(chan struct{})
	} else {
		close(k.gate)
	}
}
