package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/entry/exec"
)

const stopTimeout = time.Second

// startServer starts a server that runs until the end of the test and returns its address.
func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	s := &Server{Executor: &exec.Executor{}, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close() // closed already if the server was stopped
		if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return s, ln.Addr().String()
}

// TestStopAnswersSlowRequests guards against requests that are still being read at the end of a stop and
// end with the process, without a response.
func TestStopAnswersSlowRequests(t *testing.T) {
	const (
		body = "POST /v1/pipelines/p HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"
		head = "POST /v1/pipelines/p HTTP/1.1\r\nHost: h\r\nContent-"
	)
	tests := map[string]struct {
		sent string
		busy bool // another request lasts until the end of the stop
	}{
		"body":       {body, false},
		"head":       {head, false},
		"body, busy": {body, true},
		"head, busy": {head, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, addr := startServer(t)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tc.sent); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			if tc.busy {
				s.beginWork()
			}
			if err := s.Stop(ctx, stopTimeout/10); (err != nil) != tc.busy {
				t.Fatalf("Stop: %v", err)
			}
			_ = c.SetReadDeadline(time.Now().Add(stopTimeout)) // the process would have ended
			var resp fasthttp.Response
			if err := resp.Read(bufio.NewReader(c)); err != nil {
				t.Fatalf("read response: %v", err)
			}
			if got := resp.StatusCode(); got != fasthttp.StatusServiceUnavailable {
				t.Fatalf("status %d, want 503: %s", got, resp.Body())
			}
		})
	}
}
