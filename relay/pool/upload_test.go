package pool_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/pool"
)

const (
	uploadBytes = 8 << 20
	uploadRuns  = 50
)

// upload sends a long request to an endpoint that answers its first bytes with respond, and returns
// the body of the answer.
func upload(t *testing.T, respond func(conn *net.TCPConn)) (string, error) {
	t.Helper()
	addr := serveRaw(t, func(conn net.Conn) { respond(conn.(*net.TCPConn)) })
	var p pool.Pool
	conn, err := p.Get(context.Background(), pool.KindRequest, "e", addr, true)
	if err != nil {
		t.Fatal(err)
	}
	c := &pool.Call{Conn: conn}
	defer c.Finish(&p)
	deadline := time.Now().Add(10 * time.Second)
	if _, err := c.Send([]byte("POST / HTTP/1.1\r\nContent-Length: 8388608\r\n\r\n"), make([]byte, uploadBytes), deadline); err != nil {
		t.Fatal(err)
	}
	if err := c.Receive("r1", deadline); err != nil {
		return "", err
	}
	body, err := c.ReadAll()
	return string(body), err
}

// TestResetUnderUpload guards against a part of an answer without a length that callers get as a
// whole one: the endpoint resets the connection while the request is still being written, which
// the system tells the write and not the read.
func TestResetUnderUpload(t *testing.T) {
	for range uploadRuns {
		body, err := upload(t, func(conn *net.TCPConn) {
			_, _ = conn.Write([]byte(site.ResponseHead("r1") + "\r\na part of the answer")) // fails only if the call has ended
			time.Sleep(2 * time.Millisecond)
			_ = conn.SetLinger(0) // closing resets the connection
		})
		if err == nil {
			t.Fatalf("%q counts as whole", body)
		}
	}
}

// TestEarlyAnswerToUpload guards against an answer without a length that is refused because it began
// before the request had arrived.
func TestEarlyAnswerToUpload(t *testing.T) {
	for range uploadRuns {
		body, err := upload(t, func(conn *net.TCPConn) {
			_, _ = conn.Write([]byte(site.ResponseHead("r1") + "\r\nthe whole answer")) // fails only if the call has ended
			_ = conn.CloseWrite()
			buf := make([]byte, 64<<10)
			for { // until the call closes the connection
				if _, err := conn.Read(buf); err != nil {
					return
				}
			}
		})
		if err != nil || !strings.HasPrefix(body, "the whole answer") {
			t.Fatalf("got %q, %v", body, err)
		}
	}
}
