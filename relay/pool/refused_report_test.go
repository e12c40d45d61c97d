package pool_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/relay/pool"
)

// TestReportRefusedOnce guards against streams that can't go on elsewhere for as long as a
// connection is kept, as the endpoint refused one report or it came damaged.
func TestReportRefusedOnce(t *testing.T) {
	for name, first := range map[string]string{
		"full":    report("503 Service Unavailable", ""),
		"damaged": report("200 OK", `{"seq":2,"born":17000000`),
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			addr := serveRaw(t, func(conn net.Conn) {
				for err := error(nil); err == nil; _, err = conn.Read(make([]byte, 4096)) {
					answer := report("200 OK", `{"seq":2,"born":5}`)
					if asked.Add(1) == 1 {
						answer = first
					}
					_, _ = io.WriteString(conn, answer) // fails only if the test has ended
				}
			})
			p := &pool.Pool{}
			told := int64(0)
			for range 3 {
				if c, err := p.GetAsked(context.Background(), "e", addr, time.Now().Add(5*time.Second)); err == nil {
					told = c.Incarnation()
					p.Put(c, 0)
				}
			}
			if told != 5 {
				t.Errorf("incarnation %d for 3 streams after %d reports", told, asked.Load())
			}
		})
	}
}
