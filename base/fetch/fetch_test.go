package fetch_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/fetch"
)

// TestTruncatedDocuments guards against a part of a configuration that counts as the whole one,
// as the service stopped before its end.
func TestTruncatedDocuments(t *testing.T) {
	const document = "revision: 3\npipelines: []\n"
	for name, tc := range map[string]struct{ head, tail, body string }{
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n", "", document},
		"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n", "\r\n0\r\n\r\n", document},
		"no framing": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "", ""},
	} {
		raw := tc.head + document + tc.tail
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		cut := 0
		go func() { // until ln is closed
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				var req fasthttp.Request
				_ = req.Read(bufio.NewReader(conn))    // the response is the same whatever was requested
				_, _ = io.WriteString(conn, raw[:cut]) // fails only if the client has closed the connection
				_ = conn.Close()
			}
		}()
		for n := range len(raw) + 1 {
			cut = n
			p := fetch.Platform{ConfigAddr: ln.Addr().String()}
			got, err := p.ReadConfig()
			if whole := tc.body != "" && n == len(raw); (err == nil) != whole || (whole && string(got) != tc.body) {
				t.Errorf("%s: got %q, error %v, after %q", name, got, err, raw[:n])
			}
		}
		_ = ln.Close() // no test depends on it
	}
}
