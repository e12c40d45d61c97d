// Package certs builds TLS configurations from files. It reloads certificates and
// their keys when they change, so that they can be rotated without a restart.
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

// keyPair loads a certificate and its key from files. It caches them until the
// modification time of the certificate file changes.
type keyPair struct {
	certFile, keyFile string

	mu      sync.Mutex
	modTime time.Time
	cached  *tls.Certificate
}

func (p *keyPair) load() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.certFile)
	if err != nil {
		return p.cachedOr(fmt.Errorf("read certificate: %w", err))
	}
	if p.cached != nil && info.ModTime().Equal(p.modTime) {
		return p.cached, nil
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return p.cachedOr(fmt.Errorf("load certificate: %w", err))
	}
	p.modTime = info.ModTime()
	p.cached = &cert
	return p.cached, nil
}

// cachedOr returns the cached certificate, or err if there is none. A pair can be
// unreadable for a moment while its two files are replaced one after the other.
func (p *keyPair) cachedOr(err error) (*tls.Certificate, error) {
	if p.cached != nil {
		return p.cached, nil
	}
	return nil, err
}

func loadCertPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(raw) {
		return nil, errors.New("CA file contains no certificate")
	}
	return p, nil
}

// ServerConfig returns the TLS configuration of a listener, or nil if cert is empty.
// cert, key and ca are names of PEM files. Unless ca is empty, clients must
// present a certificate signed by one of its CAs.
func ServerConfig(cert, key, ca string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	p := &keyPair{certFile: cert, keyFile: key}
	if _, err := p.load(); err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.load() },
	}
	if ca == "" {
		return cfg, nil
	}
	roots, err := loadCertPool(ca)
	if err != nil {
		return nil, err
	}
	cfg.ClientCAs = roots
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// ClientConfig returns the TLS configuration for links to peers, or nil if cert is
// empty. The certificate of a peer must contain its IP address and be signed by a
// CA in the file ca.
func ClientConfig(cert, key, ca string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	p := &keyPair{certFile: cert, keyFile: key}
	if _, err := p.load(); err != nil {
		return nil, err
	}
	roots, err := loadCertPool(ca)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.load() },
	}, nil
}
