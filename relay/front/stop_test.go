package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/relay/front"
)

const plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// gatedListener accepts connections once open is closed, as if the process lagged
// behind.
type gatedListener struct {
	*net.TCPListener
	open chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.TCPListener.Accept()
}

// startServer serves handle on loopback. Connections are accepted once the returned
// channel is closed.
func startServer(t *testing.T, handle func(x *front.Exchange)) (srv *front.Server, addr string, open chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv, open = newServer(handle), make(chan struct{})
	go func() { _ = srv.Serve(&gatedListener{TCPListener: ln.(*net.TCPListener), open: open}) }() // returns when the server stops
	return srv, ln.Addr().String(), open
}

// dial connects to a server and sends raw.
func dial(t *testing.T, addr, raw string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	send(t, c, raw)
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, raw string) {
	t.Helper()
	if _, err := c.Write([]byte(raw)); err != nil {
		t.Error(err)
	}
}

// readAnswer reads a response with the body "ok" and returns it.
func readAnswer(r *bufio.Reader) string {
	var b strings.Builder
	for !strings.HasSuffix(b.String(), "\r\n\r\nok") {
		c, err := r.ReadByte()
		if err != nil {
			return b.String() + "<" + err.Error() + ">"
		}
		b.WriteByte(c)
	}
	return b.String()
}

// stopAccepting stops a server, whose time to accept requests is over at once. The
// returned channel is closed when it has stopped.
func stopAccepting(srv *front.Server, timeout time.Duration) <-chan struct{} {
	stopped := make(chan struct{})
	accept, cancel := context.WithCancel(context.Background())
	cancel()
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		srv.Stop(ctx, accept)
	}()
	for !srv.Stopping() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // until the listener and idle connections are dealt with
	return stopped
}

// TestStopAnswersWaiting guards against a stop that resets requests which callers sent
// before it: on a connection that was not accepted yet, and on a kept one.
func TestStopAnswersWaiting(t *testing.T) {
	for name, kept := range map[string]bool{"not accepted yet": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			var rec recorder
			srv, addr, open := startServer(t, rec.handle)
			if kept {
				close(open)
			}
			c, r := dial(t, addr, plainRequest)
			if kept {
				readAnswer(r)
			}
			stopped := stopAccepting(srv, 5*time.Second)
			if kept {
				send(t, c, plainRequest)
			} else {
				close(open)
			}
			if got := readAnswer(r); !strings.Contains(got, "200 OK") || !strings.Contains(got, "Connection: close") {
				t.Errorf("got %q, want an answer that ends the connection", got)
			}
			<-stopped
		})
	}
}

// TestStopEnds guards against a stop that outlasts its time because a handler is not
// told of it (the caller has sent the start of another request), or doesn't return.
func TestStopEnds(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for name, handle := range map[string]func(x *front.Exchange){
		"caller has sent more":   func(x *front.Exchange) { <-x.Context.Done() },
		"handler doesn't return": func(*front.Exchange) { <-release },
	} {
		t.Run(name, func(t *testing.T) {
			srv, addr, open := startServer(t, handle)
			close(open)
			dial(t, addr, plainRequest+"G")
			for srv.Active() == 0 {
				time.Sleep(time.Millisecond)
			}
			select {
			case <-stopAccepting(srv, 50*time.Millisecond):
			case <-time.After(2 * time.Second):
				t.Error("the server has not stopped")
			}
		})
	}
}

// TestBrokenOffStream guards against a stream that breaks off and looks complete: the
// connection has to end without the last chunk.
func TestBrokenOffStream(t *testing.T) {
	srv, addr, open := startServer(t, func(x *front.Exchange) {
		var h fasthttp.ResponseHeader
		h.SetStatusCode(fasthttp.StatusOK)
		if x.BeginStream(&h, []byte("data: 1\n\n")) != nil || x.SendEvents([]byte("data: 2\n\n")) != nil {
			t.Error("the caller is gone")
		}
	})
	close(open)
	_, r := dial(t, addr, plainRequest)
	got, err := io.ReadAll(r)
	if err != nil || !strings.HasSuffix(string(got), "data: 2\n\n\r\n") {
		t.Errorf("got %q, error %v, want both events and no last chunk", got, err)
	}
	<-stopAccepting(srv, time.Second)
}

// TestStopRejectsLateRequests guards against a request that is taken late in a stop, on a
// connection whose last response had begun before, and is cut off at its end.
func TestStopRejectsLateRequests(t *testing.T) {
	served := make(chan struct{}, 2)
	began, proceed := make(chan struct{}, 2), make(chan struct{})
	srv, addr, open := startServer(t, func(x *front.Exchange) {
		served <- struct{}{}
		var h fasthttp.ResponseHeader
		h.SetStatusCode(fasthttp.StatusOK)
		if err := x.BeginStream(&h, []byte("a")); err != nil {
			t.Error(err)
		}
		began <- struct{}{}
		<-proceed
		x.EndStream()
	})
	close(open)
	c, r := dial(t, addr, plainRequest)
	<-began
	stopped := stopAccepting(srv, 5*time.Second)
	time.Sleep(300 * time.Millisecond) // longer than what callers have sent already is waited for
	close(proceed)
	var first, second fasthttp.Response
	if err := first.Read(r); err != nil || first.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("first response: %v, %d", err, first.StatusCode())
	}
	send(t, c, plainRequest)
	if err := second.Read(r); err != nil || second.StatusCode() != fasthttp.StatusServiceUnavailable || !second.ConnectionClose() {
		t.Errorf("second response: %v, %d", err, second.StatusCode())
	}
	if len(served) != 1 {
		t.Errorf("%d requests were served, want 1", len(served))
	}
	<-stopped
}

// TestStopRejectsSlowRequests guards against a request that has begun to arrive before a stop
// takes no more, is taken once its last byte has come, and is cut off at the end of the stop.
func TestStopRejectsSlowRequests(t *testing.T) {
	for name, parts := range map[string][2]string{
		"length": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd"},
		"chunks": {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", "cd\r\n0\r\n\r\n"},
		"head":   {"POST /a HTTP/1.1\r\nHost: h\r\nContent-", "Length: 4\r\n\r\nabcd"},
	} {
		for when, rest := range map[string]string{"comes late": parts[1], "never comes": ""} {
			t.Run(name+", rest "+when, func(t *testing.T) {
				var rec recorder
				srv, addr, open := startServer(t, rec.handle)
				close(open)
				c, r := dial(t, addr, parts[0])
				for srv.Active() == 0 {
					time.Sleep(time.Millisecond)
				}
				stopped := stopAccepting(srv, 5*time.Second)
				if rest != "" {
					time.Sleep(300 * time.Millisecond) // longer than what callers have sent already is waited for
					send(t, c, rest)
				}
				var resp fasthttp.Response
				if err := resp.Read(r); err != nil || resp.StatusCode() != fasthttp.StatusServiceUnavailable || !resp.ConnectionClose() {
					t.Errorf("response: %v, %d", err, resp.StatusCode())
				}
				if served := rec.all(); len(served) > 0 {
					t.Errorf("served %q", served)
				}
				<-stopped
			})
		}
	}
}

// TestStopOutOfTimeTakesNone guards against a request that is taken after a stop has cancelled
// those in flight: nothing cancels it, and its connection closes without a response.
func TestStopOutOfTimeTakesNone(t *testing.T) {
	srv, addr, open := startServer(t, func(x *front.Exchange) {
		<-x.Context.Done()
		x.Reject(fasthttp.StatusBadGateway, 0)
	})
	close(open)
	c, r := dial(t, addr, "GET /a HTTP/1.1\r\n") // arrives whole once the stop is out of time
	for srv.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := stopAccepting(srv, 0)
	send(t, c, "Host: h\r\n\r\n")
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		t.Errorf("no response: %v", err)
	}
	<-stopped
}
