package front

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/accept"
	"wigeonplank.example/entry/ctrl"
	"wigeonplank.example/entry/exec"
)

const (
	healthRequest = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
	stallTime     = 400 * time.Millisecond // longer than a stop waits for what has been sent already
)

// stalledConn is a connection of which one read begins only when the process runs again, after
// its deadline has passed.
type stalledConn struct {
	*net.TCPConn
	reads   atomic.Int32
	stalled int32 // number of the read that waits, from 1; 0: none
	run     chan struct{}
}

func (c *stalledConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == c.stalled {
		<-c.run
		_ = c.SetReadDeadline(time.Now().Add(-time.Second)) // fails only on a closed connection
	}
	return c.TCPConn.Read(p)
}

// stallListener stalls one read of each connection, or accepts none until the process runs again.
type stallListener struct {
	*net.TCPListener
	stalled  int32
	unaccept bool
	run      chan struct{}
	tls      *tls.Config
}

func (l *stallListener) Accept() (net.Conn, error) {
	if l.unaccept {
		<-l.run
	}
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: c.(*net.TCPConn), stalled: l.stalled, run: l.run}, nil
}

// startStalledServer serves on loopback as l says, and dials.
func startStalledServer(t *testing.T, l *stallListener) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.TCPListener, l.run = ln.(*net.TCPListener), make(chan struct{})
	s := &Server{Control: ctrl.New(ctrl.Config{}), TLS: l.tls, Executor: &exec.Executor{}, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}}
	go func() { _ = s.Serve(&accept.Listener{Listener: l}) }() // returns when the listener is closed
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), ln.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return s, c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// checkResponse reads a response and checks its status.
func checkResponse(t *testing.T, r *bufio.Reader, want int) {
	t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil || resp.StatusCode() != want {
		t.Errorf("got %v, status %d, %s; want %d", err, resp.StatusCode(), resp.Body(), want)
	}
}

// stopAccepting begins a stop whose time to accept requests is over at once. The returned channel
// has its error.
func stopAccepting(s *Server) <-chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped <- s.Stop(ctx, 0)
	}()
	time.Sleep(stallTime)
	return stopped
}

// TestRequestsDuringStall guards against a whole request without an answer, or with a refusal
// although it came in time, because the process stood still until the time for it had passed.
func TestRequestsDuringStall(t *testing.T) {
	const body = "POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
	for name, tc := range map[string]struct {
		stalled int32    // read that is due when the process stands still
		parts   []string // sent before, and during the standstill
		status  int
	}{
		"first request":      {1, []string{"", healthRequest}, fasthttp.StatusOK},
		"kept connection":    {2, []string{healthRequest, healthRequest}, fasthttp.StatusOK},
		"rest of the header": {2, []string{healthRequest[:20], healthRequest[20:]}, fasthttp.StatusOK},
		"rest of the body":   {2, []string{body + "{", "}"}, fasthttp.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			l := &stallListener{stalled: tc.stalled}
			_, c, r := startStalledServer(t, l)
			send(t, c, tc.parts[0])
			if tc.parts[0] == healthRequest {
				checkResponse(t, r, fasthttp.StatusOK)
			}
			time.Sleep(20 * time.Millisecond) // until the server reads again
			send(t, c, tc.parts[1])
			time.Sleep(20 * time.Millisecond) // until it has arrived
			close(l.run)
			checkResponse(t, r, tc.status)
		})
	}
}

// TestStopAnswersDuringStall guards against requests without a response because they wait on a
// kept connection, or to be accepted, when a stop takes the last ones.
func TestStopAnswersDuringStall(t *testing.T) {
	for name, l := range map[string]*stallListener{
		"kept connection":  {stalled: 2},
		"not accepted yet": {unaccept: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, c, r := startStalledServer(t, l)
			if l.stalled > 0 {
				send(t, c, healthRequest)
				checkResponse(t, r, fasthttp.StatusOK)
				time.Sleep(20 * time.Millisecond) // until the server reads again
			}
			send(t, c, "POST /v1/pipelines/p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
			stopped := stopAccepting(s)
			close(l.run)
			checkResponse(t, r, fasthttp.StatusServiceUnavailable)
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("got %v, want the end of the connection", err)
			}
			if err := <-stopped; err != nil {
				t.Errorf("Stop: %v", err)
			}
		})
	}
}
