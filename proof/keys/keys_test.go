// Package keys_test checks the mutual TLS of the links between entries and
// agents with handshakes on loopback.
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

// tlsFiles returns the files that fleet.Authority.WriteFiles creates in dir.
func tlsFiles(dir string) (cert, key, ca string) {
	return filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
}

// newAuthority returns a certificate authority and a directory with its
// certificate and the certificate and key of one peer.
func newAuthority(t *testing.T) (*fleet.Authority, string) {
	t.Helper()
	a, err := fleet.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := a.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	return a, dir
}

func serverConfig(t *testing.T, dir string) *tls.Config {
	t.Helper()
	c, err := certs.ServerConfig(tlsFiles(dir))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func clientConfig(t *testing.T, dir string) *tls.Config {
	t.Helper()
	c, err := certs.ClientConfig(tlsFiles(dir))
	if err != nil {
		t.Fatal(err)
	}
	c.ServerName = "127.0.0.1"
	return c
}

// handshake connects a client to a server on loopback and returns the server's
// certificate. It returns an error if either side fails the handshake.
func handshake(t *testing.T, server, client *tls.Config) ([]byte, error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	serverErr := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			serverErr <- err
			return
		}
		defer func() { _ = conn.Close() }()
		serverErr <- conn.(*tls.Conn).Handshake()
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err != nil {
		return nil, errors.Join(err, <-serverErr)
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].Raw, <-serverErr
}

func TestPeersOfSameAuthorityConnect(t *testing.T) {
	_, dir := newAuthority(t)
	if _, err := handshake(t, serverConfig(t, dir), clientConfig(t, dir)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a server that accepts a client without a certificate of its
// own authority, which would let any process on the network send work.
func TestUntrustedClientsAreRejected(t *testing.T) {
	_, own := newAuthority(t)
	_, foreign := newAuthority(t)
	if _, err := handshake(t, serverConfig(t, own), clientConfig(t, foreign)); err == nil {
		t.Error("the server accepted a client of another authority")
	}
	noCert := clientConfig(t, own)
	noCert.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	if _, err := handshake(t, serverConfig(t, own), noCert); err == nil {
		t.Error("the server accepted a client without a certificate")
	}
}

// Guards against a process that serves its old certificate until a restart
// although the files were replaced.
func TestReplacedCertificateIsServed(t *testing.T) {
	a, dir := newAuthority(t)
	server, client := serverConfig(t, dir), clientConfig(t, dir)
	before, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	// The files may have been replaced within one tick of the file system's
	// clock; certificates are reloaded when the modification time changes.
	modTime := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), modTime, modTime); err != nil {
		t.Fatal(err)
	}
	after, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if string(before) == string(after) {
		t.Error("the server still presents the old certificate")
	}
}
