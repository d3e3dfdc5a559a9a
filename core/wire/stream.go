package wire

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/bugs"
)

// StreamHandler handles a request to open a stream. serve, unless it is nil, is called with the stream
// after the response was sent; the connection is closed when it returns. ctx ends when the mux stops.
type StreamHandler func(ctx context.Context, from string, body []byte) (response any, serve func(net.Conn), err error)

// HandleStream returns a StreamHandler that decodes the request and passes it to f.
func HandleStream[Req, Resp any](f func(ctx context.Context, from string, req *Req) (Resp, func(net.Conn))) StreamHandler {
	return func(ctx context.Context, from string, body []byte) (any, func(net.Conn), error) {
		var req Req
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, nil, errors.Wrap(err, "stream request")
		}
		response, serve := f(ctx, from, &req)
		return response, serve, nil
	}
}

// RegisterStream makes h the handler of requests of a kind to open a stream. It must be called before
// Serve.
func (m *Mux) RegisterStream(kind Kind, h StreamHandler) {
	if m.streams == nil {
		m.streams = map[Kind]StreamHandler{}
	}
	m.streams[kind] = h
}

// OpenStream opens a connection to a peer and requests a stream on it, whose bytes the handler defines.
// It decodes the response, which tells whether the peer serves the stream, into resp. The other
// parameters are those of NewLink. An error of the handler wraps ErrRemote.
func OpenStream(ctx context.Context, name, peer, address string, conf func() *tls.Config, kind Kind, req, resp any) (net.Conn, error) {
	conn, err := connect(ctx, peer, address, conf)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	err = requestStream(conn, name, kind, req, resp)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	probeStream(conn)
	return conn, nil
}

// streamKeepAlive finds a peer that is gone within seconds, as streams may carry nothing for long.
var streamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// probeStream makes the kernel probe the other end of a stream.
func probeStream(conn net.Conn) {
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = c.NetConn()
	}
	if c, ok := conn.(*net.TCPConn); ok {
		// Without the probes a peer that is gone is found later.
		_ = c.SetKeepAliveConfig(streamKeepAlive)
	}
}

// requestStream sends the request for a stream and waits for the response.
func requestStream(conn net.Conn, name string, kind Kind, req, resp any) error {
	var request []byte
	for _, message := range []struct {
		kind Kind
		body any
	}{{kindHello, name}, {kind, req}} {
		body, err := msgpack.Marshal(message.body)
		if err != nil {
			return errors.WithStack(err)
		}
		frame, err := encode(&envelope{ID: 1, Kind: message.kind, Body: body})
		if err != nil {
			return err
		}
		request = append(request, frame...)
	}
	if _, err := conn.Write(request); err != nil {
		return errors.WithStack(err)
	}
	response, _, err := decode(conn, nil)
	if err != nil {
		return err
	}
	if response.Err != "" {
		return errors.Wrap(ErrRemote, response.Err)
	}
	return errors.Wrap(msgpack.Unmarshal(response.Body, resp), "decode response")
}

// connect opens a connection to a peer. With TLS, the peer's certificate must contain its name.
func connect(ctx context.Context, peer, address string, conf func() *tls.Config) (net.Conn, error) {
	var nd net.Dialer
	conn, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if conf == nil {
		return conn, nil
	}
	tc := tls.Client(conn, conf())
	if err := tc.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	if !slices.Contains(certNames(tc), peer) {
		conn.Close()
		return nil, errors.Errorf("certificate of %s does not contain the name %q", address, peer)
	}
	return tc, nil
}

// serveStream answers a request to open a stream, and serves the stream.
func (s *serverConn) serveStream(ctx context.Context, h StreamHandler, e *envelope) {
	s.conn.SetReadDeadline(time.Time{})
	serve, response := callStreamHandler(ctx, h, s.from, e)
	frame, err := encode(response)
	if err == nil {
		s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = s.conn.Write(frame)
		s.conn.SetWriteDeadline(time.Time{})
	}
	if serve == nil {
		return
	}
	if err != nil {
		// serve still has to release what the handler acquired.
		s.conn.Close()
	}
	probeStream(s.conn)
	serve(s.conn)
}

// callStreamHandler calls h and returns its response as a frame. It converts a panic to an error, as
// callHandler does.
func callStreamHandler(ctx context.Context, h StreamHandler, from string, e *envelope) (serve func(net.Conn), response *envelope) {
	response = &envelope{ID: e.ID}
	defer func() {
		if reason := recover(); reason != nil {
			bugs.Report("stream %s from %s: %v", e.Kind, from, reason)
			serve, response = nil, &envelope{ID: e.ID, Err: errInternal.Error()}
		}
	}()
	body, serve, err := h(ctx, from, e.Body)
	if err == nil {
		response.Body, err = msgpack.Marshal(body)
	}
	if err != nil {
		response.Err = err.Error()
	}
	return serve, response
}
