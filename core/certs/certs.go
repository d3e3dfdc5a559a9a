// Package certs owns the reading of certificate authorities from files, and the generation of
// keys for getting started and for tests: a certificate authority, certificates of boxes, and
// random API keys.
//
// It must not know where the keys are used. Sites with a certificate authority of their own do
// not need it.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// validity is the lifetime of the certificates that this package signs.
const validity = 365 * 24 * time.Hour

// Authority is a certificate authority that signs the certificates of boxes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// Names of the files in an authority's directory.
const (
	caCert = "ca.pem"
	caKey  = "ca-key.pem"
)

// NewAuthority generates an authority and writes its certificate and key to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tmpl := &x509.Certificate{
		Subject: pkix.Name{CommonName: "embertally authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	a := &Authority{key: key, dir: dir}
	raw, err := sign(tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	if a.cert, err = x509.ParseCertificate(raw); err != nil {
		return nil, errors.WithStack(err)
	}
	return a, write(filepath.Join(dir, caCert), filepath.Join(dir, caKey), raw, key)
}

// OpenAuthority reads the authority that NewAuthority wrote to dir.
func OpenAuthority(dir string) (*Authority, error) {
	cert, err := readPEM(filepath.Join(dir, caCert))
	if err != nil {
		return nil, err
	}
	key, err := readPEM(filepath.Join(dir, caKey))
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir}
	if a.cert, err = x509.ParseCertificate(cert); err != nil {
		return nil, errors.WithStack(err)
	}
	a.key, err = x509.ParseECPrivateKey(key)
	return a, errors.WithStack(err)
}

func readPEM(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, errors.Errorf("%s: no PEM block found", path)
	}
	return block.Bytes, nil
}

// Pool reads from a PEM file the CA certificates that verify the certificates of peers.
func Pool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("%s: no certificate found", path)
	}
	return pool, nil
}

// CAFile returns the path of the authority's certificate.
func (a *Authority) CAFile() string { return filepath.Join(a.dir, caCert) }

// Issue generates a key and a certificate that contains a box's name and IP addresses, and
// returns the paths of both files.
func (a *Authority) Issue(name string, ips ...net.IP) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.WithStack(err)
	}
	tmpl := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: ips,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := sign(tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+"-key.pem")
	return certFile, keyFile, write(certFile, keyFile, raw, key)
}

// serialBits is the size of a certificate's random serial number, in bits.
const serialBits = 120

func sign(tmpl, parent *x509.Certificate, pub *ecdsa.PublicKey, key *ecdsa.PrivateKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tmpl.SerialNumber = serial
	tmpl.NotBefore, tmpl.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(validity)
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, parent, pub, key)
	return raw, errors.WithStack(err)
}

// secretMode is the file mode of private keys and their certificates.
const secretMode = 0o600

func write(certFile, keyFile string, cert []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.WithStack(err)
	}
	err = os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), secretMode)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), secretMode))
}

// keyBytes is the number of random bytes of an API key.
const keyBytes = 24

// NewKey returns a random API key for a caller or operator.
func NewKey() string {
	raw := make([]byte, keyBytes)
	// rand.Read never returns an error.
	rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}
