package proxy

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/fakes/site"
)

// serveUnframed answers requests with text and ends the connection. After that, endpoints that ask
// are told the incarnation that started at unixMs; with 0 the endpoint is gone, as one that is killed.
func serveUnframed(t *testing.T, text string, unixMs int64) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	start := int64(1)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			n, _ := conn.Read(buf)
			if tellStart(conn, buf[:n], start) {
				n, _ = conn.Read(buf)
			}
			if bytes.HasPrefix(buf[:n], []byte("GET /r ")) {
				_, _ = io.WriteString(conn, site.ResponseHead("r1")+"\r\n"+text) // fails only if the relay has given up
				if start = unixMs; start == 0 {
					_ = ln.Close()
				}
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// TestUnframedStreamOfEndedEndpoint guards against a stream that looks complete before its last
// event: its response ends with its connection, which the system closes in order as the process
// of the endpoint is killed.
func TestUnframedStreamOfEndedEndpoint(t *testing.T) {
	addr := serveUnframed(t, "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\n", 0) // 2 of more
	if body, whole := streamAt(t, addr, true, -1); whole {
		t.Errorf("%q counts as complete, although its endpoint accepts no connections any more", body)
	}
}

// TestUnframedAnswerOfEndedEndpoint guards against a half answer that callers get as a whole one, as the
// process of its endpoint was killed, and against a whole one that is refused.
func TestUnframedAnswerOfEndedEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		start int64 // of the incarnation that is there afterwards; 0: none
		want  int   // status
	}{
		"killed":              {0, fasthttp.StatusBadGateway},
		"killed and back":     {2, fasthttp.StatusBadGateway},
		"outlives its answer": {1, fasthttp.StatusOK},
	} {
		addr := serveUnframed(t, "an answer", tc.start)
		h, r := responseAt(t, addr, &fleet.Route{Kind: fleet.KindAtMostOnce}, -1, (*request).forwardUnary)
		body := make([]byte, max(0, h.ContentLength()))
		if _, err := io.ReadFull(r, body); err != nil || h.StatusCode() != tc.want || (tc.want == fasthttp.StatusOK && string(body) != "an answer") {
			t.Errorf("%s: got %d, %q, %v", name, h.StatusCode(), body, err)
		}
	}
}
