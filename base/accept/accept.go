// Package accept provides listeners that outlast a shortage of descriptors or memory.
package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Waits before connections are accepted again.
const (
	minWait = 5 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

const (
	maxWaiting    = 4096        // connections that are accepted after a deadline; more than a queue holds by default
	acceptTimeout = time.Second // for one that waits already
	maxFailures   = 10          // in a row after a deadline; about a second
)

// shortages are errors after which a listener can go on. The connection stays in its queue,
// or has ended.
var shortages = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM,
}

// Listener is a listener whose Accept waits while the process or the machine is short of
// descriptors or memory. Create it with Listen, or with the field Listener set.
type Listener struct {
	net.Listener
	// OnShortage is called with each such error. It may be nil.
	OnShortage func(err error)

	mu       sync.Mutex
	deadline time.Time // see SetDeadline
	accepted int       // connections since the deadline has passed
	failures int       // in a row since then
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
// its deadline has passed and no connection waits, or it can't be used any more.
func (l *Listener) Accept() (net.Conn, error) {
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		c, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c, err = l.acceptWaiting(err)
		}
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

// SetDeadline sets the time at which Accept returns a timeout error. Connections that wait in the
// queue by then are still accepted: this process may not have run before.
func (l *Listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline, l.accepted, l.failures = t, 0, 0
	return l.setDeadline(t)
}

func (l *Listener) setDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// acceptWaiting accepts a connection that waits in the queue, after the deadline has passed. If
// there is none, there have been too many, or a shortage lasts, it returns timeout.
func (l *Listener) acceptWaiting(timeout error) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accepted == maxWaiting || l.failures == maxFailures || !l.hasWaiting() || l.setDeadline(time.Now().Add(acceptTimeout)) != nil {
		return nil, timeout
	}
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted, l.failures = l.accepted+1, 0
	} else {
		l.failures++
	}
	if deadlineErr := l.setDeadline(l.deadline); err == nil && deadlineErr != nil {
		err = errors.Join(deadlineErr, c.Close())
	}
	return c, err
}

// hasWaiting reports whether a connection waits in the queue.
func (l *Listener) hasWaiting() bool {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waiting = n > 0 && err == nil
	})
	return err == nil && waiting
}
