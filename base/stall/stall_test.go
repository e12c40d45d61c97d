package stall_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"wigeonplank.example/base/stall"
)

// pair returns the two ends of a TCP connection on loopback.
func pair(t *testing.T) (*stall.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return stall.New(near), far
}

// awaitArrival waits until what far has sent can be read at the other end.
func awaitArrival() { time.Sleep(20 * time.Millisecond) }

// pass lets the read deadline of c pass, as if the process had stood still.
func pass(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
}

// TestArrivedBeforeTimeout guards against a timeout in place of bytes that arrived while the
// process stood still.
func TestArrivedBeforeTimeout(t *testing.T) {
	c, far := pair(t)
	late := 0
	c.OnLate = func() { late++ }
	if _, err := far.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	awaitArrival()
	pass(t, c)
	b := make([]byte, 3)
	for _, want := range []string{"hel", "lo"} {
		n, err := c.Read(b)
		if err != nil || string(b[:n]) != want {
			t.Fatalf("read %q, %v; want %q", b[:n], err, want)
		}
	}
	if _, err := c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v after what had arrived, want a timeout", err)
	}
	if late != 2 {
		t.Errorf("%d late reads were reported, want 2", late)
	}
}

// TestSenderOutlastsNoDeadline guards against a peer that never stops sending and so never
// times out.
func TestSenderOutlastsNoDeadline(t *testing.T) {
	c, far := pair(t)
	send := func(text string) {
		t.Helper()
		if _, err := far.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		awaitArrival()
	}
	send("ab")
	pass(t, c)
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	send("cd")
	b := make([]byte, 8)
	if n, err := c.Read(b); string(b[:n]) != "b" || err != nil {
		t.Errorf("read %q, %v; want what had arrived when the timeout was noticed", b[:n], err)
	}
	if _, err := c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want a timeout", err)
	}
}

// TestEndBeforeTimeout guards against a timeout in place of the end of a connection, which may
// complete a response.
func TestEndBeforeTimeout(t *testing.T) {
	c, far := pair(t)
	_ = far.Close()
	awaitArrival()
	pass(t, c)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
}

// TestDeadlineRenewed verifies that each deadline allows its own look, also on a connection
// without a descriptor.
func TestDeadlineRenewed(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	go func() {
		for range 2 {
			_, _ = far.Write([]byte("x")) // fails when the test ends
		}
	}()
	c := stall.New(near)
	for range 2 {
		awaitArrival() // until the writer waits
		pass(t, c)
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("read %d bytes, %v", n, err)
		}
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want a timeout", err)
	}
}
