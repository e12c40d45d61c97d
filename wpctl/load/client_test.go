package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/body"
)

// TestEndlessResponses guards against a load run that uses up its machine's memory by a response
// without end.
func TestEndlessResponses(t *testing.T) {
	for name, response := range map[string][2]string{
		"body":   {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 64<<10)},
		"length": {"HTTP/1.1 200 OK\r\nContent-Length: 90000000000\r\n\r\n", strings.Repeat("x", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
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
			}()
			c := &client{plan: &Plan{Targets: []string{ln.Addr().String()}}, http: newHTTPClient()}
			var large *body.TooLargeError
			if r := c.send(&requestState{}); !errors.As(r.err, &large) {
				t.Errorf("got error %v, want one for the size", r.err)
			}
		})
	}
	t.Run("stream", func(t *testing.T) {
		st := &streamState{}
		st.text.WriteString(strings.Repeat("x", maxResponseBytes))
		event := fmt.Sprintf(`{"offset":%d,"text":"x"}`, maxResponseBytes)
		var large *body.TooLargeError
		if r, done := st.handleEvent("", event); !done || !errors.As(r.err, &large) {
			t.Errorf("got error %v, want one for the size", r.err)
		}
	})
}
