package entry

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"embertally.dev/core/listen"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// ConnContext is an http.Server's ConnContext, which MarkEnds needs.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// tcpConnection returns the TCP connection of a request, or nil.
func tcpConnection(ctx context.Context) *net.TCPConn {
	c, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return listen.TCP(c)
}

// MarkEnds returns a handler whose answers look complete only if h has returned. Where nothing but the end of the connection
// ends an answer, as in HTTP/1.0, the connection is reset in all other cases: a panic, a server that is closed with
// CloseServer, the end of the process.
func MarkEnds(h http.Handler) http.Handler {
	return &endMarker{handler: h, unfinished: map[*net.TCPConn]bool{}}
}

// endMarker is the handler that MarkEnds returns.
type endMarker struct {
	handler http.Handler

	unfinishedMu sync.Mutex
	// unfinished holds the connections of the answers that only their connection's end ends, and that are not complete.
	unfinished map[*net.TCPConn]bool // guarded by unfinishedMu
	// closed is set once the server is being closed.
	closed bool // guarded by unfinishedMu
}

func (m *endMarker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := tcpConnection(r.Context())
	// An error means that the connection has ended.
	if r.ProtoAtLeast(1, 1) || conn == nil || conn.SetLinger(0) != nil {
		m.handler.ServeHTTP(w, r)
		return
	}
	complete := false
	defer func() {
		m.remove(conn)
		if !complete {
			conn.Close()
		}
	}()
	if !m.add(conn) {
		return
	}
	m.handler.ServeHTTP(w, r)
	if conn.SetLinger(0) != nil {
		// The handler or CloseServer has closed the connection.
		return
	}
	if w.Header().Get("Content-Length") != "" || http.NewResponseController(w).Flush() == nil {
		_ = conn.SetLinger(-1)
		complete = true
	}
}

// add registers the connection of an answer that begins. It returns false if the server is being closed.
func (m *endMarker) add(conn *net.TCPConn) bool {
	m.unfinishedMu.Lock()
	defer m.unfinishedMu.Unlock()
	if !m.closed {
		m.unfinished[conn] = true
	}
	return !m.closed
}

func (m *endMarker) remove(conn *net.TCPConn) {
	m.unfinishedMu.Lock()
	defer m.unfinishedMu.Unlock()
	delete(m.unfinished, conn)
}

// resetUnfinished closes the connections of all answers that are not complete, each with a reset, and those of answers
// that begin later.
func (m *endMarker) resetUnfinished() {
	m.unfinishedMu.Lock()
	defer m.unfinishedMu.Unlock()
	m.closed = true
	for conn := range m.unfinished {
		// An error means that the connection has ended.
		_ = conn.Close()
	}
}

// CloseServer closes a server whose handler is one of MarkEnds. Server.Close alone ends a connection within TLS before it
// is reset, and by that end an answer looks complete.
func CloseServer(srv *http.Server) error {
	if m, ok := srv.Handler.(*endMarker); ok {
		m.resetUnfinished()
	}
	return errors.WithStack(srv.Close())
}
