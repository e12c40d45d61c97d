// Package certs builds TLS settings from files and reads the files again when
// they change, so that keys are replaced without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// pair is a certificate file and its key, cached by modification time.
type pair struct {
	cert, key string

	mu    sync.Mutex
	seen  time.Time
	value *tls.Certificate
}

func (p *pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st, err := os.Stat(p.cert)
	if err != nil {
		return p.keep(fmt.Errorf("read certificate: %w", err))
	}
	if p.value != nil && st.ModTime().Equal(p.seen) {
		return p.value, nil
	}
	c, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		return p.keep(fmt.Errorf("load certificate: %w", err))
	}
	p.seen = st.ModTime()
	p.value = &c
	return p.value, nil
}

// keep goes on with the pair at hand while a new one can't be read, as in the
// moment between the replacement of two files.
func (p *pair) keep(err error) (*tls.Certificate, error) {
	if p.value != nil {
		return p.value, nil
	}
	return nil, err
}

func pool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(raw) {
		return nil, errors.New("the file of authorities has no certificate")
	}
	return p, nil
}

// Server returns TLS settings for a listener, or nil if cert is empty. With a
// file of authorities, callers must show a certificate that one of them signed.
func Server(cert, key, ca string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	p := &pair{cert: cert, key: key}
	if _, err := p.get(); err != nil {
		return nil, err
	}
	c := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
	}
	if ca == "" {
		return c, nil
	}
	roots, err := pool(ca)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = roots
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// Client returns TLS settings for links to peers whose certificates carry their
// IP address and are signed by an authority in ca, or nil if cert is empty.
func Client(cert, key, ca string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	p := &pair{cert: cert, key: key}
	if _, err := p.get(); err != nil {
		return nil, err
	}
	roots, err := pool(ca)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.get() },
	}, nil
}
