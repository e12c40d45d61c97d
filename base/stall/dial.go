package stall

import (
	"context"
	"net"
	"time"
)

// dialMargin is how late a timeout of a dial is noticed if this process stood still. It is more
// than a process waits for its next turn on a small share of a core.
const dialMargin = 150 * time.Millisecond

// Dial dials a TCP address within timeout. If this process stood still until the time was over, it
// dials once more: the connection may have been made meanwhile. d is used for the connection.
func Dial(ctx context.Context, d *net.Dialer, addr string, timeout time.Duration) (net.Conn, error) {
	return retryDial(ctx, timeout, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) })
}

func retryDial(ctx context.Context, timeout time.Duration, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	once := func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx)
	}
	begun := time.Now()
	c, err := once()
	if err == nil || ctx.Err() != nil || time.Since(begun) < timeout+dialMargin {
		return c, err
	}
	return once()
}
