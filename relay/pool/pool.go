// Package pool keeps connections to endpoints, for one request at a time each.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timing and sizes of connections.
const (
	dialTimeout   = 500 * time.Millisecond // two round trips in a region take a few ms
	defaultIdle   = 4 * time.Second        // for endpoints that don't say how long they keep a connection
	idleMargin    = 700 * time.Millisecond // a connection is given up so long before its endpoint closes it
	readBuffer    = 8 << 10
	unackedLimit  = 2 * time.Second // sent bytes that nobody acknowledges for so long end a connection
	sweepInterval = time.Second
)

// ErrUnreachable says that no connection could be made.
var ErrUnreachable = errors.New("endpoint is unreachable")

type key struct{ id, addr string }

// Pool holds idle connections by endpoint. The zero value is ready to use. It is
// safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[key][]*Conn
	dials int64
	swept time.Time
}

// Conn is a connection to an endpoint. It is used by one goroutine, except that
// Close may be called by any.
type Conn struct {
	net.Conn
	R      *bufio.Reader
	Reused bool // a request went over it before

	key     key
	expires time.Time // idle connections are not used after this
}

// Get returns an idle connection or a new one. fresh asks for a new one. It
// blocks for at most half a second; any error is ErrUnreachable.
func (p *Pool) Get(ctx context.Context, id, addr string, fresh bool) (*Conn, error) {
	k := key{id: id, addr: addr}
	for !fresh {
		c := p.take(k)
		if c == nil {
			break
		}
		if c.sound(time.Now()) {
			c.Reused = true
			return c, nil
		}
		_ = c.Close() // it is of no use any more
	}
	return p.dial(ctx, k)
}

func (p *Pool) take(k key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[k] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, k key) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	if t, ok := raw.(*net.TCPConn); ok {
		limitUnacked(t)
	}
	return &Conn{Conn: raw, R: bufio.NewReaderSize(raw, readBuffer), key: k}, nil
}

// limitUnacked bounds how long sent bytes may stay unacknowledged. Without it a
// connection through a partition hangs; the deadline of its request still ends
// that wait if the option can't be set.
func limitUnacked(t *net.TCPConn) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
}

// Put gives back a connection after a whole answer. keep is how long its
// endpoint keeps it open; 0: it didn't say.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	if c.R.Buffered() > 0 {
		_ = c.Close() // bytes that belong to no answer
		return
	}
	idle := defaultIdle
	if keep > 0 {
		idle = max(keep-idleMargin, keep/4)
	}
	now := time.Now()
	c.expires = now.Add(idle)
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[key][]*Conn)
	}
	p.idle[c.key] = append(p.idle[c.key], c)
	if now.Sub(p.swept) > sweepInterval {
		p.sweep(now)
	}
}

// sweep closes connections that will not be used again.
func (p *Pool) sweep(now time.Time) {
	p.swept = now
	for k, list := range p.idle {
		n := 0
		for _, c := range list {
			if now.Before(c.expires) {
				list[n] = c
				n++
			} else {
				_ = c.Close() // it is of no use any more
			}
		}
		clear(list[n:])
		p.idle[k] = list[:n]
		if n == 0 {
			delete(p.idle, k)
		}
	}
}

// Dials returns how many connections were made.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// sound reports whether an idle connection may be used: in time, still open, and
// without bytes that nobody asked for.
func (c *Conn) sound(now time.Time) bool {
	if !now.Before(c.expires) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
