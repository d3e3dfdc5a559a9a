package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/certs"
	"embertally.dev/core/event"
)

// keys are the TLS files of one listener, read again when they change.
type keys struct {
	files TLS
	log   *event.Log
	now   atomic.Pointer[loadedKeys]
}

type loadedKeys struct {
	cert tls.Certificate
	pool *x509.CertPool
	// changed is the latest change of any of the files.
	changed time.Time
}

// newKeys reads the files; it returns nil where the listener has no TLS.
func newKeys(files TLS, log *event.Log) (*keys, error) {
	if files.Cert == "" {
		return nil, nil
	}
	k := &keys{files: files, log: log}
	got, err := k.load()
	if err != nil {
		return nil, err
	}
	k.now.Store(got)
	return k, nil
}

func (k *keys) load() (*loadedKeys, error) {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "TLS files")
	}
	out := &loadedKeys{cert: cert, changed: k.changed()}
	if k.files.CA == "" {
		return out, nil
	}
	out.pool, err = certs.Pool(k.files.CA)
	return out, err
}

func (k *keys) changed() time.Time {
	var last time.Time
	for _, f := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// reloadPause is the time between looks at the files.
const reloadPause = 2 * time.Second

// run reads the files again when they change, until ctx ends.
func (k *keys) run(ctx context.Context) {
	t := time.NewTicker(reloadPause)
	defer t.Stop()
	seen := k.now.Load().changed
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		at := k.changed()
		if !at.After(seen) {
			continue
		}
		seen = at
		got, err := k.load()
		if err != nil {
			k.log.Emit(event.KeysRejected, event.Ref{}, err.Error())
			continue
		}
		k.now.Store(got)
		k.log.Emit(event.KeysReloaded, event.Ref{}, k.files.Cert)
	}
}

// server returns the configuration of a listener. With a CA, clients must
// prove who they are.
func (k *keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := k.now.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{now.cert}, NextProtos: []string{"http/1.1"}}
			if now.pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, now.pool
				c.NextProtos = nil
			}
			return c, nil
		},
	}
}

// client returns the configuration towards peers: the peer must be signed by
// the CA. Its name is checked by the caller, since peers are reached by IP.
func (k *keys) client() *tls.Config {
	now := k.now.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{now.cert},
		// The standard check wants the dialled name; the one below checks the
		// chain, and the link checks the name of the box.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			pool := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				pool.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: now.pool, Intermediates: pool})
			return errors.WithStack(err)
		},
	}
}
