// Package stall reads connections whose deadlines may pass while this process doesn't run,
// because it was paused or starved of processor time. Once it runs again, a read returns the
// timeout although bytes have arrived in time.
package stall

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lookTimeout is how long a connection without a descriptor, such as one of net.Pipe, is read
// for bytes that have arrived.
const lookTimeout = time.Millisecond

// Conn is a connection whose Read returns what had arrived when it notices that the read
// deadline has passed, and only then the timeout. Only one goroutine at a time may call Read.
type Conn struct {
	net.Conn
	// OnLate is called, in the goroutine that reads, when bytes were read after the deadline. It
	// may be nil.
	OnLate func()

	mu     sync.Mutex
	looked bool // since the deadline was set
	left   int  // bytes that had arrived by then and haven't been read
}

// New returns a Conn over c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// SetDeadline sets the read and write deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looked = false
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the read deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looked = false
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || len(p) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	n, err = c.readArrived(p, err)
	if n > 0 && c.OnLate != nil {
		c.OnLate()
	}
	return n, err
}

// readArrived reads without waiting what had arrived when the timeout was noticed first. What
// arrives later isn't read, so that a peer that never stops sending can't outlast a deadline. If
// there is nothing, it returns timeout.
func (c *Conn) readArrived(p []byte, timeout error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw := rawConn(c.Conn)
	if raw == nil {
		return c.readSoon(p, timeout)
	}
	n, err := 0, timeout
	// Control doesn't wait, and the read deadline doesn't apply to it.
	controlErr := raw.Control(func(fd uintptr) {
		if !c.looked {
			c.looked = true
			c.left, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) // 0 if it fails
		}
		n, err = receive(int(fd), p[:min(len(p), c.left)], timeout)
	})
	if controlErr != nil {
		return 0, timeout
	}
	c.left -= n
	return n, err
}

// receive reads from a socket without waiting. With an empty p, it only tells whether the peer has
// closed its sending side.
func receive(fd int, p []byte, timeout error) (int, error) {
	flags, probe := unix.MSG_DONTWAIT, len(p) == 0
	if probe {
		p, flags = make([]byte, 1), flags|unix.MSG_PEEK
	}
	n, _, err := unix.Recvfrom(fd, p, flags)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), err == nil && n > 0 && probe:
		return 0, timeout
	case err != nil:
		return 0, os.NewSyscallError("recvfrom", err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSoon is readArrived for a connection without a descriptor.
func (c *Conn) readSoon(p []byte, timeout error) (int, error) {
	if c.looked {
		return 0, timeout
	}
	c.looked = true
	if c.Conn.SetReadDeadline(time.Now().Add(lookTimeout)) != nil {
		return 0, timeout
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = timeout
	}
	return n, err
}

// rawConn returns the socket under a connection, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// SyscallConn returns the socket under the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw := rawConn(c.Conn); raw != nil {
		return raw, nil
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite closes the sending side of a TCP connection.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}
