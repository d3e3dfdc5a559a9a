package entry

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// ConnContext is an http.Server's ConnContext, which MarkEnds needs.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// tcpConnection returns the TCP connection of a request, or nil.
func tcpConnection(ctx context.Context) *net.TCPConn {
	c := ctx.Value(connectionKey{})
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = inner.NetConn()
	}
	tcp, _ := c.(*net.TCPConn)
	return tcp
}

// MarkEnds returns a handler whose answers look complete only if h has returned. Where nothing but the end of the connection
// ends an answer, as in HTTP/1.0, the connection is reset in all other cases: a panic, a server that is closed, the end of
// the process.
func MarkEnds(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := tcpConnection(r.Context())
		// An error means that the connection has ended.
		if r.ProtoAtLeast(1, 1) || conn == nil || conn.SetLinger(0) != nil {
			h.ServeHTTP(w, r)
			return
		}
		complete := false
		defer func() {
			if !complete {
				conn.Close()
			}
		}()
		h.ServeHTTP(w, r)
		if conn.SetLinger(0) != nil {
			// h has closed the connection.
			return
		}
		if w.Header().Get("Content-Length") != "" || http.NewResponseController(w).Flush() == nil {
			_ = conn.SetLinger(-1)
			complete = true
		}
	})
}
