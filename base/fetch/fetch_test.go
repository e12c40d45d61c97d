package fetch_test

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
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

// TestEndlessDocuments guards against a service that uses up its reader's memory by bytes without
// end, or by the length that it names.
func TestEndlessDocuments(t *testing.T) {
	const maxMore = 128 << 20 // bytes allocated for a read; a list may have 16 MB
	for name, response := range map[string][2]string{
		"no framing":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 64<<10)},
		"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
		"length of 9e10": {"HTTP/1.1 200 OK\r\nContent-Length: 90000000000\r\n\r\n", strings.Repeat("x", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() { // until ln is closed
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					var req fasthttp.Request
					_ = req.Read(bufio.NewReader(conn)) // the response is the same whatever was requested
					_, err = io.WriteString(conn, response[0])
					for err == nil {
						_, err = io.WriteString(conn, response[1])
					}
					_ = conn.Close()
				}
			}()
			p := fetch.Platform{ConfigAddr: ln.Addr().String(), ListAddr: ln.Addr().String()}
			for what, read := range map[string]func() error{
				"configuration": func() error { _, err := p.ReadConfig(); return err },
				"watch":         func() error { _, err := p.WatchConfig(1); return err },
				"list":          func() error { _, err := p.ReadList(); return err },
			} {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				if err := read(); err == nil {
					t.Errorf("%s without end was accepted", what)
				}
				runtime.ReadMemStats(&after)
				if n := after.TotalAlloc - before.TotalAlloc; n > maxMore {
					t.Errorf("%s: %d MB were allocated, want at most %d", what, n>>20, maxMore>>20)
				}
			}
		})
	}
}
