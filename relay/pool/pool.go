// Package pool keeps connections to endpoints open for reuse. A connection
// carries one request at a time.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/base/stall"
)

const (
	dialTimeout        = 500 * time.Millisecond // well above the few milliseconds of two round trips within a region
	defaultIdleTimeout = 4 * time.Second        // for endpoints that don't send a keep-alive time
	idleMargin         = 700 * time.Millisecond // an idle connection expires this long before its endpoint closes it
	readBufferBytes    = 8 << 10
	unackedTimeout     = 2 * time.Second // a connection fails if sent bytes stay unacknowledged for longer
	sweepInterval      = time.Second     // minimum time between two sweeps for expired connections
	maxUnnamedBodies   = 1024            // different bodies of responses without an ID on one connection
)

// ErrUnreachable reports that no connection to an endpoint could be made.
var ErrUnreachable = errors.New("endpoint is unreachable")

// Kind is a kind of calls. Each has connections of its own.
type Kind string

// Kinds of calls.
const (
	KindRequest Kind = "request" // responses have the ID of the attempt; see Call.Receive
	KindStage   Kind = "stage"   // responses have no ID; see Call.ReceiveUnnamed
)

// key identifies the connections of an endpoint. The ID is part of it because
// another endpoint may take over an address.
type key struct {
	kind     Kind
	id, addr string
}

// Pool holds idle connections to endpoints. The zero value is ready to use. It
// is safe for concurrent use.
type Pool struct {
	Budget budget.Budget // for the responses on all connections
	// Dial dials an endpoint within timeout; nil: stall.Dial.
	Dial func(ctx context.Context, d *net.Dialer, addr string, timeout time.Duration) (net.Conn, error)

	mu        sync.Mutex
	idle      map[key][]*Conn // the connection returned last is at the end
	dials     int64
	lastSweep time.Time
}

// Conn is a connection to an endpoint. It is used by one goroutine at a time,
// except that any goroutine may call Close.
type Conn struct {
	net.Conn
	Reader *bufio.Reader // reads from Conn
	Reused bool          // it has carried an earlier request

	key         key
	overdue     func() (time.Time, bool) // see Call.OnOverdue
	lastRead    time.Time                // see LastRead
	asked       bool                     // the endpoint was asked for its incarnation
	incarnation int64                    // see Incarnation
	report      uint64                   // hash of the endpoint's report; 0: it sent none
	budget      *budget.Budget           // nil: responses are bounded one by one only
	unique      []uint64                 // hashes of bodies that no other response has; see Call.ReceiveUnnamed
	alike       []uint64                 // hashes of bodies that other responses may have
	surplus     bool                     // the endpoint has sent a response that was not asked for
	expiresAt   time.Time                // an idle connection isn't used from this time on
}

// Get returns an idle connection to an endpoint for a kind of calls, or dials a new one if
// there is none. If forceNew is set, it always dials. It blocks for about half a second at most, and
// once more if this process stood still.
// Any error wraps ErrUnreachable.
func (p *Pool) Get(ctx context.Context, kind Kind, id, addr string, forceNew bool) (*Conn, error) {
	k := key{kind: kind, id: id, addr: addr}
	for !forceNew {
		c := p.takeIdle(k)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			c.Reused = true
			return c, nil
		}
		_ = c.Close() // expired or broken
	}
	return p.dial(ctx, k)
}

// takeIdle removes and returns the connection of k that was returned last, or
// nil if there is none.
func (p *Pool) takeIdle(k key) *Conn {
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
	dial := p.Dial
	if dial == nil {
		dial = stall.Dial
	}
	raw, err := dial(ctx, &net.Dialer{}, k.addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	if t, ok := raw.(*net.TCPConn); ok {
		setUnackedTimeout(t)
	}
	c := &Conn{Conn: stall.New(raw), key: k, budget: &p.Budget}
	c.Reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// LastRead returns when bytes were last read from the connection.
func (c *Conn) LastRead() time.Time { return c.lastRead }

// Read reads from the connection. When the read deadline passes and nothing has arrived, it asks
// the current call whether to wait for longer.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.lastRead = time.Now()
		}
		if n > 0 || c.overdue == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		next, ok := c.overdue()
		if !ok {
			return c.readArrived(p, err)
		}
		if err := c.SetReadDeadline(next); err != nil {
			return 0, fmt.Errorf("extend read deadline: %w", err)
		}
	}
}

// setUnackedTimeout limits how long sent bytes may stay unacknowledged. Without
// the limit, a connection across a network partition hangs. If the option can't
// be set, the deadline of the request still ends the wait.
func setUnackedTimeout(t *net.TCPConn) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// Put returns a connection to the pool after a response has been read to its
// end. keepAlive is how long the endpoint keeps an idle connection open, or 0 if
// it sent no such time. Put closes the connection if unread bytes are left on it.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	if c.Reader.Buffered() > 0 {
		_ = c.Close() // the bytes belong to no response
		return
	}
	c.overdue = nil
	idle := defaultIdleTimeout
	if keepAlive > 0 {
		idle = max(keepAlive-idleMargin, keepAlive/4)
	}
	now := time.Now()
	c.expiresAt = now.Add(idle)
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[key][]*Conn)
	}
	p.idle[c.key] = append(p.idle[c.key], c)
	if now.Sub(p.lastSweep) > sweepInterval {
		p.sweepLocked(now)
	}
}

// sweepLocked closes idle connections that have expired. The caller holds p.mu.
func (p *Pool) sweepLocked(now time.Time) {
	p.lastSweep = now
	for k, list := range p.idle {
		n := 0
		for _, c := range list {
			if now.Before(c.expiresAt) {
				list[n] = c
				n++
			} else {
				_ = c.Close() // expired
			}
		}
		clear(list[n:])
		p.idle[k] = list[:n]
		if n == 0 {
			delete(p.idle, k)
		}
	}
}

// readArrived reads what has arrived while the call decided to give the response up. If
// nothing has, it returns err.
func (c *Conn) readArrived(p []byte, err error) (int, error) {
	if c.SetReadDeadline(time.Now()) != nil { // Conn.Conn looks again at what has arrived
		return 0, err
	}
	n, _ := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	c.lastRead = time.Now()
	return n, nil
}

// Check reports whether a new connection to an endpoint can be made, and keeps it for
// requests. Any error wraps ErrUnreachable.
func (p *Pool) Check(ctx context.Context, id, addr string) error {
	c, err := p.Get(ctx, KindRequest, id, addr, true)
	if err != nil {
		return err
	}
	p.Put(c, 0)
	return nil
}

// Dials returns the number of connections made so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// usable reports whether an idle connection can carry a request: it hasn't
// expired, the endpoint hasn't closed it, and no unexpected bytes have arrived
// on it.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.expiresAt) {
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
	// A peek finds nothing to read only if the connection is open and silent.
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
