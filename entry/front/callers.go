package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"wigeonplank.example/base/stall"
	"wigeonplank.example/base/wait"
)

// callers is the listener for callers and their open connections. Once drained, it takes no
// requests that arrive later. What has arrived before is still read, even if this process stood
// still meanwhile. Set the exported fields before use.
type callers struct {
	net.Listener
	OnLate func() // bytes of a caller were read after their time

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	drainEnd time.Time // zero: not drained
}

// callerConn is a connection of a caller. Its reads don't last beyond drainEnd.
type callerConn struct {
	*stall.Conn
	callers *callers
}

// Accept waits for the next connection. Once the listener is drained and no connection waits,
// it closes the listener and returns io.EOF.
func (l *callers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close() // an error changes nothing: no connection is accepted any more
		return nil, io.EOF
	}
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: stall.New(c), callers: l}
	cc.OnLate = l.OnLate
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*callerConn]struct{})
	}
	l.conns[cc] = struct{}{}
	return cc, nil
}

// drain ends the listener, and the reading of requests, at end, unless an earlier time was set.
func (l *callers) drain(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainEnd.IsZero() && !end.Before(l.drainEnd) {
		return
	}
	l.drainEnd = end
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); !ok || d.SetDeadline(end) != nil {
		_ = l.Close() // may be closed already
	}
	for c := range l.conns {
		_ = c.Conn.SetReadDeadline(end) // fails only on a closed connection
	}
}

// awaitClosed waits until all connections are closed or ctx ends.
func (l *callers) awaitClosed(ctx context.Context) error {
	for l.open() > 0 {
		wait.For(ctx, idleCheckInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("close callers' connections: %w", ctx.Err())
		}
	}
	return nil
}

func (l *callers) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// SetReadDeadline sets the read deadline, which is drainEnd at the latest.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	if end := c.callers.drainEnd; !end.IsZero() && (t.IsZero() || end.Before(t)) {
		t = end
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the write deadline, and the read deadline as SetReadDeadline does.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetWriteDeadline(t), c.SetReadDeadline(t))
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.callers.mu.Lock()
	delete(c.callers.conns, c)
	c.callers.mu.Unlock()
	return c.Conn.Close()
}
