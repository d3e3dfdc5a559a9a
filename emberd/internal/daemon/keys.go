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

// tlsKeys holds the TLS keys of one listener, which are loaded again when their files change.
type tlsKeys struct {
	files   TLS
	log     *event.Log
	current atomic.Pointer[loadedKeys]
}

// loadedKeys is the content of the files at one time.
type loadedKeys struct {
	cert tls.Certificate
	pool *x509.CertPool // CA certificates that peers' certificates must be signed by; nil without a CA file
	// modTime is the latest modification time of the files.
	modTime time.Time
}

// newTLSKeys loads the files; it returns nil for a listener without TLS.
func newTLSKeys(files TLS, log *event.Log) (*tlsKeys, error) {
	if files.Cert == "" {
		return nil, nil
	}
	k := &tlsKeys{files: files, log: log}
	got, err := k.load()
	if err != nil {
		return nil, err
	}
	k.current.Store(got)
	return k, nil
}

// load reads the files.
func (k *tlsKeys) load() (*loadedKeys, error) {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "TLS files")
	}
	out := &loadedKeys{cert: cert, modTime: k.modTime()}
	if k.files.CA == "" {
		return out, nil
	}
	out.pool, err = certs.Pool(k.files.CA)
	return out, err
}

// modTime returns the latest modification time of the files.
func (k *tlsKeys) modTime() time.Time {
	var last time.Time
	for _, f := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// reloadInterval is the interval at which the files are checked for changes.
const reloadInterval = 2 * time.Second

// run loads the files again when they change, until ctx is cancelled. Files that cannot be loaded
// are logged, and the keys loaded before stay in use.
func (k *tlsKeys) run(ctx context.Context) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	seen := k.current.Load().modTime
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		modTime := k.modTime()
		if !modTime.After(seen) {
			continue
		}
		seen = modTime
		got, err := k.load()
		if err != nil {
			k.log.Emit(event.KeysRejected, event.Ref{}, err.Error())
			continue
		}
		k.current.Store(got)
		k.log.Emit(event.KeysReloaded, event.Ref{}, k.files.Cert)
	}
}

// server returns the TLS configuration of a listener. With a CA file, clients must present a
// certificate that is signed by it.
func (k *tlsKeys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{current.cert}, NextProtos: []string{"http/1.1"}}
			if current.pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, current.pool
				c.NextProtos = nil
			}
			return c, nil
		},
	}
}

// client returns the TLS configuration for connections to peers. The peer's certificate must be
// signed by the CA. Package wire checks its name, since peers are dialled by IP address.
func (k *tlsKeys) client() *tls.Config {
	current := k.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{current.cert},
		// The default verification requires the dialled name in the certificate. VerifyConnection
		// checks the chain instead, and package wire the name of the box.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			intermediates := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: current.pool, Intermediates: intermediates})
			return errors.WithStack(err)
		},
	}
}
