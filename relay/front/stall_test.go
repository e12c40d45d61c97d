package front_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/base/accept"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/relay/front"
)

// stalledConn is a connection whose reads begin only when the process runs again: a read that
// begins once its deadline has passed returns the timeout, whatever has arrived.
type stalledConn struct {
	*net.TCPConn
	reads   atomic.Int32
	stalled int32         // number of the read that waits, from 1
	run     chan struct{} // closed when the process runs again
}

func (c *stalledConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == c.stalled {
		<-c.run
	}
	return c.TCPConn.Read(p)
}

// stallListener stalls one read of each connection.
type stallListener struct {
	*net.TCPListener
	stalled int32
	run     chan struct{}
}

func (l *stallListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: c.(*net.TCPConn), stalled: l.stalled, run: l.run}, nil
}

const stallLimit = 100 * time.Millisecond // header and idle timeouts in tests

// startStalledServer serves on loopback. The given read of each connection begins when the
// returned channel is closed.
func startStalledServer(t *testing.T, stalled int32) (srv *front.Server, addr string, run chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	run = make(chan struct{})
	srv = newServer((&recorder{}).handle)
	srv.Limits = func() fleet.Limits {
		return fleet.Limits{HeaderBytes: 1024, BodyBytes: 64, HeaderTimeout: stallLimit, IdleTimeout: stallLimit}
	}
	go func() { _ = srv.Serve(&stallListener{TCPListener: ln.(*net.TCPListener), stalled: stalled, run: run}) }() // returns when the server stops
	return srv, ln.Addr().String(), run
}

// TestRequestsDuringStall guards against a whole request that gets neither an answer nor a
// refusal, or a 408 although it came in time, because the process stood still until the time
// for it had passed.
func TestRequestsDuringStall(t *testing.T) {
	for name, tc := range map[string]struct {
		stalled int32    // read that is due when the process stands still
		parts   []string // sent before, and during the standstill
	}{
		"first request":      {1, []string{"", plainRequest}},
		"kept connection":    {2, []string{plainRequest, plainRequest}},
		"rest of the header": {2, []string{plainRequest[:20], plainRequest[20:]}},
	} {
		t.Run(name, func(t *testing.T) {
			srv, addr, run := startStalledServer(t, tc.stalled)
			c, r := dial(t, addr, tc.parts[0])
			if tc.parts[0] == plainRequest {
				readAnswer(r)
			}
			time.Sleep(stallLimit / 5)
			send(t, c, tc.parts[1])
			time.Sleep(2 * stallLimit)
			close(run)
			if got := readAnswer(r); !strings.Contains(got, "200 OK") {
				t.Errorf("got %q, want an answer", got)
			}
			<-stopAccepting(srv, time.Second)
		})
	}
}

// TestStopAnswersDuringStall guards against requests without a response because the process
// stands still while a stop takes the last ones.
func TestStopAnswersDuringStall(t *testing.T) {
	t.Run("kept connection", func(t *testing.T) {
		srv, addr, run := startStalledServer(t, 2)
		c, r := dial(t, addr, plainRequest)
		readAnswer(r)
		stopped := stopAccepting(srv, 5*time.Second)
		send(t, c, plainRequest)
		time.Sleep(300 * time.Millisecond) // longer than what callers have sent already is waited for
		close(run)
		if got := readAnswer(r); !strings.Contains(got, "HTTP/1.1 ") || !strings.Contains(got, "Connection: close") {
			t.Errorf("got %q, want a response that ends the connection", got)
		}
		<-stopped
	})
	t.Run("not accepted yet", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var rec recorder
		srv, open := newServer(rec.handle), make(chan struct{})
		go func() { // returns when the server stops
			_ = srv.Serve(&accept.Listener{Listener: &gatedListener{TCPListener: ln.(*net.TCPListener), open: open}})
		}()
		_, r := dial(t, ln.Addr().String(), plainRequest)
		stopped := stopAccepting(srv, 5*time.Second)
		time.Sleep(300 * time.Millisecond)
		close(open)
		if got := readAnswer(r); !strings.Contains(got, "HTTP/1.1 ") || !strings.Contains(got, "Connection: close") {
			t.Errorf("got %q, want a response that ends the connection", got)
		}
		<-stopped
	})
}

// TestIdleLimitRaised guards against a kept connection that is closed by a limit which has been
// raised meanwhile, as callers reuse it until the new limit.
func TestIdleLimitRaised(t *testing.T) {
	for _, when := range []string{"during the request", "while idle"} {
		t.Run(when, func(t *testing.T) {
			var idle atomic.Int64
			idle.Store(int64(stallLimit))
			begun, proceed := make(chan struct{}, 2), make(chan struct{})
			var rec recorder
			srv, addr, open := startServer(t, func(x *front.Exchange) {
				begun <- struct{}{}
				<-proceed
				rec.handle(x)
			})
			srv.Limits = func() fleet.Limits {
				return fleet.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Duration(idle.Load())}
			}
			close(open)
			c, r := dial(t, addr, plainRequest)
			<-begun
			if when == "during the request" {
				idle.Store(int64(time.Minute))
			}
			close(proceed)
			readAnswer(r)
			idle.Store(int64(time.Minute))
			time.Sleep(2 * stallLimit)
			send(t, c, plainRequest)
			if got := readAnswer(r); !strings.Contains(got, "200 OK") {
				t.Errorf("got %q, want an answer", got)
			}
			<-stopAccepting(srv, time.Second)
		})
	}
}
