package peers

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/repl"
	"wigeonplank.example/relay/logs"
)

// lateConn is a connection whose bytes arrive late.
type lateConn struct {
	net.Conn
	delay *atomic.Int64 // ns
	queue chan lateBytes
}

type lateBytes struct {
	at    time.Time
	bytes []byte
}

func newLateConn(c net.Conn, delay *atomic.Int64) *lateConn {
	l := &lateConn{Conn: c, delay: delay, queue: make(chan lateBytes, 10_000)}
	go func() {
		for b := range l.queue {
			time.Sleep(time.Until(b.at))
			if _, err := c.Write(b.bytes); err != nil {
				return
			}
		}
	}()
	return l
}

func (l *lateConn) Write(p []byte) (int, error) {
	l.queue <- lateBytes{time.Now().Add(time.Duration(l.delay.Load())), append([]byte(nil), p...)}
	return len(p), nil
}

// contactReplica is a replica with a contact with the store. It records what others report
// of theirs.
type contactReplica struct {
	replica
	contact repl.Contact
	mu      sync.Mutex
	heard   []time.Time // contacts that count
}

func (r *contactReplica) Position() repl.Position {
	return repl.Position{Point: r.point(), Contact: r.contact}
}

func (r *contactReplica) Changes(after repl.Point) (repl.Update, repl.Position) {
	u, _ := r.replica.Changes(after)
	return u, r.Position()
}

func (r *contactReplica) record(p repl.Position) {
	if !p.Contact.At.IsZero() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.heard = append(r.heard, p.Contact.At)
	}
}

func (r *contactReplica) Announced(p repl.Position) bool {
	r.record(p)
	return r.replica.Announced(p)
}

func (r *contactReplica) Apply(t repl.Transfer, u repl.Update, p repl.Position) {
	if t.From != "" {
		r.record(p)
	}
	r.replica.Apply(t, u, p)
}

// TestContactOverLateLink guards against a contact with the store that counts as later than
// it was, and a view that counts as fresh, because the messages that tell of it waited in a
// link.
func TestContactOverLateLink(t *testing.T) {
	const (
		late = 400 * time.Millisecond // an answer to a heartbeat may be
		unit = time.Millisecond       // of ages in messages
		ran  = 4 * time.Second
	)
	for _, dialer := range []bool{true, false} {
		for name, delays := range map[string][2]time.Duration{"from the start": {late, late}, "later": {0, late}, "at first": {late, 0}} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				at := time.Now().Add(-time.Second)
				var delay atomic.Int64
				delay.Store(int64(delays[0]))
				teller, hearer := &contactReplica{contact: repl.Contact{At: at, Since: at, Origin: "reader"}}, &contactReplica{}
				a, b := newContactRelay("a", teller), newContactRelay("b", hearer)
				if !dialer {
					a, b = newContactRelay("a", hearer), newContactRelay("b", teller)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				b.Dial = func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					if dialer { // what the hearer receives is late
						go a.serveLink(newLateConn(far, &delay))
						return near, nil
					}
					go a.serveLink(far)
					return newLateConn(near, &delay), nil
				}
				go b.Run(ctx)
				time.Sleep(ran / 2)
				delay.Store(int64(delays[1]))
				teller.put("key", []byte("value"))
				a.Announce()
				b.Announce()
				time.Sleep(ran / 2)
				hearer.mu.Lock()
				defer hearer.mu.Unlock()
				if len(hearer.heard) == 0 {
					t.Fatal("no contact was reported")
				}
				for i, got := range hearer.heard {
					if diff := got.Sub(at); diff > unit {
						t.Errorf("report %d: contact %v later than it was", i, diff)
					}
				}
			})
		}
	}
}

// newContactRelay returns a relay with a replica.
func newContactRelay(name string, r *contactReplica) *Mesh {
	h := &idleHandler{released: make(chan struct{}, 1)}
	m := &Mesh{
		Group: &peer.Group{Self: peer.Member{Instance: name, Addr: name, Zone: "z", Incarnation: 1}, Started: time.Now()},
		Seeds: func() []string { return []string{"a"} }, Handler: h, Engines: h, Notices: h,
		Clock: clock.System{}, Log: logs.New(io.Discard, clock.System{}, "test"), Source: r,
	}
	m.init()
	m.Dial = func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	r.replica.Apply(repl.Transfer{}, repl.Update{Full: true, To: 1}, repl.Position{})
	return m
}
