// Package accept provides listeners that outlast a shortage of descriptors or memory.
package accept

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Waits before connections are accepted again.
const (
	minWait = 5 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

// shortages are errors after which a listener can go on. The connection stays in its queue,
// or has ended.
var shortages = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM,
}

// Listener is a listener whose Accept waits while the process or the machine is short of
// descriptors or memory.
type Listener struct {
	net.Listener
	// OnShortage is called with each such error. It may be nil.
	OnShortage func(err error)
}

// Listen listens on a TCP address. onShortage is called with the address and each error
// after which Accept waits.
func Listen(addr string, onShortage func(addr string, err error)) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: ln, OnShortage: func(err error) { onShortage(addr, err) }}, nil
}

// Accept waits for the next connection. It returns an error only if the listener is closed,
// its deadline has passed, or it can't be used any more.
func (l *Listener) Accept() (net.Conn, error) {
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		c, err := l.Listener.Accept()
		if err == nil || !isShortage(err) {
			return c, err
		}
		if l.OnShortage != nil {
			l.OnShortage(err)
		}
		time.Sleep(wait)
	}
}

func isShortage(err error) bool {
	for _, s := range shortages {
		if errors.Is(err, s) {
			return true
		}
	}
	return false
}

// SetDeadline sets the time at which Accept returns a timeout error.
func (l *Listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}
