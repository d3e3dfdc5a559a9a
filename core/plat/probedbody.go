package plat

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/wait"
)

// probedBody is the body of a response that may be long. While it pauses, a request on a new connection
// shows whether the service still sends.
type probedBody struct {
	io.ReadCloser
	client *Client
	probe  Probe
	// transport is the one in use when the response began.
	transport *http.Transport
	// received counts the calls of Read that returned data.
	received atomic.Int64
	// silent is set once the connection was found silent.
	silent atomic.Bool
	// progress receives when data has arrived; its capacity is 1.
	progress chan struct{}
	// ended is cancelled when nothing more is read, by finish.
	ended  context.Context
	finish context.CancelFunc
}

func newProbedBody(c *Client, body io.ReadCloser, p Probe) *probedBody {
	b := &probedBody{ReadCloser: body, client: c, probe: p, transport: c.transport(), progress: make(chan struct{}, 1)}
	b.ended, b.finish = context.WithCancel(context.Background())
	return b
}

// Read reads from the response. It fails with ErrSilent if the connection was found silent.
func (b *probedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.received.Add(1)
		select {
		case b.progress <- struct{}{}:
		default:
		}
	}
	if err != nil {
		b.finish()
		if b.silent.Load() {
			return n, errors.WithStack(ErrSilent)
		}
	}
	// The error may be io.EOF, which readers compare.
	return n, err
}

// Close closes the body.
func (b *probedBody) Close() error {
	b.finish()
	return b.ReadCloser.Close()
}

// run sends a probe in each pause until nothing more is read, or the connection was found silent.
func (b *probedBody) run() {
	pause := time.NewTimer(b.probe.Pause)
	defer pause.Stop()
	for {
		select {
		case <-b.ended.Done():
			return
		case <-b.progress:
		case <-pause.C:
			if b.isSilent() {
				return
			}
		}
		pause.Reset(b.probe.Pause)
	}
}

// isSilent sends a probe on a new connection. If the service responds to it and has sent nothing more of
// the response meanwhile, the response's connection is given up, and all idle ones with it.
func (b *probedBody) isSilent() bool {
	received := b.received.Load()
	fresh := b.transport.Clone()
	fresh.DisableKeepAlives = b.client.ManyServices
	probe := newExchange(b.client, fresh, b.probe.PauseRequest.WithContext(b.ended))
	go probe.run()
	<-probe.done
	defer probe.abandon()
	// After a pause of the service itself, the rest may follow right behind the probe's response.
	if probe.err == nil && b.received.Load() == received {
		wait.For(b.ended, b.probe.Pause/4)
	}
	if probe.err != nil || b.ended.Err() != nil || b.received.Load() != received {
		fresh.CloseIdleConnections()
		return false
	}
	b.silent.Store(true)
	b.client.replaced.Add(1)
	if !b.client.ManyServices {
		b.client.use(fresh, b.transport)
	}
	if b.client.OnReplaced != nil {
		b.client.OnReplaced()
	}
	// Ends the call of Read that waits for data; its error tells why.
	_ = b.ReadCloser.Close()
	return true
}
