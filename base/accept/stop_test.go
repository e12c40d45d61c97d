package accept_test

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wigeonplank.example/base/accept"
)

// shortListener has no descriptors for connections.
type shortListener struct {
	*net.TCPListener
	deadline time.Time
	accepts  atomic.Int32
}

func (l *shortListener) SetDeadline(t time.Time) error {
	l.deadline = t
	return nil
}

func (l *shortListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	err := os.NewSyscallError("accept4", syscall.EMFILE)
	if !time.Now().Before(l.deadline) {
		err = os.ErrDeadlineExceeded
	}
	return nil, &net.OpError{Op: "accept", Err: err}
}

// TestShortageEndsWithStop guards against a stop that doesn't end because a connection waits for
// which there is no descriptor.
func TestShortageEndsWithStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	short := &shortListener{TCPListener: inner.(*net.TCPListener)}
	ln := &accept.Listener{Listener: short}
	if err := ln.SetDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		ended <- err
	}()
	select {
	case err := <-ended:
		if !os.IsTimeout(err) {
			t.Errorf("got %v, want a timeout", err)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("still accepting after %d tries", short.accepts.Load())
	}
}
