package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
)

// serveRaw accepts connections on loopback, answers one request on each with the bytes that
// raw returns, and closes it.
func serveRaw(t *testing.T, raw func() string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if err := req.Read(bufio.NewReader(conn)); err != nil && !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			_, _ = io.WriteString(conn, raw()) // fails only if the client has closed the connection
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// TestTruncatedResponses guards against a response that counts as whole although its endpoint
// ended before the end of its header or body.
func TestTruncatedResponses(t *testing.T) {
	const text = `{"result":"abc"}`
	for name, tc := range map[string]struct {
		raw, body string
		whole     bool // the whole of raw is a complete response
	}{
		"length":              {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + text, text, true},
		"length of 0":         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", true},
		"no framing, number":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n123", "", false},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + text + "\r\n0\r\n\r\n", text, true},
		"no framing":          {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text, text, true},
		"no framing, no JSON": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", "", false},
		"interim":             {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + text, text, true},
	} {
		raw := ""
		c := NewClient(serveRaw(t, func() string { return raw }))
		for n := range len(tc.raw) + 1 {
			raw = tc.raw[:n]
			want := tc.whole && n == len(tc.raw)
			var got strings.Builder
			out := c.Do(Call{RequestID: "r", Stage: &conf.Stage{Kind: conf.KindService, Path: "/"}, Timeout: time.Second, Body: []byte(`{"input":"a"}`)},
				func(p []byte) { got.Write(p) })
			if (out.Failure == "") != want || (want && got.String() != tc.body) || out.NotStarted {
				t.Errorf("%s: got %q, %+v after %q", name, got.String(), out, raw)
			}
		}
	}
}

// TestResponseWithoutContent guards against a status that has no body by definition (204) and
// counts as a truncated response, so that a call that has run ends as failed.
func TestResponseWithoutContent(t *testing.T) {
	c := NewClient(serveRaw(t, func() string { return "HTTP/1.1 204 No Content\r\n\r\n" }))
	call := Call{RequestID: "r", Stage: &conf.Stage{Kind: conf.KindService, Path: "/"}, Timeout: time.Second, Body: []byte(`{"input":"a"}`)}
	if out := c.Do(call, func([]byte) {}); out.Failure != "" {
		t.Errorf("got %+v", out)
	}
}
