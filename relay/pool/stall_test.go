package pool_test

import (
	"net"
	"testing"
	"time"

	"wigeonplank.example/relay/pool"
)

// TestResponsesDuringStall guards against a response that is given up as overdue, or for another
// endpoint, although it had arrived in time: this process stood still until its deadline had passed.
func TestResponsesDuringStall(t *testing.T) {
	for name, raw := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"end":    "HTTP/1.1 200 OK\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, func(conn net.Conn) { _, _ = conn.Write([]byte(raw)) })
			call := &pool.Call{Conn: get(t, &pool.Pool{}, addr)}
			call.OnOverdue(func() (time.Time, bool) {
				t.Error("the response was taken for overdue")
				return time.Time{}, false
			})
			if _, err := call.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil, time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // until the response has arrived
			body, err := call.ReceiveUnnamed(false, time.Now().Add(-time.Second))
			if err != nil || string(body) != "ok" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}
