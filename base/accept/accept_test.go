package accept_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"wigeonplank.example/base/accept"
)

// scriptedListener returns errors one after another, and then connections.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestShortages guards against a process that ends because it ran out of descriptors, and
// against a listener that can't be closed.
func TestShortages(t *testing.T) {
	inner := &scriptedListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}}
	ln := accept.Listener{Listener: inner}
	if c, err := ln.Accept(); c == nil || err != nil {
		t.Errorf("after shortages: %v, %v", c, err)
	}
	inner.errs = []error{syscall.EMFILE, net.ErrClosed}
	if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the listener was closed: %v", err)
	}
}
