package deploy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"wigeonplank.example/base/http1"
)

const (
	checkInterval   = time.Second // between two readiness checks of a relay
	maxMissedChecks = 1           // in a row, of a relay that stays in use
	balancerAddr    = "balancer:80"
)

// errClosedWhileIdle means that the relay closed a connection before the request was sent
// on it.
var errClosedWhileIdle = errors.New("relay closed the connection while it was idle")

// Balancer chooses the relay of each new connection, as a load balancer does: in turn among
// those whose readiness check succeeded and has not failed twice in a row since, and among
// all if there are none. The zero value knows of no ready relay. It is safe for concurrent
// use.
type Balancer struct {
	mu     sync.Mutex
	missed map[string]int // failed checks in a row of the relays in use, by name
	turn   int
}

// Record takes the result of a readiness check.
func (b *Balancer) Record(relay string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	missed, inUse := b.missed[relay]
	switch {
	case ready && b.missed == nil:
		b.missed = map[string]int{relay: 0}
	case ready:
		b.missed[relay] = 0
	case inUse && missed < maxMissedChecks:
		b.missed[relay]++
	default:
		delete(b.missed, relay)
	}
}

// Choose returns one of the relays, of which there must be at least one.
func (b *Balancer) Choose(relays []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inUse []string
	for _, name := range relays {
		if _, ok := b.missed[name]; ok {
			inUse = append(inUse, name)
		}
	}
	if len(inUse) == 0 {
		inUse = relays
	}
	b.turn++
	return inUse[b.turn%len(inUse)]
}

// balance returns a client whose connections go to the relays that a Balancer chooses, and
// a function that ends the readiness checks. It blocks until each relay was checked once.
func (d *Deployment) balance(ctx context.Context) (client *fasthttp.Client, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{}
	d.checkReadiness(b)
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(checkInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				d.checkReadiness(b)
			}
		}
	})
	client = &fasthttp.Client{
		Dial: func(string) (net.Conn, error) { return d.dialChosen(b) },
		// Nothing was sent, so that another connection is no second attempt.
		RetryIfErr: func(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
			return false, errors.Is(err, errClosedWhileIdle)
		},
		MaxIdemponentCallAttempts: maxConnsPerRelay,
		MaxConnsPerHost:           maxConnsPerRelay,
	}
	return client, func() {
		cancel()
		wg.Wait()
		client.CloseIdleConnections()
	}
}

// checkReadiness checks all relays at once and records the results.
func (d *Deployment) checkReadiness(b *Balancer) {
	var wg sync.WaitGroup
	for _, r := range d.Relays {
		wg.Go(func() { b.Record(r.Name, r.Ready()) })
	}
	wg.Wait()
}

func (d *Deployment) dialChosen(b *Balancer) (net.Conn, error) {
	names := make([]string, 0, len(d.Relays))
	for _, r := range d.Relays {
		names = append(names, r.Name)
	}
	name := b.Choose(names)
	conn, err := fasthttp.Dial(d.Relay(name).Settings.HTTP.Listen)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", name, err)
	}
	return http1.NewConn(&callerConn{Conn: conn}), nil
}

// callerConn is a caller's connection. Its Write fails with errClosedWhileIdle once the
// relay has closed the connection.
type callerConn struct{ net.Conn }

// Write sends b unless the relay has closed the connection.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.closedByRelay() {
		return 0, errClosedWhileIdle
	}
	return c.Conn.Write(b) //nolint:wrapcheck // the client compares errors of the connection
}

func (c *callerConn) closedByRelay() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (err == nil && n == 0) || errors.Is(err, unix.ECONNRESET)
	})
	return err != nil || closed
}
