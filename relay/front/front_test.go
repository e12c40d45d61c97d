package front_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/logs"
)

// recorder records the requests that reach the handler.
type recorder struct {
	mu       sync.Mutex
	requests []string
}

func (r *recorder) handle(x *front.Exchange) {
	r.mu.Lock()
	r.requests = append(r.requests, string(x.Header.Method())+" "+string(x.Header.RequestURI())+" "+string(x.Body))
	r.mu.Unlock()
	var h fasthttp.ResponseHeader
	h.SetStatusCode(fasthttp.StatusOK)
	x.Respond(&h, []byte("ok"))
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.requests...)
}

// discardLog is shared by all tests, as each logger runs a goroutine.
var discardLog = logs.New(io.Discard, clock.System{}, "a")

func newServer(handle func(x *front.Exchange)) *front.Server {
	return &front.Server{
		Handle: handle,
		Limits: func() fleet.Limits {
			return fleet.Limits{HeaderBytes: 1024, BodyBytes: 64, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Log: discardLog,
	}
}

// connListener is a listener that accepts the connections of a channel.
type connListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// scriptedConn is a connection from a caller that sends some bytes and nothing
// after them. Reads then time out at once, so that tests don't have to wait.
type scriptedConn struct {
	in     *bytes.Reader
	out    bytes.Buffer
	once   sync.Once
	closed chan struct{}
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	if c.in.Len() == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.in.Read(b)
}

func (c *scriptedConn) Write(b []byte) (int, error)      { return c.out.Write(b) }
func (c *scriptedConn) Close() error                     { c.once.Do(func() { close(c.closed) }); return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// serveBytes sends raw on one connection. It returns all output until the server
// closes the connection, and the requests that reached the handler.
func serveBytes(t *testing.T, raw []byte) (string, []string) {
	t.Helper()
	var rec recorder
	srv := newServer(rec.handle)
	ln := &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = srv.Serve(ln) // returns when ln is closed
	}()
	c := &scriptedConn{in: bytes.NewReader(raw), closed: make(chan struct{})}
	ln.conns <- c
	<-c.closed
	_ = ln.Close()
	<-ended
	accept, cancel := context.WithCancel(context.Background())
	cancel()
	srv.Stop(context.Background(), accept) // waits for the connection's goroutine
	return c.out.String(), rec.all()
}

// TestRequests sends the requests in testdata/*.http. The first line of a file is
// the expected status, or "none" if the connection is closed without a response,
// followed by the requests that reach the handler, separated by "|". The other
// lines are sent with \r\n as line ends.
func TestRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/*.http")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			raw, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			first, rest, _ := strings.Cut(string(raw), "\n")
			status, want, _ := strings.Cut(first, " ")
			resp, got := serveBytes(t, []byte(strings.ReplaceAll(rest, "\n", "\r\n")))
			if status == "none" {
				if resp != "" {
					t.Errorf("response %q, want none", resp)
				}
			} else if !strings.HasPrefix(resp, "HTTP/1.1 "+status) {
				t.Errorf("response %q, want status %s", resp, status)
			}
			if strings.Join(got, "|") != want {
				t.Errorf("handler got %q, want %q", got, want)
			}
		})
	}
}

// TestCallerGone checks that the context of a request is cancelled when its caller
// closes the connection.
func TestCallerGone(t *testing.T) {
	cancelled := make(chan struct{})
	srv := newServer(func(x *front.Exchange) {
		<-x.Context.Done()
		close(cancelled)
	})
	ln := &connListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	go func() { _ = srv.Serve(ln) }() // returns when ln is closed
	client, server := net.Pipe()
	ln.conns <- server
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	<-cancelled
	_ = ln.Close()
}

// TestStopWaits checks that a request in flight still gets its response after Stop
// was called, and that its connection is closed after the response.
func TestStopWaits(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	srv := newServer(func(x *front.Exchange) {
		close(entered)
		<-release
		x.Reject(fasthttp.StatusServiceUnavailable, time.Second)
	})
	ln := &connListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	go func() { _ = srv.Serve(ln) }() // returns after Stop
	client, server := net.Pipe()
	ln.conns <- server
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-entered
	accept, cancel := context.WithCancel(context.Background())
	cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		srv.Stop(context.Background(), accept)
	}()
	for !srv.Stopping() {
		runtime.Gosched()
	}
	close(release)
	resp, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"HTTP/1.1 503", "Connection: close", "Retry-After: 1.000"} {
		if !strings.Contains(string(resp), want) {
			t.Errorf("response %q lacks %q", resp, want)
		}
	}
	<-stopped
}

// FuzzRequests checks that, whatever the input, at most as many requests reach the
// handler as the input has request lines, and none after one was rejected.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, got := serveBytes(t, raw)
		if lines := strings.Count(string(raw), "HTTP/1.1"); len(got) > lines {
			t.Errorf("%d requests reached the handler for input %q: %q", len(got), raw, got)
		}
		if at := strings.Index(resp, "HTTP/1.1 4"); at >= 0 && strings.Contains(resp[at:], "HTTP/1.1 200") {
			t.Errorf("a request was served after a rejected one: responses %q", resp)
		}
	})
}

// TestCallerLeftBeforeItsRequestWasRead guards against requests that are sent on
// although their callers have left: a busy relay may accept a connection only after
// the caller has given up on it and closed it.
func TestCallerLeftBeforeItsRequestWasRead(t *testing.T) {
	const callers = 50
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for range callers {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = c.Close() // the test checks that the server notices it
	}
	left := make(chan bool, callers)
	s := newServer(func(x *front.Exchange) { left <- x.CallerLeft() })
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	for range callers {
		if !<-left {
			t.Error("the caller counts as connected, but has left")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.Stop(ctx, ctx)
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestLimitsOfKeptConnection guards against a connection that stays with the limits of its
// start: a configuration that allows larger headers would hold for new connections alone.
func TestLimitsOfKeptConnection(t *testing.T) {
	var rec recorder
	srv, addr, open := startServer(t, rec.handle)
	var headerBytes atomic.Int64
	headerBytes.Store(1024)
	limits := srv.Limits
	srv.Limits = func() fleet.Limits {
		l := limits()
		l.HeaderBytes = int(headerBytes.Load())
		return l
	}
	close(open)
	c, r := dial(t, addr, plainRequest)
	if got := readAnswer(r); !strings.Contains(got, " 200 ") {
		t.Fatalf("first request: %q", got)
	}
	large := strings.Replace(plainRequest, "\r\n\r\n", "\r\nA: "+strings.Repeat("x", 3000)+"\r\n\r\n", 1)
	for _, n := range []int64{4096, 8192} {
		headerBytes.Store(n)
		send(t, c, large+plainRequest)
		for range 2 {
			if got := readAnswer(r); !strings.Contains(got, " 200 ") {
				t.Errorf("limit of %d bytes: %.60q", n, got)
			}
		}
	}
	if n := len(rec.all()); n != 5 {
		t.Errorf("%d requests were handled", n)
	}
	headerBytes.Store(1024)
	send(t, c, large)
	if got := readAnswer(r); !strings.Contains(got, " 431 ") {
		t.Errorf("limit lowered again: %.60q", got)
	}
}

// TestPanicEndsOneRequest guards against a request whose handling panics and that ends the
// process with the requests of all other callers.
func TestPanicEndsOneRequest(t *testing.T) {
	began, proceed := make(chan struct{}), make(chan struct{})
	var h fasthttp.ResponseHeader
	h.SetStatusCode(fasthttp.StatusOK)
	srv, addr, open := startServer(t, func(x *front.Exchange) {
		switch string(x.Header.RequestURI()) {
		case "/other":
			close(began)
			<-proceed
			x.Respond(&h, []byte("ok"))
			return
		case "/stream":
			if err := x.BeginStream(&h, []byte("a")); err != nil {
				t.Error(err)
			}
		}
		panic("handler of " + string(x.Header.RequestURI()))
	})
	close(open)
	_, other := dial(t, addr, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	for uri, want := range map[string]string{"/unary": "HTTP/1.1 502 Bad Gateway", "/stream": "HTTP/1.1 200 OK"} {
		_, r := dial(t, addr, "GET "+uri+" HTTP/1.1\r\nHost: h\r\n\r\n")
		got, err := io.ReadAll(r)
		if err != nil || !strings.HasPrefix(string(got), want) || strings.Contains(string(got), "\r\n0\r\n") {
			t.Errorf("%s: got %q, error %v, want %s on a connection that ends", uri, got, err, want)
		}
	}
	close(proceed)
	if got := readAnswer(other); !strings.Contains(got, "200 OK") {
		t.Errorf("the other caller got %q", got)
	}
	<-stopAccepting(srv, time.Second)
	if n := srv.Active(); n != 0 {
		t.Errorf("%d requests count as in flight", n)
	}
}

// TestOneResponseHead guards against a refusal that becomes a part of a stream which has begun.
func TestOneResponseHead(t *testing.T) {
	srv, addr, open := startServer(t, func(x *front.Exchange) {
		var h fasthttp.ResponseHeader
		h.SetStatusCode(fasthttp.StatusOK)
		if err := x.BeginStream(&h, []byte("data: 1\n\n")); err != nil {
			t.Error(err)
		}
		x.Reject(fasthttp.StatusServiceUnavailable, time.Second)
		if x.Complete() {
			t.Error("the stream counts as complete")
		}
	})
	close(open)
	_, r := dial(t, addr, plainRequest)
	got, err := io.ReadAll(r)
	if err != nil || strings.Count(string(got), "HTTP/1.1 ") != 1 || !strings.HasSuffix(string(got), "data: 1\n\n\r\n") {
		t.Errorf("got %q, error %v, want one head and no last chunk", got, err)
	}
	<-stopAccepting(srv, time.Second)
}
