// Package keys_test checks the TLS settings of links.
package keys_test

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"wigeonplank.example/base/certs"
	"wigeonplank.example/proof/fleet"
)

func files(dir string) (cert, key, ca string) {
	return filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
}

func authority(t *testing.T) (*fleet.Authority, string) {
	t.Helper()
	a, err := fleet.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}
	return a, dir
}

func server(t *testing.T, dir string) *tls.Config {
	t.Helper()
	c, err := certs.Server(files(dir))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func client(t *testing.T, dir string) *tls.Config {
	t.Helper()
	c, err := certs.Client(files(dir))
	if err != nil {
		t.Fatal(err)
	}
	c.ServerName = "127.0.0.1"
	return c
}

// shake does a handshake and returns the server's certificate.
func shake(t *testing.T, s, c *tls.Config) ([]byte, error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", s)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = conn.Close() }()
		served <- conn.(*tls.Conn).Handshake()
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), c)
	if err != nil {
		return nil, errors.Join(err, <-served)
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].Raw, <-served
}

func TestPeersOfOneAuthority(t *testing.T) {
	_, dir := authority(t)
	if _, err := shake(t, server(t, dir), client(t, dir)); err != nil {
		t.Fatal(err)
	}
}

func TestForeignPeersAreRefused(t *testing.T) {
	_, own := authority(t)
	_, foreign := authority(t)
	if _, err := shake(t, server(t, own), client(t, foreign)); err == nil {
		t.Error("a client of another authority was let in")
	}
	noCert := client(t, own)
	noCert.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	if _, err := shake(t, server(t, own), noCert); err == nil {
		t.Error("a client without a certificate was let in")
	}
}

func TestReplacedKeysAreTaken(t *testing.T) {
	a, dir := authority(t)
	s, c := server(t, dir), client(t, dir)
	before, err := shake(t, s, c)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	after, err := shake(t, s, c)
	if err != nil {
		t.Fatal(err)
	}
	if string(before) == string(after) {
		t.Error("the old certificate is still shown")
	}
}
