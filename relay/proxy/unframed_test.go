package proxy

import (
	"bytes"
	"io"
	"net"
	"testing"

	"wigeonplank.example/fakes/site"
)

// TestUnframedStreamOfEndedEndpoint guards against a stream that looks complete before its last
// event: its response ends with its connection, which the system closes in order as the process
// of the endpoint is killed.
func TestUnframedStreamOfEndedEndpoint(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = ln.Close() }()
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			n, _ := conn.Read(buf)
			if tellStart(conn, buf[:n], 1) {
				n, _ = conn.Read(buf)
			}
			if bytes.HasPrefix(buf[:n], []byte("GET /r ")) {
				_, _ = io.WriteString(conn, site.ResponseHead("r1")+"\r\nid: 0\ndata: 0\n\nid: 1\ndata: 1\n\n") // 2 of more
				_ = ln.Close()                                                                                  // it is killed
				_ = conn.Close()
				return
			}
			_ = conn.Close()
		}
	}()
	if body, whole := streamAt(t, ln.Addr().String(), true, -1); whole {
		t.Errorf("%q counts as complete, although its endpoint accepts no connections any more", body)
	}
}
