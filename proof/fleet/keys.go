package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates for processes on the loopback address.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

const keyLife = 24 * time.Hour

// NewAuthority makes an authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority's key: %w", err)
	}
	t := template("authority")
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(keyLife),
	}
}

// Write signs a new certificate and writes cert.pem, key.pem and ca.pem to dir.
func (a *Authority) Write(dir string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	t := template("process")
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	for name, block := range map[string]*pem.Block{
		"ca.pem":   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
		"key.pem":  {Type: "PRIVATE KEY", Bytes: private},
		"cert.pem": {Type: "CERTIFICATE", Bytes: raw},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			return fmt.Errorf("write %s: %w", name, err)
		}
	}
	return nil
}
